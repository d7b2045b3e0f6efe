/**
 * Handles the end of a backend server's incarnation, seen when the server has started
 * again.
 */
import {abortAttempt} from "./box-ends.js"
import {attemptFailed} from "./box-attempts.js"
import type {Attempt, BoxRequest, BoxServing} from "./box-state.js"

/**
 * Bytes that a server sent before it ended may still be in transit when its next
 * incarnation is reported; an answer that is complete by then counts. A link delays them
 * by some milliseconds; the rest allows for process pauses of boxes.
 */
export const LAST_BYTES_MS = 300

/** Ended incarnations that are remembered; no request lasts while this many end. */
const MAX_ENDED_INCARNATIONS = 1_000

/** Removes the state of an ended incarnation. Its attempts end after `LAST_BYTES_MS`. */
export function endLife(box: BoxServing, id: string, now: number): void {
  for (const byServer of [box.engines, box.held, box.suspects, box.rests])
    byServer.delete(id)
  box.rates.forget(id)
  box.allowances.forget(id)
  box.endedLives.set(id, now + LAST_BYTES_MS)
  const [oldest] = box.endedLives.keys()
  if (oldest !== undefined && box.endedLives.size > MAX_ENDED_INCARNATIONS)
    box.endedLives.delete(oldest)
}

/**
 * Ends an attempt at a server whose incarnation has ended, as one that may have run.
 * Returns whether it did. Over a cut link no connection reset arrives, and the caller
 * would otherwise wait until its deadline.
 */
export function endIfOver(
  box: BoxServing,
  request: BoxRequest,
  {backend, number, heardAt}: Attempt,
  now: number
): boolean {
  const endAt = box.endedLives.get(backend)
  if (endAt === undefined || now < endAt) return false
  if (heardAt !== undefined && now - heardAt < LAST_BYTES_MS) return false
  abortAttempt(box, request, now)
  const {id} = request.arrival
  attemptFailed(box, id, number, "broken", request.lastEventId, now)
  return true
}
