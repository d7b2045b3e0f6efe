/**
 * Requests that only rate-limited servers could take and for which this box holds no
 * allowance. They wait briefly for one, then go to other servers, or are refused if there
 * is no room in time.
 */
import type {SendAllowanceRequest} from "../types/rate-messages.js"
import {type BoxRequest, type BoxServing, logEvent} from "./box-state.js"
import {failUnsent} from "./box-ends.js"
import {addJitter, compareWaiting, waitUntil} from "./caller-time.js"
import {runningMs} from "./suspensions.js"
import {SEND_ALLOWANCE_LIFETIME_MS, type SendDemand} from "./send-allowances.js"

/**
 * A server that has not advertised its rate for this long is sent a request if there is
 * one, since its answer may end the rate limit.
 */
const RATE_CHECK_MS = 3_000

/** Longest time after which a refused caller is told to come back. */
const MAX_RETRY_MS = 5_000

/** Nothing waits: the request is for stock, at the lowest priority. */
const NO_NEED: SendDemand = {count: 0, rank: 9, waitMs: 0}

/** Whether the server is rate-limited and this box holds no allowance for it. */
export function isPaced(box: BoxServing, server: string, now: number): boolean {
  return (
    box.advertisedRates.of(server) !== undefined && !box.sendAllowances.holds(server, now)
  )
}

/** Returns the time until the server may have room; 0 means possibly now. */
export function pacedForMs(box: BoxServing, server: string, now: number): number {
  return isPaced(box, server, now) ? box.sendAllowances.fullForMs(server, now) : 0
}

/**
 * Records the demand of an incoming request at the rate-limited servers of its service.
 */
export function recordSendDemand(
  box: BoxServing,
  servers: readonly string[],
  now: number
): void {
  for (const server of servers) box.sendAllowances.recordDemand(server, now)
}

/**
 * Makes a request wait for an allowance of one of the servers that could take it, or refuses
 * it at once if only rate-limited servers could and none promises room in time. Returns
 * false if other servers may serve it.
 */
export function waitForSendAllowance(
  box: BoxServing,
  request: BoxRequest,
  servers: readonly string[],
  now: number
): boolean {
  if (servers.length === 0) return false
  const available = servers.find(server => canArriveInTime(box, request, server, now))
  if (!request.paced) logPaced(box, request, available ?? (servers[0] as string), now)
  request.paced = {server: available, since: request.paced?.since ?? now}
  if (available !== undefined) {
    requestSendAllowances(box, now)
    return true
  }
  if (mayBeServedElsewhere(box, request, now)) return false
  const roomInMs = Math.min(...servers.map(server => untilRoomMs(box, server, now)))
  failUnsent(box, request, now, addJitter(box, roomInMs))
  return true
}

/**
 * Whether an allowance can arrive in time. Leaders promise them for their lifetime at most,
 * so that a new rate binds soon; beyond that many may wait for the same room.
 */
function canArriveInTime(
  box: BoxServing,
  request: BoxRequest,
  server: string,
  now: number
): boolean {
  const leftMs = holdLeftMs(box, request, now)
  if (leftMs <= 0) return false
  if (box.sendAllowances.fullForMs(server, now) === 0) return true
  // An allowance was granted in advance, for this or another waiting request.
  return (
    request.paced?.server === server &&
    box.sendAllowances.msUntilUsable(server, now) < leftMs
  )
}

function holdLeftMs(box: BoxServing, request: BoxRequest, now: number): number {
  const waitedMs = now - (request.paced?.since ?? now)
  const leftMs = waitUntil(box, request, now) - now
  return Math.min(leftMs, SEND_ALLOWANCE_LIFETIME_MS - waitedMs)
}

/**
 * Returns the time until the server may have room for a caller that comes back: what is
 * free sooner than an interval of its rate is for others.
 */
function untilRoomMs(
  {sendAllowances, advertisedRates}: BoxServing,
  server: string,
  now: number
): number {
  const intervalMs = 1_000 / (advertisedRates.of(server) ?? Infinity)
  return Math.max(
    sendAllowances.fullForMs(server, now),
    Math.min(MAX_RETRY_MS, intervalMs)
  )
}

