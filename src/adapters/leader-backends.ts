/** Handles the lists of backend servers that a box receives from its leader. */
import type {StoreRead} from "../core/backend-list.js"
import type {ServingEvent} from "../core/serving-events.js"
import type {FromLeader, UnlistedServers} from "../types/box-messages.js"
import type {BackendRecord} from "../types/fleet.js"
import {isSameBackend} from "./backend-updates.js"

export type LeaderBackendsMessage = Extract<FromLeader, {t: "backends"}>

/**
 * Converts a leader's message to events: one for a full list, or one for each changed
 * server. A full list also holds the servers that the leader keeps without being sure of
 * them.
 */
export function toBackendEvents(
  {records, whole, gone, ageMs, unlisted = []}: LeaderBackendsMessage,
  now: number
): ServingEvent[] {
  const storeRead = toStoreRead(now - ageMs, unlisted)
  if (whole) return [{type: "backends", records, reading: storeRead}]
  return [
    ...records.map(record => ({
      type: "backend" as const,
      id: record.id,
      record,
      reading: storeRead
    })),
    ...gone.map(id => ({
      type: "backend" as const,
      id,
      record: undefined,
      reading: storeRead
    }))
  ]
}

/** Describes another box's list, which was read at `readAt` by the clock of this box. */
export function toStoreRead(readAt: number, unlisted: UnlistedServers): StoreRead {
  const listedAt = unlisted.map(([id, beforeMs]) => [id, readAt - beforeMs] as const)
  return {source: "box", readAt, unlisted: new Map(listedAt)}
}

/**
 * The servers as the leader last sent them. A box that has read the list from the store
 * for a while, and found the same servers, need not request them from its leader again.
 * Otherwise most boxes would request them at once, and a leader with little bandwidth
 * would lose its lease while it sends them.
 */
export class LeaderBackendList {
  private readonly records_ = new Map<string, BackendRecord>()
  /**
   * Whether the box has applied other updates of servers since the leader's last full
   * list.
   */
  private diverged_ = true

  get hasDiverged(): boolean {
    return this.diverged_
  }

  applyMessage({records, whole, gone}: LeaderBackendsMessage): void {
    if (whole) {
      this.records_.clear()
      this.diverged_ = false
    }
    for (const record of records) this.records_.set(record.id, record)
    for (const id of gone) this.records_.delete(id)
  }

  /**
   * Compares a list from another source, which the box has applied, with the leader's.
   */
  compareWith(records: readonly BackendRecord[]): void {
    const same = records.every(record => {
      const sent = this.records_.get(record.id)
      return sent !== undefined && isSameBackend(sent, record)
    })
    if (!same || records.length !== this.records_.size) this.diverged_ = true
  }

  /**
   * Records that the box applied an update that cannot be compared, or ignored one of its
   * leader.
   */
  markDiverged(): void {
    this.diverged_ = true
  }
}
