/** Handles the events of an attempt: start, first bytes, head, end and failure. */
import {type AnswerEnd, toLogFields} from "./answer-end.js"
import {hasFewPlaces} from "./engine-load.js"
import {MIN_PACED_EVENTS} from "./engine-speeds.js"
import {requestRetry, canRequestRetry} from "./box-retry-requests.js"
import {
  type AttemptFailure,
  handleSlotRefusal,
  isRefusal,
  REFUSED_PAUSE_MS,
  markSuspect
} from "./box-attempt-failures.js"
import {
  recordCompleteAnswer,
  recordProgress,
  refuseUncarried,
  suspectCrash
} from "./box-crashes.js"
import {
  removeRequest,
  failRequest,
  endAttempt,
  endSilentAttempt,
  recordIncompleteAttempt,
  reportEngineUse
} from "./box-ends.js"
import {replaceSilentAttempt, returnToSilentAttempt} from "./box-hedges.js"
import {isRetryable, canRetry, endPossibleRun, retryRequest} from "./box-retries.js"
import {sendOrWait} from "./box-requests.js"
import {refundCharge} from "./box-charges.js"
import {recordPlainAnswer} from "./box-plain.js"
import {checkPath, choosePeer, recordConnectFailure} from "./box-paths.js"
import {
  type Attempt,
  type BoxRequest,
  type BoxServing,
  retryBudgetOf,
  logEvent,
  openAttempts
} from "./box-state.js"
import {logOldVersionStart} from "./box-versions.js"
import {recordReopeningEnd} from "./server-notices.js"
import {runningMs} from "./suspensions.js"

/** Refusals after which a request fails. */
const MAX_REFUSALS = 3

/**
 * Refusals after which a request fails if weights are only late: six pauses, each twice
 * the last, add up to 3.8 s.
 */
const MAX_LATE_REFUSALS = 6

/** Handles the start of sending: from here on bytes may have been sent. */
export function handleAttemptStart(
  box: BoxServing,
  id: string,
  number: number,
  now: number
): void {
  const attempt = findAttempt(box, id, number)
  if (!attempt) return
  attempt.started = true
  box.recentSends.record(attempt.backend, runningMs(box, now))
}

/** Handles received bytes of the attempt's answer. */
export function handleAnswerBytes(
  box: BoxServing,
  id: string,
  number: number,
  now: number,
  lastEventId?: string
): void {
  const request = box.requests.get(id)
  const attempt = recallAttempt(box, id, number, now)
  if (!request || !attempt) return
  if (lastEventId !== undefined) request.lastEventId = lastEventId
  attempt.lastByteAt = now
  request.heardAt = now
  if (attempt.via === undefined) box.reach.recordHeard(attempt.backend, now)
  box.suspectUntil.delete(attempt.backend)
  box.reopening.delete(attempt.backend)
  box.clearedRequests.recordAlive(attempt.backend, now)
  recordProgress(box, request, attempt, now)
  if (attempt.firstByteAt !== undefined) return
  attempt.firstByteAt = now
  // The prefill is done, so its tokens no longer count as waiting.
  const tokens = -attempt.uncachedTokens
  reportEngineUse(box, request, {engine: attempt.backend, begun: 0, ended: 0, tokens})
}

/**
 * Handles that the box itself has stopped reading the attempt's answer. The server is not
 * silent then, but it was not heard either.
 */
export function handleAnswerHeldUp(
  box: BoxServing,
  id: string,
  number: number,
  now: number
): void {
  const attempt = recallAttempt(box, id, number, now)
  if (!attempt) return
  attempt.lastByteAt = now
  attempt.heldUp = true
}

/**
 * Handles the head of an answer, which shows that the backend server handled the request.
 */
export function handleAnswerHead(
  box: BoxServing,
  id: string,
  number: number,
  head: AnswerHead,
  now: number
): void {
  const request = box.requests.get(id)
  if (!request) return
  const {silentAttempt} = request
  if (silentAttempt?.number === number && isUnusable(request, head)) {
    box.effects.push({type: "discard", id, attempt: number})
    return endSilentRun(box, request, silentAttempt)
  }
  const attempt = recallAttempt(box, id, number, now)
  if (!attempt) return
  if (!attempt.headReceived) logOldVersionStart(box, request, attempt, now)
  if (!attempt.headReceived && !head.failed) attempt.latencyMs = now - attempt.sentAt
  attempt.headReceived = true
  box.reopening.delete(attempt.backend)
  attempt.isError = head.failed
  attempt.lastByteAt = now
  if (isUnusable(request, head) && canRetry(box, request, now)) {
    box.effects.push({type: "discard", id, attempt: number})
    return retryRequest(box, request, "failed", now)
  }
  if (isForeign(request, head)) return failRequest(box, request, "unknown", now)
  replaceSilentAttempt(box, request, now)
  // Other answers are sent to the caller once complete and can be replaced until then.
  request.answerStarted ||= head.streamed
  box.effects.push({type: "pass", id, attempt: number})
}

interface AnswerHead {
  readonly failed: boolean
  readonly streamed: boolean
}

