/**
 * The leader's placement of weights: which adapters occupy the few slots of which
 * engines. Loads that serve the most requests in time come first. Loads of base models
 * stay within the rate limit of the weight store.
 */
import {adapterKey, type EngineLimits} from "../types/fleet.js"
import {hasFewPlaces} from "./engine-load.js"
import {
  choosePlacement,
  type PlacementChoice,
  isReadyForOrder,
  isTooSlow
} from "./placement-choose.js"
import {
  cachingEngines,
  countHolders,
  holdersOf,
  indexFleet,
  recordHolder
} from "./placement-index.js"
import {sendOrder, orderLoad, ORDER_PAUSE_MS, orderUnload} from "./placement-orders.js"
import {COPY_CHECK_MS, listCopyNeeds} from "./placement-copies.js"
import {expireInheritedLoads} from "./placement-unconfirmed.js"
import {replaceOldVersions} from "./placement-versions.js"
import {prefillTokensIn} from "./prefill-rate.js"
import {sendUpdates} from "./placement-updates.js"
import {removeWeightsRequest} from "./placement-uses.js"
import {expectedLoadMs} from "./load-times.js"
import {
  createSlot,
  type Fleet,
  type FleetEngine,
  popularityOf
} from "./placement-state.js"

/** Adapter loads from the weight store per engine. More would slow each other down. */
const STORE_LOADS_PER_ENGINE = 2

/** Capacity of the token bucket for loads of base models. */
const MAX_BASE_MODEL_LOAD_TOKENS = 2

/**
 * Loads of replicas from the weight store per engine of the fleet, regardless of other
 * loads. When demand shifts, loads of unpopular adapters never cease, and each of those
 * serves one request where a replica serves many.
 */
const REPLICA_LOADS_PER_ENGINE = 0.25

/** Replicas of one adapter that load at once. Their effect shows if more are needed. */
const MAX_PENDING_REPLICAS = 2

/** Prefill time of queued prompts above which queuing takes longer than a load. */
const MAX_QUEUE_MS = 400

/** Prefill time of queued prompts above which a replica is worth its slot. */
const REPLICATION_QUEUE_MS = 450

/** Issues the orders that are due, expires weights requests and sends updates. */
export function planFleet(fleet: Fleet, canOrder: boolean, now: number): void {
  fleet.needsPlanning = false
  if (canOrder) {
    fleet.index = indexFleet(fleet)
    refillBaseModelLoads(fleet, now)
    for (const engine of fleet.engines.values()) {
      expireInheritedLoads(engine, now)
      requestReportIfDue(fleet, engine, now)
    }
    for (const engine of fleet.engines.values()) loadBaseModel(fleet, engine, now)
    replaceOldVersions(fleet, now)
    placeRequestedAdapters(fleet, now)
  }
  expireWeightsRequests(fleet, now)
  sendUpdates(fleet, now)
}

function requestReportIfDue(fleet: Fleet, engine: FleetEngine, now: number): void {
  if (engine.hasPendingCall || Math.max(engine.pausedUntil, engine.backoffUntil) > now)
    return
  if (engine.nextReportAt > now && engine.sequence !== undefined) return
  if (engine.nextReportAt > now) return
  engine.hasPendingCall = true
  fleet.effects.push({type: "ask", engine: engine.id})
}

/** Loads the base model on an engine without weights, which is new or restarted. */
function loadBaseModel(fleet: Fleet, engine: FleetEngine, now: number): void {
  if (!isReadyForOrder(engine, now) || engine.models.size > 0) return
  const limits = fleet.services.get(engine.service)?.engine
  const model = limits?.models[0]
  if (!limits || !model || model.weightsMb > limits.weightsMb) return
  if (fleet.baseModelLoadTokens < 1) return
  fleet.baseModelLoadTokens--
  sendOrder(fleet, engine, {operation: "load", model: model.name})
}

