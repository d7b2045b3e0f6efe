/**
 * Usage limits of organisations: the leader grants each box allowances, to which sends
 * are charged. A request without enough allowance waits for more, or is refused with the
 * time at which there may be room again.
 */
import {giveUp} from "./box-ends.js"
import {expectedOrderMs} from "./box-waits.js"
import {costFor, limitFor} from "./box-charges.js"
import type {BoxRequest, BoxServing} from "./box-state.js"
import {costOf} from "./usage-limits.js"
import type {AllowanceDemand} from "./allowance-pool.js"

/**
 * Longest wait for an allowance, as a part of the target time: the caller can still retry
 * in time.
 */
const HOLD_SHARE = 0.25

/** Random extension of `retryAfterMs` for callers over their limit, as a part of it. */
const RETRY_JITTER_SHARE = 0.5

/** Shortest time after which a retry is worthwhile. */
const MIN_RETRY_AFTER_MS = 200

/**
 * Plain requests for which each box keeps an allowance in stock, for each organisation
 * that calls it.
 */
const STOCKED_PLAIN_REQUESTS = 2

/** Makes a request wait for an allowance, or refuses it if none can arrive in time. */
export function awaitAllowance(box: BoxServing, request: BoxRequest, now: number): void {
  if (refuseIfFull(box, request, now)) return
  if (refuseIfNoLeader(box, request, now)) return
  request.chargeAsked ??= now
  askAllowances(box, now)
}

/**
 * Refuses a request if no leader is expected to grant allowances within its waiting time.
 * Returns whether it did.
 */
function refuseIfNoLeader(box: BoxServing, request: BoxRequest, now: number): boolean {
  const leaderInMs = expectedOrderMs(box, now)
  if (leaderInMs <= HOLD_SHARE * request.arrival.route.targetMs) return false
  const jitter = 1 + RETRY_JITTER_SHARE * box.options.random()
  const reason = request.runs > 0 ? "unknown" : "not-run"
  giveUp(box, request, reason, now, Math.round(leaderInMs * jitter))
  return true
}

/** Refuses a request whose organisation has reached its limit. Returns whether it did. */
export function refuseIfFull(box: BoxServing, request: BoxRequest, now: number): boolean {
  const {organisation} = request.arrival
  if (organisation === undefined || !limitFor(box, request)) return false
  const fullMs = box.stock.fullForMs(organisation, now)
  if (fullMs === 0 || box.stock.holds(organisation, costFor(box, request), now)) {
    return false
  }
  const jitter = 1 + RETRY_JITTER_SHARE * box.options.random()
  const retryAfterMs = Math.round(Math.max(MIN_RETRY_AFTER_MS, fullMs) * jitter)
  giveUp(box, request, request.runs > 0 ? "unknown" : "over-limit", now, retryAfterMs)
  return true
}

/** Fails a request whose allowance did not arrive in time. Returns whether it did. */
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

/** Reports usage to the leader and requests the allowances needed now and soon. */
export function askAllowances(box: BoxServing, now: number): void {
  if (!box.table || box.table.limited.size === 0) return
  const collected = box.stock.buildRequest(listNeeds(box), now)
  if (collected) box.effects.push({type: "usage", ...collected})
}

function listNeeds(box: BoxServing): Map<string, AllowanceDemand> {
  const needs = new Map<string, AllowanceDemand>()
  for (const request of box.requests.values()) {
    const {organisation} = request.arrival
    const limit = limitFor(box, request)
    if (organisation === undefined || !limit) continue
    const isWaiting = request.chargeAsked !== undefined && !request.attempt
    const {need} = needs.get(organisation) ?? {need: 0}
    needs.set(organisation, {
      need: need + (isWaiting ? costFor(box, request) : 0),
      least: STOCKED_PLAIN_REQUESTS * costOf(limit, undefined)
    })
  }
  return needs
}
