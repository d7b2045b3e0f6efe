/**
 * Connections to one server, one request at a time on each. Unlike that of `undici`, the
 * pool takes a new limit while it is in use, and sends no two requests with one id over
 * the same connection.
 */
import {Client, type Dispatcher} from "undici"
import {RequestIds} from "./request-ids.js"

/** A request to be sent. */
export interface PooledRequest {
  readonly options: Dispatcher.DispatchOptions
  readonly handler: Dispatcher.DispatchHandler
  /**
   * Id that the server repeats in its answer. Undefined if it repeats none, so that any
   * connection will do.
   */
  readonly requestId: string | undefined
  /** Called if a free connection is not used because it has carried the id. */
  readonly passedOver: () => void
  /** Called instead of the handler if the request cannot be started at all. */
  readonly failed: (cause: Error) => void
}

interface Connection {
  /** Has at most one connection and opens it when needed. */
  readonly client: Client
  /** Ids of the requests that the open connection has carried. */
  readonly carried: RequestIds
  isBusy: boolean
}

export class ConnectionPool {
  /** Oldest first. */
  private readonly connections_: Connection[] = []
  private waiting_: PooledRequest[] = []
  private isClosed_ = false

  constructor(
    private readonly origin_: string,
    private readonly options_: Client.Options,
    private limit_: number
  ) {}

  /** Whether fewer connections are open than there may be. */
  get hasUnopened(): boolean {
    const open = this.connections_.filter(({client}) => client.stats.connected)
    return open.length < this.limit_
  }

  /**
   * Sets the greatest number of connections. Those beyond it close, busy ones after their
   * requests.
   */
  setLimit(limit: number): void {
    if (limit === this.limit_) return
    this.limit_ = limit
    this.closeExcess()
    this.startWaiting()
  }

  /** Sends a request, or queues it until a connection is free. */
  dispatch(request: PooledRequest): void {
    this.waiting_.push(request)
    this.startWaiting()
  }

  /** Closes all connections after the requests in progress and those that wait. */
  close(): void {
    this.isClosed_ = true
    this.closeIfDone()
  }

  /** Closes all connections at once. Requests fail. */
  async destroy(): Promise<void> {
    this.isClosed_ = true
    const waiting = this.waiting_
    const connections = this.connections_.splice(0)
    this.waiting_ = []
    for (const connection of connections) connection.isBusy = false
    for (const {failed} of waiting) failed(new Error("the connections were closed"))
    await Promise.all(
      connections.map(({client}) => client.destroy().catch(() => undefined))
    )
  }

  private startWaiting(): void {
    for (;;) {
      const [next] = this.waiting_
      if (!next) return
      try {
        const connection = this.findFree(next)
        if (!connection) return
        this.waiting_.shift()
        this.start(connection, next)
      } catch (cause) {
        // The client refuses the server's address.
        this.waiting_.shift()
        next.failed(cause as Error)
      }
    }
  }

  private start(
    connection: Connection,
    {options, handler, requestId, failed}: PooledRequest
  ): void {
    connection.isBusy = true
    try {
      connection.client.dispatch(options, recordId(handler, requestId, connection))
    } catch (cause) {
      connection.isBusy = false
      failed(cause as Error)
    }
  }

  /**
   * Returns a free connection that has not carried the request's id. A server may repeat
   * an earlier answer on its connection, and only another id shows that it is a copy.
   */
  private findFree({requestId, passedOver}: PooledRequest): Connection | undefined {
    const free = this.connections_.filter(({isBusy}) => !isBusy)
    const [oldest] = free
    const usable =
      requestId === undefined ? oldest : free.find(each => !hasCarried(each, requestId))
    if (oldest && usable !== oldest) passedOver()
    if (usable) return usable
    if (this.connections_.length < this.limit_) return this.addConnection()
    if (!oldest) return undefined
    this.closeConnection(oldest)
    return this.addConnection()
  }

  private addConnection(): Connection {
    const client = new Client(this.origin_, this.options_)
    const carried = new RequestIds()
    const connection: Connection = {client, carried, isBusy: false}
    client.on("drain", () => this.handleFree(connection))
    client.on("connect", () => carried.clear())
    client.on("connectionError", () => {
      this.remove(connection)
      this.startWaiting()
      this.closeIfDone()
    })
    this.connections_.push(connection)
    return connection
  }

  private handleFree(connection: Connection): void {
    if (!connection.isBusy) return
    connection.isBusy = false
    this.closeExcess()
    this.startWaiting()
    this.closeIfDone()
  }

  private closeExcess(): void {
    for (const connection of [...this.connections_].reverse()) {
      if (this.connections_.length <= this.limit_) return
      if (!connection.isBusy) this.closeConnection(connection)
    }
  }

  private closeIfDone(): void {
    if (!this.isClosed_ || this.waiting_.length > 0) return
    for (const connection of [...this.connections_]) this.closeConnection(connection)
  }

  private closeConnection(connection: Connection): void {
    this.remove(connection)
    connection.client.close().catch(() => undefined)
  }

  private remove(connection: Connection): void {
    const index = this.connections_.indexOf(connection)
    if (index >= 0) this.connections_.splice(index, 1)
    connection.isBusy = false
  }
}

/** Records the id once the request is written, as the client may connect anew before. */
function recordId(
  handler: Dispatcher.DispatchHandler,
  requestId: string | undefined,
  {carried}: Connection
): Dispatcher.DispatchHandler {
  if (requestId === undefined) return handler
  return {
    ...handler,
    onRequestStart(controller, context) {
      carried.add(requestId)
      handler.onRequestStart?.(controller, context)
    }
  }
}

function hasCarried({client, carried}: Connection, requestId: string): boolean {
  return client.stats.connected && carried.has(requestId)
}
