/**
 * How long a box waits for the first answer on a connection to its leader. A leader without a
 * processor, or with the requests of many boxes before this one's, opens a link late. A
 * link that is given up has to be opened all the same, before the next one that the box
 * asks for: with a fixed limit no link comes about while the leader is slower than that.
 */

/** By then the lease of a leader whose process stands still has run out. */
const FIRST_WAIT_MS = 4_800

/** Limits how late a box finds out that its connection is silent, not its leader slow. */
const MAX_WAIT_MS = 9_600

export class LinkPatience {
  private leader_: string | undefined
  private waitMs_ = FIRST_WAIT_MS

  /** Returns how long to wait for a leader (ms). Each failure doubles that. */
  waitMs(incarnation: string): number {
    return incarnation === this.leader_ ? this.waitMs_ : FIRST_WAIT_MS
  }

  /** Records that a link ended before the leader had answered on it. */
  recordFailure(incarnation: string): void {
    this.waitMs_ = Math.min(MAX_WAIT_MS, 2 * this.waitMs(incarnation))
    this.leader_ = incarnation
  }

  /** Records that a leader has answered. */
  recordAnswer(): void {
    this.leader_ = undefined
  }
}
