/** Chooses the engine that loads an adapter, and what to evict if no slot is free. */
import type {EngineLimits} from "../types/fleet.js"
import {splitAdapterKey} from "../types/fleet.js"
import {hasFewPlaces} from "./engine-load.js"
import {speedOf} from "./engine-speeds.js"
import {batchIntervalMs} from "./placement-updates.js"
import {
  cachingEngines,
  countHolders,
  countQueuedTokens,
  estimateTokens,
  holdersOf,
  type LoadOffer,
  type OpenEngine,
  type OpenEngines
} from "./placement-index.js"
import {
  countUsedSlots,
  type Fleet,
  type FleetEngine,
  popularityOf
} from "./placement-state.js"

/** Adapters that one engine loads at once. */
const MAX_PENDING_LOADS = 4

// Costs of a choice, compared with the prompt tokens that wait for prefill on the engine.
const EVICTION_COST_TOKENS = 300

const STORE_LOAD_COST_TOKENS = 4_000

/** High enough that engines without a rate limit are always preferred. */
const RATE_LIMITED_COST_TOKENS = 100_000

/**
 * Delay of a box's use reports beyond their batch interval. Without it, weights that have
 * just loaded could be evicted before the requests that waited for them are reported as
 * running.
 */
const USE_REPORT_DELAY_MS = 150

/** The engine that an adapter is to be loaded on. */
export interface PlacementChoice {
  readonly engine: FleetEngine
  /** The adapter to evict first. Undefined if a slot is free. */
  readonly victim: string | undefined
  /** Whether the load uses cached weights instead of the weight store. */
  readonly fromCache: boolean
}

/** The adapter to load, and which engines may load it. */
export interface PlacementDemand {
  readonly service: string
  readonly adapter: string
  /** Software version of the engine. Undefined if any will do. */
  readonly software: string | undefined
  /** Least speed of the engine, as a part of the median engine's. */
  readonly minSpeed: number
}

/** Returns the cheapest choice. Without `canUseStore` it uses cached weights. */
export function choosePlacement(
  fleet: Fleet,
  {service, adapter, software, minSpeed}: PlacementDemand,
  canUseStore: boolean,
  now: number
): PlacementChoice | undefined {
  const limits = fleet.services.get(service)?.engine
  if (!limits) return undefined
  const caching = cachingEngines(fleet, adapter)
  if (!canUseStore && caching.size === 0) return undefined
  const {model} = splitAdapterKey(adapter)
  const openEngines = listOpenEngines(fleet, service, model, now)
  const {list, byEngine} = openEngines
  const holders = holdersOf(fleet, adapter)
  let best: PlacementChoice | undefined
  let minCost = Infinity
  let closed = 0
  for (const open of canUseStore ? list : findOpen(byEngine, caching)) {
    const {engine} = open
    if (!isOpen(open)) {
      closed++
      continue
    }
    if (software !== undefined && engine.software !== software) continue
    if (holders.includes(engine) || isTooSlow(fleet, engine, minSpeed)) continue
    const fromCache = caching.has(engine)
    open.offer ??= createOffer(fleet, engine, limits, adapter, now)
    const {canLoad, victim} = open.offer
    if (!canLoad) continue
    open.workCost ??= workCost(fleet, engine, limits, now)
    const cost =
      open.workCost +
      (victim === undefined ? 0 : EVICTION_COST_TOKENS) +
      (fromCache ? 0 : STORE_LOAD_COST_TOKENS) +
      (engine.isRateLimited ? RATE_LIMITED_COST_TOKENS : 0)
    if (cost < minCost) {
      minCost = cost
      best = {engine, victim, fromCache}
    }
  }
  if (closed > list.length / 4) openEngines.list = list.filter(isOpen)
  return best
}

/** Cost of an engine whose places are all taken, compared with an empty one. */
const FULL_COST_TOKENS = 8_000

/** Cost of the work that waits at an engine and that its adapters will attract. */
function workCost(
  fleet: Fleet,
  engine: FleetEngine,
  limits: EngineLimits,
  now: number
): number {
  const tokens = countQueuedTokens(fleet, engine) + estimateTokens(fleet, engine, now)
  if (!hasFewPlaces(limits)) return tokens
  const taken = (FULL_COST_TOKENS * engine.running) / limits.batch
  return (tokens + taken) / speedOf(engine, fleet.index.medianEventMs)
}

