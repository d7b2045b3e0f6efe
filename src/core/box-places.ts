/**
 * What a box believes engines hold and how much work waits there: a picture from the leader, its
 * changes, and what engines said themselves. It outlasts the leader: without one, every box goes on
 * sending requests to what engines hold.
 */
import type {EngineChange, EngineLoads, EngineNews} from "../types/box-messages.js"
import {adapterKey, type BackendRecord} from "../types/fleet.js"
import type {BoxServing} from "./box-state.js"
import {toTokens} from "./placement-news.js"

/** A place as this box sees it. */
export interface PlaceView {
  readonly version: number
  readonly readyAt: number
  /** Its weights came lately: a refusal may mean that they are on their way. */
  readonly fresh: boolean
}

/** An engine as the leader told it, or as it said itself. */
export interface EngineView {
  models: ReadonlySet<string>
  readonly places: Map<string, PlaceView>
  /** Prompt tokens that wait to be read there. */
  load: number
  toldAt: number
}

/** How long after it was due a place counts as fresh, milliseconds. */
const FRESH_MS = 400

/** Adapters remembered of each engine: about what an engine keeps near. */
const MAX_HELD = 34

/** What is known of an engine: the leader's word, else its own. */
export function viewOf(box: BoxServing, backend: BackendRecord): EngineView {
  const told = box.engines.get(backend.id)
  if (told) return told
  const places = backend.models.flatMap(({name, adapters}) =>
    [...adapters].map(
      ([adapter, version]) =>
        [adapterKey(name, adapter), {version, readyAt: 0, fresh: false}] as const
    )
  )
  return {
    models: new Set(backend.models.map(({name}) => name)),
    places: new Map(places),
    load: 0,
    toldAt: 0
  }
}

/** Takes a picture of engines: what was known of them is replaced. */
export function takePicture(
  box: BoxServing,
  engines: readonly EngineNews[],
  now: number
): void {
  for (const {engine, models, places} of engines) {
    const before = box.engines.get(engine)
    const view = createView(models, before?.load ?? 0)
    addPlaces(view, places, before, now)
    box.engines.set(engine, view)
    view.toldAt = now
    noteHeld(box, engine, view.places.keys(), now)
  }
}

/** Takes what changed on engines. */
export function takeChanges(
  box: BoxServing,
  changes: readonly EngineChange[],
  now: number
): void {
  for (const {engine, models, places, gone} of changes) {
    const view = box.engines.get(engine) ?? createView([], 0)
    box.engines.set(engine, view)
    if (models) view.models = new Set(models)
    for (const adapter of gone) view.places.delete(adapter)
    addPlaces(view, places, view, now)
    view.toldAt = now
    noteHeld(
      box,
      engine,
      places.map(({adapter}) => adapter),
      now
    )
  }
}

/** Takes the work that waits at each engine. */
export function takeLoads(
  box: BoxServing,
  {order, hundreds, tokensPerMs}: EngineLoads
): void {
  if (order) box.loadOrder = order
  if (tokensPerMs !== undefined) box.tokensPerMs = tokensPerMs
  for (const [i, engine] of box.loadOrder.entries()) {
    const view = box.engines.get(engine)
    if (view) view.load = toTokens(hundreds[i] ?? 0)
  }
}

function createView(models: readonly string[], load: number): EngineView {
  return {models: new Set(models), places: new Map(), load, toldAt: 0}
}

function addPlaces(
  view: EngineView,
  places: EngineNews["places"],
  before: EngineView | undefined,
  now: number
): void {
  for (const {adapter, version, readyInMs} of places) {
    const known = before?.places.get(adapter)
    const fresh = readyInMs > 0 || (known !== undefined && isFresh(known, now))
    view.places.set(adapter, {version, readyAt: now + readyInMs, fresh})
  }
}

function isFresh({fresh, readyAt}: PlaceView, now: number): boolean {
  return fresh && now - readyAt < FRESH_MS
}

function noteHeld(
  box: BoxServing,
  engine: string,
  adapters: Iterable<string>,
  now: number
): void {
  const held = box.held.get(engine) ?? new Map<string, number>()
  box.held.set(engine, held)
  for (const adapter of adapters) {
    held.delete(adapter)
    held.set(adapter, now)
  }
  for (const oldest of held.keys()) {
    if (held.size <= MAX_HELD) return
    held.delete(oldest)
  }
}
