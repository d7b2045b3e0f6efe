/**
 * What backend servers say of themselves in their answers to this box: that they leave, or that they want rest.
 * It comes from its source and is newer than any list; only another life of the server ends a leave.
 */
import {noteSaidLeaving} from "./backend-list.js"
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
  /** What it said of rest where that is no time, shortened; undefined: nothing. */
  readonly unreadable: string | undefined
}

/** Takes what a server said; true: it is one that requests went to so far, and leaves. */
export function takeNotice(
  box: BoxServing,
  backend: string,
  {leaving, restMs, unreadable}: ServerNotice,
  now: number
): boolean {
  if (unreadable !== undefined) {
    note(box, "notice-unreadable", {backend, retryAfter: unreadable})
  }
  if (restMs !== undefined && restMs > 0) rest(box, backend, restMs, now)
  if (!leaving) return false
  const backends = noteSaidLeaving(box.backends, backend)
  if (backends === box.backends) return false
  box.backends = backends
  note(box, "backend-leaves", {backend})
  return true
}

/** In how long the server may be sent requests, milliseconds; 0: now. */
export function restsForMs(box: BoxServing, backend: string, now: number): number {
  return Math.max(0, (box.rests.get(backend) ?? 0) - now)
}

/**
 * In how long the first server of the service may be sent requests, milliseconds; 0: none rests, or one that
 * can take requests does not.
 */
export function allRestForMs(box: BoxServing, service: string, now: number): number {
  let least = Infinity
  for (const {record} of box.backends.known.values()) {
    if (record.service !== service || record.leaving) continue
    least = Math.min(least, restsForMs(box, record.id, now))
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