/** An adapter that requests wait for. */
interface RequestedAdapter {
  readonly adapter: string
  readonly service: string
  /** Software version of the engine that those requests need. Undefined if any will do. */
  readonly software: string | undefined
  /** Least speed of the engine that those requests need. */
  minSpeed: number
  /** Priority of its load. The highest comes first. */
  score: number
  /** Least time that a caller has left to wait for it (ms). Of equal scores it decides. */
  leftMs: number
  /** Engines that failed every request that waits for it. */
  failedAt: readonly string[]
}

/** Places the adapters that requests wait for, those with the highest score first. */
function placeRequestedAdapters(fleet: Fleet, now: number): void {
  replicatePopularAdapters(fleet, now)
  const requested = listRequestedAdapters(fleet, now)
  if (now - fleet.copiesCheckedAt >= COPY_CHECK_MS) copyAdaptersInDemand(fleet, now)
  const mostStoreLoads = STORE_LOADS_PER_ENGINE * fleet.engines.size
  let remainingStoreLoads = mostStoreLoads - countPendingLoads(fleet, now)
  let ahead = 0
  for (const demand of requested) {
    const {adapter} = demand
    if (isAvailableSoon(fleet, demand, now)) continue
    const isCached = hasCachedWeights(fleet, demand, now)
    const canUseStore = remainingStoreLoads > 0 && !isCached
    const choice = choosePlacement(fleet, demand, canUseStore, now)
    if (!choice && remainingStoreLoads <= 0 && !isCached) {
      // At best those in progress end now, and each round begins as the last one ends.
      const loadedInMs = (1 + Math.floor(ahead++ / mostStoreLoads)) * fleet.storeLoadMs
      if (demand.leftMs < loadedInMs) refuseLateRequests(fleet, demand, loadedInMs, now)
    }
    if (!choice) continue
    orderChoice(fleet, choice, adapter, now)
    // An eviction counts as the load that it makes room for, so as not to run ahead.
    if (!choice.fromCache) remainingStoreLoads--
  }
}

/**
 * Refuses the requests for an adapter whose callers would be gone when it is loaded, as so
 * many loads come before it.
 */
function refuseLateRequests(
  fleet: Fleet,
  {adapter, software}: RequestedAdapter,
  loadedInMs: number,
  now: number
): void {
  for (const {box, weightsRequest, since} of fleet.waitingRequests.values()) {
    const {model, adapter: name, request, waitMs} = weightsRequest
    if (name === undefined || adapterKey(model, name) !== adapter) continue
    if (weightsRequest.software !== software || waitMs - (now - since) >= loadedInMs)
      continue
    removeWeightsRequest(fleet, box, request, now)
    const retryAfterMs = Math.round(loadedInMs)
    fleet.effects.push({type: "refuse", box, request, retryAfterMs})
  }
}

function listRequestedAdapters(fleet: Fleet, now: number): RequestedAdapter[] {
  const requested = new Map<string, RequestedAdapter>()
  for (const {weightsRequest, since} of fleet.waitingRequests.values()) {
    if (weightsRequest.adapter === undefined) continue
    const adapter = adapterKey(weightsRequest.model, weightsRequest.adapter)
    const leftMs = weightsRequest.waitMs - (now - since)
    // No load can serve it any more.
    if (leftMs < Math.min(fleet.cacheLoadMs, fleet.storeLoadMs)) continue
    const limits = fleet.services.get(weightsRequest.service)?.engine
    const score = urgencyOf(weightsRequest.priority, limits)
    const {software} = weightsRequest
    const minSpeed = (weightsRequest.minSpeed ?? 0) / 100
    const key = software === undefined ? adapter : `${adapter} ${software}`
    const entry = requested.get(key)
    if (entry) {
      entry.score += score
      entry.leftMs = Math.min(entry.leftMs, leftMs)
      entry.minSpeed = Math.max(entry.minSpeed, minSpeed)
      entry.failedAt = entry.failedAt.filter(id => weightsRequest.failedAt.includes(id))
    } else {
      const popularity = popularityOf(fleet, adapter, now)
      requested.set(key, {
        adapter,
        service: weightsRequest.service,
        software,
        minSpeed,
        score: score + popularity * 2,
        leftMs,
        failedAt: weightsRequest.failedAt
      })
    }
  }
  return [...requested.values()].sort((a, b) => b.score - a.score || a.leftMs - b.leftMs)
}

