/**
 * Retries beyond the box's own retry budget: the box requests them from the leader, which
 * grants them from the budget shared by all boxes.
 */
import {giveUp, leaveAttempt} from "./box-ends.js"
import {advance} from "./box-requests.js"
import type {BoxRequest, BoxServing} from "./box-state.js"
import {isSmall} from "./placement-news.js"

/**
 * Longest wait for the leader's answer, which normally takes some milliseconds. Short
 * enough that a caller that learns that its request did not run can retry within its
 * deadline.
 */
export const ASK_RETRY_MS = 150

/**
 * Whether a retry can be requested from a leader. Few boxes divide the whole budget among
 * themselves and need no leader for it.
 */
export function mayAsk({boxes, led}: BoxServing): boolean {
  return led && !isSmall(boxes)
}

/** Requests a retry from the leader; the request waits for the answer. */
export function askRetry(box: BoxServing, request: BoxRequest, now: number): void {
  leaveAttempt(box, request)
  const {id, service} = request.arrival
  request.askedAt = now
  box.effects.push({type: "ask-retry", id, service})
}

/** Handles the leader's answer for a request that still waits for it. */
export function takeRetry(
  box: BoxServing,
  id: string,
  allowed: boolean,
  now: number
): void {
  const request = box.requests.get(id)
  if (request?.askedAt === undefined) return
  request.askedAt = undefined
  if (!allowed) return failUnsent(box, request, now)
  request.granted = true
  advance(box, request, now)
}

/**
 * Fails a request whose retry request was not answered in time. Returns whether it did.
 */
export function endLateAsk(box: BoxServing, request: BoxRequest, now: number): boolean {
  const {askedAt} = request
  if (askedAt === undefined || now - askedAt < ASK_RETRY_MS) return false
  failUnsent(box, request, now)
  return true
}

function failUnsent(box: BoxServing, request: BoxRequest, now: number): void {
  giveUp(box, request, request.runs > 0 ? "unknown" : "not-run", now)
}
