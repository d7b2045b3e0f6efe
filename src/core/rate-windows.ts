/** Budgets over sliding windows: loads from the weight store, and repeated sends of a box. */

/** Counts what happened within the last `spanMs`. */
export class SlidingCount {
  private readonly times_: number[] = []

  constructor(private readonly spanMs_: number) {}

  add(now: number): void {
    this.times_.push(now)
  }

  count(now: number): number {
    const oldest = now - this.spanMs_
    while (this.times_.length > 0 && (this.times_[0] as number) <= oldest) {
      this.times_.shift()
    }
    return this.times_.length
  }
}

export interface RetryBudgetOptions {
  /** Repeated sends allowed for each request, over all boxes. */
  readonly ratio: number
  /** Repeated sends allowed besides in each window, over all boxes. */
  readonly slack: number
  readonly windowMs: number
}

/** Of the shared budget a box leaves this much alone: others count windows that begin elsewhere. */
const USED_SHARE = 0.6

/** A box's part of the budget of repeated sends to one service. */
export class RetryBudget {
  private readonly requests_: SlidingCount
  private readonly repeats_: SlidingCount

  constructor(private readonly options_: RetryBudgetOptions) {
    this.requests_ = new SlidingCount(options_.windowMs)
    this.repeats_ = new SlidingCount(options_.windowMs)
  }

  noteRequest(now: number): void {
    this.requests_.add(now)
  }

  /** What may still be sent once more; `boxes` share the slack. */
  left(now: number, boxes: number): number {
    const {ratio, slack} = this.options_
    const own = ratio * this.requests_.count(now) + slack / Math.max(1, boxes)
    return Math.floor(own * USED_SHARE) - this.repeats_.count(now)
  }

  /** A request went to a backend server once more. */
  spend(now: number): void {
    this.repeats_.add(now)
  }
}