/** Urgency of a request of the first rank, and of one that is a rank less urgent. */
const TOP_URGENCY = 10
const URGENCY_PER_RANK = 0.6

/**
 * Returns how much a request counts for the order of loads. Where slots are scarce, a
 * burst of background requests for rare adapters must not displace what callers of
 * urgent requests wait for, so that two ranks count for nearly three times as much.
 */
function urgencyOf(rank: number, limits: EngineLimits | undefined): number {
  return hasFewPlaces(limits)
    ? TOP_URGENCY * URGENCY_PER_RANK ** rank
    : TOP_URGENCY - rank
}

/** Loads copies of adapters whose engines cannot take their demand. */
function copyAdaptersInDemand(fleet: Fleet, now: number): void {
  fleet.copiesCheckedAt = now
  const most = REPLICA_LOADS_PER_ENGINE * fleet.engines.size
  let storeLoads = listReplicaLoads(fleet, now).length
  for (const {adapter, service, copies} of listCopyNeeds(fleet, now)) {
    for (let i = 0; i < copies; i++) {
      const demand = {service, adapter, software: undefined, minSpeed: 0}
      const choice = choosePlacement(fleet, demand, storeLoads < most, now)
      if (!choice) break
      if (orderChoice(fleet, choice, adapter, now)) markReplica(choice.engine, adapter)
      if (!choice.fromCache) storeLoads++
    }
  }
}

/** Whether an engine holds the adapter or is loading it. */
function isAvailableSoon(
  fleet: Fleet,
  {adapter, software, failedAt, minSpeed}: RequestedAdapter,
  now: number
): boolean {
  const newest = fleet.newestVersions.get(adapter) ?? 0
  for (const engine of holdersOf(fleet, adapter)) {
    if (software !== undefined && engine.software !== software) continue
    const slot = engine.slots.get(adapter)
    if (
      !slot ||
      engine.leaving ||
      failedAt.includes(engine.id) ||
      slot.phase === "unloading"
    )
      continue
    if (slot.version < newest || slot.readyAt === Infinity) continue
    if (isTooSlow(fleet, engine, minSpeed)) continue
    if (engine.failures > 1 && engine.pausedUntil > now) continue
    return true
  }
  return false
}

/** Whether an engine can soon load the adapter from cached weights. */
function hasCachedWeights(
  fleet: Fleet,
  {adapter, software, failedAt, minSpeed}: RequestedAdapter,
  now: number
): boolean {
  for (const engine of cachingEngines(fleet, adapter)) {
    if (software !== undefined && engine.software !== software) continue
    if (engine.leaving || isTooSlow(fleet, engine, minSpeed)) continue
    // `isAvailableSoon` found a slot that holds the adapter unusable.
    if (engine.slots.has(adapter) || failedAt.includes(engine.id)) continue
    const orderAt = Math.max(engine.pausedUntil, engine.backoffUntil)
    if (engine.failures > 0 || orderAt > now + ORDER_PAUSE_MS) continue
    if (engine.queuedTokens < prefillTokensIn(fleet, MAX_QUEUE_MS)) return true
  }
  return false
}

/** Loads a replica of the most popular adapter of each busy engine on a less busy one. */
function replicatePopularAdapters(fleet: Fleet, now: number): void {
  let minQueuedTokens = Infinity
  for (const engine of fleet.engines.values()) {
    if (!engine.leaving && engine.models.size > 0)
      minQueuedTokens = Math.min(minQueuedTokens, engine.queuedTokens)
  }
  for (const engine of fleet.engines.values()) {
    if (
      engine.queuedTokens < prefillTokensIn(fleet, REPLICATION_QUEUE_MS) ||
      engine.queuedTokens < 3 * minQueuedTokens
    )
      continue
    const adapter = mostPopularOf(fleet, engine, now)
    if (
      adapter === undefined ||
      countHolders(fleet, adapter) > 1 + popularityOf(fleet, adapter, now) / 6
    )
      continue
    const replicaLoads = listReplicaLoads(fleet, now)
    if (replicaLoads.filter(each => each === adapter).length >= MAX_PENDING_REPLICAS)
      continue
    const canUseStore =
      replicaLoads.length < fleet.engines.size * REPLICA_LOADS_PER_ENGINE
    const demand = {service: engine.service, adapter, software: undefined, minSpeed: 0}
    const choice = choosePlacement(fleet, demand, canUseStore, now)
    if (!choice || choice.engine.queuedTokens * 3 >= engine.queuedTokens) continue
    if (orderChoice(fleet, choice, adapter, now)) markReplica(choice.engine, adapter)
  }
}

