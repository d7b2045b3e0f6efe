/**
 * Sends boxes the leader's changes of backend servers since its last update. The adapters
 * that engines hold are left out: they change often and reach boxes with the slots.
 */
import type {KnownBackend} from "../core/backend-list.js"
import type {FromLeader, UnlistedServers} from "../types/box-messages.js"
import type {BackendRecord} from "../types/fleet.js"
import {clockNow} from "./clock.js"

export class BackendUpdates {
  private lastKnown_: ReadonlyMap<string, KnownBackend> = new Map()
  private readonly lastSent_ = new Map<string, BackendRecord>()

  constructor(private readonly send_: (message: FromLeader) => void) {}

  /** Sends the changes, if there are any. */
  sendChanges(known: ReadonlyMap<string, KnownBackend>): void {
    if (known === this.lastKnown_) return
    this.lastKnown_ = known
    const records: BackendRecord[] = []
    for (const [id, {record}] of known) {
      const sent = this.lastSent_.get(id)
      if (sent && isSameBackend(sent, record)) continue
      this.lastSent_.set(id, record)
      records.push(withoutModels(record))
    }
    const gone = [...this.lastSent_.keys()].filter(id => !known.has(id))
    for (const id of gone) this.lastSent_.delete(id)
    if (records.length === 0 && gone.length === 0) return
    const sentAt = clockNow()
    const unlisted = listUnlisted(known, sentAt)
    this.send_({t: "backends", records, whole: false, gone, unlisted, ageMs: 0, sentAt})
  }
}

/**
 * Returns the servers whose entries are missing in a list that was read at `readAt`, so
 * that a box that has found them missing, too, does not take them for listed ones.
 */
export function listUnlisted(
  known: ReadonlyMap<string, KnownBackend>,
  readAt: number
): UnlistedServers {
  return [...known].flatMap(([id, {listedAt, missingAt}]) => {
    if (missingAt === undefined) return []
    // Both are -Infinity if the sender has not read the store yet.
    return [[id, listedAt >= readAt ? 0 : readAt - listedAt] as const]
  })
}

/** Returns a record as it is sent to boxes. */
export function withoutModels(record: BackendRecord): BackendRecord {
  return {...record, models: []}
}

/** Whether boxes would treat both records the same. */
export function isSameBackend(a: BackendRecord, b: BackendRecord): boolean {
  return (
    a.service === b.service &&
    a.address === b.address &&
    a.dataCentre === b.dataCentre &&
    a.leaving === b.leaving
  )
}
