/** Usage with expiry times, and a projection of how much of it still counts later. */
import type {TimedAmount} from "../types/usage-messages.js"

/**
 * Expiry times are rounded up to whole ticks, so that usage never counts for too short.
 */
const TICK_MS = 500

/** Step of a usage projection. */
export const PROJECTION_STEP_MS = 1_000

export class CountedUsage {
  /** Amounts by the tick of their expiry. */
  private readonly amounts_ = new Map<number, number>()

  add(amount: number, endsAt: number): void {
    const tick = Math.ceil(endsAt / TICK_MS)
    this.amounts_.set(tick, (this.amounts_.get(tick) ?? 0) + amount)
  }

  /** Removes an amount that was added with this expiry. */
  remove(amount: number, endsAt: number): void {
    const tick = Math.ceil(endsAt / TICK_MS)
    const left = (this.amounts_.get(tick) ?? 0) - amount
    if (left > 0) this.amounts_.set(tick, left)
    else this.amounts_.delete(tick)
  }

  clear(): void {
    this.amounts_.clear()
  }

  /** Adds all amounts of another count. */
  addAll({amounts_: others}: CountedUsage): void {
    for (const [tick, amount] of others) {
      this.amounts_.set(tick, (this.amounts_.get(tick) ?? 0) + amount)
    }
  }

  /** Lists the amounts that still count, and for how long. */
  list(now: number): TimedAmount[] {
    return [...this.amounts_]
      .map(([tick, amount]) => ({amount, forMs: tick * TICK_MS - now}))
      .filter(({forMs}) => forMs > 0)
  }

  /** Returns the usage that counts at this time. */
  total(now: number): number {
    let sum = 0
    for (const [tick, amount] of this.amounts_) {
      if (tick * TICK_MS > now) sum += amount
      else this.amounts_.delete(tick)
    }
    return sum
  }

  /** Returns the usage that counts now, one step later, and so on; it never increases. */
  project(now: number, steps: number): number[] {
    return Array.from({length: steps}, (_, step) => {
      let sum = 0
      const at = now + step * PROJECTION_STEP_MS
      for (const [tick, amount] of this.amounts_) if (tick * TICK_MS > at) sum += amount
      return sum
    })
  }

  /** Returns the time until at most `most` counts, if nothing is added. */
  msUntilAtMost(most: number, now: number): number {
    let left = this.total(now)
    const sorted = [...this.amounts_].sort(([a], [b]) => a - b)
    for (const [tick, amount] of sorted) {
      if (left <= most) break
      left -= amount
      if (left <= most) return tick * TICK_MS - now
    }
    return 0
  }
}
