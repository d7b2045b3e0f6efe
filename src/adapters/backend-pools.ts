/**
 * Connections to backend servers: a pool for each, one request at a time per
 * connection.
 */
import type {Client, Dispatcher} from "undici"
import {MAX_HEADER_SIZE} from "./answer-overhead.js"
import {ConnectionPool} from "./connection-pool.js"
import {type AnswerControl, createReadControl, type ReadControl} from "./read-control.js"
import {buildResetConnector} from "./reset-connector.js"

export type {ReadControl} from "./read-control.js"

export interface SendOptions {
  readonly method: string
  readonly path: string
  readonly headers: string[]
  readonly body: Buffer | null
  /**
   * Id of the request, which the server repeats in its answer. Undefined if an answer is
   * told apart otherwise.
   */
  readonly requestId?: string
}

/** Callbacks of a request and its answer. */
export interface SendHandler {
  /**
   * Called if a free connection is not used, as it has carried a request with this id.
   */
  readonly passedOver?: () => void
  /**
   * Called before the first byte is sent. `abort` closes the connection. False cancels
   * the request.
   */
  readonly started: (abort: () => void) => boolean
  readonly head: (status: number, headers: string[]) => void
  /** `reading` pauses the reading of the answer. */
  readonly data: (chunk: Buffer, reading: ReadControl) => void
  readonly done: () => void
  readonly failed: (cause: Error) => void
}

const CONNECT_TIMEOUT_MS = 900
/** A request that waits longer for a new connection is sent over another path. */
export const CONNECT_PATIENCE_MS = 250
const KEEP_ALIVE_MS = 8_000
/** Subtracted from the keep-alive timeout that a backend server advertises. */
const KEEP_ALIVE_MARGIN_MS = 600

/** Pools by backend server id. A new server at an old address gets a pool of its own. */
export class BackendPools {
  private readonly pools_ = new Map<string, ConnectionPool>()

  /**
   * Sends a request. `connections` is the greatest number of connections to the server
   * from now on.
   */
  send(
    id: string,
    address: string,
    connections: number,
    options: SendOptions,
    handler: SendHandler
  ): void {
    const pool = this.poolOf(id, address, connections)
    pool.dispatch({
      options: {
        origin: `http://${address}`,
        method: options.method as Dispatcher.HttpMethod,
        path: options.path,
        headers: options.headers,
        body: options.body,
        headersTimeout: 0,
        bodyTimeout: 0
      },
      handler: adapt(handler),
      requestId: options.requestId,
      passedOver: () => handler.passedOver?.(),
      failed: handler.failed
    })
  }

  /**
   * Whether a request that has not started waits for a new connection, and not for one
   * of the pool's connections to become free.
   */
  isConnecting(id: string): boolean {
    return this.pools_.get(id)?.hasUnopened ?? false
  }

  /** Closes the pools of all other backend servers after their requests in progress. */
  retainOnly(ids: ReadonlySet<string>): void {
    for (const [id, pool] of this.pools_) {
      if (ids.has(id)) continue
      this.pools_.delete(id)
      pool.close()
    }
  }

  async close(): Promise<void> {
    const pools = [...this.pools_.values()]
    this.pools_.clear()
    await Promise.all(pools.map(pool => pool.destroy()))
  }

  private poolOf(id: string, address: string, connections: number): ConnectionPool {
    const existing = this.pools_.get(id)
    if (existing) {
      existing.setLimit(connections)
      return existing
    }
    const pool = new ConnectionPool(`http://${address}`, CLIENT_OPTIONS, connections)
    this.pools_.set(id, pool)
    return pool
  }
}

const CLIENT_OPTIONS: Client.Options = {
  pipelining: 1,
  connect: buildResetConnector(CONNECT_TIMEOUT_MS),
  headersTimeout: 0,
  bodyTimeout: 0,
  maxHeaderSize: MAX_HEADER_SIZE,
  keepAliveTimeout: KEEP_ALIVE_MS,
  keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS
}

function adapt(handler: SendHandler): Dispatcher.DispatchHandler {
  let reading: AnswerControl | undefined
  let lastStatus = 0
  return {
    onRequestStart(controller) {
      reading = createReadControl(controller)
      const abort = (): void => controller.abort(new Error("request aborted by the box"))
      if (!handler.started(abort)) abort()
    },
    onResponseStart(controller, status) {
      lastStatus = status
      if (status < 200) return
      reading?.countContent()
      handler.head(status, decodeHeaders(controller.rawHeaders))
    },
    onResponseData(_controller, chunk) {
      if (!reading) return
      reading.countContent(chunk)
      handler.data(chunk, reading)
    },
    onResponseEnd() {
      handler.done()
    },
    onResponseError(_controller, cause) {
      if (lastStatus === NOT_MODIFIED && isLengthMismatch(cause)) handler.done()
      else handler.failed(cause)
    }
  }
}

const NOT_MODIFIED = 304

/**
 * Whether undici misses the body that an answer announced. Status 304 has none, whatever
 * its length says.
 */
function isLengthMismatch(cause: Error): boolean {
  return (cause as NodeJS.ErrnoException).code === "UND_ERR_RES_CONTENT_LENGTH_MISMATCH"
}

/** Decodes headers as Node.js encodes them, so that their bytes are passed on unchanged. */
function decodeHeaders(raw: unknown): string[] {
  if (!Array.isArray(raw)) return []
  return raw.map(part => (Buffer.isBuffer(part) ? part.toString("latin1") : String(part)))
}
