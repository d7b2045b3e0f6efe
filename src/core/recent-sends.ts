/** Counts of a box's sends to each backend server in the last seconds, by time step. */

/** Window over which servers count requests for their rate limit. */
export const RATE_WINDOW_MS = 4_000

/** Time step of the counts. */
export const SENT_STEP_MS = 250

const STEPS = RATE_WINDOW_MS / SENT_STEP_MS

interface Counts {
  /** Number of the newest step. */
  step: number
  /** Indexed by the step number modulo `STEPS`. */
  readonly counts: number[]
}

/** Times exclude suspensions of the process. */
export class RecentSends {
  private readonly servers_ = new Map<string, Counts>()

  record(server: string, now: number): void {
    const counts = this.countsAt(server, now)
    const index = counts.step % STEPS
    counts.counts[index] = (counts.counts[index] ?? 0) + 1
  }

  /** Returns the counts by age in steps, newest first. Empty if nothing was sent. */
  list(server: string, now: number): number[] {
    if (!this.servers_.has(server)) return []
    const {step, counts} = this.countsAt(server, now)
    const listed = counts.map((_, age) => counts[(step - age + STEPS) % STEPS] ?? 0)
    return listed.some(count => count > 0) ? listed : []
  }

  /** Removes the counts of all other servers. */
  keep(isKept: (server: string) => boolean): void {
    for (const server of this.servers_.keys()) {
      if (!isKept(server)) this.servers_.delete(server)
    }
  }

  private countsAt(server: string, now: number): Counts {
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
