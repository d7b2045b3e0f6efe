/** Usage that counts until certain times, and how much of it will still count later. */

/** Times are rounded up to whole ticks, milliseconds: an amount never counts for less than it has to. */
const TICK_MS = 500

/** Between two steps of an outlook, milliseconds. */
export const STEP_MS = 1_000

export class CountedUsage {
  /** Amounts by the tick in which they end. */
  private readonly ends_ = new Map<number, number>()

  add(amount: number, endsAt: number): void {
    const tick = Math.ceil(endsAt / TICK_MS)
    this.ends_.set(tick, (this.ends_.get(tick) ?? 0) + amount)
  }

  /** Takes an amount off that was added with this end. */
  remove(amount: number, endsAt: number): void {
    const tick = Math.ceil(endsAt / TICK_MS)
    const left = (this.ends_.get(tick) ?? 0) - amount
    if (left > 0) this.ends_.set(tick, left)
    else this.ends_.delete(tick)
  }

  /** What counts at this time. */
  total(now: number): number {
    let sum = 0
    for (const [tick, amount] of this.ends_) {
      if (tick * TICK_MS > now) sum += amount
      else this.ends_.delete(tick)
    }
    return sum
  }

  /** What counts now, one step later, and so on; each is at most the one before. */
  outlook(now: number, steps: number): number[] {
    return Array.from({length: steps}, (_, step) => {
      let sum = 0
      const at = now + step * STEP_MS
      for (const [tick, amount] of this.ends_) if (tick * TICK_MS > at) sum += amount
      return sum
    })
  }

  /** In how long no more than `most` counts, milliseconds, if nothing is added. */
  timeUntil(most: number, now: number): number {
    let left = this.total(now)
    const ends = [...this.ends_].sort(([a], [b]) => a - b)
    for (const [tick, amount] of ends) {
      if (left <= most) break
      left -= amount
      if (left <= most) return tick * TICK_MS - now
    }
    return 0
  }
}
