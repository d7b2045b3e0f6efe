/** What the processor of a box can do beside those of other boxes: a weak one leads only for as long as it has to. */

/** What the strongest box can do, as long as nobody has told, in cores. */
const USUAL_CAPACITY = 1

/** A weak leader gives the lead up to a stronger box that follows, after so long, milliseconds. */
const WEAK_LEAD_MS = 2_000

/** A box with less than this part of the strongest one's processor is weak. */
const WEAK_SHARE = 0.6

export class BoxStrength {
  /** The most that any box can do, in cores. */
  top = USUAL_CAPACITY
  private leadsFrom_ = 0

  /** `capacity`: what this box can do, in cores; 0: it does not tell. */
  constructor(readonly capacity: number) {}

  get isWeak(): boolean {
    return this.capacity > 0 && this.capacity < WEAK_SHARE * this.top
  }

  beginLead(now: number): void {
    this.leadsFrom_ = now
  }

  /** Whether a stronger box is to lead in its place. */
  leadsTooLong(now: number): boolean {
    return this.isWeak && now - this.leadsFrom_ > WEAK_LEAD_MS
  }
}
