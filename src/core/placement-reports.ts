/** Applies reports of engines, and their refusals of requests for lack of weights. */
import {adapterKey} from "../types/fleet.js"
import {
  REPORT_INTERVAL_MS,
  pauseAfterFailure,
  ORDER_PAUSE_MS,
  REPORT_LAG_MS,
  markCachedWeightsUsed
} from "./placement-orders.js"
import type {EngineView} from "./box-engines.js"
import {TYPICAL_EVENT_MS} from "./engine-speeds.js"
import {expectedLoadMs, recordLateLoad, recordLoad} from "./load-times.js"
import {recordCachedLoad} from "./placement-cache.js"
import {
  createSlot,
  type EngineReport,
  type Fleet,
  type FleetEngine,
  type Slot
} from "./placement-state.js"

/** Interval of report requests while nothing loads. Slots may change without an order. */
const IDLE_REPORT_INTERVAL_MS = 4_000

/** Remaining load time assumed for weights that are late. */
const LATE_LOAD_EXTENSION_MS = 60

/** Time that a load which another leader ordered is assumed to take from its report on. */
const UNKNOWN_LOAD_MS = 200

/** A load that takes longer than this multiple of the expected time counts as lost. */
const LOST_LOAD_FACTOR = 3

/**
 * A load of cached weights that takes longer than this part of a load from the weight
 * store shows that the weights were not cached.
 */
const CACHE_MISS_SHARE = 0.6

/** A load that no report confirms within this time after its order counts as lost. */
const CONFIRMATION_TIMEOUT_MS = 2_500

/** Handles a refusal of a request by an engine that does not hold the adapter. */
export function handleMissingWeights(
  fleet: Fleet,
  id: string,
  adapter: string,
  now: number
): void {
  const engine = fleet.engines.get(id)
  const slot = engine?.slots.get(adapter)
  if (!engine || !slot || slot.readyAt > now) return
  // The engine may hold another version. Its report shows the refused state only after
  // the lag.
  slot.readyAt = Infinity
  engine.nextReportAt = Math.min(engine.nextReportAt, now + REPORT_LAG_MS)
  engine.hasUnsentChanges = true
}

/** Handles a refusal of a request by an engine that is still loading the adapter. */
export function handleLateWeights(
  fleet: Fleet,
  id: string,
  adapter: string,
  now: number
): void {
  const engine = fleet.engines.get(id)
  const slot = engine?.slots.get(adapter)
  if (!engine || !slot || slot.readyAt > now) return
  const expectedMs = expectedLoadMs(fleet, slot)
  if (now - slot.orderedAt > LOST_LOAD_FACTOR * expectedMs + REPORT_LAG_MS) {
    return handleMissingWeights(fleet, id, adapter, now)
  }
  if (slot.missedCache) return extendLoad(engine, slot, now)
  if (slot.fromCache && now - slot.orderedAt > CACHE_MISS_SHARE * fleet.storeLoadMs) {
    slot.missedCache = true
    return extendLoad(engine, slot, now)
  }
  recordLateLoad(fleet, slot)
  extendLoad(engine, slot, now)
}

function extendLoad(engine: FleetEngine, slot: Slot, now: number): void {
  slot.readyAt = now + LATE_LOAD_EXTENSION_MS
  engine.hasUnsentChanges = true
}

/**
 * Adopts the view that this box had of an engine before it became leader. Boxes go on
 * sending requests by it until the engine's report replaces it.
 */
export function adoptEngineView(
  engine: FleetEngine,
  {models, slots, speed}: EngineView,
  now: number
): void {
  engine.models = new Set(models)
  // The pace of streams corrects it; until then decisions go on with what boxes know.
  if (speed !== 1) engine.eventMs = TYPICAL_EVENT_MS / speed
  for (const [adapter, {version, readyAt}] of slots) {
    engine.slots.set(adapter, createSlot(version, "ready", readyAt, now))
  }
}

