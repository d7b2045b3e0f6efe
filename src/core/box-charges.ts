/** Charges each send of a request to what its organisation may use. */
import type {UsageLimit} from "../types/organisations.js"
import type {BoxRequest, BoxServing} from "./box-state.js"
import {costOf} from "./usage-limits.js"
import type {Charge} from "./usage-stock.js"

/** Charges a request for its next send; undefined: its organisation has no allowance left. */
export function chargeSend(
  box: BoxServing,
  request: BoxRequest,
  now: number
): Charge | "free" | undefined {
  const {organisation, usage} = request.arrival
  const limit = limitFor(box, request)
  if (!limit || organisation === undefined) return "free"
  return box.stock.charge(organisation, costOf(limit, usage), now)
}

/** The attempt did not run: what it was charged can be used by others. */
export function giveBackCharge(box: BoxServing, request: BoxRequest): void {
  const charge = request.attempt?.charge
  if (!request.attempt || !charge) return
  request.attempt.charge = undefined
  box.stock.giveBack(charge)
}

/** The limit of the organisation whose request it is; undefined: it has none. */
export function limitFor(
  {table}: BoxServing,
  {arrival: {organisation}}: BoxRequest
): UsageLimit | undefined {
  return organisation === undefined ? undefined : table?.limited.get(organisation)
}

/** What one send of the request uses. */
export function costFor(box: BoxServing, request: BoxRequest): number {
  const limit = limitFor(box, request)
  return limit ? costOf(limit, request.arrival.usage) : 0
}
