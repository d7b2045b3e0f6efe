/** Applies what boxes report to their leader: weights requests and use of engines. */
import {softwareOf} from "./service-versions.js"
import type {WeightsRequest, EngineUseDelta} from "../types/box-messages.js"
import {adapterKey, type BackendRecord, type FleetService} from "../types/fleet.js"
import {answerWeightsRequest} from "./placement-updates.js"
import {recordPace} from "./engine-speeds.js"
import {recordRequests} from "./placement-copies.js"
import {recordPrefill} from "./prefill-rate.js"
import {inheritUnconfirmedLoads} from "./placement-unconfirmed.js"
import {
  type BoxEngineUse,
  type Fleet,
  type FleetEngine,
  type UnconfirmedLoad,
  recordDemand
} from "./placement-state.js"

type ListedEngine = Pick<
  BackendRecord,
  "id" | "server" | "service" | "dataCentre" | "leaving" | "software"
>

/** Adds and removes engines to match the list. */
export function updateEngines(
  fleet: Fleet,
  services: ReadonlyMap<string, FleetService>,
  listed: readonly ListedEngine[],
  now: number
): void {
  fleet.services = services
  const ids = new Set(listed.map(({id}) => id))
  const removedByServer = new Map<string, FleetEngine>()
  for (const [id, engine] of fleet.engines) {
    if (ids.has(id)) continue
    fleet.engines.delete(id)
    removedByServer.set(engine.server, engine)
  }
  for (const entry of listed) {
    const engine = fleet.engines.get(entry.id)
    if (engine) {
      engine.leaving = entry.leaving
      engine.software = softwareOf(entry)
    } else if (services.get(entry.service)?.engine) {
      const unconfirmedLoads = inheritUnconfirmedLoads(
        removedByServer.get(entry.server),
        now
      )
      fleet.engines.set(entry.id, createEngine(entry, unconfirmedLoads))
    }
  }
}

/** Applies a back-off that the engine requested from this box to orders, too. */
export function applyEngineBackoff(
  fleet: Fleet,
  id: string,
  backoffs: ReadonlyMap<string, number>
): void {
  const engine = fleet.engines.get(id)
  if (engine) engine.backoffUntil = backoffs.get(id) ?? 0
}

/** Applies the advertised rate limit of a server. Undefined if it has none. */
export function applyEngineRateLimit(
  fleet: Fleet,
  id: string,
  perSecond: number | undefined
): void {
  const engine = fleet.engines.get(id)
  if (engine) engine.isRateLimited = perSecond !== undefined
}

function createEngine(
  entry: ListedEngine,
  inheritedLoads: readonly UnconfirmedLoad[]
): FleetEngine {
  const {id, server, service, dataCentre, leaving} = entry
  return {
    id,
    server,
    service,
    dataCentre,
    software: softwareOf(entry),
    leaving,
    inheritedLoads,
    unconfirmedLoads: [],
    models: new Set(),
    slots: new Map(),
    cachedWeights: new Map(),
    queuedTokens: 0,
    running: 0,
    eventMs: undefined,
    prefill: {since: 0, tokens: 0, busy: false},
    sequence: undefined,
    hasPendingCall: false,
    pendingOrder: undefined,
    unresolvedOrder: undefined,
    pausedUntil: 0,
    backoffUntil: 0,
    isRateLimited: false,
    failures: 0,
    nextReportAt: 0,
    hasUnsentChanges: true,
    hasUnbroadcastChanges: true,
    lastBroadcast: {models: [], slots: new Map()},
    queuedTokensChanged: true
  }
}

export function handleWeightsRequest(
  fleet: Fleet,
  box: string,
  weightsRequest: WeightsRequest,
  now: number
): void {
  fleet.waitingRequests.set(waitingKey(box, weightsRequest.request), {
    box,
    weightsRequest,
    since: now
  })
  if (weightsRequest.adapter === undefined) return
  const adapter = adapterKey(weightsRequest.model, weightsRequest.adapter)
  recordDemand(fleet, adapter, 1, now)
  recordRequests(fleet, adapter, 1, weightsRequest.tokens, now)
  answerWeightsRequest(fleet, box, adapter, now)
}

