/**
 * Repeats the checks of a send right before its bytes leave, since the attempt may have
 * waited for a connection.
 */
import {isKeyStillValid} from "./access.js"
import {isUsable} from "./backend-list.js"
import {isStopped} from "./box-crashes.js"
import type {AttemptFailure} from "./box-doubts.js"
import {isStale} from "./box-news.js"
import type {BoxServing} from "./box-state.js"
import {CHARGE_TIMEOUT_MS} from "./usage-limits.js"
import {restsForMs} from "./server-notices.js"
import {mayRunOn} from "./box-versions.js"

/** Returns why the attempt must not be sent now, or undefined if it may be. */
export function findObstacle(
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
  if (restsForMs(box, attempt.backend, now) > 0) return "overtaken"
  const {allowedUntil = -Infinity} = attempt
  if (box.rates.of(attempt.backend) !== undefined && now > allowedUntil) {
    return "overtaken"
  }
  const {key, organisation} = request.arrival
  if (!isKeyStillValid(box, key, organisation)) return "overtaken"
  if (isStopped(box, request)) return "overtaken"
  const holds = !isStale(box, now) && mayRunOn(box, request, attempt.version, now)
  return holds ? undefined : "overtaken"
}
