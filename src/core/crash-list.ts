/**
 * Requests that backend servers crash under. A request is stopped once three servers have crashed while it
 * was in progress there and none has answered it whole. Boxes merge each other's lists: the lives of servers
 * that crashed are a set, so that the order of news does not matter and nothing counts twice.
 */
import type {CrashNews} from "../types/crash-messages.js"

/** Under so many crashes a request is stopped. */
export const CRASHES_TO_STOP = 3

/** From the last crash, milliseconds; then one box after another sends the request once more. */
export const STOP_MS = 600_000

/** Requests that are remembered. Those with the fewest crashes make way first, then the oldest. */
const MAX_RECORDS = 512

interface CrashRecord {
  /** The newest `CRASHES_TO_STOP`, oldest first. */
  readonly lives: readonly string[]
  /** When the last of them was seen to end, by the clock of the box. */
  readonly at: number
  /** Boxes differ in this, so that they do not try the request all at once. */
  readonly stoppedUntil: number
}

export class CrashList {
  private readonly records_ = new Map<string, CrashRecord>()

  /** `random`: a random number in [0, 1). */
  constructor(private readonly random_: () => number) {}

  get size(): number {
    return this.records_.size
  }

  has(fingerprint: string): boolean {
    return this.records_.has(fingerprint)
  }

  fingerprints(): readonly string[] {
    return [...this.records_.keys()]
  }

  /** A server crashed while the request was in progress there; false: that was known. */
  add(fingerprint: string, life: string, at: number): boolean {
    const known = this.records_.get(fingerprint)
    if (known?.lives.includes(life)) return false
    const lives = [...(known?.lives ?? []), life].slice(-CRASHES_TO_STOP)
    const lastAt = Math.max(at, known?.at ?? -Infinity)
    const stoppedUntil = lastAt + STOP_MS * (1 + this.random_())
    this.records_.delete(fingerprint)
    this.records_.set(fingerprint, {lives, at: lastAt, stoppedUntil})
    if (this.records_.size > MAX_RECORDS) this.dropOne()
    return true
  }

  /** Takes another box's record; false: it told nothing new. */
  merge({fingerprint, lives, ageMs}: CrashNews, now: number): boolean {
    const added = lives.map(life => this.add(fingerprint, life, now - ageMs))
    return added.includes(true)
  }

  /** The request crashes no server. */
  clear(fingerprint: string): boolean {
    return this.records_.delete(fingerprint)
  }

  /** How long the request is to be sent to no server, milliseconds; 0: it may be sent. */
  stoppedForMs(fingerprint: string, now: number): number {
    const record = this.records_.get(fingerprint)
    if (!record || record.lives.length < CRASHES_TO_STOP) return 0
    return Math.max(0, record.stoppedUntil - now)
  }

  /** The records of these requests, or of all, for other boxes. */
  tell(now: number, fingerprints: Iterable<string> = this.records_.keys()): CrashNews[] {
    return [...fingerprints].flatMap(fingerprint => {
      const record = this.records_.get(fingerprint)
      if (!record) return []
      const ageMs = Math.max(0, Math.round(now - record.at))
      return [{fingerprint, lives: record.lives, ageMs}]
    })
  }

  /** The records that another box's whole list lacks, or has with fewer crashes. */
  tellMissing(theirs: readonly CrashNews[], now: number): CrashNews[] {
    const known = new Map(theirs.map(({fingerprint, lives}) => [fingerprint, lives]))
    return this.tell(now).filter(({fingerprint, lives}) => {
      const told = known.get(fingerprint) ?? []
      return told.length < CRASHES_TO_STOP && lives.some(life => !told.includes(life))
    })
  }

  /** Forgets requests under which no server has crashed for long. */
  expire(now: number): void {
    for (const [fingerprint, {at}] of this.records_) {
      if (now - at > 3 * STOP_MS) this.records_.delete(fingerprint)
    }
  }

  private dropOne(): void {
    let dropped: string | undefined
    let fewest = Infinity
    for (const [fingerprint, {lives}] of this.records_) {
      if (lives.length >= fewest) continue
      fewest = lives.length
      dropped = fingerprint
    }
    if (dropped !== undefined) this.records_.delete(dropped)
  }
}
