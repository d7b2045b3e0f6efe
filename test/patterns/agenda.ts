/**
 * A simulated clock. Scheduled actions run in the order of their times and alone advance
 * the time.
 */

interface ScheduledAction {
  readonly at: number
  readonly act: () => void
}

export class Agenda {
  now = 0
  /** Sorted by time, the latest first. */
  private readonly actions_: ScheduledAction[] = []

  /** Schedules an action to run after the given delay (ms). */
  schedule(ms: number, act: () => void): void {
    const due = {at: this.now + ms, act}
    let low = 0
    let high = this.actions_.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if ((this.actions_[middle] as ScheduledAction).at > due.at) low = middle + 1
      else high = middle
    }
    this.actions_.splice(low, 0, due)
  }

  /** Runs all actions that are due by `end` and advances the time to it. */
  runUntil(end: number): void {
    for (let due = this.actions_.at(-1); due && due.at <= end;) {
      this.actions_.pop()
      this.now = due.at
      due.act()
      due = this.actions_.at(-1)
    }
    this.now = end
  }
}
