/**
 * Evictions. An adapter in use must never be unloaded, so it is first recalled from the
 * entries that hold it, and it stays loaded unless every holder is known to have released
 * it.
 */
import {
  type CellDraft,
  type Engine,
  type EngineAdapter,
  sendOrder,
  logEvent,
  pairKey,
  setAdapter,
  updateEngine
} from "./cell-state.js"
import {decide, nameOfDecidingPolicy} from "./cell-policy.js"
import type {CellContext} from "./cell-context.js"
import {createEngineView} from "./cell-views.js"

/** How long entries have to release a recalled adapter before it is kept. */
const RECALL_TIMEOUT_MS = 1_000

/** Counts the slots that are being freed. Each serves one wanted load. */
export function countFreeingSlots(draft: CellDraft): number {
  let count = 0
  for (const engine of draft.engines.values()) {
    for (const {phase} of engine.adapters.values()) {
      if (phase === "draining" || phase === "unloading") count++
    }
  }
  return count
}

/** Recalls a victim from its holders, on the best-ranked engine that has one. */
export function startEviction(
  draft: CellDraft,
  context: CellContext,
  ranked: readonly string[]
): void {
  if (!context.mayEvict) return
  for (const engineId of ranked) {
    const engine = draft.engines.get(engineId)
    if (!engine || isEvictionBlocked(draft, context, engineId, engine)) continue
    const victim = pickVictim(draft, context, engineId, engine)
    if (victim === undefined) continue
    recall(draft, context, engineId, engine, victim)
    return
  }
}

/** Unloads recalled adapters that were released; keeps those not released in time. */
export function finishEvictions(draft: CellDraft, context: CellContext): void {
  for (const [engineId, engine] of draft.engines) {
    for (const [model, adapter] of engine.adapters) {
      if (adapter.phase === "draining")
        finishEviction(draft, context, engineId, engine, model, adapter)
    }
  }
}

function finishEviction(
  draft: CellDraft,
  context: CellContext,
  engineId: string,
  engine: Engine,
  model: string,
  adapter: EngineAdapter
): void {
  const holders = draft.holders.get(pairKey(engineId, model))
  const blocked = isEvictionBlocked(draft, context, engineId, engine)
  if (context.mayEvict && !blocked && !holders && !isRunning(draft, engineId, model)) {
    setAdapter(draft, engineId, model, {
      ...adapter,
      phase: "unloading",
      phaseSetAt: draft.now
    })
    sendOrder(draft, engineId, {order: "unload", model})
    return
  }
  if (draft.now - adapter.phaseSetAt < RECALL_TIMEOUT_MS) return
  setAdapter(draft, engineId, model, {
    phase: "loaded",
    phaseSetAt: draft.now,
    lastUsed: draft.now
  })
  logEvent(draft, "eviction-held", {engine: engineId, model, holders: holders?.size ?? 0})
}

function pickVictim(
  draft: CellDraft,
  context: CellContext,
  engineId: string,
  engine: Engine
): string | undefined {
  const view = createEngineView(draft, engineId, engine)
  const ranked = decide(draft, context, policy => policy.rankVictims(view, draft.now))
  return ranked.find(model => {
    if (engine.adapters.get(model)?.phase !== "loaded") return false
    if (isRunning(draft, engineId, model) || view.models.get(model)?.waiting) return false
    return !isHeldBySilent(draft, context, engineId, model)
  })
}

function recall(
  draft: CellDraft,
  context: CellContext,
  engineId: string,
  engine: Engine,
  model: string
): void {
  const adapter = engine.adapters.get(model)
  if (!adapter) return
  setAdapter(draft, engineId, model, {
    ...adapter,
    phase: "draining",
    phaseSetAt: draft.now
  })
  const policy = nameOfDecidingPolicy(draft, context)
  logEvent(draft, "recall", {engine: engineId, model, policy})
  const {id: cell, fence} = draft.base
  for (const entry of draft.holders.get(pairKey(engineId, model))?.keys() ?? []) {
    draft.effects.push({
      type: "send",
      to: entry,
      message: {t: "recall", cell, fence, engine: engineId, model}
    })
  }
}

function isRunning(draft: CellDraft, engineId: string, model: string): boolean {
  for (const running of draft.running.values()) {
    if (running.engine === engineId && running.model === model) return true
  }
  return false
}

/** Whether an entry without a live link holds the adapter: it can't receive a recall. */
function isHeldBySilent(
  draft: CellDraft,
  context: CellContext,
  engineId: string,
  model: string
): boolean {
  for (const entry of draft.holders.get(pairKey(engineId, model))?.keys() ?? []) {
    if (context.silentSince.has(entry)) return true
  }
  return false
}

/**
 * Whether evictions on the engine must wait because an entry that has sent no inventory
 * may be using it. Also orders cancels for silent entries.
 */
function isEvictionBlocked(
  draft: CellDraft,
  context: CellContext,
  engineId: string,
  engine: Engine
): boolean {
  cancelSilent(draft, context, engineId, engine)
  for (const entry of draft.awaitedInventories)
    if (!engine.cancelled.has(entry)) return true
  return false
}

/** Cancels the requests of silent entries on an engine that checks fencing tokens. */
function cancelSilent(
  draft: CellDraft,
  context: CellContext,
  engineId: string,
  engine: Engine
): void {
  if (!engine.server.checksFences || !context.mayEvict) return
  for (const [entry, since] of context.silentSince) {
    if (draft.now - since < context.timing.entrySilentMs) continue
    if (engine.cancelled.has(entry) || engine.cancelling.has(entry)) continue
    if (!mayBeUsing(draft, engineId, engine, entry)) continue
    updateEngine(draft, engineId, {cancelling: new Set(engine.cancelling).add(entry)})
    sendOrder(draft, engineId, {order: "cancel", entry, grant: draft.lastGrant})
  }
}

function mayBeUsing(
  draft: CellDraft,
  engineId: string,
  engine: Engine,
  entry: string
): boolean {
  if (draft.awaitedInventories.has(entry)) return true
  for (const model of engine.adapters.keys()) {
    if (draft.holders.get(pairKey(engineId, model))?.has(entry)) return true
  }
  return false
}
