/** What becomes of a box's beliefs and requests when a backend server is known to have started again. */
import {abortAttempt} from "./box-ends.js"
import {attemptFailed} from "./box-attempts.js"
import type {Attempt, BoxRequest, BoxServing} from "./box-state.js"

/**
 * What a server sent before it ended may still be on its way when its next life is heard of: an
 * answer that is whole by then counts. A link's delay is some milliseconds; the rest is for boxes
 * that stood still.
 */
export const LAST_BYTES_MS = 300

/** Ended lives that are remembered: no request outlasts so many. */
const MAX_ENDED = 1_000

/** Drops what was believed of a life that is over; its requests end once no more can come of it. */
export function endLife(box: BoxServing, id: string, now: number): void {
  for (const beliefs of [box.engines, box.held, box.suspects, box.rests])
    beliefs.delete(id)
  box.rates.forget(id)
  box.allowances.forget(id)
  box.endedLives.set(id, now + LAST_BYTES_MS)
  const [oldest] = box.endedLives.keys()
  if (oldest !== undefined && box.endedLives.size > MAX_ENDED)
    box.endedLives.delete(oldest)
}

/**
 * Ends an attempt that runs at a server whose life is over; true: it did. No reset comes over a link
 * that is cut, and a caller would wait until its time is over. It may have run.
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
