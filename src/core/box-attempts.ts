/** Handles the events of an attempt: start, first bytes, head, end and failure. */
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

/** Refusals after which a request fails. */
const MAX_REFUSALS = 3

/**
 * Refusals after which a request fails if weights are only late: six pauses, each twice
 * the last, add up to 3.8 s.
 */
const MAX_LATE_REFUSALS = 6

/** Handles the start of sending: from here on bytes may have been sent. */
export function attemptStarted(
  box: BoxServing,
  id: string,
  number: number,
  now: number
): void {
  const attempt = findAttempt(box, id, number)
  if (!attempt) return
  attempt.started = true
  box.recentSends.record(attempt.backend, runningMs(box, now))
}

/** Handles received bytes of the attempt's answer. */
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
  box.survivors.recordAlive(attempt.backend, now)
  if (attempt.firstAt !== undefined) return
  attempt.firstAt = now
  // The prefill is done, so its tokens no longer count as waiting.
  const tokens = -attempt.unread
  tellUse(box, request, {engine: attempt.backend, begun: 0, ended: 0, tokens})
}

/**
 * Handles the head of an answer, which shows that the backend server handled the request.
 */
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
  // Only a streamed answer can continue a stream that the caller has begun to receive.
  const isForeign = request.replied && !head.streamed
  if ((head.failed || isForeign) && mayRepeat(box, request, now)) {
    box.effects.push({type: "discard", id, attempt: number})
    return repeat(box, request, "failed", now)
  }
  if (isForeign) return giveUp(box, request, "unknown", now)
  // Other answers are sent to the caller once complete and can be replaced until then.
  request.replied ||= head.streamed
  box.effects.push({type: "pass", id, attempt: number})
}

/** Handles the end of an answer that was forwarded completely. */
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

/** Handles an attempt that ended without a complete answer. */
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
  const mayHaveRun = attempt.started && (failure === "broken" || failure === "overtaken")
  if (attempt.started && failure === "broken")
    logBrokenAttempt(box, request, attempt, now)
  const areWeightsLate =
    isRefusal(failure) && doubtPlace(box, request, attempt, failure, now)
  // An overtaken attempt is no failure of the engine.
  if (!areWeightsLate && failure !== "overtaken") request.failedAt.add(attempt.backend)
  if (failure === "broken" || failure === "not-sent") {
    suspect(box, attempt.backend, now)
    if (failure === "broken" && !attempt.aborted) noteClosed(box, request, now)
    suspectCrash(box, attempt.backend, now)
  }
  if (mayHaveRun) {
    if (mayRepeat(box, request, now)) return repeat(box, request, failure, now)
    if (!allowsRepeat(request) || !mayAsk(box)) {
      return giveUp(box, request, "unknown", now)
    }
    noteRun(box, request, failure, now)
    return askRetry(box, request, now)
  }
  giveBackCharge(box, request)
  request.refusals++
  // Pauses double: late weights may stay late, and the number of refusals is limited.
  const pauseMs = REFUSED_PAUSE_MS * 2 ** (request.refusals - 1)
  request.avoided.set(attempt.backend, now + pauseMs)
  const maxRefusals = areWeightsLate ? MAX_LATE_REFUSALS : MAX_REFUSALS
  const isBudgetSpent =
    budgetOf(box, request.arrival.service).remaining(runningMs(box, now), box.boxes) <= 0
  if (request.refusals > maxRefusals || (isBudgetSpent && !mayAsk(box))) {
    return giveUp(box, request, request.runs > 0 ? "unknown" : "not-run", now)
  }
  note(box, "route-again", {request: request.arrival.name, after: failure})
  if (isBudgetSpent) return askRetry(box, request, now)
  leaveAttempt(box, request)
  advance(box, request, now)
}

function logBrokenAttempt(
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
