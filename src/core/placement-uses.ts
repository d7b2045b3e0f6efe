/** What the leader hears of boxes: who waits for weights, and what runs where. */
import type {Need, UseChange} from "../types/box-messages.js"
import {adapterKey, type BackendRecord, type FleetService} from "../types/fleet.js"
import {answerNeed} from "./placement-news.js"
import {noteRead} from "./reading-rate.js"
import {keepStrays} from "./placement-strays.js"
import {
  type BoxUse,
  type Fleet,
  type FleetEngine,
  type StrayOrder,
  warm
} from "./placement-state.js"

/** An engine as it is listed. */
type ListedEngine = Pick<
  BackendRecord,
  "id" | "server" | "service" | "dataCentre" | "leaving"
>

/** Takes the engines of the fleet as they are listed now. */
export function takeEngines(
  fleet: Fleet,
  services: ReadonlyMap<string, FleetService>,
  listed: readonly ListedEngine[],
  now: number
): void {
  fleet.services = services
  const ids = new Set(listed.map(({id}) => id))
  const over = new Map<string, FleetEngine>()
  for (const [id, engine] of fleet.engines) {
    if (ids.has(id)) continue
    fleet.engines.delete(id)
    over.set(engine.server, engine)
  }
  for (const each of listed) {
    const known = fleet.engines.get(each.id)
    if (known) known.leaving = each.leaving
    else if (services.get(each.service)?.engine) {
      const strays = keepStrays(over.get(each.server), now)
      fleet.engines.set(each.id, createEngine(each, strays))
    }
  }
}

/** An engine asked the leader's box for rest, which wants no order either. */
export function keepRest(
  fleet: Fleet,
  id: string,
  rests: ReadonlyMap<string, number>
): void {
  const engine = fleet.engines.get(id)
  if (engine) engine.restUntil = rests.get(id) ?? 0
}

/** What an engine takes from all boxes together; undefined: it names no rate. */
export function keepRate(fleet: Fleet, id: string, perSecond: number | undefined): void {
  const engine = fleet.engines.get(id)
  if (engine) engine.isInNeed = perSecond !== undefined
}

function createEngine(
  {id, server, service, dataCentre, leaving}: ListedEngine,
  strays: readonly StrayOrder[]
): FleetEngine {
  return {
    id,
    server,
    service,
    dataCentre,
    leaving,
    strays,
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

/** A request of a box waits for weights. */
export function takeNeed(fleet: Fleet, box: string, need: Need, now: number): void {
  fleet.waiting.set(waitingKey(box, need.request), {box, need, since: now})
  if (need.adapter === undefined) return
  const adapter = adapterKey(need.model, need.adapter)
  warm(fleet, adapter, 1, now)
  answerNeed(fleet, box, adapter, now)
}

/** It waits no longer. */
export function dropNeed(fleet: Fleet, box: string, request: string): void {
  fleet.waiting.delete(waitingKey(box, request))
}

/** A box began or ended requests. */
export function takeUses(
  fleet: Fleet,
  box: string,
  changes: readonly UseChange[],
  now: number
): void {
  const uses = fleet.uses.get(box) ?? new Map<string, BoxUse>()
  fleet.uses.set(box, uses)
  for (const {engine, adapter, begun, ended, tokens} of changes) {
    const key = `${engine} ${adapter ?? ""}`
    const change = begun - ended
    const use = uses.get(key) ?? {running: 0, tokens: 0}
    const after = {running: use.running + change, tokens: use.tokens + tokens}
    if (after.running === 0 && after.tokens === 0) uses.delete(key)
    else uses.set(key, after)
    if (begun > 0 && adapter !== undefined) warm(fleet, adapter, begun, now)
    addUse(fleet, engine, adapter, change, tokens, now)
  }
}

/** A box is gone: its requests are no more. */
export function forgetBox(fleet: Fleet, box: string, now: number): void {
  for (const [key, {running, tokens}] of fleet.uses.get(box) ?? []) {
    const [engine = "", adapter = ""] = key.split(" ")
    addUse(fleet, engine, adapter || undefined, -running, -tokens, now)
  }
  fleet.uses.delete(box)
  for (const [key, waiting] of fleet.waiting) {
    if (waiting.box === box) fleet.waiting.delete(key)
  }
}

function addUse(
  fleet: Fleet,
  id: string,
  adapter: string | undefined,
  change: number,
  tokens: number,
  now: number
): void {
  const engine = fleet.engines.get(id)
  if (!engine) return
  engine.load = Math.max(0, engine.load + tokens)
  if (tokens < 0) noteRead(fleet, engine, -tokens, now)
  engine.loadChanged = true
  const place = adapter === undefined ? undefined : engine.places.get(adapter)
  if (!place) return
  place.running = Math.max(0, place.running + change)
  place.lastUsed = now
}

/** A newer version of an adapter is named. */
export function takeFleetVersion(fleet: Fleet, adapter: string, version: number): void {
  if ((fleet.versions.get(adapter) ?? 0) >= version) return
  fleet.versions.set(adapter, version)
  for (const engine of fleet.engines.values()) engine.copies.delete(adapter)
}

function waitingKey(box: string, request: string): string {
  return `${box} ${request}`
}
