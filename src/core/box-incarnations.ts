/**
 * Handles the end of a backend server's incarnation, seen when the server has started
 * again.
 */
import {abortAttempt} from "./box-ends.js"
import {resetServiceIndex} from "./box-holders.js"
import {handleAttemptFailure} from "./box-attempts.js"
import type {Attempt, BoxRequest, BoxServing} from "./box-state.js"
import {backoffRemainingMs} from "./server-notices.js"

/**
 * Bytes that a server sent before it ended may still be in transit when its next
 * incarnation is reported; an answer that is complete by then counts. A link delays them
 * by some milliseconds; the rest allows for process pauses of boxes.
 */
export const LAST_BYTES_MS = 300

/**
 * Longest time for which a back-off binds requests to the next incarnation. Either one
 * may have requested it.
 */
const INHERITED_BACKOFF_MS = 5_000

/** Ended incarnations that are remembered; no request lasts while this many end. */
const MAX_ENDED_INCARNATIONS = 1_000

/**
 * Removes the state of an ended incarnation. Its attempts end after `LAST_BYTES_MS`.
 * Returns the back-off that the next incarnation inherits.
 */
export function endIncarnation(
  box: BoxServing,
  id: string,
  next: string,
  now: number
): number {
  const backoffMs = inheritBackoff(box, id, next, now)
  resetServiceIndex(box)
  for (const byServer of [
    box.engines,
    box.recentAdapters,
    box.suspectUntil,
    box.backoffUntil,
    box.reopening
  ])
    byServer.delete(id)
  box.advertisedRates.forget(id)
  box.sendAllowances.forget(id)
  box.endedIncarnations.set(id, now + LAST_BYTES_MS)
  const [oldest] = box.endedIncarnations.keys()
  if (oldest !== undefined && box.endedIncarnations.size > MAX_ENDED_INCARNATIONS)
    box.endedIncarnations.delete(oldest)
  return backoffMs
}

/**
 * Applies the back-off of an ended incarnation to the next one, and returns it. Until a
 * box learns of a restart, it attributes the notices of the new incarnation to the ended
 * one.
 */
function inheritBackoff(box: BoxServing, id: string, next: string, now: number): number {
  const backoffMs = Math.min(INHERITED_BACKOFF_MS, backoffRemainingMs(box, id, now))
  if (backoffMs <= backoffRemainingMs(box, next, now)) return 0
  box.backoffUntil.set(next, now + backoffMs)
  return backoffMs
}

/**
 * Ends an attempt at a server whose incarnation has ended, as one that may have run.
 * Returns whether it did. Over a cut link no connection reset arrives, and the caller
 * would otherwise wait until its deadline.
 */
export function endIfIncarnationEnded(
  box: BoxServing,
  request: BoxRequest,
  attempt: Attempt,
  now: number
): boolean {
  const {backend, number, lastByteAt} = attempt
  const endAt = box.endedIncarnations.get(backend)
  if (endAt === undefined || now < endAt) return false
  if (lastByteAt !== undefined && now - lastByteAt < LAST_BYTES_MS) return false
  abortAttempt(box, request, attempt, now)
  const {id} = request.arrival
  handleAttemptFailure(box, id, number, "broken", request.lastEventId, now)
  return true
}
