/** Performs what the core decides for callers' requests: sends, answers, aborts. */
import {randomUUID} from "node:crypto"
import type {IncomingMessage, ServerResponse} from "node:http"
import {type AccessRefusal, checkAccess} from "../core/access.js"
import type {AttemptFailure} from "../core/box-attempt-failures.js"
import {findSendObstacle} from "../core/box-send-checks.js"
import {isConfigCurrent, isSnapshotStale} from "../core/box-snapshot-age.js"
import type {BoxEffect, BoxServing, EndReason} from "../core/box-state.js"
import {LOWEST_RANK} from "../core/request-ranks.js"
import {drawService, findRoute} from "../core/route-table.js"
import {hasNotice, type ServerNotice} from "../core/server-notices.js"
import type {ServingEvent} from "../core/serving-events.js"
import type {Dialect} from "../ports/fleet-ports.js"
import {fingerprintRequest} from "../utils/fingerprint.js"
import {pause} from "../utils/promises.js"
import {clockNow} from "./clock.js"
import {BackendPools} from "./backend-pools.js"
import type {Log} from "./log.js"
import {mapHeaders, RelayExchange, stripHop} from "./relay-exchange.js"
import {readWholeBody} from "./request-body.js"

const END_STATUS: Readonly<Record<EndReason, number>> = {
  "not-run": 503,
  unknown: 502,
  timeout: 504,
  denied: 401,
  "over-limit": 429,
  "crashes-servers": 503
}

/** Requests that were told that they did not run come back when they are told to. */
const COMES_BACK: ReadonlySet<EndReason> = new Set([
  "not-run",
  "over-limit",
  "crashes-servers"
])

const ACCESS_STATUS: Readonly<Record<AccessRefusal, number>> = {
  "unknown-key": 401,
  "unknown-key-yet": 503,
  "keys-too-old": 503
}

/** Between two notes to the core that an answer goes on, milliseconds. */
const HEARD_MS = 200

/**
 * A request waits so long at most for news to route it by, milliseconds: news that cannot be had is given up
 * after 150; and how often it looks.
 */
const MAX_NEWS_WAIT_MS = 500
const NEWS_TURN_MS = 10

/** Before there is a configuration, or a current one, callers may come back after this, seconds. */
const NO_CONFIG_RETRY_S = 0.5

export interface RelayOptions {
  readonly dialect: Dialect
  readonly post: (event: ServingEvent) => void
  readonly serving: () => BoxServing
  readonly random: () => number
  readonly log: Log
  /** The box is stopping: callers' connections end after their answers. */
  readonly closing: () => boolean
}

type SendEffect = Extract<BoxEffect, {type: "send"}>

export class RoutedRelay {
  readonly pools = new BackendPools()
  private readonly exchanges_ = new Map<string, RelayExchange>()

  constructor(private readonly options_: RelayOptions) {}

  get open(): number {
    return this.exchanges_.size
  }

  /** Takes a caller's request in. */
  async take(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const {table} = this.options_.serving()
    const facts = this.options_.dialect.readRequest(req.headers)
    const limit = table?.config.limits.maxBodyBytes ?? Infinity
    const body = await readWholeBody(req, limit)
    if (body === "gone") return
    await this.awaitNews()
    if (res.destroyed) return
    const {dialect} = this.options_
    const own = dialect.ownAnswer(facts.name)
    const answer = new RelayExchange(randomUUID(), facts, false, req, res, null)
    const serving = this.options_.serving()
    const now = serving.table
    const noteOwn = (reason: string): void =>
      this.options_.log("route-none", {
        request: facts.name,
        reason,
        config: now?.config.version ?? -1
      })
    if (body === "too-large") {
      noteOwn("body-too-large")
      return answer.refuse(413, problem("body-too-large"), own)
    }
    const retry = String(NO_CONFIG_RETRY_S)
    if (!now) {
      noteOwn("no-configuration")
      const headers = {...own, "retry-after": retry}
      return answer.refuse(503, problem("no-configuration"), headers)
    }
    const route = findRoute(now, req.headers.host ?? "", req.url ?? "/")
    const service = route && drawService(route, this.options_.random())
    if (!route || service === undefined) {
      // By an old table nobody can say that there is no such route: it may be new.
      const current = isConfigCurrent(this.options_.serving(), clockNow())
      noteOwn(current ? "no-route" : "no-route-yet")
      if (current) return answer.refuse(404, problem("no-route"), own)
      return answer.refuse(503, problem("no-route-yet"), {...own, "retry-after": retry})
    }
    const access = checkAccess(serving, route, facts.key, clockNow())
    if (!access.granted) {
      const status = ACCESS_STATUS[access.reason]
      noteOwn(access.reason)
      const headers = status === 503 ? {...own, "retry-after": retry} : own
      return answer.refuse(status, problem(access.reason), headers)
    }
    const {organisation} = access
    const streaming = route.kind === "streaming"
    const exchange = new RelayExchange(answer.id, facts, streaming, req, res, body)
    this.exchanges_.set(exchange.id, exchange)
    res.on("close", () => this.callerClosed(exchange))
    const {id} = exchange
    const fingerprint = fingerprintRequest({
      caller: organisation?.name ?? "",
      method: req.method ?? "GET",
      host: req.headers.host ?? "",
      path: req.url ?? "/",
      body
    })
    const {name, weights, tokens, usage, key, prefix, lastEventId, deadlineMs} = facts
    this.options_.post({
      type: "arrive",
      arrival: {
        id,
        name,
        fingerprint,
        route,
        service,
        weights,
        tokens,
        usage,
        key,
        organisation: organisation?.name,
        rank: now.rankOf(organisation?.priority, route.priority),
        prefix,
        deadlineMs,
        lastEventId
      }
    })
  }

