/** How requests and their attempts end: the caller is told, and the leader counts them no more. */
import type {UseChange} from "../types/box-messages.js"
import {adapterKey} from "../types/fleet.js"
import {giveBackCharge} from "./box-charges.js"
import {type BoxRequest, type BoxServing, type EndReason, note} from "./box-state.js"

/** When callers may come back, milliseconds. */
const RETRY_AFTER_MS = 400

/** Ends a request without a whole answer: its caller is told, or cut off if an answer had begun. */
export function giveUp(
  box: BoxServing,
  request: BoxRequest,
  reason: EndReason,
  now: number,
  retryAfterMs = RETRY_AFTER_MS
): void {
  const {id, name, route} = request.arrival
  abortAttempt(box, request, now)
  finish(box, request)
  if (request.replied) box.effects.push({type: "cut", id})
  else box.effects.push({type: "end", id, reason, retryAfterMs})
  note(box, request.replied ? "route-cut" : "route-refused", {
    request: name,
    route: route.name,
    organisation: request.arrival.organisation ?? "",
    reason,
    targetMs: Math.round(route.targetMs),
    heldMs: Math.round(now - request.arrivedAt),
    attempts: request.attempts,
    adapter: request.arrival.weights?.adapter ?? "",
    retryAfterMs
  })
}

/** Closes the connection of the attempt that is under way. */
export function abortAttempt(box: BoxServing, request: BoxRequest, now: number): void {
  const {attempt, arrival} = request
  if (!attempt || attempt.aborted) return
  attempt.aborted = true
  noteClosed(box, request, now)
  box.effects.push({type: "abort", id: arrival.id, attempt: attempt.number})
}

/** The attempt under way ends without a whole answer, and not by its server's word: it may have run. */
export function noteClosed(
  box: BoxServing,
  {arrival: {fingerprint}, attempt}: BoxRequest,
  now: number
): void {
  if (!attempt?.started || fingerprint === undefined) return
  box.crashWatch.noteClosed(fingerprint, attempt.backend, now)
}

/** Forgets a request that has ended. */
export function finish(box: BoxServing, request: BoxRequest): void {
  leaveAttempt(box, request)
  if (request.needed) dropNeed(box, request)
  box.requests.delete(request.arrival.id)
}

/** The attempt is over; another may follow. */
export function leaveAttempt(box: BoxServing, request: BoxRequest): void {
  if (!request.attempt) return
  if (!request.attempt.started) giveBackCharge(box, request)
  countUse(box, request, -1)
  request.attempt = undefined
}

/** Tells the leader that it waits no more. */
export function dropNeed(box: BoxServing, request: BoxRequest): void {
  request.needed = false
  box.effects.push({type: "drop", request: request.arrival.id})
}

/** Counts the attempt at its backend server, here and at the leader. */
export function countUse(box: BoxServing, request: BoxRequest, change: 1 | -1): void {
  const {attempt} = request
  if (!attempt) return
  const {backend} = attempt
  box.busy.set(backend, Math.max(0, (box.busy.get(backend) ?? 0) + change))
  const unread = attempt.firstAt === undefined ? attempt.unread : 0
  const begun = change > 0 ? 1 : 0
  tellUse(box, request, {
    engine: backend,
    begun,
    ended: 1 - begun,
    tokens: change * unread
  })
}

/** Tells the leader of runs begun or ended, and of prompt tokens that wait or were read. */
export function tellUse(
  box: BoxServing,
  {arrival: {weights}}: BoxRequest,
  use: UseChange
): void {
  if (!weights) return
  const {model, adapter} = weights
  const change =
    adapter === undefined ? use : {...use, adapter: adapterKey(model, adapter)}
  box.effects.push({type: "use", change})
}
