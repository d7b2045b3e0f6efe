/**
 * Compensates for clock steps. The clock counts each step of the time of day as a
 * suspension, so that no observation looks newer than it is. Where the shorter time is
 * the safe choice, suspensions are left out: a step must not expire requests in progress,
 * refill window-based budgets, or end a server's back-off.
 */
import {type BoxRequest, type BoxServing, openAttempts} from "./box-state.js"
import type {RoutedState} from "./serving-fleet.js"

/**
 * Applies the clock's total of suspensions so far: postpones times by the part that is
 * new.
 */
export function applySuspension(
  {serving: box, fleet}: RoutedState,
  suspendedMs: number
): void {
  const stepMs = suspendedMs - box.suspendedMs
  if (stepMs <= 0) return
  box.suspendedMs = suspendedMs
  for (const request of box.requests.values()) postpone(request, stepMs)
  if (fleet) fleet.baseModelLoadTokensAt += stepMs
  for (const [backend, until] of box.backoffUntil)
    box.backoffUntil.set(backend, until + stepMs)
}

/** Returns the time without suspensions, for budgets over windows. */
export function runningMs({suspendedMs}: BoxServing, now: number): number {
  return now - suspendedMs
}

function postpone(request: BoxRequest, stepMs: number): void {
  request.arrivedAt += stepMs
  request.deadlineAt += stepMs
  request.stopHoldUntil += stepMs
  if (request.heardAt !== undefined) request.heardAt += stepMs
  if (request.fasterUntil !== undefined) request.fasterUntil += stepMs
  if (request.retryRequestedAt !== undefined) request.retryRequestedAt += stepMs
  if (request.allowanceRequestedAt !== undefined) request.allowanceRequestedAt += stepMs
  const {paced} = request
  if (paced) request.paced = {...paced, since: paced.since + stepMs}
  for (const [backend, until] of request.avoided) {
    request.avoided.set(backend, until + stepMs)
  }
  for (const attempt of openAttempts(request)) {
    attempt.sentAt += stepMs
    if (attempt.moveRequestedAt !== undefined) attempt.moveRequestedAt += stepMs
    if (attempt.hedgedAt !== undefined) attempt.hedgedAt += stepMs
    if (attempt.lastByteAt !== undefined) attempt.lastByteAt += stepMs
    if (attempt.firstByteAt !== undefined) attempt.firstByteAt += stepMs
  }
}
