/** Records idempotency keys in the register, for requests that must run at most once. */
import type {Settle} from "../types/messages.js"
import {type EntryDraft, findOwner, send, updateRequest} from "./entry-draft.js"
import type {EntryRequest} from "./entry-state.js"
import {cellShare, registerShare} from "./keeper-state.js"

/**
 * Outcomes kept for register shards without an owner. Beyond this limit the oldest are
 * dropped, and the register keeps the state it has for their keys.
 */
const MAX_UNSENT_SETTLES = 10_000

/**
 * Asks the register to record the key; the request continues when the record is durable.
 */
export function reserveKey(draft: EntryDraft, request: EntryRequest): void {
  const {request: id, key, body} = request
  if (key === undefined) return
  const shard = registerShardOf(draft, key)
  const owner = findOwner(draft, shard)
  if (owner === undefined || owner === request.askedKeeper) return
  updateRequest(draft, id, {askedKeeper: owner})
  send(draft, owner, {t: "reserve", shard, key, attempt: id, body})
}

/** Sends the outcome of a request to the register. */
export function settleKey(
  draft: EntryDraft,
  request: EntryRequest,
  state: "answered" | "unknown" | "not-run"
): void {
  const {key, request: attempt} = request
  if (key === undefined) return
  const shard = registerShardOf(draft, key)
  sendSettle(draft, {t: "settle", shard, key, attempt, state})
}

/** Sends the outcomes that could not be sent before to shards that have an owner now. */
export function sendUnsentSettles(draft: EntryDraft): void {
  const {unsentSettles: unsettled} = draft.state
  if (unsettled.length === 0) return
  draft.state = {...draft.state, unsentSettles: []}
  for (const settle of unsettled) sendSettle(draft, settle)
}

function sendSettle(draft: EntryDraft, settle: Settle): void {
  const owner = findOwner(draft, settle.shard)
  if (owner !== undefined) return send(draft, owner, settle)
  const unsettled = [...draft.state.unsentSettles, settle].slice(-MAX_UNSENT_SETTLES)
  draft.state = {...draft.state, unsentSettles: unsettled}
}

/** Returns the share whose owner a request waits for. */
export function awaitedShare(draft: EntryDraft, request: EntryRequest): string {
  const {phase, key, cell} = request
  return phase === "reserving" && key !== undefined
    ? registerShardOf(draft, key)
    : cellShare(cell)
}

function registerShardOf(draft: EntryDraft, key: string): string {
  return registerShare(parseInt(key.slice(0, 8), 16) % draft.options.registerShards)
}
