/** Connections to backend servers: one `undici` pool each, one request at a time a connection. */
import type {Socket} from "node:net"
import {buildConnector, type Dispatcher, Pool} from "undici"

export interface SendOptions {
  readonly method: string
  readonly path: string
  readonly headers: string[]
  readonly body: Buffer | null
}

/** What becomes of a send; `abort` closes its connection. */
export interface SendHandler {
  /** Bytes leave from now on; false: they must not. */
  readonly started: (abort: () => void) => boolean
  readonly head: (status: number, headers: string[]) => void
  /** False: read no more until `resume`. */
  readonly data: (chunk: Buffer) => void
  readonly done: () => void
  readonly failed: (cause: Error) => void
}

const CONNECT_MS = 900
const IDLE_MS = 8_000
/** A backend server closes idle connections by its own time; this is taken off what it says. */
const IDLE_MARGIN_MS = 600

/** Pools by backend server; a new one behind an old address gets a pool of its own. */
export class BackendPools {
  private readonly pools_ = new Map<string, Pool>()

  /** Sends a request over a connection of the backend server. */
  send(
    id: string,
    address: string,
    connections: number,
    options: SendOptions,
    handler: SendHandler
  ): void {
    const pool = this.poolOf(id, address, connections)
    pool.dispatch(
      {
        origin: `http://${address}`,
        method: options.method as Dispatcher.HttpMethod,
        path: options.path,
        headers: options.headers,
        body: options.body,
        headersTimeout: 0,
        bodyTimeout: 0
      },
      adapt(handler)
    )
  }

  /** Keeps the pools of these backend servers only; requests in progress end first. */
  keep(ids: ReadonlySet<string>): void {
    for (const [id, pool] of this.pools_) {
      if (ids.has(id)) continue
      this.pools_.delete(id)
      pool.close().catch(() => undefined)
    }
  }

  async close(): Promise<void> {
    const pools = [...this.pools_.values()]
    this.pools_.clear()
    await Promise.all(pools.map(pool => pool.destroy().catch(() => undefined)))
  }

  private poolOf(id: string, address: string, connections: number): Pool {
    const known = this.pools_.get(id)
    if (known) return known
    const pool = new Pool(`http://${address}`, {
      connections,
      pipelining: 1,
      connect: connectTellingResets,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: IDLE_MS,
      keepAliveTimeoutThreshold: IDLE_MARGIN_MS
    })
    this.pools_.set(id, pool)
    return pool
  }
}

const connect = buildConnector({timeout: CONNECT_MS})

/** A code that `undici` does not know: it would take `ECONNRESET` for the end of an answer. */
const RESET_CODE = "RESET_BY_PEER"

/**
 * Connects so that a reset is told as what it is: the answer broke. An answer without a length
 * ends with its connection, and for those `undici` takes a reset for the end.
 */
const connectTellingResets: buildConnector.connector = (options, callback) => {
  connect(options, (...result) => {
    const [, socket] = result
    if (socket) tellResets(socket)
    callback(...result)
  })
}

function tellResets(socket: Socket): void {
  socket.prependListener("error", (cause: NodeJS.ErrnoException) => {
    if (cause.code === "ECONNRESET") cause.code = RESET_CODE
  })
  const emit = socket.emit.bind(socket)
  socket.emit = (event: string | symbol, ...args: unknown[]): boolean => {
    if (event !== "end" || !wasReset(socket)) return emit(event, ...args)
    const cause = new Error("reset by the peer")
    socket.destroy(Object.assign(cause, {code: RESET_CODE}))
    return true
  }
}

/**
 * Where bytes and a reset come in one turn, the event loop tells an end. Only a connection that is
 * closed both ways has no peer any more; its address must not have been asked for before.
 */
function wasReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined
}

function adapt(handler: SendHandler): Dispatcher.DispatchHandler {
  return {
    onRequestStart(controller) {
      const abort = (): void => controller.abort(new Error("aborted"))
      if (!handler.started(abort)) abort()
    },
    onResponseStart(controller, status) {
      if (status >= 200) handler.head(status, decode(controller.rawHeaders))
    },
    onResponseData(_controller, chunk) {
      handler.data(chunk)
    },
    onResponseEnd() {
      handler.done()
    },
    onResponseError(_controller, cause) {
      handler.failed(cause)
    }
  }
}

function decode(raw: unknown): string[] {
  return Array.isArray(raw) ? raw.map(part => String(part)) : []
}
