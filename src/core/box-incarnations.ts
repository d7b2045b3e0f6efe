/**
 * Handles the end of a backend server's incarnation, seen when the server has started
 * again.
 */
import {abortAttempt} from "./box-ends.js"
import {handleAttemptFailure} from "./box-attempts.js"
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
export function endIncarnation(box: BoxServing, id: string, now: number): void {
  for (const byServer of [
    box.engines,
    box.recentAdapters,
    box.suspectUntil,
    box.backoffUntil
  ])
    byServer.delete(id)
  box.advertisedRates.forget(id)
  box.sendAllowances.forget(id)
  box.endedIncarnations.set(id, now + LAST_BYTES_MS)
  const [oldest] = box.endedIncarnations.keys()
  if (oldest !== undefined && box.endedIncarnations.size > MAX_ENDED_INCARNATIONS)
    box.endedIncarnations.delete(oldest)
}

/**
 * Ends an attempt at a server whose incarnation has ended, as one that may have run.
 * Returns whether it did. Over a cut link no connection reset arrives, and the caller
 * would otherwise wait until its deadline.
 */
export function endIfIncarnationEnded(
  box: BoxServing,
  request: BoxRequest,
  {backend, number, lastByteAt}: Attempt,
  now: number
): boolean {
  const endAt = box.endedIncarnations.get(backend)
  if (endAt === undefined || now < endAt) return false
  if (lastByteAt !== undefined && now - lastByteAt < LAST_BYTES_MS) return false
  abortAttempt(box, request, now)
  const {id} = request.arrival
  handleAttemptFailure(box, id, number, "broken", request.lastEventId, now)
  return true
}
