/**
 * Requests and parts of prompts that crash backend servers, by their fingerprints. One is
 * quarantined, that is, sent to no server, once several servers have crashed while a
 * request with it was in progress there. Boxes merge their lists: the incarnations of
 * crashed servers are a set, so the order of updates does not matter and no crash counts
 * twice.
 *
 * Many requests are in progress when a server crashes, and the cause shares parts of its
 * prompt with harmless ones. A crash that a stronger suspect explains therefore counts for
 * no other one, and whatever servers have answered before is suspected last. The leader
 * lets quarantined requests through as trials, one at a time. An answer clears the
 * suspect, another crash does not.
 */
import type {CrashReport} from "../types/crash-messages.js"
import {isPartFingerprint} from "../utils/part-fingerprint.js"

export const CRASHES_TO_QUARANTINE = 3

/** The same for a suspect whose crashes stronger ones may explain. */
const EXPLAINED_CRASHES_TO_QUARANTINE = 4

/**
 * The same for suspects in requests that servers answered before these crashes, and the
 * shortest time between the first and the last crash, in which harmless ones are answered
 * again.
 */
export const ANSWERED_CRASHES_TO_QUARANTINE = 5
export const ANSWERED_SPREAD_MS = 2_500

/**
 * Delay of each trial after the last crash. Quarantined requests reach servers only in
 * these trials.
 */
export const TRIAL_DELAYS_MS = [5_000, 60_000] as const

/**
 * Interval between trials of any requests, so that one is not blamed for the other's
 * crash.
 */
const TRIAL_GAP_MS = 3_000

/** A suspect without another crash in this time is removed. */
const RETENTION_MS = 24 * 3_600_000

/** Incarnations of a suspect; the oldest are removed. */
const MAX_INCARNATIONS = 8

/**
 * Beyond this number one of the suspects with the fewest crashes is removed.
 */
const MAX_RECORDS = 512

/** A prime, so that removals are spread over all records. */
const REMOVAL_STEP = 7_919

/** Removed crashes that are remembered. */
const MAX_REMOVED = 4_096

interface CrashRecord {
  /** Incarnations of crashed servers, oldest first. */
  readonly incarnations: readonly string[]
  /** When this box learned of the first of these crashes. */
  readonly firstAt: number
  /** When this box learned of the last crash. */
  readonly at: number
  /** Whether a server had answered a request with it before these crashes. */
  readonly answered: boolean
  /** Number of trials that were started. */
  readonly trials: number
}

type Suspect = readonly [fingerprint: string, record: CrashRecord]

export class CrashList {
  private readonly records_ = new Map<string, CrashRecord>()
  /**
   * Crashes that were removed. Boxes with full lists remove different records, and would
   * report these to each other forever; a report may cross the message that clears it.
   */
  private readonly removed_ = new Set<string>()
  /** Undefined if it must be determined again. */
  private quarantined_: ReadonlySet<string> | undefined
  private triedAt_ = -Infinity
  private removals_ = 0

  get size(): number {
    return this.records_.size
  }

  /** Fingerprints of the quarantined requests and parts. */
  get quarantined(): ReadonlySet<string> {
    this.quarantined_ ??= findCauses(this.records_)
    return this.quarantined_
  }

  fingerprints(): readonly string[] {
    return [...this.records_.keys()]
  }

  /**
   * Adds a server that crashed while a request with the fingerprint was in progress.
   * Returns false if it was known.
   */
  add(fingerprint: string, incarnation: string, at: number, hasAnswers = false): boolean {
    const known = this.records_.get(fingerprint)
    if (known?.incarnations.includes(incarnation)) return false
    if (this.removed_.has(toCrashKey(fingerprint, incarnation))) return false
    const incarnations = [...(known?.incarnations ?? []), incarnation]
    // Boxes that drop different crashes would report these to each other forever.
    for (const dropped of incarnations.splice(
      0,
      incarnations.length - MAX_INCARNATIONS
    )) {
      this.forget(fingerprint, dropped)
    }
    this.put(fingerprint, {
      incarnations,
      firstAt: Math.min(at, known?.firstAt ?? Infinity),
      at: Math.max(at, known?.at ?? -Infinity),
      answered: hasAnswers || (known?.answered ?? false),
      trials: known?.trials ?? 0
    })
    return true
  }

