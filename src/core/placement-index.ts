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
}

/** Counts for the plan that begins. */
export function indexFleet(fleet: Fleet): FleetIndex {
  const holders = new Map<string, number>()
  for (const {places} of fleet.engines.values()) {
    for (const adapter of places.keys()) {
      holders.set(adapter, (holders.get(adapter) ?? 0) + 1)
    }
  }
  const awaited = new Set<string>()
  for (const {need} of fleet.waiting.values()) {
    if (need.adapter !== undefined) awaited.add(adapterKey(need.model, need.adapter))
  }
  return {holders, awaited, expected: new Map()}
}

/** Engines that hold an adapter, at least one. */
export function countHolders({index}: Fleet, adapter: string): number {
  return Math.max(1, index.holders.get(adapter) ?? 0)
}

/** Notes that the plan gave an adapter to one more engine. */
export function noteHolder({index}: Fleet, engine: FleetEngine, adapter: string): void {
  index.holders.set(adapter, (index.holders.get(adapter) ?? 0) + 1)
  index.expected.delete(engine.id)
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
