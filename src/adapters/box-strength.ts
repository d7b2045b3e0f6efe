/**
 * Compares the processor capacity of a box with that of the other boxes. A weak box is
 * leader only for as long as no stronger box can take over.
 */

/** Assumed capacity of the strongest box until a leader has reported it, in cores. */
const DEFAULT_CAPACITY = 1

/** A weak leader resigns in favour of a stronger box after this time. */
const WEAK_LEADERSHIP_MS = 2_000

/** A box is weak if its capacity is below this share of the strongest box's. */
const WEAK_SHARE = 0.6

export class BoxStrength {
  /** The highest capacity of all boxes, in cores. */
  top = DEFAULT_CAPACITY
  private leaderSince_ = 0

  /** `capacity`: processor capacity of this box, in cores. 0 means unknown. */
  constructor(readonly capacity: number) {}

  get isWeak(): boolean {
    return this.capacity > 0 && this.capacity < WEAK_SHARE * this.top
  }

  beginLead(now: number): void {
    this.leaderSince_ = now
  }

  /** Whether this box should resign as leader in favour of a stronger one. */
  leadsTooLong(now: number): boolean {
    return this.isWeak && now - this.leaderSince_ > WEAK_LEADERSHIP_MS
  }
}
