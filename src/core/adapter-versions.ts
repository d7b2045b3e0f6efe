/** Versions of an adapter that were named, and which one may still be used. */

/** A version that was named. Times are of the box's clock, milliseconds. */
export interface NamedVersion {
  readonly version: number
  /** When this box heard of it. */
  readonly since: number
  /** It was not named yet when the store was read last before that; -Infinity: it never was. */
  readonly namedAfter: number
}

/**
 * Versions of one adapter in the order in which they were named, each higher than the last. Only the
 * newest of those that have replaced all before them is kept, and what was named since.
 */
export type AdapterVersions = readonly NamedVersion[]

/**
 * How long an older version may still be used after a newer one was heard of, milliseconds: half of the
 * five seconds that operators allow, for what boxes hear late and for requests on their way.
 */
const OLD_VERSION_MS = 2_500

/** Adds a version that is heard of now; a lower one than the newest is old news. */
export function nameVersion(
  named: AdapterVersions,
  version: number,
  namedAfter: number,
  now: number
): AdapterVersions {
  if (version <= newestOf(named)) return named
  const all = [...named, {version, since: now, namedAfter}]
  const replaced = all.filter(each => hasReplaced(each, now)).length
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

/** Whether a newer version was named so long ago that this one may not be used any more. */
export function isOutdated(
  named: AdapterVersions,
  version: number,
  now: number
): boolean {
  return named.some(each => each.version > version && hasReplaced(each, now))
}

function hasReplaced({since}: NamedVersion, now: number): boolean {
  return now - since > OLD_VERSION_MS
}
