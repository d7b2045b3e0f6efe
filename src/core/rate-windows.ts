/** Budgets over sliding windows: loads from the weight store, and retries of boxes. */
import {sendsUnbatched} from "./placement-updates.js"

/** Counts events of the last `spanMs`. */
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
  /** Retries allowed for each request, over all boxes. */
  readonly ratio: number
  /** Additional retries allowed in each window, over all boxes. */
  readonly slack: number
  readonly windowMs: number
}

/**
 * Part of the shared budget that boxes use if there are few of them. Their windows begin
 * at different times.
 */
const FEW_BOXES_SHARE = 0.6

/**
 * Parts of the budget if there are many boxes: what a box uses of what its own requests
 * allow, the slack that is divided among boxes, and the slack that the leader grants on
 * request. Divided by 195 boxes, the slack rounds down to two retries per box in 10 s,
 * and most boxes need none. The three parts stay below the whole, since windows of boxes
 * begin at different times.
 */
const OWN_REQUESTS_SHARE = 0.8
const OWN_SLACK_SHARE = 0.15
const POOLED_SLACK_SHARE = 0.7

/** A box's part of the retry budget of one service. */
export class RetryBudget {
  private readonly requests_: SlidingCount
  private readonly retries_: SlidingCount

  constructor(private readonly options_: RetryBudgetOptions) {
    this.requests_ = new SlidingCount(options_.windowMs)
    this.retries_ = new SlidingCount(options_.windowMs)
  }

  recordRequest(now: number): void {
    this.requests_.add(now)
  }

  /**
   * Returns how many retries the box can make without a grant of the leader. The slack is
   * divided among `boxes`.
   */
  remaining(now: number, boxes: number): number {
    const {ratio, slack} = this.options_
    const byRequests = ratio * this.requests_.count(now)
    const bySlack = slack / Math.max(1, boxes)
    const own = sendsUnbatched(boxes)
      ? FEW_BOXES_SHARE * (byRequests + bySlack)
      : OWN_REQUESTS_SHARE * byRequests + OWN_SLACK_SHARE * bySlack
    return Math.floor(own) - this.retries_.count(now)
  }

  /** Counts a retry. */
  recordRetry(now: number): void {
    this.retries_.add(now)
  }
}

/**
 * The part of the slack that the leader grants on request, one retry at a time.
 *
 * It serves callers that are spread unevenly over many boxes. With 140 callers, 195 boxes
 * and 19% of sends refused, 9.4% of the requests were refused while boxes had only their
 * own parts of the budget, although two thirds of it were unused.
 */
export class RetryPool {
  private readonly grants_ = new Map<string, SlidingCount>()

  /**
   * Grants of an earlier leader are unknown, so the pool fills over one window from
   * `since_` on.
   */
  constructor(
    private readonly options_: RetryBudgetOptions,
    private readonly since_: number
  ) {}

  /** Takes a retry for a request of the service. Returns false if there is none left. */
  tryTake(service: string, now: number): boolean {
    const {slack, windowMs} = this.options_
    const filled = Math.min(1, (now - this.since_) / windowMs)
    const grants = this.grants_.get(service) ?? new SlidingCount(windowMs)
    this.grants_.set(service, grants)
    if (grants.count(now) + 1 > POOLED_SLACK_SHARE * slack * filled) return false
    grants.add(now)
    return true
  }
}
