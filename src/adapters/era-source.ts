/** The era of the key-value service, as answers and other boxes tell it; listeners hear before an answer is used. */
import {HIGHEST_ERA, type KnownEra, mergeEra} from "../core/eras.js"
import {KvUnknown} from "../errors.js"
import type {ReportedEra} from "../types/box-messages.js"
import {clockNow} from "./clock.js"
import type {Log} from "./log.js"

const WHOLE_NUMBER = /^\d{1,6}$/

type Oddity = "none told" | "no number" | "falls"

export type EraListener = (known: KnownEra, rose: boolean) => void

export class StoreEras {
  private known_: KnownEra | undefined
  /** Since when this process knows it: calls that were sent before may be answered from the era before. */
  private knownAt_ = -Infinity
  private readonly listeners_: EraListener[] = []
  private readonly odd_ = new Set<Oddity>()

  constructor(private readonly log_: Log) {}

  get known(): KnownEra | undefined {
    return this.known_
  }

  get era(): number | undefined {
    return this.known_?.era
  }

  /** What other boxes are told; undefined: the service tells no era. */
  tell(now: number): ReportedEra | undefined {
    if (!this.known_) return undefined
    const {era, begunBy: by, restored: risen} = this.known_
    return {era, ageMs: now - by, risen}
  }

  listen(listener: EraListener): void {
    this.listeners_.push(listener)
  }

  /**
   * The era of an answer, from its header. One that tells none, or less than before, counts as of the era
   * that is known: it is trusted for no more than that, and nothing is given up for it.
   * @throws KvUnknown if the answer is from before the era that is known.
   */
  place(header: string | undefined, sentAt: number): number | undefined {
    if (header === undefined && !this.known_) return undefined
    const era = readEra(header)
    if (era === undefined) {
      this.tellOdd(header === undefined ? "none told" : "no number", header)
      return this.era
    }
    if (this.known_ && era < this.known_.era) {
      if (sentAt < this.knownAt_)
        throw new KvUnknown("it answered from before its return")
      this.tellOdd("falls", header)
      return this.era
    }
    if (era === this.era) return era
    const risen = this.known_ !== undefined
    this.take({era, begunBy: clockNow(), restored: risen})
    return era
  }

  /** Another box told. */
  hear({era, ageMs, risen}: ReportedEra): void {
    this.take({era, begunBy: clockNow() - ageMs, restored: risen})
  }

  private take(told: KnownEra): void {
    const before = this.known_
    const known = mergeEra(before, told)
    if (known === before) return
    this.known_ = known
    if (known.era !== before?.era) this.knownAt_ = clockNow()
    const rose = known.restored && !(before?.era === known.era && before.restored)
    if (rose) this.log_("era-rose", {era: known.era, before: before?.era ?? -1})
    for (const listener of this.listeners_) listener(known, rose)
  }

  private tellOdd(oddity: Oddity, header: string | undefined): void {
    if (this.odd_.has(oddity)) return
    this.odd_.add(oddity)
    const told = header?.slice(0, 20) ?? ""
    this.log_("era-odd", {oddity, told, era: this.era ?? -1})
  }
}

function readEra(header: string | undefined): number | undefined {
  if (header === undefined || !WHOLE_NUMBER.test(header)) return undefined
  const era = Number(header)
  return era <= HIGHEST_ERA ? era : undefined
}
