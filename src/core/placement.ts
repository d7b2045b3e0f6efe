/**
 * The leader's placement of weights: which adapters sit in which engines' few places. What serves
 * most in time goes first; base models stay within the rate of the weight store.
 */
import {adapterKey} from "../types/fleet.js"
import {chooseSpot, type Spot, takesOrders} from "./placement-choose.js"
import {countHolders, indexFleet, noteHolder} from "./placement-index.js"
import {give, giveLoad, QUIET_MS, unload} from "./placement-orders.js"
import {dropStrays} from "./placement-strays.js"
import {renewVersions} from "./placement-versions.js"
import {tokensIn} from "./reading-rate.js"
import {tellNews} from "./placement-news.js"
import {createPlace, type Fleet, type FleetEngine, heatOf} from "./placement-state.js"

/** Loads of base models that may be saved up. */
const MAX_LOAD_TOKENS = 2

/** Adapters on their way from the weight store for each engine: more make each slower. */
const STORE_LOADS_PER_ENGINE = 2

/**
 * Copies of hot adapters that may be on their way from the weight store for each engine, whatever else is: where
 * demand moves, loads of cold adapters never cease, and each serves one request where a copy serves many.
 */
const COPY_LOADS_PER_ENGINE = 0.25

/** Copies of one adapter on their way at once: whether more are needed shows when these have come. */
const COPIES_ON_WAY = 2

/** An engine with more work than this makes a request wait longer than a load does, milliseconds. */
const BUSY_MS = 400

/** Waiting work past which a hot adapter gets another engine: a copy costs a place, milliseconds. */
const COPY_WAIT_MS = 450

/** Gives the orders that are due, tells what changed and refuses what cannot be served. */
export function planFleet(fleet: Fleet, mayOrder: boolean, now: number): void {
  fleet.unplanned = false
  if (mayOrder) {
    fleet.index = indexFleet(fleet)
    refillLoads(fleet, now)
    for (const engine of fleet.engines.values()) {
      dropStrays(engine, now)
      askIfDue(fleet, engine, now)
    }
    for (const engine of fleet.engines.values()) loadBaseModel(fleet, engine, now)
    renewVersions(fleet, now)
    placeWanted(fleet, now)
  }
  expireNeeds(fleet, now)
  tellNews(fleet, now)
}

function askIfDue(fleet: Fleet, engine: FleetEngine, now: number): void {
  if (engine.busy || Math.max(engine.quietUntil, engine.restUntil) > now) return
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
  copyHot(fleet, now)
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
    if (engine.load < tokensIn(fleet, BUSY_MS)) return true
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
    if (engine.load < tokensIn(fleet, COPY_WAIT_MS) || engine.load < 3 * least) continue
    const adapter = hottestOf(fleet, engine, now)
    if (
      adapter === undefined ||
      countHolders(fleet, adapter) > 1 + heatOf(fleet, adapter, now) / 6
    )
      continue
    const copies = listCopyLoads(fleet, now)
    if (copies.filter(each => each === adapter).length >= COPIES_ON_WAY) continue
    const store = copies.length < fleet.engines.size * COPY_LOADS_PER_ENGINE
    const spot = chooseSpot(fleet, engine.service, adapter, store, now)
    if (!spot || spot.engine.load * 3 >= engine.load) continue
    if (takeSpot(fleet, spot, adapter, now)) noteCopy(spot.engine, adapter)
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
  noteHolder(fleet, engine, adapter)
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

function noteCopy(engine: FleetEngine, adapter: string): void {
  const place = engine.places.get(adapter)
  if (place) place.copy = true
}

/** The adapters of which copies are on their way, each as often as it is. */
function listCopyLoads(fleet: Fleet, now: number): string[] {
  return [...fleet.engines.values()].flatMap(({places}) =>
    [...places].flatMap(([adapter, {copy, phase, readyAt}]) =>
      copy && phase === "loading" && readyAt > now ? [adapter] : []
    )
  )
}

/** Requests that gave up by themselves. */
function expireNeeds(fleet: Fleet, now: number): void {
  for (const [key, {need, since}] of fleet.waiting) {
    if (now - since > need.waitMs + 500) fleet.waiting.delete(key)
  }
}

/** The effects that have come together, and none left. */
export function drainFleet(fleet: Fleet): Fleet["effects"] {
  const {effects} = fleet
  fleet.effects = []
  return effects
}
