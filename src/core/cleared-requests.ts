/**
 * Requests and parts of prompts that crash no server: a backend server answered a request
 * with them completely and kept running. Since a server may crash right after the last
 * byte of an answer, the answer counts only once the server is known to run later.
 */

/**
 * The server must be known to run this long after its first answer to a request with the
 * fingerprint, and after a further one. While many servers crash, few run for long.
 */
export const SURVIVED_MS = 500
const SURVIVED_AGAIN_MS = 100

/**
 * Limits on remembered fingerprints with one answer, on those with several, and on
 * incarnations of servers; the oldest are removed.
 */
const MAX_ANSWERED = 4_000
const MAX_INCARNATIONS = 2_000

/**
 * An answer whose server is not known to have kept running is replaced by a newer one
 * after this time.
 */
const UNCONFIRMED_MS = 2_000

/** Complete answer whose server is not yet known to have kept running. */
interface Unconfirmed {
  readonly incarnation: string
  readonly at: number
  /** Whether the server was tested because of it. */
  probed: boolean
}

/** Complete answers to requests with a fingerprint. */
interface Answered {
  unconfirmed: Unconfirmed | undefined
  /** Time of the last answer whose server kept running. Undefined if there is none. */
  survivedAt: number | undefined
}

export class ClearedRequests {
  /** Fingerprints with one answer. Ever new ones don't displace those with several. */
  private readonly rare_ = new Map<string, Answered>()
  private readonly frequent_ = new Map<string, Answered>()
  /** When each incarnation of a server was last known to run. */
  private readonly lastAliveAt_ = new Map<string, number>()

  /** Records that the server answered or accepted a connection. */
  recordAlive(incarnation: string, now: number): void {
    putNewest(this.lastAliveAt_, incarnation, now, MAX_INCARNATIONS)
  }

  /** Records a complete answer to a request with the fingerprint. */
  recordAnswered(fingerprint: string, incarnation: string, now: number): void {
    this.recordAlive(incarnation, now)
    const answered = this.refresh(fingerprint)
    const {unconfirmed} = answered
    if (!unconfirmed || now - unconfirmed.at > UNCONFIRMED_MS) {
      answered.unconfirmed = {incarnation, at: now, probed: false}
    }
  }

  /** Records that a server survived a request with the fingerprint that began then. */
  recordSurvived(fingerprint: string, at: number): void {
    const answered = this.refresh(fingerprint)
    answered.survivedAt = Math.max(at, answered.survivedAt ?? -Infinity)
  }

  /**
   * Returns the time of the last answer whose server kept running. Undefined if there is
   * none.
   */
  survivedAt(fingerprint: string): number | undefined {
    return this.find(fingerprint)?.survivedAt
  }

  /**
   * Returns the server to test in order to clear the suspect. Undefined if there is none,
   * or if it is too early.
   */
  takeDueProbe(fingerprint: string, now: number): string | undefined {
    const answered = this.find(fingerprint)
    const unconfirmed = answered?.unconfirmed
    if (!unconfirmed || unconfirmed.probed) return undefined
    if (now - unconfirmed.at < survivalMs(answered)) return undefined
    unconfirmed.probed = true
    return unconfirmed.incarnation
  }

  /**
   * Handles a crash. Returns the fingerprints of requests that the server answered shortly
   * before.
   */
  handleCrash(incarnation: string, now: number): string[] {
    const crashed = [...this.rare_, ...this.frequent_].filter(
      ([, answered]) => this.confirm(answered).unconfirmed?.incarnation === incarnation
    )
    this.lastAliveAt_.delete(incarnation)
    const suspects = crashed
      .filter(([, {unconfirmed}]) => unconfirmed && now - unconfirmed.at < UNCONFIRMED_MS)
      .map(([fingerprint]) => fingerprint)
    for (const [, answered] of crashed) answered.unconfirmed = undefined
    return suspects
  }

  /** Returns the answers with the fingerprint, as the newest. */
  private refresh(fingerprint: string): Answered {
    const known = this.find(fingerprint)
    const answered = known ?? {unconfirmed: undefined, survivedAt: undefined}
    this.rare_.delete(fingerprint)
    putNewest(known ? this.frequent_ : this.rare_, fingerprint, answered, MAX_ANSWERED)
    return answered
  }

  private find(fingerprint: string): Answered | undefined {
    const answered = this.frequent_.get(fingerprint) ?? this.rare_.get(fingerprint)
    return answered && this.confirm(answered)
  }

  private confirm(answered: Answered): Answered {
    const {unconfirmed} = answered
    if (!unconfirmed) return answered
    const aliveAt = this.lastAliveAt_.get(unconfirmed.incarnation) ?? -Infinity
    if (aliveAt - unconfirmed.at >= survivalMs(answered)) {
      answered.survivedAt = unconfirmed.at
      answered.unconfirmed = undefined
    }
    return answered
  }
}

function survivalMs({survivedAt}: Answered): number {
  return survivedAt === undefined ? SURVIVED_MS : SURVIVED_AGAIN_MS
}

/** Sets a key as the newest, and removes the oldest if there are more than `most`. */
function putNewest<K, V>(map: Map<K, V>, key: K, value: V, most: number): void {
  map.delete(key)
  map.set(key, value)
  if (map.size <= most) return
  const [oldest] = map.keys()
  if (oldest !== undefined) map.delete(oldest)
}
