/**
 * Aborts attempts that wait at an engine on a version that has been replaced meanwhile.
 * An engine that receives the order to replace the version rejects them unrun. Without
 * that order, they would start seconds later on the old version.
 */
import {abortAttempt} from "./box-ends.js"
import {handleAttemptFailure} from "./box-attempts.js"
import {type Attempt, type BoxRequest, type BoxServing, logEvent} from "./box-state.js"
import {isTooLateToStart} from "./box-versions.js"

/**
 * Aborts an attempt that has not started and that may no longer start on its version, and
 * retries the request if that is safe. Returns whether it did. Whether the attempt ran is
 * then unknown, so a request that must not run twice ends with an unknown outcome.
 */
export function abortIfOutdated(
  box: BoxServing,
  request: BoxRequest,
  attempt: Attempt,
  now: number
): boolean {
  const hasStarted = attempt.headReceived || attempt.firstByteAt !== undefined
  if (hasStarted || !isTooLateToStart(box, request, attempt, now)) return false
  const {id, name, weights} = request.arrival
  logEvent(box, "old-version-taken-back", {
    request: name,
    backend: attempt.backend,
    adapter: weights?.adapter ?? "",
    version: attempt.version ?? 0,
    queuedMs: Math.round(now - attempt.sentAt)
  })
  abortAttempt(box, request, attempt, now)
  handleAttemptFailure(box, id, attempt.number, "overtaken", request.lastEventId, now)
  return true
}
