/**
 * The leader's placement of weights: which adapters sit in which engines' few places. Loads from
 * the weight store stay within its rate, and go first where they serve most in time.
 */
import type {Need, UseChange} from "../types/box-messages.js"
import {adapterKey, type FleetService, splitAdapterKey} from "../types/fleet.js"
import {
  chooseSpot,
  countHolders,
  MAX_COPIES,
  type Spot,
  takesOrders
} from "./placement-choose.js"
import {
  type BoxUse,
  describeEngine,
  type EngineReport,
  type Fleet,
  type FleetEngine,
  type FleetOrder,
  heatOf,
  type OrderResult,
  type Place,
  type Waiting,
  warm
} from "./placement-state.js"

/** Loads of base models that may be saved up. */
const MAX_LOAD_TOKENS = 2

/** Adapters on their way from the weight store for each engine: more make each slower. */
const STORE_LOADS_PER_ENGINE = 2

/** How often an engine is asked while loads are on their way, milliseconds. */
const ASK_MS = 400

/** How often otherwise: what it holds may change by itself, milliseconds. */
const ASK_IDLE_MS = 4_000

/** After an order without an answer, and at first after a failure, milliseconds. */
const QUIET_MS = 300
const MAX_QUIET_MS = 4_000

/** Reports tell how things stood so long ago, milliseconds. */
const REPORT_LAG_MS = 250

/** Weights that are late are believed to need so much longer, milliseconds. */
const LATE_MS = 60

/** Weights that take so many times what is expected are taken for lost. */
const MAX_LATENESS = 3

/** Orders in a row without an answer after which an engine is left alone for a while. */
const MAX_UNKNOWN = 4

/** A place that an engine does not confirm in this time after its order is lost, milliseconds. */
const LOST_PLACE_MS = 2_500

/** An engine with more unread tokens than this makes a request wait longer than a load does. */
const BUSY_TOKENS = 8_000

/** Unread tokens on one engine past which a hot adapter gets another: a copy costs a place. */
const COPY_LOAD_TOKENS = 6_000

/** Takes the engines of the fleet as they are listed now. */
export function takeEngines(
  fleet: Fleet,
  services: ReadonlyMap<string, FleetService>,
  listed: readonly {
    readonly id: string
    readonly service: string
    readonly dataCentre: string
    readonly leaving: boolean
  }[]
): void {
  fleet.services = services
  const ids = new Set(listed.map(({id}) => id))
  for (const id of fleet.engines.keys()) if (!ids.has(id)) fleet.engines.delete(id)
  for (const {id, service, dataCentre, leaving} of listed) {
    const known = fleet.engines.get(id)
    if (known) known.leaving = leaving
    else if (services.get(service)?.engine) {
      fleet.engines.set(id, createEngine(id, service, dataCentre, leaving))
    }
  }
}

function createEngine(
  id: string,
  service: string,
  dataCentre: string,
  leaving: boolean
): FleetEngine {
  return {
    id,
    service,
    dataCentre,
    leaving,
    models: new Set(),
    places: new Map(),
    copies: new Map(),
    load: 0,
    sequence: undefined,
    busy: false,
    order: undefined,
    quietUntil: 0,
    failures: 0,
    askAt: 0,
    changed: true
  }
}

