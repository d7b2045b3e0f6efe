/**
 * Handles notices in the responses of backend servers: that a server leaves, requests a
 * back-off, or advertises a rate limit for all boxes together. A notice is newer than any
 * list of servers. Only the next incarnation of a server that leaves is usable again.
 */
import type {RateReport} from "../types/rate-messages.js"
import {recordLeaving} from "./backend-list.js"
import {pacedForMs, reportRecentSends} from "./box-pacing.js"
import {type BoxServing, logEvent} from "./box-state.js"

/** Upper limit of the back-off that a server may request. */
export const MAX_BACKOFF_MS = 300_000

/** Part of the refusals that a server bears which all boxes together cause at most. */
const USED_REFUSAL_SHARE = 0.5

/** Longest pause of a box after one such refusal. */
const MAX_REFUSAL_PAUSE_MS = 10_000

const MAX_REMEMBERED_SERVERS = 2_000

/** Time without an answer after which a server that reopens is sent the next request. */
const REOPENING_INTERVAL_MS = 500

/** Notices in the headers of one response. */
export interface ServerNotice {
  readonly leaving: boolean
  /** Back-off requested from this box. Undefined if none. */
  readonly restMs: number | undefined
  /**
   * Set in a refusal for lack of room: how many of these all boxes together may cause in a
   * second before the server fails. Undefined if it names no such limit.
   */
  readonly refusalsPerSecond: number | undefined
  /** Rate limit for all boxes together. Undefined if it advertises no valid one. */
  readonly perSecond: number | undefined
  /** An invalid back-off or rate limit, shortened. Undefined if none. */
  readonly unreadable: {readonly of: "rest" | "rate"; readonly text: string} | undefined
}

export function hasNotice(notice: ServerNotice): boolean {
  const {leaving, restMs, refusalsPerSecond, perSecond, unreadable} = notice
  const values = [restMs, refusalsPerSecond, perSecond, unreadable]
  return leaving || values.some(each => each !== undefined)
}

/**
 * Handles the notices in a response. Returns true if the server was usable and now
 * leaves.
 *
 * @param sentAt - When the request was sent. Undefined for orders and report requests.
 */
export function handleNotice(
  box: BoxServing,
  backend: string,
  notice: ServerNotice,
  sentAt: number | undefined,
  now: number
): boolean {
  const {leaving, restMs = 0, refusalsPerSecond} = notice
  logUnreadable(box, backend, notice)
  applyAdvertisedRate(box, backend, notice, sentAt, now)
  const backoffMs = Math.max(restMs, refusalPauseMs(box, refusalsPerSecond))
  if (backoffMs > 0) startBackoff(box, backend, backoffMs, now)
  if (!leaving) return false
  const backends = recordLeaving(box.backends, backend)
  if (backends === box.backends) return false
  box.backends = backends
  logEvent(box, "backend-leaves", {backend})
  return true
}

/**
 * Returns how long this box sends a server nothing after a refusal, so that all boxes
 * together stay below the refusals that it bears.
 */
function refusalPauseMs(
  {boxCount}: BoxServing,
  refusalsPerSecond: number | undefined
): number {
  if (refusalsPerSecond === undefined) return 0
  const usable = Math.max(1, refusalsPerSecond) * USED_REFUSAL_SHARE
  return Math.min(MAX_REFUSAL_PAUSE_MS, (1_000 * boxCount) / usable)
}

/** Logs an invalid notice once for each server and text. */
function logUnreadable(
  box: BoxServing,
  backend: string,
  {unreadable}: ServerNotice
): void {
  if (!unreadable || box.unreadableNotices.get(backend) === unreadable.text) return
  box.unreadableNotices.set(backend, unreadable.text)
  const [oldest] = box.unreadableNotices.keys()
  if (box.unreadableNotices.size > MAX_REMEMBERED_SERVERS && oldest !== undefined) {
    box.unreadableNotices.delete(oldest)
  }
  logEvent(box, "notice-unreadable", {backend, ...unreadable})
}

function applyAdvertisedRate(
  box: BoxServing,
  backend: string,
  {perSecond, unreadable}: ServerNotice,
  sentAt: number | undefined,
  now: number
): void {
  if (perSecond === undefined && (sentAt === undefined || unreadable?.of === "rate")) {
    return
  }
  const advertisedRate = {perSecond, sentAt: sentAt ?? now, heardAt: now}
  if (!box.advertisedRates.apply(backend, advertisedRate)) return
  sendRateUpdate(box, backend, now)
  handleRateChange(box, backend, "answer", now)
}

