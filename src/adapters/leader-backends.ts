/** What a leader tells of backend servers, for the box that hears it. */
import type {StoreRead} from "../core/backend-list.js"
import type {ServingEvent} from "../core/serving-events.js"
import type {FromLeader} from "../types/box-messages.js"
import type {BackendRecord} from "../types/fleet.js"
import {isAlike} from "./backend-news.js"

export type LeaderBackends = Extract<FromLeader, {t: "backends"}>

/** A list of the leader's is whole: what it holds in doubt is among it. Else it tells differences. */
export function toBackendEvents(
  {records, whole, gone, ageMs}: LeaderBackends,
  now: number
): ServingEvent[] {
  const reading: StoreRead = {source: "box", readAt: now - ageMs}
  if (whole) return [{type: "backends", records, reading}]
  return [
    ...records.map(record => ({
      type: "backend" as const,
      id: record.id,
      record,
      reading
    })),
    ...gone.map(id => ({type: "backend" as const, id, record: undefined, reading}))
  ]
}

/**
 * The servers as the leader last told them. A box that lists for itself for a while and finds just
 * these has nothing to ask its leader: most boxes do so at once where its link is narrow, and all that
 * it would tell them again costs it its lease.
 */
export class ToldBackends {
  private readonly told_ = new Map<string, BackendRecord>()
  /** The box has taken other news of servers since its leader told all of them. */
  private strayed_ = true

  get strayed(): boolean {
    return this.strayed_
  }

  take({records, whole, gone}: LeaderBackends): void {
    if (whole) {
      this.told_.clear()
      this.strayed_ = false
    }
    for (const record of records) this.told_.set(record.id, record)
    for (const id of gone) this.told_.delete(id)
  }

  /** The box took this list, which is not its leader's. */
  compare(records: readonly BackendRecord[]): void {
    const same = records.every(record => {
      const told = this.told_.get(record.id)
      return told !== undefined && isAlike(told, record)
    })
    if (!same || records.length !== this.told_.size) this.strayed_ = true
  }

  /** The box took what cannot be compared, or passed over what its leader told. */
  stray(): void {
    this.strayed_ = true
  }
}