/** A request of a box waits for weights. */
export function takeNeed(fleet: Fleet, box: string, need: Need, now: number): void {
  fleet.waiting.set(waitingKey(box, need.request), {box, need, since: now})
  if (need.adapter !== undefined) warm(fleet, adapterKey(need.model, need.adapter), now)
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
  for (const {engine, adapter, change, tokens} of changes) {
    const key = `${engine} ${adapter ?? ""}`
    const use = uses.get(key) ?? {running: 0, tokens: 0}
    uses.set(key, {running: use.running + change, tokens: use.tokens + tokens})
    if (change > 0 && adapter !== undefined) warm(fleet, adapter, now)
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
  engine.changed = true
  const place = adapter === undefined ? undefined : engine.places.get(adapter)
  if (!place) return
  place.running = Math.max(0, place.running + change)
  place.lastUsed = now
}

/** A backend server said that it does not hold what a request needed. */
export function takeMissing(
  fleet: Fleet,
  id: string,
  adapter: string,
  now: number
): void {
  const engine = fleet.engines.get(id)
  const place = engine?.places.get(adapter)
  if (!engine || !place || place.readyAt > now) return
  // What it holds is asked, since another version may stand there; reports lag.
  place.readyAt = Infinity
  engine.askAt = Math.min(engine.askAt, now + REPORT_LAG_MS)
  engine.changed = true
}

/** It said so of what is on its way: that takes longer than believed. */
export function takeLate(fleet: Fleet, id: string, adapter: string, now: number): void {
  const engine = fleet.engines.get(id)
  const place = engine?.places.get(adapter)
  if (!engine || !place || place.readyAt > now) return
  const expected = place.near ? fleet.copyLoadMs : fleet.storeLoadMs
  if (now - place.orderedAt > MAX_LATENESS * expected + REPORT_LAG_MS) {
    return takeMissing(fleet, id, adapter, now)
  }
  learnLoadTime(fleet, place)
  place.readyAt = now + LATE_MS
  engine.changed = true
}

/** A newer version of an adapter is named. */
export function takeFleetVersion(fleet: Fleet, adapter: string, version: number): void {
  if ((fleet.versions.get(adapter) ?? 0) >= version) return
  fleet.versions.set(adapter, version)
  for (const engine of fleet.engines.values()) engine.copies.delete(adapter)
}

/** Takes what an engine says of itself; undefined: it did not answer. */
export function takeReport(
  fleet: Fleet,
  id: string,
  report: EngineReport | undefined,
  now: number
): void {
  const engine = fleet.engines.get(id)
  if (!engine) return
  engine.busy = false
  if (!report) return holdBack(engine, now)
  engine.failures = 0
  if (engine.sequence !== undefined && report.sequence < engine.sequence) {
    // Reports lag: an older count says that this one is old.
    engine.askAt = now + ASK_MS / 2
    return
  }
  engine.sequence = report.sequence
  engine.models = new Set(report.models.map(({name}) => name))
  if (report.busy) engine.quietUntil = now + QUIET_MS / 3
  adoptPlaces(fleet, engine, report, now)
  engine.askAt = now + (hasLoads(engine, now) ? ASK_MS : ASK_IDLE_MS)
  engine.changed = true
}

function adoptPlaces(
  fleet: Fleet,
  engine: FleetEngine,
  report: EngineReport,
  now: number
): void {
  const held = new Map<string, number>()
  for (const {name, adapters} of report.models) {
    for (const [adapter, version] of adapters)
      held.set(adapterKey(name, adapter), version)
  }
  const pending = new Map(report.pending.map(({adapter, version}) => [adapter, version]))
  for (const [adapter, place] of engine.places) {
    if (held.has(adapter) || pending.has(adapter)) continue
    const coming = place.phase === "loading" && place.readyAt !== Infinity
    if (coming && now - place.orderedAt < LOST_PLACE_MS) continue
    engine.places.delete(adapter)
  }
  for (const [adapter, version] of pending) {
    const place = engine.places.get(adapter)
    if (!place)
      engine.places.set(adapter, createPlace(version, "loading", now + 200, now))
    else if (place.phase === "loading") place.readyAt = Math.max(place.readyAt, now)
  }
  for (const [adapter, version] of held) {
    if (pending.has(adapter)) continue
    const place = engine.places.get(adapter)
    if (place?.phase === "unloading") continue
    if (!place) engine.places.set(adapter, createPlace(version, "ready", now, now))
    else if (place.version === version || place.version === 0) {
      place.version = version
      if (place.phase === "loading" && place.readyAt <= now) relaxLoadTime(fleet, place)
      place.phase = "ready"
      place.readyAt = Math.min(place.readyAt, now)
    } else if (now - place.orderedAt > LOST_PLACE_MS) {
      place.version = version
      place.phase = "ready"
    }
    touchCopy(engine, adapter, now)
  }
}

function createPlace(
  version: number,
  phase: Place["phase"],
  readyAt: number,
  now: number
): Place {
  return {version, phase, readyAt, orderedAt: now, lastUsed: now, running: 0, near: false}
}

/** Takes the answer to an order. */
export function takeOrderResult(
  fleet: Fleet,
  id: string,
  result: OrderResult,
  now: number
): void {
  const engine = fleet.engines.get(id)
  const order = engine?.order
  if (!engine || !order) return
  engine.busy = false
  engine.order = undefined
  if (result === "accepted" || result === "done") {
    engine.failures = 0
    if (engine.sequence !== undefined) engine.sequence++
    if (result === "done" && order.operation === "load") engine.askAt = now
    settleOrder(engine, order, result, now)
    return
  }
  undoOrder(engine, order)
  fleet.effects.push({
    type: "note",
    event: "place-trouble",
    fields: {engine: id, operation: order.operation, adapter: order.adapter ?? "", result}
  })
  if (result === "unknown" && ++engine.failures < MAX_UNKNOWN) {
    // It may be carried out yet. The next order carries the same count, so that only one of the
    // two is: if this one was, the next is refused and the engine is asked.
    return
  }
  engine.sequence = undefined
  engine.askAt = now
  if (result !== "conflict") holdBack(engine, now)
}

function settleOrder(
  engine: FleetEngine,
  order: FleetOrder,
  result: "accepted" | "done",
  now: number
): void {
  engine.changed = true
  if (order.adapter === undefined) {
    engine.quietUntil = now + QUIET_MS
    engine.sequence = undefined
    engine.askAt = now + QUIET_MS
    return
  }
  const key = adapterKey(order.model, order.adapter)
  if (order.operation === "unload") {
    // Only accepted: it waits for its runs, and takes its place until a report is without it.
    if (result === "done") engine.places.delete(key)
    else engine.askAt = Math.min(engine.askAt, now + REPORT_LAG_MS)
  } else {
    engine.askAt = Math.min(engine.askAt, now + ASK_MS)
    touchCopy(engine, key, now)
  }
}

function undoOrder(engine: FleetEngine, order: FleetOrder): void {
  if (order.adapter === undefined) return
  const key = adapterKey(order.model, order.adapter)
  const place = engine.places.get(key)
  if (!place) return
  engine.changed = true
  if (order.operation === "load") engine.places.delete(key)
  else place.phase = "ready"
}

function holdBack(engine: FleetEngine, now: number): void {
  engine.failures++
  const pause = Math.min(MAX_QUIET_MS, QUIET_MS * 2 ** (engine.failures - 1))
  engine.quietUntil = now + pause
  engine.askAt = now + pause
}

function touchCopy(engine: FleetEngine, adapter: string, now: number): void {
  engine.copies.delete(adapter)
  engine.copies.set(adapter, now)
  for (const oldest of engine.copies.keys()) {
    if (engine.copies.size <= MAX_COPIES) return
    engine.copies.delete(oldest)
  }
}

/** Gives the orders that are due, tells what changed and refuses what cannot be served. */
export function planFleet(fleet: Fleet, mayOrder: boolean, now: number): void {
  if (mayOrder) {
    refillLoads(fleet, now)
    for (const engine of fleet.engines.values()) askIfDue(fleet, engine, now)
    for (const engine of fleet.engines.values()) loadBaseModel(fleet, engine, now)
    renewVersions(fleet, now)
    placeWanted(fleet, now)
  }
  expireNeeds(fleet, now)
  tellNews(fleet, now)
}

function askIfDue(fleet: Fleet, engine: FleetEngine, now: number): void {
  if (engine.busy || engine.quietUntil > now) return
  if (engine.askAt > now && engine.sequence !== undefined) return
  if (engine.askAt > now) return
  engine.busy = true
  fleet.effects.push({type: "ask", engine: engine.id})
}

/** An engine that restarted or came new holds nothing: it needs its base model first. */
function loadBaseModel(fleet: Fleet, engine: FleetEngine, now: number): void {
  if (!takesOrders(engine, now) || engine.models.size > 0) return
  const limits = fleet.services.get(engine.service)?.engine
  const model = limits?.models[0]
  if (!limits || !model || model.weightsMb > limits.weightsMb) return
  if (fleet.loadTokens < 1) return
  fleet.loadTokens--
  give(fleet, engine, {operation: "load", model: model.name})
}

/** Adapters in use whose newer version is named are replaced where they stand. */
function renewVersions(fleet: Fleet, now: number): void {
  for (const [adapter, version] of fleet.versions) {
    for (const engine of fleet.engines.values()) {
      const place = engine.places.get(adapter)
      if (!place || place.version >= version || !takesOrders(engine, now)) continue
      if (place.phase !== "ready") continue
      if (heatOf(fleet, adapter, now) < 0.5 && !hasWaiting(fleet, adapter)) {
        if (place.running === 0) unload(fleet, engine, adapter, now)
        continue
      }
      place.version = version
      place.phase = "loading"
      place.orderedAt = now
      place.readyAt = now + fleet.storeLoadMs
      giveLoad(fleet, engine, adapter, version)
    }
  }
}

function hasWaiting(fleet: Fleet, adapter: string): boolean {
  for (const {need} of fleet.waiting.values()) {
    if (need.adapter !== undefined && adapterKey(need.model, need.adapter) === adapter) {
      return true
    }
  }
  return false
}

/** An adapter that requests wait for, and what its load is worth. */
interface Wanted {
  readonly adapter: string
  readonly service: string
  worth: number
  /** Engines that failed every request that waits for it. */
  failedAt: readonly string[]
}

/** Places the adapters that requests wait for, what is worth most first. */
function placeWanted(fleet: Fleet, now: number): void {
  const wanted = listWanted(fleet, now)
  let room = STORE_LOADS_PER_ENGINE * fleet.engines.size - countStoreLoads(fleet, now)
  for (const {adapter, service, failedAt} of wanted) {
    if (isComing(fleet, adapter, failedAt, now)) continue
    const store = room > 0 && !hasNearCopy(fleet, adapter, failedAt, now)
    const spot = chooseSpot(fleet, service, adapter, store, now)
    if (!spot) continue
    takeSpot(fleet, spot, adapter, now)
    // A place made free is for the load that follows: evictions never run ahead of loads.
    if (!spot.near) room--
  }
  copyHot(fleet, now)
}

function listWanted(fleet: Fleet, now: number): Wanted[] {
  const wanted = new Map<string, Wanted>()
  for (const {need, since} of fleet.waiting.values()) {
    if (need.adapter === undefined) continue
    const adapter = adapterKey(need.model, need.adapter)
    const inTime = now - since + fleet.copyLoadMs < need.inTimeMs
    const worth = (inTime ? 1 : 0.3) * (10 - need.priority)
    const known = wanted.get(adapter)
    if (known) {
      known.worth += worth
      known.failedAt = known.failedAt.filter(id => need.failedAt.includes(id))
    } else {
      const heat = heatOf(fleet, adapter, now)
      wanted.set(adapter, {
        adapter,
        service: need.service,
        worth: worth + heat * 2,
        failedAt: need.failedAt
      })
    }
  }
  return [...wanted.values()].sort((a, b) => b.worth - a.worth)
}

/** Whether some engine has it or gets it soon. */
function isComing(
  fleet: Fleet,
  adapter: string,
  failedAt: readonly string[],
  now: number
): boolean {
  const newest = fleet.versions.get(adapter) ?? 0
  for (const engine of fleet.engines.values()) {
    const place = engine.places.get(adapter)
    if (
      !place ||
      engine.leaving ||
      failedAt.includes(engine.id) ||
      place.phase === "unloading"
    )
      continue
    if (place.version < newest || place.readyAt === Infinity) continue
    if (engine.failures > 1 && engine.quietUntil > now) continue
    return true
  }
  return false
}

/** Whether an engine can bring it from a near copy soon, so that the store need not be asked. */
function hasNearCopy(
  fleet: Fleet,
  adapter: string,
  failedAt: readonly string[],
  now: number
): boolean {
  for (const engine of fleet.engines.values()) {
    if (engine.leaving || !engine.copies.has(adapter)) continue
    // What stands there already was found to be of no use.
    if (engine.places.has(adapter) || failedAt.includes(engine.id)) continue
    if (engine.failures > 0 || engine.quietUntil > now + QUIET_MS) continue
    if (engine.load < BUSY_TOKENS) return true
  }
  return false
}

/** A hot adapter whose engines are busy gets one more place, where a copy is cheap or due. */
function copyHot(fleet: Fleet, now: number): void {
  let least = Infinity
  for (const engine of fleet.engines.values()) {
    if (!engine.leaving && engine.models.size > 0) least = Math.min(least, engine.load)
  }
  for (const engine of fleet.engines.values()) {
    if (engine.load < COPY_LOAD_TOKENS || engine.load < 3 * least) continue
    const adapter = hottestOf(fleet, engine, now)
    if (
      adapter === undefined ||
      countHolders(fleet, adapter) > 1 + heatOf(fleet, adapter, now) / 6
    )
      continue
    const store = countStoreLoads(fleet, now) === 0
    const spot = chooseSpot(fleet, engine.service, adapter, store, now)
    if (spot && spot.engine.load * 3 < engine.load) takeSpot(fleet, spot, adapter, now)
  }
}

function hottestOf(fleet: Fleet, engine: FleetEngine, now: number): string | undefined {
  let hottest: string | undefined
  let most = 2
  for (const [adapter, {running}] of engine.places) {
    const heat = heatOf(fleet, adapter, now)
    if (running > 1 && heat > most) {
      most = heat
      hottest = adapter
    }
  }
  return hottest
}

/** Orders what a spot needs next; true when the load itself was ordered. */
function takeSpot(fleet: Fleet, spot: Spot, adapter: string, now: number): boolean {
  const {engine, victim, near} = spot
  if (victim !== undefined) {
    unload(fleet, engine, victim, now)
    return false
  }
  const version = fleet.versions.get(adapter) ?? 0
  const time = near ? fleet.copyLoadMs : fleet.storeLoadMs
  const place = createPlace(version, "loading", now + time, now)
  engine.places.set(adapter, {...place, near})
  giveLoad(fleet, engine, adapter, version)
  fleet.effects.push({
    type: "note",
    event: "place-load",
    fields: {
      engine: engine.id,
      adapter,
      version,
      near,
      tokens: Math.floor(fleet.loadTokens)
    }
  })
  return true
}

function unload(fleet: Fleet, engine: FleetEngine, key: string, now: number): void {
  const place = engine.places.get(key)
  if (place) place.phase = "unloading"
  engine.changed = true
  give(fleet, engine, {operation: "unload", ...splitAdapterKey(key)})
  fleet.effects.push({
    type: "note",
    event: "place-unload",
    fields: {
      engine: engine.id,
      adapter: key,
      heat: Math.round(heatOf(fleet, key, now) * 10) / 10
    }
  })
}

function giveLoad(fleet: Fleet, engine: FleetEngine, key: string, version: number): void {
  const order = {operation: "load" as const, ...splitAdapterKey(key)}
  give(fleet, engine, version > 0 ? {...order, version} : order)
  engine.changed = true
}

function give(fleet: Fleet, engine: FleetEngine, order: FleetOrder): void {
  engine.busy = true
  engine.order = order
  const {id, sequence = 0} = engine
  fleet.effects.push({type: "order", engine: id, order, expectedSequence: sequence})
}

function refillLoads(fleet: Fleet, now: number): void {
  let rate = 0
  for (const {engine} of fleet.services.values())
    rate = Math.max(rate, engine?.loadsPerSecond ?? 0)
  const gained = ((now - fleet.loadTokensAt) / 1000) * rate
  fleet.loadTokens = Math.min(MAX_LOAD_TOKENS, fleet.loadTokens + gained)
  fleet.loadTokensAt = now
}

function countStoreLoads(fleet: Fleet, now: number): number {
  let count = 0
  for (const engine of fleet.engines.values()) {
    for (const {phase, readyAt} of engine.places.values()) {
      if (phase === "loading" && readyAt > now) count++
    }
  }
  return count
}

function hasLoads(engine: FleetEngine, now: number): boolean {
  for (const {phase, orderedAt} of engine.places.values()) {
    if (phase !== "ready" || now - orderedAt < ASK_MS) return true
  }
  return false
}

/** Requests that gave up by themselves. */
function expireNeeds(fleet: Fleet, now: number): void {
  for (const [key, {need, since}] of fleet.waiting) {
    if (now - since > need.waitMs + 500) fleet.waiting.delete(key)
  }
}

const SLOWER = 1.1
const FASTER = 0.99
const MIN_STORE_LOAD_MS = 100
const MAX_STORE_LOAD_MS = 1_500
const MIN_COPY_LOAD_MS = 20
const MAX_COPY_LOAD_MS = 300

/** Weights came later than believed: the next are expected later, too. */
function learnLoadTime(fleet: Fleet, place: Place): void {
  if (place.near) {
    fleet.copyLoadMs = Math.min(MAX_COPY_LOAD_MS, fleet.copyLoadMs * SLOWER)
  } else {
    fleet.storeLoadMs = Math.min(MAX_STORE_LOAD_MS, fleet.storeLoadMs * SLOWER)
  }
}

/** They came in time: the belief comes down slowly. */
function relaxLoadTime(fleet: Fleet, place: Place): void {
  if (place.near) fleet.copyLoadMs = Math.max(MIN_COPY_LOAD_MS, fleet.copyLoadMs * FASTER)
  else fleet.storeLoadMs = Math.max(MIN_STORE_LOAD_MS, fleet.storeLoadMs * FASTER)
}

function tellNews(fleet: Fleet, now: number): void {
  const changed = [...fleet.engines.values()].filter(engine => engine.changed)
  if (changed.length === 0) return
  for (const engine of changed) engine.changed = false
  fleet.effects.push({
    type: "news",
    engines: changed.map(each => describeEngine(each, now))
  })
}

/** All that is known, for a box that is new. */
export function describeFleet(
  fleet: Fleet,
  now: number
): ReturnType<typeof describeEngine>[] {
  return [...fleet.engines.values()].map(engine => describeEngine(engine, now))
}

/** The effects that have come together, and none left. */
export function drainFleet(fleet: Fleet): Fleet["effects"] {
  const {effects} = fleet
  fleet.effects = []
  return effects
}

function waitingKey(box: string, request: string): string {
  return `${box} ${request}`
}

export type {Waiting}
