/** Handles messages of entries to a cell, and the removal of entries that are gone. */
import type {GrantRequest, Done, Inventory, Release} from "../types/messages.js"
import {
  type CellDraft,
  logEvent,
  pairKey,
  setAdapter,
  updateEngine
} from "./cell-state.js"
import {withoutItem} from "../utils/collections.js"
import {POPULARITY_HALF_LIFE_MS} from "./policy.js"

/** How long an engine gets no requests or loads after it refused a request. */
const AVOID_REFUSING_ENGINE_MS = 500

/** Queues a request until an engine that has its adapter loaded can serve it. */
export function queueRequest(draft: CellDraft, entry: string, ask: GrantRequest): void {
  if (draft.running.has(ask.request) || draft.waiting.has(ask.request)) return
  draft.waiting.set(ask.request, {
    request: ask.request,
    entry,
    organisation: ask.organisation,
    class: ask.class,
    model: ask.model,
    prefix: ask.prefix ?? "",
    arrivedAt: draft.now,
    expiresAt: draft.now + ask.patienceMs,
    cold: !isLoaded(draft, ask.model)
  })
  recordDemand(draft, ask.model)
}

/** Records the end of a request; "not-loaded" means that the engine lost the adapter. */
export function handleDone(draft: CellDraft, entry: string, done: Done): void {
  const running = draft.running.get(done.request)
  if (running?.entry === entry) draft.running.delete(done.request)
  if (done.result === "not-loaded" && running)
    markDoubtful(draft, done.engine, running.model)
  if (done.result === "refused") {
    updateEngine(draft, done.engine, {
      nextListAt: draft.now,
      avoidUntil: draft.now + AVOID_REFUSING_ENGINE_MS
    })
  }
}

/** Removes a holder of an adapter, unless a newer grant crossed the release. */
export function handleRelease(draft: CellDraft, entry: string, release: Release): void {
  if (release.fence !== draft.base.fence) return
  const key = pairKey(release.engine, release.model)
  const lastGrant = draft.holders.get(key)?.get(entry)
  if (lastGrant === undefined || release.grant < lastGrant) return
  removeHolder(draft, key, entry)
}

/** Replaces the recorded state of an entry by its inventory. */
export function handleInventory(
  draft: CellDraft,
  entry: string,
  inventory: Inventory
): void {
  if (inventory.fence !== draft.base.fence) return
  removeEntry(draft, entry)
  // The entry is linked again: cancels ordered before don't cover its new requests.
  for (const [id, {cancelled, cancelling}] of draft.engines) {
    updateEngine(draft, id, {
      cancelled: withoutItem(cancelled, entry),
      cancelling: withoutItem(cancelling, entry)
    })
  }
  for (const {request, engine, model} of inventory.running) {
    draft.running.set(request, {request, entry, engine, model})
    addHolder(draft, pairKey(engine, model), entry, 0)
  }
  for (const {engine, model} of inventory.held) {
    addHolder(draft, pairKey(engine, model), entry, 0)
  }
}

/** Removes the waiting requests of an entry; it sends them again over its next link. */
export function removeWaiting(draft: CellDraft, entry: string): void {
  for (const [id, waiting] of draft.waiting) {
    if (waiting.entry === entry) draft.waiting.delete(id)
  }
}

/** Removes an entry that certainly has nothing in progress. */
export function removeEntry(draft: CellDraft, entry: string): void {
  removeWaiting(draft, entry)
  for (const [id, running] of draft.running) {
    if (running.entry === entry) draft.running.delete(id)
  }
  for (const key of [...draft.holders.keys()]) removeHolder(draft, key, entry)
  if (draft.awaitedInventories.has(entry)) {
    const awaited = new Set(draft.awaitedInventories)
    awaited.delete(entry)
    draft.awaitedInventories = awaited
  }
}

/** Removes an entry that was found to be gone. */
export function handleEntryGone(draft: CellDraft, entry: string, evidence: string): void {
  removeEntry(draft, entry)
  logEvent(draft, "entry-gone", {entry, evidence})
}

/** Adds an entry to the holders of an adapter on an engine. */
export function addHolder(
  draft: CellDraft,
  key: string,
  entry: string,
  grant: number
): void {
  draft.holders.set(key, new Map(draft.holders.get(key)).set(entry, grant))
}

/** Removes an entry from the holders of an adapter on an engine. */
export function removeHolder(draft: CellDraft, key: string, entry: string): void {
  const holders = draft.holders.get(key)
  if (!holders?.has(entry)) return
  const rest = new Map(holders)
  rest.delete(entry)
  if (rest.size > 0) draft.holders.set(key, rest)
  else draft.holders.delete(key)
}

/** The decayed request count of an adapter. */
export function popularityOf(draft: CellDraft, model: string): number {
  const popularity = draft.popularity.get(model)
  if (!popularity) return 0
  return popularity.score * 2 ** (-(draft.now - popularity.at) / POPULARITY_HALF_LIFE_MS)
}

function recordDemand(draft: CellDraft, model: string): void {
  draft.popularity.set(model, {score: popularityOf(draft, model) + 1, at: draft.now})
}

function isLoaded(draft: CellDraft, model: string): boolean {
  for (const engine of draft.engines.values()) {
    const phase = engine.adapters.get(model)?.phase
    if (phase === "loaded" || phase === "draining") return true
  }
  return false
}

function markDoubtful(draft: CellDraft, engineId: string, model: string): void {
  const engine = draft.engines.get(engineId)
  const adapter = engine?.adapters.get(model)
  if (!engine || adapter?.phase !== "loaded") return
  setAdapter(draft, engineId, model, {
    ...adapter,
    phase: "doubtful",
    phaseSetAt: draft.now
  })
  updateEngine(draft, engineId, {nextListAt: draft.now})
  logEvent(draft, "engine-restarted", {engine: engineId, model})
}
