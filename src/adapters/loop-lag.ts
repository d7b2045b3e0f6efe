/**
 * How late this process runs what is due. What it repeats while it waits for a processor
 * keeps those from running whose answers it waits for.
 */
import {clockNow} from "./clock.js"

const SAMPLE_INTERVAL_MS = 100

/** Lateness up to which a process counts as running without delay. */
const USUAL_LAG_MS = 20

const MAX_STRETCH = 5

/** Weight of a sample in the lag: a single pause of the process is no lag. */
const SAMPLE_WEIGHT = 0.2
const MAX_SAMPLE_MS = MAX_STRETCH * USUAL_LAG_MS

class LoopLag {
  private lagMs_ = 0
  private dueAt_ = 0

  constructor() {
    this.schedule()
  }

  get stretch(): number {
    return Math.max(1, this.lagMs_ / USUAL_LAG_MS)
  }

  private schedule(): void {
    this.dueAt_ = clockNow() + SAMPLE_INTERVAL_MS
    setTimeout(() => this.sample(), SAMPLE_INTERVAL_MS).unref()
  }

  private sample(): void {
    const lateMs = Math.min(MAX_SAMPLE_MS, clockNow() - this.dueAt_)
    this.lagMs_ += SAMPLE_WEIGHT * (lateMs - this.lagMs_)
    this.schedule()
  }
}

const lag = new LoopLag()

/**
 * By how many times this process pauses longer than usual before it repeats a call that
 * brought nothing, 1 or more.
 */
export function lagStretch(): number {
  return lag.stretch
}
