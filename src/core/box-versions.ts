/** The adapter versions that a box knows, and which of them its requests may run on. */
import {adapterKey} from "../types/fleet.js"
import {
  type AdapterVersions,
  isTooOldToSend,
  isTooOldToStart,
  addVersion,
  newestVersionOf,
  replacedForMs
} from "./adapter-versions.js"
import {readBeforeUpdateAt} from "./box-snapshot-age.js"
import {type Attempt, type BoxRequest, type BoxServing, logEvent} from "./box-state.js"

/** An adapter key and an announced version. */
type VersionUpdate = readonly [adapter: string, version: number]

/** Versions listed in one log line; a starting box receives all versions at once. */
const MAX_LOGGED_VERSIONS = 20

/** Age in log lines if it is unknown. */
const UNKNOWN_AGE_MS = -1

/**
 * Records announced versions of adapters; the newest version of an adapter never goes
 * down.
 */
export function applyVersions(
  box: BoxServing,
  versions: readonly VersionUpdate[],
  now: number
): void {
  // A late update does not mean a late announcement: the version may have been announced
  // right after the last store read that lacked it.
  const announcedAfter = readBeforeUpdateAt(box, now) ?? -Infinity
  const newer: VersionUpdate[] = []
  for (const [adapter, version] of versions) {
    const known = box.versions.get(adapter) ?? []
    const updated = addVersion(known, version, announcedAfter, now)
    if (updated === known) continue
    box.versions.set(adapter, updated)
    newer.push([adapter, version])
  }
  if (newer.length === 0) return
  const listed = newer.slice(0, MAX_LOGGED_VERSIONS).map(named => named.join("@"))
  logEvent(box, "versions-named", {
    count: newer.length,
    versions: listed.join(" "),
    ageMs: toLoggedAgeMs(now - announcedAfter)
  })
}

/**
 * Returns for how long at most the version that the attempt runs on has been replaced; 0
 * means that it is the newest.
 */
export function versionReplacedForMs(
  box: BoxServing,
  request: BoxRequest,
  version: number | undefined,
  now: number
): number {
  return version === undefined
    ? 0
    : replacedForMs(announcedVersionsFor(box, request), version, now)
}

/**
 * Whether the request may be sent to an engine that holds this version and where it is
 * expected to wait for `waitMs` before it starts. An undefined version means that no
 * adapter is requested.
 */
export function canRunOnVersion(
  box: BoxServing,
  request: BoxRequest,
  version: number | undefined,
  now: number,
  waitMs = 0
): boolean {
  if (version === undefined) return true
  const announced = announcedVersionsFor(box, request)
  return canRunOnAnnounced(request, announced, version, now, waitMs)
}

/** As `canRunOnVersion`, for the announced versions of the request's adapter. */
export function canRunOnAnnounced(
  request: BoxRequest,
  announced: AdapterVersions,
  version: number,
  now: number,
  waitMs: number
): boolean {
  if (!hasVisibleStart(request)) return version >= newestVersionOf(announced)
  return (
    !isTooOldToSend(announced, version, now) &&
    !isTooOldToStart(announced, version, now + waitMs)
  )
}

/** Whether it is too late for the attempt to start on the version that it was sent to. */
export function isTooLateToStart(
  box: BoxServing,
  request: BoxRequest,
  {version}: Attempt,
  now: number
): boolean {
  if (version === undefined || !hasVisibleStart(request)) return false
  return isTooOldToStart(announcedVersionsFor(box, request), version, now)
}

/**
 * Whether the answer's head shows that the request has started. An answer that is not
 * streamed arrives as a whole after the run; such a request is never sent to a replaced
 * version, since nothing shows whether it has started or can still be aborted.
 */
function hasVisibleStart({arrival: {route}}: BoxRequest): boolean {
  return route.kind === "streaming"
}

/** Logs the age of the version that an answer starts with, if a newer one is known. */
export function logOldVersionStart(
  box: BoxServing,
  request: BoxRequest,
  {backend, sentAt, version}: Attempt,
  now: number
): void {
  const ageMs = versionReplacedForMs(box, request, version, now)
  if (ageMs <= 0) return
  logEvent(box, "old-version-begun", {
    request: request.arrival.name,
    route: request.arrival.route.name,
    backend,
    adapter: request.arrival.weights?.adapter ?? "",
    version: version ?? 0,
    queuedMs: Math.round(now - sentAt),
    oldForMs: toLoggedAgeMs(ageMs)
  })
}

/** Rounds an age for log lines and metrics. */
export function toLoggedAgeMs(ageMs: number): number {
  return ageMs === Infinity ? UNKNOWN_AGE_MS : Math.round(ageMs)
}

/** Returns the announced versions of the adapter that the request asks for. */
export function announcedVersionsFor(
  {versions}: BoxServing,
  {arrival: {weights}}: BoxRequest
): AdapterVersions {
  if (weights?.adapter === undefined) return []
  return versions.get(adapterKey(weights.model, weights.adapter)) ?? []
}
