/**
 * Refuses new requests of a box that its services have no capacity for: by the leader's
 * level of pressure, because no engine can start them before their callers leave, or
 * because too many requests wait in the box.
 */
import type {AdmissionRequest} from "./admission.js"
import {failRequest} from "./box-ends.js"
import {type BoxRequest, type BoxServing, logEvent} from "./box-state.js"
import {refuseIfOverLimit} from "./box-usage.js"
import {type ControlledService, listControlledServices} from "./controlled-services.js"
import {type EngineLoad, estimateStartMs} from "./engine-load.js"

/** Why a request was refused for overload. */
export type OverloadCause =
  /** The leader's level of pressure covers its rank. */
  | "pressure"
  /** Its organisation is beyond its share of the places. */
  | "share"
  /** No engine can start it before its caller leaves. */
  | "too-late"
  /** The box holds as many waiting requests as it may. */
  | "box-full"

/**
 * Most requests that wait in a box without an attempt, and the most bytes of their bodies.
 * The smallest boxes have 210 MB of memory.
 */
const MAX_WAITING = 512
const MAX_WAITING_BYTES = 16 * 1024 * 1024

/** Retry-After of requests that are refused because the box is full. */
const BOX_FULL_RETRY_MS = 500

/** Fewer requests in a queue say too little about the ranks that wait at engines. */
const MIN_QUEUE_SAMPLE = 4

/** Refuses a new request that cannot be served. Returns whether it did. */
export function refuseIfOverloaded(
  box: BoxServing,
  request: BoxRequest,
  now: number
): boolean {
  const service = controlledServiceOf(box, request)
  if (!service) return false
  const isResumed = request.lastEventId !== undefined
  if (!isResumed && refuseUnderPressure(box, request, now)) return true
  if (!isResumed && refuseIfTooLate(box, request, service, now)) return true
  box.admission.recordBegin(toAdmissionRequest(request, now))
  return false
}

/** Usage limits are checked first, so that a caller over its limit is told so. */
function refuseUnderPressure(box: BoxServing, request: BoxRequest, now: number): boolean {
  const level = box.admission.levelOf(request.arrival.service, now)
  if (!level || request.arrival.rank < level.rank) return false
  if (refuseIfOverLimit(box, request, now)) return true
  const refusal = box.admission.decide(toAdmissionRequest(request, now), now)
  if (!refusal) return false
  const cause = refusal.isShare ? "share" : "pressure"
  refuse(box, request, cause, refusal.retryAfterMs, now)
  return true
}

/**
 * Refuses a request that starts at no engine before its caller leaves, by the loads that
 * the leader reports. Without a leader these are too old to refuse by.
 */
function refuseIfTooLate(
  box: BoxServing,
  request: BoxRequest,
  service: ControlledService,
  now: number
): boolean {
  if (!box.hasLeader) return false
  const startMs = estimateEarliestStartMs(box, request, service)
  const leavesInMs = Math.min(request.arrival.route.patienceMs, request.deadlineAt - now)
  if (!(startMs > leavesInMs)) return false
  const admission = toAdmissionRequest(request, now)
  const retryAfterMs = box.admission.spreadRetry(startMs - leavesInMs, admission)
  refuse(box, request, "too-late", retryAfterMs, now)
  return true
}

/**
 * Estimates when the request could start at the least loaded engine of its service, with
 * whatever adapters that engine holds. 0 if no engine is known.
 */
function estimateEarliestStartMs(
  box: BoxServing,
  request: BoxRequest,
  {name, places, leastUrgentPriority}: ControlledService
): number {
  let earliest = Infinity
  for (const {record} of box.backends.known.values()) {
    if (record.service !== name || record.leaving) continue
    const load = loadOf(box, record.id)
    earliest = Math.min(earliest, estimateStartMs(load, places, box.prefillTokensPerMs))
  }
  if (earliest === Infinity) return 0
  const isLeastUrgent = request.arrival.route.priority >= leastUrgentPriority
  return earliest * (isLeastUrgent ? 1 : shareAhead(box, request))
}

