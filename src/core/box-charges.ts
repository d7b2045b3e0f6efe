/** Charges each send of a request to the usage allowance of its organisation. */
import type {UsageLimit} from "../types/organisations.js"
import type {Attempt, BoxRequest, BoxServing} from "./box-state.js"
import {costOf} from "./usage-limits.js"
import type {Charge} from "./allowance-pool.js"

/**
 * Charges a request for its next send. Returns `free` if no limit applies, and undefined
 * if the allowance does not suffice.
 */
export function chargeSend(
  box: BoxServing,
  request: BoxRequest,
  now: number
): Charge | "free" | undefined {
  const {organisation, usage} = request.arrival
  const limit = limitFor(box, request)
  if (!limit || organisation === undefined) return "free"
  return box.usageAllowances.charge(organisation, costOf(limit, usage), now)
}

/** Whether the allowance suffices for one more send of the request. */
export function canChargeSend(
  box: BoxServing,
  request: BoxRequest,
  now: number
): boolean {
  const {organisation} = request.arrival
  if (organisation === undefined || !limitFor(box, request)) return true
  return box.usageAllowances.holds(organisation, costFor(box, request), now)
}

/** Refunds the charge of an attempt that did not run. */
export function refundCharge(box: BoxServing, attempt: Attempt): void {
  const {charge} = attempt
  if (!charge) return
  attempt.charge = undefined
  box.usageAllowances.refund(charge)
}

/** Returns the usage limit of the request's organisation, or undefined if it has none. */
export function limitFor(
  {table}: BoxServing,
  {arrival: {organisation}}: BoxRequest
): UsageLimit | undefined {
  return organisation === undefined ? undefined : table?.usageLimits.get(organisation)
}

/** Returns the cost of one send of the request, in units of its limit. */
export function costFor(box: BoxServing, request: BoxRequest): number {
  const limit = limitFor(box, request)
  return limit ? costOf(limit, request.arrival.usage) : 0
}
