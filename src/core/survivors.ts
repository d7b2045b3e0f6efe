/**
 * Requests that a backend server answered whole and outlived: they crash none. A server may crash right after
 * the last byte of an answer, so that it counts only once the server was heard from later.
 */

/** A server has outlived an answer if it is heard from so much later, milliseconds. */
const SURVIVED_MS = 500

/** Requests and lives of servers that are remembered, the latest. */
const MAX_ANSWERED = 2_000
const MAX_LIVES = 2_000

/** An answer that its server has not been heard from after for so long makes way for a newer one, milliseconds. */
const UNCONFIRMED_MS = 2_000

/** The first whole answer to a request that its server may have outlived. */
interface Answered {
  readonly life: string
  readonly at: number
  survived: boolean
  /** The server is being looked at for it. */
  looked: boolean
}

export class Survivors {
  private readonly answered_ = new Map<string, Answered>()
  /** When each life of a server was heard from last. */
  private readonly heardAt_ = new Map<string, number>()

  /** The server answers, or takes connections. */
  noteHeard(life: string, now: number): void {
    putNewest(this.heardAt_, life, now, MAX_LIVES)
  }

  /** A server answered the request whole. */
  noteAnswered(fingerprint: string, life: string, now: number): void {
    this.noteHeard(life, now)
    const isKept = this.has(fingerprint) || !this.isUnconfirmed(fingerprint, now)
    const kept = isKept ? this.answered_.get(fingerprint) : undefined
    const answered = kept ?? {life, at: now, survived: false, looked: false}
    putNewest(this.answered_, fingerprint, answered, MAX_ANSWERED)
  }

  /** Whether some server has answered the request whole and outlived that. */
  has(fingerprint: string): boolean {
    const answered = this.answered_.get(fingerprint)
    if (!answered) return false
    const {life, at} = answered
    answered.survived ||= (this.heardAt_.get(life) ?? -Infinity) - at >= SURVIVED_MS
    return answered.survived
  }

  /** The server to look at to learn whether it has outlived its answer to the request; undefined: none, or not yet. */
  takeLook(fingerprint: string, now: number): string | undefined {
    const answered = this.answered_.get(fingerprint)
    if (!answered || answered.looked || now - answered.at < SURVIVED_MS) return undefined
    answered.looked = true
    return answered.life
  }

  /** The server has crashed: the requests that it had answered and is not known to have outlived. */
  takeCrash(life: string, now: number): string[] {
    this.heardAt_.delete(life)
    const unconfirmed = [...this.answered_].filter(
      ([fingerprint, answered]) => answered.life === life && !this.has(fingerprint)
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

/** Sets a key as the newest, and drops the oldest beyond so many. */
function putNewest<K, V>(map: Map<K, V>, key: K, value: V, most: number): void {
  map.delete(key)
  map.set(key, value)
  if (map.size <= most) return
  const [oldest] = map.keys()
  if (oldest !== undefined) map.delete(oldest)
}
