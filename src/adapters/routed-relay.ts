/** Performs the core's effects for callers' requests: sends, answers and aborts. */
import {randomUUID} from "node:crypto"
import type {IncomingMessage, ServerResponse} from "node:http"
import {type AccessRefusal, checkAccess} from "../core/access.js"
import type {AttemptFailure} from "../core/box-attempt-failures.js"
import {findSendObstacle} from "../core/box-send-checks.js"
import {isConfigCurrent, isSnapshotStale} from "../core/box-snapshot-age.js"
import type {Arrival, BoxEffect, BoxServing, EndReason} from "../core/box-state.js"
import {LOWEST_RANK} from "../core/request-ranks.js"
import {drawService, findRoute} from "../core/route-table.js"
import {serverConnections} from "../core/server-connections.js"
import {hasNotice, type ServerNotice} from "../core/server-notices.js"
import type {ServingEvent} from "../core/serving-events.js"
import type {Dialect} from "../ports/fleet-ports.js"
import {adapterKey} from "../types/fleet.js"
import {fingerprintRequest} from "../utils/fingerprint.js"
import {fingerprintPart} from "../utils/part-fingerprint.js"
import {pause} from "../utils/promises.js"
import {isVisibleAscii, toOriginForm} from "../utils/request-target.js"
import {clockNow} from "./clock.js"
import {BackendPools, CONNECT_PATIENCE_MS} from "./backend-pools.js"
import {
  BROKEN_HEADER,
  CARRY_HEADER,
  NOT_CARRIED_HEADER,
  packCarryFacts,
  QUARANTINED_REASON,
  stripOwn
} from "./carry-headers.js"
import type {Log} from "./log.js"
import {mapHeaders, RelayExchange, sendError, stripHop} from "./relay-exchange.js"
import {readWholeBody} from "./request-body.js"
import {StartupWait} from "./startup-wait.js"
import type {SurplusAnswers} from "./surplus-answers.js"
import type {UnreadAnswers} from "./unread-answers.js"
import {startAnswerTimer} from "../utils/timers.js"

const END_STATUS: Readonly<Record<EndReason, number>> = {
  "not-run": 503,
  unknown: 502,
  timeout: 504,
  denied: 401,
  "over-limit": 429,
  "crashes-servers": 503
}

/**
 * Reasons that are answered with `retry-after`: the request did not run and may be
 * retried.
 */
const RETRYABLE_REASONS: ReadonlySet<EndReason> = new Set([
  "not-run",
  "over-limit",
  "crashes-servers"
])

const ACCESS_STATUS: Readonly<Record<AccessRefusal, number>> = {
  "unknown-key": 401,
  "unknown-key-yet": 503,
  "keys-too-old": 503,
  "keys-not-read": 503
}

/** Interval of the events that report to the core that an answer is still arriving. */
const PROGRESS_INTERVAL_MS = 200

/**
 * How long a request waits at most for a fresh store snapshot before it is routed. An
 * attempt to get one is abandoned after 150 ms.
 */
const MAX_SNAPSHOT_WAIT_MS = 500
const SNAPSHOT_CHECK_MS = 10

/**
 * `retry-after` of requests that fail for lack of a current configuration or key list.
 */
const NO_CONFIG_RETRY_S = 0.5

export interface RelayOptions {
  /** Name of this box. */
  readonly box: string
  readonly dialect: Dialect
  readonly post: (event: ServingEvent) => void
  /** Posts an event that is handled before those that are queued. */
  readonly postFirst: (event: ServingEvent) => void
  readonly serving: () => BoxServing
  readonly random: () => number
  readonly log: Log
  /**
   * Whether the box is stopping, so that callers' connections are closed after their
   * answers.
   */
  readonly isStopping: () => boolean
  readonly unread: UnreadAnswers
  readonly surplus: SurplusAnswers
}

/** Connections to another box that sends requests on behalf of this one. */
const PEER_CONNECTIONS = 32

/** How an attempt gets to its server. */
interface SendPath {
  readonly pools: BackendPools
  /** Name of the pool of connections. */
  readonly name: string
  readonly address: string
  readonly connections: number
  readonly headers: string[]
  /** See `SendOptions`. Boxes send no answer twice. */
  readonly requestId?: string
  /** Returns how the attempt failed, if another box says so in place of an answer. */
  readonly readFailure: (headers: string[]) => AttemptFailure | undefined
}

type SendEffect = Extract<BoxEffect, {type: "send"}>

export class RoutedRelay {
  readonly pools = new BackendPools()
  private readonly peerPools_ = new BackendPools()
  private readonly exchanges_ = new Map<string, RelayExchange>()
  /** Answers to requests whose bodies have not been read to their end. */
  private readonly unreadBodies_ = new Set<ServerResponse>()

