/**
 * Repeats the checks of a send right before its bytes leave, since the attempt may have
 * waited for a connection.
 */
import {recheckAccess} from "./access.js"
import {isUsable} from "./backend-list.js"
import {isQuarantined} from "./box-crashes.js"
import type {AttemptFailure} from "./box-attempt-failures.js"
import {isSnapshotStale} from "./box-snapshot-age.js"
import type {Arrival, BoxServing} from "./box-state.js"
import {CHARGE_TIMEOUT_MS} from "./usage-limits.js"
import {backoffRemainingMs} from "./server-notices.js"
import {isOfVersion} from "./box-streams.js"
import {canRunOnVersion} from "./box-versions.js"

/** Returns why the attempt must not be sent now, or undefined if it may be. */
export function findSendObstacle(
  box: BoxServing,
  id: string,
  now: number
): AttemptFailure | undefined {
  const request = box.requests.get(id)
  const attempt = request?.attempt
  if (!request || !attempt) return "overtaken"
  const {charge} = attempt
  if (charge && now - charge.at > CHARGE_TIMEOUT_MS) return "overtaken"
  if (!isUsable(box.backends, attempt.backend)) return "not-sent"
  const record = box.backends.known.get(attempt.backend)?.record
  if (record && !isOfVersion(request, record)) return "overtaken"
  if (backoffRemainingMs(box, attempt.backend, now) > 0) return "overtaken"
  const {allowedUntil = -Infinity} = attempt
  if (box.advertisedRates.of(attempt.backend) !== undefined && now > allowedUntil) {
    return "overtaken"
  }
  if (!hasCurrentAccess(box, request.arrival)) return "overtaken"
  if (isQuarantined(box, request)) return "overtaken"
  const holds =
    !isSnapshotStale(box, now) && canRunOnVersion(box, request, attempt.version, now)
  return holds ? undefined : "overtaken"
}

/**
 * Whether the configuration in force grants access for the organisation that the request
 * is about to run for.
 */
function hasCurrentAccess(box: BoxServing, arrival: Arrival): boolean {
  const access = recheckAccess(box, arrival)
  if (!access.granted) return false
  return !access.organisation || access.organisation.name === arrival.organisation
}
