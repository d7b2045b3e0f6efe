/** What a box knows of the versions of adapters, and which of them its requests run on. */
import {adapterKey} from "../types/fleet.js"
import {
  type AdapterVersions,
  isOutdated,
  isOver,
  nameVersion,
  newestOf,
  replacedForMs
} from "./adapter-versions.js"
import {readWithoutAt} from "./box-news.js"
import {type Attempt, type BoxRequest, type BoxServing, note} from "./box-state.js"

/** An adapter and a version of it that was named. */
type Named = readonly [adapter: string, version: number]

/** Versions that one log line names; a box that starts hears of all there are. */
const MOST_LOGGED = 20

/** Where nothing tells the age of a version, in log lines. */
const AGE_UNKNOWN = -1

/** Takes the newest versions of adapters; none ever goes down. */
export function takeVersions(
  box: BoxServing,
  versions: readonly Named[],
  now: number
): void {
  // Heard late is not named late: counted from the last reading, which did not have it.
  const namedAfter = readWithoutAt(box, now) ?? -Infinity
  const newer: Named[] = []
  for (const [adapter, version] of versions) {
    const known = box.versions.get(adapter) ?? []
    const named = nameVersion(known, version, namedAfter, now)
    if (named === known) continue
    box.versions.set(adapter, named)
    newer.push([adapter, version])
  }
  if (newer.length === 0) return
  const listed = newer.slice(0, MOST_LOGGED).map(named => named.join("@"))
  note(box, "versions-named", {
    count: newer.length,
    versions: listed.join(" "),
    ageMs: toLogged(now - namedAfter)
  })
}

/** How long ago at most the version that the attempt runs on was replaced; 0: it is the newest. */
export function oldForMs(
  box: BoxServing,
  request: BoxRequest,
  version: number | undefined,
  now: number
): number {
  return version === undefined ? 0 : replacedForMs(namedFor(box, request), version, now)
}

/**
 * Whether the request may be sent to that version of its adapter, where it is to wait so long before it
 * begins; undefined: it asks for none.
 */
export function mayRunOn(
  box: BoxServing,
  request: BoxRequest,
  version: number | undefined,
  now: number,
  waitMs = 0
): boolean {
  if (version === undefined) return true
  const named = namedFor(box, request)
  if (!tellsBegin(request)) return version >= newestOf(named)
  return !isOutdated(named, version, now) && !isOver(named, version, now + waitMs)
}

/** Whether the attempt may not begin any more on the version that it was sent to. */
export function isTooLateToBegin(
  box: BoxServing,
  request: BoxRequest,
  {version}: Attempt,
  now: number
): boolean {
  if (version === undefined || !tellsBegin(request)) return false
  return isOver(namedFor(box, request), version, now)
}

/**
 * Whether the answer's head tells that the request has begun. An answer that is not streamed comes whole at
 * its end: such a request is never sent to a replaced version, since nothing tells what to take back.
 */
function tellsBegin({arrival: {route}}: BoxRequest): boolean {
  return route.kind === "streaming"
}

/** An answer begins: tells how old the version is that it is made with, if a newer one is known. */
export function noteBegun(
  box: BoxServing,
  request: BoxRequest,
  {backend, sentAt, version}: Attempt,
  now: number
): void {
  const ageMs = oldForMs(box, request, version, now)
  if (ageMs <= 0) return
  note(box, "old-version-begun", {
    request: request.arrival.name,
    route: request.arrival.route.name,
    backend,
    adapter: request.arrival.weights?.adapter ?? "",
    version: version ?? 0,
    queuedMs: Math.round(now - sentAt),
    oldForMs: toLogged(ageMs)
  })
}

/** An age for log lines and metrics, whole milliseconds. */
export function toLogged(ageMs: number): number {
  return ageMs === Infinity ? AGE_UNKNOWN : Math.round(ageMs)
}

/** The versions that were named of the adapter that a request asks for. */
function namedFor(
  {versions}: BoxServing,
  {arrival: {weights}}: BoxRequest
): AdapterVersions {
  if (weights?.adapter === undefined) return []
  return versions.get(adapterKey(weights.model, weights.adapter)) ?? []
}
