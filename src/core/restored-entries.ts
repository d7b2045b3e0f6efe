/**
 * Entries of backend servers that may come from an older backup of the key-value service.
 * For a while after a restore, neither the position of an entry nor its presence shows
 * when it was written.
 */
import type {BackendRecord} from "../types/fleet.js"
import type {BackendList, KnownBackend, StoreRead} from "./backend-list.js"
import {mayBeRestored} from "./eras.js"
import {mayPrecede} from "./server-incarnations.js"

/** Whether the record may be a restored entry of an earlier incarnation. */
export function mayBeRestoredIncarnation(
  {restoredAt}: BackendList,
  record: BackendRecord,
  previous: KnownBackend,
  now: number
): boolean {
  return mayBeRestored(restoredAt, now) && mayPrecede(record, previous.record)
}

/**
 * Whether the record may be a restored entry of a server that has left: the server was
 * removed before the restore, or it is unknown and may have left before this box first
 * read the store.
 */
export function shouldWithhold(
  {removals, restoredAt, restoredEntriesUntil, known}: BackendList,
  {id, server}: BackendRecord,
  isKnown: boolean,
  {source}: StoreRead,
  now: number
): boolean {
  // Another box that lists the server remembers more than this one.
  if (now < restoredEntriesUntil && source === "store" && !known.has(id)) return true
  if (!mayBeRestored(restoredAt, now)) return false
  const removedAt = removals.get(id) ?? removals.get(server)
  if (removedAt !== undefined && removedAt < restoredAt) return true
  return source === "store" && !isKnown
}
