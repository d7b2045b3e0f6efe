/** Calls to the key-value service over HTTP: their time limits, and leaving connections that went silent. */
import {Pool} from "undici"
import {LATE_ANSWER_MS} from "../core/snapshot-age.js"
import {KvUnavailable, KvUnknown} from "../errors.js"
import {limitTime} from "../utils/time-limit.js"
import {clockNow} from "./clock.js"
import type {StoreEras} from "./era-source.js"

export interface StoreCallsOptions {
  /** IP number and port. */
  readonly address: string
  /** A call without an answer has failed after this, milliseconds. */
  readonly timeoutMs: number
  readonly eras: StoreEras
  /** The header of answers that tells the era, in lower case. */
  readonly eraHeader: string
}

export interface StoreCall {
  readonly method: "GET" | "POST" | "DELETE"
  /** With the query. */
  readonly path: string
  /** Sent as JSON. */
  readonly body?: object
  /** The service may wait so long for changes before it answers, milliseconds. */
  readonly watchMs?: number
  readonly signal?: AbortSignal
}

export interface StoreAnswer {
  readonly status: number
  /** Read as JSON; an empty object where nothing came. */
  readonly body: unknown
  /** The era that it was answered in; undefined: the service tells none. */
  readonly era: number | undefined
}

const CONNECT_MS = 600
const CONNECTIONS = 8

/** Errors of connections that were never made: the service cannot have heard of the call. */
const UNHEARD = new Set(["ECONNREFUSED", "UND_ERR_CONNECT_TIMEOUT"])

export class StoreCalls {
  private pool_: Pool

  constructor(private readonly options_: StoreCallsOptions) {
    this.pool_ = this.openPool()
  }

  /** @throws KvUnavailable if nothing was done, KvUnknown if the call may have been carried out. */
  async call({method, path, body, watchMs = 0, signal}: StoreCall): Promise<StoreAnswer> {
    const pool = this.pool_
    const {eras, eraHeader} = this.options_
    const sentAt = clockNow()
    const limit = limitTime(watchMs + this.options_.timeoutMs, signal)
    const late = setTimeout(() => this.leavePool(pool), watchMs + LATE_ANSWER_MS)
    try {
      const answer = await pool.request({
        method,
        path,
        headers: body ? {"content-type": "application/json"} : {},
        body: body ? JSON.stringify(body) : null,
        signal: limit.signal
      })
      const text = await answer.body.text()
      const header = answer.headers[eraHeader]
      const era = eras.place(Array.isArray(header) ? header[0] : header, sentAt)
      return {status: answer.statusCode, body: text === "" ? {} : JSON.parse(text), era}
    } catch (cause) {
      if (limit.hasExpired()) this.leavePool(pool)
      throw toKvError(cause as Error)
    } finally {
      clearTimeout(late)
      limit.clear()
    }
  }

  private openPool(): Pool {
    return new Pool(`http://${this.options_.address}`, {
      connections: CONNECTIONS,
      pipelining: 1,
      connect: {timeout: CONNECT_MS},
      keepAliveTimeout: 30_000
    })
  }

  /**
   * Calls from now on go over new connections. One that went silent tells that others may have, too:
   * each kept one would cost a call its whole time limit. What waits on the old ones goes on.
   */
  private leavePool(pool: Pool): void {
    if (this.pool_ !== pool) return
    this.pool_ = this.openPool()
    pool.close().catch(() => undefined)
  }
}

function toKvError(cause: Error & {readonly code?: string}): Error {
  if (cause instanceof KvUnknown) return cause
  return UNHEARD.has(cause.code ?? "")
    ? new KvUnavailable(cause.message)
    : new KvUnknown(`${cause.name}: ${cause.message}`)
}
