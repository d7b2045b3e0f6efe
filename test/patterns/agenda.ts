/**
 * A simulated clock. Scheduled actions run in the order of their times and alone advance
 * the time. Actions of the same time run in the order in which they were scheduled.
 */

interface ScheduledAction {
  readonly at: number
  readonly number: number
  readonly act: () => void
}

export class Agenda {
  now = 0
  private scheduled_ = 0
  /** A binary heap, the next action first. */
  private readonly actions_: ScheduledAction[] = []

  /** Schedules an action to run after the given delay (ms). */
  schedule(ms: number, act: () => void): void {
    const due = {at: this.now + ms, number: this.scheduled_++, act}
    const actions = this.actions_
    let index = actions.length
    while (index > 0) {
      const parentIndex = (index - 1) >>> 1
      const parent = actions[parentIndex] as ScheduledAction
      if (!isBefore(due, parent)) break
      actions[index] = parent
      index = parentIndex
    }
    actions[index] = due
  }

  /** Runs all actions that are due by `end` and advances the time to it. */
  runUntil(end: number): void {
    for (let due = this.actions_[0]; due && due.at <= end;) {
      this.removeFirst()
      this.now = due.at
      due.act()
      due = this.actions_[0]
    }
    this.now = end
  }

  private removeFirst(): void {
    const actions = this.actions_
    const moved = actions.pop()
    if (!moved || actions.length === 0) return
    let index = 0
    for (;;) {
      let childIndex = 2 * index + 1
      if (childIndex >= actions.length) break
      let child = actions[childIndex] as ScheduledAction
      const other = actions[childIndex + 1]
      if (other && isBefore(other, child)) {
        child = other
        childIndex++
      }
      if (!isBefore(child, moved)) break
      actions[index] = child
      index = childIndex
    }
    actions[index] = moved
  }
}

function isBefore(one: ScheduledAction, other: ScheduledAction): boolean {
  return one.at === other.at ? one.number < other.number : one.at < other.at
}
