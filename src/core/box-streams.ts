/**
 * Keeps each stream at the software version that began it: within an answer, and where its
 * caller resumes it at another box.
 */
import type {BackendRecord} from "../types/fleet.js"
import {failRequest} from "./box-ends.js"
import {type BoxRequest, type BoxServing, logEvent} from "./box-state.js"
import {softwareOf} from "./service-versions.js"
import type {OriginReport, StreamOrigin} from "./stream-origins.js"

/** Added to the time in which a caller may resume a stream. */
const ORIGIN_MARGIN_MS = 1_000

/** What other boxes know of the begin of a stream. */
export interface OriginAnswer {
  readonly origin: StreamOrigin | undefined
  /** Recent software versions of the service, as those boxes have seen them. */
  readonly recent: readonly string[]
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
  const {id, route, service, lastEventId, resumes} = request.arrival
  if (lastEventId === undefined || route.kind !== "streaming") return
  const known = resumes === undefined ? undefined : box.origins.find(resumes, now)
  if (known) return bindTo(box, request, known, "own")
  const recent = box.serviceVersions.recent(service, now)
  const [only] = recent
  if (recent.length === 1 && box.serviceVersions.knowsRecent(now)) {
    return bindTo(box, request, {service, software: only as string}, "only-version")
  }
  if (resumes === undefined) return bindToOnlyVersion(box, request, recent, now)
  request.originAskedAt = now
  box.effects.push({type: "ask-origin", id, request: resumes, service})
}

/** Handles what other boxes know of the begin of a stream. Returns whether it may go on. */
export function handleOriginAnswer(
  box: BoxServing,
  request: BoxRequest,
  {origin, recent}: OriginAnswer,
  now: number
): boolean {
  if (request.originAskedAt === undefined) return false
  request.originAskedAt = undefined
  if (origin) {
    bindTo(box, request, origin, "other-box")
    return true
  }
  const own = box.serviceVersions.recent(request.arrival.service, now)
  bindToOnlyVersion(box, request, [...new Set([...own, ...recent])], now)
  return box.requests.has(request.arrival.id)
}

/** Binds a stream of unknown begin if only one version can have begun it. */
function bindToOnlyVersion(
  box: BoxServing,
  request: BoxRequest,
  recent: readonly string[],
  now: number
): void {
  const {service} = request.arrival
  const [only] = recent
  if (only !== undefined && recent.length === 1) {
    return bindTo(box, request, {service, software: only}, "only-version")
  }
  if (recent.length > 1) refuseStream(box, request, "unknown-begin", now)
}

function bindTo(
  box: BoxServing,
  request: BoxRequest,
  {service, software}: StreamOrigin,
  source: OriginSource
): void {
  const {arrival} = request
  if (service !== arrival.service) {
    const isOnRoute = arrival.route.services.some(each => each.service === service)
    // Software versions are those of a service.
    if (!isOnRoute) return
    request.arrival = {...arrival, service}
  }
  request.software = software
  logEvent(box, "stream-resumed", {
    request: arrival.name,
    resumes: arrival.resumes ?? "",
    lastEventId: arrival.lastEventId ?? "",
    service,
    software,
    source
  })
}

function refuseStream(
  box: BoxServing,
  request: BoxRequest,
  reason: "unknown-begin" | "version-gone",
  now: number
): void {
  const {arrival, software} = request
  logEvent(box, "stream-refused", {
    request: arrival.name,
    resumes: arrival.resumes ?? "",
    service: arrival.service,
    software: software ?? "",
    reason,
    versions: box.serviceVersions.recent(arrival.service, now).join()
  })
  const endReason = request.runs > 0 ? "unknown" : "not-run"
  if (reason === "unknown-begin") return failRequest(box, request, endReason, now)
  // A version that is gone is not back before the caller's deadline.
  failRequest(box, request, endReason, now, Math.round(request.deadlineAt - now))
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
  if (box.serviceVersions.isMixed(report.service, now)) {
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
  const {route, service, name, resumes, lastEventId, deadlineMs} = arrival
  if (software === undefined || !route.resumable) return undefined
  const request = lastEventId === undefined ? name : resumes
  if (request === undefined || request === "") return undefined
  const forMs = Math.max(0, arrivedAt + deadlineMs - now) + ORIGIN_MARGIN_MS
  return {request, service, software, forMs: Math.min(forMs, Number.MAX_SAFE_INTEGER)}
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
