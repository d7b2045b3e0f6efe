/** A simulated clock: what is due happens in the order of its times, and nothing else moves time. */

interface Due {
  readonly at: number
  readonly act: () => void
}

export class Agenda {
  now = 0
  /** Latest first. */
  private readonly due_: Due[] = []

  /** Has something happen so much later, milliseconds. */
  later(ms: number, act: () => void): void {
    const due = {at: this.now + ms, act}
    let low = 0
    let high = this.due_.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if ((this.due_[middle] as Due).at > due.at) low = middle + 1
      else high = middle
    }
    this.due_.splice(low, 0, due)
  }

  /** Lets time pass until then. */
  runUntil(end: number): void {
    for (let due = this.due_.pop(); due && due.at <= end; due = this.due_.pop()) {
      this.now = due.at
      due.act()
    }
    this.now = end
  }
}
