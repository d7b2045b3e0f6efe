/**
 * How old the news of a box may be. News is as old as the reading of the store that it rests on,
 * whoever read it and whoever passed it on: that no call failed, or that a watch told nothing, says
 * nothing of its age. Within two seconds of the store's word a box must know that a backend server
 * leaves. The longest way there, milliseconds:
 *
 * | from the store's word until | longest |
 * | --- | --- |
 * | the box's news is too old | `OLDEST_MS` 1,300 |
 * | it looks at that (a tick) | 100 |
 * | its own list counts as late, and the next one is on a new connection | `LATE_MS` 150 |
 * | a list, a new connection, or another box's list | 50 |
 *
 * That is 1,600; what is left bears one more failure. A leader that reads in time is heard sooner:
 * after `LIST_MS`, a late list, a tick and a way, 1,200. A send looks at the list of servers once more as
 * its bytes leave, so that no wait for a connection comes on top. A process that stood still has looked
 * at nothing: whatever kept it, no request goes out by news older than `STALE_MS` before it has looked.
 */

/** From one list of a leader, or of a box that lists for itself, to the next, milliseconds. */
export const LIST_MS = 900

/** A box with older news reads the store itself, milliseconds: `LIST_MS`, a late list of the leader's, a tick. */
export const OLDEST_MS = 1_300

/** Requests wait while news is older, until newer comes or none is to be had, milliseconds. */
export const STALE_MS = 1_700

/** A process whose tick is late by more stood still: what it asked before says nothing now, milliseconds. */
export const STOOD_STILL_MS = 400

/**
 * An answer of the store that takes longer is late, milliseconds: it answers within some ten, and a
 * connection that went silent shows by nothing else. What is asked again goes over a new one.
 */
export const LATE_MS = 150

/** Between two times that a box asks others for what it cannot read itself, at first and at most, milliseconds. */
const ASK_PAUSE_MS = 250
const LONGEST_ASK_PAUSE_MS = 1_000

/** The pause after an ask, by how many in turn brought nothing: in an outage all boxes ask all others. */
export function askPauseMs(failedAsks: number): number {
  return Math.min(LONGEST_ASK_PAUSE_MS, ASK_PAUSE_MS * 2 ** failedAsks)
}

/**
 * Whether a box that is asked passes on what it knows without reading the store. Only what is newer
 * than the asker's own: most boxes hold what their leader told them, which is nothing new where the
 * leader asks. Boxes that the store turns away have others read seldom by it.
 */
export function isNewer(ageMs: number, askerAgeMs: number): boolean {
  return ageMs + LATE_MS < askerAgeMs
}

/** What the news of a box rests on: the clock of the box at the readings, or before. */
export interface NewsAge {
  /** Its own reading, or that of a box that it asked. */
  readonly readAt: number
  /** Its leader's. */
  readonly leaderReadAt: number
}

/** A box that knows nothing. */
export function createNewsAge(): NewsAge {
  return {readAt: -Infinity, leaderReadAt: -Infinity}
}

/** A reading by the box itself or one that it asked; an older one than is known changes nothing. */
export function noteReading(age: NewsAge, at: number): NewsAge {
  return {...age, readAt: Math.max(age.readAt, at)}
}

/** The leader said how old its reading is. */
export function noteLeaderReading(age: NewsAge, at: number): NewsAge {
  return {...age, leaderReadAt: Math.max(age.leaderReadAt, at)}
}

/** Since the newest reading, milliseconds; Infinity: there was none. */
export function newsAgeMs({readAt, leaderReadAt}: NewsAge, now: number): number {
  return now - Math.max(readAt, leaderReadAt)
}

/** Whether a box need not read the store itself, since its leader does. */
export function hearsOfLeader({leaderReadAt}: NewsAge, now: number): boolean {
  return now - leaderReadAt < OLDEST_MS
}

/** What a box had of the store since it read it last. */
export type StoreTrouble =
  | "none"
  /** Its calls failed; others may be served. */
  | "own"
  /** Nobody has read the store for it since its news grew old: the store may be away for all. */
  | "store"
