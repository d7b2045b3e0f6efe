/**
 * Requests that crash backend servers. A request is quarantined, that is, sent to no
 * server, once three servers have crashed while it was in progress there and no server
 * has answered it completely. Boxes merge their lists: the incarnations of crashed
 * servers are a set, so the order of updates does not matter and no crash counts twice.
 *
 * A request that many callers send can be in progress at three crashes by chance. The
 * leader therefore lets quarantined requests through as trials, one at a time. An answer
 * clears the request, another crash does not.
 */
import type {CrashReport} from "../types/crash-messages.js"

export const CRASHES_TO_QUARANTINE = 3

/**
 * Delay of each trial after the last crash. A quarantined request reaches servers only in
 * these trials.
 */
export const TRIAL_DELAYS_MS = [5_000, 60_000] as const

/**
 * Interval between trials of any requests, so that one is not blamed for the other's
 * crash.
 */
const TRIAL_GAP_MS = 3_000

/** A request without another crash in this time is removed. */
const RETENTION_MS = 24 * 3_600_000

/**
 * Beyond this number the request with the fewest crashes is removed, the oldest of them
 * first.
 */
const MAX_RECORDS = 512

/** Crashes of removed records that are remembered. */
const MAX_REMOVED = 4_096

interface CrashRecord {
  /**
   * Incarnations of crashed servers: the newest `CRASHES_TO_QUARANTINE`, oldest first.
   */
  readonly incarnations: readonly string[]
  /** When this box learned of the last crash. */
  readonly at: number
  /** Number of trials that were started. */
  readonly trials: number
}

export class CrashList {
  private readonly records_ = new Map<string, CrashRecord>()
  /**
   * Crashes of removed records. Boxes with full lists remove different records, and would
   * report these to each other forever.
   */
  private readonly removed_ = new Set<string>()
  private triedAt_ = -Infinity

  get size(): number {
    return this.records_.size
  }

  fingerprints(): readonly string[] {
    return [...this.records_.keys()]
  }

  /**
   * Adds a server that crashed while the request was in progress. Returns false if it was
   * known.
   */
  add(fingerprint: string, incarnation: string, at: number): boolean {
    const known = this.records_.get(fingerprint)
    if (known?.incarnations.includes(incarnation)) return false
    if (this.removed_.has(toCrashKey(fingerprint, incarnation))) return false
    const incarnations = [...(known?.incarnations ?? []), incarnation].slice(
      -CRASHES_TO_QUARANTINE
    )
    const lastAt = Math.max(at, known?.at ?? -Infinity)
    this.put(fingerprint, {incarnations, at: lastAt, trials: known?.trials ?? 0})
    return true
  }

  /** Merges another box's record. Returns false if it contains nothing new. */
  merge({fingerprint, lives, ageMs, trials}: CrashReport, now: number): boolean {
    const added = lives.map(incarnation =>
      this.add(fingerprint, incarnation, now - ageMs)
    )
    const known = this.records_.get(fingerprint)
    const isTried = known !== undefined && trials > known.trials
    if (isTried) this.put(fingerprint, {...known, trials})
    return isTried || added.includes(true)
  }

  /** Removes a request that was found to crash no server. */
  clear(fingerprint: string): boolean {
    return this.records_.delete(fingerprint)
  }

  isQuarantined(fingerprint: string): boolean {
    return (
      (this.records_.get(fingerprint)?.incarnations.length ?? 0) >= CRASHES_TO_QUARANTINE
    )
  }

  /**
   * Returns the time until a trial of a quarantined request; 0 if it may be tried now.
   */
  trialInMs(fingerprint: string, now: number): number {
    const record = this.records_.get(fingerprint)
    if (!record) return 0
    const waitMs = TRIAL_DELAYS_MS[record.trials] ?? RETENTION_MS
    return Math.max(0, record.at + waitMs - now)
  }

  canTry(now: number): boolean {
    return now - this.triedAt_ >= TRIAL_GAP_MS
  }

  /** Records the start of a trial. */
  recordTrial(fingerprint: string, now: number): void {
    this.triedAt_ = now
    const record = this.records_.get(fingerprint)
    if (record) this.put(fingerprint, {...record, trials: record.trials + 1})
  }

  /** Returns the records of these requests, or of all, as messages for other boxes. */
  toMessages(
    now: number,
    fingerprints: Iterable<string> = this.records_.keys()
  ): CrashReport[] {
    return [...fingerprints].flatMap(fingerprint => {
      const record = this.records_.get(fingerprint)
      if (!record) return []
      const ageMs = Math.max(0, Math.round(now - record.at))
      const {incarnations: lives, trials} = record
      return [{fingerprint, lives, ageMs, trials}]
    })
  }

  /**
   * Returns the records that another box's full list lacks, or has with fewer crashes or
   * trials.
   */
  listMissing(theirs: readonly CrashReport[], now: number): CrashReport[] {
    const theirRecords = new Map(theirs.map(record => [record.fingerprint, record]))
    return this.toMessages(now).filter(({fingerprint, lives, trials}) => {
      const theirRecord = theirRecords.get(fingerprint)
      if (!theirRecord || trials > theirRecord.trials) return true
      if (theirRecord.lives.length >= CRASHES_TO_QUARANTINE) return false
      return lives.some(incarnation => !theirRecord.lives.includes(incarnation))
    })
  }

  /** Removes requests without a recent crash. */
  expire(now: number): void {
    for (const [fingerprint, {at}] of this.records_) {
      if (now - at > RETENTION_MS) this.records_.delete(fingerprint)
    }
  }

  private put(fingerprint: string, record: CrashRecord): void {
    this.records_.delete(fingerprint)
    this.records_.set(fingerprint, record)
    if (this.records_.size > MAX_RECORDS) this.removeOne()
  }

  private removeOne(): void {
    let removed: string | undefined
    let fewest = Infinity
    for (const [fingerprint, {incarnations}] of this.records_) {
      if (incarnations.length >= fewest) continue
      fewest = incarnations.length
      removed = fingerprint
    }
    if (removed === undefined) return
    for (const incarnation of this.records_.get(removed)?.incarnations ?? []) {
      this.removed_.add(toCrashKey(removed, incarnation))
    }
    for (const oldest of this.removed_) {
      if (this.removed_.size <= MAX_REMOVED) break
      this.removed_.delete(oldest)
    }
    this.records_.delete(removed)
  }
}

function toCrashKey(fingerprint: string, incarnation: string): string {
  return `${fingerprint} ${incarnation}`
}
