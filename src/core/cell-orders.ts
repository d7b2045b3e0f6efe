/** Applies the results of orders to engines to the state of a cell. */
import type {CellDraft, Engine, EngineOrder} from "./cell-state.js"
import {sendOrder, logEvent, pairKey, setAdapter, updateEngine} from "./cell-state.js"
import {type CacheReport, type LoadReport, applyReports} from "./cell-reports.js"
import {removeHolder} from "./cell-requests.js"
import type {Timing} from "./timing.js"
import {withoutItem} from "../utils/collections.js"

/** Result of an order. `lost`: the engine may or may not have executed it. */
export type OrderResult =
  | {
      readonly ok: true
      readonly models?: readonly string[]
      readonly leaving?: boolean
      readonly load?: LoadReport
      readonly cache?: CacheReport
    }
  | {
      readonly ok: false
      readonly reason: "refused" | "busy" | "no-slot" | "stale-fence" | "failed" | "lost"
    }

/** Interval between list orders to an engine when no adapter is doubtful. */
export const LIST_INTERVAL_MS = 2_000
const LIST_RETRY_MS = 250
const MAX_BACKOFF_DOUBLINGS = 5

/** Applies the result of an order that was sent at `sentAt`. */
export function handleOrderResult(
  draft: CellDraft,
  engineId: string,
  order: EngineOrder,
  result: OrderResult,
  sentAt: number,
  timing: Timing
): void {
  const engine = draft.engines.get(engineId)
  if (!engine) return
  if (order.order === "list") handleListResult(draft, engineId, engine, result, sentAt)
  if (order.order === "load")
    handleLoadResult(draft, engineId, order.model, result, timing)
  if (order.order === "unload") handleUnloadResult(draft, engineId, order.model, result)
  if (order.order === "cancel")
    handleCancelResult(draft, engineId, engine, order.entry, result)
}

/** Sends list orders to the engines that are due for one. */
export function sendListOrders(draft: CellDraft): void {
  for (const [id, engine] of draft.engines) {
    if (engine.listPending || engine.nextListAt > draft.now) continue
    updateEngine(draft, id, {listPending: true})
    sendOrder(draft, id, {order: "list", cacheAfter: engine.cacheSeq})
  }
}

function handleListResult(
  draft: CellDraft,
  id: string,
  engine: Engine,
  result: OrderResult,
  sentAt: number
): void {
  if (!result.ok) {
    updateEngine(draft, id, {listPending: false, nextListAt: draft.now + LIST_RETRY_MS})
    return
  }
  applyReports(draft, id, result.load, result.cache)
  const models = new Set(result.models ?? [])
  for (const [model, adapter] of engine.adapters) {
    // A phase set after the list order was sent is newer than the list.
    if (
      adapter.phaseSetAt >= sentAt ||
      adapter.phase === "loading" ||
      adapter.phase === "unloading"
    )
      continue
    if (models.has(model)) continue
    setAdapter(draft, id, model, undefined)
    resetCancels(draft, id)
    logEvent(draft, "engine-restarted", {engine: id, model})
  }
  for (const model of models) adoptAdapter(draft, id, engine, model)
  if (!engine.listed) logEvent(draft, "engine-listed", {engine: id, models: models.size})
  updateEngine(draft, id, {
    listed: true,
    listPending: false,
    leaving: engine.leaving || result.leaving === true,
    reportedLeaving: result.leaving === true,
    nextListAt: draft.now + LIST_INTERVAL_MS
  })
}

/**
 * Awaits the inventories of cancelled entries again: a restarted engine no longer refuses
 * their requests.
 */
function resetCancels(draft: CellDraft, id: string): void {
  const cancelled = draft.engines.get(id)?.cancelled ?? new Set()
  if (cancelled.size === 0) return
  draft.awaitedInventories = new Set([...draft.awaitedInventories, ...cancelled])
  updateEngine(draft, id, {cancelled: new Set()})
}

function adoptAdapter(draft: CellDraft, id: string, engine: Engine, model: string): void {
  const adapter = engine.adapters.get(model)
  if (adapter && adapter.phase !== "doubtful") return
  setAdapter(draft, id, model, {
    phase: "loaded",
    phaseSetAt: draft.now,
    lastUsed: adapter?.lastUsed ?? 0
  })
}

function handleLoadResult(
  draft: CellDraft,
  id: string,
  model: string,
  result: OrderResult,
  timing: Timing
): void {
  if (result.ok) {
    setAdapter(draft, id, model, {
      phase: "loaded",
      phaseSetAt: draft.now,
      lastUsed: draft.now
    })
    draft.failures.delete(model)
    logEvent(draft, "load-done", {engine: id, model})
    return
  }
  logEvent(draft, "load-failed", {engine: id, model, reason: result.reason})
  if (result.reason === "lost") markDoubtful(draft, id, model)
  else setAdapter(draft, id, model, undefined)
  if (result.reason === "failed") backOff(draft, model, timing)
  if (result.reason !== "failed") updateEngine(draft, id, {nextListAt: draft.now})
}

function backOff(draft: CellDraft, model: string, timing: Timing): void {
  const count = (draft.failures.get(model)?.count ?? 0) + 1
  const doublings = Math.min(count - 1, MAX_BACKOFF_DOUBLINGS)
  draft.failures.set(model, {
    count,
    retryAt: draft.now + timing.loadBackoffMs * 2 ** doublings
  })
}

function handleUnloadResult(
  draft: CellDraft,
  id: string,
  model: string,
  result: OrderResult
): void {
  if (result.ok) {
    setAdapter(draft, id, model, undefined)
    logEvent(draft, "evicted", {engine: id, model})
    return
  }
  if (result.reason === "busy") {
    setAdapter(draft, id, model, {
      phase: "loaded",
      phaseSetAt: draft.now,
      lastUsed: draft.now
    })
  } else {
    markDoubtful(draft, id, model)
  }
}

function handleCancelResult(
  draft: CellDraft,
  id: string,
  engine: Engine,
  entry: string,
  result: OrderResult
): void {
  updateEngine(draft, id, {cancelling: withoutItem(engine.cancelling, entry)})
  if (!result.ok || !engine.cancelling.has(entry)) return
  updateEngine(draft, id, {cancelled: new Set(engine.cancelled).add(entry)})
  for (const [requestId, running] of draft.running) {
    if (running.entry === entry && running.engine === id) draft.running.delete(requestId)
  }
  for (const model of engine.adapters.keys())
    removeHolder(draft, pairKey(id, model), entry)
}

function markDoubtful(draft: CellDraft, id: string, model: string): void {
  setAdapter(draft, id, model, {
    phase: "doubtful",
    phaseSetAt: draft.now,
    lastUsed: draft.now
  })
  updateEngine(draft, id, {nextListAt: draft.now})
}