/**
 * Whether the service has a server that advertises no rate, or one with room at which the
 * request's weights may be loaded.
 */
function mayBeServedElsewhere(
  box: BoxServing,
  {arrival: {service, weights}}: BoxRequest,
  now: number
): boolean {
  for (const {record} of box.backends.known.values()) {
    if (record.service !== service || record.leaving) continue
    if (box.advertisedRates.of(record.id) === undefined) return true
    if (weights && pacedForMs(box, record.id, now) === 0) return true
  }
  return false
}

function logPaced(
  box: BoxServing,
  {arrival}: BoxRequest,
  server: string,
  now: number
): void {
  logEvent(box, "route-paced", {
    request: arrival.name,
    backend: server,
    perSecond: box.advertisedRates.of(server) ?? 0,
    fullForMs: Math.round(box.sendAllowances.fullForMs(server, now))
  })
}

/**
 * Requests allowances for waiting requests and for stock from the leader; without a
 * leader, uses the box's fallback share.
 */
export function requestSendAllowances(box: BoxServing, now: number): void {
  const servers = box.advertisedRates.list()
  if (servers.length === 0) return
  const needs = listSendNeeds(box, now)
  const asks = servers.flatMap(server =>
    buildSendAsks(box, server, needs.get(server), now)
  )
  if (asks.length > 0) box.effects.push({type: "send-asks", asks})
}

function buildSendAsks(
  box: BoxServing,
  server: string,
  need: SendDemand | undefined,
  now: number
): SendAllowanceRequest[] {
  const {sendAllowances: allowances, advertisedRates: rates} = box
  if (!box.hasLeader || allowances.isLeaderSilent(server, now)) {
    if (need && !allowances.holds(server, now)) useFallbackShare(box, server, now)
    return []
  }
  const isDue = now - rates.heardAt(server) > RATE_CHECK_MS
  const ask = allowances.buildRequest(server, need ?? NO_NEED, isDue, now)
  const perSecond = rates.of(server)
  if (!ask) return []
  return [perSecond === undefined ? ask : {...ask, perSecond}]
}

function useFallbackShare(box: BoxServing, server: string, now: number): void {
  const {
    advertisedRates: rates,
    sendAllowances: allowances,
    boxCount: boxes,
    options
  } = box
  const perSecond = rates.of(server) ?? 0
  const share = {perSecond, boxes, draw: options.random()}
  allowances.addFallback(server, share, runningMs(box, now), now)
}

function listSendNeeds(box: BoxServing, now: number): Map<string, SendDemand> {
  const needs = new Map<string, SendDemand>()
  for (const request of box.requests.values()) {
    const {paced, attempt, arrival} = request
    if (paced?.server === undefined || attempt) continue
    const waitMs = holdLeftMs(box, request, now)
    if (waitMs <= 0) continue
    const known = needs.get(paced.server) ?? NO_NEED
    needs.set(paced.server, {
      count: known.count + 1,
      rank: Math.min(known.rank, arrival.rank),
      waitMs: Math.max(known.waitMs, waitMs)
    })
  }
  return needs
}

/** Returns the requests that wait for send allowances, in the order of service. */
export function listPacedRequests(box: BoxServing): BoxRequest[] {
  return [...box.requests.values()]
    .filter(({paced, attempt}) => paced?.server !== undefined && !attempt)
    .sort(compareWaiting)
}

/**
 * Reports this box's recent sends to these rate-limited servers, for a new leader's
 * counts.
 */
export function reportRecentSends(
  box: BoxServing,
  servers: readonly string[],
  now: number
): void {
  const sent = servers.flatMap(server => {
    const counts = box.recentSends.list(server, runningMs(box, now))
    const perSecond = box.advertisedRates.of(server)
    if (counts.length === 0) return []
    return [perSecond === undefined ? {server, counts} : {server, counts, perSecond}]
  })
  if (sent.length > 0) box.effects.push({type: "sent-lately", sent})
}
