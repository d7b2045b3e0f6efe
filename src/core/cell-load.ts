/** Starts loads of adapters, within the cell's share of the load budget. */
import {resolveModel} from "./configuration.js"
import {type CellContext, isUsable, refuse, RETRY_AFTER_MS} from "./cell-context.js"
import {countFreeingSlots, startEviction} from "./cell-evict.js"
import {decide, nameOfDecidingPolicy} from "./cell-policy.js"
import {popularityOf} from "./cell-requests.js"
import {
  type CellDraft,
  sendOrder,
  logEvent,
  setAdapter,
  type WaitingRequest
} from "./cell-state.js"
import {createEngineView, createRequestView, countWaitingFor} from "./cell-views.js"
import type {EngineView} from "./policy.js"

/** Loads the wanted adapters, most urgent first; starts evictions if no slot is free. */
export function startLoads(
  draft: CellDraft,
  context: CellContext,
  wanted: ReadonlyMap<string, WaitingRequest>
): void {
  let freeing = countFreeingSlots(draft)
  // A slot is freed only for a load that the budget allows.
  let budget = Math.min(
    Math.floor(draft.loadTokens),
    context.loadsAtOnce - countLoading(draft)
  )
  for (const [model, waiting] of wanted) {
    if (refuseUnloadable(draft, context, model)) continue
    if (!shouldLoad(draft, context, model)) continue
    if (budget <= 0) return
    if (budget <= reservedLoadsFor(draft, context, waiting)) continue
    budget--
    if (loadOnFreeSlot(draft, context, waiting)) continue
    if (freeing > 0) freeing--
    else startEviction(draft, context, rankForLoading(draft, context, waiting))
  }
}

/** Loads that a request within its slack leaves to requests whose slack is over. */
function reservedLoadsFor(
  draft: CellDraft,
  context: CellContext,
  waiting: WaitingRequest
): number {
  const {reservedLoads, slackMs} = decide(draft, context, policy => ({
    reservedLoads: policy.reservedLoads,
    slackMs: policy.slackMs(waiting.class)
  }))
  const isDue = waiting.arrivedAt + slackMs <= draft.now
  // A reserve as large as the budget would block all requests within their slack.
  return isDue || context.loadsAtOnce <= reservedLoads ? 0 : reservedLoads
}

/**
 * Returns whether an adapter can't be loaded now. Refuses its requests if its
 * configuration is missing, and those that expire before the next attempt.
 */
function refuseUnloadable(
  draft: CellDraft,
  context: CellContext,
  model: string
): boolean {
  const resolved = resolveModel(context.config, model)
  const failure = draft.failures.get(model)
  if (resolved && !(failure && failure.retryAt > draft.now)) return false
  for (const waiting of draft.waiting.values()) {
    if (waiting.model !== model) continue
    const wait = failure ? failure.retryAt - draft.now : RETRY_AFTER_MS
    if (!resolved || waiting.expiresAt <= draft.now + wait) {
      refuse(draft, waiting, "load-failed", wait)
    }
  }
  return true
}

/** Whether to load an adapter: no engine has it, or the policy wants it on one more. */
function shouldLoad(draft: CellDraft, context: CellContext, model: string): boolean {
  let copies = 0
  let usable = 0
  let maxBatch = Infinity
  for (const engine of draft.engines.values()) {
    if (!isUsable(draft, engine)) continue
    usable++
    const phase = engine.adapters.get(model)?.phase
    if (phase === "loading" || phase === "doubtful") return false
    if (phase !== "loaded") continue
    copies++
    maxBatch = Math.min(maxBatch, engine.server.maxBatch)
  }
  if (copies === 0) return usable > 0
  if (copies >= usable) return false
  const waiting = countWaitingFor(draft, model)
  const demand = {waiting, copies, heat: popularityOf(draft, model), maxBatch}
  return decide(draft, context, policy => policy.wantsCopy(demand))
}

function loadOnFreeSlot(
  draft: CellDraft,
  context: CellContext,
  waiting: WaitingRequest
): boolean {
  const ranked = rankForLoading(draft, context, waiting)
  const engineId = ranked.find(id => {
    const engine = draft.engines.get(id)
    return engine !== undefined && engine.adapters.size < engine.server.slots
  })
  const weights = resolveModel(context.config, waiting.model)?.weights
  if (engineId === undefined || weights === undefined) return false
  draft.loadTokens--
  setAdapter(draft, engineId, waiting.model, {
    phase: "loading",
    phaseSetAt: draft.now,
    lastUsed: draft.now
  })
  sendOrder(draft, engineId, {order: "load", model: waiting.model, weights})
  logEvent(draft, "load-started", {
    engine: engineId,
    model: waiting.model,
    policy: nameOfDecidingPolicy(draft, context)
  })
  return true
}

function rankForLoading(
  draft: CellDraft,
  context: CellContext,
  waiting: WaitingRequest
): string[] {
  const base = resolveModel(context.config, waiting.model)?.baseModel
  const views: EngineView[] = []
  for (const [id, engine] of draft.engines) {
    if (!isUsable(draft, engine)) continue
    if (engine.server.baseModel !== base || engine.adapters.has(waiting.model)) continue
    views.push(createEngineView(draft, id, engine))
  }
  const request = createRequestView(draft, waiting)
  const ranked = decide(draft, context, policy => policy.rankLoading(views, request))
  const known = new Set(views.map(view => view.id))
  return ranked.filter(id => known.has(id))
}

function countLoading(draft: CellDraft): number {
  let count = 0
  for (const engine of draft.engines.values()) {
    for (const adapter of engine.adapters.values())
      if (adapter.phase === "loading") count++
  }
  return count
}
