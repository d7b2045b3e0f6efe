/**
 * Usage limits of organisations: the leader grants each box allowances, to which sends
 * are charged. A request without enough allowance waits for more, or is refused with the
 * time at which there may be room again.
 */
import {failRequest, failUnsent} from "./box-ends.js"
import {keepsSilentAttempt} from "./box-hedges.js"
import {timeUntilOrdersMs} from "./box-waits.js"
import {costFor, limitFor} from "./box-charges.js"
import type {BoxRequest, BoxServing} from "./box-state.js"
import {isTooLate, RETRY_TIME_SHARE} from "./caller-time.js"
import {hasFewPlaces} from "./engine-load.js"
import {costOf} from "./usage-limits.js"
import type {AllowanceDemand} from "./allowance-pool.js"

/** A leader that has answered no request for allowances for this time counts as lost. */
const SILENT_LEADER_MS = 1_000

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
export function waitForUsageAllowance(
  box: BoxServing,
  request: BoxRequest,
  now: number
): void {
  if (refuseIfOverLimit(box, request, now)) return
  request.allowanceRequestedAt ??= now
  if (refuseIfNoLeader(box, request, now)) return
  requestUsageAllowances(box, now)
}

/**
 * Refuses a request if no leader is expected to grant allowances in time. All boxes have
 * the same leader, so that others could not serve it either. Returns whether it did.
 */
function refuseIfNoLeader(box: BoxServing, request: BoxRequest, now: number): boolean {
  const leaderInMs = timeUntilAllowancesMs(box, request, now)
  if (!isTooLate(box, request, leaderInMs, now)) return false
  const {organisation} = request.arrival
  if (organisation !== undefined) {
    box.usageAllowances.recordUnserved(organisation, costFor(box, request), now)
  }
  const jitter = 1 + RETRY_JITTER_SHARE * box.options.random()
  const retryAfterMs = leaderInMs > 0 ? Math.round(leaderInMs * jitter) : undefined
  failUnsent(box, request, now, retryAfterMs)
  return true
}

/**
 * Returns the least time until a leader grants allowances. A silent leader is replaced at
 * best; an answer that has begun waits for it nevertheless, as its caller has no other.
 */
function timeUntilAllowancesMs(
  box: BoxServing,
  {answerStarted}: BoxRequest,
  now: number
): number {
  const leaderInMs = timeUntilOrdersMs(box, now)
  const isSilent = box.usageAllowances.unansweredMs(now) > SILENT_LEADER_MS
  if (!isSilent || answerStarted) return leaderInMs
  return Math.max(leaderInMs, box.options.handoverMs)
}

/**
 * Refuses a request whose organisation has reached its limit. While the leader does not know
 * whether it has, or if the answer has begun, the request waits for room that there will be
 * in time. Returns whether it is refused or waits.
 */
export function refuseIfOverLimit(
  box: BoxServing,
  request: BoxRequest,
  now: number
): boolean {
  const {organisation} = request.arrival
  if (organisation === undefined || !limitFor(box, request)) return false
  const cost = costFor(box, request)
  const fullMs = box.usageAllowances.fullForMs(organisation, now)
  if (fullMs === 0 || box.usageAllowances.holds(organisation, cost, now)) return false
  const isUnknown = box.usageAllowances.isUnknown(organisation)
  const mayWait = isUnknown || request.answerStarted
  if (mayWait && !isTooLate(box, request, fullMs, now)) return true
  const limitReason = isUnknown ? "not-run" : "over-limit"
  const reason = request.runs > 0 ? "unknown" : limitReason
  // Callers do not come back for an attempt that their request does without.
  if (!keepsSilentAttempt(box, request, reason)) {
    box.usageAllowances.recordRefusal(organisation, cost, now)
  }
  const jitter = 1 + RETRY_JITTER_SHARE * box.options.random()
  const waitMs = fullMs + spreadMs(box, request, organisation, now)
  const retryAfterMs = Math.round(Math.max(MIN_RETRY_AFTER_MS, waitMs) * jitter)
  failRequest(box, request, reason, now, retryAfterMs)
  return true
}

/**
 * Returns the time by which callers of an organisation over its limit are spread, if
 * engines have few places. Each caller that comes back too early occupies a connection and
 * is refused again.
 */
function spreadMs(
  box: BoxServing,
  {deadlineAt}: BoxRequest,
  organisation: string,
  now: number
): number {
  const services = box.table?.services.values() ?? []
  const areFew = [...services].some(({engine}) => hasFewPlaces(engine))
  if (!areFew) return 0
  const longestMs = RETRY_TIME_SHARE * Math.max(0, deadlineAt - now)
  return Math.min(longestMs, box.usageAllowances.spreadMs(organisation, now))
}

/** Reports usage to the leader and requests the allowances needed now and soon. */
export function requestUsageAllowances(box: BoxServing, now: number): void {
  if (!box.table || box.table.usageLimits.size === 0) return
  const collected = box.usageAllowances.buildRequest(listNeeds(box), now)
  if (collected) box.effects.push({type: "usage", ...collected})
}

function listNeeds(box: BoxServing): Map<string, AllowanceDemand> {
  const needs = new Map<string, AllowanceDemand>()
  for (const request of box.requests.values()) {
    const {arrival, attempt, allowanceRequestedAt} = request
    const {organisation} = arrival
    const limit = limitFor(box, request)
    if (organisation === undefined || !limit) continue
    const isWaiting = attempt?.needsAllowance ?? allowanceRequestedAt !== undefined
    const {need} = needs.get(organisation) ?? {need: 0}
    needs.set(organisation, {
      need: need + (isWaiting ? costFor(box, request) : 0),
      least: STOCKED_PLAIN_REQUESTS * costOf(limit, undefined)
    })
  }
  return needs
}
