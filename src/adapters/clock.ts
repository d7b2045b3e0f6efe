/**
 * The clock of a process. The system's monotonic clock doesn't count the time while a
 * machine is suspended. The time of day does, but it may also be set. Nothing may look
 * newer than it is, so each forward step of the time of day counts as a suspension.
 * Backward steps are ignored.
 */

/** Smaller steps are ignored, since the two clocks aren't read at the same moment. */
const MIN_STEP_MS = 50

/**
 * Readings that must show a step, since a process pause between the clocks distorts
 * one.
 */
const STEP_READINGS = 3

/** The clocks of the system (ms). */
export interface ClockSources {
  /** Monotonic clock. It may stop while the machine is suspended. */
  readonly monotonic: () => number
  readonly timeOfDay: () => number
}

export class ProcessClock {
  private suspendedMs_ = 0
  /** Time of day minus monotonic time at the last reading. */
  private offset_: number

  constructor(private readonly sources_: ClockSources) {
    this.offset_ = this.readOffset()
  }

  /** Returns the monotonic time, suspensions included (ms). */
  readonly now = (): number => {
    this.detectStep()
    return this.sources_.monotonic() + this.suspendedMs_
  }

  /**
   * Returns the time that the monotonic clock didn't count: suspensions and forward
   * steps.
   */
  readonly suspendedMs = (): number => this.suspendedMs_

  private detectStep(): void {
    let step = Infinity
    let offset = this.offset_
    for (let i = 0; i < STEP_READINGS && step >= MIN_STEP_MS; i++) {
      offset = this.readOffset()
      step = Math.min(step, offset - this.offset_)
    }
    this.offset_ = offset
    if (step >= MIN_STEP_MS) this.suspendedMs_ += step
  }

  private readOffset(): number {
    const {monotonic: steady, timeOfDay} = this.sources_
    const before = steady()
    return timeOfDay() - before
  }
}

const clock = new ProcessClock({
  monotonic: () => performance.now(),
  timeOfDay: () => Date.now()
})

/** Returns the time of this process (ms). */
export const clockNow = clock.now

/** Returns the part of `clockNow` that the monotonic clock didn't count. */
export const clockSuspendedMs = clock.suspendedMs