  /** Merges another box's record. Returns false if it contains nothing new. */
  merge(report: CrashReport, now: number): boolean {
    const {fingerprint, lives, ageMs, firstAgeMs = ageMs, trials, answered} = report
    const times = [now - firstAgeMs, ...lives.slice(1).map(() => now - ageMs)]
    const added = lives.map((incarnation, i) =>
      this.add(fingerprint, incarnation, times[i] ?? now - ageMs, answered)
    )
    const known = this.records_.get(fingerprint)
    if (!known) return false
    const isTried = trials > known.trials
    const isAnswered = answered && !known.answered
    if (isTried) this.put(fingerprint, {...known, trials})
    if (isAnswered) this.recordAnswered(fingerprint)
    return isTried || isAnswered || added.includes(true)
  }

  /** Records that servers had answered requests with it. Returns false if it was known. */
  recordAnswered(fingerprint: string): boolean {
    const record = this.records_.get(fingerprint)
    if (!record || record.answered) return false
    this.put(fingerprint, {...record, answered: true})
    return true
  }

  /** Removes a suspect that was found to crash no server. */
  clear(fingerprint: string): boolean {
    return this.remove(fingerprint)
  }

  isQuarantined(fingerprint: string): boolean {
    return this.quarantined.has(fingerprint)
  }

  countCrashes(fingerprint: string): number {
    return this.records_.get(fingerprint)?.incarnations.length ?? 0
  }

  /** When this box learned of the suspect's first crash. Undefined if it knows of none. */
  firstCrashAt(fingerprint: string): number | undefined {
    return this.records_.get(fingerprint)?.firstAt
  }

  /**
   * Returns the time until a trial of a quarantined suspect; 0 if it may be tried now.
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

  /** Returns the records of these suspects, or of all, as messages for other boxes. */
  toMessages(
    now: number,
    fingerprints: Iterable<string> = this.records_.keys()
  ): CrashReport[] {
    return [...fingerprints].flatMap(fingerprint => {
      const record = this.records_.get(fingerprint)
      if (!record) return []
      const [ageMs, firstAgeMs] = [now - record.at, now - record.firstAt].map(age =>
        Math.max(0, Math.round(age))
      ) as [number, number]
      const {incarnations: lives, trials, answered} = record
      return [
        {fingerprint, lives, ageMs, firstAgeMs, trials, ...(answered && {answered})}
      ]
    })
  }

  /**
   * Returns the records that another box's full list lacks, or has with fewer crashes or
   * trials.
   */
  listMissing(theirs: readonly CrashReport[], now: number): CrashReport[] {
    const theirRecords = new Map(theirs.map(record => [record.fingerprint, record]))
    return this.toMessages(now).filter(({fingerprint, lives, trials, answered}) => {
      const theirRecord = theirRecords.get(fingerprint)
      if (!theirRecord || trials > theirRecord.trials) return true
      if (answered && !theirRecord.answered) return true
      if (theirRecord.lives.length >= MAX_INCARNATIONS) return false
      return lives.some(incarnation => !theirRecord.lives.includes(incarnation))
    })
  }

  /** Removes suspects without a recent crash. */
  expire(now: number): void {
    for (const [fingerprint, {at}] of this.records_) {
      if (now - at > RETENTION_MS) this.clear(fingerprint)
    }
  }

  private put(fingerprint: string, record: CrashRecord): void {
    this.invalidate(record)
    this.records_.delete(fingerprint)
    this.records_.set(fingerprint, record)
    if (this.records_.size > MAX_RECORDS) this.removeOne()
  }

  /** A record with few crashes quarantines nothing and explains nothing. */
  private invalidate(record: CrashRecord | undefined): void {
    const crashes = record?.incarnations.length ?? 0
    if (crashes >= CRASHES_TO_QUARANTINE) this.quarantined_ = undefined
  }

