/** What the leader learns of engines: their reports, and requests that they refused. */
import {adapterKey} from "../types/fleet.js"
import {ASK_MS, holdBack, QUIET_MS, REPORT_LAG_MS, touchCopy} from "./placement-orders.js"
import type {EngineView} from "./box-places.js"
import {
  createPlace,
  type EngineReport,
  type Fleet,
  type FleetEngine,
  type Place
} from "./placement-state.js"

/** How often otherwise: what it holds may change by itself, milliseconds. */
const ASK_IDLE_MS = 4_000

/** Weights that are late are believed to need so much longer, milliseconds. */
const LATE_MS = 60

/** Weights that take so many times what is expected are taken for lost. */
const MAX_LATENESS = 3

/** A place that an engine does not confirm in this time after its order is lost, milliseconds. */
const LOST_PLACE_MS = 2_500

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

/**
 * Takes over what this box knew of an engine before it led. Boxes go on sending there while the
 * engine is asked what it holds; its report then replaces this.
 */
export function adoptView(
  engine: FleetEngine,
  {models, places}: EngineView,
  now: number
): void {
  engine.models = new Set(models)
  for (const [adapter, {version, readyAt}] of places) {
    engine.places.set(adapter, createPlace(version, "ready", readyAt, now))
  }
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
  if (engine.models.size > 0 && report.models.length === 0) {
    fleet.effects.push({type: "note", event: "place-restarted", fields: {engine: id}})
  }
  engine.models = new Set(report.models.map(({name}) => name))
  if (report.busy) engine.quietUntil = now + QUIET_MS / 3
  adoptPlaces(fleet, engine, report, now)
  engine.askAt = now + (hasLoads(engine, now) ? ASK_MS : ASK_IDLE_MS)
  engine.changed = true
}

/**
 * The engine that was asked is no more: its server answers from another life, whose entry is on its
 * way. Until it comes, nothing that was believed is sent by or ordered.
 */
export function takeLifeOver(fleet: Fleet, id: string, now: number): void {
  const engine = fleet.engines.get(id)
  if (!engine) return
  engine.busy = false
  engine.models = new Set()
  engine.places.clear()
  engine.copies.clear()
  engine.quietUntil = now + ASK_IDLE_MS
  engine.askAt = now + ASK_IDLE_MS
  engine.changed = true
  fleet.effects.push({type: "note", event: "place-restarted", fields: {engine: id}})
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
    const place =
      engine.places.get(adapter) ?? createPlace(version, "loading", now + 200, now)
    engine.places.set(adapter, place)
    place.replaced = held.get(adapter)
    if (place.phase === "loading") place.readyAt = Math.max(place.readyAt, now)
  }
  for (const [adapter, version] of held) {
    if (pending.has(adapter)) continue
    const place = engine.places.get(adapter)
    if (place?.phase === "unloading") continue
    if (!place) engine.places.set(adapter, createPlace(version, "ready", now, now))
    else if (place.version === version || place.version === 0) {
      place.version = version
      place.replaced = undefined
      if (place.phase === "loading" && place.readyAt <= now) relaxLoadTime(fleet, place)
      place.phase = "ready"
      place.readyAt = Math.min(place.readyAt, now)
    } else if (now - place.orderedAt > LOST_PLACE_MS) {
      place.version = version
      place.phase = "ready"
      place.replaced = undefined
    }
    touchCopy(engine, adapter, now)
  }
}

function hasLoads(engine: FleetEngine, now: number): boolean {
  for (const {phase, orderedAt} of engine.places.values()) {
    if (phase !== "ready" || now - orderedAt < ASK_MS) return true
  }
  return false
}

/**
 * The belief settles where one load in five is late: a late one costs its request a refusal and
 * 60 ms, whereas a belief that is too long costs every request for cold weights the difference.
 * Measured with 21 boxes and 17 engines whose loads take 250 ms, from the boxes' logs: the median
 * wait for cold weights fell from 431 to 272 ms against a belief that is late twice in a hundred.
 */
const SLOWER = 1.08
const FASTER = 0.98
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
