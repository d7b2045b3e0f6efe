/**
 * What backend servers say of themselves in their answers to this box: that they leave, that they want rest, or
 * what they take from all boxes together.
 * It comes from its source and is newer than any list; only another life of the server ends a leave.
 */
import type {RateNews} from "../types/rate-messages.js"
import {noteSaidLeaving} from "./backend-list.js"
import {pacedForMs, tellSentLately} from "./box-pacing.js"
import {type BoxServing, note} from "./box-state.js"

/** No server is left alone for longer on its own word, milliseconds. */
export const MAX_REST_MS = 300_000

/** Lives of servers whose wish for rest is remembered. */
const MAX_RESTS = 2_000

/** What the head of one answer says of its server. */
export interface ServerNotice {
  readonly leaving: boolean
  /** It wants no request of this box for so long, milliseconds; undefined: it does not say. */
  readonly restMs: number | undefined
  /** Requests a second that it takes from all boxes together; undefined: it names no rate that can be read. */
  readonly perSecond: number | undefined
  /** What it said of rest or of its rate that cannot be read, shortened; undefined: nothing. */
  readonly unreadable: {readonly of: "rest" | "rate"; readonly text: string} | undefined
}

/** Whether the answer says anything of its server. */
export function saysSomething(notice: ServerNotice): boolean {
  const {leaving, restMs, perSecond, unreadable} = notice
  return leaving || [restMs, perSecond, unreadable].some(each => each !== undefined)
}

/**
 * Takes what a server said; true: it is one that requests went to so far, and leaves. `sentAt`: when the request
 * was sent that it answers; undefined: it answers an order or a question.
 */
export function takeNotice(
  box: BoxServing,
  backend: string,
  notice: ServerNotice,
  sentAt: number | undefined,
  now: number
): boolean {
  const {leaving, restMs} = notice
  noteUnreadable(box, backend, notice)
  takeRate(box, backend, notice, sentAt, now)
  if (restMs !== undefined && restMs > 0) rest(box, backend, restMs, now)
  if (!leaving) return false
  const backends = noteSaidLeaving(box.backends, backend)
  if (backends === box.backends) return false
  box.backends = backends
  note(box, "backend-leaves", {backend})
  return true
}

/** Once for each server and text. */
function noteUnreadable(
  box: BoxServing,
  backend: string,
  {unreadable}: ServerNotice
): void {
  if (!unreadable || box.unreadable.get(backend) === unreadable.text) return
  box.unreadable.set(backend, unreadable.text)
  const [oldest] = box.unreadable.keys()
  if (box.unreadable.size > MAX_RESTS && oldest !== undefined) {
    box.unreadable.delete(oldest)
  }
  note(box, "notice-unreadable", {backend, ...unreadable})
}

function takeRate(
  box: BoxServing,
  backend: string,
  {perSecond, unreadable}: ServerNotice,
  sentAt: number | undefined,
  now: number
): void {
  if (perSecond === undefined && (sentAt === undefined || unreadable?.of === "rate")) {
    return
  }
  const word = {perSecond, sentAt: sentAt ?? now, heardAt: now}
  if (!box.rates.take(backend, word)) return
  tellRate(box, backend, now)
  noteRate(box, backend, "answer", now)
}

/** Takes what another box heard of servers' rates. */
export function takeRateNews(
  box: BoxServing,
  news: readonly RateNews[],
  source: "box" | "leader",
  now: number
): void {
  for (const each of news) {
    const {server} = each
    if (!box.backends.known.has(server)) continue
    const result = box.rates.takeNews(each, now)
    // All boxes hear of a change from their leader; a box that knows better tells the leader, which does not argue.
    const passes = source === "box" ? result === "changed" : result === "stands"
    if (passes) tellRate(box, server, now)
    if (result === "changed") noteRate(box, server, source, now)
  }
}

function tellRate(box: BoxServing, server: string, now: number): void {
  const news = box.rates.tell(server, now)
  if (news) box.effects.push({type: "rate-news", news})
}

/** After the rate itself was told: the leader counts nothing for a server of which it knows no rate. */
function noteRate(
  box: BoxServing,
  backend: string,
  source: "answer" | "box" | "leader",
  now: number
): void {
  const perSecond = box.rates.of(backend)
  if (perSecond === undefined) {
    box.allowances.forget(backend)
    note(box, "rate-ended", {backend, source})
    return
  }
  note(box, "rate-named", {backend, perSecond, source})
  tellSentLately(box, [backend], now)
}

/** In how long the server may be sent requests, milliseconds; 0: now. */
export function restsForMs(box: BoxServing, backend: string, now: number): number {
  return Math.max(0, (box.rests.get(backend) ?? 0) - now)
}

/**
 * In how long the first server of the service may be sent requests, milliseconds; 0: one that can take requests
 * neither rests nor has no room, as far as is known.
 */
export function allClosedForMs(box: BoxServing, service: string, now: number): number {
  let least = Infinity
  for (const {record} of box.backends.known.values()) {
    if (record.service !== service || record.leaving) continue
    const {id} = record
    const closedMs = Math.max(restsForMs(box, id, now), pacedForMs(box, id, now))
    least = Math.min(least, closedMs)
  }
  return least === Infinity ? 0 : least
}

/** The servers that are left alone now. */
export function listResting({rests}: BoxServing, now: number): string[] {
  return [...rests].filter(([, until]) => until > now).map(([backend]) => backend)
}

function rest(box: BoxServing, backend: string, askedMs: number, now: number): void {
  const forMs = Math.min(MAX_REST_MS, askedMs)
  const until = now + forMs
  // Answers overtake each other: the longest wish holds.
  if (until <= (box.rests.get(backend) ?? -Infinity)) return
  if (restsForMs(box, backend, now) === 0) {
    note(box, "backend-rests", {backend, forMs: Math.round(forMs), askedMs})
  }
  box.rests.delete(backend)
  box.rests.set(backend, until)
  const [oldest] = box.rests.keys()
  if (box.rests.size > MAX_RESTS && oldest !== undefined) box.rests.delete(oldest)
}
