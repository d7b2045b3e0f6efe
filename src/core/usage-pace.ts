/**
 * Token buckets that spread the usage of an organisation over time. Without them one that
 * sends many times its limit uses a whole window at once: its requests fill the places of
 * engines, and for the rest of the window it is refused what its rate allows.
 *
 * A bucket only lowers what the window allows, so the bound of `usage-limits.ts` holds
 * with any state of it.
 */
import type {UsageLimit} from "../types/organisations.js"
import {hasFewPlaces} from "./engine-load.js"
import type {RouteTable} from "./route-table.js"
import {usageLifetimeMs, windowLimit, type UsageOptions} from "./usage-limits.js"

/**
 * Least capacity of a bucket, as time at its rate. Boxes request what they need for the
 * next 600 ms, and with less capacity usual demand would be refused.
 */
const MIN_CAPACITY_MS = 1_000

/** Rate and capacity of a bucket, in the limit's unit. */
export interface UsagePace {
  readonly perMs: number
  readonly capacity: number
}

/**
 * Average time from the grant of an allowance until its use is reported: boxes request what
 * they need for 600 ms, and report at the same interval. Usage counts for longer by it.
 */
const REPORTED_AFTER_MS = 1_000

/**
 * Returns the pace of a limit. An organisation that uses all that its bucket grants never
 * meets the limit of a window: the capacity, and the rate over the time for which usage
 * counts, add up to it. At the whole rate the window would be used up by and by, and
 * refuse everything for some seconds.
 */
export function paceOf(limit: UsageLimit, options: UsageOptions): UsagePace {
  const {overage, slack} = options
  const perSecond = limit.perSecond * (1 + overage)
  const burst = limit.burst * (1 + overage) + slack
  const most = windowLimit(limit, options)
  const wanted = Math.max(burst, (perSecond * MIN_CAPACITY_MS) / 1_000)
  // With a burst of most of the window or a very short one, half is left for the rate.
  const capacity = Math.min(wanted, most / 2)
  const left = most - capacity
  return {perMs: left / (usageLifetimeMs(options) + REPORTED_AFTER_MS), capacity}
}

const known = new WeakMap<RouteTable, ReadonlyMap<string, UsagePace>>()

/**
 * Returns the paces of a configuration's limits, by organisation. Empty if no engine has
 * few places, as bursts then fill none.
 */
export function listPaces(
  table: RouteTable,
  options: UsageOptions
): ReadonlyMap<string, UsagePace> {
  const listed = known.get(table) ?? findPaces(table, options)
  known.set(table, listed)
  return listed
}

function findPaces(table: RouteTable, options: UsageOptions): Map<string, UsagePace> {
  if (![...table.services.values()].some(({engine}) => hasFewPlaces(engine)))
    return new Map()
  const limits = [...table.usageLimits]
  return new Map(limits.map(([name, limit]) => [name, paceOf(limit, options)]))
}

export class UsageBucket {
  /**
   * @param level_ - What may be granted at `at_`. A bucket that knows of no earlier usage
   * is full.
   */
  constructor(
    private level_: number,
    private at_: number
  ) {}

  /**
   * Returns how much may be granted now to a request for `amount`. A full bucket grants any
   * amount, as it could never grant one beyond its capacity otherwise.
   */
  room(amount: number, pace: UsagePace, now: number): number {
    this.refill(pace, now)
    const isFull = this.level_ >= pace.capacity
    return isFull ? Math.max(amount, this.level_) : Math.max(0, this.level_)
  }

  /** Returns the time until `amount` may be granted (ms). */
  msUntil(amount: number, pace: UsagePace, now: number): number {
    this.refill(pace, now)
    const missing = Math.min(amount, pace.capacity) - this.level_
    return missing > 0 ? Math.ceil(missing / pace.perMs) : 0
  }

  take(amount: number, pace: UsagePace, now: number): void {
    this.refill(pace, now)
    this.level_ -= amount
  }

  /** Puts back what was granted and not used. */
  putBack(amount: number, pace: UsagePace, now: number): void {
    this.take(-amount, pace, now)
    this.level_ = Math.min(pace.capacity, this.level_)
  }

  private refill({perMs, capacity}: UsagePace, now: number): void {
    const elapsedMs = Math.max(0, now - this.at_)
    this.at_ = Math.max(this.at_, now)
    // A lower limit may have come into force since.
    this.level_ = Math.min(capacity, this.level_ + elapsedMs * perMs)
  }
}
