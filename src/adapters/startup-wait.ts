/**
 * Requests that reach a box before its first configuration. After a loss of power callers
 * are sent to boxes that have just started: a box reads its configuration within half a
 * second, while a refused caller tries once more at a box that may be no further.
 */
import {pause} from "../utils/promises.js"
import {clockNow} from "./clock.js"

/**
 * Time that a refusal needs to reach its caller. Nothing is known yet of how long answers
 * take, so that all else of the caller's time may be enough for one.
 */
const REFUSAL_MS = 100

/**
 * Time after the start within which a configuration is expected. Later the store cannot be
 * read, and requests are refused at once.
 */
const EXPECTED_WITHIN_MS = 3_000

/** Requests that wait at once. A box reads their bodies, which are not counted yet. */
const MAX_WAITING = 64

const CHECK_MS = 20

export interface StartupWaitOptions {
  readonly hasConfig: () => boolean
  /** When the process started, by `clockNow`. */
  readonly startedAt: number
}

export class StartupWait {
  private waiting_ = 0

  constructor(private readonly options_: StartupWaitOptions) {}

  /**
   * Waits until the box has a configuration, or no longer than is worthwhile for a caller
   * who waits for `deadlineMs`. Returns how long it has waited (ms).
   */
  async waitForConfig(deadlineMs: number): Promise<number> {
    const {hasConfig, startedAt} = this.options_
    if (hasConfig() || this.waiting_ >= MAX_WAITING) return 0
    const since = clockNow()
    const until = Math.min(
      since + deadlineMs - REFUSAL_MS,
      startedAt + EXPECTED_WITHIN_MS
    )
    this.waiting_++
    while (!hasConfig() && clockNow() < until) await pause(CHECK_MS)
    this.waiting_--
    return clockNow() - since
  }
}
