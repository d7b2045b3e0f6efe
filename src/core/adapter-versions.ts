/** Versions of an adapter that were named, and which one may still be used. */

/** A version that was named. */
export interface NamedVersion {
  readonly version: number
  /**
   * It was named after this, by the clock of the box, milliseconds: the store was read then, and did not
   * have it. -Infinity: the box knows of no reading without it.
   */
  readonly namedAfter: number
}

/**
 * Versions of one adapter in the order in which they were named, each higher than the last. Only the
 * newest of those that have replaced all before them is kept, and what was named since.
 */
export type AdapterVersions = readonly NamedVersion[]

/**
 * Operators allow five seconds from the store's acknowledgement of a newer version until no request begins
 * on an older one. All times here count from before that acknowledgement, so that nothing that a box
 * hears late makes them longer; they divide the five seconds, milliseconds.
 *
 * Until then requests are sent to an older version, while the newer one is loaded. What is left is for the
 * queues of engines: some begin what waits there though its sender has left, and callers wait up to four
 * seconds. A second more to send in bought nothing measurable (three days of versions, three seeds) and
 * had twice as many requests taken back.
 */
const SEND_MS = 1_500

/**
 * Until then what was sent may wait at an engine, 2.7 s at least; the rest is for a box's clock (100 ms), a
 * standstill that counts as none (400 ms) and the engine, most of which drop what their caller left.
 */
const BEGIN_MS = 4_200

/** Adds a version; a lower one than the newest is old news. */
export function nameVersion(
  named: AdapterVersions,
  version: number,
  namedAfter: number,
  now: number
): AdapterVersions {
  if (version <= newestOf(named)) return named
  const all = [...named, {version, namedAfter}]
  const replaced = all.filter(each => now - each.namedAfter > BEGIN_MS).length
  return all.slice(Math.max(0, replaced - 1))
}

/** The newest version; 0: none was named. */
export function newestOf(named: AdapterVersions): number {
  return named.at(-1)?.version ?? 0
}

/** How long ago at most a newer version was named, milliseconds; 0: this one is the newest. */
export function replacedForMs(
  named: AdapterVersions,
  version: number,
  now: number
): number {
  const next = named.find(each => each.version > version)
  return next ? now - next.namedAfter : 0
}

/** Whether no request may be sent to this version any more. */
export function isOutdated(
  named: AdapterVersions,
  version: number,
  now: number
): boolean {
  return replacedForMs(named, version, now) > SEND_MS
}

/** Whether no request may begin on this version any more. */
export function isOver(named: AdapterVersions, version: number, now: number): boolean {
  return replacedForMs(named, version, now) > BEGIN_MS
}
