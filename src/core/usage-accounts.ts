/**
 * What a leader counts under one limit: the usage of each connected box, and what earlier
 * leaders projected.
 */
import {CountedUsage} from "./counted-usage.js"

/** Allowance that a box holds. */
export interface HeldAllowance {
  amount: number
  readonly until: number
  /** The counts that contain it. None if the projections of earlier leaders do. */
  readonly countedIn: readonly CountedUsage[]
}

/** Usage of one box that is connected. */
export interface BoxUsage {
  held: HeldAllowance[]
  /** Usage that this leader granted. */
  readonly granted: CountedUsage
  /** Usage that the box stated. */
  readonly stated: CountedUsage
}

/** Usage of one organisation. */
export interface UsageAccount {
  readonly boxes: Map<string, BoxUsage>
  /** Usage that this leader granted, of all boxes. */
  readonly granted: CountedUsage
  /** Usage that claimed boxes stated. */
  readonly stated: CountedUsage
  /** The parts of both of boxes that are no longer connected. */
  readonly goneGranted: CountedUsage
  readonly goneStated: CountedUsage
  /** What earlier leaders projected, and the part of it that they did not claim. */
  readonly earlier: CountedUsage
  readonly unclaimed: CountedUsage
  /** What earlier leaders projected as the most of a claimed box. */
  readonly most: CountedUsage
  /** The part of the last leader's box, until that states its account. */
  readonly lastLeader: CountedUsage
  /** Projections that the store is certain to hold; empty if there are none. */
  stored: readonly number[]
  storedUnclaimed: readonly number[]
  storedOwn: readonly number[]
  storedMost: readonly number[]
}

/** Returns an account without any usage. */
export function createAccount(): UsageAccount {
  return {
    boxes: new Map(),
    granted: new CountedUsage(),
    stated: new CountedUsage(),
    goneGranted: new CountedUsage(),
    goneStated: new CountedUsage(),
    earlier: new CountedUsage(),
    unclaimed: new CountedUsage(),
    most: new CountedUsage(),
    lastLeader: new CountedUsage(),
    stored: [],
    storedUnclaimed: [],
    storedOwn: [],
    storedMost: []
  }
}

/** Returns the usage of a box, which is recorded from now on. */
export function usageOf({boxes}: UsageAccount, box: string): BoxUsage {
  const known = boxes.get(box)
  if (known) return known
  const usage = {held: [], granted: new CountedUsage(), stated: new CountedUsage()}
  boxes.set(box, usage)
  return usage
}

/** Drops statements of boxes that were not claimed, which came before the claims. */
export function dropUnclaimed(account: UsageAccount, claimed: ReadonlySet<string>): void {
  const {boxes, stated, goneStated} = account
  stated.clear()
  goneStated.clear()
  for (const [box, usage] of boxes) {
    if (claimed.has(box)) stated.addAll(usage.stated)
    else {
      usage.stated.clear()
      usage.held = usage.held.map(portion => ({...portion, countedIn: []}))
    }
  }
}

/** Removes an amount from the oldest portions, and returns what was removed of each. */
export function takeOldest(portions: HeldAllowance[], amount: number): HeldAllowance[] {
  const taken: HeldAllowance[] = []
  let left = amount
  while (left > 0 && portions.length > 0) {
    const [first] = portions as [HeldAllowance]
    const part = Math.min(left, first.amount)
    taken.push({...first, amount: part})
    first.amount -= part
    left -= part
    if (first.amount <= 0) portions.shift()
  }
  return taken
}
