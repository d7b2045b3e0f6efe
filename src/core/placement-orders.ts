/** Sends orders to engines and applies their results. */
import {adapterKey, splitAdapterKey} from "../types/fleet.js"
import {cachedAdaptersOf} from "./placement-cache.js"
import {recordUnconfirmedLoad} from "./placement-unconfirmed.js"
import {
  createSlot,
  type Fleet,
  type FleetEngine,
  type FleetOrder,
  popularityOf,
  type OrderResult
} from "./placement-state.js"

/** Interval of report requests to an engine while it loads weights. */
export const REPORT_INTERVAL_MS = 400

/** Pause after a load of a base model, and the first pause after a failure. */
export const ORDER_PAUSE_MS = 300
const MAX_PAUSE_MS = 4_000

/** How far a report may lag behind the state of the engine. */
export const REPORT_LAG_MS = 250

/** Orders in a row without an answer after which orders to the engine pause. */
const MAX_UNKNOWN_OUTCOMES = 4

export function handleOrderResult(
  fleet: Fleet,
  id: string,
  result: OrderResult,
  now: number
): void {
  const engine = fleet.engines.get(id)
  const order = engine?.pendingOrder
  if (!engine || !order) return
  engine.hasPendingCall = false
  engine.pendingOrder = undefined
  const {unresolvedOrder} = engine
  if (result === "accepted" || result === "done") {
    engine.failures = 0
    engine.unresolvedOrder = undefined
    if (engine.sequence !== undefined) engine.sequence++
    if (result === "done" && order.operation === "load") engine.nextReportAt = now
    applyAcceptedOrder(fleet, engine, order, result, now)
    return
  }
  revertOrder(engine, order)
  if (result === "unknown") {
    recordUnconfirmedLoad(engine, order, now)
    recordUnconfirmedUnload(engine, order)
  }
  fleet.effects.push({
    type: "note",
    event: "place-trouble",
    fields: {engine: id, operation: order.operation, adapter: order.adapter ?? "", result}
  })
  if (result === "unknown" && ++engine.failures < MAX_UNKNOWN_OUTCOMES) {
    // The order may still be executed. The next order carries the same sequence number,
    // so that the engine executes only one of the two. A conflict for the next means that
    // this one was.
    engine.unresolvedOrder = unresolvedOrder ? "several" : order
    return
  }
  engine.unresolvedOrder = undefined
  if (result === "conflict" && unresolvedOrder && unresolvedOrder !== "several") {
    return applyUnresolvedOrder(fleet, engine, unresolvedOrder, now)
  }
  engine.sequence = undefined
  engine.nextReportAt = now
  if (result !== "conflict") pauseAfterFailure(engine, now)
}

function applyAcceptedOrder(
  fleet: Fleet,
  engine: FleetEngine,
  order: FleetOrder,
  result: "accepted" | "done",
  now: number
): void {
  engine.hasUnsentChanges = true
  if (order.adapter === undefined) {
    engine.pausedUntil = now + ORDER_PAUSE_MS
    engine.sequence = undefined
    engine.nextReportAt = now + ORDER_PAUSE_MS
    return
  }
  const key = adapterKey(order.model, order.adapter)
  if (order.operation === "unload") {
    // An accepted unload waits for running requests. The slot is in use until a report
    // lacks it. The same holds for an adapter that an earlier order may have unloaded: the
    // engine still runs its requests, and answers that there is nothing to unload.
    const isOwnLoad = engine.slots.get(key)?.isOwnLoad === true
    if (result === "done" && isOwnLoad) engine.slots.delete(key)
    else engine.nextReportAt = Math.min(engine.nextReportAt, now + REPORT_LAG_MS)
  } else {
    engine.nextReportAt = Math.min(engine.nextReportAt, now + REPORT_INTERVAL_MS)
    markCachedWeightsUsed(fleet, engine, key, now)
  }
}

/**
 * Applies the previous order, which got no answer, after a conflict showed that it was
 * executed. A report would show the same only after its lag, and until then every order
 * would be refused.
 */