/** Applies the rate limits that another box received from servers. */
export function applyRateUpdates(
  box: BoxServing,
  updates: readonly RateReport[],
  source: "box" | "leader",
  now: number
): void {
  for (const update of updates) {
    const {server} = update
    if (!box.backends.known.has(server)) continue
    const result = box.advertisedRates.applyRemote(update, now)
    // The leader sends a change to all boxes. A box with a newer rate limit sends it to
    // the leader, which does not reply with its own.
    const shouldSend = source === "box" ? result === "changed" : result === "stands"
    if (shouldSend) sendRateUpdate(box, server, now)
    if (result === "changed") handleRateChange(box, server, source, now)
  }
}

/**
 * Reports the rates that this box knows to a new leader, which may have heard of none: a
 * change is otherwise reported only once, to the leader of that time.
 */
export function reportRates(box: BoxServing, now: number): void {
  for (const server of box.advertisedRates.list()) sendRateUpdate(box, server, now)
}

function sendRateUpdate(box: BoxServing, server: string, now: number): void {
  const update = box.advertisedRates.toMessage(server, now)
  if (update) box.effects.push({type: "rate-news", news: update})
}

/**
 * Applies a changed rate limit. Call this after the rate limit was sent, since the leader
 * ignores sent requests of a server without one.
 */
function handleRateChange(
  box: BoxServing,
  backend: string,
  source: "answer" | "box" | "leader",
  now: number
): void {
  const perSecond = box.advertisedRates.of(backend)
  if (perSecond === undefined) {
    box.sendAllowances.forget(backend)
    logEvent(box, "rate-ended", {backend, source})
    return
  }
  logEvent(box, "rate-named", {backend, perSecond, source})
  reportRecentSends(box, [backend], now)
}

/** Remaining time of the server's back-off. */
export function backoffRemainingMs(
  box: BoxServing,
  backend: string,
  now: number
): number {
  return Math.max(0, (box.backoffUntil.get(backend) ?? 0) - now)
}

/**
 * Whether the server has yet to answer the first request after a back-off. Requests that
 * waited for its end would otherwise all reach it at once, and be refused again.
 */
export function isReopening(box: BoxServing, backend: string, now: number): boolean {
  const sentAt = box.reopening.get(backend)
  return sentAt !== undefined && now - sentAt < REOPENING_INTERVAL_MS
}

/** Records a send to a server, which may be the first after a back-off. */
export function recordReopeningSend(
  {reopening}: BoxServing,
  backend: string,
  now: number
): void {
  if (reopening.has(backend)) reopening.set(backend, now)
}

/** Records that the request ended without an answer, so that the next one may follow. */
export function recordReopeningEnd({reopening}: BoxServing, backend: string): void {
  if (reopening.has(backend)) reopening.set(backend, -Infinity)
}

/**
 * Time until a server of the service accepts requests again. 0 if one is neither in a
 * back-off nor at its rate limit, or if there is none.
 */
export function serviceUnavailableMs(
  box: BoxServing,
  service: string,
  now: number
): number {
  let minMs = Infinity
  for (const {record} of box.backends.known.values()) {
    if (record.service !== service || record.leaving) continue
    const {id} = record
    const unavailableMs = Math.max(
      backoffRemainingMs(box, id, now),
      pacedForMs(box, id, now)
    )
    minMs = Math.min(minMs, unavailableMs)
  }
  return minMs === Infinity ? 0 : minMs
}

/** The servers in a back-off. */
export function listInBackoff(
  {backoffUntil: backoffs}: BoxServing,
  now: number
): string[] {
  return [...backoffs].filter(([, endsAt]) => endsAt > now).map(([backend]) => backend)
}

function startBackoff(
  box: BoxServing,
  backend: string,
  requestedMs: number,
  now: number
): void {
  const forMs = Math.min(MAX_BACKOFF_MS, requestedMs)
  const endsAt = now + forMs
  // Responses may arrive out of order: the latest end applies.
  if (endsAt <= (box.backoffUntil.get(backend) ?? -Infinity)) return
  if (backoffRemainingMs(box, backend, now) === 0) {
    logEvent(box, "backend-rests", {
      backend,
      forMs: Math.round(forMs),
      askedMs: requestedMs
    })
  }
  box.backoffUntil.delete(backend)
  box.backoffUntil.set(backend, endsAt)
  box.reopening.set(backend, -Infinity)
  const [oldest] = box.backoffUntil.keys()
  if (box.backoffUntil.size <= MAX_REMEMBERED_SERVERS || oldest === undefined) return
  box.backoffUntil.delete(oldest)
  box.reopening.delete(oldest)
}
