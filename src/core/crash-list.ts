/**
 * Requests that backend servers crash under. A request is stopped once three servers have crashed while it
 * was in progress there and none has answered it whole. Boxes merge each other's lists: the lives of servers
 * that crashed are a set, so that the order of news does not matter and nothing counts twice.
 *
 * A request that many callers send alike can be in progress at three crashes by chance. So the leader lets a
 * stopped one through now and then, one at a time: an answer clears it, another crash does not.
 */
import type {CrashNews} from "../types/crash-messages.js"

/** Under so many crashes a request is stopped. */
export const CRASHES_TO_STOP = 3

/** Times from the last crash until each trial, milliseconds. A stopped request reaches servers no more than this. */
export const TRIALS_MS = [5_000, 60_000] as const

/** From one trial to the next, of whatever request, milliseconds: one must not be blamed for the other's crash. */
const TRIAL_GAP_MS = 3_000

/** A request under which no server crashed for so long is forgotten, milliseconds. */
const KEEP_MS = 24 * 3_600_000

/** Requests that are remembered. Those with the fewest crashes make way first, then the oldest. */
const MAX_RECORDS = 512

interface CrashRecord {
  /** The newest `CRASHES_TO_STOP`, oldest first. */
  readonly lives: readonly string[]
  /** When the last of them was seen to end, by the clock of the box. */
  readonly at: number
  /** Trials that were begun. */
  readonly trials: number
}

export class CrashList {
  private readonly records_ = new Map<string, CrashRecord>()
  private triedAt_ = -Infinity

  get size(): number {
    return this.records_.size
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
    this.put(fingerprint, {lives, at: lastAt, trials: known?.trials ?? 0})
    return true
  }

  /** Takes another box's record; false: it told nothing new. */
  merge({fingerprint, lives, ageMs, trials}: CrashNews, now: number): boolean {
    const added = lives.map(life => this.add(fingerprint, life, now - ageMs))
    const known = this.records_.get(fingerprint)
    const isTried = known !== undefined && trials > known.trials
    if (isTried) this.put(fingerprint, {...known, trials})
    return isTried || added.includes(true)
  }

  /** The request crashes no server. */
  clear(fingerprint: string): boolean {
    return this.records_.delete(fingerprint)
  }

  /** Whether the request is to be sent to no server. */
  isStopped(fingerprint: string): boolean {
    return (this.records_.get(fingerprint)?.lives.length ?? 0) >= CRASHES_TO_STOP
  }

  /** In how long a stopped request may be tried, milliseconds; 0: now. */
  trialInMs(fingerprint: string, now: number): number {
    const record = this.records_.get(fingerprint)
    if (!record) return 0
    const waitMs = TRIALS_MS[record.trials] ?? KEEP_MS
    return Math.max(0, record.at + waitMs - now)
  }

  /** Whether a trial may begin now. */
  mayTry(now: number): boolean {
    return now - this.triedAt_ >= TRIAL_GAP_MS
  }

  /** A trial of a stopped request begins. */
  noteTrial(fingerprint: string, now: number): void {
    this.triedAt_ = now
    const record = this.records_.get(fingerprint)
    if (record) this.put(fingerprint, {...record, trials: record.trials + 1})
  }

  /** The records of these requests, or of all, for other boxes. */
  tell(now: number, fingerprints: Iterable<string> = this.records_.keys()): CrashNews[] {
    return [...fingerprints].flatMap(fingerprint => {
      const record = this.records_.get(fingerprint)
      if (!record) return []
      const ageMs = Math.max(0, Math.round(now - record.at))
      const {lives, trials} = record
      return [{fingerprint, lives, ageMs, trials}]
    })
  }

  /** The records that another box's whole list lacks, or has with fewer crashes or trials. */
  tellMissing(theirs: readonly CrashNews[], now: number): CrashNews[] {
    const known = new Map(theirs.map(record => [record.fingerprint, record]))
    return this.tell(now).filter(({fingerprint, lives, trials}) => {
      const told = known.get(fingerprint)
      if (!told || trials > told.trials) return true
      if (told.lives.length >= CRASHES_TO_STOP) return false
      return lives.some(life => !told.lives.includes(life))
    })
  }

  /** Forgets requests under which no server has crashed for long. */
  expire(now: number): void {
    for (const [fingerprint, {at}] of this.records_) {
      if (now - at > KEEP_MS) this.records_.delete(fingerprint)
    }
  }

  private put(fingerprint: string, record: CrashRecord): void {
    this.records_.delete(fingerprint)
    this.records_.set(fingerprint, record)
    if (this.records_.size > MAX_RECORDS) this.dropOne()
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
