/**
 * Which boxes are told what of engines. A few boxes are told every change. Many are told only what
 * they wait for: what the leader sends then grows with the requests, not with boxes times changes.
 */
import type {EngineNews} from "../types/box-messages.js"
import {adapterKey} from "../types/fleet.js"
import {describeEngine, type Fleet, type FleetEngine} from "./placement-state.js"

/** Boxes up to which all are told all. */
const MAX_PUSH_BOXES = 16

/** How often loads alone are told, milliseconds: they change with each request. */
const LOADS_MS = 100

/** Whether every box is told every change. */
export function pushesNews({boxes}: {readonly boxes: number}): boolean {
  return boxes <= MAX_PUSH_BOXES
}

/** Tells what changed since it was told last. */
export function tellNews(fleet: Fleet, now: number): void {
  const withLoads = now - fleet.loadsToldAt >= LOADS_MS
  const changed = [...fleet.engines.values()].filter(
    ({changed, loadChanged}) => changed || (withLoads && loadChanged)
  )
  if (withLoads) fleet.loadsToldAt = now
  if (changed.length === 0) return
  const moved = changed.filter(engine => engine.changed)
  for (const engine of changed) {
    engine.changed = false
    engine.loadChanged = false
  }
  if (pushesNews(fleet)) {
    const engines = changed.map(each => describeEngine(each, now))
    fleet.effects.push({type: "news", engines})
  } else tellWaiting(fleet, moved, now)
}

/** Tells a box that waits where its adapter is, or will be. */
export function answerNeed(
  fleet: Fleet,
  box: string,
  adapter: string,
  now: number
): void {
  if (pushesNews(fleet)) return
  const engines = [...fleet.engines.values()]
    .filter(({places}) => (places.get(adapter)?.phase ?? "unloading") !== "unloading")
    .map(engine => describeEngine(engine, now))
  if (engines.length > 0) fleet.effects.push({type: "news", engines, boxes: [box]})
}

function tellWaiting(fleet: Fleet, moved: readonly FleetEngine[], now: number): void {
  for (const engine of moved) {
    const boxes = new Set<string>()
    for (const {box, need} of fleet.waiting.values()) {
      if (need.adapter === undefined) continue
      if (engine.places.has(adapterKey(need.model, need.adapter))) boxes.add(box)
    }
    if (boxes.size === 0) continue
    const engines = [describeEngine(engine, now)]
    fleet.effects.push({type: "news", engines, boxes: [...boxes]})
  }
}

/** All that is known, for a box that is new. */
export function describeFleet(fleet: Fleet, now: number): EngineNews[] {
  return [...fleet.engines.values()].map(engine => describeEngine(engine, now))
}