function applyUnresolvedOrder(
  fleet: Fleet,
  engine: FleetEngine,
  order: FleetOrder,
  now: number
): void {
  engine.failures = 0
  if (engine.sequence !== undefined) engine.sequence++
  engine.nextReportAt = Math.min(engine.nextReportAt, now + REPORT_LAG_MS)
  engine.hasUnsentChanges = true
  if (order.adapter === undefined) return
  const key = adapterKey(order.model, order.adapter)
  const slot = engine.slots.get(key)
  if (order.operation === "unload") {
    // The unload may wait for running requests. The slot is in use until a report lacks
    // it.
    if (slot) slot.phase = "unloading"
    return
  }
  const version = order.version ?? 0
  const loadingSlot = createSlot(version, "loading", now + fleet.storeLoadMs, now)
  const replacedVersion = slot && slot.version !== version ? slot.version : undefined
  engine.slots.set(key, {
    ...loadingSlot,
    isOwnLoad: true,
    replacedVersion,
    running: slot?.running ?? 0
  })
  markCachedWeightsUsed(fleet, engine, key, now)
}

function revertOrder(engine: FleetEngine, order: FleetOrder): void {
  if (order.adapter === undefined) return
  const key = adapterKey(order.model, order.adapter)
  const slot = engine.slots.get(key)
  if (!slot) return
  engine.hasUnsentChanges = true
  if (order.operation === "load" && slot.replacedVersion === undefined) {
    engine.slots.delete(key)
    return
  }
  slot.phase = "ready"
  if (slot.replacedVersion === undefined) return
  slot.version = slot.replacedVersion
  slot.replacedVersion = undefined
}

/** The engine may execute an unload without an answer, and go on with its requests. */
function recordUnconfirmedUnload(engine: FleetEngine, order: FleetOrder): void {
  if (order.operation !== "unload") return
  const slot = engine.slots.get(adapterKey(order.model, order.adapter))
  if (slot) slot.isOwnLoad = false
}

/** Pauses orders and report requests for a time that doubles with each failure. */
export function pauseAfterFailure(engine: FleetEngine, now: number): void {
  engine.failures++
  const pauseMs = Math.min(MAX_PAUSE_MS, ORDER_PAUSE_MS * 2 ** (engine.failures - 1))
  engine.pausedUntil = now + pauseMs
  engine.nextReportAt = now + pauseMs
}

/** Marks the cached weights of an adapter as most recently used. */
export function markCachedWeightsUsed(
  fleet: Fleet,
  engine: FleetEngine,
  adapter: string,
  now: number
): void {
  engine.cachedWeights.delete(adapter)
  engine.cachedWeights.set(adapter, now)
  const most = cachedAdaptersOf(fleet, engine.service)
  for (const oldest of engine.cachedWeights.keys()) {
    if (engine.cachedWeights.size <= most) return
    engine.cachedWeights.delete(oldest)
  }
}

export function orderUnload(
  fleet: Fleet,
  engine: FleetEngine,
  key: string,
  now: number
): void {
  const slot = engine.slots.get(key)
  if (slot) slot.phase = "unloading"
  engine.hasUnsentChanges = true
  sendOrder(fleet, engine, {operation: "unload", ...splitAdapterKey(key)})
  fleet.effects.push({
    type: "note",
    event: "place-unload",
    fields: {
      engine: engine.id,
      adapter: key,
      heat: Math.round(popularityOf(fleet, key, now) * 10) / 10
    }
  })
}

export function orderLoad(
  fleet: Fleet,
  engine: FleetEngine,
  key: string,
  version: number
): void {
  const order = {operation: "load" as const, ...splitAdapterKey(key)}
  sendOrder(fleet, engine, version > 0 ? {...order, version} : order)
  engine.hasUnsentChanges = true
}

export function sendOrder(fleet: Fleet, engine: FleetEngine, order: FleetOrder): void {
  engine.hasPendingCall = true
  engine.pendingOrder = order
  const {id, sequence = 0} = engine
  fleet.effects.push({type: "order", engine: id, order, expectedSequence: sequence})
}
