/**
 * What waits at an engine on a version that was replaced meanwhile. An engine that is told to replace the
 * version turns it away unrun; where no such order comes through, it would begin seconds later.
 */
import {abortAttempt} from "./box-ends.js"
import {attemptFailed} from "./box-attempts.js"
import {type Attempt, type BoxRequest, type BoxServing, note} from "./box-state.js"
import {isTooLateToBegin} from "./box-versions.js"

/**
 * Closes the connection of an attempt that has not begun while it might, and goes on elsewhere where that
 * is safe; true: it did. Whether it ran is not known then, so what may not run twice ends as that.
 */
export function takeBackIfOutdated(
  box: BoxServing,
  request: BoxRequest,
  attempt: Attempt,
  now: number
): boolean {
  const begun = attempt.headed || attempt.firstAt !== undefined
  if (begun || !isTooLateToBegin(box, request, attempt, now)) return false
  const {id, name, weights} = request.arrival
  note(box, "old-version-taken-back", {
    request: name,
    backend: attempt.backend,
    adapter: weights?.adapter ?? "",
    version: attempt.version ?? 0,
    queuedMs: Math.round(now - attempt.sentAt)
  })
  abortAttempt(box, request, now)
  attemptFailed(box, id, attempt.number, "overtaken", request.lastEventId, now)
  return true
}