/** Whether another server should be tried because of the head of an answer. */
function isUnusable(request: BoxRequest, head: AnswerHead): boolean {
  return head.failed || isForeign(request, head)
}

/** Only a streamed answer can continue a stream that the caller has begun to receive. */
function isForeign({answerStarted}: BoxRequest, {streamed}: AnswerHead): boolean {
  return answerStarted && !streamed
}

/** Ends a silent attempt that has run in vain; the request goes on without it. */
function endSilentRun(box: BoxServing, request: BoxRequest, {backend}: Attempt): void {
  request.failedBackends.add(backend)
  endSilentAttempt(box, request)
  request.runs++
}

/** Records how the bytes of the attempt's answer ended, for the log. */
export function recordAnswerEnd(
  box: BoxServing,
  id: string,
  number: number,
  end: AnswerEnd
): void {
  const request = box.requests.get(id)
  const attempt = request && openAttempts(request).find(each => each.number === number)
  if (attempt) attempt.answerEnd = end
}

/** Handles the end of an answer that was forwarded completely. */
export function handleAnswerEnd(
  box: BoxServing,
  id: string,
  number: number,
  events: number,
  now: number
): void {
  const request = box.requests.get(id)
  const attempt = recallAttempt(box, id, number, now)
  if (!request || !attempt) return
  reportPace(box, request, attempt, events, now)
  logEvent(box, "route-ended", {
    request: request.arrival.name,
    route: request.arrival.route.name,
    backend: attempt.backend,
    attempts: request.attempts,
    targetMs: Math.round(request.arrival.route.targetMs),
    sentMs: Math.round(attempt.sentAt - request.arrivedAt),
    firstMs: Math.round((attempt.firstByteAt ?? now) - request.arrivedAt),
    totalMs: Math.round(now - request.arrivedAt),
    gapTargetMs: Math.round(request.arrival.route.gapTargetMs),
    events,
    ...toLogFields(attempt.answerEnd)
  })
  recordTimes(box, request, attempt, now)
  replaceSilentAttempt(box, request, now)
  recordCompleteAnswer(box, request, attempt, now)
  recordPlainAnswer(box, request, attempt, now)
  removeRequest(box, request)
}

/** Records how long a whole answer took. The rest of a resumed stream tells nothing of it. */
function recordTimes(
  box: BoxServing,
  {arrival: {route, lastEventId}, hasEvents, runs}: BoxRequest,
  {sentAt, firstByteAt}: Attempt,
  now: number
): void {
  if (lastEventId !== undefined || (hasEvents && runs > 0)) return
  const times = {firstMs: (firstByteAt ?? now) - sentAt, totalMs: now - sentAt}
  box.routeTimes.record(route.name, times, now)
}

/**
 * Reports the pace of a stream, from which the leader learns the engine's speed. The pace of
 * a stream that was held up is that of its caller.
 */
function reportPace(
  box: BoxServing,
  request: BoxRequest,
  {backend, firstByteAt, heldUp, via}: Attempt,
  events: number,
  now: number
): void {
  const limits = box.table?.services.get(request.arrival.service)?.engine
  if (!hasFewPlaces(limits) || via !== undefined || firstByteAt === undefined) return
  if (heldUp || events < MIN_PACED_EVENTS) return
  const pace = {events: events - 1, ms: now - firstByteAt}
  reportEngineUse(box, request, {engine: backend, begun: 0, ended: 0, tokens: 0, pace})
}

/** Handles an attempt that ended without a complete answer. */
export function handleAttemptFailure(
  box: BoxServing,
  id: string,
  number: number,
  failure: AttemptFailure,
  lastEventId: string | undefined,
  now: number
): void {
  const request = box.requests.get(id)
  if (!request) return
  if (request.silentAttempt?.number === number) {
    return handleSilentFailure(box, request, request.silentAttempt, failure, now)
  }
  const {attempt} = request
  if (attempt?.number !== number) return
  if (lastEventId !== undefined) request.lastEventId = lastEventId
  request.lastFailure = failure
  recordReopeningEnd(box, attempt.backend)
  if (failure === "not-sent" || failure === "not-carried") {
    return handleUnsentAttempt(box, request, attempt, failure, now)
  }
  if (failure === "quarantined") return refuseUncarried(box, request, attempt, now)
  const isBroken = failure === "broken" || failure === "broken-beyond"
  const mayHaveRun = attempt.started && (isBroken || failure === "overtaken")
  if (attempt.started && isBroken) logBrokenAttempt(box, request, attempt, now)
  const areWeightsLate =
    isRefusal(failure) && handleSlotRefusal(box, request, attempt, failure, now)
  // An overtaken attempt is no failure of the engine.
  if (!areWeightsLate && failure !== "overtaken")
    request.failedBackends.add(attempt.backend)
  if (isBroken) {
    recordBreak(box, request, attempt, failure, now)
  }
  // Going back to the silent attempt must not abort one whose connection is closed.
  if (request.silentAttempt) attempt.aborted = true
  if (mayHaveRun) {
    if (canRetry(box, request, now)) return retryRequest(box, request, failure, now)
    if (!isRetryable(request) || !canRequestRetry(box)) {
      return failRequest(box, request, "unknown", now)
    }
    endPossibleRun(box, request, failure, now)
    return requestRetry(box, request, now)
  }
  refundCharge(box, attempt)
  const maxRefusals = areWeightsLate ? MAX_LATE_REFUSALS : MAX_REFUSALS
  retryRefused(box, request, attempt, failure, maxRefusals, now)
}

