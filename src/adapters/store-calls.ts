/** Calls the key-value service over HTTP, with timeouts. Replaces silent connections. */
import {Pool} from "undici"
import {LATE_ANSWER_MS} from "../core/snapshot-age.js"
import {KvUnavailable, KvUnknown} from "../errors.js"
import type {KvTransport} from "../ports/ports.js"
import {limitTime} from "../utils/time-limit.js"
import {readAnswerText} from "./answer-text.js"
import {clockNow} from "./clock.js"
import type {StoreEras} from "./era-source.js"

export interface StoreCallsOptions {
  /** IP number and port. */
  readonly address: string
  /** Timeout of a call, added to its `watchMs`. */
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

const CONNECT_TIMEOUT_MS = 600
const MAX_CONNECTIONS = 8

/** A timer that fires later than this shows that the process had no processor. */
const STARVED_MS = 50

/** Errors while connecting. The service cannot have received the call. */
const CONNECT_ERROR_CODES = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT"])

export class StoreCalls {
  private pool_: Pool
  private readonly observed_ = {connections: 0, lateCalls: 0, starvedCalls: 0}

  constructor(private readonly options_: StoreCallsOptions) {
    this.pool_ = this.openPool()
  }

  get transport(): KvTransport {
    return this.observed_
  }

  /**
   * @throws KvUnavailable if the call was not executed, KvUnknown if it may have been.
   */
  async call({method, path, body, watchMs = 0, signal}: StoreCall): Promise<StoreAnswer> {
    const pool = this.pool_
    const {eras, eraHeader} = this.options_
    const sentAt = clockNow()
    const limit = limitTime(watchMs + this.options_.timeoutMs, signal)
    const lateAt = sentAt + watchMs + LATE_ANSWER_MS
    const late = setTimeout(() => this.handleLate(pool, lateAt), lateAt - sentAt)
    try {
      const answer = await pool.request({
        method,
        path,
        headers: body ? {"content-type": "application/json"} : {},
        body: body ? JSON.stringify(body) : null,
        signal: limit.signal
      })
      const text = await readAnswerText(answer.body)
      const header = answer.headers[eraHeader]
      const era = eras.resolveEra(Array.isArray(header) ? header[0] : header, sentAt)
      return {status: answer.statusCode, body: parseBody(text), era}
    } catch (cause) {
      if (limit.hasExpired()) this.replacePool(pool)
      throw toKvError(cause as Error)
    } finally {
      clearTimeout(late)
      limit.clear()
    }
  }

  private handleLate(pool: Pool, lateAt: number): void {
    this.observed_.lateCalls++
    if (clockNow() - lateAt > STARVED_MS) this.observed_.starvedCalls++
    this.replacePool(pool)
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
