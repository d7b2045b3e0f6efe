/** Read-only views of a cell for policies. */
import type {CellDraft, Engine, Waiting} from "./cell-state.js"
import {heatOf} from "./cell-requests.js"
import type {EngineView, ModelView, RequestView} from "./policy.js"

/** Counts the requests of the cell that wait for an adapter. */
export function waitingFor(draft: CellDraft, model: string): number {
  let count = 0
  for (const waiting of draft.waiting.values()) if (waiting.model === model) count++
  return count
}

export function viewRequest(draft: CellDraft, waiting: Waiting): RequestView {
  const {organisation, model, arrivedAt} = waiting
  return {organisation, class: waiting.class, model, waitedMs: draft.now - arrivedAt}
}

export function viewEngine(
  draft: CellDraft,
  id: string,
  engine: Engine,
  prefix = ""
): EngineView {
  const running = new Map<string, number>()
  let total = 0
  for (const request of draft.running.values()) {
    if (request.engine !== id) continue
    running.set(request.model, (running.get(request.model) ?? 0) + 1)
    total++
  }
  const models = new Map<string, ModelView>()
  for (const [model, adapter] of engine.pairs) {
    models.set(model, {
      running: running.get(model) ?? 0,
      waiting: waitingFor(draft, model),
      lastUsed: adapter.lastUsed,
      heat: heatOf(draft, model),
      copies: countCopies(draft, model)
    })
  }
  const {dataCentre, slots, maxBatch} = engine.server
  const freeSlots = Math.max(0, slots - engine.pairs.size)
  const cachesPrefix = prefix !== "" && engine.prefixes.has(prefix)
  return {
    id,
    dataCentre,
    slots,
    maxBatch,
    running: total,
    foreign: engine.foreign,
    cachesPrefix,
    freeSlots,
    models
  }
}

function countCopies(draft: CellDraft, model: string): number {
  let count = 0
  for (const engine of draft.engines.values()) if (engine.pairs.has(model)) count++
  return count
}
