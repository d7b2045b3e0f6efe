/**
 * Copies of adapters in demand, for engines with few places. An adapter that turns popular
 * needs copies before its requests queue: a queue of its only engine is longer than a load
 * takes. Its copies follow two needs: places for its requests in progress, and prefill of
 * their prompts.
 */
import {hasFewPlaces} from "./engine-load.js"
import {speedOf} from "./engine-speeds.js"
import {holdersOf} from "./placement-index.js"
import type {Fleet, FleetEngine} from "./placement-state.js"

/**
 * Half-life of the demand. Shorter ones follow chance: an adapter with two requests a
 * second would be copied and dropped by turns.
 */
const DEMAND_HALF_LIFE_MS = 1_500

/** Part of an engine's places and prefill rate that the copies of adapters are to take. */
const TARGET_SHARE = 0.6

/** Interval of checks for adapters that need copies. */
export const COPY_CHECK_MS = 50

/** Demand (requests per second) below which one engine is enough in any case. */
const MIN_DEMAND_PER_S = 2

/** Loads of one adapter in progress, beyond which others wait for their effect. */
const MAX_PENDING_COPIES = 6

/** Average time of a request in its place, until the pace of streams is known. */
const DEFAULT_PLACE_MS = 1_500

/** Events of a typical stream. */
const TYPICAL_EVENTS = 40

/** Time from the begin of the prefill to the first event, at an engine without a queue. */
const FIRST_EVENT_MS = 150

/** Decayed counts of the requests for an adapter that began or wait. */
export interface AdapterDemand {
  requests: number
  tokens: number
  at: number
  /** When the first of them was counted. */
  readonly since: number
}

/** Shortest time over which a rate is computed, and fewest requests in it. */
const MIN_AGE_MS = 400
const MIN_REQUESTS = 4

/** Records requests for an adapter, or removes some that were counted twice. */
export function recordRequests(
  {demand}: Fleet,
  adapter: string,
  requests: number,
  tokens: number,
  now: number
): void {
  const known = demand.get(adapter)
  const factor = known ? decay(known, now) : 0
  demand.set(adapter, {
    requests: Math.max(0, (known?.requests ?? 0) * factor + requests),
    tokens: Math.max(0, (known?.tokens ?? 0) * factor + tokens),
    at: now,
    since: known?.since ?? now
  })
}

function decay({at}: AdapterDemand, now: number): number {
  return 2 ** ((at - now) / DEMAND_HALF_LIFE_MS)
}

/** An adapter whose engines cannot take its demand. */
export interface CopyNeed {
  readonly adapter: string
  readonly service: string
  /** How many engines more it needs. */
  readonly copies: number
}

/** Returns the adapters that need further copies, the largest need first. */
export function listCopyNeeds(fleet: Fleet, now: number): CopyNeed[] {
  if (![...fleet.services.values()].some(({engine}) => hasFewPlaces(engine))) return []
  const medianMs = fleet.index.medianEventMs
  const placeMs =
    medianMs === undefined ? DEFAULT_PLACE_MS : FIRST_EVENT_MS + TYPICAL_EVENTS * medianMs
  const needs: CopyNeed[] = []
  for (const [adapter, known] of fleet.demand) {
    const perSecond = ratePerSecond(known.requests, known, now)
    if (perSecond < MIN_DEMAND_PER_S) {
      if (perSecond < MIN_DEMAND_PER_S / 100) fleet.demand.delete(adapter)
      continue
    }
    if (known.requests * decay(known, now) < MIN_REQUESTS) continue
    const tokensPerMs = ratePerSecond(known.tokens, known, now) / 1_000
    const places = (perSecond * placeMs) / 1_000
    const need = measureNeed(fleet, adapter, {places, tokensPerMs}, medianMs, now)
    if (need && need.copies > 0) needs.push(need)
  }
  return needs.sort((a, b) => b.copies - a.copies)
}

/**
 * Returns the rate of a decayed count. A count that began recently has not reached its
 * steady state, as when demand has just moved to an adapter.
 */
function ratePerSecond(count: number, known: AdapterDemand, now: number): number {
  const ageMs = Math.max(MIN_AGE_MS, now - known.since)
  const filled = 1 - 2 ** (-ageMs / DEMAND_HALF_LIFE_MS)
  return (count * decay(known, now) * Math.LN2 * 1_000) / DEMAND_HALF_LIFE_MS / filled
}

interface Demand {
  readonly places: number
  readonly tokensPerMs: number
}

function measureNeed(
  fleet: Fleet,
  adapter: string,
  demand: Demand,
  medianMs: number | undefined,
  now: number
): CopyNeed | undefined {
  let service: string | undefined
  let places = 0
  let tokensPerMs = 0
  let pending = 0
  for (const engine of holdersOf(fleet, adapter)) {
    const slot = engine.slots.get(adapter)
    if (!slot || slot.phase === "unloading" || engine.leaving) continue
    service = engine.service
    if (slot.phase === "loading" && slot.readyAt > now) pending++
    const supply = supplyOf(fleet, engine, slot.running, medianMs)
    places += supply.places
    tokensPerMs += supply.tokensPerMs
  }
  if (service === undefined || pending >= MAX_PENDING_COPIES) return undefined
  const limits = fleet.services.get(service)?.engine
  if (!hasFewPlaces(limits)) return undefined
  const forPlaces = (demand.places - places) / (TARGET_SHARE * limits.batch)
  const perEngine = TARGET_SHARE * fleet.prefillRate.tokensPerMs
  const forTokens = (demand.tokensPerMs - tokensPerMs) / perEngine
  const copies = Math.ceil(Math.max(forPlaces, forTokens))
  return {adapter, service, copies: Math.min(copies, MAX_PENDING_COPIES - pending)}
}

/** What an engine has left for an adapter besides the other adapters' requests. */
function supplyOf(
  fleet: Fleet,
  engine: FleetEngine,
  runningOwn: number,
  medianMs: number | undefined
): Demand {
  const batch = fleet.services.get(engine.service)?.engine?.batch ?? 0
  const speed = speedOf(engine, medianMs)
  const others = Math.max(0, engine.running - runningOwn)
  const share = Math.max(0, 1 - others / Math.max(1, batch))
  return {
    places: TARGET_SHARE * speed * batch * share,
    tokensPerMs: TARGET_SHARE * speed * fleet.prefillRate.tokensPerMs * share
  }
}
