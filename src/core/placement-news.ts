/**
 * The leader's updates to boxes about engines. Every box receives the slots of all
 * engines, so that it needs the leader only for weights that no engine holds. A box that
 * waits for an adapter receives its changes at once. All others receive batches, whose
 * interval grows with the number of boxes, so that the messages a leader sends per second
 * are bounded for any number of boxes.
 */
import type {
  EngineDelta,
  PrefillBacklog,
  EngineSnapshot,
  SlotUpdate
} from "../types/box-messages.js"
import {adapterKey} from "../types/fleet.js"
import type {Fleet, FleetEngine, Place, ToldEngine} from "./placement-state.js"

/** Up to this number of boxes every change is sent at once. */
const MAX_UNBATCHED_BOXES = 16

/**
 * Batch interval per box. A leader then sends some 330 batches a second. With 75 boxes, a
 * change arrives within a quarter of a second, about the time of a load.
 */
const BATCH_MS_PER_BOX = 3

/** Least interval of load updates, since loads change with each request. */
const LOADS_INTERVAL_MS = 100

/** Unit of loads in updates: what an engine prefills in 3 to 5 ms. */
const LOAD_UNIT_TOKENS = 100

/** Whether there are so few boxes that every change is sent to all of them at once. */
export function isSmall(boxes: number): boolean {
  return boxes <= MAX_UNBATCHED_BOXES
}

/** Batch interval of messages from one box to many, or from many to one. 0 means none. */
export function gatherMs(boxes: number): number {
  return isSmall(boxes) ? 0 : boxes * BATCH_MS_PER_BOX
}

/** Sends what changed since the last update, if it is due. */
export function tellNews(fleet: Fleet, now: number): void {
  const intervalMs = gatherMs(fleet.boxes)
  if (intervalMs > 0) {
    sendToWaitingBoxes(fleet, now)
    if (now - fleet.toldAt >= intervalMs) sendBatch(fleet, now)
    return
  }
  const deltas = takeDeltas(fleet, now)
  if (deltas.length > 0) fleet.effects.push({type: "places", changes: deltas})
  if (now - fleet.loadsToldAt < LOADS_INTERVAL_MS) return
  const loads = takeChangedLoads(fleet, now)
  if (loads) fleet.effects.push({type: "loads", loads})
}

/** Sends slots and loads in one message, since each message wakes up many boxes. */
function sendBatch(fleet: Fleet, now: number): void {
  const deltas = takeDeltas(fleet, now)
  const loads = takeChangedLoads(fleet, now)
  if (deltas.length > 0) fleet.effects.push({type: "places", changes: deltas, loads})
  else if (loads) fleet.effects.push({type: "loads", loads})
}

/** Returns the deltas since the last broadcast and marks them as sent. */
function takeDeltas(fleet: Fleet, now: number): EngineDelta[] {
  fleet.toldAt = now
  const deltas: EngineDelta[] = []
  for (const engine of fleet.engines.values()) {
    if (!engine.untold && !engine.changed) continue
    engine.changed = false
    engine.untold = false
    const delta = createDelta(engine, now)
    if (delta) deltas.push(delta)
  }
  return deltas
}

/** Returns the delta of an engine since the last broadcast and marks it as sent. */
function createDelta(engine: FleetEngine, now: number): EngineDelta | undefined {
  const previous = engine.told
  engine.told = createBroadcastState(engine)
  const {told: current} = engine
  const slots = [...current.places].flatMap(([adapter, {version, readyAt}]) => {
    const previousSlot = previous.places.get(adapter)
    const isUnchanged =
      previousSlot?.version === version && previousSlot.readyAt === readyAt
    return isUnchanged ? [] : [toSlotUpdate(adapter, version, readyAt, now)]
  })
  const gone = [...previous.places.keys()].filter(adapter => !current.places.has(adapter))
  const sameModels = current.models.join() === previous.models.join()
  if (sameModels && slots.length === 0 && gone.length === 0) return undefined
  const models = sameModels ? {} : {models: current.models}
  return {engine: engine.id, ...models, places: slots, gone}
}

