/**
 * Tracks the era of the key-value service from its answers and from other boxes.
 * Listeners are called before the answer that reports a new era is used.
 */
import {HIGHEST_ERA, type KnownEra, mergeEra} from "../core/eras.js"
import {KvUnknown} from "../errors.js"
import type {ReportedEra} from "../types/box-messages.js"
import {clockNow} from "./clock.js"
import type {Log} from "./log.js"

const WHOLE_NUMBER = /^\d{1,6}$/

type Oddity = "none told" | "no number" | "falls"

export type EraListener = (known: KnownEra, wasRestored: boolean) => void

export class StoreEras {
  private known_: KnownEra | undefined
  /**
   * When this process learned the era. Calls sent before may be answered from the
   * previous one.
   */
  private learnedAt_ = -Infinity
  private readonly listeners_: EraListener[] = []
  private readonly loggedOddities_ = new Set<Oddity>()

  constructor(private readonly log_: Log) {}

  get known(): KnownEra | undefined {
    return this.known_
  }

  get era(): number | undefined {
    return this.known_?.era
  }

  /** Returns the era to send to other boxes. Undefined if the service reports none. */
  report(now: number): ReportedEra | undefined {
    if (!this.known_) return undefined
    const {era, begunBy, restored} = this.known_
    return {era, ageMs: now - begunBy, risen: restored}
  }

  onChange(listener: EraListener): void {
    this.listeners_.push(listener)
  }

  /**
   * Returns the era of an answer by its header. An answer without an era, or with a lower
   * one, counts as of the known era, so nothing is discarded because of it.
   * @throws KvUnknown if the call was sent before the known era was learned and was
   * answered from an earlier one.
   */
  resolveEra(header: string | undefined, sentAt: number): number | undefined {
    if (header === undefined && !this.known_) return undefined
    const era = readEra(header)
    if (era === undefined) {
      this.logOddity(header === undefined ? "none told" : "no number", header)
      return this.era
    }
    if (this.known_ && era < this.known_.era) {
      if (sentAt < this.learnedAt_)
        throw new KvUnknown("the key-value service answered from before its restore")
      this.logOddity("falls", header)
      return this.era
    }
    if (era === this.era) return era
    const restored = this.known_ !== undefined
    this.merge({era, begunBy: clockNow(), restored})
    return era
  }

  /** Handles the era reported by another box. */
  handleReport({era, ageMs, risen}: ReportedEra): void {
    this.merge({era, begunBy: clockNow() - ageMs, restored: risen})
  }

  /**
   * Records that the known era may have begun with a restore, which this process did not
   * observe, by `begunBy` at the latest. No later report ends that, since the reporter
   * may know less.
   */
  assumeRestore(begunBy: number): void {
    if (this.known_) this.merge({era: this.known_.era, begunBy, restored: true})
  }

  private merge(reported: KnownEra): void {
    const before = this.known_
    const known = mergeEra(before, reported)
    if (known === before) return
    this.known_ = known
    if (known.era !== before?.era) this.learnedAt_ = clockNow()
    const wasRestored = known.restored && !(before?.era === known.era && before.restored)
    if (wasRestored) this.log_("era-rose", {era: known.era, before: before?.era ?? -1})
    for (const listener of this.listeners_) listener(known, wasRestored)
  }

  private logOddity(oddity: Oddity, header: string | undefined): void {
    if (this.loggedOddities_.has(oddity)) return
    this.loggedOddities_.add(oddity)
    const told = header?.slice(0, 20) ?? ""
    this.log_("era-odd", {oddity, told, era: this.era ?? -1})
  }
}

function readEra(header: string | undefined): number | undefined {
  if (header === undefined || !WHOLE_NUMBER.test(header)) return undefined
  const era = Number(header)
  return era <= HIGHEST_ERA ? era : undefined
}