/** Whether an engine is slower than requests need it. */
export function isTooSlow(fleet: Fleet, engine: FleetEngine, minSpeed: number): boolean {
  return minSpeed > 0 && speedOf(engine, fleet.index.medianEventMs) < minSpeed
}

/** Whether an engine can be sent an order now. */
export function isReadyForOrder(engine: FleetEngine, now: number): boolean {
  return (
    !engine.leaving &&
    !engine.hasPendingCall &&
    engine.sequence !== undefined &&
    engine.pausedUntil <= now &&
    engine.backoffUntil <= now
  )
}

/**
 * Returns the engines that may be able to load adapters of a base model. Within a plan an
 * engine stops being ready only by an order or a report request, which sets
 * `hasPendingCall`, and one that can load no adapter of the model does not become able to.
 */
function listOpenEngines(
  {engines, index}: Fleet,
  service: string,
  model: string,
  now: number
): OpenEngines {
  const key = `${service} ${model}`
  const known = index.openEngines.get(key)
  if (known) return known
  const list: OpenEngine[] = []
  for (const engine of engines.values()) {
    if (engine.service !== service || !isReadyForOrder(engine, now)) continue
    if (engine.models.has(model))
      list.push({engine, offer: undefined, workCost: undefined})
  }
  const built = {list, byEngine: new Map(list.map(open => [open.engine, open]))}
  index.openEngines.set(key, built)
  return built
}

function isOpen({engine, offer}: OpenEngine): boolean {
  return !engine.hasPendingCall && offer?.canLoad !== false
}

function findOpen(
  byEngine: ReadonlyMap<FleetEngine, OpenEngine>,
  engines: ReadonlySet<FleetEngine>
): OpenEngine[] {
  return [...engines].flatMap(engine => byEngine.get(engine) ?? [])
}

const NO_OFFER: LoadOffer = {canLoad: false, victim: undefined}

/** Returns how an engine can load an adapter. Adapters of one model are of one size. */
function createOffer(
  fleet: Fleet,
  engine: FleetEngine,
  limits: EngineLimits,
  adapter: string,
  now: number
): LoadOffer {
  if (!canStartLoad(engine)) return NO_OFFER
  if (hasRoom(engine, limits, adapter)) return {canLoad: true, victim: undefined}
  const victim = chooseVictim(fleet, engine, now)
  return victim === undefined ? NO_OFFER : {canLoad: true, victim}
}

/** Whether the engine has fewer loads in progress than it may have at once. */
export function canStartLoad({slots}: FleetEngine): boolean {
  let pending = 0
  for (const {phase} of slots.values()) if (phase === "loading") pending++
  return pending < MAX_PENDING_LOADS
}

/** Whether the engine has a slot and memory for one more adapter or version of one. */
export function hasRoom(
  engine: FleetEngine,
  limits: EngineLimits,
  adapter: string
): boolean {
  return (
    countUsedSlots(engine) < limits.maxAdapters && fitsMemory(engine, limits, adapter)
  )
}

function fitsMemory(engine: FleetEngine, limits: EngineLimits, adapter: string): boolean {
  const modelsByName = new Map(limits.models.map(model => [model.name, model]))
  let totalMb = modelsByName.get(splitAdapterKey(adapter).model)?.adapterMb ?? 0
  for (const model of engine.models) totalMb += modelsByName.get(model)?.weightsMb ?? 0
  for (const [key, {replacedVersion}] of engine.slots) {
    const sizeMb = modelsByName.get(splitAdapterKey(key).model)?.adapterMb ?? 0
    totalMb += replacedVersion === undefined ? sizeMb : 2 * sizeMb
  }
  return totalMb <= limits.weightsMb
}

/** Returns the least popular adapter that no request uses or waits for. */
export function chooseVictim(
  fleet: Fleet,
  engine: FleetEngine,
  now: number
): string | undefined {
  let victim: string | undefined
  let minPopularity = Infinity
  const unreportedMs = batchIntervalMs(fleet.boxCount) + USE_REPORT_DELAY_MS
  for (const [adapter, slot] of engine.slots) {
    if (slot.phase !== "ready" || slot.running > 0) continue
    if (now - slot.readyAt < unreportedMs) continue
    if (fleet.index.requestedAdapters.has(adapter)) continue
    const recentBonus = now - slot.lastUsed < 100 ? 100 : 0
    const popularity =
      popularityOf(fleet, adapter, now) / countHolders(fleet, adapter) + recentBonus
    if (popularity < minPopularity) {
      minPopularity = popularity
      victim = adapter
    }
  }
  return victim
}