function mostPopularOf(
  fleet: Fleet,
  engine: FleetEngine,
  now: number
): string | undefined {
  let mostPopular: string | undefined
  let maxPopularity = 2
  for (const [adapter, {running}] of engine.slots) {
    const popularity = popularityOf(fleet, adapter, now)
    if (running > 1 && popularity > maxPopularity) {
      maxPopularity = popularity
      mostPopular = adapter
    }
  }
  return mostPopular
}

/** Orders the eviction that a choice requires, or else the load. True for a load. */
function orderChoice(
  fleet: Fleet,
  choice: PlacementChoice,
  adapter: string,
  now: number
): boolean {
  const {engine, victim, fromCache} = choice
  if (victim !== undefined) {
    orderUnload(fleet, engine, victim, now)
    return false
  }
  const version = fleet.newestVersions.get(adapter) ?? 0
  const expectedMs = expectedLoadMs(fleet, choice)
  const slot = createSlot(version, "loading", now + expectedMs, now)
  engine.slots.set(adapter, {...slot, fromCache, isOwnLoad: true})
  recordHolder(fleet, engine, adapter)
  orderLoad(fleet, engine, adapter, version)
  fleet.effects.push({
    type: "note",
    event: "place-load",
    fields: {
      engine: engine.id,
      adapter,
      version,
      near: fromCache,
      tokens: Math.floor(fleet.baseModelLoadTokens)
    }
  })
  return true
}

function refillBaseModelLoads(fleet: Fleet, now: number): void {
  let loadsPerSecond = 0
  for (const {engine} of fleet.services.values())
    loadsPerSecond = Math.max(loadsPerSecond, engine?.loadsPerSecond ?? 0)
  const newTokens = ((now - fleet.baseModelLoadTokensAt) / 1000) * loadsPerSecond
  fleet.baseModelLoadTokens = Math.min(
    MAX_BASE_MODEL_LOAD_TOKENS,
    fleet.baseModelLoadTokens + newTokens
  )
  fleet.baseModelLoadTokensAt = now
}

function countPendingLoads(fleet: Fleet, now: number): number {
  let count = 0
  for (const engine of fleet.engines.values()) {
    for (const {phase, readyAt} of engine.slots.values()) {
      if (phase === "loading" && readyAt > now) count++
    }
  }
  return count
}

function markReplica(engine: FleetEngine, adapter: string): void {
  const slot = engine.slots.get(adapter)
  if (slot) slot.isReplica = true
}

/** Adapters of the replicas that are loading, one entry for each replica. */
function listReplicaLoads(fleet: Fleet, now: number): string[] {
  return [...fleet.engines.values()].flatMap(({slots}) =>
    [...slots].flatMap(([adapter, {isReplica, phase, readyAt}]) =>
      isReplica && phase === "loading" && readyAt > now ? [adapter] : []
    )
  )
}

/** Removes requests that have expired on their box by now. */
function expireWeightsRequests(fleet: Fleet, now: number): void {
  for (const [key, {weightsRequest, since}] of fleet.waitingRequests) {
    if (now - since > weightsRequest.waitMs + 500) fleet.waitingRequests.delete(key)
  }
}

/** Returns the accumulated effects and clears them. */
export function drainFleet(fleet: Fleet): Fleet["effects"] {
  const {effects} = fleet
  fleet.effects = []
  return effects
}
