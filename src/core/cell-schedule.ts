/** A scheduling pass over a cell: grants requests, and starts loads and evictions. */
import {REQUEST_CLASSES} from "../types/config.js"
import {countWhere} from "../utils/collections.js"
import {type CellContext, isUsable, refuse, RETRY_AFTER_MS} from "./cell-context.js"
import {finishEvictions} from "./cell-evict.js"
import {startLoads} from "./cell-load.js"
import {decide} from "./cell-policy.js"
import {countRunningOn} from "./cell-reports.js"
import {addHolder} from "./cell-requests.js"
import {
  type CellDraft,
  type Engine,
  pairKey,
  setAdapter,
  updateEngine,
  type WaitingRequest
} from "./cell-state.js"
import {createEngineView, createRequestView} from "./cell-views.js"

/** Capacity of the token bucket that limits loads. */
const MAX_LOAD_TOKENS = 2

/** Refuses expired requests, grants what can be served, and loads missing adapters. */
export function scheduleCell(draft: CellDraft, context: CellContext): void {
  refillTokens(draft, context)
  expireWaiting(draft)
  const wanted = grantWaiting(draft, context)
  if (wanted.size > 0) startLoads(draft, context, wanted)
  finishEvictions(draft, context)
}

function refillTokens(draft: CellDraft, {loadsPerSecond}: CellContext): void {
  const gained = ((draft.now - draft.loadTokensAt) / 1000) * loadsPerSecond
  draft.loadTokens = Math.min(MAX_LOAD_TOKENS, draft.loadTokens + gained)
  draft.loadTokensAt = draft.now
}

function expireWaiting(draft: CellDraft): void {
  for (const waiting of draft.waiting.values()) {
    if (waiting.expiresAt <= draft.now)
      refuse(draft, waiting, "no-capacity", RETRY_AFTER_MS)
  }
}

/** Grants waiting requests; returns the adapters that need a load, most urgent first. */
function grantWaiting(
  draft: CellDraft,
  context: CellContext
): Map<string, WaitingRequest> {
  const wanted = new Map<string, WaitingRequest>()
  const unservable = new Set<string>()
  if (draft.waiting.size === 0) return wanted
  for (const waiting of sortByDueTime(draft, context)) {
    if (hasReachedLimit(draft, context, waiting)) continue
    if (!unservable.has(waiting.model) && tryGrant(draft, context, waiting)) continue
    unservable.add(waiting.model)
    if (!wanted.has(waiting.model)) wanted.set(waiting.model, waiting)
  }
  return wanted
}

function sortByDueTime(draft: CellDraft, context: CellContext): WaitingRequest[] {
  const slack = decide(
    draft,
    context,
    policy => new Map(REQUEST_CLASSES.map(name => [name, policy.slackMs(name)] as const))
  )
  const dueOf = (waiting: WaitingRequest) =>
    waiting.arrivedAt + (slack.get(waiting.class) ?? 0)
  return [...draft.waiting.values()].sort((a, b) => dueOf(a) - dueOf(b))
}

function tryGrant(
  draft: CellDraft,
  context: CellContext,
  waiting: WaitingRequest
): boolean {
  const ready = [...draft.engines].filter(([, engine]) =>
    canServe(draft, engine, waiting.model)
  )
  const views = ready
    .map(([id, engine]) => createEngineView(draft, id, engine, waiting.prefix))
    .filter(view => view.running < view.maxBatch)
  if (views.length === 0) return false
  const request = createRequestView(draft, waiting)
  const ranked = decide(draft, context, policy => policy.rankServing(views, request))
  const engineId = ranked.find(id => views.some(view => view.id === id)) ?? views[0]?.id
  if (engineId === undefined) return false
  grant(draft, waiting, engineId)
  return true
}

/** Whether the organisation runs as many requests of the class as the policy allows. */
function hasReachedLimit(
  draft: CellDraft,
  context: CellContext,
  {organisation, class: requestClass}: WaitingRequest
): boolean {
  const limit = decide(draft, context, policy => policy.limit(organisation, requestClass))
  if (limit === Infinity) return false
  const running = countWhere(
    draft.running.values(),
    request => request.organisation === organisation && request.class === requestClass
  )
  return running >= limit
}

function canServe(draft: CellDraft, engine: Engine, model: string): boolean {
  if (!isUsable(draft, engine)) return false
  const phase = engine.adapters.get(model)?.phase
  return phase === "loaded" || phase === "draining"
}

function grant(draft: CellDraft, waiting: WaitingRequest, engine: string): void {
  const {request, entry, model, organisation} = waiting
  draft.waiting.delete(request)
  draft.lastGrant++
  draft.running.set(request, {
    request,
    entry,
    engine,
    model,
    organisation,
    class: waiting.class
  })
  addHolder(draft, pairKey(engine, model), entry, draft.lastGrant)
  recordPeakRunning(draft, engine)
  setAdapter(draft, engine, model, {
    phase: "loaded",
    phaseSetAt: draft.now,
    lastUsed: draft.now
  })
  draft.effects.push({
    type: "send",
    to: entry,
    message: {
      t: "grant",
      cell: draft.base.id,
      fence: draft.base.fence,
      request,
      engine,
      model,
      grant: draft.lastGrant,
      stallMs: waiting.cold ? draft.now - waiting.arrivedAt : 0,
      fillPercent: fillPercentOf(draft, engine)
    }
  })
}

function recordPeakRunning(draft: CellDraft, id: string): void {
  const peak = draft.engines.get(id)?.peakRunning ?? 0
  updateEngine(draft, id, {peakRunning: Math.max(peak, countRunningOn(draft, id))})
}

function fillPercentOf(draft: CellDraft, engineId: string): number {
  const maxBatch = draft.engines.get(engineId)?.server.maxBatch ?? 1
  return Math.round((countRunningOn(draft, engineId) / maxBatch) * 100)
}
