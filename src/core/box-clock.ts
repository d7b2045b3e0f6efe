/** What time alone brings: requests that can be sent now, have waited too long, or hear nothing. */
import {endLateAsk} from "./box-asks.js"
import {chooseBackend} from "./box-choose.js"
import {SUSPECT_MS, suspect} from "./box-doubts.js"
import {endIfStopped} from "./box-crashes.js"
import {abortAttempt, giveUp} from "./box-ends.js"
import {endIfOver} from "./box-lives.js"
import {isStale} from "./box-news.js"
import {mayRepeat, repeat} from "./box-repeats.js"
import {advance} from "./box-requests.js"
import {askAllowances, endLateCharge} from "./box-usage.js"
import {askSends} from "./box-pacing.js"
import {takeBackIfOutdated} from "./box-take-backs.js"
import type {Attempt, BoxRequest, BoxServing} from "./box-state.js"

/** A pause in a stream after which it goes on elsewhere, milliseconds. */
const STREAM_SILENCE_MS = 1_300

/** Before an answer begins, the multiple of the target after which another is asked. */
const FIRST_SILENCE_FACTOR = 1.8

/** Time a request must have left to be moved to an engine that has yet to load its weights. */
const MOVE_MS = 1_200

/** Looks at every request: what can be sent now, what has waited or been silent too long. */
export function tickRequests(box: BoxServing, now: number): void {
  for (const request of box.requests.values()) {
    if (now >= request.giveUpAt) {
      timeOut(box, request, now)
    } else if (endLateAsk(box, request, now) || endLateCharge(box, request, now)) {
      continue
    } else if (!request.attempt) {
      advance(box, request, now)
      const waits = !request.attempt && box.requests.has(request.arrival.id)
      if (waits && now >= request.holdUntil && !isStale(box, now)) {
        giveUp(box, request, request.runs > 0 ? "unknown" : "not-run", now)
      }
    } else {
      lookAtAttempt(box, request, request.attempt, now)
    }
  }
  askAllowances(box, now)
  askSends(box, now)
}

function lookAtAttempt(
  box: BoxServing,
  request: BoxRequest,
  attempt: Attempt,
  now: number
): void {
  if (endIfOver(box, request, attempt, now)) return
  if (endIfStopped(box, request, attempt, now)) return
  if (takeBackIfOutdated(box, request, attempt, now)) return
  lookForSilence(box, request, attempt, now)
}

function timeOut(box: BoxServing, request: BoxRequest, now: number): void {
  const ran = request.runs > 0 || request.attempt?.started === true
  giveUp(box, request, ran ? "timeout" : "not-run", now)
}

function lookForSilence(
  box: BoxServing,
  request: BoxRequest,
  attempt: Attempt,
  now: number
): void {
  const {route} = request.arrival
  const silence = now - (attempt.heardAt ?? attempt.sentAt)
  const limit = attempt.headed
    ? STREAM_SILENCE_MS
    : Math.max(500, route.targetMs * FIRST_SILENCE_FACTOR)
  if (silence < limit) return
  if (attempt.headed && route.kind !== "streaming") return
  suspect(box, attempt.backend, now)
  if (!mayRepeat(box, request, now)) return
  request.avoided.set(attempt.backend, now + SUSPECT_MS)
  const other = chooseBackend(box, request, now)
  // Without another that can take it now, it is worth moving only while there is time to load.
  if (!other && request.giveUpAt - now < MOVE_MS) return
  abortAttempt(box, request, now)
  repeat(box, request, "silent", now)
  request.avoided.set(attempt.backend, now + SUSPECT_MS)
}
