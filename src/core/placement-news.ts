/**
 * What the leader tells boxes of engines. Every box knows every place, so that it needs the leader
 * only for weights that no engine holds. A box that waits for an adapter hears of it at once. All
 * others hear of changes gathered over a time that grows with their number: the messages that a
 * leader sends in a second then have a bound, whatever the number of boxes.
 */
import type {
  EngineChange,
  EngineLoads,
  EngineNews,
  PlaceNews
} from "../types/box-messages.js"
import {adapterKey} from "../types/fleet.js"
import type {Fleet, FleetEngine, Place, ToldEngine} from "./placement-state.js"

/** Boxes up to which every change is told as it comes. */
const FEW_BOXES = 16

/**
 * Time that changes are gathered for each box there is, milliseconds: a leader then sends some 330
 * gathered messages a second, and a box hears of a change within a quarter of a second at 75 boxes,
 * about what a load takes.
 */
const GATHER_BOX_MS = 3

/** Loads change with each request; they are told this often at most, milliseconds. */
const LOADS_MS = 100

/** The unit in which loads are told, tokens: what an engine reads in 3 to 5 ms. */
const LOAD_UNIT_TOKENS = 100

/** Whether there are so few boxes that all is told to all as it comes. */
export function isSmall(boxes: number): boolean {
  return boxes <= FEW_BOXES
}

/** How long what one box tells many, or many tell one, is gathered, milliseconds. */
export function gatherMs(boxes: number): number {
  return isSmall(boxes) ? 0 : boxes * GATHER_BOX_MS
}

/** Tells what changed since it was told last. */
export function tellNews(fleet: Fleet, now: number): void {
  const gap = gatherMs(fleet.boxes)
  if (gap > 0) {
    tellWaiting(fleet, now)
    if (now - fleet.toldAt >= gap) tellTogether(fleet, now)
    return
  }
  const changes = takeChanges(fleet, now)
  if (changes.length > 0) fleet.effects.push({type: "places", changes})
  if (now - fleet.loadsToldAt < LOADS_MS) return
  const loads = takeLoads(fleet, now)
  if (loads) fleet.effects.push({type: "loads", loads})
}

/** Places and loads in one message: many boxes wake up for each. */
function tellTogether(fleet: Fleet, now: number): void {
  const changes = takeChanges(fleet, now)
  const loads = takeLoads(fleet, now)
  if (changes.length > 0) fleet.effects.push({type: "places", changes, loads})
  else if (loads) fleet.effects.push({type: "loads", loads})
}

/** What changed since all boxes were told; from here on they were. */
function takeChanges(fleet: Fleet, now: number): EngineChange[] {
  fleet.toldAt = now
  const changes: EngineChange[] = []
  for (const engine of fleet.engines.values()) {
    if (!engine.untold && !engine.changed) continue
    engine.changed = false
    engine.untold = false
    const change = describeChange(engine, now)
    if (change) changes.push(change)
  }
  return changes
}

/** What differs from what boxes were told of an engine; from here on they were told. */
function describeChange(engine: FleetEngine, now: number): EngineChange | undefined {
  const before = engine.told
  engine.told = snapshot(engine)
  const {told} = engine
  const places = [...told.places].flatMap(([adapter, {version, readyAt}]) => {
    const known = before.places.get(adapter)
    const same = known?.version === version && known.readyAt === readyAt
    return same ? [] : [toNews(adapter, version, readyAt, now)]
  })
  const gone = [...before.places.keys()].filter(adapter => !told.places.has(adapter))
  const sameModels = told.models.join() === before.models.join()
  if (sameModels && places.length === 0 && gone.length === 0) return undefined
  const models = sameModels ? {} : {models: told.models}
  return {engine: engine.id, ...models, places, gone}
}

function snapshot(engine: FleetEngine): ToldEngine {
  return {
    models: [...engine.models],
    places: new Map(
      listUsable(engine).map(([adapter, {version, readyAt}]) => [
        adapter,
        {version, readyAt}
      ])
    )
  }
}

function listUsable({places}: FleetEngine): [adapter: string, place: Place][] {
  return [...places].filter(([, {phase}]) => phase !== "unloading")
}

function toNews(
  adapter: string,
  version: number,
  readyAt: number,
  now: number
): PlaceNews {
  return {adapter, version, readyInMs: Math.max(0, Math.round(readyAt - now))}
}

/** The work at all engines where it changed since boxes were told. */
function takeLoads(fleet: Fleet, now: number): EngineLoads | undefined {
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

/** The work at all engines, with their order, and how fast they do it. */
export function describeLoads(fleet: Fleet): EngineLoads & {order: readonly string[]} {
  const order = [...fleet.engines.keys()]
  const hundreds = [...fleet.engines.values()].map(({load}) =>
    Math.round(load / LOAD_UNIT_TOKENS)
  )
  return {order, hundreds, tokensPerMs: Number(fleet.reading.tokensPerMs.toFixed(1))}
}

/** Prompt tokens of a load as it was told. */
export function toTokens(hundreds: number): number {
  return hundreds * LOAD_UNIT_TOKENS
}

/** Tells a box that waits where its adapter is, or will be. */
export function answerNeed(
  fleet: Fleet,
  box: string,
  adapter: string,
  now: number
): void {
  if (isSmall(fleet.boxes)) return
  const changes = [...fleet.engines.values()].flatMap(engine =>
    describePlace(engine, adapter, now)
  )
  if (changes.length > 0) fleet.effects.push({type: "places", changes, boxes: [box]})
}

function describePlace(
  engine: FleetEngine,
  adapter: string,
  now: number
): EngineChange[] {
  const place = engine.places.get(adapter)
  if (!place || place.phase === "unloading") return []
  const places = [toNews(adapter, place.version, place.readyAt, now)]
  return [{engine: engine.id, models: [...engine.models], places, gone: []}]
}

/** Boxes that wait for what just changed are told without waiting for other changes. */
function tellWaiting(fleet: Fleet, now: number): void {
  for (const engine of fleet.engines.values()) {
    if (!engine.changed) continue
    engine.changed = false
    engine.untold = true
    for (const {box, need} of fleet.waiting.values()) {
      if (need.adapter === undefined) continue
      const adapter = adapterKey(need.model, need.adapter)
      const changes = describePlace(engine, adapter, now)
      if (changes.length > 0) fleet.effects.push({type: "places", changes, boxes: [box]})
    }
  }
}

/** All that is known, for a box that is new. */
export function describeFleet(fleet: Fleet, now: number): EngineNews[] {
  return [...fleet.engines.values()].map(engine => ({
    engine: engine.id,
    models: [...engine.models],
    places: listUsable(engine).map(([adapter, {version, readyAt}]) =>
      toNews(adapter, version, readyAt, now)
    )
  }))
}