function loadOf(box: BoxServing, engine: string): EngineLoad {
  const {waitingTokens = 0, running = 0, speed = 1} = box.engines.get(engine) ?? {}
  return {waitingTokens, running, speed}
}

/**
 * Estimates the part of the waiting requests that engines start before this one, as they
 * start the most urgent first: from this box's own requests without a first byte. From a
 * small sample nothing is concluded.
 */
function shareAhead(box: BoxServing, {arrival}: BoxRequest): number {
  let waiting = 0
  let ahead = 0
  for (const {arrival: other, attempt} of box.requests.values()) {
    if (other.service !== arrival.service || !attempt) continue
    if (attempt.firstByteAt !== undefined) continue
    waiting++
    if (other.rank <= arrival.rank) ahead++
  }
  return waiting < MIN_QUEUE_SAMPLE ? 0 : ahead / waiting
}

/**
 * Bounds the requests that wait in this box: refuses one that has not run, of the least
 * urgent rank that waits, and of these the one whose caller has the most time to come back.
 */
export function boundWaiting(box: BoxServing, now: number): void {
  const waiting = [...box.requests.values()].filter(({attempt}) => !attempt)
  const bytes = waiting.reduce((sum, {arrival}) => sum + (arrival.bytes ?? 0), 0)
  if (waiting.length <= MAX_WAITING && bytes <= MAX_WAITING_BYTES) return
  const refusable = waiting.filter(
    ({runs, silentAttempt}) => runs === 0 && !silentAttempt
  )
  const [first, ...others] = refusable
  if (!first) return
  const last = others.reduce((a, b) => (isLessHurt(a, b) ? a : b), first)
  const retry = box.admission.spreadRetry(
    BOX_FULL_RETRY_MS,
    toAdmissionRequest(last, now)
  )
  refuse(box, last, "box-full", retry, now)
}

/** Whether a refusal costs the first caller less than the second. */
function isLessHurt(a: BoxRequest, b: BoxRequest): boolean {
  if (a.arrival.rank !== b.arrival.rank) return a.arrival.rank > b.arrival.rank
  return a.deadlineAt > b.deadlineAt
}

/** Reports the demand for services under admission control to the leader, if it is due. */
export function reportDemand(box: BoxServing, now: number): void {
  if (!box.hasLeader && !box.isLeader) return
  if (!box.admission.isReportDue(now)) return
  const unanswered = listControlled(box).filter(
    ({attempt}) => attempt?.firstByteAt === undefined
  )
  const waiting = unanswered.map(request => toAdmissionRequest(request, now))
  const rows = box.admission.takeDemand(waiting, now)
  if (rows.length > 0) box.effects.push({type: "demand", rows})
}

/** Returns the requests for services under admission control. */
function listControlled(box: BoxServing): BoxRequest[] {
  if (!box.table || listControlledServices(box.table).size === 0) return []
  return [...box.requests.values()].filter(request => controlledServiceOf(box, request))
}

function controlledServiceOf(
  {table}: BoxServing,
  {arrival}: BoxRequest
): ControlledService | undefined {
  return table && listControlledServices(table).get(arrival.service)
}

function toAdmissionRequest(
  {arrival, deadlineAt}: BoxRequest,
  now: number
): AdmissionRequest {
  const {service, rank, organisation = ""} = arrival
  return {service, rank, organisation, leftMs: deadlineAt - now}
}

function refuse(
  box: BoxServing,
  request: BoxRequest,
  cause: OverloadCause,
  retryAfterMs: number,
  now: number
): void {
  const {name, route, organisation = "", rank, service} = request.arrival
  const level = box.admission.levelOf(service, now)
  if (controlledServiceOf(box, request)) {
    box.admission.recordRefusal(toAdmissionRequest(request, now))
  }
  logEvent(box, "route-overloaded", {
    request: name,
    route: route.name,
    service,
    organisation,
    rank,
    cause,
    level: level?.rank ?? "",
    fraction: level?.fraction ?? 0,
    retryAfterMs
  })
  failRequest(box, request, "not-run", now, retryAfterMs)
}
