/**
 * What requests of organisations with limits use: each send is charged to an allowance of the leader's.
 * A request whose organisation has none left waits for one, or is told when there may be room again.
 */
import {giveUp} from "./box-ends.js"
import {expectedOrderMs} from "./box-waits.js"
import {costFor, limitFor} from "./box-charges.js"
import type {BoxRequest, BoxServing} from "./box-state.js"
import {costOf} from "./usage-limits.js"
import type {UsageNeed} from "./usage-stock.js"

/** Of the target, the part that a request waits for an allowance at most: its caller can still come back in time. */
const HOLD_SHARE = 0.25

/** Callers beyond the limit come back within so much more than they were told at least. */
const COME_BACK_SPREAD = 0.5

/** Before that there is no use in coming back, milliseconds. */
const LEAST_COME_BACK_MS = 200

/** Plain requests for which each box keeps an allowance of each organisation that calls it. */
const STOCKED_PLAIN = 2

/** A request that could be sent has no allowance: it waits, or is refused at once where there is no room. */
export function awaitAllowance(box: BoxServing, request: BoxRequest, now: number): void {
  if (refuseIfFull(box, request, now)) return
  if (refuseIfLeaderless(box, request, now)) return
  request.chargeAsked ??= now
  askAllowances(box, now)
}

/** Nobody gives allowances for longer than the request can wait: its caller comes back when somebody does. */
function refuseIfLeaderless(box: BoxServing, request: BoxRequest, now: number): boolean {
  const leaderInMs = expectedOrderMs(box, now)
  if (leaderInMs <= HOLD_SHARE * request.arrival.route.targetMs) return false
  const spread = 1 + COME_BACK_SPREAD * box.options.random()
  const reason = request.runs > 0 ? "unknown" : "not-run"
  giveUp(box, request, reason, now, Math.round(leaderInMs * spread))
  return true
}

/** Refuses a request whose organisation has used its limit; true: it is over. */
export function refuseIfFull(box: BoxServing, request: BoxRequest, now: number): boolean {
  const {organisation} = request.arrival
  if (organisation === undefined || !limitFor(box, request)) return false
  const fullMs = box.stock.fullForMs(organisation, now)
  if (fullMs === 0 || box.stock.holds(organisation, costFor(box, request), now)) {
    return false
  }
  const spread = 1 + COME_BACK_SPREAD * box.options.random()
  const comeBackMs = Math.round(Math.max(LEAST_COME_BACK_MS, fullMs) * spread)
  giveUp(box, request, request.runs > 0 ? "unknown" : "over-limit", now, comeBackMs)
  return true
}

/** Ends the wait for an allowance that does not come; true: the request is over. */
export function endLateCharge(
  box: BoxServing,
  request: BoxRequest,
  now: number
): boolean {
  const {chargeAsked, arrival, runs} = request
  if (chargeAsked === undefined) return false
  if (now - chargeAsked < HOLD_SHARE * arrival.route.targetMs) return false
  giveUp(box, request, runs > 0 ? "unknown" : "not-run", now)
  return true
}

/** Tells the leader what was used, and asks for what is needed and soon will be. */
export function askAllowances(box: BoxServing, now: number): void {
  if (!box.table || box.table.limited.size === 0) return
  const collected = box.stock.collect(listNeeds(box), now)
  if (collected) box.effects.push({type: "usage", ...collected})
}

function listNeeds(box: BoxServing): Map<string, UsageNeed> {
  const needs = new Map<string, UsageNeed>()
  for (const request of box.requests.values()) {
    const {organisation} = request.arrival
    const limit = limitFor(box, request)
    if (organisation === undefined || !limit) continue
    const waits = request.chargeAsked !== undefined && !request.attempt
    const {need} = needs.get(organisation) ?? {need: 0}
    needs.set(organisation, {
      need: need + (waits ? costFor(box, request) : 0),
      least: STOCKED_PLAIN * costOf(limit, undefined)
    })
  }
  return needs
}
