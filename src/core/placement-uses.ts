/** Applies what boxes report to their leader: weights requests and use of engines. */
import type {WeightsRequest, EngineUseDelta} from "../types/box-messages.js"
import {adapterKey, type BackendRecord, type FleetService} from "../types/fleet.js"
import {answerNeed} from "./placement-news.js"
import {recordPrefill} from "./prefill-rate.js"
import {keepStrays} from "./placement-strays.js"
import {
  type BoxUse,
  type Fleet,
  type FleetEngine,
  type StrayOrder,
  warm
} from "./placement-state.js"

type ListedEngine = Pick<
  BackendRecord,
  "id" | "server" | "service" | "dataCentre" | "leaving"
>

/** Adds and removes engines to match the list. */
export function takeEngines(
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
    if (engine) engine.leaving = entry.leaving
    else if (services.get(entry.service)?.engine) {
      const unconfirmedLoads = keepStrays(removedByServer.get(entry.server), now)
      fleet.engines.set(entry.id, createEngine(entry, unconfirmedLoads))
    }
  }
}

/** Applies a back-off that the engine requested from this box to orders, too. */
export function keepRest(
  fleet: Fleet,
  id: string,
  backoffs: ReadonlyMap<string, number>
): void {
  const engine = fleet.engines.get(id)
  if (engine) engine.restUntil = backoffs.get(id) ?? 0
}

/** Applies the advertised rate limit of a server. Undefined if it has none. */
export function keepRate(fleet: Fleet, id: string, perSecond: number | undefined): void {
  const engine = fleet.engines.get(id)
  if (engine) engine.isInNeed = perSecond !== undefined
}

function createEngine(
  {id, server, service, dataCentre, leaving}: ListedEngine,
  inheritedLoads: readonly StrayOrder[]
): FleetEngine {
  return {
    id,
    server,
    service,
    dataCentre,
    leaving,
    strays: inheritedLoads,
    ownStrays: [],
    models: new Set(),
    places: new Map(),
    copies: new Map(),
    load: 0,
    read: {since: 0, tokens: 0, busy: false},
    sequence: undefined,
    busy: false,
    order: undefined,
    doubt: undefined,
    quietUntil: 0,
    restUntil: 0,
    isInNeed: false,
    failures: 0,
    askAt: 0,
    changed: true,
    untold: true,
    told: {models: [], places: new Map()},
    loadChanged: true
  }
}

export function takeNeed(
  fleet: Fleet,
  box: string,
  weightsRequest: WeightsRequest,
  now: number
): void {
  fleet.waiting.set(waitingKey(box, weightsRequest.request), {
    box,
    need: weightsRequest,
    since: now
  })
  if (weightsRequest.adapter === undefined) return
  const adapter = adapterKey(weightsRequest.model, weightsRequest.adapter)
  warm(fleet, adapter, 1, now)
  answerNeed(fleet, box, adapter, now)
}

export function dropNeed(fleet: Fleet, box: string, request: string): void {
  fleet.waiting.delete(waitingKey(box, request))
}

/** Applies the requests that a box began or ended on engines. */
export function takeUses(
  fleet: Fleet,
  box: string,
  deltas: readonly EngineUseDelta[],
  now: number
): void {
  const uses = fleet.uses.get(box) ?? new Map<string, BoxUse>()
  fleet.uses.set(box, uses)
  for (const {engine, adapter, begun, ended, tokens: tokensDelta} of deltas) {
    const key = `${engine} ${adapter ?? ""}`
    const runningDelta = begun - ended
    const use = uses.get(key) ?? {running: 0, tokens: 0}
    const updated = {
      running: use.running + runningDelta,
      tokens: use.tokens + tokensDelta
    }
    if (updated.running === 0 && updated.tokens === 0) uses.delete(key)
    else uses.set(key, updated)
    if (begun > 0 && adapter !== undefined) warm(fleet, adapter, begun, now)
    applyUseDelta(fleet, engine, adapter, runningDelta, tokensDelta, now)
  }
}

/** Removes the requests and the use of a box that is lost. */
export function forgetBox(fleet: Fleet, box: string, now: number): void {
  for (const [key, {running, tokens}] of fleet.uses.get(box) ?? []) {
    const [engine = "", adapter = ""] = key.split(" ")
    applyUseDelta(fleet, engine, adapter || undefined, -running, -tokens, now)
  }
  fleet.uses.delete(box)
  for (const [key, waiting] of fleet.waiting) {
    if (waiting.box === box) fleet.waiting.delete(key)
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
  engine.load = Math.max(0, engine.load + tokensDelta)
  if (tokensDelta < 0) recordPrefill(fleet, engine, -tokensDelta, now)
  engine.loadChanged = true
  const slot = adapter === undefined ? undefined : engine.places.get(adapter)
  if (!slot) return
  slot.running = Math.max(0, slot.running + runningDelta)
  slot.lastUsed = now
}

/** Sets the newest version of an adapter. Cached weights of older ones are useless. */
export function takeFleetVersion(fleet: Fleet, adapter: string, version: number): void {
  if ((fleet.versions.get(adapter) ?? 0) >= version) return
  fleet.versions.set(adapter, version)
  for (const engine of fleet.engines.values()) engine.copies.delete(adapter)
}

function waitingKey(box: string, request: string): string {
  return `${box} ${request}`
}
