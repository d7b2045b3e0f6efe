/**
 * What an organisation may use, over all boxes together, and the times that the count rests on.
 *
 * In every window W no more than L may be used. The leader gives boxes allowances out of L; a box uses
 * one within `ALLOWANCE_MS` of asking for it, and what it charges reaches a backend server within
 * `CHARGE_MS`. An allowance counts from when it is given until W and `CHARGE_MS` after its last use, or
 * after the end of its time where its use is not told. Let a window begin at x, and g be the last allowance
 * of those used in it: it was given before x + W. Whatever else was used in the window counted as g was
 * given, since it reached a server at x or later. The leader gave g only where all that counted was at
 * most L with it. So no more than L is used in the window, whoever was cut off, paused or killed.
 */
import type {UsageLimit} from "../types/organisations.js"

/** How usage is counted, over all boxes. */
export interface UsageOptions {
  readonly windowMs: number
  /** Beyond the limit, as a part of it. */
  readonly overage: number
  /** Beyond the limit, in the limit's unit. */
  readonly slack: number
}

/** Where nobody says how usage is counted. */
export const DEFAULT_USAGE: UsageOptions = {windowMs: 10_000, overage: 0, slack: 0}

/** A box may use an allowance for so long after it asked for it, milliseconds. */
export const ALLOWANCE_MS = 4_000

/** A charge that has not left the box by then is taken back, milliseconds. */
export const CHARGE_MS = 900

/** From a box to a backend server, with clocks that run apart, milliseconds. */
const WAY_MS = 100

/** All that may be used in any window. */
export function limitIn({perSecond, burst}: UsageLimit, options: UsageOptions): number {
  const {windowMs, overage, slack} = options
  return ((perSecond * windowMs) / 1_000 + burst) * (1 + overage) + slack
}

/** How long a use counts, milliseconds. */
export function countedMs({windowMs}: UsageOptions): number {
  return windowMs + CHARGE_MS + WAY_MS
}

/** What one request uses; `usage`: the tokens that its caller tells. */
export function costOf(
  {unit, plainTokens}: UsageLimit,
  usage: number | undefined
): number {
  return unit === "requests" ? 1 : (usage ?? plainTokens)
}
