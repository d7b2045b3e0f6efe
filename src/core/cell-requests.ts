/** What entries tell a cell: asks, ends, releases, inventories, and their disappearance. */
import type {Ask, Done, Inventory, Release} from "../types/messages.js"
import {type CellDraft, note, pairKey, setPair, updateEngine} from "./cell-state.js"
import {withoutItem} from "../utils/collections.js"
import {HEAT_HALF_LIFE_MS} from "./policy.js"

/** For how long an engine that refused a request is left alone. */
const AVOID_MS = 500

/** Queues a request until an engine that has its adapter can take it. */
export function addAsk(draft: CellDraft, entry: string, ask: Ask): void {
  if (draft.running.has(ask.request) || draft.waiting.has(ask.request)) return
  draft.waiting.set(ask.request, {
    request: ask.request,
    entry,
    organisation: ask.organisation,
    class: ask.class,
    model: ask.model,
    prefix: ask.prefix ?? "",
    arrivedAt: draft.now,
    giveUpAt: draft.now + ask.patienceMs,
    cold: !isLoaded(draft, ask.model)
  })
  warmUp(draft, ask.model)
}

/** Counts the end of a request; a "not loaded" means the engine lost what it had. */
export function endRequest(draft: CellDraft, entry: string, done: Done): void {
  const running = draft.running.get(done.request)
  if (running?.entry === entry) draft.running.delete(done.request)
  if (done.result === "not-loaded" && running)
    doubtPair(draft, done.engine, running.model)
  if (done.result === "refused") {
    updateEngine(draft, done.engine, {
      quietUntil: draft.now,
      avoidUntil: draft.now + AVOID_MS
    })
  }
}

/** Forgets that the entry may use the pair, unless it was granted again meanwhile. */
export function releasePair(draft: CellDraft, entry: string, release: Release): void {
  if (release.fence !== draft.base.fence) return
  const key = pairKey(release.engine, release.model)
  const lastGrant = draft.holders.get(key)?.get(entry)
  if (lastGrant === undefined || release.grant < lastGrant) return
  dropHolder(draft, key, entry)
}

/** Replaces all that was known of an entry by what it says itself. */
export function takeInventory(
  draft: CellDraft,
  entry: string,
  inventory: Inventory
): void {
  if (inventory.fence !== draft.base.fence) return
  forgetEntry(draft, entry)
  // It is back: a cancel under way no longer speaks for what it does from now on.
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

/** Drops the waiting requests of an entry whose link is down: it asks again if it lives. */
export function dropWaiting(draft: CellDraft, entry: string): void {
  for (const [id, waiting] of draft.waiting) {
    if (waiting.entry === entry) draft.waiting.delete(id)
  }
}

/** Forgets an entry: it is certain that nothing of its is in progress. */
export function forgetEntry(draft: CellDraft, entry: string): void {
  dropWaiting(draft, entry)
  for (const [id, running] of draft.running) {
    if (running.entry === entry) draft.running.delete(id)
  }
  for (const key of [...draft.holders.keys()]) dropHolder(draft, key, entry)
  if (draft.awaited.has(entry)) {
    const awaited = new Set(draft.awaited)
    awaited.delete(entry)
    draft.awaited = awaited
  }
}

/** As `forgetEntry`, on the word of evidence that it is dead. */
export function entryGone(draft: CellDraft, entry: string, evidence: string): void {
  forgetEntry(draft, entry)
  note(draft, "entry-gone", {entry, evidence})
}

/** Remembers that an entry may use a pair from now on. */
export function addHolder(
  draft: CellDraft,
  key: string,
  entry: string,
  grant: number
): void {
  draft.holders.set(key, new Map(draft.holders.get(key)).set(entry, grant))
}

/** Removes an entry from the holders of a pair. */
export function dropHolder(draft: CellDraft, key: string, entry: string): void {
  const holders = draft.holders.get(key)
  if (!holders?.has(entry)) return
  const rest = new Map(holders)
  rest.delete(entry)
  if (rest.size > 0) draft.holders.set(key, rest)
  else draft.holders.delete(key)
}

/** An adapter's heat now. */
export function heatOf(draft: CellDraft, model: string): number {
  const heat = draft.heat.get(model)
  if (!heat) return 0
  return heat.score * 2 ** (-(draft.now - heat.at) / HEAT_HALF_LIFE_MS)
}

function warmUp(draft: CellDraft, model: string): void {
  draft.heat.set(model, {score: heatOf(draft, model) + 1, at: draft.now})
}

function isLoaded(draft: CellDraft, model: string): boolean {
  for (const engine of draft.engines.values()) {
    const phase = engine.pairs.get(model)?.phase
    if (phase === "loaded" || phase === "draining") return true
  }
  return false
}

function doubtPair(draft: CellDraft, engineId: string, model: string): void {
  const engine = draft.engines.get(engineId)
  const pair = engine?.pairs.get(model)
  if (!engine || pair?.phase !== "loaded") return
  setPair(draft, engineId, model, {...pair, phase: "doubtful", since: draft.now})
  updateEngine(draft, engineId, {quietUntil: draft.now})
  note(draft, "engine-restarted", {engine: engineId, model})
}
