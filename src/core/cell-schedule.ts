/** Who is served where, what is loaded, and what goes: one pass over a cell's waiting requests. */
import {REQUEST_CLASSES} from "../types/config.js"
import {countWhere} from "../utils/collections.js"
import {type CellContext, isUsable, refuse, RETRY_AFTER_MS} from "./cell-context.js"
import {drainPairs} from "./cell-evict.js"
import {loadWanted} from "./cell-load.js"
import {decide} from "./cell-policy.js"
import {countRunningOn} from "./cell-reports.js"
import {addHolder} from "./cell-requests.js"
import {
  type CellDraft,
  type Engine,
  pairKey,
  setPair,
  updateEngine,
  type Waiting
} from "./cell-state.js"
import {viewEngine, viewRequest} from "./cell-views.js"

/** Loads that may be saved up while nobody needs one. */
const MAX_TOKENS = 2

/** Gives up what waited too long, serves what can be served, loads what is missing. */
export function scheduleCell(draft: CellDraft, context: CellContext): void {
  refillTokens(draft, context)
  expireWaiting(draft)
  const wanted = serveWaiting(draft, context)
  if (wanted.size > 0) loadWanted(draft, context, wanted)
  drainPairs(draft, context)
}

function refillTokens(draft: CellDraft, {loadsPerSecond}: CellContext): void {
  const gained = ((draft.now - draft.tokensAt) / 1000) * loadsPerSecond
  draft.tokens = Math.min(MAX_TOKENS, draft.tokens + gained)
  draft.tokensAt = draft.now
}

function expireWaiting(draft: CellDraft): void {
  for (const waiting of draft.waiting.values()) {
    if (waiting.giveUpAt <= draft.now)
      refuse(draft, waiting, "no-capacity", RETRY_AFTER_MS)
  }
}

/** Grants what it can; returns the adapters that want a load, most urgent first. */
function serveWaiting(draft: CellDraft, context: CellContext): Map<string, Waiting> {
  const wanted = new Map<string, Waiting>()
  const full = new Set<string>()
  if (draft.waiting.size === 0) return wanted
  for (const waiting of inOrderOfDue(draft, context)) {
    if (isLimited(draft, context, waiting)) continue
    if (!full.has(waiting.model) && grantOne(draft, context, waiting)) continue
    full.add(waiting.model)
    if (!wanted.has(waiting.model)) wanted.set(waiting.model, waiting)
  }
  return wanted
}

function inOrderOfDue(draft: CellDraft, context: CellContext): Waiting[] {
  const slack = decide(
    draft,
    context,
    policy => new Map(REQUEST_CLASSES.map(name => [name, policy.slackMs(name)] as const))
  )
  const dueOf = (waiting: Waiting) => waiting.arrivedAt + (slack.get(waiting.class) ?? 0)
  return [...draft.waiting.values()].sort((a, b) => dueOf(a) - dueOf(b))
}

function grantOne(draft: CellDraft, context: CellContext, waiting: Waiting): boolean {
  const ready = [...draft.engines].filter(([, engine]) =>
    canServe(draft, engine, waiting.model)
  )
  const views = ready
    .map(([id, engine]) => viewEngine(draft, id, engine, waiting.prefix))
    .filter(view => view.running < view.maxBatch)
  if (views.length === 0) return false
  const request = viewRequest(draft, waiting)
  const ranked = decide(draft, context, policy => policy.rankServing(views, request))
  const engineId = ranked.find(id => views.some(view => view.id === id)) ?? views[0]?.id
  if (engineId === undefined) return false
  grant(draft, waiting, engineId)
  return true
}

/** Whether the organisation and class have as many requests in progress as the policy lets them. */
function isLimited(
  draft: CellDraft,
  context: CellContext,
  {organisation, class: requestClass}: Waiting
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
  const phase = engine.pairs.get(model)?.phase
  return phase === "loaded" || phase === "draining"
}

function grant(draft: CellDraft, waiting: Waiting, engine: string): void {
  const {request, entry, model, organisation} = waiting
  draft.waiting.delete(request)
  draft.grants++
  draft.running.set(request, {
    request,
    entry,
    engine,
    model,
    organisation,
    class: waiting.class
  })
  addHolder(draft, pairKey(engine, model), entry, draft.grants)
  notePeak(draft, engine)
  setPair(draft, engine, model, {phase: "loaded", since: draft.now, lastUsed: draft.now})
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
      grant: draft.grants,
      stallMs: waiting.cold ? draft.now - waiting.arrivedAt : 0,
      fillPercent: fillOf(draft, engine)
    }
  })
}

function notePeak(draft: CellDraft, id: string): void {
  const known = draft.engines.get(id)?.peakRunning ?? 0
  updateEngine(draft, id, {peakRunning: Math.max(known, countRunningOn(draft, id))})
}

function fillOf(draft: CellDraft, engineId: string): number {
  const maxBatch = draft.engines.get(engineId)?.server.maxBatch ?? 1
  return Math.round((countRunningOn(draft, engineId) / maxBatch) * 100)
}
