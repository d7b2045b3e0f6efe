/**
 * Messages of keepers to an entry, and the grants that the entry holds on their engines.
 */
import type {Grant, KeeperMessage, KeyStatus, Owned, Recall} from "../types/messages.js"
import type {ErrorCode} from "../errors.js"
import {
  type EntryDraft,
  findOwner,
  recordKeeperMessage,
  isCurrentFence,
  logEvent,
  send,
  updateRequest
} from "./entry-draft.js"
import {
  advanceRequest,
  dispatchToEngine,
  findEngine,
  heldGrantKey,
  refuseRequest,
  RETRY_AFTER_MS
} from "./entry-requests.js"
import {sendUnsentSettles, awaitedShare} from "./entry-register.js"
import type {EntryRequest, HeldGrant} from "./entry-state.js"
import {CELL_PREFIX, cellShare} from "./keeper-state.js"

/** Handles a message of a keeper. */
export function handleKeeperMessage(
  draft: EntryDraft,
  keeper: string,
  message: KeeperMessage
): void {
  if (!draft.links.has(keeper)) return
  recordKeeperMessage(draft, keeper)
  switch (message.t) {
    case "owned":
      return applyOwnedShares(draft, keeper, message)
    case "grant":
      return handleGrant(draft, keeper, message)
    case "refuse": {
      const request = findRequestOfAttempt(draft, message.request)
      if (request?.phase !== "asking" || request.askedKeeper !== keeper) return
      return refuseRequest(
        draft,
        {...request, askedKeeper: ""},
        message.code,
        message.retryAfterMs
      )
    }
    case "recall":
      return handleRecall(draft, keeper, message)
    case "reserved":
      return handleReserved(draft, message.attempt)
    case "known":
      return handleKnown(draft, message)
    case "ping":
    case "fetch-config":
    case "config-page":
      return
  }
}

/**
 * Applies the list of shares that a keeper owns. For a newly owned cell the inventory is
 * sent before any request.
 */
function applyOwnedShares(draft: EntryDraft, keeper: string, {shares}: Owned): void {
  const link = draft.links.get(keeper)
  if (!link) return
  const owned = new Map(shares.map(({share, fence}) => [share, fence]))
  draft.links.set(keeper, {...link, owned})
  clearAskedKeeper(draft, keeper, share => link.owned.get(share) !== owned.get(share))
  for (const [share, fence] of owned) {
    if (fence < (draft.fences.get(share) ?? 0)) continue
    draft.fences.set(share, fence)
    draft.ownerSeenAt.set(share, draft.now)
    if (link.owned.get(share) === fence || !share.startsWith(CELL_PREFIX)) continue
    sendInventory(draft, keeper, share.slice(CELL_PREFIX.length), fence)
  }
  sendUnsentSettles(draft)
  advanceWaitingRequests(draft)
}

/**
 * Marks requests as not asked, since a keeper that lost and regained a share has dropped
 * them.
 */
function clearAskedKeeper(
  draft: EntryDraft,
  keeper: string,
  isNewTerm: (share: string) => boolean
): void {
  for (const [id, request] of draft.requests) {
    if (request.askedKeeper !== keeper || !isNewTerm(awaitedShare(draft, request)))
      continue
    updateRequest(draft, id, {askedKeeper: ""})
  }
}

function sendInventory(
  draft: EntryDraft,
  keeper: string,
  cell: string,
  fence: number
): void {
  const running = []
  for (const request of draft.requests.values()) {
    if (request.phase !== "running" || request.cell !== cell) continue
    if (request.target.kind !== "model") continue
    const {attempt, backend, target} = request
    running.push({request: attempt, engine: backend, model: target.model})
  }
  for (const ended of draft.pendingCancels.values()) {
    if (ended.cell !== cell) continue
    running.push({request: ended.attempt, engine: ended.engine, model: ended.model})
  }
  const held = []
  for (const [key, pair] of draft.heldGrants) {
    if (pair.cell !== cell) continue
    draft.heldGrants.set(key, {...pair, fence, grant: 0})
    held.push({engine: pair.engine, model: pair.model})
  }
  send(draft, keeper, {t: "inventory", cell, fence, running, held})
}

/**
 * Advances all waiting requests. Those that wait for a keeper that no longer owns their
 * share are sent to the current owner.
 */