/**
 * Removes a weights request, because its request has been sent or has ended. If it has been
 * sent, it is counted again as one that began.
 */
export function removeWeightsRequest(
  fleet: Fleet,
  box: string,
  request: string,
  now: number
): void {
  const key = waitingKey(box, request)
  const waiting = fleet.waitingRequests.get(key)
  if (!waiting) return
  fleet.waitingRequests.delete(key)
  const {model, adapter, tokens} = waiting.weightsRequest
  if (adapter === undefined) return
  recordRequests(fleet, adapterKey(model, adapter), -1, -tokens, now)
}

/** Applies the requests that a box began or ended on engines. */
export function applyUseDeltas(
  fleet: Fleet,
  box: string,
  deltas: readonly EngineUseDelta[],
  now: number
): void {
  const uses = fleet.usesByBox.get(box) ?? new Map<string, BoxEngineUse>()
  fleet.usesByBox.set(box, uses)
  for (const delta of deltas) {
    const {engine, adapter, begun, ended, tokens: tokensDelta, pace} = delta
    const key = `${engine} ${adapter ?? ""}`
    const runningDelta = begun - ended
    const use = uses.get(key) ?? {running: 0, tokens: 0}
    const updated = {
      running: use.running + runningDelta,
      tokens: use.tokens + tokensDelta
    }
    if (updated.running === 0 && updated.tokens === 0) uses.delete(key)
    else uses.set(key, updated)
    if (begun > 0 && adapter !== undefined) {
      recordDemand(fleet, adapter, begun, now)
      recordRequests(fleet, adapter, begun, Math.max(0, tokensDelta), now)
    }
    const fleetEngine = fleet.engines.get(engine)
    if (pace && fleetEngine) recordPace(fleetEngine, pace)
    applyUseDelta(fleet, engine, adapter, runningDelta, tokensDelta, now)
  }
}

/** Removes the requests and the use of a box that is lost. */
export function forgetBox(fleet: Fleet, box: string, now: number): void {
  for (const [key, {running, tokens}] of fleet.usesByBox.get(box) ?? []) {
    const [engine = "", adapter = ""] = key.split(" ")
    applyUseDelta(fleet, engine, adapter || undefined, -running, -tokens, now)
  }
  fleet.usesByBox.delete(box)
  for (const [key, waiting] of fleet.waitingRequests) {
    if (waiting.box === box) fleet.waitingRequests.delete(key)
  }
}

function applyUseDelta(
  fleet: Fleet,
  id: string,
  adapter: string | undefined,
  runningDelta: number,
  tokensDelta: number,
  now: number
): void {
  const engine = fleet.engines.get(id)
  if (!engine) return
  engine.queuedTokens = Math.max(0, engine.queuedTokens + tokensDelta)
  if (tokensDelta < 0) recordPrefill(fleet, engine, -tokensDelta, now)
  engine.running = Math.max(0, engine.running + runningDelta)
  engine.queuedTokensChanged = true
  const slot = adapter === undefined ? undefined : engine.slots.get(adapter)
  if (!slot) return
  slot.running = Math.max(0, slot.running + runningDelta)
  slot.lastUsed = now
}

/** Sets the newest version of an adapter. Cached weights of older ones are useless. */
export function setNewestVersion(fleet: Fleet, adapter: string, version: number): void {
  if ((fleet.newestVersions.get(adapter) ?? 0) >= version) return
  fleet.newestVersions.set(adapter, version)
  for (const engine of fleet.engines.values()) engine.cachedWeights.delete(adapter)
}

function waitingKey(box: string, request: string): string {
  return `${box} ${request}`
}
