/** What becomes of an attempt: its answer begins, goes on, ends whole or without a whole answer. */
import {askRetry, mayAsk} from "./box-asks.js"
import {
  type AttemptFailure,
  doubtPlace,
  isRefusal,
  REFUSED_PAUSE_MS,
  suspect
} from "./box-doubts.js"
import {noteAnswered, suspectCrash} from "./box-crashes.js"
import {finish, giveUp, leaveAttempt, noteClosed, tellUse} from "./box-ends.js"
import {allowsRepeat, mayRepeat, noteRun, repeat} from "./box-repeats.js"
import {advance} from "./box-requests.js"
import {giveBackCharge} from "./box-charges.js"
import {
  type Attempt,
  type BoxRequest,
  type BoxServing,
  budgetOf,
  note
} from "./box-state.js"
import {noteBegun} from "./box-versions.js"
import {runningMs} from "./suspensions.js"

/** Sends that backend servers may refuse before a request is given up. */
const MAX_REFUSALS = 3

/** The same where weights are only late: six pauses, each twice the last, are 3.8 s in all. */
const MAX_LATE_REFUSALS = 6

/** Bytes of the attempt may have left from here on. */
export function attemptStarted(
  box: BoxServing,
  id: string,
  number: number,
  now: number
): void {
  const attempt = findAttempt(box, id, number)
  if (!attempt) return
  attempt.started = true
  box.recentSends.note(attempt.backend, runningMs(box, now))
}

/** Bytes of the attempt's answer came. */
export function attemptHeard(
  box: BoxServing,
  id: string,
  number: number,
  now: number
): void {
  const request = box.requests.get(id)
  const attempt = findAttempt(box, id, number)
  if (!request || !attempt) return
  attempt.heardAt = now
  box.suspects.delete(attempt.backend)
  box.survivors.noteHeard(attempt.backend, now)
  if (attempt.firstAt !== undefined) return
  attempt.firstAt = now
  // The prompt was read: its work is done, whatever still comes out.
  const tokens = -attempt.unread
  tellUse(box, request, {engine: attempt.backend, begun: 0, ended: 0, tokens})
}

/** The head of an answer came, which is the backend server's own word on a run. */
export function attemptHead(
  box: BoxServing,
  id: string,
  number: number,
  head: {readonly failed: boolean; readonly streamed: boolean},
  now: number
): void {
  const request = box.requests.get(id)
  const attempt = findAttempt(box, id, number)
  if (!request || !attempt) return
  if (!attempt.headed) noteBegun(box, request, attempt, now)
  attempt.headed = true
  attempt.heardAt = now
  // What goes on with a stream can only be one: another answer is no part of it.
  const foreign = request.replied && !head.streamed
  if ((head.failed || foreign) && mayRepeat(box, request, now)) {
    box.effects.push({type: "discard", id, attempt: number})
    return repeat(box, request, "failed", now)
  }
  if (foreign) return giveUp(box, request, "unknown", now)
  // Other answers are passed on whole, and can be replaced until then.
  request.replied ||= head.streamed
  box.effects.push({type: "pass", id, attempt: number})
}

/** The whole answer was passed on. */
export function attemptDone(
  box: BoxServing,
  id: string,
  number: number,
  now: number
): void {
  const request = box.requests.get(id)
  const attempt = findAttempt(box, id, number)
  if (!request || !attempt) return
  note(box, "route-ended", {
    request: request.arrival.name,
    route: request.arrival.route.name,
    backend: attempt.backend,
    attempts: request.attempts,
    targetMs: Math.round(request.arrival.route.targetMs),
    sentMs: Math.round(attempt.sentAt - request.arrivedAt),
    firstMs: Math.round((attempt.firstAt ?? now) - request.arrivedAt),
    totalMs: Math.round(now - request.arrivedAt)
  })
  noteAnswered(box, request, attempt, now)
  finish(box, request)
}

/** An attempt ended without a whole answer. */
export function attemptFailed(
  box: BoxServing,
  id: string,
  number: number,
  failure: AttemptFailure,
  lastEventId: string | undefined,
  now: number
): void {
  const request = box.requests.get(id)
  const attempt = findAttempt(box, id, number)
  if (!request || !attempt) return
  if (lastEventId !== undefined) request.lastEventId = lastEventId
  const ran = attempt.started && (failure === "broken" || failure === "overtaken")
  if (attempt.started && failure === "broken") noteBroken(box, request, attempt, now)
  const late = isRefusal(failure) && doubtPlace(box, request, attempt, failure, now)
  // The engine did nothing wrong where only its version was replaced.
  if (!late && failure !== "overtaken") request.failedAt.add(attempt.backend)
  if (failure === "broken" || failure === "not-sent") {
    suspect(box, attempt.backend, now)
    if (failure === "broken" && !attempt.aborted) noteClosed(box, request, now)
    suspectCrash(box, attempt.backend, now)
  }
  if (ran) {
    if (mayRepeat(box, request, now)) return repeat(box, request, failure, now)
    if (!allowsRepeat(request) || !mayAsk(box)) {
      return giveUp(box, request, "unknown", now)
    }
    noteRun(box, request, failure, now)
    return askRetry(box, request, now)
  }
  giveBackCharge(box, request)
  request.refusals++
  // Each pause is longer: what is late may be late for a while, and refusals are counted.
  const pauseMs = REFUSED_PAUSE_MS * 2 ** (request.refusals - 1)
  request.avoided.set(attempt.backend, now + pauseMs)
  const most = late ? MAX_LATE_REFUSALS : MAX_REFUSALS
  const spent =
    budgetOf(box, request.arrival.service).left(runningMs(box, now), box.boxes) <= 0
  if (request.refusals > most || (spent && !mayAsk(box))) {
    return giveUp(box, request, request.runs > 0 ? "unknown" : "not-run", now)
  }
  note(box, "route-again", {request: request.arrival.name, after: failure})
  if (spent) return askRetry(box, request, now)
  leaveAttempt(box, request)
  advance(box, request, now)
}

function noteBroken(
  box: BoxServing,
  {arrival}: BoxRequest,
  {backend, headed, sentAt}: Attempt,
  now: number
): void {
  note(box, "attempt-broken", {
    request: arrival.name,
    fingerprint: arrival.fingerprint ?? "",
    backend,
    headed,
    afterMs: Math.round(now - sentAt)
  })
}

function findAttempt(box: BoxServing, id: string, number: number): Attempt | undefined {
  const attempt = box.requests.get(id)?.attempt
  return attempt?.number === number ? attempt : undefined
}
