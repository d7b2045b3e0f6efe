/**
 * How long a request may wait: until its caller could no longer be answered in the time
 * that answers of the route usually take. The target time of the route plays no part; it
 * only says when an answer is late.
 */
import type {BoxRequest, BoxServing} from "./box-state.js"

/**
 * Part of the time that remains to a caller that it waits before its retry: callers honour
 * up to a third. A longer Retry-After would be cut by the caller, and all would return at
 * the same moment.
 */
export const RETRY_TIME_SHARE = 0.3

/** Random extension of `retryAfterMs`, as a part of it. */
const RETRY_JITTER_SHARE = 0.2

/**
 * Returns the latest time at which the request can be sent and usually be answered in time:
 * whole before the deadline, and begun before its caller leaves a stream without events.
 */
export function latestSendAt(
  {routeTimes}: BoxServing,
  {arrival, arrivedAt, deadlineAt, heardAt = arrivedAt, answerStarted}: BoxRequest,
  now: number
): number {
  const {route, lastEventId} = arrival
  const firstMs = routeTimes.likelyFirstMs(route.name, now)
  // How long the rest of a begun answer takes is not known; it may be one event.
  const isRest = answerStarted || lastEventId !== undefined
  const wholeMs = isRest ? firstMs : routeTimes.likelyMs(route.name, now)
  return Math.min(deadlineAt - wholeMs, heardAt + route.patienceMs - firstMs)
}

/**
 * Returns until when a request waits for what it needs to be sent. A stopping box refuses
 * it earlier, so that another box can take it.
 */
export function waitUntil(box: BoxServing, request: BoxRequest, now: number): number {
  return Math.min(latestSendAt(box, request, now), request.stopHoldUntil)
}

/**
 * Orders requests that wait for the same: the most urgent rank first (`priority` is a
 * promise), and of equal rank the one with the least time left.
 */
export function compareWaiting(a: BoxRequest, b: BoxRequest): number {
  return a.arrival.rank - b.arrival.rank || a.deadlineAt - b.deadlineAt
}

/** Whether something that takes `ms` from now comes too late for the request. */
export function isTooLate(
  box: BoxServing,
  request: BoxRequest,
  ms: number,
  now: number
): boolean {
  return now + ms > waitUntil(box, request, now)
}

/** Adds jitter to a retry time, so that callers do not all return at the same moment. */
export function addJitter({options}: BoxServing, ms: number): number {
  return Math.round(ms * (1 + RETRY_JITTER_SHARE * options.random()))
}

/**
 * Returns a retry time for a cause whose end is not known: as late as the caller honours,
 * spread.
 */
export function latestRetryMs(
  {options}: BoxServing,
  {deadlineAt}: BoxRequest,
  now: number
): number {
  const longestMs = RETRY_TIME_SHARE * Math.max(0, deadlineAt - now)
  return Math.round(longestMs * (0.5 + options.random() / 2))
}
