/** Versions of an adapter that were named, and which one may still be used. */

/** A version that was named, and when this box heard of it. */
export interface NamedVersion {
  readonly version: number
  readonly since: number
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

/** Adds a version that is named now; a lower one than the newest is old news. */
export function nameVersion(
  named: AdapterVersions,
  version: number,
  now: number
): AdapterVersions {
  if (version <= newestOf(named)) return named
  const all = [...named, {version, since: now}]
  const replaced = all.filter(each => hasReplaced(each, now)).length
  return all.slice(Math.max(0, replaced - 1))
}

/** The newest version; 0: none was named. */
export function newestOf(named: AdapterVersions): number {
  return named.at(-1)?.version ?? 0
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