  /**
   * A process that stood still takes requests that came meanwhile before it has read the store: their routes
   * wait for that as sends do, so that no caller is told that a route is missing which is only new.
   */
  private async awaitNews(): Promise<void> {
    const until = clockNow() + MAX_NEWS_WAIT_MS
    while (isSnapshotStale(this.options_.serving(), clockNow())) {
      if (clockNow() > until) return
      await pause(NEWS_TURN_MS)
    }
  }

  /** Performs an effect; false: it is not the relay's. */
  perform(effect: BoxEffect): boolean {
    if (!("id" in effect)) return false
    const exchange = this.exchanges_.get(effect.id)
    if (!exchange) return true
    switch (effect.type) {
      case "send":
        this.send(exchange, effect)
        return true
      case "pass":
        exchange.pass(this.options_.closing())
        return true
      case "discard":
        // The answer is read to its end, which keeps the connection.
        if (exchange.attempt === effect.attempt) exchange.attempt = -1
        return true
      case "abort":
        if (exchange.attempt === effect.attempt) {
          exchange.attempt = -1
          exchange.abort?.()
        }
        return true
      case "end":
        this.end(exchange, effect.reason, effect.retryAfterMs)
        return true
      case "cut":
        this.exchanges_.delete(exchange.id)
        exchange.cut()
        return true
      default:
        return false
    }
  }

  private send(exchange: RelayExchange, effect: SendEffect): void {
    const {id, attempt, backend, expectedVersion, deadlineMs} = effect
    // What went to the caller is known here: a stream goes on after it, whatever the core has heard.
    const {lastEventId} = exchange
    const {dialect, post, serving} = this.options_
    const {table, boxCount: boxes} = serving()
    exchange.begin(attempt)
    const current = (): boolean => exchange.attempt === attempt
    const arrival = serving().requests.get(id)?.arrival
    const headers = dialect.writeRequest(stripHop(exchange.req.rawHeaders), {
      server: backend.server,
      deadlineMs,
      priority: arrival?.rank ?? LOWEST_RANK,
      organisation: arrival?.organisation,
      expectedVersion,
      lastEventId
    })
    const most = table?.services.get(backend.service)?.maxConnections ?? 1
    const connections = Math.max(2, Math.floor((most * 0.8) / Math.max(1, boxes)))
    const {method = "GET", url = "/"} = exchange.req
    let heardAt = 0
    const fail = (failure: AttemptFailure): void => {
      if (!current()) return
      // The rest of this attempt's answer is nobody's.
      exchange.attempt = -1
      const last = exchange.lastEventId
      post({type: "failed", id, attempt, failure, lastEventId: last})
    }
    let started = false
    let sentAt = 0
    this.pools.send(
      backend.id,
      backend.address,
      connections,
      {method, path: url, headers, body: exchange.body},
      {
        started: abort => {
          if (!current()) return false
          // It may have left while the request waited for a connection.
          const obstacle = findSendObstacle(serving(), id, clockNow())
          if (obstacle) {
            fail(obstacle)
            return false
          }
          started = true
          sentAt = clockNow()
          exchange.abort = abort
          post({type: "started", id, attempt})
          return true
        },
        head: (status, raw) => {
          if (!current()) return
          const answer = dialect.readAnswer(status, mapHeaders(raw))
          const {abort} = exchange
          if (answer.name !== exchange.facts.name) {
            // An answer to another request: nothing on this connection can be trusted.
            fail("broken")
            abort?.()
            return
          }
          const {notice} = answer
          if (notice && (answer.genuine || answer.notRun)) {
            this.takeNotice(backend.id, notice, sentAt)
          }
          if (answer.notRun) return fail(answer.notRun)
          if (!answer.genuine) {
            fail("broken")
            return
          }
          exchange.setHead(status, raw)
          const head = {failed: status >= 500, streamed: exchange.isStreamed}
          post({type: "head", id, attempt, head})
        },
        data: chunk => {
          if (!current()) return
          exchange.take(chunk)
          const now = clockNow()
          if (now - heardAt < HEARD_MS) return
          heardAt = now
          post({type: "heard", id, attempt})
        },
        done: () => {
          if (!current()) return
          this.exchanges_.delete(id)
          exchange.complete(this.options_.closing())
          post({type: "done", id, attempt})
        },
        failed: () => fail(started ? "broken" : "not-sent")
      }
    )
  }

  /** An answer that says nothing of its server ends the rate that the server had named. */
  private takeNotice(backend: string, notice: ServerNotice, sentAt: number): void {
    const {post, serving} = this.options_
    const named = serving().advertisedRates.of(backend) !== undefined
    if (!named && !hasNotice(notice)) return
    post({type: "server-says", backend, notice, sentAt})
  }

  private end(exchange: RelayExchange, reason: EndReason, retryAfterMs: number): void {
    this.exchanges_.delete(exchange.id)
    const own = this.options_.dialect.ownAnswer(exchange.facts.name)
    const headers: Record<string, string> = {...own}
    if (COMES_BACK.has(reason)) headers["retry-after"] = (retryAfterMs / 1000).toFixed(2)
    if (this.options_.closing()) headers.connection = "close"
    exchange.refuse(END_STATUS[reason], problem(reason), headers)
  }

  private callerClosed(exchange: RelayExchange): void {
    if (!this.exchanges_.delete(exchange.id)) return
    this.options_.post({type: "hang-up", id: exchange.id})
    exchange.attempt = -1
    exchange.abort?.()
  }
}

function problem(code: string): object {
  return {error: {code}}
}
