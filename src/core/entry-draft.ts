/** A mutable copy of an entry's state for one transition, with queries on it. */
import type {EntryMessage} from "../types/messages.js"
import {cellShare} from "./keeper-state.js"
import {uniformFloat64} from "../utils/random.js"
import type {
  EntryEffect,
  EntryLogEvent,
  EntryLogFields,
  EntryOptions,
  EntryRequest,
  EntryState,
  EntryStep,
  EndedAttempt,
  HeldGrant,
  KeeperLink
} from "./entry-state.js"

const RETRY_BASE_MS = 20

/** The maps are copies and can be changed until `closeEntryDraft`. */
export interface EntryDraft {
  readonly options: EntryOptions
  readonly now: number
  state: EntryState
  readonly links: Map<string, KeeperLink>
  readonly fences: Map<string, number>
  readonly ownerSeenAt: Map<string, number>
  readonly requests: Map<string, EntryRequest>
  readonly pendingCancels: Map<string, EndedAttempt>
  readonly heldGrants: Map<string, HeldGrant>
  readonly effects: EntryEffect[]
}

export function openEntryDraft(
  state: EntryState,
  now: number,
  options: EntryOptions
): EntryDraft {
  return {
    options,
    now,
    state: {...state, lastEventAt: now},
    links: new Map(state.links),
    fences: new Map(state.fences),
    ownerSeenAt: new Map(state.ownerSeenAt),
    requests: new Map(state.requests),
    pendingCancels: new Map(state.pendingCancels),
    heldGrants: new Map(state.heldGrants),
    effects: []
  }
}

/** Returns the new state and the effects of the transition. */
export function closeEntryDraft(draft: EntryDraft): EntryStep {
  const {
    state,
    links,
    fences,
    ownerSeenAt: heardAt,
    requests,
    pendingCancels: endings,
    heldGrants: held,
    effects
  } = draft
  return {
    state: {
      ...state,
      links,
      fences,
      ownerSeenAt: heardAt,
      requests,
      pendingCancels: endings,
      heldGrants: held
    },
    effects
  }
}

/** Queues a message to a keeper. */
export function send(draft: EntryDraft, to: string, message: EntryMessage): void {
  draft.effects.push({type: "send", to, message})
}

/** Queues a log event. */
export function logEvent(
  draft: EntryDraft,
  event: EntryLogEvent,
  fields: EntryLogFields
): void {
  draft.effects.push({type: "note", event, fields})
}

export function updateRequest(
  draft: EntryDraft,
  id: string,
  change: Partial<EntryRequest>
): EntryRequest | undefined {
  const request = draft.requests.get(id)
  if (!request) return undefined
  const next = {...request, ...change}
  draft.requests.set(id, next)
  return next
}

/**
 * Returns the linked keeper that owns a share. Lower fences than the highest seen are
 * stale.
 */
export function findOwner(draft: EntryDraft, share: string): string | undefined {
  const highest = draft.fences.get(share) ?? 0
  for (const [keeper, link] of draft.links) {
    const fence = link.owned.get(share)
    if (fence !== undefined && fence >= highest) return keeper
  }
  return undefined
}

/**
 * Records the time of a message from the keeper, for the link and for the shares it owns.
 */
export function recordKeeperMessage(draft: EntryDraft, keeper: string): void {
  const link = draft.links.get(keeper)
  if (!link) return
  draft.links.set(keeper, {...link, lastMessageAt: draft.now})
  for (const [share, fence] of link.owned) {
    if (fence >= (draft.fences.get(share) ?? 0)) draft.ownerSeenAt.set(share, draft.now)
  }
}

/** Whether no higher fence of the cell has been seen. */
export function isCurrentFence(draft: EntryDraft, cell: string, fence: number): boolean {
  return fence >= (draft.fences.get(cellShare(cell)) ?? 0)
}

/** Counts the requests in progress that satisfy `test`. */
export function countRequests(
  draft: EntryDraft,
  test: (request: EntryRequest) => boolean
): number {
  let count = 0
  for (const request of draft.requests.values()) if (test(request)) count++
  return count
}

/** Returns a back-off that doubles with each try, with a random factor of 0.5 to 1.5. */
export function drawBackoffMs(draft: EntryDraft, tries: number): number {
  const [value, random] = uniformFloat64(draft.state.random)
  draft.state = {...draft.state, random}
  return RETRY_BASE_MS * 2 ** tries * (0.5 + value)
}