  /**
   * Removes a record with the fewest crashes. Which of them is arbitrary: if it were the
   * oldest, many suspects of one crash would displace those of the crash before.
   */
  private removeOne(): void {
    let fewest = Infinity
    let weakest: string[] = []
    for (const [fingerprint, {incarnations}] of this.records_) {
      if (incarnations.length < fewest) {
        fewest = incarnations.length
        weakest = []
      }
      if (incarnations.length === fewest) weakest.push(fingerprint)
    }
    const removed = weakest[(this.removals_ += REMOVAL_STEP) % weakest.length]
    if (removed !== undefined) this.remove(removed)
  }

  private remove(fingerprint: string): boolean {
    const record = this.records_.get(fingerprint)
    if (!record) return false
    this.invalidate(record)
    for (const incarnation of record.incarnations) this.forget(fingerprint, incarnation)
    return this.records_.delete(fingerprint)
  }

  /** Removes a crash for good; reports of it are ignored. */
  private forget(fingerprint: string, incarnation: string): void {
    this.removed_.add(toCrashKey(fingerprint, incarnation))
    const [oldest] = this.removed_
    if (this.removed_.size > MAX_REMOVED && oldest !== undefined) {
      this.removed_.delete(oldest)
    }
  }
}

/**
 * Returns the suspects that explain the crashes: those without earlier answers first, then
 * those with the most crashes. Each needs enough crashes that no stronger one explains;
 * suspects of equal strength can't be told apart.
 */
function findCauses(records: ReadonlyMap<string, CrashRecord>): Set<string> {
  const suspects = [...records]
    .filter(([, record]) => record.incarnations.length >= crashesToQuarantine(record))
    .filter(
      ([, {answered, firstAt, at}]) => !answered || at - firstAt >= ANSWERED_SPREAD_MS
    )
    .sort(compareStrength)
  const causes: Suspect[] = []
  for (const suspect of suspects) if (isCause(suspect, causes)) causes.push(suspect)
  return new Set(causes.map(([fingerprint]) => fingerprint))
}

function isCause(suspect: Suspect, stronger: readonly Suspect[]): boolean {
  const [, record] = suspect
  const {incarnations, answered} = record
  if (!answered && incarnations.length >= EXPLAINED_CRASHES_TO_QUARANTINE) return true
  const explaining = stronger.filter(cause => explains(cause, suspect))
  const unexplained = incarnations.filter(
    each => !explaining.some(([, cause]) => cause.incarnations.includes(each))
  )
  return unexplained.length >= crashesToQuarantine(record)
}

/**
 * Whether crashes of the suspect count for the cause alone. A part that was never answered
 * explains all crashes of one that was. Otherwise a cause of far fewer crashes was in
 * progress at some of them by chance, and so was a request that was retried after each
 * crash by a part.
 */
function explains(stronger: Suspect, weaker: Suspect): boolean {
  if (compareStrength(stronger, weaker) >= 0) return false
  const [name, cause] = stronger
  const [suspectName, suspect] = weaker
  const isPart = isPartFingerprint(name)
  if (isPart && !cause.answered && suspect.answered) return true
  const [crashes, others] = [cause.incarnations.length, suspect.incarnations.length]
  const mayBeRetried = isPartFingerprint(suspectName) && !isPart
  return mayBeRetried ? crashes >= others : crashes * 3 >= others * 2
}

function crashesToQuarantine({answered}: CrashRecord): number {
  return answered ? ANSWERED_CRASHES_TO_QUARANTINE : CRASHES_TO_QUARANTINE
}

/** Sorts stronger suspects first. A part is in progress more often than one request. */
function compareStrength([nameA, a]: Suspect, [nameB, b]: Suspect): number {
  return (
    Number(a.answered) - Number(b.answered) ||
    b.incarnations.length - a.incarnations.length ||
    Number(isPartFingerprint(nameB)) - Number(isPartFingerprint(nameA))
  )
}

function toCrashKey(fingerprint: string, incarnation: string): string {
  return `${fingerprint} ${incarnation}`
}
