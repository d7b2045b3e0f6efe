/**
 * Retries of requests that may have run: whether a retry is safe and within the budget.
 */
import {leaveAttempt} from "./box-ends.js"
import {advance} from "./box-requests.js"
import {type BoxRequest, type BoxServing, budgetOf, note} from "./box-state.js"
import {isRepeatable} from "./route-table.js"
import {runningMs} from "./suspensions.js"

/** Pause before a backend server that failed a request may be tried for it again. */
const FAILED_PAUSE_MS = 200

/** Whether the request may run again and the retry budget allows it. */
export function mayRepeat(box: BoxServing, request: BoxRequest, now: number): boolean {
  if (!allowsRepeat(request)) return false
  return (
    budgetOf(box, request.arrival.service).remaining(runningMs(box, now), box.boxes) > 0
  )
}

/** Whether the request may run again, regardless of the retry budget. */
export function allowsRepeat({arrival: {route}, attempts, replied}: BoxRequest): boolean {
  if (!isRepeatable(route) || attempts >= route.maxAttempts) return false
  return !replied || route.kind === "streaming"
}

/** Retries a request that may have run. */
export function repeat(
  box: BoxServing,
  request: BoxRequest,
  after: string,
  now: number
): void {
  noteRun(box, request, after, now)
  advance(box, request, now)
}

/** Ends an attempt that may have run, before the request is retried. */
export function noteRun(
  box: BoxServing,
  request: BoxRequest,
  after: string,
  now: number
): void {
  const {attempt, arrival} = request
  if (attempt) {
    request.avoided.set(attempt.backend, now + FAILED_PAUSE_MS)
    if (after !== "overtaken") request.failedAt.add(attempt.backend)
  }
  request.runs++
  note(box, "route-again", {
    request: arrival.name,
    after,
    lastEventId: request.lastEventId ?? ""
  })
  leaveAttempt(box, request)
  request.holdUntil = Math.min(request.giveUpAt, now + arrival.route.targetMs)
}
