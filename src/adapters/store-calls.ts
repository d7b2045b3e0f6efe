/** Calls the key-value service over HTTP, with timeouts. Replaces silent connections. */
import {Pool} from "undici"
import {AnswerTimes} from "../core/answer-times.js"
import {LATE_ANSWER_MS} from "../core/snapshot-age.js"
import {KvUnavailable, KvUnknown} from "../errors.js"
import type {KvTransport} from "../ports/ports.js"
import {limitTime} from "../utils/time-limit.js"
import {startAnswerTimer, type Timer} from "../utils/timers.js"
import {readAnswerText} from "./answer-text.js"
import {clockNow} from "./clock.js"
import type {StoreEras} from "./era-source.js"

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
}

export interface StoreAnswer {
  readonly status: number
  /** Parsed JSON. Undefined if the answer has no body. */
  readonly body: unknown
  /** Era of the answer. Undefined if the service reports none. */
  readonly era: number | undefined
}

const MAX_CONNECTIONS = 16

/** A timer that fires later than this shows that the process had no processor. */
const STARVED_MS = 50

/** Longest time until an answer counts as late, however slow the service is. */
const MAX_LATE_ANSWER_MS = 1_000

/**
 * For how long an answer is awaited after its caller has given it up. It shows how long
 * answers take.
 */
const GIVEN_UP_MS = 1_500

/** Longer than calls take: a call that ends closes the connection that it waits for. */
const CONNECT_TIMEOUT_MS = 5_000

/** Errors while connecting. The service cannot have received the call. */
const CONNECT_ERROR_CODES = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT"])

export class StoreCalls {
  private pool_: Pool
  private readonly times_ = new AnswerTimes(LATE_ANSWER_MS, MAX_LATE_ANSWER_MS)
  /** Pools with a connection on which a call was answered. */
  private readonly answered_ = new WeakSet<Pool>()
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
    const sentAt = clockNow()
    const lateAfterMs = watchMs + this.times_.lateAfterMs(sentAt)
    const timeoutMs = Math.round(watchMs + this.options_.timeoutMs * this.slowness)
    const late = startAnswerTimer(lateAfterMs, () =>
      this.handleLate(pool, sentAt + lateAfterMs)
    )
    let timeout: Timer | undefined
    const expired = new Promise<never>((_, reject) => {
      timeout = startAnswerTimer(timeoutMs, () => {
        this.replacePool(pool)
        reject(new KvUnknown(`no answer within ${timeoutMs} ms`))
      })
    })
    const answer = this.exchange(pool, call, sentAt, timeoutMs + GIVEN_UP_MS)
    answer.catch(() => undefined)
    try {
      return await Promise.race([answer, expired])
    } finally {
      late.clear()
      timeout?.clear()
    }
  }

  /** Sends a call and reads its answer, also after its caller has given it up. */
  private async exchange(
    pool: Pool,
    {method, path, body, watchMs, signal}: StoreCall,
    sentAt: number,
    limitMs: number
  ): Promise<StoreAnswer> {
    const {eras, eraHeader} = this.options_
    const limit = limitTime(limitMs, signal)
    try {
      const answer = await pool.request({
        method,
        path,
        headers: body ? {"content-type": "application/json"} : {},
        body: body ? JSON.stringify(body) : null,
        signal: limit.signal
      })
      const text = await readAnswerText(answer.body)
      this.answered_.add(pool)
      const now = clockNow()
      if (watchMs === undefined) this.times_.record(now - sentAt, now)
      const header = answer.headers[eraHeader]
      const era = eras.resolveEra(Array.isArray(header) ? header[0] : header, sentAt)
      return {status: answer.statusCode, body: parseBody(text), era}
    } catch (cause) {
      throw toKvError(cause as Error)
    } finally {
      limit.clear()
    }
  }

  private handleLate(pool: Pool, lateAt: number): void {
    this.observed_.lateCalls++
    if (clockNow() - lateAt > STARVED_MS) this.observed_.starvedCalls++
    // A pool that has not answered yet shows that the service is slow, not that connections
    // are silent.
    if (this.answered_.has(pool)) this.replacePool(pool)
  }

  private openPool(): Pool {
    const pool = new Pool(`http://${this.options_.address}`, {
      connections: MAX_CONNECTIONS,
      pipelining: 1,
      connect: {timeout: CONNECT_TIMEOUT_MS},
      keepAliveTimeout: 30_000
    })
    pool.on("connect", () => this.observed_.connections++)
    return pool
  }

  /**
   * Uses new connections for later calls. If one connection is silent, others may be too,
   * and each would cost a call its whole timeout. Calls in progress continue.
   */
  private replacePool(pool: Pool): void {
    if (this.pool_ !== pool) return
    this.pool_ = this.openPool()
    pool.close().catch(() => undefined)
  }
}

function parseBody(text: string): unknown {
  return text === "" ? undefined : JSON.parse(text)
}

function toKvError(cause: Error & {readonly code?: string}): Error {
  if (cause instanceof KvUnknown) return cause
  return CONNECT_ERROR_CODES.has(cause.code ?? "")
    ? new KvUnavailable(cause.message)
    : new KvUnknown(`${cause.name}: ${cause.message}`)
}
