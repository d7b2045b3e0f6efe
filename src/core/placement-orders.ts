/** Orders to engines, and what their answers change. */
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

/** How often an engine is asked while loads are on their way, milliseconds. */
export const ASK_MS = 400

/** After an order without an answer, and at first after a failure, milliseconds. */
export const QUIET_MS = 300
const MAX_QUIET_MS = 4_000

/** Reports tell how things stood so long ago, milliseconds. */
export const REPORT_LAG_MS = 250

/** Orders in a row without an answer after which an engine is left alone for a while. */
const MAX_UNKNOWN = 4

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
  const {doubt} = engine
  if (result === "accepted" || result === "done") {
    engine.failures = 0
    engine.doubt = undefined
    if (engine.sequence !== undefined) engine.sequence++
    if (result === "done" && order.operation === "load") engine.askAt = now
    settleOrder(engine, order, result, now)
    return
  }
  undoOrder(engine, order)
  if (result === "unknown") noteStray(engine, order, now)
  fleet.effects.push({
    type: "note",
    event: "place-trouble",
    fields: {engine: id, operation: order.operation, adapter: order.adapter ?? "", result}
  })
  if (result === "unknown" && ++engine.failures < MAX_UNKNOWN) {
    // It may be carried out yet. The next order carries the same count, so that only one of the
    // two is: if the next is refused, this one was.
    engine.doubt = doubt ? "several" : order
    return
  }
  engine.doubt = undefined
  if (result === "conflict" && doubt && doubt !== "several") {
    return settleDoubt(fleet, engine, doubt, now)
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

/**
 * A refused order shows that the one before it, which got no answer, was carried out. To ask the
 * engine instead would take until its report has caught up, and each order until then is refused.
 */
function settleDoubt(
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
  const place = engine.places.get(key)
  if (order.operation === "unload") {
    // It may wait for its runs: its place counts until a report is without it.
    if (place) place.phase = "unloading"
    return
  }
  const version = order.version ?? 0
  const coming = createPlace(version, "loading", now + fleet.storeLoadMs, now)
  const replaced = place && place.version !== version ? place.version : undefined
  engine.places.set(key, {...coming, replaced, running: place?.running ?? 0})
  touchCopy(engine, key, now)
}

function undoOrder(engine: FleetEngine, order: FleetOrder): void {
  if (order.adapter === undefined) return
  const key = adapterKey(order.model, order.adapter)
  const place = engine.places.get(key)
  if (!place) return
  engine.changed = true
  if (order.operation === "load" && place.replaced === undefined) {
    engine.places.delete(key)
    return
  }
  place.phase = "ready"
  if (place.replaced === undefined) return
  place.version = place.replaced
  place.replaced = undefined
}

export function holdBack(engine: FleetEngine, now: number): void {
  engine.failures++
  const pause = Math.min(MAX_QUIET_MS, QUIET_MS * 2 ** (engine.failures - 1))
  engine.quietUntil = now + pause
  engine.askAt = now + pause
}

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
