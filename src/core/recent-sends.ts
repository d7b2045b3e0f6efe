/** What a box sent to each backend server within the last seconds, in steps of time. */

/** Servers count what they get over spans of this length, milliseconds. */
export const SPAN_MS = 4_000

/** The steps in which it is counted, milliseconds. */
export const SENT_STEP_MS = 250

const STEPS = SPAN_MS / SENT_STEP_MS

interface Counts {
  /** The number of the newest step. */
  step: number
  /** By the number of the step, modulo the steps that are kept. */
  readonly counts: number[]
}

/** Times are those in which the process ran, milliseconds. */
export class RecentSends {
  private readonly servers_ = new Map<string, Counts>()

  note(server: string, now: number): void {
    const counts = this.at(server, now)
    const index = counts.step % STEPS
    counts.counts[index] = (counts.counts[index] ?? 0) + 1
  }

  /** By age in steps, the newest first; empty: nothing was sent. */
  list(server: string, now: number): number[] {
    if (!this.servers_.has(server)) return []
    const {step, counts} = this.at(server, now)
    const listed = counts.map((_, age) => counts[(step - age + STEPS) % STEPS] ?? 0)
    return listed.some(count => count > 0) ? listed : []
  }

  /** Keeps the counts of these servers only. */
  keep(isKept: (server: string) => boolean): void {
    for (const server of this.servers_.keys()) {
      if (!isKept(server)) this.servers_.delete(server)
    }
  }

  private at(server: string, now: number): Counts {
    const step = Math.floor(now / SENT_STEP_MS)
    let known = this.servers_.get(server)
    if (!known) {
      known = {step, counts: Array.from({length: STEPS}, () => 0)}
      this.servers_.set(server, known)
    }
    const passed = Math.min(STEPS, step - known.step)
    for (let i = 1; i <= passed; i++) known.counts[(known.step + i) % STEPS] = 0
    known.step = Math.max(known.step, step)
    return known
  }
}
