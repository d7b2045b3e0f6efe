/**
 * Keeps each stream at the software version that began it: within an answer, and where its
 * caller resumes it at another box.
 */
import type {BackendRecord, Route} from "../types/fleet.js"
import {failRequest} from "./box-ends.js"
import {type Arrival, type BoxRequest, type BoxServing, logEvent} from "./box-state.js"
import {isSnapshotStale} from "./box-snapshot-age.js"
import {mayLackWrites} from "./eras.js"
import {type RecordedVersions, softwareOf} from "./service-versions.js"
import {
  MAX_ORIGIN_MS,
  type OriginReport,
  type StreamOrigin,
  toStreamKey
} from "./stream-origins.js"

/** Added to the time in which a caller may resume a stream. */
const ORIGIN_MARGIN_MS = 1_000

/** Longest time since the begin of a stream that is resumed, in time limits of its route. */
const MAX_AGE_TIMEOUTS = 2

/** Time after which a box that could not read the servers may have read them. */
const OLD_LIST_RETRY_MS = 1_000

/** Software versions of a service, as boxes have seen them. */
export interface VersionHistory {
  readonly recent: readonly string[]
  /** For how long the box that has seen them longest has observed the servers. */
  readonly observedMs: number
}

/** What other boxes know of the begin of a stream. */
export interface OriginAnswer extends VersionHistory {
  readonly origin: StreamOrigin | undefined
}

type OriginSource = "own" | "other-box" | "only-version"

/**
 * Binds a resumed stream to the version that began it. If this box can't know it, the
 * request waits for the answer of other boxes.
 */
export function bindResumedStream(
  box: BoxServing,
  request: BoxRequest,
  now: number
): void {
  const {id, route, service, lastEventId} = request.arrival
  if (lastEventId === undefined || !route.resumable) return
  const stream = streamKeyOf(request.arrival)
  const known = stream === undefined ? undefined : box.origins.find(stream, now)
  if (known) return bindTo(box, request, known, "own")
  request.originAskedAt = now
  box.effects.push({type: "ask-origin", id, stream: stream ?? "", service})
}

/** Handles what other boxes know of the begin of a stream. Returns whether it may go on. */
export function handleOriginAnswer(
  box: BoxServing,
  request: BoxRequest,
  {origin, ...history}: OriginAnswer,
  now: number
): boolean {
  const askedAt = request.originAskedAt
  if (askedAt === undefined) return false
  request.originAskedAt = undefined
  if (origin) {
    bindTo(box, request, origin, "other-box")
    return true
  }
  bindToOnlyVersion(box, request, history, askedAt, now)
  return box.requests.has(request.arrival.id)
}

/**
 * Binds a stream of unknown begin if only one version can have begun it, as this box or
 * another one has observed since then. Otherwise refuses it. The servers must have been
 * read since the request came: the stream may have begun at a version that joined shortly
 * before, of which the boxes that know it could not tell this one.
 */
function bindToOnlyVersion(
  box: BoxServing,
  request: BoxRequest,
  others: VersionHistory,
  askedAt: number,
  now: number
): void {
  const {service, route} = request.arrival
  const own = box.serviceVersions.recent(service, now)
  const [only, ...more] = new Set([...own, ...others.recent])
  const observedMs = Math.max(observedVersionsMs(box, now), others.observedMs)
  if (only === undefined || more.length > 0) {
    return refuseStream(box, request, "unknown-begin", now)
  }
  if ((box.readAt ?? -Infinity) < askedAt) {
    return refuseStream(box, request, "old-list", now, OLD_LIST_RETRY_MS)
  }
  const missingMs = maxAgeMs(box, route) - observedMs
  if (missingMs > 0) return refuseStream(box, request, "short-history", now, missingMs)
  bindTo(box, request, {service, software: only}, "only-version", observedMs)
}

/**
 * Returns for how long this box has observed the versions of all services. Without a recent
 * list it does not see what other boxes use now.
 */
export function observedVersionsMs(box: BoxServing, now: number): number {
  return isSnapshotStale(box, now) ? 0 : box.serviceVersions.observedMs(now)
}

/**
 * Adds the versions that a leader stored. After a restore from an older backup, they may
 * lack what served later.
 */
export function applyRecordedVersions(
  box: BoxServing,
  recorded: RecordedVersions,
  now: number
): void {
  const isProof = !mayLackWrites(box.era, now)
  box.serviceVersions.addRecorded(recorded, isProof, now)
  const {observedMs} = recorded
  logEvent(box, "versions-read", {observedMs, isProof})
}

/** Records time limits, as streams may have begun under those of an earlier configuration. */
export function recordTimeouts(box: BoxServing, routes: readonly Route[]): void {
  for (const {timeoutMs} of routes) {
    box.longestTimeoutMs = Math.max(box.longestTimeoutMs, timeoutMs)
  }
}

/** Returns the greatest age of a stream that is resumed. */
function maxAgeMs({longestTimeoutMs}: BoxServing, {timeoutMs}: Route): number {
  const longestMs = Math.max(longestTimeoutMs, timeoutMs)
  return Math.min(MAX_ORIGIN_MS, MAX_AGE_TIMEOUTS * longestMs)
}

