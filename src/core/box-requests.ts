/**
 * The requests of a box: each is sent to a backend server that can serve it, sent again where that
 * is safe and within the budget, or ended with what is known of it.
 */
import type {UseChange} from "../types/box-messages.js"
import {adapterKey} from "../types/fleet.js"
import {
  type Arrival,
  type Attempt,
  type BoxRequest,
  type BoxServing,
  budgetOf,
  type EndReason,
  note
} from "./box-state.js"
import {chooseBackend, hasBackends, VIEW_AGE_MS} from "./box-choose.js"
import {isRepeatable} from "./route-table.js"

/** Of a caller's time, the part a request waits for weights before it is refused. */
const HOLD_SHARE = 0.45

/** Of the target, the part a request waits where no backend server can take it. */
const NO_SERVER_SHARE = 0.23

/** Sends that backend servers may refuse before a request is given up. */
const MAX_REFUSALS = 3

/** When callers may come back, milliseconds. */
const RETRY_AFTER_MS = 400

/** How long a backend server that failed is left alone where others can do, milliseconds. */
const SUSPECT_MS = 2_500

/** A backend server that refused or failed a request is not asked again at once, milliseconds. */
const REFUSED_PAUSE_MS = 60
const FAILED_PAUSE_MS = 200

/** A pause in a stream after which it goes on elsewhere, milliseconds. */
const STREAM_SILENCE_MS = 1_300

/** Before an answer begins, the multiple of the target after which another is asked. */
const FIRST_SILENCE_FACTOR = 1.8

/** How long after a stop was asked for requests are still sent to backend servers, milliseconds. */
const STOP_SEND_MS = 2_500

/** A box that stops lets requests wait so long at most, milliseconds. */
const STOP_HOLD_MS = 500

/** Time a request must have left to be moved to an engine that has yet to load its weights. */
const MOVE_MS = 1_200

/** How an attempt ended without a whole answer. */
export type AttemptFailure =
  /** Nothing was sent. */
  | "not-sent"
  /** The backend server said that it did not run it. */
  | "refused"
  /** As above, since it does not hold the weights, or is another than expected. */
  | "misplaced"
  /** The connection broke or the answer was none. */
  | "broken"

/** Takes a request in. */
export function admit(box: BoxServing, arrival: Arrival, now: number): void {
  const {route, deadlineMs, service} = arrival
  const limit = Math.min(deadlineMs, route.timeoutMs)
  budgetOf(box, service).noteRequest(now)
  const request: BoxRequest = {
    arrival,
    arrivedAt: now,
    giveUpAt: now + limit,
    holdUntil: holdEnd(box, arrival, limit, now),
    attempt: undefined,
    attempts: 0,
    runs: 0,
    refusals: 0,
    avoided: new Map(),
    failedAt: new Set(),
    needed: false,
    neededAt: 0,
    replied: false,
    lastEventId: arrival.lastEventId
  }
  box.requests.set(arrival.id, request)
  const {stoppingAt} = box
  if (stoppingAt !== undefined && now - stoppingAt > STOP_SEND_MS) {
    return giveUp(box, request, "not-run", now)
  }
  advance(box, request, now)
}

/** The box stops: what waits is soon refused, and what runs may end. */
export function stopServing(box: BoxServing, now: number): void {
  box.stoppingAt = now
  for (const request of box.requests.values()) {
    request.holdUntil = Math.min(request.holdUntil, now + STOP_HOLD_MS)
  }
}

/** Sends the request if it can be sent now; otherwise it waits. */
function advance(box: BoxServing, request: BoxRequest, now: number): void {
  if (request.attempt) return
  const candidate = chooseBackend(box, request, now)
  if (!candidate) return wait(box, request, now)
  const {arrival} = request
  const {backend, version} = candidate
  if (request.needed) dropNeed(box, request)
  if (request.attempts > 0) budgetOf(box, arrival.service).spend(now)
  request.attempts++
  request.attempt = {
    number: request.attempts,
    backend: backend.id,
    sentAt: now,
    started: false,
    heardAt: undefined,
    firstAt: undefined,
    headed: false
  }
  countUse(box, request, 1)
  const deadlineMs = Math.max(1, Math.round(request.giveUpAt - now))
  const {lastEventId} = request
  const {id, name} = arrival
  const attempt = request.attempts
  const expectedVersion = version
  box.effects.push({
    type: "send",
    id,
    attempt,
    backend,
    expectedVersion,
    deadlineMs,
    lastEventId
  })
  note(box, "route-sent", {
    request: name,
    attempt,
    backend: backend.id,
    waitedMs: Math.round(now - request.arrivedAt),
    adapter: arrival.weights?.adapter ?? "",
    version: version ?? 0,
    newsMs: Math.round(now - (box.engines.get(backend.id)?.toldAt ?? now))
  })
}

