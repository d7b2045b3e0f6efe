/** Sending a request once more, after a run that may have begun: whether it is safe, and within the budget. */
import {leaveAttempt} from "./box-ends.js"
import {advance} from "./box-requests.js"
import {type BoxRequest, type BoxServing, budgetOf, note} from "./box-state.js"
import {isRepeatable} from "./route-table.js"
import {runningMs} from "./suspensions.js"

/** A backend server that failed a request is not asked again at once, milliseconds. */
const FAILED_PAUSE_MS = 200

/** Whether it may run once more, elsewhere, and the box has a repeat for it. */
export function mayRepeat(box: BoxServing, request: BoxRequest, now: number): boolean {
  if (!allowsRepeat(request)) return false
  return budgetOf(box, request.arrival.service).left(runningMs(box, now), box.boxes) > 0
}

/** Whether it may run once more, elsewhere, if there is a repeat for it. */
export function allowsRepeat({arrival: {route}, attempts, replied}: BoxRequest): boolean {
  if (!isRepeatable(route) || attempts >= route.maxAttempts) return false
  return !replied || route.kind === "streaming"
}

/** Sends it once more, after a run that may have begun. */
export function repeat(
  box: BoxServing,
  request: BoxRequest,
  after: string,
  now: number
): void {
  noteRun(box, request, after, now)
  advance(box, request, now)
}

/** An attempt that may have run is over, and the request goes on elsewhere. */
export function noteRun(
  box: BoxServing,
  request: BoxRequest,
  after: string,
  now: number
): void {
  const {attempt, arrival} = request
  if (attempt) {
    request.avoided.set(attempt.backend, now + FAILED_PAUSE_MS)
    if (after !== "overtaken") request.failedAt.add(attempt.backend)
  }
  request.runs++
  note(box, "route-again", {
    request: arrival.name,
    after,
    lastEventId: request.lastEventId ?? ""
  })
  leaveAttempt(box, request)
  request.holdUntil = Math.min(request.giveUpAt, now + arrival.route.targetMs)
}
