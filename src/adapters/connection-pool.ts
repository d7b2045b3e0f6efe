/**
 * Connections to one server, one request at a time on each. Unlike that of `undici`, the
 * pool takes a new limit while it is in use.
 */
import {Client, type Dispatcher} from "undici"

interface Waiting {
  readonly options: Dispatcher.DispatchOptions
  readonly handler: Dispatcher.DispatchHandler
  readonly failed: (cause: Error) => void
}

export class ConnectionPool {
  /** Oldest first. A client has at most one connection and opens it when needed. */
  private readonly clients_: Client[] = []
  private readonly busy_ = new Set<Client>()
  private waiting_: Waiting[] = []
  private isClosed_ = false

  constructor(
    private readonly origin_: string,
    private readonly options_: Client.Options,
    private limit_: number
  ) {}

  /** Whether fewer connections are open than there may be. */
  get hasUnopened(): boolean {
    const open = this.clients_.filter(({stats}) => stats.connected)
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

  /**
   * Sends a request, or queues it until a connection is free. `failed` is called instead
   * of the handler if the request cannot be started at all.
   */
  dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
    failed: (cause: Error) => void
  ): void {
    this.waiting_.push({options, handler, failed})
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
    const clients = this.clients_.splice(0)
    this.waiting_ = []
    this.busy_.clear()
    for (const {failed} of waiting) failed(new Error("the connections were closed"))
    await Promise.all(clients.map(client => client.destroy().catch(() => undefined)))
  }

  private startWaiting(): void {
    while (this.waiting_.length > 0) {
      const client = this.findFree()
      if (!client) return
      this.start(client, this.waiting_.shift() as Waiting)
    }
  }

  private start(client: Client, {options, handler, failed}: Waiting): void {
    this.busy_.add(client)
    try {
      client.dispatch(options, handler)
    } catch (cause) {
      this.busy_.delete(client)
      failed(cause as Error)
    }
  }

  private findFree(): Client | undefined {
    const free = this.clients_.find(client => !this.busy_.has(client))
    if (free || this.clients_.length >= this.limit_) return free
    return this.addClient()
  }

  private addClient(): Client {
    const client = new Client(this.origin_, this.options_)
    client.on("drain", () => this.handleFree(client))
    client.on("connectionError", () => {
      this.remove(client)
      this.startWaiting()
      this.closeIfDone()
    })
    this.clients_.push(client)
    return client
  }

  private handleFree(client: Client): void {
    if (!this.busy_.delete(client)) return
    this.closeExcess()
    this.startWaiting()
    this.closeIfDone()
  }

  private closeExcess(): void {
    for (const client of [...this.clients_].reverse()) {
      if (this.clients_.length <= this.limit_) return
      if (!this.busy_.has(client)) this.closeClient(client)
    }
  }

  private closeIfDone(): void {
    if (!this.isClosed_ || this.waiting_.length > 0) return
    for (const client of [...this.clients_]) this.closeClient(client)
  }

  private closeClient(client: Client): void {
    this.remove(client)
    client.close().catch(() => undefined)
  }

  private remove(client: Client): void {
    const index = this.clients_.indexOf(client)
    if (index >= 0) this.clients_.splice(index, 1)
    this.busy_.delete(client)
  }
}