/** Handles a silent attempt that ended without an answer. The hedge goes on alone. */
function handleSilentFailure(
  box: BoxServing,
  request: BoxRequest,
  silent: Attempt,
  failure: AttemptFailure,
  now: number
): void {
  if (failure === "broken" || failure === "broken-beyond") {
    logBrokenAttempt(box, request, silent, now)
    recordBreak(box, request, silent, failure, now)
    return endSilentRun(box, request, silent)
  }
  if (failure === "overtaken") return endSilentRun(box, request, silent)
  if (isRefusal(failure)) handleSlotRefusal(box, request, silent, failure, now)
  else request.unsent++
  refundCharge(box, silent)
  endSilentAttempt(box, request)
}

function recordBreak(
  box: BoxServing,
  request: BoxRequest,
  attempt: Attempt,
  failure: "broken" | "broken-beyond",
  now: number
): void {
  if (!attempt.aborted) recordIncompleteAttempt(box, request, attempt, now)
  if (failure === "broken") recordBrokenPath(box, attempt, now)
  else markSuspect(box, attempt.backend, now)
  suspectCrash(box, attempt.backend, now)
}

/** Retries a request that no server ran, unless it was refused too often. */
function retryRefused(
  box: BoxServing,
  request: BoxRequest,
  {backend}: Attempt,
  failure: AttemptFailure,
  maxRefusals: number,
  now: number
): void {
  // Going back to the silent attempt must not count it again, as one that may have run.
  if (request.silentAttempt) endAttempt(box, request)
  request.refusals++
  // Pauses double: late weights may stay late, and the number of refusals is limited.
  const pauseMs = REFUSED_PAUSE_MS * 2 ** (request.refusals - 1)
  request.avoided.set(backend, now + pauseMs)
  const isBudgetSpent =
    retryBudgetOf(box, request.arrival.service).remaining(
      runningMs(box, now),
      box.boxCount
    ) <= 0
  if (request.refusals > maxRefusals || (isBudgetSpent && !canRequestRetry(box))) {
    return failRequest(box, request, request.runs > 0 ? "unknown" : "not-run", now)
  }
  logEvent(box, "route-again", {request: request.arrival.name, after: failure})
  if (isBudgetSpent) return requestRetry(box, request, now)
  endAttempt(box, request)
  sendOrWait(box, request, now)
}

/**
 * Handles an attempt that reached no backend server. It may be sent again at once over
 * another path, and takes nothing from the retry budget.
 */
function handleUnsentAttempt(
  box: BoxServing,
  request: BoxRequest,
  attempt: Attempt,
  failure: "not-sent" | "not-carried",
  now: number
): void {
  const {backend, via} = attempt
  refundCharge(box, attempt)
  request.unsent++
  if (via === undefined) {
    request.failedPaths.add(backend)
    markSuspect(box, backend, now)
    suspectCrash(box, backend, now)
    recordConnectFailure(box, backend, now)
  } else {
    request.peerRefusals++
    box.peers.recordUnreached(via, backend, now)
  }
  if (choosePeer(box, request, backend, now) === undefined) {
    request.failedBackends.add(backend)
    return retryRefused(box, request, attempt, failure, MAX_REFUSALS, now)
  }
  logEvent(box, "route-again", {request: request.arrival.name, after: failure})
  endAttempt(box, request)
  sendOrWait(box, request, now)
}

/** Attributes a broken connection to the server, or to the box that sent the request. */
function recordBrokenPath(box: BoxServing, {backend, via}: Attempt, now: number): void {
  if (via !== undefined) return box.peers.recordFailure(via, now)
  markSuspect(box, backend, now)
  checkPath(box, backend, now)
}

function logBrokenAttempt(
  box: BoxServing,
  {arrival}: BoxRequest,
  {backend, headReceived, sentAt, answerEnd}: Attempt,
  now: number
): void {
  logEvent(box, "attempt-broken", {
    request: arrival.name,
    fingerprint: arrival.fingerprint ?? "",
    parts: arrival.parts?.join() ?? "",
    backend,
    headed: headReceived,
    afterMs: Math.round(now - sentAt),
    ...toLogFields(answerEnd)
  })
}

/**
 * Returns the attempt whose answer arrives. If it was silent, its hedge ends: the server
 * goes on.
 */
function recallAttempt(
  box: BoxServing,
  id: string,
  number: number,
  now: number
): Attempt | undefined {
  const request = box.requests.get(id)
  if (request?.silentAttempt?.number === number) {
    returnToSilentAttempt(box, request, "heard", now)
  }
  return findAttempt(box, id, number)
}

function findAttempt(box: BoxServing, id: string, number: number): Attempt | undefined {
  const attempt = box.requests.get(id)?.attempt
  return attempt?.number === number ? attempt : undefined
}
