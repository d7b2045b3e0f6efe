/** Admits the requests of a box and sends each to a backend server that can serve it. */
import {recheckAccess} from "./access.js"
import {boundWaiting, refuseIfOverloaded} from "./box-admission.js"
import {type Candidate, chooseBackend, listRateLimitedServers} from "./box-choose.js"
import {
  abortAttempts,
  countAttempt,
  withdrawWeightsRequest,
  removeRequest,
  failRequest,
  reportEngineUse
} from "./box-ends.js"
import {refuseIfQuarantined} from "./box-crashes.js"
import {waitForFasterEngine} from "./box-long-answers.js"
import {configAgeMs, isSnapshotStale} from "./box-snapshot-age.js"
import {
  type Arrival,
  type Attempt,
  type BoxRequest,
  type BoxServing,
  retryBudgetOf,
  logEvent,
  openAttempts
} from "./box-state.js"
import {versionReplacedForMs, toLoggedAgeMs} from "./box-versions.js"
import {chargeSend} from "./box-charges.js"
import {waitForUsageAllowance, refuseIfOverLimit} from "./box-usage.js"
import {waitForSendAllowance, recordSendDemand} from "./box-pacing.js"
import {requestWeightsOrWait} from "./box-waits.js"
import {choosePeer} from "./box-paths.js"
import {recordPlainSend} from "./box-plain.js"
import {bindResumedStream, refuseIfVersionGone} from "./box-streams.js"
import {canRetry, countSentAttempts} from "./box-retries.js"
import {recordReopeningSend} from "./server-notices.js"
import {softwareOf} from "./service-versions.js"
import {computeStopTimes} from "./stop-times.js"
import {runningMs} from "./suspensions.js"

export function admit(box: BoxServing, arrival: Arrival, now: number): void {
  const {route, deadlineMs, service} = arrival
  const limitMs = Math.min(deadlineMs, route.timeoutMs)
  retryBudgetOf(box, service).recordRequest(runningMs(box, now))
  const request: BoxRequest = {
    arrival,
    arrivedAt: now,
    deadlineAt: now + limitMs,
    stopHoldUntil: now + (box.stop?.holdMs ?? Infinity),
    heardAt: undefined,
    attempt: undefined,
    silentAttempt: undefined,
    attempts: 0,
    unsent: 0,
    peerRefusals: 0,
    failedPaths: new Set(),
    runs: 0,
    refusals: 0,
    lastFailure: undefined,
    retriedAfter: "",
    avoided: new Map(),
    failedBackends: new Set(),
    fasterUntil: undefined,
    weightsRequested: false,
    retryRequestedAt: undefined,
    allowanceRequestedAt: undefined,
    paced: undefined,
    hasRetryGrant: false,
    isTrial: false,
    answerStarted: false,
    lastEventId: arrival.lastEventId,
    hasEvents: false,
    software: undefined,
    originAskedAt: undefined
  }
  box.requests.set(arrival.id, request)
  recordSendDemand(box, listRateLimitedServers(box, request, now), now)
  if (box.stop && now > box.stop.sendUntil) {
    return failRequest(box, request, "not-run", now)
  }
  if (refuseIfOverloaded(box, request, now)) return
  bindResumedStream(box, request, now)
  if (box.requests.has(arrival.id)) sendOrWait(box, request, now)
  if (!request.attempt && box.requests.has(arrival.id)) boundWaiting(box, now)
}

/** Starts the shutdown: waiting requests are refused soon, running ones may finish. */
export function stopServing(box: BoxServing, now: number): void {
  box.stop = computeStopTimes(now, box.options.graceMs ?? Infinity)
  for (const request of box.requests.values()) {
    request.stopHoldUntil = Math.min(request.stopHoldUntil, now + box.stop.holdMs)
  }
}

/**
 * Refuses a request whose answer is likely to come after the end of this stopping box, so
 * that another box can take it. Returns whether it did.
 */
function refuseIfTooLateToEnd(
  box: BoxServing,
  request: BoxRequest,
  now: number
): boolean {
  if (!box.stop || box.boxCount < 2 || request.answerStarted) return false
  const {deadlineAt, runs, arrival} = request
  const likelyMs = box.routeTimes.likelyMs(arrival.route.name, now)
  if (Math.min(deadlineAt, now + likelyMs) <= box.stop.endAt) return false
  failRequest(box, request, runs > 0 ? "unknown" : "not-run", now)
  return true
}

/**
 * Sends the request if a backend server can take it now; otherwise it waits or is
 * refused.
 */
