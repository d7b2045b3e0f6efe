/** Budgets over sliding windows: loads from the weight store, and repeated sends of boxes. */
import {isSmall} from "./placement-news.js"

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

/** Of the shared budget few boxes use this part: others count windows that begin elsewhere. */
const USED_SHARE = 0.6

/**
 * Where there are many boxes, the part of what its own requests allow that a box uses by itself, and
 * of the slack the part that is divided among boxes. Most of the slack is given out by the leader to
 * who asks: divided by 195 it rounds down to two repeats a box in 10 s, and most boxes need none. The
 * three parts stay under the whole for the windows that begin elsewhere.
 */
const OWN_REQUESTS_SHARE = 0.8
const OWN_SLACK_SHARE = 0.15
const POOLED_SLACK_SHARE = 0.7

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

  /** What the box may still send once more without asking; `boxes` share the slack. */
  left(now: number, boxes: number): number {
    const {ratio, slack} = this.options_
    const byRequests = ratio * this.requests_.count(now)
    const bySlack = slack / Math.max(1, boxes)
    const own = isSmall(boxes)
      ? USED_SHARE * (byRequests + bySlack)
      : OWN_REQUESTS_SHARE * byRequests + OWN_SLACK_SHARE * bySlack
    return Math.floor(own) - this.repeats_.count(now)
  }

  /** A request went to a backend server once more. */
  spend(now: number): void {
    this.repeats_.add(now)
  }
}

/**
 * The part of the slack that a leader gives out: one repeat to each who asks, while some are left.
 *
 * It answers callers that are spread unevenly over many boxes: 140 callers before 195 boxes, with 19 in
 * 100 sends turned away, had 9.4 in 100 of their requests refused while boxes could only use their own
 * parts and two thirds of the budget lay unused.
 */
export class RetryPool {
  private readonly given_ = new Map<string, SlidingCount>()

  /** What an earlier leader gave out is not known: the pool fills in one window from its start. */
  constructor(
    private readonly options_: RetryBudgetOptions,
    private readonly since_: number
  ) {}

  /** Whether one more request of the service may be sent again; it counts if so. */
  take(service: string, now: number): boolean {
    const {slack, windowMs} = this.options_
    const filled = Math.min(1, (now - this.since_) / windowMs)
    const given = this.given_.get(service) ?? new SlidingCount(windowMs)
    this.given_.set(service, given)
    if (given.count(now) + 1 > POOLED_SLACK_SHARE * slack * filled) return false
    given.add(now)
    return true
  }
}
