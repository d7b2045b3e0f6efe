/** Simulated links of a leader to its boxes: a shared uplink and a path to each box. */

export interface LinkOptions {
  /** Throughput of the leader's uplink. */
  readonly uplinkBytesPerMs: number
  /** One-way link delay. */
  readonly delayMs: number
  /** Fraction of messages that are lost and sent again. */
  readonly lossRatio: number
  /** Returns random numbers in [0, 1). */
  readonly draw: () => number
}

/** Delay of a retransmission after a loss. */
const RETRANSMISSION_MS = 200

interface Outage {
  readonly from: number
  readonly until: number
}

/** Computes arrival times. A retransmission delays later messages of its link. */
export class Links {
  private uplinkFreeAt_ = 0
  private readonly arrivedAt_ = new Map<number, number>()
  private readonly outages_ = new Map<number, Outage>()

  constructor(private readonly options_: LinkOptions) {}

  /** Lets no message arrive at the box in this period. */
  addOutage(box: number, from: number, until: number): void {
    this.outages_.set(box, {from, until})
  }

  /** Returns when a message of this size that is sent now arrives at a box. */
  send(box: number, bytes: number, now: number): number {
    const {uplinkBytesPerMs: bytesPerMs, delayMs, lossRatio: loss, draw} = this.options_
    this.uplinkFreeAt_ = Math.max(this.uplinkFreeAt_, now) + bytes / bytesPerMs
    const retransmissionMs = draw() < loss ? RETRANSMISSION_MS : 0
    const undisturbedAt = this.uplinkFreeAt_ + delayMs + retransmissionMs
    const outage = this.outages_.get(box)
    const deliverableAt =
      outage && undisturbedAt >= outage.from && undisturbedAt < outage.until
        ? outage.until
        : undisturbedAt
    const at = Math.max(deliverableAt, this.arrivedAt_.get(box) ?? 0)
    this.arrivedAt_.set(box, at)
    return at
  }
}
