/** Announced versions of an adapter, and until when older versions may be used. */

export interface AnnouncedVersion {
  readonly version: number
  /**
   * Time on the box's clock of a store read that did not yet have the version, so that it
   * was announced later. -Infinity if the box knows of no such read.
   */
  readonly announcedAfter: number
}

/**
 * Versions of one adapter in ascending order. Kept are the newest version that has fully
 * replaced its predecessors, and those announced since.
 */
export type AdapterVersions = readonly AnnouncedVersion[]

/**
 * How long requests are sent to a replaced version while the new one is loaded.
 *
 * Operators allow 5 s from the store's acknowledgement of a newer version until no
 * request starts on an older one. Both limits below count from a time before that
 * acknowledgement, so that late updates do not extend them. The time left after this
 * limit is for the queues of engines: some engines start waiting requests although the
 * sender has disconnected, and callers wait up to 4 s. One second more doubled the
 * aborted requests without a measurable gain (three days of version changes, three
 * seeds).
 */
const SEND_LIMIT_MS = 1_500

/**
 * How long requests may still start on a replaced version. This leaves at least 2.7 s in
 * an engine's queue. The rest of the 5 s is for the box's clock (100 ms), an unnoticed
 * process pause (400 ms) and the engine; most engines drop requests whose caller has
 * disconnected.
 */
const START_LIMIT_MS = 4_200

/** Adds a version; ignored unless higher than the newest. */
export function addVersion(
  known: AdapterVersions,
  version: number,
  announcedAfter: number,
  now: number
): AdapterVersions {
  if (version <= newestVersionOf(known)) return known
  const all: AdapterVersions = [...known, {version, announcedAfter}]
  const replacedCount = all.filter(
    each => now - each.announcedAfter > START_LIMIT_MS
  ).length
  return all.slice(Math.max(0, replacedCount - 1))
}

/** Returns the newest version, or 0 if none was announced. */
export function newestVersionOf(known: AdapterVersions): number {
  return known.at(-1)?.version ?? 0
}

/**
 * Returns for how long at most the version has been replaced; 0 means that it is the
 * newest.
 */
export function replacedForMs(
  known: AdapterVersions,
  version: number,
  now: number
): number {
  const next = known.find(each => each.version > version)
  return next ? now - next.announcedAfter : 0
}

/** Whether the version was replaced so long ago that no request may be sent to it. */
export function isTooOldToSend(
  known: AdapterVersions,
  version: number,
  now: number
): boolean {
  return replacedForMs(known, version, now) > SEND_LIMIT_MS
}

/** Whether the version was replaced so long ago that no request may start on it. */
export function isTooOldToStart(
  known: AdapterVersions,
  version: number,
  now: number
): boolean {
  return replacedForMs(known, version, now) > START_LIMIT_MS
}