function wait(box: BoxServing, request: BoxRequest, now: number): void {
  const {weights, service, id, route, tokens} = request.arrival
  if (!weights || !hasBackends(box, service)) return
  // What a box was told on asking ages: while it waits it asks again.
  const asksAgain = !box.told && now - request.neededAt > VIEW_AGE_MS
  if (request.needed && !asksAgain) return
  request.needed = true
  request.neededAt = now
  box.effects.push({
    type: "need",
    need: {
      request: id,
      service,
      model: weights.model,
      adapter: weights.adapter,
      priority: route.priority,
      inTimeMs: Math.round(request.arrivedAt + route.targetMs - now),
      waitMs: Math.round(request.holdUntil - now),
      tokens,
      failedAt: [...request.failedAt]
    }
  })
}

function holdEnd(box: BoxServing, arrival: Arrival, limit: number, now: number): number {
  const share = arrival.weights ? limit * HOLD_SHARE : limit
  const hold = hasBackends(box, arrival.service)
    ? share
    : Math.min(limit, arrival.route.targetMs * NO_SERVER_SHARE)
  return now + (box.stoppingAt === undefined ? hold : Math.min(hold, STOP_HOLD_MS))
}

/** Bytes of the attempt may have left from here on. */
export function attemptStarted(box: BoxServing, id: string, number: number): void {
  const attempt = findAttempt(box, id, number)
  if (attempt) attempt.started = true
}

/** Bytes of the attempt's answer came. */
export function attemptHeard(
  box: BoxServing,
  id: string,
  number: number,
  now: number
): void {
  const request = box.requests.get(id)
  const attempt = findAttempt(box, id, number)
  if (!request || !attempt) return
  attempt.heardAt = now
  box.suspects.delete(attempt.backend)
  if (attempt.firstAt !== undefined) return
  attempt.firstAt = now
  // The prompt was read: its work is done, whatever still comes out.
  tellUse(box, request, attempt.backend, 0, -request.arrival.tokens)
}

/** The head of an answer came, which is the backend server's own word on a run. */
export function attemptHead(
  box: BoxServing,
  id: string,
  number: number,
  head: {readonly failed: boolean; readonly streamed: boolean},
  now: number
): void {
  const request = box.requests.get(id)
  const attempt = findAttempt(box, id, number)
  if (!request || !attempt) return
  attempt.headed = true
  attempt.heardAt = now
  if (head.failed && mayRepeat(box, request, now)) {
    box.effects.push({type: "discard", id, attempt: number})
    return repeat(box, request, "failed", now)
  }
  // Other answers are passed on whole, and can be replaced until then.
  request.replied ||= head.streamed
  box.effects.push({type: "pass", id, attempt: number})
}

/** The whole answer was passed on. */
export function attemptDone(
  box: BoxServing,
  id: string,
  number: number,
  now: number
): void {
  const request = box.requests.get(id)
  const attempt = findAttempt(box, id, number)
  if (!request || !attempt) return
  note(box, "route-ended", {
    request: request.arrival.name,
    route: request.arrival.route.name,
    backend: attempt.backend,
    attempts: request.attempts,
    sentMs: Math.round(attempt.sentAt - request.arrivedAt),
    firstMs: Math.round((attempt.firstAt ?? now) - request.arrivedAt),
    totalMs: Math.round(now - request.arrivedAt)
  })
  finish(box, request)
}

