/**
 * Requests that crash no server: a backend server answered them completely and kept
 * running. Since a server may crash right after the last byte of an answer, the request
 * is cleared only once the server is known to run later.
 */

/** The server must be known to run this long after its answer. */
const SURVIVED_MS = 500

/** Limits on remembered requests and incarnations of servers; the oldest are removed. */
const MAX_ANSWERED = 2_000
const MAX_INCARNATIONS = 2_000

/**
 * An answer whose server is not known to have kept running is replaced by a newer one
 * after this time.
 */
const UNCONFIRMED_MS = 2_000

/** First complete answer to a request, which may clear the request. */
interface Answered {
  readonly incarnation: string
  readonly at: number
  isCleared: boolean
  /** Whether the server was tested because of it. */
  probed: boolean
}

export class ClearedRequests {
  private readonly answered_ = new Map<string, Answered>()
  /** When each incarnation of a server was last known to run. */
  private readonly lastAliveAt_ = new Map<string, number>()

  /** Records that the server answered or accepted a connection. */
  recordAlive(incarnation: string, now: number): void {
    putNewest(this.lastAliveAt_, incarnation, now, MAX_INCARNATIONS)
  }

  /** Records a complete answer to the request. */
  recordAnswered(fingerprint: string, incarnation: string, now: number): void {
    this.recordAlive(incarnation, now)
    const isKept = this.isCleared(fingerprint) || !this.isUnconfirmed(fingerprint, now)
    const kept = isKept ? this.answered_.get(fingerprint) : undefined
    const answered = kept ?? {incarnation, at: now, isCleared: false, probed: false}
    putNewest(this.answered_, fingerprint, answered, MAX_ANSWERED)
  }

  /** Whether a server has answered the request completely and kept running. */
  isCleared(fingerprint: string): boolean {
    const answered = this.answered_.get(fingerprint)
    if (!answered) return false
    const {incarnation, at} = answered
    answered.isCleared ||=
      (this.lastAliveAt_.get(incarnation) ?? -Infinity) - at >= SURVIVED_MS
    return answered.isCleared
  }

  /**
   * Returns the server to test in order to clear the request. Undefined if there is none,
   * or if it is too early.
   */
  takeDueProbe(fingerprint: string, now: number): string | undefined {
    const answered = this.answered_.get(fingerprint)
    if (!answered || answered.probed || now - answered.at < SURVIVED_MS) return undefined
    answered.probed = true
    return answered.incarnation
  }

  /**
   * Handles a crash. Returns the requests that the server answered shortly before and
   * that are not cleared.
   */
  handleCrash(incarnation: string, now: number): string[] {
    this.lastAliveAt_.delete(incarnation)
    const unconfirmed = [...this.answered_].filter(
      ([fingerprint, answered]) =>
        answered.incarnation === incarnation && !this.isCleared(fingerprint)
    )
    for (const [fingerprint] of unconfirmed) this.answered_.delete(fingerprint)
    return unconfirmed
      .filter(([, {at}]) => now - at < UNCONFIRMED_MS)
      .map(([fingerprint]) => fingerprint)
  }

  private isUnconfirmed(fingerprint: string, now: number): boolean {
    const answered = this.answered_.get(fingerprint)
    return answered !== undefined && now - answered.at > UNCONFIRMED_MS
  }
}

/** Sets a key as the newest, and removes the oldest if there are more than `most`. */
function putNewest<K, V>(map: Map<K, V>, key: K, value: V, most: number): void {
  map.delete(key)
  map.set(key, value)
  if (map.size <= most) return
  const [oldest] = map.keys()
  if (oldest !== undefined) map.delete(oldest)
}
