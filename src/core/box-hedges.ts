/**
 * Hedged requests: a silent attempt stays open while another server is tried, and the one
 * that answers first goes on. Silence does not show that an answer can't be completed, and
 * the other server may refuse the request.
 */
import {
  abortAttempt,
  endAttempt,
  endSilentAttempt,
  withdrawWeightsRequest
} from "./box-ends.js"
import {isOnDownPath, isOnLostPath} from "./box-paths.js"
import {sendOrWait} from "./box-requests.js"
import {renewStopHold} from "./box-retries.js"
import {
  type Attempt,
  type BoxRequest,
  type BoxServing,
  type EndReason,
  logEvent
} from "./box-state.js"

/** Tries another server while the current attempt stays open. */
export function hedgeRequest(
  box: BoxServing,
  request: BoxRequest,
  attempt: Attempt,
  after: "silent" | "slow",
  now: number
): void {
  const {backend, number, headReceived} = attempt
  attempt.hedgedAt = now
  request.silentAttempt = attempt
  request.attempt = undefined
  request.retriedAfter = after
  if (!isOnDownPath(box, attempt)) request.failedBackends.add(backend)
  renewStopHold(box, request, now)
  logEvent(box, "route-hedged", {
    request: request.arrival.name,
    after,
    attempt: number,
    backend,
    begun: headReceived,
    silentMs: Math.round(now - (attempt.lastByteAt ?? attempt.sentAt)),
    lastEventId: request.lastEventId ?? ""
  })
  sendOrWait(box, request, now)
}

/**
 * Whether the request goes back to its silent attempt rather than end for this reason. It
 * does not if this box no longer reaches the server.
 */
export function keepsSilentAttempt(
  box: BoxServing,
  {silentAttempt}: BoxRequest,
  reason: EndReason
): boolean {
  if (!silentAttempt || reason === "timeout") return false
  return !isOnLostPath(box, silentAttempt)
}

/** Ends the hedge: the request waits for its silent attempt alone. */
export function returnToSilentAttempt(
  box: BoxServing,
  request: BoxRequest,
  because: EndReason | "heard",
  now: number
): void {
  const {attempt, silentAttempt} = request
  if (attempt) abortAttempt(box, request, attempt, now)
  if (attempt?.started) request.runs++
  else if (attempt) request.unsent++
  endAttempt(box, request)
  if (request.weightsRequested) withdrawWeightsRequest(box, request)
  request.retryRequestedAt = undefined
  request.allowanceRequestedAt = undefined
  request.paced = undefined
  request.hasRetryGrant = false
  request.attempt = silentAttempt
  request.silentAttempt = undefined
  if (silentAttempt) logHedgeEnd(box, request, silentAttempt, because, now)
}

/** Closes the silent attempt, as the current one is answered. */
export function replaceSilentAttempt(
  box: BoxServing,
  request: BoxRequest,
  now: number
): void {
  const {silentAttempt} = request
  if (!silentAttempt) return
  abortAttempt(box, request, silentAttempt, now)
  logHedgeEnd(box, request, silentAttempt, "answered", now)
  endSilentAttempt(box, request)
  request.runs++
}

function logHedgeEnd(
  box: BoxServing,
  request: BoxRequest,
  {backend, hedgedAt}: Attempt,
  because: EndReason | "heard" | "answered",
  now: number
): void {
  logEvent(box, "hedge-ended", {
    request: request.arrival.name,
    backend,
    because,
    other: because === "answered" ? (request.attempt?.backend ?? "") : "",
    forMs: Math.round(now - (hedgedAt ?? now))
  })
}
