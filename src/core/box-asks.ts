/**
 * Requests that may be sent once more where the box has no repeat of its own left: the leader, which is
 * a message away, gives one out of what all boxes share.
 */
import {giveUp, leaveAttempt} from "./box-ends.js"
import {advance} from "./box-requests.js"
import type {BoxRequest, BoxServing} from "./box-state.js"
import {isSmall} from "./placement-news.js"

/**
 * The leader's answer takes some milliseconds; a request is not held longer than this for it, so that
 * its caller, who is told that it did not run, can still come back in time.
 */
export const ASK_RETRY_MS = 150

/** Whether there is a leader to ask. Few boxes divide the whole budget among them. */
export function mayAsk({boxes, led}: BoxServing): boolean {
  return led && !isSmall(boxes)
}

/** Asks the leader for a repeat; the request waits for the answer. */
export function askRetry(box: BoxServing, request: BoxRequest, now: number): void {
  leaveAttempt(box, request)
  const {id, service} = request.arrival
  request.askedAt = now
  box.effects.push({type: "ask-retry", id, service})
}

/** The leader's answer, for a request that still waits for it. */
export function takeRetry(
  box: BoxServing,
  id: string,
  allowed: boolean,
  now: number
): void {
  const request = box.requests.get(id)
  if (request?.askedAt === undefined) return
  request.askedAt = undefined
  if (!allowed) return giveUpUnsent(box, request, now)
  request.granted = true
  advance(box, request, now)
}

/** Ends the wait for an answer that does not come; true: the request is over. */
export function endLateAsk(box: BoxServing, request: BoxRequest, now: number): boolean {
  const {askedAt} = request
  if (askedAt === undefined || now - askedAt < ASK_RETRY_MS) return false
  giveUpUnsent(box, request, now)
  return true
}

function giveUpUnsent(box: BoxServing, request: BoxRequest, now: number): void {
  giveUp(box, request, request.runs > 0 ? "unknown" : "not-run", now)
}
