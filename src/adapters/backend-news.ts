/**
 * What a leader tells boxes of backend servers: only what changed since it told them last, and not
 * what engines hold, which changes often and reaches boxes with the places.
 */
import type {KnownBackend} from "../core/backend-list.js"
import type {FromLeader} from "../types/box-messages.js"
import type {BackendRecord} from "../types/fleet.js"
import {clockNow} from "./clock.js"

export class BackendNews {
  private seen_: ReadonlyMap<string, KnownBackend> = new Map()
  private readonly told_ = new Map<string, BackendRecord>()

  constructor(private readonly send_: (message: FromLeader) => void) {}

  /** Tells the difference, if there is one. */
  tell(known: ReadonlyMap<string, KnownBackend>): void {
    if (known === this.seen_) return
    this.seen_ = known
    const records: BackendRecord[] = []
    for (const [id, {record}] of known) {
      const told = this.told_.get(id)
      if (told && isAlike(told, record)) continue
      this.told_.set(id, record)
      records.push(withoutModels(record))
    }
    const gone = [...this.told_.keys()].filter(id => !known.has(id))
    for (const id of gone) this.told_.delete(id)
    if (records.length === 0 && gone.length === 0) return
    const sentAt = clockNow()
    this.send_({t: "backends", records, whole: false, gone, ageMs: 0, sentAt})
  }
}

/** A record as boxes are told it. */
export function withoutModels(record: BackendRecord): BackendRecord {
  return {...record, models: []}
}

/** Whether boxes would treat both alike. */
export function isAlike(a: BackendRecord, b: BackendRecord): boolean {
  return (
    a.service === b.service &&
    a.address === b.address &&
    a.dataCentre === b.dataCentre &&
    a.leaving === b.leaving
  )
}
