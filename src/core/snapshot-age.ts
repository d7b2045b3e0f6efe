/**
 * Limits on the age of the store snapshot that a box works with. Its age counts from the
 * store read it comes from, whichever box read it and passed it on. A lack of failed
 * calls or of watch events does not make it newer. A box must know within two seconds
 * after the store has it that a backend server leaves. The longest delays until then, in
 * milliseconds:
 *
 * | from the write in the store until | longest |
 * | --- | --- |
 * | the box's snapshot is too old | `REFRESH_AGE_MS` 1,300 |
 * | the box checks the age (a tick) | 100 |
 * | its own read counts as late, and the next one uses a new connection | `LATE_ANSWER_MS` 150 |
 * | a read, a new connection, or another box's read | 50 |
 *
 * The sum is 1,600. The rest allows for one more failure. Updates of a leader that reads
 * in time arrive sooner: `LIST_INTERVAL_MS`, a late read, a tick and the link delay,
 * 1,200. The list of servers is checked again as a request's bytes are sent, so that a
 * wait for a connection adds no delay. A process that was paused has checked nothing
 * meanwhile: it sends no request by a snapshot older than `STALE_MS` before it has
 * checked.
 */

/** Interval of reads by a leader, or by a box that reads the store itself. */
export const LIST_INTERVAL_MS = 900

/**
 * A box whose snapshot is older reads the store itself. Allows for `LIST_INTERVAL_MS`, a
 * late read of the leader and a tick.
 */
export const REFRESH_AGE_MS = 1_300

/** Requests wait while the snapshot is older, unless no newer one can be had. */
export const STALE_MS = 1_700

/**
 * A tick that is later by more shows that the process was paused. Answers to what it
 * asked before are then of unknown age.
 */
export const PROCESS_PAUSE_MS = 400

/**
 * Timeout of an answer of the store, after which a new connection is used. The store
 * answers within some 10 ms, and nothing else shows that a connection is dead. Longer while
 * answers take longer (`answer-times.ts`).
 */
export const LATE_ANSWER_MS = 150

/** First pause between two requests to other boxes, and the longest with few boxes. */
const MIN_PEER_READ_PAUSE_MS = 250
const MAX_PEER_READ_PAUSE_MS = 1_000

/**
 * Longest pause per box where many boxes ask, so that they send some 50 requests a second
 * together while none of them reads the store.
 */
const PEER_READ_PAUSE_PER_BOX_MS = 20

/** Longest pause with any number of boxes; a box learns this late that others read again. */
const MAX_LONG_PEER_READ_PAUSE_MS = 2_000

/**
 * Pause after failed requests in a row, since all boxes ask others in an outage. The first
 * ones are short with any number of boxes, as others may read the store.
 */
export function peerReadPauseMs(failedReads: number, boxCount: number): number {
  const forAllMs = boxCount * PEER_READ_PAUSE_PER_BOX_MS
  const maxMs = Math.min(
    MAX_LONG_PEER_READ_PAUSE_MS,
    Math.max(MAX_PEER_READ_PAUSE_MS, forAllMs)
  )
  return Math.min(maxMs, MIN_PEER_READ_PAUSE_MS * 2 ** failedReads)
}

/**
 * Whether a box passes on its snapshot to a box that requests one, without reading the
 * store. It must be newer than that of the requester: most boxes have a snapshot of their
 * leader, which is of no use to the leader. This way, boxes that the store rejects rarely
 * cause reads by others.
 */
export function isNewerSnapshot(ageMs: number, requesterAgeMs: number): boolean {
  return ageMs + LATE_ANSWER_MS < requesterAgeMs
}

/** Lower bounds of the times of the store reads behind a box's snapshot, by its clock. */
export interface SnapshotAge {
  /** Read by this box, or by another at its request. */
  readonly readAt: number
  /** Read by its leader. */
  readonly leaderReadAt: number
}

export function createSnapshotAge(): SnapshotAge {
  return {readAt: -Infinity, leaderReadAt: -Infinity}
}

/** Records a read by this box or another at its request. Older reads change nothing. */
export function recordRead(age: SnapshotAge, readAt: number): SnapshotAge {
  return {...age, readAt: Math.max(age.readAt, readAt)}
}

/** Records a read by the leader. */
export function recordLeaderRead(age: SnapshotAge, readAt: number): SnapshotAge {
  return {...age, leaderReadAt: Math.max(age.leaderReadAt, readAt)}
}

/** Time since the newest read. Infinity if there was none. */
export function snapshotAgeMs({readAt, leaderReadAt}: SnapshotAge, now: number): number {
  return now - Math.max(readAt, leaderReadAt)
}

/** Whether the leader's snapshot is so fresh that this box need not read the store. */
export function hasFreshLeaderRead({leaderReadAt}: SnapshotAge, now: number): boolean {
  return now - leaderReadAt < REFRESH_AGE_MS
}

/** Trouble with the store since the last successful read. */
export type StoreTrouble =
  | "none"
  /** This box's calls failed. The store may serve other boxes. */
  | "own"
  /** No box could read the store since the snapshot became too old. */
  | "store"
