/**
 * Entries of backend servers that may be those of an older copy of the key-value service: for a while after it came
 * back from one, neither their places nor their being there says when they were written.
 */
import type {BackendRecord} from "../types/fleet.js"
import type {BackendList, KnownBackend, Reading} from "./backend-list.js"
import {mayBeCopied} from "./eras.js"
import {mayPrecede} from "./server-lives.js"

/** Whether it may be an earlier life than the known one, as a copy holds it. */
export function isCopiedLife(
  {risenAt}: BackendList,
  record: BackendRecord,
  last: KnownBackend,
  now: number
): boolean {
  return mayBeCopied(risenAt, now) && mayPrecede(record, last.record)
}

/**
 * Whether its entry may be the copy's: its server was known to be gone before the store came back, or not known, and
 * may have left before this box first read.
 */
export function isWithheld(
  {gone, risenAt, copiedUntil, known}: BackendList,
  {id, server}: BackendRecord,
  isKnown: boolean,
  {source}: Reading,
  now: number
): boolean {
  // Another box that lists it remembers more than this one.
  if (now < copiedUntil && source === "store" && !known.has(id)) return true
  if (!mayBeCopied(risenAt, now)) return false
  const goneAt = gone.get(id) ?? gone.get(server)
  if (goneAt !== undefined && goneAt < risenAt) return true
  return source === "store" && !isKnown
}
