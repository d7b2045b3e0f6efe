/**
 * Retries beyond the box's own retry budget: the box requests them from the leader, which
 * grants them from the budget shared by all boxes.
 */
import {failRequest, endAttempt} from "./box-ends.js"
import {sendOrWait} from "./box-requests.js"
import {handleMoveAnswer} from "./box-silence.js"
import type {BoxRequest, BoxServing} from "./box-state.js"
import {sendsUnbatched} from "./placement-updates.js"

/**
 * Longest wait for the leader's answer, which normally takes some milliseconds. Short
 * enough that a caller that learns that its request did not run can retry within its
 * deadline. A request whose answer has begun waits for it as for a server.
 */
export const RETRY_ANSWER_TIMEOUT_MS = 150

/**
 * Whether a retry can be requested from a leader. Few boxes divide the whole budget among
 * themselves and need no leader for it.
 */
export function canRequestRetry({boxCount, hasLeader}: BoxServing): boolean {
  return hasLeader && !sendsUnbatched(boxCount)
}

/** Requests a retry from the leader; the request waits for the answer. */
export function requestRetry(box: BoxServing, request: BoxRequest, now: number): void {
  endAttempt(box, request)
  const {id, service} = request.arrival
  request.retryRequestedAt = now
  box.effects.push({type: "ask-retry", id, service})
}

/** Handles the leader's answer for a request that still waits for it. */
export function handleRetryAnswer(
  box: BoxServing,
  id: string,
  allowed: boolean,
  now: number
): void {
  const request = box.requests.get(id)
  if (!request) return
  const {attempt} = request
  if (attempt?.moveRequestedAt !== undefined && allowed) {
    return handleMoveAnswer(box, request, attempt, now)
  }
  if (request.retryRequestedAt === undefined) return
  request.retryRequestedAt = undefined
  if (!allowed) return failUnsent(box, request, now)
  request.hasRetryGrant = true
  sendOrWait(box, request, now)
}

/**
 * Fails a request whose retry request was not answered in time. Returns whether it did.
 */
export function expireRetryRequest(
  box: BoxServing,
  request: BoxRequest,
  now: number
): boolean {
  const {answerStarted, retryRequestedAt} = request
  if (retryRequestedAt === undefined || answerStarted) return false
  if (now - retryRequestedAt < RETRY_ANSWER_TIMEOUT_MS) return false
  failUnsent(box, request, now)
  return true
}

function failUnsent(box: BoxServing, request: BoxRequest, now: number): void {
  failRequest(box, request, request.runs > 0 ? "unknown" : "not-run", now)
}
