/**
 * The requests of a box: each is sent to a backend server that can serve it, sent again where that
 * is safe and within the budget, or ended with what is known of it.
 */
import {askRetry, mayAsk} from "./box-asks.js"
import {chooseBackend, hasBackends} from "./box-choose.js"
import {
  type AttemptFailure,
  doubtPlace,
  isRefusal,
  REFUSED_PAUSE_MS,
  suspect
} from "./box-doubts.js"
import {
  abortAttempt,
  countUse,
  dropNeed,
  finish,
  giveUp,
  leaveAttempt,
  tellUse
} from "./box-ends.js"
import {isStale} from "./box-news.js"
import {
  type Arrival,
  type Attempt,
  type BoxRequest,
  type BoxServing,
  budgetOf,
  note
} from "./box-state.js"
import {noteBegun, oldForMs, toLogged} from "./box-versions.js"
import {isRepeatable} from "./route-table.js"

/** Of a caller's time, the part a request waits for weights before it is refused. */
const HOLD_SHARE = 0.45

/** Of the time until a caller leaves a silent stream, the same: the rest is the engine's. */
const PATIENCE_SHARE = 0.75

/** How long a load takes at least, from the order until a request is sent, milliseconds. */
const LOAD_MS = 280

/** Callers come back within so much more than they were told at least. */
const COME_BACK_SPREAD = 0.2

/** Of the target, the part a request waits where no backend server can take it. */
const NO_SERVER_SHARE = 0.23

/** Sends that backend servers may refuse before a request is given up. */
const MAX_REFUSALS = 3

/** The same where weights are only late: six pauses, each twice the last, are 3.8 s in all. */
const MAX_LATE_REFUSALS = 6

/** A backend server that failed a request is not asked again at once, milliseconds. */
const FAILED_PAUSE_MS = 200

/** How long after a stop was asked for requests are still sent to backend servers, milliseconds. */
const STOP_SEND_MS = 2_500

/** A box that stops lets requests wait so long at most, milliseconds. */
const STOP_HOLD_MS = 500

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
    askedAt: undefined,
    granted: false,
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
export function advance(box: BoxServing, request: BoxRequest, now: number): void {
  if (request.attempt || request.askedAt !== undefined || isStale(box, now)) return
  const candidate = chooseBackend(box, request, now)
  if (!candidate) return wait(box, request, now)
  const {arrival} = request
  const {backend, version} = candidate
  if (request.needed) dropNeed(box, request)
  if (request.attempts > 0) spendRetry(box, request, now)
  request.attempts++
  request.attempt = {
    number: request.attempts,
    backend: backend.id,
    sentAt: now,
    version,
    unread: candidate.unread,
    started: false,
    heardAt: undefined,
    firstAt: undefined,
    headed: false,
    aborted: false
  }
  countUse(box, request, 1)
  notePrefix(box, request, now)
  const deadlineMs = Math.max(1, Math.round(request.giveUpAt - now))
  const {id, name} = arrival
  const attempt = request.attempts
  const expectedVersion = version
  box.effects.push({
    type: "send",
    id,
    attempt,
    backend,
    expectedVersion,
    deadlineMs
  })
  note(box, "route-sent", {
    request: name,
    attempt,
    backend: backend.id,
    waitedMs: Math.round(now - request.arrivedAt),
    adapter: arrival.weights?.adapter ?? "",
    version: version ?? 0,
    oldForMs: toLogged(oldForMs(box, request, version, now)),
    unread: candidate.unread,
    newsMs: Math.round(now - (box.engines.get(backend.id)?.toldAt ?? now))
  })
}

function spendRetry(box: BoxServing, request: BoxRequest, now: number): void {
  if (!request.granted) budgetOf(box, request.arrival.service).spend(now)
  request.granted = false
}

function notePrefix(box: BoxServing, {arrival}: BoxRequest, now: number): void {
  const {prefix, weights, route} = arrival
  if (prefix) box.prefixes.note(route.name, weights?.adapter ?? "", prefix.key, now)
}

