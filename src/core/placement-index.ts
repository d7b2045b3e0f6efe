/**
 * Counts that a plan looks up repeatedly, computed once per plan. Without them each
 * choice of a slot would visit every slot of every engine for every adapter that it
 * compares.
 */
import {adapterKey} from "../types/fleet.js"
import {medianEventMs} from "./engine-speeds.js"
import {type Fleet, type FleetEngine, popularityOf} from "./placement-state.js"

/** Prompt tokens expected per unit of an adapter's popularity. */
const TOKENS_PER_POPULARITY = 400

export interface FleetIndex {
  /** Engines that hold, load or unload each adapter, in the order of the fleet. */
  readonly holders: Map<string, FleetEngine[]>
  /** Adapters that requests wait for. */
  readonly requestedAdapters: ReadonlySet<string>
  /**
   * Prompt tokens that the adapters of an engine are expected to attract, if computed.
   */
  readonly expectedTokens: Map<string, number>
  /** Prompt tokens of the requests that wait for each adapter. */
  readonly waitingTokens: ReadonlyMap<string, number>
  /** Prompt tokens of the requests that wait for adapters that each engine is loading. */
  readonly incomingTokens: Map<string, number>
  /** Median time between two events of a stream. Undefined if no engine has one. */
  readonly medianEventMs: number | undefined
  /** Engines that can load adapters of each service and base model, if looked up. */
  readonly openEngines: Map<string, OpenEngines>
  /** Engines whose hosts cache each requested adapter, if computed. */
  cachedAt: ReadonlyMap<string, ReadonlySet<FleetEngine>> | undefined
}

/** Engines that a plan can still send the load of an adapter of one base model. */
export interface OpenEngines {
  /** In the order of the fleet. */
  list: OpenEngine[]
  readonly byEngine: ReadonlyMap<FleetEngine, OpenEngine>
}

/**
 * What choices of one plan have computed about an engine. It stays valid while the plan
 * sends the engine no order, apart from offers that `recordHolder` removes.
 */
export interface OpenEngine {
  readonly engine: FleetEngine
  /** Undefined if not computed. */
  offer: LoadOffer | undefined
  /** Cost of the work that waits there. Undefined if not computed. */
  workCost: number | undefined
}

/** How an engine can load an adapter. */
export interface LoadOffer {
  readonly canLoad: boolean
  /** The adapter to evict first. Undefined if a slot is free. */
  readonly victim: string | undefined
}

export function indexFleet(fleet: Fleet): FleetIndex {
  const holders = new Map<string, FleetEngine[]>()
  for (const engine of fleet.engines.values()) {
    for (const adapter of engine.slots.keys()) {
      const known = holders.get(adapter)
      if (known) known.push(engine)
      else holders.set(adapter, [engine])
    }
  }
  const waitingTokens = countWaitingTokens(fleet)
  const requestedAdapters = new Set(waitingTokens.keys())
  const incomingTokens = countIncomingTokens(fleet, waitingTokens)
  return {
    holders,
    requestedAdapters,
    expectedTokens: new Map(),
    waitingTokens,
    incomingTokens,
    medianEventMs: medianEventMs(fleet.engines.values()),
    openEngines: new Map(),
    cachedAt: undefined
  }
}

function countWaitingTokens(fleet: Fleet): Map<string, number> {
  const waitingTokens = new Map<string, number>()
  for (const {weightsRequest} of fleet.waitingRequests.values()) {
    if (weightsRequest.adapter === undefined) continue
    const adapter = adapterKey(weightsRequest.model, weightsRequest.adapter)
    waitingTokens.set(adapter, (waitingTokens.get(adapter) ?? 0) + weightsRequest.tokens)
  }
  return waitingTokens
}

