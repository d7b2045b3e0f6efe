/** Calls the key-value service over HTTP, with timeouts. Replaces silent connections. */
import type {Dispatcher} from "undici"
import {AnswerTimes} from "../core/answer-times.js"
import {LATE_ANSWER_MS} from "../core/snapshot-age.js"
import {KvUnavailable, KvUnknown} from "../errors.js"
import type {KvTransport} from "../ports/ports.js"
import {limitTime} from "../utils/time-limit.js"
import {startAnswerTimer, type Timer} from "../utils/timers.js"
import {readAnswerText} from "./answer-text.js"
import {clockNow} from "./clock.js"
import type {StoreEras} from "./era-source.js"
import {countContent} from "./read-control.js"
import {type StoreConnection, StorePool} from "./store-pool.js"

export interface StoreCallsOptions {
  /** IP number and port. */
  readonly address: string
  /**
   * Timeout of a call, added to its `watchMs`. Longer by as much as answers take longer
   * than usual.
   */
  readonly timeoutMs: number
  readonly eras: StoreEras
  /** Name of the answer header with the era, in lower case. */
  readonly eraHeader: string
}

export interface StoreCall {
  readonly method: "GET" | "POST" | "DELETE"
  /** Includes the query. */
  readonly path: string
  /** Sent as JSON. */
  readonly body?: object
  /** How long the service may wait for changes before it answers. */
  readonly watchMs?: number
  readonly signal?: AbortSignal
  /** Sent at once while other calls wait for connections to open. */
  readonly isUrgent?: boolean
}

export interface StoreAnswer {
  readonly status: number
  /** Parsed JSON. Undefined if the answer has no body. */
  readonly body: unknown
  /** Era of the answer. Undefined if the service reports none. */
  readonly era: number | undefined
}

/** A timer that fires later than this shows that the process had no processor. */
const STARVED_MS = 50

/** Longest time until an answer counts as late, however slow the service is. */
const MAX_LATE_ANSWER_MS = 1_000

/**
 * For how long an answer is awaited after its caller has given it up. It shows how long
 * answers take.
 */
const GIVEN_UP_MS = 1_500

/** For how much longer an answer is awaited on a connection that may not be open yet. */
const OPEN_WAIT_MS = 8_000

/** Errors while connecting. The service cannot have received the call. */
const CONNECT_ERROR_CODES = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT"])

export class StoreCalls {
  private pool_: StorePool
  private readonly times_ = new AnswerTimes(LATE_ANSWER_MS, MAX_LATE_ANSWER_MS)
  private readonly observed_ = {connections: 0, lateCalls: 0, starvedCalls: 0}

  constructor(private readonly options_: StoreCallsOptions) {
    this.pool_ = this.openPool()
  }

  get transport(): KvTransport {
    return this.observed_
  }

  /** By how many times answers take longer than usual, 1 or more. */
  get slowness(): number {
    return this.times_.slowness(clockNow())
  }

  /**
   * @throws KvUnavailable if the call was not executed, KvUnknown if it may have been.
   */
  async call(call: StoreCall): Promise<StoreAnswer> {
    const pool = this.pool_
    const {watchMs = 0} = call
    const calledAt = clockNow()
    const lateAfterMs = watchMs + this.times_.lateAfterMs(calledAt)
    const timeoutMs = Math.round(watchMs + this.options_.timeoutMs * this.slowness)
    const exchange = new StoreExchange(pool, call, timeoutMs)
    const late = startAnswerTimer(lateAfterMs, () =>
      this.handleLate(exchange, calledAt + lateAfterMs)
    )
    let timeout: Timer | undefined
    const expired = new Promise<never>((_, reject) => {
      timeout = startAnswerTimer(timeoutMs, () => {
        reject(exchange.giveUp())
      })
    })
    const answer = this.exchange(exchange)
    answer.catch(() => undefined)
    try {
      return await Promise.race([answer, expired])
    } finally {
      late.clear()
      timeout?.clear()
    }
  }

