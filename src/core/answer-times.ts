/**
 * When an answer of a service is late, by the times that its answers take: the estimate of
 * TCP's retransmission timeout (RFC 6298). A fixed limit that is shorter than the answers
 * take makes each call fail and be repeated, which delays the answers further.
 */

const MEAN_WEIGHT = 1 / 8
const DEVIATION_WEIGHT = 1 / 4
const DEVIATIONS = 4

/** After this time without an answer, earlier ones tell nothing any more. */
const FORGET_MS = 5_000

export class AnswerTimes {
  private meanMs_: number | undefined
  private deviationMs_ = 0
  private recordedAt_ = -Infinity

  /** The limit is between `leastMs` and `mostMs`. */
  constructor(
    private readonly leastMs_: number,
    private readonly mostMs_: number
  ) {}

  /** Records that an answer took `ms` milliseconds, also one that nobody waited for. */
  record(ms: number, now: number): void {
    const isForgotten = now - this.recordedAt_ > FORGET_MS
    this.recordedAt_ = now
    if (this.meanMs_ === undefined || isForgotten) {
      this.meanMs_ = ms
      this.deviationMs_ = ms / 2
      return
    }
    const difference = Math.abs(ms - this.meanMs_)
    this.deviationMs_ += DEVIATION_WEIGHT * (difference - this.deviationMs_)
    this.meanMs_ += MEAN_WEIGHT * (ms - this.meanMs_)
  }

  /** Time after which an answer is late (ms). */
  lateAfterMs(now: number): number {
    if (now - this.recordedAt_ > FORGET_MS) return this.leastMs_
    const expectedMs = (this.meanMs_ ?? 0) + DEVIATIONS * this.deviationMs_
    return Math.min(this.mostMs_, Math.max(this.leastMs_, expectedMs))
  }

  /** By how many times answers take longer than usual, 1 or more. */
  slowness(now: number): number {
    return this.lateAfterMs(now) / this.leastMs_
  }
}