function countIncomingTokens(
  fleet: Fleet,
  waitingTokens: ReadonlyMap<string, number>
): Map<string, number> {
  const incomingTokens = new Map<string, number>()
  for (const {id, slots} of fleet.engines.values()) {
    let tokens = 0
    for (const [adapter, {phase}] of slots) {
      if (phase === "loading") tokens += waitingTokens.get(adapter) ?? 0
    }
    if (tokens > 0) incomingTokens.set(id, tokens)
  }
  return incomingTokens
}

/** Number of engines that hold or load an adapter, at least 1. */
export function countHolders({index}: Fleet, adapter: string): number {
  return Math.max(1, index.holders.get(adapter)?.length ?? 0)
}

const NO_ENGINES: readonly FleetEngine[] = []

/** Engines that hold, load or unload an adapter, in the order of the fleet. */
export function holdersOf({index}: Fleet, adapter: string): readonly FleetEngine[] {
  return index.holders.get(adapter) ?? NO_ENGINES
}

/** Records that the plan has one more engine load the adapter. */
export function recordHolder(fleet: Fleet, engine: FleetEngine, adapter: string): void {
  const {holders, expectedTokens, waitingTokens, incomingTokens} = fleet.index
  const known = new Set(holdersOf(fleet, adapter)).add(engine)
  holders.set(
    adapter,
    [...fleet.engines.values()].filter(each => known.has(each))
  )
  removeOffers(fleet, known)
  expectedTokens.delete(engine.id)
  const tokens = (incomingTokens.get(engine.id) ?? 0) + (waitingTokens.get(adapter) ?? 0)
  incomingTokens.set(engine.id, tokens)
}

/**
 * Prompt tokens queued on an engine, including those of requests that wait for weights it
 * is loading. The latter are not sent to the engine yet. Without them, all loads of the
 * same moment would go to the one idle engine.
 */
export function countQueuedTokens(
  {index}: Fleet,
  {id, queuedTokens}: FleetEngine
): number {
  return queuedTokens + (index.incomingTokens.get(id) ?? 0)
}

/** Prompt tokens that the adapters of an engine are expected to attract. */
export function estimateTokens(fleet: Fleet, engine: FleetEngine, now: number): number {
  const cached = fleet.index.expectedTokens.get(engine.id)
  if (cached !== undefined) return cached
  let popularity = 0
  for (const adapter of engine.slots.keys()) {
    popularity += popularityOf(fleet, adapter, now) / countHolders(fleet, adapter)
  }
  const tokens = popularity * TOKENS_PER_POPULARITY
  fleet.index.expectedTokens.set(engine.id, tokens)
  return tokens
}

/** An adapter with one holder more is cheaper to evict at those that it had. */
function removeOffers({index}: Fleet, holders: ReadonlySet<FleetEngine>): void {
  for (const {byEngine} of index.openEngines.values()) {
    for (const engine of holders) {
      const open = byEngine.get(engine)
      if (open?.offer?.canLoad) open.offer = undefined
    }
  }
}

/** Engines whose hosts cache the weights of an adapter. */
export function cachingEngines(fleet: Fleet, adapter: string): ReadonlySet<FleetEngine> {
  const {index} = fleet
  index.cachedAt ??= indexCachedWeights(fleet)
  if (index.requestedAdapters.has(adapter))
    return index.cachedAt.get(adapter) ?? new Set<FleetEngine>()
  const engines = [...fleet.engines.values()]
  return new Set(engines.filter(({cachedWeights}) => cachedWeights.has(adapter)))
}

function indexCachedWeights({engines, index}: Fleet): Map<string, Set<FleetEngine>> {
  const cachedAt = new Map<string, Set<FleetEngine>>()
  for (const engine of engines.values()) {
    for (const adapter of engine.cachedWeights.keys()) {
      if (!index.requestedAdapters.has(adapter)) continue
      const known = cachedAt.get(adapter)
      if (known) known.add(engine)
      else cachedAt.set(adapter, new Set([engine]))
    }
  }
  return cachedAt
}
