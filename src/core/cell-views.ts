/** Read-only views of a cell for policies. */
import type {CellDraft, Engine, WaitingRequest} from "./cell-state.js"
import {popularityOf} from "./cell-requests.js"
import type {EngineView, ModelView, RequestView} from "./policy.js"

/** Counts the requests of the cell that wait for an adapter. */
export function countWaitingFor(draft: CellDraft, model: string): number {
  let count = 0
  for (const waiting of draft.waiting.values()) if (waiting.model === model) count++
  return count
}

export function createRequestView(
  draft: CellDraft,
  waiting: WaitingRequest
): RequestView {
  const {organisation, model, arrivedAt} = waiting
  return {organisation, class: waiting.class, model, waitedMs: draft.now - arrivedAt}
}

export function createEngineView(
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
  for (const [model, adapter] of engine.adapters) {
    models.set(model, {
      running: running.get(model) ?? 0,
      waiting: countWaitingFor(draft, model),
      lastUsed: adapter.lastUsed,
      heat: popularityOf(draft, model),
      copies: countCopies(draft, model)
    })
  }
  const {dataCentre, slots, maxBatch} = engine.server
  const freeSlots = Math.max(0, slots - engine.adapters.size)
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
  for (const engine of draft.engines.values()) if (engine.adapters.has(model)) count++
  return count
}