export function sendOrWait(box: BoxServing, request: BoxRequest, now: number): void {
  if (
    request.attempt ||
    request.retryRequestedAt !== undefined ||
    request.originAskedAt !== undefined ||
    isSnapshotStale(box, now)
  )
    return
  if (!renewAccess(box, request)) {
    return failRequest(box, request, request.runs > 0 ? "unknown" : "denied", now)
  }
  if (refuseIfTooLateToEnd(box, request, now)) return
  if (refuseIfQuarantined(box, request, now)) return
  if (refuseIfOverLimit(box, request, now)) return
  const candidate = chooseBackend(box, request, now)
  if (!candidate) {
    request.allowanceRequestedAt = undefined
    if (refuseIfVersionGone(box, request, now)) return
    if (
      waitForSendAllowance(box, request, listRateLimitedServers(box, request, now), now)
    )
      return
    return requestWeightsOrWait(box, request, now)
  }
  if (waitForFasterEngine(box, request, candidate.backend, now)) {
    return requestWeightsOrWait(box, request, now)
  }
  // Others may have used the budget while this one waited.
  if (request.silentAttempt && !request.hasRetryGrant && !canRetry(box, request, now)) {
    return failRequest(box, request, "unknown", now)
  }
  const charge = chargeSend(box, request, now)
  if (!charge) return waitForUsageAllowance(box, request, now)
  request.allowanceRequestedAt = undefined
  if (request.weightsRequested) withdrawWeightsRequest(box, request)
  // Attempts that reached no server are no retries.
  if (countSentAttempts(request) > 0) spendRetry(box, request, now)
  request.attempts++
  const via = choosePeer(box, request, candidate.backend.id, now)
  request.attempt = createAttempt(request.attempts, candidate, via, now)
  if (charge !== "free") request.attempt.charge = charge
  const server = candidate.backend.id
  if (box.advertisedRates.of(server) !== undefined) {
    request.attempt.allowedUntil = box.sendAllowances.use(server, now)
  }
  countAttempt(box, request, request.attempt, 1)
  recordPlainSend(box, request, server, now)
  recordReopeningSend(box, server, now)
  recordPrefix(box, request, now)
  box.effects.push({
    type: "send",
    id: request.arrival.id,
    attempt: request.attempts,
    backend: candidate.backend,
    via,
    expectedVersion: candidate.version,
    deadlineMs: Math.max(1, Math.round(request.deadlineAt - now))
  })
  logSent(box, request, candidate, now)
}

/**
 * Applies the configuration in force to the access of a request. Returns false if it no
 * longer grants access.
 */
function renewAccess(box: BoxServing, request: BoxRequest): boolean {
  const {arrival} = request
  const access = recheckAccess(box, arrival)
  if (!access.granted) return false
  if (!access.organisation || arrival.organisation !== undefined) return true
  const {name: organisation, priority} = access.organisation
  const rank = box.table?.rankOf(priority, arrival.route.priority) ?? arrival.rank
  request.arrival = {...arrival, organisation, rank}
  logEvent(box, "route-owned", {request: arrival.name, organisation})
  return true
}

function createAttempt(
  number: number,
  {backend, version, uncachedTokens}: Candidate,
  via: string | undefined,
  now: number
): Attempt {
  return {
    number,
    backend: backend.id,
    via,
    sentAt: now,
    version,
    software: softwareOf(backend),
    uncachedTokens,
    started: false,
    lastByteAt: undefined,
    firstByteAt: undefined,
    progressedAt: undefined,
    progressMs: 0,
    hasOutlivedParts: false,
    heldUp: false,
    headReceived: false,
    isError: false,
    latencyMs: undefined,
    moveRequestedAt: undefined,
    hedgedAt: undefined,
    needsAllowance: false,
    aborted: false,
    charge: undefined,
    answerEnd: undefined,
    allowedUntil: undefined
  }
}

function logSent(
  box: BoxServing,
  request: BoxRequest,
  {backend, version, uncachedTokens}: Candidate,
  now: number
): void {
  const {arrival, attempts, arrivedAt, attempt} = request
  logEvent(box, "route-sent", {
    request: arrival.name,
    attempt: attempts,
    backend: backend.id,
    via: attempt?.via ?? "",
    fingerprint: arrival.fingerprint ?? "",
    parts: arrival.parts?.join() ?? "",
    software: backend.software ?? "",
    lastEventId: request.lastEventId ?? "",
    begunBy: arrival.begunBy ?? "",
    waitedMs: Math.round(now - arrivedAt),
    adapter: arrival.weights?.adapter ?? "",
    version: version ?? 0,
    oldForMs: toLoggedAgeMs(versionReplacedForMs(box, request, version, now)),
    unread: uncachedTokens,
    outputTokens: arrival.outputTokens ?? 0,
    newsMs: Math.round(now - (box.engines.get(backend.id)?.updatedAt ?? now)),
    organisation: arrival.organisation ?? "",
    config: box.table?.config.version ?? -1,
    configMs: toLoggedAgeMs(configAgeMs(box, now)),
    perSecond: box.advertisedRates.of(backend.id) ?? 0,
    usableMs:
      attempt?.allowedUntil === undefined ? 0 : Math.round(attempt.allowedUntil - now)
  })
}

function spendRetry(box: BoxServing, request: BoxRequest, now: number): void {
  if (!request.hasRetryGrant)
    retryBudgetOf(box, request.arrival.service).recordRetry(runningMs(box, now))
  request.hasRetryGrant = false
}

function recordPrefix(box: BoxServing, {arrival}: BoxRequest, now: number): void {
  const {prefix, weights, route} = arrival
  if (prefix)
    box.prefixes.recordRequest(route.name, weights?.adapter ?? "", prefix.key, now)
}

/** Ends a request whose caller disconnected. */
export function handleCallerDisconnect(box: BoxServing, id: string, now: number): void {
  const request = box.requests.get(id)
  if (!request) return
  logEvent(box, "caller-left", {
    request: request.arrival.name,
    route: request.arrival.route.name,
    backend: request.attempt?.backend ?? "",
    attempts: request.attempts,
    heldMs: Math.round(now - request.arrivedAt),
    begun: request.answerStarted
  })
  abortAttempts(box, request, now)
  removeRequest(box, request)
}

/**
 * Reports running attempts to a new leader. Weights requests of waiting requests are sent
 * again at their next turn.
 */
export function reportToNewLeader(box: BoxServing): void {
  box.effects.push({type: "discard-uses"})
  for (const request of box.requests.values()) {
    if (!request.attempt) request.weightsRequested = false
    for (const attempt of openAttempts(request)) {
      const uncachedTokens =
        attempt.firstByteAt === undefined ? attempt.uncachedTokens : 0
      reportEngineUse(box, request, {
        engine: attempt.backend,
        begun: 1,
        ended: 0,
        tokens: uncachedTokens
      })
    }
  }
}
