/** Sends orders to engines and applies their results. */
import {adapterKey, splitAdapterKey} from "../types/fleet.js"
import {MAX_COPIES} from "./placement-choose.js"
import {noteStray} from "./placement-strays.js"
import {
  createPlace,
  type Fleet,
  type FleetEngine,
  type FleetOrder,
  heatOf,
  type OrderResult
} from "./placement-state.js"

/** Interval of report requests to an engine while it loads weights. */
export const ASK_MS = 400

/** Pause after a load of a base model, and the first pause after a failure. */
export const QUIET_MS = 300
const MAX_PAUSE_MS = 4_000

/** How far a report may lag behind the state of the engine. */
export const REPORT_LAG_MS = 250

/** Orders in a row without an answer after which orders to the engine pause. */
const MAX_UNKNOWN_OUTCOMES = 4

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
  const {doubt: unresolvedOrder} = engine
  if (result === "accepted" || result === "done") {
    engine.failures = 0
    engine.doubt = undefined
    if (engine.sequence !== undefined) engine.sequence++
    if (result === "done" && order.operation === "load") engine.askAt = now
    applyAcceptedOrder(engine, order, result, now)
    return
  }
  revertOrder(engine, order)
  if (result === "unknown") noteStray(engine, order, now)
  fleet.effects.push({
    type: "note",
    event: "place-trouble",
    fields: {engine: id, operation: order.operation, adapter: order.adapter ?? "", result}
  })
  if (result === "unknown" && ++engine.failures < MAX_UNKNOWN_OUTCOMES) {
    // The order may still be executed. The next order carries the same sequence number,
    // so that the engine executes only one of the two. A conflict for the next means that
    // this one was.
    engine.doubt = unresolvedOrder ? "several" : order
    return
  }
  engine.doubt = undefined
  if (result === "conflict" && unresolvedOrder && unresolvedOrder !== "several") {
    return applyUnresolvedOrder(fleet, engine, unresolvedOrder, now)
  }
  engine.sequence = undefined
  engine.askAt = now
  if (result !== "conflict") holdBack(engine, now)
}

function applyAcceptedOrder(
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
    // An accepted unload waits for running requests. The slot is in use until a report
    // lacks it.
    if (result === "done") engine.places.delete(key)
    else engine.askAt = Math.min(engine.askAt, now + REPORT_LAG_MS)
  } else {
    engine.askAt = Math.min(engine.askAt, now + ASK_MS)
    touchCopy(engine, key, now)
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
  engine.askAt = Math.min(engine.askAt, now + REPORT_LAG_MS)
  engine.changed = true
  if (order.adapter === undefined) return
  const key = adapterKey(order.model, order.adapter)
  const slot = engine.places.get(key)
  if (order.operation === "unload") {
    // The unload may wait for running requests. The slot is in use until a report lacks
    // it.
    if (slot) slot.phase = "unloading"
    return
  }
  const version = order.version ?? 0
  const loadingSlot = createPlace(version, "loading", now + fleet.storeLoadMs, now)
  const replacedVersion = slot && slot.version !== version ? slot.version : undefined
  engine.places.set(key, {
    ...loadingSlot,
    replaced: replacedVersion,
    running: slot?.running ?? 0
  })
  touchCopy(engine, key, now)
}

function revertOrder(engine: FleetEngine, order: FleetOrder): void {
  if (order.adapter === undefined) return
  const key = adapterKey(order.model, order.adapter)
  const slot = engine.places.get(key)
  if (!slot) return
  engine.changed = true
  if (order.operation === "load" && slot.replaced === undefined) {
    engine.places.delete(key)
    return
  }
  slot.phase = "ready"
  if (slot.replaced === undefined) return
  slot.version = slot.replaced
  slot.replaced = undefined
}

/** Pauses orders and report requests for a time that doubles with each failure. */
export function holdBack(engine: FleetEngine, now: number): void {
  engine.failures++
  const pauseMs = Math.min(MAX_PAUSE_MS, QUIET_MS * 2 ** (engine.failures - 1))
  engine.quietUntil = now + pauseMs
  engine.askAt = now + pauseMs
}

/** Marks the cached weights of an adapter as most recently used. */
export function touchCopy(engine: FleetEngine, adapter: string, now: number): void {
  engine.copies.delete(adapter)
  engine.copies.set(adapter, now)
  for (const oldest of engine.copies.keys()) {
    if (engine.copies.size <= MAX_COPIES) return
    engine.copies.delete(oldest)
  }
}

export function unload(
  fleet: Fleet,
  engine: FleetEngine,
  key: string,
  now: number
): void {
  const slot = engine.places.get(key)
  if (slot) slot.phase = "unloading"
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

export function giveLoad(
  fleet: Fleet,
  engine: FleetEngine,
  key: string,
  version: number
): void {
  const order = {operation: "load" as const, ...splitAdapterKey(key)}
  give(fleet, engine, version > 0 ? {...order, version} : order)
  engine.changed = true
}

export function give(fleet: Fleet, engine: FleetEngine, order: FleetOrder): void {
  engine.busy = true
  engine.order = order
  const {id, sequence = 0} = engine
  fleet.effects.push({type: "order", engine: id, order, expectedSequence: sequence})
}
