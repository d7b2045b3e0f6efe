/**
 * Requests that could go only to servers that named the rate they take, and for which this box holds no allowance:
 * they wait a little for one, and go on to other servers or are refused where there is no room in time.
 */
import type {SendAsk} from "../types/rate-messages.js"
import {type BoxRequest, type BoxServing, note} from "./box-state.js"
import {runningMs} from "./suspensions.js"
import type {SendNeed} from "./send-allowances.js"

/** Of the target, the part that a request waits for an allowance at most: its caller can still come back in time. */
const HOLD_SHARE = 0.25

/** A server that has not named its rate for so long is due a request: its answer may end the rate, milliseconds. */
const DUE_MS = 3_000

/** Nothing waits: what is asked for is stock, for the least urgent. */
const NO_NEED: SendNeed = {count: 0, rank: 9, waitMs: 0}

/** Whether the server takes only requests with an allowance, of which this box holds none. */
export function isPaced(box: BoxServing, server: string, now: number): boolean {
  return box.rates.of(server) !== undefined && !box.allowances.holds(server, now)
}

/** In how long there may be room at the server, milliseconds; 0: there may be now, as far as is known. */
export function pacedForMs(box: BoxServing, server: string, now: number): number {
  return isPaced(box, server, now) ? box.allowances.fullForMs(server, now) : 0
}

/** Counts a request that came in for the servers of its service that named rates. */
export function notePacedDemand(
  box: BoxServing,
  servers: readonly string[],
  now: number
): void {
  for (const server of servers) box.allowances.noteDemand(server, now)
}

/** Has a request wait for an allowance of one of the servers that could take it; false: none can in time. */
export function awaitSend(
  box: BoxServing,
  request: BoxRequest,
  servers: readonly string[],
  now: number
): boolean {
  if (servers.length === 0) return false
  const open = servers.find(server => mayComeInTime(box, request, server, now))
  if (!request.paced) notePaced(box, request, open ?? (servers[0] as string), now)
  request.paced = {server: open, since: request.paced?.since ?? now}
  if (open === undefined) return false
  askSends(box, now)
  return true
}

function mayComeInTime(
  box: BoxServing,
  request: BoxRequest,
  server: string,
  now: number
): boolean {
  const leftMs = holdLeftMs(request, now)
  if (leftMs <= 0) return false
  if (box.allowances.fullForMs(server, now) === 0) return true
  // One was given in advance, for this request or another that waits.
  return (
    request.paced?.server === server && box.allowances.comesInMs(server, now) < leftMs
  )
}

function holdLeftMs({arrival, paced}: BoxRequest, now: number): number {
  return HOLD_SHARE * arrival.route.targetMs - (now - (paced?.since ?? now))
}

function notePaced(
  box: BoxServing,
  {arrival}: BoxRequest,
  server: string,
  now: number
): void {
  note(box, "route-paced", {
    request: arrival.name,
    backend: server,
    perSecond: box.rates.of(server) ?? 0,
    fullForMs: Math.round(box.allowances.fullForMs(server, now))
  })
}

/** Asks the leader for what waits, and for stock; without a leader the box takes its own part. */
export function askSends(box: BoxServing, now: number): void {
  const servers = box.rates.list()
  if (servers.length === 0) return
  const needs = listSendNeeds(box, now)
  const asks = servers.flatMap(server => askFor(box, server, needs.get(server), now))
  if (asks.length > 0) box.effects.push({type: "send-asks", asks})
}

function askFor(
  box: BoxServing,
  server: string,
  need: SendNeed | undefined,
  now: number
): SendAsk[] {
  const {allowances, rates} = box
  if (!box.led || allowances.isSilent(server, now)) {
    if (need && !allowances.holds(server, now)) takeOwnPart(box, server, now)
    return []
  }
  const isDue = now - rates.heardAt(server) > DUE_MS
  const ask = allowances.collect(server, need ?? NO_NEED, isDue, now)
  return ask ? [ask] : []
}

function takeOwnPart(box: BoxServing, server: string, now: number): void {
  const {rates, allowances, boxes, options} = box
  const perSecond = rates.of(server) ?? 0
  const part = {perSecond, boxes, draw: options.random()}
  allowances.takeOwn(server, part, runningMs(box, now), now)
}

function listSendNeeds(box: BoxServing, now: number): Map<string, SendNeed> {
  const needs = new Map<string, SendNeed>()
  for (const request of box.requests.values()) {
    const {paced, attempt, arrival} = request
    if (paced?.server === undefined || attempt) continue
    const waitMs = holdLeftMs(request, now)
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

/** Requests that wait for allowances, the most urgent first. */
export function listPaced(box: BoxServing): BoxRequest[] {
  return [...box.requests.values()]
    .filter(({paced, attempt}) => paced?.server !== undefined && !attempt)
    .sort((a, b) => a.arrival.rank - b.arrival.rank)
}

/** What this box sent lately to servers that name rates now, for a leader that has to count it. */
export function tellSentLately(
  box: BoxServing,
  servers: readonly string[],
  now: number
): void {
  const sent = servers.flatMap(server => {
    const counts = box.recentSends.list(server, runningMs(box, now))
    return counts.length > 0 ? [{server, counts}] : []
  })
  if (sent.length > 0) box.effects.push({type: "sent-lately", sent})
}
