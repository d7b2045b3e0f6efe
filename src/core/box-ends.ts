/** Ends requests and attempts, and reports that to the caller and the leader. */
import type {EngineUseDelta} from "../types/box-messages.js"
import {adapterKey} from "../types/fleet.js"
import {giveBackCharge} from "./box-charges.js"
import {type BoxRequest, type BoxServing, type EndReason, note} from "./box-state.js"

/** Default time after which refused callers may retry. */
const RETRY_AFTER_MS = 400

/**
 * Ends a request without a complete answer: sends the caller an error, or cuts its
 * connection if an answer had started.
 */
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

/** Closes the connection of the current attempt, if any. */
export function abortAttempt(box: BoxServing, request: BoxRequest, now: number): void {
  const {attempt, arrival} = request
  if (!attempt || attempt.aborted) return
  attempt.aborted = true
  noteClosed(box, request, now)
  box.effects.push({type: "abort", id: arrival.id, attempt: attempt.number})
}

/**
 * Records that the current attempt ended without a complete answer or a refusal, so that
 * it may have run.
 */
export function noteClosed(
  box: BoxServing,
  {arrival: {fingerprint}, attempt}: BoxRequest,
  now: number
): void {
  if (!attempt?.started || fingerprint === undefined) return
  box.crashWatch.recordClosed(fingerprint, attempt.backend, now)
}

/** Removes a request that has ended. */
export function finish(box: BoxServing, request: BoxRequest): void {
  leaveAttempt(box, request)
  if (request.needed) dropNeed(box, request)
  box.requests.delete(request.arrival.id)
}

/** Ends the current attempt; another may follow. */
export function leaveAttempt(box: BoxServing, request: BoxRequest): void {
  if (!request.attempt) return
  if (!request.attempt.started) giveBackCharge(box, request)
  countUse(box, request, -1)
  request.attempt = undefined
}

/** Withdraws the weights request from the leader. */
export function dropNeed(box: BoxServing, request: BoxRequest): void {
  request.needed = false
  box.effects.push({type: "drop", request: request.arrival.id})
}

/** Counts the current attempt in or out at its backend server, here and at the leader. */
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

/**
 * Reports attempts that began or ended, and changes of waiting prompt tokens, to the
 * leader.
 */
export function tellUse(
  box: BoxServing,
  {arrival: {weights}}: BoxRequest,
  use: EngineUseDelta
): void {
  if (!weights) return
  const {model, adapter} = weights
  const change =
    adapter === undefined ? use : {...use, adapter: adapterKey(model, adapter)}
  box.effects.push({type: "use", change})
}
