/**
 * What a plan looks up again and again, counted once for each plan: without it each choice of a
 * place would go through every place of every engine for every adapter it compares.
 */
import {adapterKey} from "../types/fleet.js"
import {type Fleet, type FleetEngine, heatOf} from "./placement-state.js"

/** Work that an adapter brings its engine for each use counted in its heat, tokens. */
const HEAT_TOKENS = 400

export interface FleetIndex {
  /** Engines that hold each adapter, on its way included. */
  readonly holders: Map<string, number>
  /** Adapters that requests wait for. */
  readonly awaited: ReadonlySet<string>
  /** Work that the adapters of each engine are going to bring it, tokens. */
  readonly expected: Map<string, number>
  /** Prompt tokens of the requests that wait for each adapter. */
  readonly waiting: ReadonlyMap<string, number>
  /** Prompt tokens that wait for weights on their way to each engine. */
  readonly promised: Map<string, number>
}

/** Counts for the plan that begins. */
export function indexFleet(fleet: Fleet): FleetIndex {
  const holders = new Map<string, number>()
  for (const {places} of fleet.engines.values()) {
    for (const adapter of places.keys()) {
      holders.set(adapter, (holders.get(adapter) ?? 0) + 1)
    }
  }
  const waiting = countWaiting(fleet)
  const awaited = new Set(waiting.keys())
  const promised = countPromised(fleet, waiting)
  return {holders, awaited, expected: new Map(), waiting, promised}
}

function countWaiting(fleet: Fleet): Map<string, number> {
  const waiting = new Map<string, number>()
  for (const {need} of fleet.waiting.values()) {
    if (need.adapter === undefined) continue
    const adapter = adapterKey(need.model, need.adapter)
    waiting.set(adapter, (waiting.get(adapter) ?? 0) + need.tokens)
  }
  return waiting
}

function countPromised(
  fleet: Fleet,
  waiting: ReadonlyMap<string, number>
): Map<string, number> {
  const promised = new Map<string, number>()
  for (const {id, places} of fleet.engines.values()) {
    let tokens = 0
    for (const [adapter, {phase}] of places) {
      if (phase === "loading") tokens += waiting.get(adapter) ?? 0
    }
    if (tokens > 0) promised.set(id, tokens)
  }
  return promised
}

/** Engines that hold an adapter, at least one. */
export function countHolders({index}: Fleet, adapter: string): number {
  return Math.max(1, index.holders.get(adapter) ?? 0)
}

/** Notes that the plan gave an adapter to one more engine. */
export function noteHolder({index}: Fleet, engine: FleetEngine, adapter: string): void {
  const {holders, expected, waiting, promised} = index
  holders.set(adapter, (holders.get(adapter) ?? 0) + 1)
  expected.delete(engine.id)
  const tokens = (promised.get(engine.id) ?? 0) + (waiting.get(adapter) ?? 0)
  promised.set(engine.id, tokens)
}

/**
 * Prompt tokens that wait at an engine, with those of requests whose weights are on their way to
 * it: until these are sent the engine is told of no work, and all loads of a moment would go to
 * the same idle one.
 */
export function workAt({index}: Fleet, {id, load}: FleetEngine): number {
  return load + (index.promised.get(id) ?? 0)
}

/** Work that the adapters of an engine are going to bring it, tokens. */
export function expectedWork(fleet: Fleet, engine: FleetEngine, now: number): number {
  const known = fleet.index.expected.get(engine.id)
  if (known !== undefined) return known
  let heat = 0
  for (const adapter of engine.places.keys()) {
    heat += heatOf(fleet, adapter, now) / countHolders(fleet, adapter)
  }
  const work = heat * HEAT_TOKENS
  fleet.index.expected.set(engine.id, work)
  return work
}
