/** Tries other backend servers for requests whose servers are silent. */
import {recheckAccess} from "./access.js"
import {SUSPECT_MS, markSuspect} from "./box-attempt-failures.js"
import {canChargeSend} from "./box-charges.js"
import {chooseBackend, hasOtherFastServer, hasOtherHealthyServer} from "./box-choose.js"
import {isQuarantined} from "./box-crashes.js"
import {abortAttempt, endAttempt} from "./box-ends.js"
import {hedgeRequest} from "./box-hedges.js"
import {isOnDownPath, isOnLostPath} from "./box-paths.js"
import {isPlainRequest, plainHedgeMs, recordPlainMove} from "./box-plain.js"
import {isTooLate} from "./caller-time.js"
import {sendOrWait} from "./box-requests.js"
import {canRetry, isRetryable, retryRequest} from "./box-retries.js"
import {canRequestRetry} from "./box-retry-requests.js"
import {isSnapshotStale} from "./box-snapshot-age.js"
import {hasServerOfVersion} from "./box-streams.js"
import {type Attempt, type BoxRequest, type BoxServing, logEvent} from "./box-state.js"

/**
 * Pause in a stream after which another server is tried. Callers stay for two seconds at
 * least, so that the other server has some time to go on.
 */
const STREAM_SILENCE_MS = 1_300

/** Shortest time without any answer after which another server is tried. */
const MIN_FIRST_SILENCE_MS = 500

/** Shortest time after which another server is tried again for the same attempt. */
const HEDGE_INTERVAL_MS = 500

/** Interval of requests to the leader for a retry of the same attempt. */
const MOVE_REQUEST_INTERVAL_MS = 500

/** Tries another server for the request if its server is silent. */
export function checkSilence(
  box: BoxServing,
  request: BoxRequest,
  attempt: Attempt,
  now: number
): void {
  attempt.needsAllowance = false
  if (!isSilent(box, request, attempt, now)) {
    return moveFromSlowServer(box, request, attempt, now)
  }
  if (attempt.via === undefined) markSuspect(box, attempt.backend, now)
  else box.peers.recordFailure(attempt.via, now)
  if (canRetry(box, request, now)) moveRequest(box, request, attempt, now)
  else requestMove(box, request, attempt, now)
}

/**
 * Moves the first attempt of a repeatable request from a server without engines that is
 * silent for much longer than usual. The server is not suspect: it may only be slow.
 */
function moveFromSlowServer(
  box: BoxServing,
  request: BoxRequest,
  attempt: Attempt,
  now: number
): void {
  const hedgeMs = plainHedgeMs(box, request, attempt)
  const {backend, lastByteAt, sentAt} = attempt
  if (hedgeMs === undefined || now - (lastByteAt ?? sentAt) < hedgeMs) return
  if (!canRetry(box, request, now)) return
  if (!hasOtherFastServer(box, request, backend, now)) return
  recordPlainMove(box, request, attempt, now)
  request.avoided.set(backend, now + SUSPECT_MS)
  hedgeRequest(box, request, attempt, "slow", now)
}

/** Handles the leader's answer for a request whose server was silent. */
export function handleMoveAnswer(
  box: BoxServing,
  request: BoxRequest,
  attempt: Attempt,
  now: number
): void {
  // The server may have begun to answer since.
  if (!isSilent(box, request, attempt, now)) return
  request.hasRetryGrant = true
  moveRequest(box, request, attempt, now)
}

function isSilent(
  box: BoxServing,
  {arrival: {route}}: BoxRequest,
  attempt: Attempt,
  now: number
): boolean {
  const isStream = route.kind === "streaming"
  if (attempt.headReceived && !isStream) return false
  const silentMs = now - (attempt.lastByteAt ?? attempt.sentAt)
  if (isOnDownPath(box, attempt)) return silentMs >= MIN_FIRST_SILENCE_MS
  if (attempt.headReceived) return silentMs >= STREAM_SILENCE_MS
  const leastMs = isStream ? STREAM_SILENCE_MS : MIN_FIRST_SILENCE_MS
  const lateMs = box.routeTimes.lateFirstMs(route.name, now) ?? 0
  return silentMs >= Math.max(leastMs, lateMs)
}

