/**
 * Retries of requests that may have run: whether a retry is safe and within the budget.
 */
import {endAttempt} from "./box-ends.js"
import {isOnDownPath} from "./box-paths.js"
import {sendOrWait} from "./box-requests.js"
import {
  type BoxRequest,
  type BoxServing,
  retryBudgetOf,
  logEvent,
  openAttempts
} from "./box-state.js"
import {isRetryableRoute} from "./route-table.js"
import {runningMs} from "./suspensions.js"

/** Pause before a backend server that failed a request may be tried for it again. */
const FAILED_PAUSE_MS = 200

/** Whether the request may run again and the retry budget allows it. */
export function canRetry(box: BoxServing, request: BoxRequest, now: number): boolean {
  if (!isRetryable(request)) return false
  return (
    retryBudgetOf(box, request.arrival.service).remaining(
      runningMs(box, now),
      box.boxCount
    ) > 0
  )
}

/** Whether the request may run again, regardless of the retry budget. */
export function isRetryable(request: BoxRequest): boolean {
  const {
    arrival: {route},
    answerStarted
  } = request
  if (!isRetryableRoute(route) || countPossibleRuns(request) >= route.maxAttempts)
    return false
  return !answerStarted || route.kind === "streaming"
}

/**
 * Returns the number of attempts that may have run, with those in progress. Refused
 * attempts have not.
 */
function countPossibleRuns(request: BoxRequest): number {
  return request.runs + openAttempts(request).filter(({started}) => started).length
}

/** Returns the number of attempts that reached a backend server, or may have. */
export function countSentAttempts({attempts, unsent}: BoxRequest): number {
  return attempts - unsent
}

/** Retries a request that may have run. */
export function retryRequest(
  box: BoxServing,
  request: BoxRequest,
  after: string,
  now: number
): void {
  endPossibleRun(box, request, after, now)
  sendOrWait(box, request, now)
}

/** Ends an attempt that may have run, before the request is retried. */
export function endPossibleRun(
  box: BoxServing,
  request: BoxRequest,
  after: string,
  now: number
): void {
  const {attempt, arrival} = request
  if (attempt && !isOnDownPath(box, attempt)) {
    const {backend} = attempt
    const avoidedUntil = request.avoided.get(backend) ?? -Infinity
    request.avoided.set(backend, Math.max(avoidedUntil, now + FAILED_PAUSE_MS))
    if (after !== "overtaken") request.failedBackends.add(backend)
  }
  request.runs++
  request.retriedAfter = after
  logEvent(box, "route-again", {
    request: arrival.name,
    after,
    backend: attempt?.backend ?? "",
    begun: request.answerStarted,
    quietMs: attempt ? Math.round(now - (attempt.lastByteAt ?? attempt.sentAt)) : 0,
    lastEventId: request.lastEventId ?? ""
  })
  endAttempt(box, request)
  renewStopHold(box, request, now)
}

/** Gives a request whose server failed at a stopping box the usual wait of such a box. */
export function renewStopHold(box: BoxServing, request: BoxRequest, now: number): void {
  if (box.stop) request.stopHoldUntil = now + box.stop.holdMs
}
