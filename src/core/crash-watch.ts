/** Tracks which requests were in progress at a backend server when it crashed. */

/** A request counts as in progress until this time after its connection was closed. */
const CLOSED_MS = 1_000

/**
 * The same limit after a complete answer. A server may crash right after it, and the
 * crash may be noticed a little later.
 */
const ANSWERED_MS = 300

const MAX_ENDED = 2_000

/**
 * Interval and number of connection tests of a server that closed connections during
 * requests.
 */
const PROBE_INTERVAL_MS = 500
const MAX_PROBES = 4

/**
 * Time in which a new incarnation of the server proves a crash: if the server could not
 * be reached, and if it could.
 */
const UNREACHABLE_MS = 15_000
const REACHABLE_MS = 3_000

/** Send that has ended. */
interface EndedSend {
  readonly fingerprints: readonly string[]
  readonly incarnation: string
  readonly at: number
  readonly answered: boolean
}

/** Server that closed connections during requests and may have crashed. */
interface SuspectedCrash {
  readonly at: number
  /** Nothing is concluded from the closed connections after this time. */
  until: number
  /** Requests that ended when it closed connections or shortly before. */
  readonly suspects: Set<string>
  probesLeft: number
  probeAt: number
}

export class CrashWatch {
  /** Oldest first. */
  private ended_: EndedSend[] = []
  private readonly suspected_ = new Map<string, SuspectedCrash>()

  /** Records a send that ended without a complete answer. */
  recordClosed(fingerprints: readonly string[], incarnation: string, at: number): void {
    this.recordEnded({fingerprints, incarnation, at, answered: false})
  }

  /** Records a send that ended with a complete answer. */
  recordAnswered(fingerprints: readonly string[], incarnation: string, at: number): void {
    this.recordEnded({fingerprints, incarnation, at, answered: true})
  }

  /**
   * Whether a request ended at the server so recently that it may be related to its
   * crash.
   */
  hasRecentlyEnded(incarnation: string, now: number): boolean {
    return this.ended_.some(
      each => each.incarnation === incarnation && now - each.at < CLOSED_MS
    )
  }

  /** Returns the requests that ended at the server shortly before that time or since. */
  private endedAround(incarnation: string, at: number): string[] {
    return this.ended_
      .filter(each => each.incarnation === incarnation)
      .filter(each => at - each.at < (each.answered ? ANSWERED_MS : CLOSED_MS))
      .flatMap(({fingerprints}) => fingerprints)
  }

  /**
   * Records that a server closed a connection during a request. Returns false if the
   * server is being tested already.
   */
  recordBroken(incarnation: string, now: number): boolean {
    const known = this.suspected_.get(incarnation)
    const suspects = new Set(this.endedAround(incarnation, now))
    if (known && now - known.at < CLOSED_MS) {
      for (const fingerprint of suspects) known.suspects.add(fingerprint)
      return false
    }
    const until = now + UNREACHABLE_MS
    const probeAt = now + PROBE_INTERVAL_MS
    this.suspected_.set(incarnation, {
      at: now,
      until,
      suspects,
      probesLeft: MAX_PROBES - 1,
      probeAt
    })
    return true
  }

  /**
   * Records that the server accepts connections. It has not crashed unless its next
   * incarnation is reported soon.
   */
  recordReachable(incarnation: string, now: number): void {
    const suspected = this.suspected_.get(incarnation)
    if (!suspected) return
    suspected.probesLeft = 0
    suspected.until = Math.min(suspected.until, now + REACHABLE_MS)
  }

  /**
   * Handles a crash. Returns the requests that ended when the server crashed or shortly
   * before.
   */
  handleCrash(incarnation: string, now: number): string[] {
    const suspected = this.suspected_.get(incarnation)
    this.suspected_.delete(incarnation)
    return [
      ...(suspected?.suspects ?? []),
      ...this.endedAround(incarnation, suspected?.at ?? now)
    ]
  }

  /** Returns the servers whose next connection test is due. */
  takeDueProbes(now: number): string[] {
    const due: string[] = []
    for (const [incarnation, suspected] of this.suspected_) {
      if (now >= suspected.until) this.suspected_.delete(incarnation)
      else if (suspected.probesLeft > 0 && now >= suspected.probeAt) {
        suspected.probesLeft--
        suspected.probeAt = now + PROBE_INTERVAL_MS
        due.push(incarnation)
      }
    }
    return due
  }

  private recordEnded(send: EndedSend): void {
    this.ended_.push(send)
    const [oldest] = this.ended_
    const isFull = this.ended_.length > MAX_ENDED
    if (!isFull && oldest && send.at - oldest.at < 2 * CLOSED_MS) return
    this.ended_ = this.ended_
      .slice(-MAX_ENDED / 2)
      .filter(each => send.at - each.at < CLOSED_MS)
  }
}
