/** Usage projections: amounts that count now, one step later, and so on. */
import type {TimedAmount} from "../types/usage-messages.js"
import {type CountedUsage, PROJECTION_STEP_MS} from "./counted-usage.js"

/** Returns the projection of all parts together. */
export function projectSum(
  parts: readonly CountedUsage[],
  now: number,
  steps: number
): number[] {
  const sums = new Array<number>(steps).fill(0)
  for (const part of parts) {
    part.project(now, steps).forEach((amount, step) => {
      sums[step] = (sums[step] ?? 0) + amount
    })
  }
  return sums
}

/** Counts a stored projection that is read at `now`. Each step counts to its end. */
export function addProjection(
  count: CountedUsage,
  projection: readonly number[],
  now: number
): void {
  projection.forEach((amount, step) => {
    const expiring = amount - (projection[step + 1] ?? 0)
    if (expiring > 0) count.add(expiring, now + (step + 1) * PROJECTION_STEP_MS)
  })
}

/** Counts amounts for their times from `from` on. */
export function addTimed(
  count: CountedUsage,
  amounts: readonly TimedAmount[],
  from: number
): void {
  for (const {amount, forMs} of amounts) count.add(amount, from + forMs)
}

/** Returns what can be added to a projection within the stored one. */
export function roomIn(stored: readonly number[], projection: readonly number[]): number {
  return Math.min(...projection.map((amount, step) => (stored[step] ?? 0) - amount))
}

/** Returns the usage that counts in all parts together. */
export function sumTotals(parts: readonly CountedUsage[], now: number): number {
  return parts.reduce((sum, part) => sum + part.total(now), 0)
}

/** Returns the higher projection at each step. */
export function higherOf(a: readonly number[], b: readonly number[]): number[] {
  return a.map((amount, step) => Math.max(amount, b[step] ?? 0))
}

/** Returns the lower projection at each step. */
export function lowerOf(next: readonly number[], stored: readonly number[]): number[] {
  return next.map((amount, step) => Math.min(amount, stored[step] ?? 0))
}
