/**
 * Connections to the key-value service. They open at growing intervals until one has
 * answered its first call in time: a service that opens connections slowly has to open
 * those, too, whose calls were given up.
 */
import type {Socket} from "node:net"
import {buildConnector, Client} from "undici"
import {limitOverhead, MAX_HEADER_SIZE} from "./answer-overhead.js"
import {clockNow} from "./clock.js"

const MAX_CONNECTIONS = 16

/** Longer than calls take: a call that ends closes the connection that it waits for. */
const CONNECT_TIMEOUT_MS = 5_000

const CONNECT = buildConnector({timeout: CONNECT_TIMEOUT_MS})

const KEEP_ALIVE_MS = 30_000

/** First and longest interval at which connections open while the service opens them late. */
const OPEN_INTERVAL_MS = 700
const MAX_OPEN_INTERVAL_MS = 2_000

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

/** A call that waits for a connection. It gets none if it has been given up. */
interface WaitingCall {
  readonly isGivenUp: () => boolean
  readonly start: (connection: StoreConnection | undefined) => void
}

export class StorePool {
  private readonly connections_: StoreConnection[] = []
  /** Calls that wait for a connection. */
  private readonly waiting_: WaitingCall[] = []
  private isPrompt_ = false
  /** Interval until the next connection may open. 0 if the service opens them in time. */
  private openIntervalMs_ = OPEN_INTERVAL_MS
  private mayOpenAt_ = -Infinity
  private openTimer_: NodeJS.Timeout | undefined
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

  /** Records an answer. `inTime`: it was not late. */
  recordAnswer(connection: StoreConnection, inTime: boolean): void {
    if (inTime) this.isPrompt_ = true
    if (!connection.hasAnswered) this.recordOpened(inTime)
    connection.hasAnswered = true
  }

  /**
   * Takes a connection for a call. Undefined if the call is given up before there is one.
   * `isUrgent`: does not wait for one to open.
   */
  async take(
    isUrgent: boolean,
    isGivenUp: () => boolean
  ): Promise<StoreConnection | undefined> {
    const connection = this.findFree(isUrgent)
    if (connection) {
      connection.isBusy = true
      return connection
    }
    return new Promise(start => {
      this.waiting_.push({isGivenUp, start})
      this.scheduleOpening()
    })
  }

  /** Returns a connection at the end of its call. */
  release(connection: StoreConnection): void {
    connection.isBusy = false
    // Only connections that may still open are a reason to wait.
    if (!connection.hasAnswered) this.mayOpenAt_ = -Infinity
    this.startWaiting()
    this.closeIfDone()
  }

  private startWaiting(): void {
    for (;;) {
      const [next] = this.waiting_
      if (!next) break
      const isGivenUp = next.isGivenUp()
      const free = isGivenUp ? undefined : this.findFree(false)
      if (!free && !isGivenUp) break
      this.waiting_.shift()
      if (free) free.isBusy = true
      next.start(free)
    }
    this.scheduleOpening()
  }

  private scheduleOpening(): void {
    clearTimeout(this.openTimer_)
    if (this.waiting_.length === 0 || this.connections_.length >= MAX_CONNECTIONS) return
    const waitMs = Math.max(1, this.mayOpenAt_ - clockNow())
    this.openTimer_ = setTimeout(() => this.startWaiting(), waitMs)
  }

  /** Closes all connections after the calls in progress. */
  close(): void {
    this.isClosed_ = true
    this.closeIfDone()
  }

  private findFree(isUrgent: boolean): StoreConnection | undefined {
    const free = this.connections_.filter(({isBusy}) => !isBusy)
    const open = free.find(({hasAnswered}) => hasAnswered)
    if (open) return open
    const now = clockNow()
    if (!isUrgent && now < this.mayOpenAt_) return undefined
    const [unopened] = free
    const isFull = this.connections_.length >= MAX_CONNECTIONS
    const connection = unopened ?? (isFull ? undefined : this.add())
    if (connection) this.recordOpening(now)
    return connection
  }

  private recordOpened(inTime: boolean): void {
    this.openIntervalMs_ = inTime ? 0 : Math.max(OPEN_INTERVAL_MS, this.openIntervalMs_)
    if (inTime) this.mayOpenAt_ = -Infinity
  }

  private recordOpening(now: number): void {
    this.mayOpenAt_ = now + this.openIntervalMs_
    this.openIntervalMs_ = Math.min(MAX_OPEN_INTERVAL_MS, 2 * this.openIntervalMs_)
  }

  private add(): StoreConnection {
    const client = new Client(`http://${this.address_}`, {
      pipelining: 1,
      maxHeaderSize: MAX_HEADER_SIZE,
      connect: (options, done) =>
        CONNECT(options, (...[cause, socket]) => {
          connection.socket = socket ?? undefined
          if (socket) limitOverhead(socket)
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
