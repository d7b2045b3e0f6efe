/** How long requests hold the places of a service, from what engines finish. */

/** Time constant of the averages. */
const AVERAGE_MS = 2_000

/** Assumed until requests have ended, and the bounds of what is measured. */
const DEFAULT_HOLD_MS = 1_500
const MIN_HOLD_MS = 50
const MAX_HOLD_MS = 30_000

/** Fewer requests in progress than this say little. */
const MIN_BUSY = 1

export class PlaceTimes {
  private ended_ = 0
  private endedPerMs_ = 0
  private busy_ = 0
  private averagedAt_: number | undefined

  recordEnded(count: number): void {
    if (Number.isFinite(count) && count > 0) this.ended_ += count
  }

  /** Averages what ended since the last call, while `busy` places were taken. */
  average(busy: number, now: number): void {
    const elapsedMs = now - (this.averagedAt_ ?? now)
    this.averagedAt_ = now
    if (elapsedMs <= 0) return
    const kept = Math.exp(-elapsedMs / AVERAGE_MS)
    this.endedPerMs_ = this.endedPerMs_ * kept + (this.ended_ / elapsedMs) * (1 - kept)
    this.busy_ = this.busy_ * kept + busy * (1 - kept)
    this.ended_ = 0
  }

  /** Requests that `places` places finish in a millisecond while all are taken. */
  finishedPerMs(places: number): number {
    return places / this.holdMs()
  }

  /** Average time that a request holds a place: places taken over requests ended. */
  holdMs(): number {
    if (this.busy_ < MIN_BUSY || this.endedPerMs_ <= 0) return DEFAULT_HOLD_MS
    return Math.min(MAX_HOLD_MS, Math.max(MIN_HOLD_MS, this.busy_ / this.endedPerMs_))
  }
}
