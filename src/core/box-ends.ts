/** Ends requests and attempts, and reports that to the caller and the leader. */
import type {EngineUseDelta} from "../types/box-messages.js"
import {adapterKey} from "../types/fleet.js"
import {refundCharge} from "./box-charges.js"
import {keepsSilentAttempt, returnToSilentAttempt} from "./box-hedges.js"
import {
  type Attempt,
  type BoxRequest,
  type BoxServing,
  type EndReason,
  logEvent,
  openAttempts,
  retryBudgetOf
} from "./box-state.js"
import {listFingerprints} from "./request-fingerprints.js"
import {runningMs} from "./suspensions.js"

/** Default time after which refused callers may retry. */
const RETRY_AFTER_MS = 400

/**
 * Ends a request without a complete answer: sends the caller an error, or cuts its
 * connection if an answer had started. A request with a silent attempt goes back to it
 * instead, unless its deadline has passed.
 */
export function failRequest(
  box: BoxServing,
  request: BoxRequest,
  cause: EndReason,
  now: number,
  retryAfterMs = RETRY_AFTER_MS
): void {
  if (keepsSilentAttempt(box, request, cause)) {
    return returnToSilentAttempt(box, request, cause, now)
  }
  const mayHaveRun = request.silentAttempt !== undefined && cause !== "timeout"
  const reason = mayHaveRun ? "unknown" : cause
  const {id, name, route} = request.arrival
  const waitedFor = describeWait(request)
  abortAttempts(box, request, now)
  removeRequest(box, request)
  if (request.answerStarted) box.effects.push({type: "cut", id})
  else box.effects.push({type: "end", id, reason, retryAfterMs})
  logEvent(box, request.answerStarted ? "route-cut" : "route-refused", {
    request: name,
    route: route.name,
    service: request.arrival.service,
    organisation: request.arrival.organisation ?? "",
    reason,
    targetMs: Math.round(route.targetMs),
    heldMs: Math.round(now - request.arrivedAt),
    attempts: request.attempts,
    adapter: request.arrival.weights?.adapter ?? "",
    waitedFor,
    ...describeLimit(box, request, now),
    after: request.lastFailure ?? "",
    retriedAfter: request.retriedAfter,
    config: box.table?.config.version ?? -1,
    lastEventId: request.lastEventId ?? "",
    retriesLeft: Math.floor(
      retryBudgetOf(box, request.arrival.service).remaining(
        runningMs(box, now),
        box.boxCount
      )
    ),
    hasLeader: box.hasLeader,
    retryAfterMs
  })
}

/** Ends a request that is not sent now. One that was sent before may have run. */
export function failUnsent(
  box: BoxServing,
  request: BoxRequest,
  now: number,
  retryAfterMs?: number
): void {
  failRequest(box, request, request.runs > 0 ? "unknown" : "not-run", now, retryAfterMs)
}

/** Returns what a request without an attempt waits for, for the log. */
function describeWait({
  attempt,
  allowanceRequestedAt,
  weightsRequested,
  paced
}: BoxRequest): string {
  if (attempt) return ""
  if (allowanceRequestedAt !== undefined) return "usage-allowance"
  if (weightsRequested) return "weights"
  return paced?.server === undefined ? "" : "send-allowance"
}

/**
 * Returns the state of its organisation's limit as this box knows it, for the log: whether
 * it has been reached, or may have been as the leader doesn't know, and for how long.
 */
function describeLimit(
  {usageAllowances}: BoxServing,
  {arrival: {organisation}}: BoxRequest,
  now: number
): {limit: "" | "reached" | "unknown"; limitMs: number} {
  const fullMs =
    organisation === undefined ? 0 : usageAllowances.fullForMs(organisation, now)
  if (organisation === undefined || fullMs === 0) return {limit: "", limitMs: 0}
  const isUnknown = usageAllowances.isUnknown(organisation)
  return {limit: isUnknown ? "unknown" : "reached", limitMs: Math.round(fullMs)}
}

/** Closes the connection of an attempt. */
export function abortAttempt(
  box: BoxServing,
  request: BoxRequest,
  attempt: Attempt,
  now: number
): void {
  if (attempt.aborted) return
  attempt.aborted = true
  recordIncompleteAttempt(box, request, attempt, now)
  box.effects.push({type: "abort", id: request.arrival.id, attempt: attempt.number})
}

/** Closes the connections of all attempts of a request. */
export function abortAttempts(box: BoxServing, request: BoxRequest, now: number): void {
  for (const attempt of openAttempts(request)) abortAttempt(box, request, attempt, now)
}

/**
 * Records that an attempt ended without a complete answer or a refusal, so that it may
 * have run.
 */
export function recordIncompleteAttempt(
  box: BoxServing,
  {arrival}: BoxRequest,
  {started, backend}: Attempt,
  now: number
): void {
  if (!started) return
  box.crashWatch.recordClosed(listFingerprints(arrival), backend, now)
}

/** Removes a request that has ended. */
export function removeRequest(box: BoxServing, request: BoxRequest): void {
  endAttempt(box, request)
  endSilentAttempt(box, request)
  if (request.weightsRequested) withdrawWeightsRequest(box, request)
  box.requests.delete(request.arrival.id)
}

/** Ends the current attempt; another may follow. */
export function endAttempt(box: BoxServing, request: BoxRequest): void {
  if (request.attempt) countOut(box, request, request.attempt)
  request.attempt = undefined
}

/** Ends the silent attempt; the current one goes on, or another may follow. */
export function endSilentAttempt(box: BoxServing, request: BoxRequest): void {
  if (request.silentAttempt) countOut(box, request, request.silentAttempt)
  request.silentAttempt = undefined
}

function countOut(box: BoxServing, request: BoxRequest, attempt: Attempt): void {
  if (!attempt.started) refundCharge(box, attempt)
  countAttempt(box, request, attempt, -1)
}

/** Withdraws the weights request from the leader. */
export function withdrawWeightsRequest(box: BoxServing, request: BoxRequest): void {
  request.weightsRequested = false
  box.effects.push({type: "drop", request: request.arrival.id})
}

/** Counts an attempt in or out at its backend server, here and at the leader. */
export function countAttempt(
  box: BoxServing,
  request: BoxRequest,
  attempt: Attempt,
  change: 1 | -1
): void {
  const {backend, via} = attempt
  if (via !== undefined) box.peers.count(via, change)
  box.inProgress.set(backend, Math.max(0, (box.inProgress.get(backend) ?? 0) + change))
  const uncachedTokens = attempt.firstByteAt === undefined ? attempt.uncachedTokens : 0
  const begun = change > 0 ? 1 : 0
  reportEngineUse(box, request, {
    engine: backend,
    begun,
    ended: 1 - begun,
    tokens: change * uncachedTokens
  })
}

/**
 * Reports attempts that began or ended, and changes of waiting prompt tokens, to the
 * leader.
 */
export function reportEngineUse(
  box: BoxServing,
  {arrival: {weights}}: BoxRequest,
  use: EngineUseDelta
): void {
  if (!weights) return
  const {model, adapter} = weights
  const change =
    adapter === undefined ? use : {...use, adapter: adapterKey(model, adapter)}
  box.effects.push({type: "use", change})
}
