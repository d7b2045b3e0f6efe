/** Periodic checks of requests: deadlines, waiting times and silent backend servers. */
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

/** Pause in a stream after which it is continued on another server. */
const STREAM_SILENCE_MS = 1_300

/** Multiple of the target time without any answer after which another server is tried. */
const FIRST_SILENCE_FACTOR = 1.8

/**
 * Time that a request must have left to be moved to an engine that has yet to load its
 * weights.
 */
const MIN_MOVE_MS = 1_200

/**
 * Sends waiting requests that can be sent now, and ends or moves those past their limits.
 */
export function tickRequests(box: BoxServing, now: number): void {
  for (const request of box.requests.values()) {
    if (now >= request.giveUpAt) {
      expireRequest(box, request, now)
    } else if (endLateAsk(box, request, now) || endLateCharge(box, request, now)) {
      continue
    } else if (!request.attempt) {
      advance(box, request, now)
      const waits = !request.attempt && box.requests.has(request.arrival.id)
      if (waits && now >= request.holdUntil && !isStale(box, now)) {
        giveUp(box, request, request.runs > 0 ? "unknown" : "not-run", now)
      }
    } else {
      checkAttempt(box, request, request.attempt, now)
    }
  }
  askAllowances(box, now)
  askSends(box, now)
}

function checkAttempt(
  box: BoxServing,
  request: BoxRequest,
  attempt: Attempt,
  now: number
): void {
  if (endIfOver(box, request, attempt, now)) return
  if (endIfStopped(box, request, attempt, now)) return
  if (takeBackIfOutdated(box, request, attempt, now)) return
  checkSilence(box, request, attempt, now)
}

function expireRequest(box: BoxServing, request: BoxRequest, now: number): void {
  const mayHaveRun = request.runs > 0 || request.attempt?.started === true
  giveUp(box, request, mayHaveRun ? "timeout" : "not-run", now)
}

function checkSilence(
  box: BoxServing,
  request: BoxRequest,
  attempt: Attempt,
  now: number
): void {
  const {route} = request.arrival
  const silentMs = now - (attempt.heardAt ?? attempt.sentAt)
  const limitMs = attempt.headed
    ? STREAM_SILENCE_MS
    : Math.max(500, route.targetMs * FIRST_SILENCE_FACTOR)
  if (silentMs < limitMs) return
  if (attempt.headed && route.kind !== "streaming") return
  suspect(box, attempt.backend, now)
  if (!mayRepeat(box, request, now)) return
  request.avoided.set(attempt.backend, now + SUSPECT_MS)
  const other = chooseBackend(box, request, now)
  // If no other server can take it now, move it only if there is time to load weights.
  if (!other && request.giveUpAt - now < MIN_MOVE_MS) return
  abortAttempt(box, request, now)
  repeat(box, request, "silent", now)
  request.avoided.set(attempt.backend, now + SUSPECT_MS)
}
