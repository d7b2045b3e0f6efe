/** Whether what was decided at a send still holds as its bytes leave: it may have waited for a connection. */
import {isUsable} from "./backend-list.js"
import {isStale} from "./box-news.js"
import type {BoxServing} from "./box-state.js"
import {mayRunOn} from "./box-versions.js"

/** Whether bytes of the request's attempt may leave now. */
export function mayStart(box: BoxServing, id: string, now: number): boolean {
  const request = box.requests.get(id)
  const attempt = request?.attempt
  if (!request || !attempt) return false
  if (!isUsable(box.backends, attempt.backend) || isStale(box, now)) return false
  return mayRunOn(box, request, attempt.version, now)
}