function wait(box: BoxServing, request: BoxRequest, now: number): void {
  const {weights, service, id, route, tokens} = request.arrival
  if (!weights || !hasBackends(box, service)) return
  if (request.needed) return
  const orderMs = expectedOrderMs(box, now)
  if (isHopeless(request, orderMs, now)) {
    // Spread, so that not all come back in the same moment.
    const comeBackMs = orderMs * (1 + COME_BACK_SPREAD * box.options.random())
    return giveUp(box, request, "not-run", now, Math.round(comeBackMs))
  }
  request.needed = true
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

/** How long it takes until weights that no engine holds can be ordered. */
function expectedOrderMs(
  {led, ordersFrom, options: {handoverMs}}: BoxServing,
  now: number
): number {
  return Math.max(led ? 0 : handoverMs, ordersFrom - now)
}

/**
 * A request that nothing was done for yet, whose weights cannot come in time since nobody can order
 * them yet, is told at once when to come back: its caller is served in time then, or tries elsewhere.
 * Measured with 21 boxes on a day of restarts and outages: of 1,869 requests of one route 417 had
 * been left by their callers while they were held for weights that nobody could order.
 */
function isHopeless(
  {attempts, arrivedAt, arrival}: BoxRequest,
  orderMs: number,
  now: number
): boolean {
  const readyAt = now + orderMs + LOAD_MS
  return attempts === 0 && orderMs > 0 && readyAt > arrivedAt + arrival.route.targetMs
}

function holdEnd(box: BoxServing, arrival: Arrival, limit: number, now: number): number {
  const patience = arrival.route.patienceMs * PATIENCE_SHARE
  const share = arrival.weights ? Math.min(limit * HOLD_SHARE, patience) : limit
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
  const tokens = -attempt.unread
  tellUse(box, request, {engine: attempt.backend, begun: 0, ended: 0, tokens})
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
  if (!attempt.headed) noteBegun(box, request, attempt, now)
  attempt.headed = true
  attempt.heardAt = now
  // What goes on with a stream can only be one: another answer is no part of it.
  const foreign = request.replied && !head.streamed
  if ((head.failed || foreign) && mayRepeat(box, request, now)) {
    box.effects.push({type: "discard", id, attempt: number})
    return repeat(box, request, "failed", now)
  }
  if (foreign) return giveUp(box, request, "unknown", now)
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
    targetMs: Math.round(request.arrival.route.targetMs),
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
  const ran = attempt.started && (failure === "broken" || failure === "outdated")
  const late = isRefusal(failure) && doubtPlace(box, request, attempt, failure, now)
  // The engine did nothing wrong where only its version was replaced.
  if (!late && failure !== "outdated") request.failedAt.add(attempt.backend)
  if (failure === "broken" || failure === "not-sent") suspect(box, attempt.backend, now)
  if (ran) {
    if (mayRepeat(box, request, now)) return repeat(box, request, failure, now)
    if (!allowsRepeat(request) || !mayAsk(box)) {
      return giveUp(box, request, "unknown", now)
    }
    noteRun(box, request, failure, now)
    return askRetry(box, request, now)
  }
  request.refusals++
  // Each pause is longer: what is late may be late for a while, and refusals are counted.
  const pauseMs = REFUSED_PAUSE_MS * 2 ** (request.refusals - 1)
  request.avoided.set(attempt.backend, now + pauseMs)
  const most = late ? MAX_LATE_REFUSALS : MAX_REFUSALS
  const spent = budgetOf(box, request.arrival.service).left(now, box.boxes) <= 0
  if (request.refusals > most || (spent && !mayAsk(box))) {
    return giveUp(box, request, request.runs > 0 ? "unknown" : "not-run", now)
  }
  note(box, "route-again", {request: request.arrival.name, after: failure})
  if (spent) return askRetry(box, request, now)
  leaveAttempt(box, request)
  advance(box, request, now)
}

/** The caller left. */
export function hangUp(box: BoxServing, id: string, now: number): void {
  const request = box.requests.get(id)
  if (!request) return
  note(box, "caller-left", {
    request: request.arrival.name,
    route: request.arrival.route.name,
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
    const {attempt} = request
    if (!attempt) request.needed = false
    else {
      const unread = attempt.firstAt === undefined ? attempt.unread : 0
      tellUse(box, request, {engine: attempt.backend, begun: 1, ended: 0, tokens: unread})
    }
  }
}

/** Whether it may run once more, elsewhere, and the box has a repeat for it. */
export function mayRepeat(box: BoxServing, request: BoxRequest, now: number): boolean {
  if (!allowsRepeat(request)) return false
  return budgetOf(box, request.arrival.service).left(now, box.boxes) > 0
}

/** Whether it may run once more, elsewhere, if there is a repeat for it. */
function allowsRepeat({arrival: {route}, attempts, replied}: BoxRequest): boolean {
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
function noteRun(box: BoxServing, request: BoxRequest, after: string, now: number): void {
  const {attempt, arrival} = request
  if (attempt) {
    request.avoided.set(attempt.backend, now + FAILED_PAUSE_MS)
    if (after !== "outdated") request.failedAt.add(attempt.backend)
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

function findAttempt(box: BoxServing, id: string, number: number): Attempt | undefined {
  const attempt = box.requests.get(id)?.attempt
  return attempt?.number === number ? attempt : undefined
}