  private readonly startup_ = new StartupWait({
    hasConfig: () => this.options_.serving().table !== undefined,
    startedAt: clockNow()
  })

  constructor(private readonly options_: RelayOptions) {}

  get openRequests(): number {
    return this.exchanges_.size
  }

  /** Closes connections to other boxes that are no longer known. */
  retainPeers(addresses: ReadonlySet<string>): void {
    this.peerPools_.retainOnly(addresses)
  }

  /** Reads a caller's request, checks its route and key, and hands it to the core. */
  async handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const {table} = this.options_.serving()
    const path = toOriginForm(req.url ?? "/")
    // Attempts read it, too.
    req.url = path
    const facts = this.options_.dialect.readRequest(req.headers)
    const limit = table?.config.limits.maxBodyBytes ?? Infinity
    this.unreadBodies_.add(res)
    const body = await readWholeBody(req, limit)
    this.unreadBodies_.delete(res)
    if (body === "gone" || res.writableEnded) return
    const waitedMs = await this.startup_.waitForConfig(facts.deadlineMs)
    await this.awaitFreshSnapshot()
    if (res.destroyed) return
    const {dialect} = this.options_
    const own = dialect.ownAnswerHeaders(facts.requestId)
    const serving = this.options_.serving()
    const currentTable = serving.table
    const logRefusal = (reason: string): void =>
      this.options_.log("route-none", {
        request: facts.requestId,
        reason,
        config: currentTable?.config.version ?? -1
      })
    if (body === "too-large") {
      logRefusal("body-too-large")
      return sendError(res, 413, problem("body-too-large"), own)
    }
    const retry = String(NO_CONFIG_RETRY_S)
    if ((req.headersDistinct.host?.length ?? 0) > 1) {
      logRefusal("several-hosts")
      return sendError(res, 400, problem("several-hosts"), own)
    }
    // Some versions of Node's parser accept other bytes.
    if (!isVisibleAscii(path)) {
      logRefusal("unreadable-target")
      return sendError(res, 400, problem("unreadable-target"), own)
    }
    if (!currentTable) {
      logRefusal("no-configuration")
      const headers = {...own, "retry-after": retry}
      return sendError(res, 503, problem("no-configuration"), headers)
    }
    const route = findRoute(currentTable, req.headers.host ?? "", path)
    const service = route && drawService(route, this.options_.random())
    if (!route || service === undefined) {
      // A stale table does not prove that the route is missing: the route may be new.
      const current = isConfigCurrent(this.options_.serving(), clockNow())
      logRefusal(current ? "no-route" : "no-route-yet")
      if (current) return sendError(res, 404, problem("no-route"), own)
      return sendError(res, 503, problem("no-route-yet"), {
        ...own,
        "retry-after": retry
      })
    }
    const access = checkAccess(serving, route, facts.key, clockNow())
    if (!access.granted) {
      const status = ACCESS_STATUS[access.reason]
      logRefusal(access.reason)
      const headers = status === 503 ? {...own, "retry-after": retry} : own
      return sendError(res, status, problem(access.reason), headers)
    }
    const {organisation} = access
    const streaming = route.kind === "streaming"
    const {unread} = this.options_
    const exchange = new RelayExchange(
      randomUUID(),
      facts,
      streaming,
      req,
      res,
      body,
      unread
    )
    this.exchanges_.set(exchange.id, exchange)
    res.on("close", () => this.handleCallerDisconnect(exchange))
    const {id} = exchange
    const fingerprint = fingerprintRequest({
      caller: organisation?.name ?? "",
      method: req.method ?? "GET",
      host: req.headers.host ?? "",
      path,
      body
    })
    const {
      requestId: name,
      weights,
      tokens,
      usage,
      outputTokens,
      key,
      prefix,
      parts = [],
      lastEventId,
      begunBy
    } = facts
    this.options_.post({
      type: "arrive",
      arrival: {
        id,
        name,
        fingerprint,
        parts: [...new Set(parts.map(fingerprintPart))],
        route,
        service,
        weights,
        tokens,
        bytes: body?.length,
        usage,
        outputTokens,
        key,
        organisation: organisation?.name,
        rank: currentTable.rankOf(organisation?.priority, route.priority),
        prefix,
        deadlineMs: facts.deadlineMs - waitedMs,
        lastEventId,
        begunBy
      }
    })
  }

  /** Refuses all requests whose bodies have not been read to their end. */
  refuseUnread(): void {
    const {dialect, log} = this.options_
    for (const res of this.unreadBodies_) {
      const {requestId} = dialect.readRequest(res.req.headers)
      log("route-none", {
        request: requestId,
        reason: "unread-at-exit",
        config: this.options_.serving().table?.config.version ?? -1
      })
      sendError(res, 503, problem("not-run"), {
        ...dialect.ownAnswerHeaders(requestId),
        "retry-after": String(NO_CONFIG_RETRY_S),
        connection: "close"
      })
    }
    this.unreadBodies_.clear()
  }

  /**
   * Waits for a fresh store snapshot. After a process pause, requests that arrived
   * meanwhile are handled before the store has been read again. Routing waits for that
   * read, as sends do, so that a request for a new route is not answered with "no route".
   */
  private async awaitFreshSnapshot(): Promise<void> {
    const until = clockNow() + MAX_SNAPSHOT_WAIT_MS
    while (isSnapshotStale(this.options_.serving(), clockNow())) {
      if (clockNow() > until) return
      await pause(SNAPSHOT_CHECK_MS)
    }
  }

  /** Performs an effect. Returns false if the effect does not concern the relay. */
  perform(effect: BoxEffect): boolean {
    if (!("id" in effect)) return false
    const exchange = this.exchanges_.get(effect.id)
    if (!exchange) return true
    switch (effect.type) {
      case "send":
        this.send(exchange, effect)
        return true
      case "pass": {
        const answer = exchange.find(effect.attempt)
        if (answer) exchange.sendHead(answer, this.options_.isStopping())
        return true
      }
      case "discard": {
        const answer = exchange.find(effect.attempt)
        // Reading the answer to its end allows the connection to be reused.
        exchange.flow.release()
        if (!answer) return true
        exchange.close(answer)
        answer.discardRest()
        return true
      }
      case "abort": {
        const answer = exchange.find(effect.attempt)
        if (!answer) return true
        exchange.close(answer)
        answer.abort?.()
        return true
      }
      case "end":
        this.end(exchange, effect.reason, effect.retryAfterMs)
        return true
      case "cut":
        this.exchanges_.delete(exchange.id)
        exchange.closeConnection()
        return true
      default:
        return false
    }
  }

  private send(exchange: RelayExchange, effect: SendEffect): void {
    const {id, attempt, backend} = effect
    const {dialect, post, postFirst, serving, surplus} = this.options_
    const request = exchange.facts.requestId
    const heldUp = (): void => post({type: "held-up", id, attempt})
    const answer = exchange.startAttempt(attempt, heldUp)
    const current = (): boolean => exchange.isOpen(answer)
    const arrival = serving().requests.get(id)?.arrival
    const path = this.pathOf(exchange, effect, arrival)
    const {method = "GET", url = "/"} = exchange.req
    let reportedAt = 0
    const fail = (failure: AttemptFailure): void => {
      if (!current()) return
      exchange.close(answer)
      if (started) answer.discardRest()
      const last = exchange.lastEventId
      post({type: "failed", id, attempt, failure, lastEventId: last})
    }
    const unsent = effect.via === undefined ? "not-sent" : "not-carried"
    const broken = effect.via === undefined ? "broken" : "broken-beyond"
    let started = false
    let begun = false
    let sentAt = 0
    const {pools, name, connections, headers} = path
    const patience = startAnswerTimer(CONNECT_PATIENCE_MS, () => {
      if (!started && pools.isConnecting(name)) fail(unsent)
    })
    pools.send(
      name,
      path.address,
      connections,
      {method, path: url, headers, body: exchange.body, requestId: path.requestId},
      {
        passedOver: () => surplus.logPassedOver(request, backend.id),
        started: abort => {
          patience.clear()
          if (!current()) return false
          // The server may have become unusable while the request waited for a
          // connection.
          const obstacle = findSendObstacle(serving(), id, clockNow())
          if (obstacle) {
            fail(obstacle)
            return false
          }
          started = true
          sentAt = clockNow()
          answer.abort = abort
          // A queued event may end the request, and must not take it for one not sent.
          postFirst({type: "started", id, attempt})
          return true
        },
        head: (status, raw) => {
          if (!current()) return
          const failure = path.readFailure(raw)
          if (failure) return fail(failure)
          const read = dialect.readAnswer(status, mapHeaders(raw))
          if (read.requestId !== request) {
            // Later answers on this connection may be wrong, too.
            const sentMs = clockNow() - sentAt
            const answered = read.requestId
            surplus.logMismatch({request, backend: backend.id, answered, sentMs})
            fail("broken")
            answer.abort?.()
            return
          }
          const {notice} = read
          if (notice && (read.isGenuine || read.notRun)) {
            this.handleNotice(backend.id, notice, sentAt)
          }
          if (read.notRun) return fail(read.notRun)
          if (!read.isGenuine) {
            fail("broken")
            return
          }
          answer.setHead(status, raw)
          const head = {failed: status >= 500, streamed: exchange.isStreamed(answer)}
          post({type: "head", id, attempt, head})
        },
        data: (chunk, reading) => {
          if (!current()) return answer.discard(chunk.length)
          const now = clockNow()
          if (now - reportedAt >= PROGRESS_INTERVAL_MS) {
            reportedAt = now
            // Closes any other attempt before bytes of this one reach the caller.
            post({type: "heard", id, attempt, lastEventId: exchange.lastEventId})
          }
          if (exchange.handleChunk(answer, chunk, reading) && !begun) {
            begun = true
            post({type: "stream-began", id, attempt})
          }
          if (!exchange.isTooLong(answer)) return
          post({type: "answer-ended", id, attempt, end: answer.describeEnd("too-long")})
          fail(broken)
          answer.abort?.()
        },
        done: () => {
          answer.end()
          if (!current()) return
          post({type: "answer-ended", id, attempt, end: answer.describeEnd("")})
          // Without a length or chunks, the end of the connection looks like a complete
          // answer. The server broke it off, also if another box sent the request.
          if (exchange.hasBrokenOff(answer)) return fail(broken)
          this.exchanges_.delete(id)
          exchange.complete(answer, this.options_.isStopping())
          // The core's abort of another attempt would not find the exchange any more.
          exchange.abortAll()
          post({type: "done", id, attempt, events: answer.events})
        },
        failed: cause => {
          answer.end()
          patience.clear()
          if (started && current()) {
            const end = answer.describeEnd(errorCode(cause))
            post({type: "answer-ended", id, attempt, end})
          }
          fail(started ? "broken" : unsent)
        }
      }
    )
  }

  /** Returns how the attempt gets to the server: directly, or through another box. */
  private pathOf(
    exchange: RelayExchange,
    {backend, via, deadlineMs, expectedVersion, id}: SendEffect,
    arrival: Arrival | undefined
  ): SendPath {
    const {dialect, serving, box} = this.options_
    const headers = stripOwn(stripHop(exchange.req.rawHeaders))
    // The last event that was sent to the caller: a stream resumes after it. The core's
    // value may be older.
    const {lastEventId} = exchange
    const facts = {
      deadlineMs,
      priority: arrival?.rank ?? LOWEST_RANK,
      organisation: arrival?.organisation,
      expectedVersion,
      lastEventId
    }
    if (via === undefined) {
      return {
        pools: this.pools,
        name: backend.id,
        address: backend.address,
        connections: serverConnections(serving(), backend.service),
        headers: dialect.writeRequest(headers, {...facts, server: backend.server}),
        requestId: exchange.facts.requestId,
        readFailure: () => undefined
      }
    }
    const {weights} = arrival ?? {}
    const adapter = weights?.adapter && adapterKey(weights.model, weights.adapter)
    const request = serving().requests.get(id)
    const isAllowed = request?.attempt?.allowedUntil !== undefined
    const carried = {
      ...facts,
      server: backend.id,
      asker: box,
      adapter,
      software: request?.software,
      isAllowed,
      fingerprint: arrival?.fingerprint,
      isTrial: request?.isTrial
    }
    return {
      pools: this.peerPools_,
      name: via,
      address: via,
      connections: PEER_CONNECTIONS,
      headers: [...headers, CARRY_HEADER, packCarryFacts(carried)],
      readFailure: raw => {
        const found = mapHeaders(raw)
        const reason = found.get(NOT_CARRIED_HEADER)
        if (reason === QUARANTINED_REASON) return "quarantined"
        if (reason !== undefined) return "not-carried"
        return found.has(BROKEN_HEADER) ? "broken-beyond" : undefined
      }
    }
  }

  /**
   * Reports a server's notice. An answer without a notice ends the advertised rate limit.
   */
  private handleNotice(backend: string, notice: ServerNotice, sentAt: number): void {
    const {post, serving} = this.options_
    const named = serving().advertisedRates.of(backend) !== undefined
    if (!named && !hasNotice(notice)) return
    post({type: "server-says", backend, notice, sentAt})
  }

  private end(exchange: RelayExchange, reason: EndReason, retryAfterMs: number): void {
    this.exchanges_.delete(exchange.id)
    const own = this.options_.dialect.ownAnswerHeaders(exchange.facts.requestId)
    const headers: Record<string, string> = {...own}
    if (RETRYABLE_REASONS.has(reason))
      headers["retry-after"] = (retryAfterMs / 1000).toFixed(2)
    if (this.options_.isStopping()) headers.connection = "close"
    exchange.sendError(END_STATUS[reason], problem(reason), headers)
  }

  private handleCallerDisconnect(exchange: RelayExchange): void {
    if (!this.exchanges_.delete(exchange.id)) return
    this.options_.post({type: "hang-up", id: exchange.id})
    exchange.abortAll()
  }
}

function errorCode(cause: NodeJS.ErrnoException): string {
  return cause.code ?? cause.name
}

function problem(code: string): object {
  return {error: {code}}
}