function bindTo(
  box: BoxServing,
  request: BoxRequest,
  {service, software}: StreamOrigin,
  source: OriginSource,
  /** For how long the versions have been observed, if that decides. */
  observedMs = 0
): void {
  const {arrival} = request
  if (service !== arrival.service) {
    const isOnRoute = arrival.route.services.some(
      each => each.service === service && each.weight > 0
    )
    // Software versions are those of a service: any server of another one will do.
    if (!isOnRoute) return
    request.arrival = {...arrival, service}
  }
  request.software = software
  logEvent(box, "stream-resumed", {
    request: arrival.name,
    begunBy: arrival.begunBy ?? "",
    lastEventId: arrival.lastEventId ?? "",
    service,
    software,
    source,
    observedMs: Math.round(observedMs)
  })
}

function refuseStream(
  box: BoxServing,
  request: BoxRequest,
  reason: "unknown-begin" | "short-history" | "version-gone" | "old-list",
  now: number,
  /** Time after which the stream may go on. Undefined if unknown. */
  inMs?: number
): void {
  const {arrival, software} = request
  logEvent(box, "stream-refused", {
    request: arrival.name,
    begunBy: arrival.begunBy ?? "",
    service: arrival.service,
    software: software ?? "",
    reason,
    versions: box.serviceVersions.recent(arrival.service, now).join(),
    observedMs: Math.round(observedVersionsMs(box, now)),
    missingMs: Math.round(inMs ?? 0)
  })
  const endReason = request.runs > 0 ? "unknown" : "not-run"
  if (reason === "unknown-begin") return failRequest(box, request, endReason, now)
  const leftMs = Math.round(request.deadlineAt - now)
  // A version that is gone is not back before the caller's deadline.
  failRequest(box, request, endReason, now, Math.min(Math.round(inMs ?? leftMs), leftMs))
}

/** Handles the first event of an attempt that reaches the caller. */
export function handleStreamBegin(
  box: BoxServing,
  id: string,
  number: number,
  now: number
): void {
  const request = box.requests.get(id)
  const attempt = request?.attempt
  if (!request || !attempt || attempt.number !== number) return
  request.software ??= attempt.software
  request.hasEvents = true
  const report = reportOrigin(request, now)
  if (!report) return
  box.origins.record(report, now)
  const {serviceVersions} = box
  // A box with a short history could not tell later that only one version had served.
  const isShort = observedVersionsMs(box, now) < maxAgeMs(box, request.arrival.route)
  if (isShort || serviceVersions.isMixed(report.service, now)) {
    box.effects.push({type: "tell-origins", origins: [report]})
  }
}

/** Reports the streams in progress of services that have begun to run several versions. */
export function reportOpenStreams(
  box: BoxServing,
  services: readonly string[],
  now: number
): void {
  for (const service of services) {
    const versions = box.serviceVersions.recent(service, now).join()
    logEvent(box, "versions-mixed", {service, versions})
  }
  const origins = [...box.requests.values()]
    .filter(({arrival, hasEvents}) => hasEvents && services.includes(arrival.service))
    .flatMap(request => reportOrigin(request, now) ?? [])
  if (origins.length > 0) box.effects.push({type: "tell-origins", origins})
}

/** Undefined if the stream can't be resumed, or its begin is not known. */
function reportOrigin(
  {arrival, arrivedAt, software}: BoxRequest,
  now: number
): OriginReport | undefined {
  const {route, service, deadlineMs} = arrival
  if (software === undefined || !route.resumable) return undefined
  const stream = streamKeyOf(arrival)
  if (stream === undefined) return undefined
  const forMs = Math.max(0, arrivedAt + deadlineMs - now) + ORIGIN_MARGIN_MS
  return {stream, service, software, forMs: Math.min(forMs, Number.MAX_SAFE_INTEGER)}
}

/** Undefined if the caller doesn't name the request that began the stream. */
function streamKeyOf({name, begunBy, lastEventId, key}: Arrival): string | undefined {
  const request = lastEventId === undefined ? name : begunBy
  return request === undefined || request === "" ? undefined : toStreamKey(request, key)
}

/** Whether the server runs the version that the request is bound to, if it is bound. */
export function isOfVersion({software}: BoxRequest, record: BackendRecord): boolean {
  return software === undefined || softwareOf(record) === software
}

/**
 * Whether a server that stays, other than `except`, runs the version that the request is
 * bound to.
 */
export function hasServerOfVersion(
  box: BoxServing,
  request: BoxRequest,
  except?: string
): boolean {
  if (request.software === undefined) return true
  for (const {record} of box.backends.known.values()) {
    if (record.service !== request.arrival.service || record.leaving) continue
    if (record.id !== except && isOfVersion(request, record)) return true
  }
  return false
}

/** Refuses a stream whose version no server runs any more. Returns whether it did. */
export function refuseIfVersionGone(
  box: BoxServing,
  request: BoxRequest,
  now: number
): boolean {
  if (hasServerOfVersion(box, request)) return false
  refuseStream(box, request, "version-gone", now)
  return true
}
