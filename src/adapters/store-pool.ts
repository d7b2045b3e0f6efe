/**
 * Connections to the key-value service. Opens one at a time, and a second one only after a
 * call was answered in time: a service that opens connections slowly has to open those, too,
 * whose calls were given up.
 */
import type {Socket} from "node:net"
import {buildConnector, Client} from "undici"
import {clockNow} from "./clock.js"

const MAX_CONNECTIONS = 16

/** Longer than calls take: a call that ends closes the connection that it waits for. */
const CONNECT_TIMEOUT_MS = 5_000

const CONNECT = buildConnector({timeout: CONNECT_TIMEOUT_MS})

const KEEP_ALIVE_MS = 30_000

/** A connection, which carries one call at a time. */
export interface StoreConnection {
  /** Opens its connection when needed. */
  readonly client: Client
  isBusy: boolean
  /** Whether a call was answered since it opened. */
  hasAnswered: boolean
  /** Undefined while it is not open. */
  socket: Socket | undefined
}

export class StorePool {
  readonly openedAt = clockNow()
  private readonly connections_: StoreConnection[] = []
  /** Calls that wait for a connection. */
  private readonly waiting_: ((connection: StoreConnection) => void)[] = []
  private isPrompt_ = false
  private isClosed_ = false

  /** `connected` is called with each new connection. */
  constructor(
    private readonly address_: string,
    private readonly connected_: () => void
  ) {}

  /** Whether a call was answered in time. */
  get isPrompt(): boolean {
    return this.isPrompt_
  }

  recordPromptAnswer(): void {
    this.isPrompt_ = true
  }

  /** Takes a connection for a call. `atOnce`: does not wait for other calls. */
  async take(atOnce: boolean): Promise<StoreConnection> {
    const connection = this.findFree(atOnce)
    if (!connection) return new Promise(resolve => this.waiting_.push(resolve))
    connection.isBusy = true
    return connection
  }

  /** Returns a connection at the end of its call. */
  release(connection: StoreConnection): void {
    connection.isBusy = false
    for (;;) {
      const [next] = this.waiting_
      const free = next && this.findFree(false)
      if (!free) break
      this.waiting_.shift()
      free.isBusy = true
      next(free)
    }
    this.closeIfDone()
  }

  /** Closes all connections after the calls in progress. */
  close(): void {
    this.isClosed_ = true
    this.closeIfDone()
  }

  private findFree(atOnce: boolean): StoreConnection | undefined {
    const free = this.connections_.filter(({isBusy}) => !isBusy)
    const open = free.find(({hasAnswered}) => hasAnswered)
    if (open) return open
    if (!atOnce && !this.mayOpen) return undefined
    const [unopened] = free
    if (unopened) return unopened
    return this.connections_.length < MAX_CONNECTIONS ? this.add() : undefined
  }

  /** Whether one more connection may be opened. */
  private get mayOpen(): boolean {
    const busy = this.connections_.filter(({isBusy}) => isBusy)
    if (!this.isPrompt_) return busy.length === 0
    return busy.every(({hasAnswered}) => hasAnswered)
  }

  private add(): StoreConnection {
    const client = new Client(`http://${this.address_}`, {
      pipelining: 1,
      connect: (options, done) =>
        CONNECT(options, (...[cause, socket]) => {
          connection.socket = socket ?? undefined
          if (cause) done(cause, null)
          else done(null, socket)
        }),
      keepAliveTimeout: KEEP_ALIVE_MS
    })
    const connection: StoreConnection = {
      client,
      isBusy: false,
      hasAnswered: false,
      socket: undefined
    }
    client.on("connect", this.connected_)
    client.on("disconnect", () => {
      connection.hasAnswered = false
      connection.socket = undefined
    })
    this.connections_.push(connection)
    return connection
  }

  private closeIfDone(): void {
    if (!this.isClosed_ || this.waiting_.length > 0) return
    for (const {client, isBusy} of this.connections_)
      if (!isBusy) client.close().catch(() => undefined)
  }
}
