/** Periodic checks of requests: deadlines, waiting times and silent backend servers. */
import {expireRetryRequest} from "./box-retry-requests.js"
import {chooseBackend} from "./box-choose.js"
import {SUSPECT_MS, markSuspect} from "./box-attempt-failures.js"
import {endIfQuarantined} from "./box-crashes.js"
import {abortAttempt, failRequest} from "./box-ends.js"
import {endIfIncarnationEnded} from "./box-incarnations.js"
import {isSnapshotStale} from "./box-snapshot-age.js"
import {canRetry, retryRequest} from "./box-retries.js"
import {sendOrWait} from "./box-requests.js"
import {requestUsageAllowances, expireAllowanceWait} from "./box-usage.js"
import {requestSendAllowances} from "./box-pacing.js"
import {abortIfOutdated} from "./box-outdated-attempts.js"
import type {Attempt, BoxRequest, BoxServing} from "./box-state.js"

/** Pause in a stream after which it is continued on another server. */
const STREAM_SILENCE_MS = 1_300

/** Multiple of the target time without any answer after which another server is tried. */
const FIRST_SILENCE_FACTOR = 1.8

/**
 * Time that a request must have left to be moved to an engine that has yet to load its
 * weights.
 */
const MIN_MOVE_MS = 1_200

/**
 * Sends waiting requests that can be sent now, and ends or moves those past their limits.
 */
export function tickRequests(box: BoxServing, now: number): void {
  for (const request of box.requests.values()) {
    if (now >= request.deadlineAt) {
      expireRequest(box, request, now)
    } else if (
      expireRetryRequest(box, request, now) ||
      expireAllowanceWait(box, request, now)
    ) {
      continue
    } else if (!request.attempt) {
      sendOrWait(box, request, now)
      const waits = !request.attempt && box.requests.has(request.arrival.id)
      if (waits && now >= request.holdUntil && !isSnapshotStale(box, now)) {
        failRequest(box, request, request.runs > 0 ? "unknown" : "not-run", now)
      }
    } else {
      checkAttempt(box, request, request.attempt, now)
    }
  }
  requestUsageAllowances(box, now)
  requestSendAllowances(box, now)
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
  checkSilence(box, request, attempt, now)
}

function expireRequest(box: BoxServing, request: BoxRequest, now: number): void {
  const mayHaveRun = request.runs > 0 || request.attempt?.started === true
  failRequest(box, request, mayHaveRun ? "timeout" : "not-run", now)
}

function checkSilence(
  box: BoxServing,
  request: BoxRequest,
  attempt: Attempt,
  now: number
): void {
  const {route} = request.arrival
  const silentMs = now - (attempt.lastByteAt ?? attempt.sentAt)
  const limitMs = attempt.headReceived
    ? STREAM_SILENCE_MS
    : Math.max(500, route.targetMs * FIRST_SILENCE_FACTOR)
  if (silentMs < limitMs) return
  if (attempt.headReceived && route.kind !== "streaming") return
  markSuspect(box, attempt.backend, now)
  if (!canRetry(box, request, now)) return
  request.avoided.set(attempt.backend, now + SUSPECT_MS)
  const other = chooseBackend(box, request, now)
  // If no other server can take it now, move it only if there is time to load weights.
  if (!other && request.deadlineAt - now < MIN_MOVE_MS) return
  abortAttempt(box, request, now)
  retryRequest(box, request, "silent", now)
  request.avoided.set(attempt.backend, now + SUSPECT_MS)
}
