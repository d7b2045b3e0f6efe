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
import {hasFewPlaces} from "./engine-load.js"
import {medianEventMs, speedOf, speedToPercent} from "./engine-speeds.js"
import type {Fleet, FleetEngine, Slot, BroadcastState} from "./placement-state.js"

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
export function sendsUnbatched(boxes: number): boolean {
  return boxes <= MAX_UNBATCHED_BOXES
}

/** Batch interval of messages from one box to many, or from many to one. 0 means none. */
export function batchIntervalMs(boxes: number): number {
  return sendsUnbatched(boxes) ? 0 : boxes * BATCH_MS_PER_BOX
}

/** Sends what changed since the last update, if it is due. */
export function sendUpdates(fleet: Fleet, now: number): void {
  const intervalMs = batchIntervalMs(fleet.boxCount)
  if (intervalMs > 0) {
    sendToWaitingBoxes(fleet, now)
    if (now - fleet.lastBroadcastAt >= intervalMs) sendBatch(fleet, now)
    return
  }
  const deltas = takeDeltas(fleet, now)
  if (deltas.length > 0) fleet.effects.push({type: "places", changes: deltas})
  if (now - fleet.lastLoadsBroadcastAt < LOADS_INTERVAL_MS) return
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
  fleet.lastBroadcastAt = now
  const deltas: EngineDelta[] = []
  for (const engine of fleet.engines.values()) {
    if (!engine.hasUnbroadcastChanges && !engine.hasUnsentChanges) continue
    engine.hasUnsentChanges = false
    engine.hasUnbroadcastChanges = false
    const delta = createDelta(engine, now)
    if (delta) deltas.push(delta)
  }
  return deltas
}

/** Returns the delta of an engine since the last broadcast and marks it as sent. */
function createDelta(engine: FleetEngine, now: number): EngineDelta | undefined {
  const previous = engine.lastBroadcast
  engine.lastBroadcast = createBroadcastState(engine)
  const {lastBroadcast: current} = engine
  const slots = [...current.slots].flatMap(([adapter, {version, readyAt}]) => {
    const previousSlot = previous.slots.get(adapter)
    const isUnchanged =
      previousSlot?.version === version && previousSlot.readyAt === readyAt
    return isUnchanged ? [] : [toSlotUpdate(adapter, version, readyAt, now)]
  })
  const gone = [...previous.slots.keys()].filter(adapter => !current.slots.has(adapter))
  const sameModels = current.models.join() === previous.models.join()
  if (sameModels && slots.length === 0 && gone.length === 0) return undefined
  const models = sameModels ? {} : {models: current.models}
  return {engine: engine.id, ...models, places: slots, gone}
}

function createBroadcastState(engine: FleetEngine): BroadcastState {
  return {
    models: [...engine.models],
    slots: new Map(
      listUsableSlots(engine).map(([adapter, {version, readyAt}]) => [
        adapter,
        {version, readyAt}
      ])
    )
  }
}

function listUsableSlots({slots}: FleetEngine): [adapter: string, slot: Slot][] {
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
  const sameOrder = order.join() === fleet.lastLoadsOrder.join()
  const changed = [...fleet.engines.values()].some(engine => engine.queuedTokensChanged)
  if (sameOrder && !changed) return undefined
  fleet.lastLoadsBroadcastAt = now
  fleet.lastLoadsOrder = order
  const backlog = describeBacklog(fleet)
  for (const engine of fleet.engines.values()) engine.queuedTokensChanged = false
  return sameOrder ? backlog : {order, ...backlog}
}

/** Returns the queued prompt tokens of all engines, in hundreds, and the prefill rate. */
export function describeLoads(fleet: Fleet): PrefillBacklog & {order: readonly string[]} {
  return {order: [...fleet.engines.keys()], ...describeBacklog(fleet)}
}

function describeBacklog(fleet: Fleet): Omit<PrefillBacklog, "order"> {
  const hundreds = [...fleet.engines.values()].map(({queuedTokens}) =>
    Math.round(queuedTokens / LOAD_UNIT_TOKENS)
  )
  const tokensPerMs = Number(fleet.prefillRate.tokensPerMs.toFixed(1))
  const leastLoadMs = Math.round(Math.min(fleet.cacheLoadMs, fleet.storeLoadMs))
  return {hundreds, tokensPerMs, leastLoadMs, ...describePlaces(fleet)}
}

/** Returns requests in progress and speeds, for fleets whose engines have few places. */
function describePlaces({
  engines,
  services
}: Fleet): Pick<PrefillBacklog, "running" | "speeds"> {
  if (![...services.values()].some(({engine}) => hasFewPlaces(engine))) return {}
  const medianMs = medianEventMs(engines.values())
  const all = [...engines.values()]
  return {
    running: all.map(({running}) => running),
    speeds: all.map(engine => speedToPercent(speedOf(engine, medianMs)))
  }
}

/** Converts a load in hundreds, as sent in updates, to prompt tokens. */
export function hundredsToTokens(hundreds: number): number {
  return hundreds * LOAD_UNIT_TOKENS
}

/** Sends a waiting box the engines that hold or load its adapter. */
export function answerWeightsRequest(
  fleet: Fleet,
  box: string,
  adapter: string,
  now: number
): void {
  if (sendsUnbatched(fleet.boxCount)) return
  const deltas = [...fleet.engines.values()].flatMap(engine =>
    describeSlot(engine, adapter, now)
  )
  if (deltas.length > 0)
    fleet.effects.push({type: "places", changes: deltas, boxes: [box]})
}

function describeSlot(engine: FleetEngine, adapter: string, now: number): EngineDelta[] {
  const slot = engine.slots.get(adapter)
  if (!slot || slot.phase === "unloading") return []
  const places = [toSlotUpdate(adapter, slot.version, slot.readyAt, now)]
  return [{engine: engine.id, models: [...engine.models], places, gone: []}]
}

/** Sends changes to the boxes that wait for them, outside of batches. */
function sendToWaitingBoxes(fleet: Fleet, now: number): void {
  const changed = [...fleet.engines.values()].filter(each => each.hasUnsentChanges)
  if (changed.length === 0) return
  const waiting = listWaitingBoxes(fleet)
  for (const engine of changed) {
    engine.hasUnsentChanges = false
    engine.hasUnbroadcastChanges = true
    const held = [...engine.slots.keys()].flatMap(adapter => waiting.get(adapter) ?? [])
    held.sort((a, b) => a.position - b.position)
    for (const {box, adapter} of held) {
      const deltas = describeSlot(engine, adapter, now)
      if (deltas.length > 0)
        fleet.effects.push({type: "places", changes: deltas, boxes: [box]})
    }
  }
}

interface WaitingBox {
  readonly box: string
  readonly adapter: string
  /** Position among the waiting requests, in whose order boxes are answered. */
  readonly position: number
}

/** Returns the boxes whose requests wait for each adapter. */
function listWaitingBoxes({waitingRequests}: Fleet): Map<string, WaitingBox[]> {
  const byAdapter = new Map<string, WaitingBox[]>()
  let position = 0
  for (const {box, weightsRequest} of waitingRequests.values()) {
    if (weightsRequest.adapter === undefined) continue
    const adapter = adapterKey(weightsRequest.model, weightsRequest.adapter)
    const waiting = {box, adapter, position: position++}
    const known = byAdapter.get(adapter)
    if (known) known.push(waiting)
    else byAdapter.set(adapter, [waiting])
  }
  return byAdapter
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
