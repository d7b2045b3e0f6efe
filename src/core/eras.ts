/**
 * Eras of the key-value service. The service may be restored from a backup that is some
 * seconds old. Later writes and leases are then lost, and revisions are assigned again.
 * The era goes up with each restore. Acknowledged values are written again by their
 * writers, at different times. For a while after a restore
 *
 * - a key that the service lacks may have been written and acknowledged before;
 * - an entry that it holds may have been removed before;
 * - a leader of the previous era may still rely on its lease.
 */
import type {StorePosition} from "../types/store-position.js"

/**
 * Time after a restore in which a missing key may be a lost write. Nothing bounds when
 * operators write again. This is twice the time they allow from acknowledgement of a
 * version until it is in force.
 */
const UNCERTAIN_ABSENCE_MS = 10_000

/**
 * Time after a restore in which an entry of a removed server may be a restored one.
 * Entries expire after three missed heartbeats, at most 1.2 s apart, and a list is up to
 * 0.9 s old.
 */
export const RESTORED_ENTRY_MS = 5_000

/** More than one era uses: at 1,200 writes a second it would last for 29 years. */
const REVISIONS_PER_ERA = 2 ** 40

/** The era of a service that was never restored. */
export const FIRST_ERA = 1

/** Fencing tokens of a higher era would exceed the integers that are exact in JSON. */
export const HIGHEST_ERA = 8_191

/** The era as this process knows it. */
export interface KnownEra {
  readonly era: number
  /** Upper bound of its begin, by the clock of this process. */
  readonly begunBy: number
  /** Whether a process observed the restore. Otherwise it may have been long ago. */
  readonly restored: boolean
}

/** Merges the known era with a reported one. The later era is kept. */
export function mergeEra(known: KnownEra | undefined, reported: KnownEra): KnownEra {
  if (!known || reported.era > known.era) return reported
  if (reported.era < known.era) return known
  const restored = known.restored || reported.restored
  const begunBy = Math.min(known.begunBy, reported.begunBy)
  return restored === known.restored && begunBy === known.begunBy
    ? known
    : {era: known.era, begunBy, restored}
}

/** Whether position `a` is later than `b`. */
export function isLaterPosition(a: StorePosition, b: StorePosition): boolean {
  const eraA = a.era ?? 0
  const eraB = b.era ?? 0
  return eraA === eraB ? a.revision > b.revision : eraA > eraB
}

/** Whether both positions are equal: the value has not changed between two reads. */
export function isSamePosition(a: StorePosition, b: StorePosition): boolean {
  return a.revision === b.revision && a.era === b.era
}

/** Returns a fencing token that grows with each claim, even after a restore. */
export function toFence({era = 0, revision}: StorePosition): number {
  return era * REVISIONS_PER_ERA + revision
}

/** Whether a key may be missing because a restore was so recent. */
export function mayLackWrites(known: KnownEra | undefined, now: number): boolean {
  return known?.restored === true && now - known.begunBy < UNCERTAIN_ABSENCE_MS
}

/** Whether an entry may be a restored one of a server removed before `restoredAt`. */
export function mayBeRestored(restoredAt: number, now: number): boolean {
  return now - restoredAt < RESTORED_ENTRY_MS
}
