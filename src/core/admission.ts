/**
 * A box's admission of new requests: applies the leader's levels of pressure, and counts its
 * demand for the leader. Nothing of a refused request is remembered: a caller's second try
 * has a new id, may come to any box, and is admitted as its first.
 */
import {RETRY_TIME_SHARE} from "./caller-time.js"
import {
  MAX_DEMAND_ROWS,
  type DemandRow,
  type PressureLevel
} from "../types/load-messages.js"

/** A level that the leader has not sent again for this time is dropped. */
const LEVEL_MS = 1_000

/** Least time between two reports of demand. */
const REPORT_MS = 500

/** Bounds of Retry-After. */
const MIN_RETRY_AFTER_MS = 100
const MAX_RETRY_AFTER_MS = 15_000

/** A request as admission sees it. */
export interface AdmissionRequest {
  readonly service: string
  readonly rank: number
  /** Empty if it has none. */
  readonly organisation: string
  /** Time that remains to the caller. */
  readonly leftMs: number
}

export interface PressureRefusal {
  readonly level: PressureLevel
  /** Whether the organisation is beyond its share. */
  readonly isShare: boolean
  readonly retryAfterMs: number
}

interface LevelState {
  readonly level: PressureLevel
  readonly until: number
}

interface Counts {
  begun: number
  refused: number
}

export class Admission {
  private readonly levels_ = new Map<string, LevelState>()
  private readonly counts_ = new Map<string, Counts>()
  private nextReportAt_ = -Infinity

  /** `random_` returns a number in [0, 1). */
  constructor(private readonly random_: () => number) {}

  /** Replaces all levels by those that the leader sent. Invalid ones are left out. */
  applyLevels(levels: readonly PressureLevel[], now: number): void {
    this.levels_.clear()
    for (const level of levels) {
      if (isValid(level)) this.levels_.set(level.service, {level, until: now + LEVEL_MS})
    }
  }

  /** Returns the level of a service that is in force. */
  levelOf(service: string, now: number): PressureLevel | undefined {
    const state = this.levels_.get(service)
    if (!state || now < state.until) return state?.level
    this.levels_.delete(service)
    return undefined
  }

  /**
   * Decides on a request that arrives. Returns why it is refused, or undefined if the level
   * admits it. Of the level's own rank, the fraction is refused at random.
   */
  decide(request: AdmissionRequest, now: number): PressureRefusal | undefined {
    const level = this.levelOf(request.service, now)
    if (!level || request.rank < level.rank) return undefined
    const listed = level.organisations?.find(([name]) => name === request.organisation)
    const isShare = request.rank === level.rank && listed !== undefined
    const fraction = request.rank > level.rank ? 1 : (listed?.[1] ?? level.fraction)
    if (this.random_() >= fraction) return undefined
    return {level, isShare, retryAfterMs: this.retryAfterMs(request, level)}
  }

  /** Counts a refused request. */
  recordRefusal(request: AdmissionRequest): void {
    this.countsOf(request).refused++
  }

  /** Counts an admitted request. */
  recordBegin(request: AdmissionRequest): void {
    this.countsOf(request).begun++
  }

  /** Whether a report of demand may be sent. */
  isReportDue(now: number): boolean {
    return now >= this.nextReportAt_
  }

  /**
   * Returns the demand since the last report. Empty if there was none; then the next one
   * may come at once.
   */
  takeDemand(waiting: readonly AdmissionRequest[], now: number): DemandRow[] {
    const rows = new Map<string, {counts: Counts; waits: number}>()
    for (const [key, counts] of this.counts_) rows.set(key, {counts, waits: 0})
    for (const request of waiting) {
      const key = keyOf(request)
      const row = rows.get(key) ?? {counts: {begun: 0, refused: 0}, waits: 0}
      row.waits++
      rows.set(key, row)
    }
    this.counts_.clear()
    if (rows.size > 0) this.nextReportAt_ = now + REPORT_MS
    return [...rows].slice(0, MAX_DEMAND_ROWS).map(toRow)
  }

  /** Number of services with a level in force. */
  countLevels(now: number): number {
    return [...this.levels_.keys()].filter(service => this.levelOf(service, now)).length
  }

  /** Computes Retry-After of a request that is refused for another reason, in ms. */
  spreadRetry(roomInMs: number, {leftMs}: AdmissionRequest): number {
    return boundRetry(roomInMs * (1 + this.random_()), leftMs)
  }

  /**
   * Spreads the returns over the time in which capacity is expected, from once to twice
   * that time; each rank above the level's waits for one such time more. The result is at
   * most `RETRY_TIME_SHARE` of the time that remains to the caller.
   */
  private retryAfterMs(
    {rank, leftMs}: AdmissionRequest,
    {rank: lowest, roomInMs}: PressureLevel
  ): number {
    const expectedMs = roomInMs * (1 + rank - lowest + this.random_())
    const longestMs = leftMs * RETRY_TIME_SHARE
    // Beyond the bound the returns would all come at once.
    const isCut = expectedMs > longestMs
    return boundRetry(isCut ? longestMs * (0.5 + this.random_() / 2) : expectedMs, leftMs)
  }

  private countsOf(request: AdmissionRequest): Counts {
    const key = keyOf(request)
    const counts = this.counts_.get(key) ?? {begun: 0, refused: 0}
    this.counts_.set(key, counts)
    return counts
  }
}

function boundRetry(ms: number, leftMs: number): number {
  const longestMs = Math.min(MAX_RETRY_AFTER_MS, leftMs * RETRY_TIME_SHARE)
  return Math.round(Math.max(MIN_RETRY_AFTER_MS, Math.min(longestMs, ms)))
}

function isValid({rank, fraction, roomInMs}: PressureLevel): boolean {
  const isPart = fraction >= 0 && fraction <= 1
  return Number.isFinite(rank) && isPart && roomInMs >= 0
}

function keyOf({service, rank, organisation}: AdmissionRequest): string {
  return JSON.stringify([service, rank, organisation])
}

function toRow([key, {counts, waits}]: [
  string,
  {counts: Counts; waits: number}
]): DemandRow {
  const [service, rank, organisation] = JSON.parse(key) as [string, number, string]
  return [service, rank, organisation, counts.begun, counts.refused, waits]
}