function moveRequest(
  box: BoxServing,
  request: BoxRequest,
  attempt: Attempt,
  now: number
): void {
  if (!canMove(box, request, attempt, now)) return
  if (attempt.firstByteAt === undefined) {
    const {name} = request.arrival.route
    box.routeTimes.recordSilence(name, now - attempt.sentAt, now)
  }
  if (staysOpen(box, request, attempt)) {
    return hedgeRequest(box, request, attempt, "silent", now)
  }
  abortAttempt(box, request, attempt, now)
  if (attempt.started) return retryRequest(box, request, "silent", now)
  // Nothing was sent, so the request has not run there.
  endAttempt(box, request)
  sendOrWait(box, request, now)
}

/**
 * Whether the attempt stays open while another server is tried. One that has not begun at
 * its engine is closed: both would wait for a place, while places are scarce.
 */
function staysOpen(box: BoxServing, request: BoxRequest, attempt: Attempt): boolean {
  const {started, headReceived} = attempt
  if (!started || request.silentAttempt || isOnLostPath(box, attempt)) return false
  return headReceived || isPlainRequest(box, request)
}

/**
 * Whether another server can take the request now, or can load its weights in time. An
 * attempt that is closed for it is only left for a server that can take it now.
 */
function canMove(
  box: BoxServing,
  request: BoxRequest,
  attempt: Attempt,
  now: number
): boolean {
  const {backend, hedgedAt} = attempt
  if (hedgedAt !== undefined && now - hedgedAt < HEDGE_INTERVAL_MS) return false
  const isLost = isOnLostPath(box, attempt)
  if (!isLost) request.avoided.set(backend, now + SUSPECT_MS)
  const mayLose = attempt.started && !isLost && !staysOpen(box, request, attempt)
  if (chooseBackend(box, request, now)) {
    return !mayLose || canReplace(box, request, attempt, now)
  }
  // It has waited for weights before.
  if (hedgedAt !== undefined) return false
  if (!isLost && !staysOpen(box, request, attempt)) return false
  if (!hasServerOfVersion(box, request, backend)) return false
  // Servers that are all silent at once take no load orders either.
  if (!hasOtherHealthyServer(box, request, backend, now)) return false
  return !isTooLate(box, request, box.leastLoadMs, now)
}

/**
 * Whether another attempt could be sent as soon as this one is closed. An allowance that is
 * missing for it is requested meanwhile.
 */
function canReplace(
  box: BoxServing,
  request: BoxRequest,
  attempt: Attempt,
  now: number
): boolean {
  // The trial of a quarantined request is one send.
  const isRefused = isQuarantined(box, {...request, attempt: undefined})
  if (isRefused || isSnapshotStale(box, now)) return false
  if (!recheckAccess(box, request.arrival).granted) return false
  attempt.needsAllowance = !canChargeSend(box, request, now)
  return !attempt.needsAllowance
}

/**
 * Requests a retry from the leader, since this box's own budget is used up. The attempt
 * goes on meanwhile, and if the leader denies it.
 */
function requestMove(
  box: BoxServing,
  request: BoxRequest,
  attempt: Attempt,
  now: number
): void {
  const {moveRequestedAt = -Infinity} = attempt
  if (now - moveRequestedAt < MOVE_REQUEST_INTERVAL_MS) return
  attempt.moveRequestedAt = now
  const mayAsk = isRetryable(request) && canRequestRetry(box)
  const {id, name, service} = request.arrival
  logEvent(box, "route-silent", {
    request: name,
    backend: attempt.backend,
    silentMs: Math.round(now - (attempt.lastByteAt ?? attempt.sentAt)),
    retryable: isRetryable(request),
    asked: mayAsk
  })
  if (!mayAsk || !canMove(box, request, attempt, now)) return
  box.effects.push({type: "ask-retry", id, service})
}