/** An attempt ended without a whole answer. */
export function attemptFailed(
  box: BoxServing,
  id: string,
  number: number,
  failure: AttemptFailure,
  lastEventId: string | undefined,
  now: number
): void {
  const request = box.requests.get(id)
  const attempt = findAttempt(box, id, number)
  if (!request || !attempt) return
  if (lastEventId !== undefined) request.lastEventId = lastEventId
  const ran = attempt.started && failure === "broken"
  const late = isRefusal(failure) && doubtPlace(box, request, attempt, failure, now)
  if (!late) request.failedAt.add(attempt.backend)
  if (failure === "broken" || failure === "not-sent") suspect(box, attempt.backend, now)
  if (ran) {
    if (mayRepeat(box, request, now)) return repeat(box, request, failure, now)
    return giveUp(box, request, "unknown", now)
  }
  request.refusals++
  request.avoided.set(attempt.backend, now + REFUSED_PAUSE_MS)
  if (
    request.refusals > MAX_REFUSALS ||
    budgetOf(box, request.arrival.service).left(now, box.boxes) <= 0
  ) {
    return giveUp(box, request, request.runs > 0 ? "unknown" : "not-run", now)
  }
  leaveAttempt(box, request)
  note(box, "route-again", {request: request.arrival.name, after: failure})
  advance(box, request, now)
}

/** The caller left. */
export function hangUp(box: BoxServing, id: string, now: number): void {
  const request = box.requests.get(id)
  if (!request) return
  note(box, "caller-left", {
    request: request.arrival.name,
    backend: request.attempt?.backend ?? "",
    attempts: request.attempts,
    heldMs: Math.round(now - request.arrivedAt),
    begun: request.replied
  })
  abortAttempt(box, request)
  finish(box, request)
}

/** The leader has no place for the request in time. */
export function refuseNeed(
  box: BoxServing,
  id: string,
  retryAfterMs: number,
  now: number
): void {
  const request = box.requests.get(id)
  if (!request || request.attempt || !request.needed) return
  request.needed = false
  giveUp(box, request, request.runs > 0 ? "unknown" : "not-run", now, retryAfterMs)
}

/** Tells a new leader all that waits and runs here. */
export function tellLeader(box: BoxServing): void {
  for (const request of box.requests.values()) {
    const {attempt, arrival} = request
    if (!attempt) request.needed = false
    else {
      const unread = attempt.firstAt === undefined ? arrival.tokens : 0
      tellUse(box, request, attempt.backend, 1, unread)
    }
  }
}

/** Looks at every request: what can be sent now, what has waited or been silent too long. */
export function tickRequests(box: BoxServing, now: number): void {
  for (const request of box.requests.values()) {
    if (now >= request.giveUpAt) {
      timeOut(box, request, now)
    } else if (!request.attempt) {
      advance(box, request, now)
      if (!request.attempt && now >= request.holdUntil) {
        giveUp(box, request, request.runs > 0 ? "unknown" : "not-run", now)
      }
    } else {
      lookForSilence(box, request, request.attempt, now)
    }
  }
}

function timeOut(box: BoxServing, request: BoxRequest, now: number): void {
  const ran = request.runs > 0 || request.attempt?.started === true
  giveUp(box, request, ran ? "timeout" : "not-run", now)
}

function lookForSilence(
  box: BoxServing,
  request: BoxRequest,
  attempt: Attempt,
  now: number
): void {
  const {route} = request.arrival
  const silence = now - (attempt.heardAt ?? attempt.sentAt)
  const limit = attempt.headed
    ? STREAM_SILENCE_MS
    : Math.max(500, route.targetMs * FIRST_SILENCE_FACTOR)
  if (silence < limit) return
  if (attempt.headed && route.kind !== "streaming") return
  suspect(box, attempt.backend, now)
  if (!mayRepeat(box, request, now)) return
  request.avoided.set(attempt.backend, now + SUSPECT_MS)
  const other = chooseBackend(box, request, now)
  // Without another that can take it now, it is worth moving only while there is time to load.
  if (!other && request.giveUpAt - now < MOVE_MS) return
  abortAttempt(box, request)
  repeat(box, request, "silent", now)
  request.avoided.set(attempt.backend, now + SUSPECT_MS)
}

/** Whether it may run once more, elsewhere. */
function mayRepeat(box: BoxServing, request: BoxRequest, now: number): boolean {
  const {route, service} = request.arrival
  if (!isRepeatable(route) || request.attempts >= route.maxAttempts) return false
  if (request.replied && route.kind !== "streaming") return false
  return budgetOf(box, service).left(now, box.boxes) > 0
}

