/** The state machine of an entry: `(state, event, now) -> (state, effects)`. */
import {createRandom} from "../utils/random.js"
import {emptyConfiguration} from "./configuration.js"
import {refuseRevokedKeys} from "./entry-access.js"
import {
  advanceWaitingRequests,
  releaseIdleGrants,
  handleKeeperMessage
} from "./entry-cells.js"
import {
  closeEntryDraft,
  type EntryDraft,
  logEvent,
  openEntryDraft,
  updateRequest
} from "./entry-draft.js"
import {admitRequest, advanceRequest, dropRequest} from "./entry-requests.js"
import {sendDueCancels, handleBackendResult, handleCancelResult} from "./entry-results.js"
import {resumeIfDue} from "./entry-resume.js"
import type {
  EntryEvent,
  EntryOptions,
  EntryRequest,
  EntryState,
  EntryStep
} from "./entry-state.js"

const INITIAL_RETRY_TOKENS = 20

export function createEntry(seed: number): EntryState {
  return {
    config: emptyConfiguration(),
    links: new Map(),
    shares: new Map(),
    fences: new Map(),
    ownerSeenAt: new Map(),
    requests: new Map(),
    pendingCancels: new Map(),
    heldGrants: new Map(),
    leavingBackends: new Set(),
    unsentSettles: [],
    avoidedUntil: new Map(),
    retryTokens: INITIAL_RETRY_TOKENS,
    random: createRandom(seed),
    lastEventAt: 0,
    stopping: false
  }
}

/** Applies one event and returns the new state with the effects to perform. */
export function stepEntry(
  state: EntryState,
  event: EntryEvent,
  now: number,
  options: EntryOptions
): EntryStep {
  const draft = openEntryDraft(state, now, options)
  detectPause(draft, state.lastEventAt)
  handleEvent(draft, event)
  return closeEntryDraft(draft)
}

/**
 * Drops all links after a process pause that is longer than the link timeout. During the
 * pause the owner may have declared this entry gone and revoked its grants, so messages
 * that are still buffered on those links must not be acted on.
 */
function detectPause(draft: EntryDraft, lastEventAt: number): void {
  const gap = draft.now - lastEventAt
  if (lastEventAt === 0 || gap < draft.options.timing.linkSilenceMs) return
  logEvent(draft, "paused", {gapMs: Math.round(gap)})
  draft.links.clear()
  for (const id of draft.requests.keys()) updateRequest(draft, id, {askedKeeper: ""})
  draft.effects.push({type: "reset-links"})
}

function handleEvent(draft: EntryDraft, event: EntryEvent): void {
  switch (event.type) {
    case "tick":
      return handleTick(draft)
    case "config":
      draft.state = {...draft.state, config: event.config}
      return refuseRevokedKeys(draft)
    case "shares":
      return applyShares(draft, event.shares)
    case "link-up":
      draft.links.set(event.keeper, {lastMessageAt: draft.now, owned: new Map()})
      return
    case "link-down":
      draft.links.delete(event.keeper)
      return advanceWaitingRequests(draft)
    case "message":
      return handleKeeperMessage(draft, event.from, event.message)
    case "arrive":
      return admitRequest(draft, event.arrival)
    case "hang-up":
      return handleDisconnect(draft, event.request)
    case "backend-result":
      return handleBackendResult(draft, event)
    case "cancelled":
      return handleCancelResult(draft, event.attempt, event.confirmed)
    case "box-list":
      draft.state = {...draft.state, leavingBackends: event.leaving}
      return
    case "stop":
      draft.state = {...draft.state, stopping: true}
      return
  }
}

function handleTick(draft: EntryDraft): void {
  const {timing} = draft.options
  for (const [id, request] of draft.requests) {
    if (request.phase !== "running") advanceRequest(draft, id)
    else if (draft.now - request.startedAt >= timing.requestMaxMs) {
      abortRunning(draft, request, "timeout")
    } else resumeIfDue(draft, id)
  }
  sendDueCancels(draft)
  releaseIdleGrants(draft, draft.state.stopping ? 0 : timing.holdMs)
  if (
    draft.state.stopping &&
    draft.requests.size === 0 &&
    draft.pendingCancels.size === 0
  ) {
    draft.effects.push({type: "stopped"})
  }
}

/**
 * Raises the fences to those of the share records, so that older grants count as stale.
 */
function applyShares(draft: EntryDraft, shares: EntryState["shares"]): void {
  draft.state = {...draft.state, shares}
  for (const [share, {fence}] of shares) {
    if (fence > (draft.fences.get(share) ?? 0)) draft.fences.set(share, fence)
  }
  advanceWaitingRequests(draft)
}

function handleDisconnect(draft: EntryDraft, id: string): void {
  const request = draft.requests.get(id)
  if (!request) return
  if (request.phase === "running") return abortRunning(draft, request, "abandoned")
  dropRequest(draft, request)
}

/**
 * Closes the attempt's connection, which then reports the result. A stream that waits to
 * be resumed has no connection, so its result is applied here.
 */
function abortRunning(
  draft: EntryDraft,
  {request, replied, resumeAt}: EntryRequest,
  result: "abandoned" | "timeout"
): void {
  if (resumeAt !== undefined)
    return handleBackendResult(draft, {request, result, replied})
  draft.effects.push({type: "abort", request, timedOut: result === "timeout"})
}
