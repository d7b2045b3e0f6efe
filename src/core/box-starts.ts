/** Whether what was decided at a send still holds as its bytes leave: it may have waited for a connection. */
import {isUsable} from "./backend-list.js"
import type {AttemptFailure} from "./box-doubts.js"
import {isStale} from "./box-news.js"
import type {BoxServing} from "./box-state.js"
import {mayRunOn} from "./box-versions.js"

/** Why no bytes of the request's attempt may leave now; undefined: they may. */
export function findObstacle(
  box: BoxServing,
  id: string,
  now: number
): AttemptFailure | undefined {
  const request = box.requests.get(id)
  const attempt = request?.attempt
  if (!request || !attempt) return "overtaken"
  if (!isUsable(box.backends, attempt.backend)) return "not-sent"
  const holds = !isStale(box, now) && mayRunOn(box, request, attempt.version, now)
  return holds ? undefined : "overtaken"
}