function repeat(box: BoxServing, request: BoxRequest, after: string, now: number): void {
  const {attempt, arrival} = request
  if (attempt) {
    request.avoided.set(attempt.backend, now + FAILED_PAUSE_MS)
    request.failedAt.add(attempt.backend)
  }
  request.runs++
  note(box, "route-again", {
    request: arrival.name,
    after,
    lastEventId: request.lastEventId ?? ""
  })
  leaveAttempt(box, request)
  request.holdUntil = Math.min(request.giveUpAt, now + arrival.route.targetMs)
  advance(box, request, now)
}

function giveUp(
  box: BoxServing,
  request: BoxRequest,
  reason: EndReason,
  now: number,
  retryAfterMs = RETRY_AFTER_MS
): void {
  const {id, name, route} = request.arrival
  abortAttempt(box, request)
  finish(box, request)
  if (request.replied) box.effects.push({type: "cut", id})
  else box.effects.push({type: "end", id, reason, retryAfterMs})
  note(box, request.replied ? "route-cut" : "route-refused", {
    request: name,
    route: route.name,
    reason,
    heldMs: Math.round(now - request.arrivedAt),
    attempts: request.attempts,
    adapter: request.arrival.weights?.adapter ?? "",
    retryAfterMs
  })
}

function abortAttempt(box: BoxServing, request: BoxRequest): void {
  const {attempt, arrival} = request
  if (attempt) box.effects.push({type: "abort", id: arrival.id, attempt: attempt.number})
}

function finish(box: BoxServing, request: BoxRequest): void {
  leaveAttempt(box, request)
  if (request.needed) dropNeed(box, request)
  box.requests.delete(request.arrival.id)
}

function leaveAttempt(box: BoxServing, request: BoxRequest): void {
  if (!request.attempt) return
  countUse(box, request, -1)
  request.attempt = undefined
}

function dropNeed(box: BoxServing, request: BoxRequest): void {
  request.needed = false
  box.effects.push({type: "drop", request: request.arrival.id})
}

function countUse(box: BoxServing, request: BoxRequest, change: 1 | -1): void {
  const {attempt} = request
  if (!attempt) return
  const {backend} = attempt
  box.busy.set(backend, Math.max(0, (box.busy.get(backend) ?? 0) + change))
  const {tokens} = request.arrival
  const unread = attempt.firstAt === undefined ? tokens : 0
  tellUse(box, request, backend, change, change * unread)
}

function tellUse(
  box: BoxServing,
  {arrival: {weights}}: BoxRequest,
  engine: string,
  change: UseChange["change"],
  tokens: number
): void {
  if (!weights) return
  const adapter =
    weights.adapter === undefined ? undefined : adapterKey(weights.model, weights.adapter)
  box.effects.push({type: "use", change: {engine, adapter, change, tokens}})
}

function isRefusal(failure: AttemptFailure): failure is "misplaced" | "refused" {
  return failure === "misplaced" || failure === "refused"
}

/**
 * An engine refused a request for an adapter that it was believed to hold; true: the weights are
 * only late, and another engine would have to begin from nothing.
 */
function doubtPlace(
  box: BoxServing,
  request: BoxRequest,
  {backend}: Attempt,
  failure: "misplaced" | "refused",
  now: number
): boolean {
  const {weights} = request.arrival
  if (weights?.adapter === undefined) return false
  const adapter = adapterKey(weights.model, weights.adapter)
  const places = box.engines.get(backend)?.places
  const place = places?.get(adapter)
  if (!places || !place) return false
  // What has come lately may still be on its way; a shed request says nothing of weights.
  const late = place.fresh
  if (late) places.set(adapter, {...place, readyAt: now + REFUSED_PAUSE_MS})
  else if (failure === "misplaced") places.delete(adapter)
  else return false
  box.effects.push({type: "missing", engine: backend, adapter, late})
  return late
}

function suspect(box: BoxServing, backend: string, now: number): void {
  if ((box.suspects.get(backend) ?? 0) <= now) note(box, "backend-suspect", {backend})
  box.suspects.set(backend, now + SUSPECT_MS)
}

function findAttempt(box: BoxServing, id: string, number: number): Attempt | undefined {
  const attempt = box.requests.get(id)?.attempt
  return attempt?.number === number ? attempt : undefined
}