export function advanceWaitingRequests(draft: EntryDraft): void {
  for (const [id, request] of draft.requests) {
    if (request.phase === "running") continue
    if (request.askedKeeper !== "" && !isAskedKeeperCurrent(draft, request)) {
      updateRequest(draft, id, {askedKeeper: ""})
    }
    advanceRequest(draft, id)
  }
}

function isAskedKeeperCurrent(draft: EntryDraft, request: EntryRequest): boolean {
  if (request.phase === "reserving") return draft.links.has(request.askedKeeper)
  return findOwner(draft, cellShare(request.cell)) === request.askedKeeper
}

function handleGrant(draft: EntryDraft, keeper: string, grant: Grant): void {
  const {cell, fence, engine, model} = grant
  if (!isCurrentFence(draft, cell, fence)) {
    logEvent(draft, "stale-grant", {cell, fence, engine})
    return
  }
  const held: HeldGrant = {
    cell,
    engine,
    model,
    fence,
    grant: grant.grant,
    lastUsed: draft.now
  }
  draft.heldGrants.set(heldGrantKey(held), held)
  const request = findRequestOfAttempt(draft, grant.request)
  const usable =
    findEngine(draft, engine) !== undefined && !draft.state.leavingBackends.has(engine)
  if (request?.phase === "asking" && usable) {
    return dispatchToEngine(draft, request, held, grant)
  }
  send(draft, keeper, {
    t: "done",
    cell,
    request: grant.request,
    engine,
    result: usable ? "ok" : "refused"
  })
  if (request?.phase === "asking") {
    updateRequest(draft, request.request, {askedKeeper: "", retryAt: draft.now + 50})
  }
}

function handleRecall(
  draft: EntryDraft,
  keeper: string,
  {cell, fence, engine, model}: Recall
): void {
  if (!isCurrentFence(draft, cell, fence)) return
  const held = draft.heldGrants.get(heldGrantKey({engine, model}))
  if (held && !isInUse(draft, held)) releaseGrant(draft, keeper, held)
}

/** Releases the grants that have been idle for the given time. */
export function releaseIdleGrants(draft: EntryDraft, idleMs: number): void {
  for (const held of [...draft.heldGrants.values()]) {
    if (draft.now - held.lastUsed < idleMs || isInUse(draft, held)) continue
    const owner = findOwner(draft, cellShare(held.cell))
    if (owner !== undefined) releaseGrant(draft, owner, held)
  }
}

function releaseGrant(draft: EntryDraft, keeper: string, held: HeldGrant): void {
  draft.heldGrants.delete(heldGrantKey(held))
  const {cell, engine, model, grant} = held
  const fence = draft.fences.get(cellShare(cell)) ?? 0
  send(draft, keeper, {t: "release", cell, fence, engine, model, grant})
}

function isInUse(draft: EntryDraft, {engine, model}: HeldGrant): boolean {
  for (const {phase, backend, target} of draft.requests.values()) {
    if (phase !== "running" || backend !== engine || target.kind !== "model") continue
    if (target.model === model) return true
  }
  for (const ended of draft.pendingCancels.values()) {
    if (ended.engine === engine && ended.model === model) return true
  }
  return false
}

function findRequestOfAttempt(
  draft: EntryDraft,
  attempt: string
): EntryRequest | undefined {
  const request = draft.requests.get(attempt.slice(0, attempt.lastIndexOf(".")))
  return request?.attempt === attempt ? request : undefined
}

function handleReserved(draft: EntryDraft, id: string): void {
  const request = draft.requests.get(id)
  if (request?.phase !== "reserving") return
  updateRequest(draft, id, {phase: "asking", askedKeeper: "", reserved: true})
  advanceRequest(draft, id)
}

const CODE_BY_KEY_STATE: Readonly<Record<KeyStatus["state"], ErrorCode>> = {
  running: "key-running",
  answered: "key-answered",
  unknown: "key-unknown",
  "other-body": "key-reused",
  "no-record": "no-record"
}

function handleKnown(draft: EntryDraft, {attempt, state}: KeyStatus): void {
  const request = draft.requests.get(attempt)
  if (request?.phase !== "reserving") return
  draft.requests.delete(attempt)
  const shouldRetry = state === "running" || state === "no-record"
  draft.effects.push({
    type: "answer",
    request: attempt,
    code: CODE_BY_KEY_STATE[state],
    retryAfterMs: shouldRetry ? RETRY_AFTER_MS : undefined
  })
}
