/** Admits the requests of a box and sends each to a backend server that can serve it. */
import {isKeyStillValid} from "./access.js"
import {type Candidate, chooseBackend, listPacedServers} from "./box-choose.js"
import {abortAttempt, countUse, dropNeed, finish, giveUp, tellUse} from "./box-ends.js"
import {refuseIfStopped} from "./box-crashes.js"
import {isStale} from "./box-news.js"
import {
  type Arrival,
  type Attempt,
  type BoxRequest,
  type BoxServing,
  budgetOf,
  note
} from "./box-state.js"
import {oldForMs, toLogged} from "./box-versions.js"
import {chargeSend} from "./box-charges.js"
import {awaitAllowance, refuseIfFull} from "./box-usage.js"
import {awaitSend, notePacedDemand} from "./box-pacing.js"
import {holdEnd, STOP_HOLD_MS, wait} from "./box-waits.js"
import {runningMs} from "./suspensions.js"

/** How long after a stop request new requests are still sent to backend servers. */
const STOP_SEND_MS = 2_500

export function admit(box: BoxServing, arrival: Arrival, now: number): void {
  const {route, deadlineMs, service} = arrival
  const limitMs = Math.min(deadlineMs, route.timeoutMs)
  budgetOf(box, service).recordRequest(runningMs(box, now))
  const request: BoxRequest = {
    arrival,
    arrivedAt: now,
    giveUpAt: now + limitMs,
    holdUntil: holdEnd(box, arrival, limitMs, now),
    attempt: undefined,
    attempts: 0,
    runs: 0,
    refusals: 0,
    avoided: new Map(),
    failedAt: new Set(),
    needed: false,
    askedAt: undefined,
    chargeAsked: undefined,
    paced: undefined,
    granted: false,
    trial: false,
    replied: false,
    lastEventId: arrival.lastEventId
  }
  box.requests.set(arrival.id, request)
  notePacedDemand(box, listPacedServers(box, request, now), now)
  const {stoppingAt} = box
  if (stoppingAt !== undefined && now - stoppingAt > STOP_SEND_MS) {
    return giveUp(box, request, "not-run", now)
  }
  advance(box, request, now)
}

/** Starts the shutdown: waiting requests are refused soon, running ones may finish. */
export function stopServing(box: BoxServing, now: number): void {
  box.stoppingAt = now
  for (const request of box.requests.values()) {
    request.holdUntil = Math.min(request.holdUntil, now + STOP_HOLD_MS)
  }
}

/**
 * Sends the request if a backend server can take it now; otherwise it waits or is
 * refused.
 */
export function advance(box: BoxServing, request: BoxRequest, now: number): void {
  if (request.attempt || request.askedAt !== undefined || isStale(box, now)) return
  if (!isKeyStillValid(box, request)) {
    return giveUp(box, request, request.runs > 0 ? "unknown" : "denied", now)
  }
  if (refuseIfStopped(box, request, now)) return
  if (refuseIfFull(box, request, now)) return
  const candidate = chooseBackend(box, request, now)
  if (!candidate) {
    request.chargeAsked = undefined
    if (awaitSend(box, request, listPacedServers(box, request, now), now)) return
    return wait(box, request, now)
  }
  const charge = chargeSend(box, request, now)
  if (!charge) return awaitAllowance(box, request, now)
  request.chargeAsked = undefined
  if (request.needed) dropNeed(box, request)
  if (request.attempts > 0) spendRetry(box, request, now)
  request.attempts++
  request.attempt = createAttempt(request.attempts, candidate, now)
  if (charge !== "free") request.attempt.charge = charge
  const server = candidate.backend.id
  if (box.rates.of(server) !== undefined) {
    request.attempt.allowedUntil = box.allowances.use(server, now)
  }
  countUse(box, request, 1)
  recordPrefix(box, request, now)
  box.effects.push({
    type: "send",
    id: request.arrival.id,
    attempt: request.attempts,
    backend: candidate.backend,
    expectedVersion: candidate.version,
    deadlineMs: Math.max(1, Math.round(request.giveUpAt - now))
  })
  logSent(box, request, candidate, now)
}

function isKeyStillValid(box: BoxServing, {arrival}: BoxRequest): boolean {
  return isKeyStillValid(box, arrival.key, arrival.organisation)
}

function createAttempt(
  number: number,
  {backend, version, unread}: Candidate,
  now: number
): Attempt {
  return {
    number,
    backend: backend.id,
    sentAt: now,
    version,
    unread,
    started: false,
    heardAt: undefined,
    firstAt: undefined,
    headed: false,
    aborted: false,
    charge: undefined,
    allowedUntil: undefined
  }
}

function logSent(
  box: BoxServing,
  request: BoxRequest,
  {backend, version, unread}: Candidate,
  now: number
): void {
  const {arrival, attempts, arrivedAt} = request
  note(box, "route-sent", {
    request: arrival.name,
    attempt: attempts,
    backend: backend.id,
    fingerprint: arrival.fingerprint ?? "",
    waitedMs: Math.round(now - arrivedAt),
    adapter: arrival.weights?.adapter ?? "",
    version: version ?? 0,
    oldForMs: toLogged(oldForMs(box, request, version, now)),
    unread,
    newsMs: Math.round(now - (box.engines.get(backend.id)?.toldAt ?? now))
  })
}

function spendRetry(box: BoxServing, request: BoxRequest, now: number): void {
  if (!request.granted)
    budgetOf(box, request.arrival.service).recordRetry(runningMs(box, now))
  request.granted = false
}

function recordPrefix(box: BoxServing, {arrival}: BoxRequest, now: number): void {
  const {prefix, weights, route} = arrival
  if (prefix)
    box.prefixes.recordRequest(route.name, weights?.adapter ?? "", prefix.key, now)
}

/** Ends a request whose caller disconnected. */
export function hangUp(box: BoxServing, id: string, now: number): void {
  const request = box.requests.get(id)
  if (!request) return
  note(box, "caller-left", {
    request: request.arrival.name,
    route: request.arrival.route.name,
    backend: request.attempt?.backend ?? "",
    attempts: request.attempts,
    heldMs: Math.round(now - request.arrivedAt),
    begun: request.replied
  })
  abortAttempt(box, request, now)
  finish(box, request)
}

/**
 * Reports running attempts to a new leader. Weights requests of waiting requests are sent
 * again at their next turn.
 */
export function tellLeader(box: BoxServing): void {
  for (const request of box.requests.values()) {
    const {attempt} = request
    if (!attempt) request.needed = false
    else {
      const unread = attempt.firstAt === undefined ? attempt.unread : 0
      tellUse(box, request, {engine: attempt.backend, begun: 1, ended: 0, tokens: unread})
    }
  }
}