  /** Sends a call and reads its answer, also after its caller has given it up. */
  private async exchange(exchange: StoreExchange): Promise<StoreAnswer> {
    const {eras, eraHeader} = this.options_
    const {pool, call} = exchange
    const connection = await pool.take(isUrgent(call), () => exchange.isGivenUp)
    if (!connection) throw new KvUnavailable("the call was given up before it was sent")
    const limit = limitTime(exchange.limitMs, call.signal, () =>
      exchange.takeOpenWaitMs()
    )
    try {
      const sentAt = clockNow()
      const lateAfterMs = this.times_.lateAfterMs(sentAt)
      const answer = await exchange.send(connection, limit.signal)
      const text = await readAnswerText(answer.body)
      const tookMs = clockNow() - sentAt
      const {watchMs = 0} = call
      if (call.watchMs === undefined) this.times_.record(tookMs, clockNow())
      pool.recordAnswer(connection, tookMs <= watchMs + lateAfterMs)
      const header = answer.headers[eraHeader]
      const era = eras.resolveEra(Array.isArray(header) ? header[0] : header, sentAt)
      return {status: answer.statusCode, body: parseBody(text), era}
    } catch (cause) {
      throw toKvError(cause as Error)
    } finally {
      limit.clear()
      pool.release(connection)
    }
  }

  private handleLate({pool, isOnOpenConnection}: StoreExchange, lateAt: number): void {
    this.observed_.lateCalls++
    if (clockNow() - lateAt > STARVED_MS) this.observed_.starvedCalls++
    // Connections that have answered no call in time show that the service is slow, not that
    // they are silent.
    if (pool.isPrompt && isOnOpenConnection) this.replacePool(pool)
  }

  private openPool(): StorePool {
    return new StorePool(this.options_.address, () => this.observed_.connections++)
  }

  /**
   * Uses new connections for later calls. If one connection is silent, others may be too,
   * and each would cost a call its whole timeout. Calls in progress continue.
   */
  private replacePool(pool: StorePool): void {
    if (this.pool_ !== pool) return
    this.pool_ = this.openPool()
    pool.close()
  }
}

/** Whether a call waits for no connection: it takes long itself, or is of no use later. */
function isUrgent(call: StoreCall): boolean {
  return call.watchMs !== undefined || call.isUrgent === true
}

/** A call, which its caller may give up before it is sent or answered. */
class StoreExchange {
  private isSent_ = false
  private isGivenUp_ = false
  private isOnOpenConnection_ = false
  private hasTakenOpenWait_ = false
  private connection_: StoreConnection | undefined

  constructor(
    readonly pool: StorePool,
    readonly call: StoreCall,
    private readonly timeoutMs_: number
  ) {}

  get isGivenUp(): boolean {
    return this.isGivenUp_
  }

  /** Whether it was sent on a connection that had answered a call before. */
  get isOnOpenConnection(): boolean {
    return this.isOnOpenConnection_
  }

  /** How long the answer is awaited, once the call is sent (ms). */
  get limitMs(): number {
    return this.timeoutMs_ + GIVEN_UP_MS
  }

  /**
   * Returns for how much longer the answer is awaited (ms), as a service may be slow to open
   * the connection. At most once.
   */
  takeOpenWaitMs(): number {
    const isOpened = (this.connection_?.socket?.bytesRead ?? 0) > 0
    if (isOpened || this.hasTakenOpenWait_) return 0
    this.hasTakenOpenWait_ = true
    return OPEN_WAIT_MS
  }

  /**
   * Sends the call.
   * @throws KvUnavailable if it was given up before.
   */
  async send(
    connection: StoreConnection,
    signal: AbortSignal
  ): Promise<Dispatcher.ResponseData> {
    if (this.isGivenUp_) throw new KvUnavailable("the call was given up")
    this.isSent_ = true
    this.isOnOpenConnection_ = connection.hasAnswered
    this.connection_ = connection
    const {method, path, body} = this.call
    return connection.client.compose(countContent).request({
      method,
      path,
      headers: body ? {"content-type": "application/json"} : {},
      body: body ? JSON.stringify(body) : null,
      signal
    })
  }

  /** Gives the call up. Returns the error for its caller. */
  giveUp(): Error {
    this.isGivenUp_ = true
    const reason = `no answer within ${this.timeoutMs_} ms`
    return this.isSent_ ? new KvUnknown(reason) : new KvUnavailable(reason)
  }
}

function parseBody(text: string): unknown {
  return text === "" ? undefined : JSON.parse(text)
}

function toKvError(cause: Error & {readonly code?: string}): Error {
  if (cause instanceof KvUnknown || cause instanceof KvUnavailable) return cause
  return CONNECT_ERROR_CODES.has(cause.code ?? "")
    ? new KvUnavailable(cause.message)
    : new KvUnknown(`${cause.name}: ${cause.message}`)
}
