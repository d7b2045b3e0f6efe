/** Periodic checks of requests: deadlines, waiting times and silent backend servers. */
import {expireRetryRequest} from "./box-retry-requests.js"
import {endIfQuarantined} from "./box-crashes.js"
import {compareWaiting, waitUntil} from "./caller-time.js"
import {failRequest} from "./box-ends.js"
import {endIfIncarnationEnded} from "./box-incarnations.js"
import {isSnapshotStale} from "./box-snapshot-age.js"
import {sendOrWait} from "./box-requests.js"
import {checkSilence} from "./box-silence.js"
import {checkQuietPath} from "./box-paths.js"
import {requestUsageAllowances} from "./box-usage.js"
import {requestSendAllowances} from "./box-pacing.js"
import {abortIfOutdated} from "./box-outdated-attempts.js"
import {
  type Attempt,
  type BoxRequest,
  type BoxServing,
  openAttempts
} from "./box-state.js"

/**
 * Sends waiting requests that can be sent now, and ends or moves those past their limits.
 */
export function tickRequests(box: BoxServing, now: number): void {
  for (const request of listInOrder(box)) {
    const {silentAttempt} = request
    if (now >= request.deadlineAt) {
      expireRequest(box, request, now)
      continue
    }
    if (silentAttempt && !endIfIncarnationEnded(box, request, silentAttempt, now)) {
      abortIfOutdated(box, request, silentAttempt, now)
    }
    if (expireRetryRequest(box, request, now)) continue
    if (!request.attempt) {
      sendOrWait(box, request, now)
      const waits = !request.attempt && box.requests.has(request.arrival.id)
      if (waits && now >= waitUntil(box, request, now) && !isSnapshotStale(box, now)) {
        failRequest(box, request, request.runs > 0 ? "unknown" : "not-run", now)
      }
    } else {
      checkAttempt(box, request, request.attempt, now)
    }
  }
  requestUsageAllowances(box, now)
  requestSendAllowances(box, now)
}

/** Returns all requests, those that wait in the order of service. */
function listInOrder({requests}: BoxServing): readonly BoxRequest[] {
  const sent: BoxRequest[] = []
  const waiting: BoxRequest[] = []
  for (const request of requests.values())
    (request.attempt ? sent : waiting).push(request)
  return [...sent, ...waiting.sort(compareWaiting)]
}

/** Ends all requests whose answers have not begun, as the process exits. */
export function expireUnanswered(box: BoxServing, now: number): void {
  for (const request of box.requests.values()) {
    if (!request.answerStarted) expireRequest(box, request, now)
  }
}

function checkAttempt(
  box: BoxServing,
  request: BoxRequest,
  attempt: Attempt,
  now: number
): void {
  if (endIfIncarnationEnded(box, request, attempt, now)) return
  if (endIfQuarantined(box, request, attempt, now)) return
  if (abortIfOutdated(box, request, attempt, now)) return
  checkQuietPath(box, attempt, now)
  checkSilence(box, request, attempt, now)
}

function expireRequest(box: BoxServing, request: BoxRequest, now: number): void {
  const hasStarted = openAttempts(request).some(({started}) => started)
  const mayHaveRun = request.runs > 0 || hasStarted
  failRequest(box, request, mayHaveRun ? "timeout" : "not-run", now)
}
