/**
 * A box's view of engines: the adapters they hold and the work that waits there, from the
 * leader's full snapshot and deltas, or from what engines report themselves. The view
 * outlasts the leader: without one, boxes go on sending requests to the engines that hold
 * the adapters.
 */
import type {EngineDelta, PrefillBacklog, EngineSnapshot} from "../types/box-messages.js"
import {adapterKey, type BackendRecord, type EngineLimits} from "../types/fleet.js"
import type {BoxServing} from "./box-state.js"
import {recordHolding, resetServiceIndex} from "./box-holders.js"
import {percentToSpeed} from "./engine-speeds.js"
import {mostCachedAdapters} from "./placement-cache.js"
import {hundredsToTokens} from "./placement-updates.js"

/** A slot of an engine, as this box sees it. */
export interface SlotView {
  readonly version: number
  readonly readyAt: number
  /** Loaded recently: a refusal may mean that the weights are still loading. */
  readonly fresh: boolean
}

/** An engine as the leader or the engine itself reported it. */
export interface EngineView {
  models: ReadonlySet<string>
  readonly slots: Map<string, SlotView>
  /** Prompt tokens that wait there for prefill. */
  waitingTokens: number
  /** Requests in progress there, from all boxes. */
  running: number
  /** Its speed as a part of the median engine's. */
  speed: number
  updatedAt: number
}

/** How long a slot counts as fresh after it became ready. */
const FRESH_MS = 400

/** Returns the view of an engine: from the leader, else from the engine's own record. */
export function engineViewOf(box: BoxServing, backend: BackendRecord): EngineView {
  const known = box.engines.get(backend.id)
  if (known) return known
  const slots = backend.models.flatMap(({name, adapters}) =>
    [...adapters].map(
      ([adapter, version]) =>
        [adapterKey(name, adapter), {version, readyAt: 0, fresh: false}] as const
    )
  )
  return {
    models: new Set(backend.models.map(({name}) => name)),
    slots: new Map(slots),
    waitingTokens: 0,
    running: 0,
    speed: 1,
    updatedAt: 0
  }
}

/** Applies a full snapshot of engines, which replaces their views. */
export function applyFullSnapshot(
  box: BoxServing,
  engines: readonly EngineSnapshot[],
  now: number
): void {
  for (const {engine, models, places} of engines) {
    const previous = box.engines.get(engine)
    const view = createView(models, previous)
    if (!previous) resetServiceIndex(box)
    box.engines.set(engine, view)
    addSlots(box, engine, view, places, previous, now)
    view.updatedAt = now
    recordHeldAdapters(box, engine, view.slots.keys(), now)
  }
}

/** Applies deltas of engines. */
export function applyEngineDeltas(
  box: BoxServing,
  changes: readonly EngineDelta[],
  now: number
): void {
  for (const {engine, models, places, gone} of changes) {
    const known = box.engines.get(engine)
    if (!known) resetServiceIndex(box)
    const view = known ?? createView([], undefined)
    box.engines.set(engine, view)
    if (models) view.models = new Set(models)
    for (const adapter of gone) view.slots.delete(adapter)
    addSlots(box, engine, view, places, view, now)
    view.updatedAt = now
    recordHeldAdapters(
      box,
      engine,
      places.map(({adapter}) => adapter),
      now
    )
  }
}

/** Applies the reported load of each engine. */
export function applyEngineLoads(
  box: BoxServing,
  {order, hundreds, tokensPerMs, leastLoadMs, running, speeds}: PrefillBacklog
): void {
  if (order) box.engineOrder = order
  if (tokensPerMs !== undefined) box.prefillTokensPerMs = tokensPerMs
  if (leastLoadMs !== undefined) box.leastLoadMs = leastLoadMs
  for (const [i, engine] of box.engineOrder.entries()) {
    const view = box.engines.get(engine)
    if (!view) continue
    view.waitingTokens = hundredsToTokens(hundreds[i] ?? 0)
    view.running = running?.[i] ?? 0
    view.speed = percentToSpeed(speeds?.[i])
  }
}

function createView(
  models: readonly string[],
  previous: EngineView | undefined
): EngineView {
  return {
    models: new Set(models),
    slots: new Map(),
    waitingTokens: previous?.waitingTokens ?? 0,
    running: previous?.running ?? 0,
    speed: previous?.speed ?? 1,
    updatedAt: 0
  }
}

function addSlots(
  box: BoxServing,
  engine: string,
  view: EngineView,
  places: EngineSnapshot["places"],
  previous: EngineView | undefined,
  now: number
): void {
  for (const {adapter, version, readyInMs} of places) {
    const earlier = previous?.slots.get(adapter)
    const fresh = readyInMs > 0 || (earlier !== undefined && isFresh(earlier, now))
    view.slots.set(adapter, {version, readyAt: now + readyInMs, fresh})
    recordHolding(box, engine, adapter)
  }
}

function isFresh({fresh, readyAt}: SlotView, now: number): boolean {
  return fresh && now - readyAt < FRESH_MS
}

function recordHeldAdapters(
  box: BoxServing,
  engine: string,
  adapters: Iterable<string>,
  now: number
): void {
  const recent = box.recentAdapters.get(engine) ?? new Map<string, number>()
  box.recentAdapters.set(engine, recent)
  for (const adapter of adapters) {
    recent.delete(adapter)
    recent.set(adapter, now)
  }
  const most = mostCachedAdapters(limitsOf(box, engine))
  for (const oldest of recent.keys()) {
    if (recent.size <= most) return
    recent.delete(oldest)
  }
}

function limitsOf(box: BoxServing, engine: string): EngineLimits | undefined {
  const service = box.backends.known.get(engine)?.record.service ?? ""
  return box.table?.services.get(service)?.engine
}
