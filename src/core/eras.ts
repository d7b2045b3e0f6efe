/**
 * Eras of the key-value service. It may come back from a copy that is some seconds old: what was written
 * since is gone, leases too, and revisions are given out again. What was acknowledged before is written
 * again by those who wrote it, each in their own time. So for a while after an era has risen
 *
 * - what the service lacks may have been acknowledged before, and is no proof that it was not;
 * - what it holds may have ended before;
 * - a leader of the era before may still believe in its lease.
 */
import type {StorePosition} from "../types/store-position.js"

/**
 * So long after a rise a key that is not there proves nothing, milliseconds. Nothing bounds when operators
 * write again; this is twice what they allow from a version's acknowledgement until it is in force.
 */
const ABSENCE_MS = 10_000

/**
 * So long after a rise an entry of a server that was known to be gone may be the copy's, milliseconds: entries
 * go after three heartbeats of silence, each of 1.2 s where they are farthest apart, and a list is 0.9 s old.
 */
export const COPIED_ENTRY_MS = 5_000

/** Revisions of one era are fewer: at 1,200 writes a second it would last for 29 years. */
const REVISIONS_PER_ERA = 2 ** 40

/** A service that tells a later era came back from an older copy at least once. */
export const FIRST_ERA = 1

/** Fences of a higher era would not be whole numbers that every reader of JSON keeps. */
export const HIGHEST_ERA = 8_191

/** The era that a process believes in. */
export interface KnownEra {
  readonly era: number
  /** It had begun by then, by the clock of the process, milliseconds. */
  readonly by: number
  /** A process saw it rise; else it may have begun long ago. */
  readonly risen: boolean
}

/** What is known after someone told an era, or that it is older than was known. */
export function takeEra(known: KnownEra | undefined, told: KnownEra): KnownEra {
  if (!known || told.era > known.era) return told
  if (told.era < known.era) return known
  const risen = known.risen || told.risen
  const by = Math.min(known.by, told.by)
  return risen === known.risen && by === known.by ? known : {era: known.era, by, risen}
}

/** Whether `a` is the later of two places. */
export function isLater(a: StorePosition, b: StorePosition): boolean {
  const eraA = a.era ?? 0
  const eraB = b.era ?? 0
  return eraA === eraB ? a.revision > b.revision : eraA > eraB
}

/** Whether both are one place: what is there now was read there before. */
export function isSamePlace(a: StorePosition, b: StorePosition): boolean {
  return a.revision === b.revision && a.era === b.era
}

/** A fence that grows with each claim, also where revisions have gone back. */
export function toFence({era = 0, revision}: StorePosition): number {
  return era * REVISIONS_PER_ERA + revision
}

/** Whether the service is so fresh from an older copy that what it lacks proves nothing. */
export function lacksNews(known: KnownEra | undefined, now: number): boolean {
  return known?.risen === true && now - known.by < ABSENCE_MS
}

/** Whether an entry that is there may be of a server that was gone before the era began at `risenAt`. */
export function mayBeCopied(risenAt: number, now: number): boolean {
  return now - risenAt < COPIED_ENTRY_MS
}
