/**
 * The clock of a process. A machine may be suspended: the steady clock of the system does not count that time,
 * the time of day does, and it may be set besides. What is held by its age must not look newer than it is, so
 * that each step forward of the time of day counts as a suspension. Backward steps are left out.
 */

/** A step of the time of day by less is none, milliseconds: it is read a little after the steady clock. */
const LEAST_STEP_MS = 50

/** A step must show in so many readings: the process may have been held up between the two clocks in one. */
const READINGS = 3

/** Where the times come from, milliseconds. */
export interface ClockSources {
  /** Never steps, and may stand while the machine is suspended. */
  readonly steady: () => number
  readonly timeOfDay: () => number
}

export class ProcessClock {
  private suspendedMs_ = 0
  /** The time of day less the steady one, at the last look. */
  private offset_: number

  constructor(private readonly sources_: ClockSources) {
    this.offset_ = this.readOffset()
  }

  /** Milliseconds that have passed, suspensions included. */
  readonly now = (): number => {
    this.look()
    return this.sources_.steady() + this.suspendedMs_
  }

  /** How much of that the steady clock did not count: suspensions, and steps of the time of day. */
  readonly suspendedMs = (): number => this.suspendedMs_

  private look(): void {
    let step = Infinity
    let offset = this.offset_
    for (let i = 0; i < READINGS && step >= LEAST_STEP_MS; i++) {
      offset = this.readOffset()
      step = Math.min(step, offset - this.offset_)
    }
    this.offset_ = offset
    if (step >= LEAST_STEP_MS) this.suspendedMs_ += step
  }

  private readOffset(): number {
    const {steady, timeOfDay} = this.sources_
    const before = steady()
    return timeOfDay() - before
  }
}

const clock = new ProcessClock({
  steady: () => performance.now(),
  timeOfDay: () => Date.now()
})

/** The time of this process, milliseconds. */
export const clockNow = clock.now

/** How much of it the steady clock did not count, milliseconds. */
export const clockSuspendedMs = clock.suspendedMs
