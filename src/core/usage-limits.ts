/**
 * Limits of organisations' usage over all boxes, and the times that the count depends on.
 *
 * In every window of length W at most L may be used. The leader grants boxes allowances
 * out of L. A box uses an allowance within `ALLOWANCE_LIFETIME_MS` of requesting it, and
 * what it charges reaches a backend server within `CHARGE_TIMEOUT_MS`. An allowance
 * counts from its grant until W and `CHARGE_TIMEOUT_MS` after its last use, or after its
 * expiry if its use is not reported.
 *
 * Proof: let a window begin at x, and let g be the last granted of the allowances used in
 * it. It was granted before x + W. All other usage in the window reached a server at x or
 * later, so it counted when g was granted. The leader granted g only if everything that
 * counted, including g, was at most L. So at most L is used in the window, whichever
 * processes were disconnected, paused or killed.
 */
import type {UsageLimit} from "../types/organisations.js"

export interface UsageOptions {
  readonly windowMs: number
  /** Allowed beyond the limit, as a share of it. */
  readonly overage: number
  /** Allowed beyond the limit, in the limit's unit. */
  readonly slack: number
}

export const DEFAULT_USAGE: UsageOptions = {windowMs: 10_000, overage: 0, slack: 0}

/** Time from the request of an allowance until its last use. */
export const ALLOWANCE_LIFETIME_MS = 4_000

/** A charge is refunded if its request has not left the box by then. */
export const CHARGE_TIMEOUT_MS = 900

/** Longest delay from a box to a backend server, and drift between their clocks. */
const DELIVERY_MS = 100

/** Returns the usage allowed in any window. */
export function windowLimit(
  {perSecond, burst}: UsageLimit,
  options: UsageOptions
): number {
  const {windowMs, overage, slack} = options
  return ((perSecond * windowMs) / 1_000 + burst) * (1 + overage) + slack
}

/** Returns how long usage counts. */
export function usageLifetimeMs({windowMs}: UsageOptions): number {
  return windowMs + CHARGE_TIMEOUT_MS + DELIVERY_MS
}

/** Returns what one request uses. `usage` is the token count that its caller declares. */
export function costOf(
  {unit, plainTokens}: UsageLimit,
  usage: number | undefined
): number {
  return unit === "requests" ? 1 : (usage ?? plainTokens)
}
