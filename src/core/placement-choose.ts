/** Where weights go and what makes way: the decisions on an engine's few places. */
import type {EngineLimits} from "../types/fleet.js"
import {splitAdapterKey} from "../types/fleet.js"
import {gatherMs} from "./placement-news.js"
import {countHolders, expectedWork, workAt} from "./placement-index.js"
import {countTaken, type Fleet, type FleetEngine, heatOf} from "./placement-state.js"

/** Adapters that may be on their way to one engine at once. */
const MAX_ON_WAY = 4

/** A free place is worth this much work in tokens. */
const FREE_PLACE_TOKENS = 300

/** A load from the weight store is worth so much work at another engine, tokens. */
const STORE_TOKENS = 4_000

/** The same for an engine that takes fewer requests than it could be sent: others go first, tokens. */
const IN_NEED_TOKENS = 100_000

/**
 * Beyond the time that uses are gathered, how long the leader may not know of one, milliseconds:
 * weights that have just come would be taken from the requests that waited for them.
 */
const USE_WAY_MS = 150

/** Copies an engine is believed to keep near. */
export const MAX_COPIES = 34

/** An engine with what has to go first, if anything. */
export interface Spot {
  readonly engine: FleetEngine
  readonly victim: string | undefined
  /** The copy is near: the weight store is not asked. */
  readonly near: boolean
}

/** The best engine for an adapter, and its victim; `store`: whether it may come from the store. */
export function chooseSpot(
  fleet: Fleet,
  service: string,
  adapter: string,
  store: boolean,
  now: number
): Spot | undefined {
  const limits = fleet.services.get(service)?.engine
  if (!limits) return undefined
  let best: Spot | undefined
  let least = Infinity
  for (const engine of fleet.engines.values()) {
    if (engine.service !== service || !takesOrders(engine, now)) continue
    if (engine.places.has(adapter)) continue
    const near = engine.copies.has(adapter)
    if (!near && !store) continue
    const spot = findRoom(fleet, engine, limits, adapter, near, now)
    if (!spot) continue
    const cost =
      workAt(fleet, engine) +
      expectedWork(fleet, engine, now) +
      (spot.victim === undefined ? 0 : FREE_PLACE_TOKENS) +
      (near ? 0 : STORE_TOKENS) +
      (engine.isInNeed ? IN_NEED_TOKENS : 0)
    if (cost < least) {
      least = cost
      best = spot
    }
  }
  return best
}

/** Whether an engine can be given an order now. */
export function takesOrders(engine: FleetEngine, now: number): boolean {
  return (
    !engine.leaving &&
    !engine.busy &&
    engine.sequence !== undefined &&
    engine.quietUntil <= now &&
    engine.restUntil <= now
  )
}

function findRoom(
  fleet: Fleet,
  engine: FleetEngine,
  limits: EngineLimits,
  adapter: string,
  near: boolean,
  now: number
): Spot | undefined {
  const {model} = splitAdapterKey(adapter)
  if (!engine.models.has(model)) return undefined
  if (!takesLoads(engine)) return undefined
  if (hasRoom(engine, limits, adapter)) return {engine, victim: undefined, near}
  const victim = chooseVictim(fleet, engine, now)
  return victim === undefined ? undefined : {engine, victim, near}
}

/** Whether fewer adapters are on their way to the engine than it takes at once. */
export function takesLoads({places}: FleetEngine): boolean {
  let onWay = 0
  for (const {phase} of places.values()) if (phase === "loading") onWay++
  return onWay < MAX_ON_WAY
}

/** Whether one more adapter, or one more version of it, stays within the engine's places and memory. */
export function hasRoom(
  engine: FleetEngine,
  limits: EngineLimits,
  adapter: string
): boolean {
  return countTaken(engine) < limits.maxAdapters && fits(engine, limits, adapter)
}

function fits(engine: FleetEngine, limits: EngineLimits, adapter: string): boolean {
  const sizes = new Map(limits.models.map(model => [model.name, model]))
  let total = sizes.get(splitAdapterKey(adapter).model)?.adapterMb ?? 0
  for (const model of engine.models) total += sizes.get(model)?.weightsMb ?? 0
  for (const [key, {replaced}] of engine.places) {
    const size = sizes.get(splitAdapterKey(key).model)?.adapterMb ?? 0
    total += replaced === undefined ? size : 2 * size
  }
  return total <= limits.weightsMb
}

/** The coldest adapter that nothing uses or waits for. */
export function chooseVictim(
  fleet: Fleet,
  engine: FleetEngine,
  now: number
): string | undefined {
  let victim: string | undefined
  let least = Infinity
  const untoldMs = gatherMs(fleet.boxes) + USE_WAY_MS
  for (const [adapter, place] of engine.places) {
    if (place.phase !== "ready" || place.running > 0) continue
    if (now - place.readyAt < untoldMs) continue
    if (fleet.index.awaited.has(adapter)) continue
    const recent = now - place.lastUsed < 100 ? 100 : 0
    const heat = heatOf(fleet, adapter, now) / countHolders(fleet, adapter) + recent
    if (heat < least) {
      least = heat
      victim = adapter
    }
  }
  return victim
}