/** Applies an engine's report. Undefined if it did not answer. */
export function applyEngineReport(
  fleet: Fleet,
  id: string,
  report: EngineReport | undefined,
  now: number
): void {
  const engine = fleet.engines.get(id)
  if (!engine) return
  engine.hasPendingCall = false
  if (!report) return pauseAfterFailure(engine, now)
  engine.failures = 0
  if (engine.sequence !== undefined && report.sequence < engine.sequence) {
    // Reports lag: this one is older than the last executed order.
    engine.nextReportAt = now + REPORT_INTERVAL_MS / 2
    return
  }
  engine.sequence = report.sequence
  if (engine.models.size > 0 && report.models.length === 0) {
    fleet.effects.push({type: "note", event: "place-restarted", fields: {engine: id}})
  }
  engine.models = new Set(report.models.map(({name}) => name))
  if (report.busy) engine.pausedUntil = now + ORDER_PAUSE_MS / 3
  applyReportedSlots(fleet, engine, report, now)
  engine.nextReportAt =
    now + (hasLoads(engine, now) ? REPORT_INTERVAL_MS : IDLE_REPORT_INTERVAL_MS)
  engine.hasUnsentChanges = true
}

/**
 * Clears the state of an engine whose server answered from another incarnation. Boxes
 * send it no requests, and it gets no orders, until the entry of the new incarnation
 * arrives.
 */
export function handleIncarnationEnd(fleet: Fleet, id: string, now: number): void {
  const engine = fleet.engines.get(id)
  if (!engine) return
  engine.hasPendingCall = false
  engine.models = new Set()
  engine.slots.clear()
  engine.cachedWeights.clear()
  engine.pausedUntil = now + IDLE_REPORT_INTERVAL_MS
  engine.nextReportAt = now + IDLE_REPORT_INTERVAL_MS
  engine.hasUnsentChanges = true
  fleet.effects.push({type: "note", event: "place-restarted", fields: {engine: id}})
}

function applyReportedSlots(
  fleet: Fleet,
  engine: FleetEngine,
  report: EngineReport,
  now: number
): void {
  const loadedVersions = new Map<string, number>()
  for (const {name, adapters} of report.models) {
    for (const [adapter, version] of adapters)
      loadedVersions.set(adapterKey(name, adapter), version)
  }
  const pendingVersions = new Map(
    report.pending.map(({adapter, version}) => [adapter, version])
  )
  for (const [adapter, slot] of engine.slots) {
    if (loadedVersions.has(adapter) || pendingVersions.has(adapter)) continue
    const isLoading = slot.phase === "loading" && slot.readyAt !== Infinity
    if (isLoading && now - slot.orderedAt < CONFIRMATION_TIMEOUT_MS) continue
    engine.slots.delete(adapter)
  }
  for (const [adapter, version] of pendingVersions) {
    const known = engine.slots.get(adapter)
    // An earlier leader ordered a load that this one does not know. The slot must not be
    // unloaded: that would end the old version alone, and the new one takes its place.
    const slot =
      known?.phase === "loading"
        ? known
        : {
            ...createSlot(version, "loading", now + UNKNOWN_LOAD_MS, now),
            running: known?.running ?? 0
          }
    engine.slots.set(adapter, slot)
    slot.replacedVersion = loadedVersions.get(adapter)
    slot.readyAt = Math.max(slot.readyAt, now)
  }
  for (const [adapter, version] of loadedVersions) {
    if (pendingVersions.has(adapter)) continue
    const slot = engine.slots.get(adapter)
    if (slot?.phase === "unloading") continue
    if (!slot) engine.slots.set(adapter, createSlot(version, "ready", now, now))
    else if (slot.version === version || slot.version === 0) {
      // A replacement also waits for the requests of the version before.
      const isReplacement = slot.replacedVersion !== undefined
      slot.version = version
      slot.replacedVersion = undefined
      if (slot.phase === "loading") {
        if (slot.isOwnLoad && !isReplacement) recordLoad(fleet, slot, now)
        if (slot.fromCache) recordCachedLoad(fleet, engine.service, !slot.missedCache)
      }
      slot.phase = "ready"
      slot.readyAt = Math.min(slot.readyAt, now)
    } else if (now - slot.orderedAt > CONFIRMATION_TIMEOUT_MS) {
      slot.version = version
      slot.phase = "ready"
      slot.replacedVersion = undefined
    }
    markCachedWeightsUsed(fleet, engine, adapter, now)
  }
}

function hasLoads(engine: FleetEngine, now: number): boolean {
  for (const {phase, orderedAt} of engine.slots.values()) {
    if (phase !== "ready" || now - orderedAt < REPORT_INTERVAL_MS) return true
  }
  return false
}