function createBroadcastState(engine: FleetEngine): ToldEngine {
  return {
    models: [...engine.models],
    places: new Map(
      listUsableSlots(engine).map(([adapter, {version, readyAt}]) => [
        adapter,
        {version, readyAt}
      ])
    )
  }
}

function listUsableSlots({
  places: slots
}: FleetEngine): [adapter: string, place: Place][] {
  return [...slots].filter(([, {phase}]) => phase !== "unloading")
}

function toSlotUpdate(
  adapter: string,
  version: number,
  readyAt: number,
  now: number
): SlotUpdate {
  return {adapter, version, readyInMs: Math.max(0, Math.round(readyAt - now))}
}

/** Returns the loads of all engines and marks them as sent. Undefined if none changed. */
function takeChangedLoads(fleet: Fleet, now: number): PrefillBacklog | undefined {
  const order = [...fleet.engines.keys()]
  const sameOrder = order.join() === fleet.toldOrder.join()
  const changed = [...fleet.engines.values()].some(engine => engine.loadChanged)
  if (sameOrder && !changed) return undefined
  fleet.loadsToldAt = now
  fleet.toldOrder = order
  const {hundreds, tokensPerMs} = describeLoads(fleet)
  for (const engine of fleet.engines.values()) engine.loadChanged = false
  return {...(sameOrder ? {} : {order}), hundreds, tokensPerMs}
}

/** Returns the queued prompt tokens of all engines, in hundreds, and the prefill rate. */
export function describeLoads(fleet: Fleet): PrefillBacklog & {order: readonly string[]} {
  const order = [...fleet.engines.keys()]
  const hundreds = [...fleet.engines.values()].map(({load: queuedTokens}) =>
    Math.round(queuedTokens / LOAD_UNIT_TOKENS)
  )
  return {order, hundreds, tokensPerMs: Number(fleet.reading.tokensPerMs.toFixed(1))}
}

/** Converts a load in hundreds, as sent in updates, to prompt tokens. */
export function toTokens(hundreds: number): number {
  return hundreds * LOAD_UNIT_TOKENS
}

/** Sends a waiting box the engines that hold or load its adapter. */
export function answerNeed(
  fleet: Fleet,
  box: string,
  adapter: string,
  now: number
): void {
  if (isSmall(fleet.boxes)) return
  const deltas = [...fleet.engines.values()].flatMap(engine =>
    describeSlot(engine, adapter, now)
  )
  if (deltas.length > 0)
    fleet.effects.push({type: "places", changes: deltas, boxes: [box]})
}

function describeSlot(engine: FleetEngine, adapter: string, now: number): EngineDelta[] {
  const slot = engine.places.get(adapter)
  if (!slot || slot.phase === "unloading") return []
  const places = [toSlotUpdate(adapter, slot.version, slot.readyAt, now)]
  return [{engine: engine.id, models: [...engine.models], places, gone: []}]
}

/** Sends changes to the boxes that wait for them, outside of batches. */
function sendToWaitingBoxes(fleet: Fleet, now: number): void {
  for (const engine of fleet.engines.values()) {
    if (!engine.changed) continue
    engine.changed = false
    engine.untold = true
    for (const {box, need: weightsRequest} of fleet.waiting.values()) {
      if (weightsRequest.adapter === undefined) continue
      const adapter = adapterKey(weightsRequest.model, weightsRequest.adapter)
      const deltas = describeSlot(engine, adapter, now)
      if (deltas.length > 0)
        fleet.effects.push({type: "places", changes: deltas, boxes: [box]})
    }
  }
}

/** Returns a full snapshot of all engines for a box that connects. */
export function describeFleet(fleet: Fleet, now: number): EngineSnapshot[] {
  return [...fleet.engines.values()].map(engine => ({
    engine: engine.id,
    models: [...engine.models],
    places: listUsableSlots(engine).map(([adapter, {version, readyAt}]) =>
      toSlotUpdate(adapter, version, readyAt, now)
    )
  }))
}
