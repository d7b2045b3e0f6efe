/** WebSocket links between boxes and their leader, with `msgpackr` messages. */
import {createServer, type RequestListener, type Server} from "node:http"
import {connect, type Socket} from "node:net"
import {WebSocket, WebSocketServer} from "ws"
import {parseToLeader} from "../types/box-frames.js"
import type {
  StoreSnapshotRequest,
  BoxMessage,
  FromLeader,
  StoreSnapshot,
  ToLeader
} from "../types/box-messages.js"
import {splitAddress} from "../utils/address.js"
import {startAnswerTimer, type Timer} from "../utils/timers.js"
import {clockNow} from "./clock.js"
import {limitInformational} from "./informational-heads.js"
import {packDeflated, packPlain, SharedMessage, unpack} from "./link-codec.js"

/**
 * Limit of the bytes buffered for a slow peer; the link is closed when it is exceeded.
 */
const MAX_BUFFERED_BYTES = 4 << 20
const MAX_MESSAGE_BYTES = 16 << 20
const CONNECT_TIMEOUT_MS = 600
/** A connection without a `hello` in this time is closed: its peer is not a box. */
const HELLO_TIMEOUT_MS = 2_000

/** More than a caller may send, and the headers that a box adds. */
const MAX_HEADER_BYTES = 64 << 10

/** How long an idle connection for requests of other boxes is kept open. */
const REQUEST_KEEP_ALIVE_MS = 15_000

/** How long a link is kept open without another request for a store snapshot. */
const SNAPSHOT_KEEP_ALIVE_MS = 10_000

/**
 * A link on which an answer takes longer is closed: it may be dead without a reset. Allows
 * for boxes that wait for a processor.
 */
const SNAPSHOT_SILENCE_MS = 2_000

/** One end of a link between boxes. */
class BoxLink<Out extends BoxMessage, In extends BoxMessage> {
  heardAt = clockNow()
  /** Whether the peer reads deflated messages. */
  deflates = false
  /**
   * Whether the peer has not received the full state yet. A ping that arrives before it
   * would make the peer's older state appear new.
   */
  awaitsState = false
  private ended_ = false

  constructor(
    readonly socket_: WebSocket,
    private readonly parse_: (value: unknown) => In | undefined,
    private readonly handle_: (message: In) => void,
    private readonly onEnd_: () => void
  ) {
    socket_.binaryType = "nodebuffer"
    socket_.on("message", data => this.receive(data as Buffer))
    socket_.on("close", () => this.close())
    socket_.on("error", () => this.close())
  }

  send(message: Out): void {
    this.sendPacked(this.deflates ? packDeflated(message) : packPlain(message))
  }

  sendShared(message: SharedMessage): void {
    this.sendPacked(message.pack(this.deflates))
  }

  private sendPacked(packed: Uint8Array): void {
    if (this.ended_ || this.socket_.readyState !== WebSocket.OPEN) return
    if (this.socket_.bufferedAmount > MAX_BUFFERED_BYTES) return this.close()
    this.socket_.send(packed)
  }

  /**
   * Closes the link if it has been silent for longer than `ms`, once the event loop has read
   * what arrived meanwhile.
   */
  closeIfSilent(ms: number): void {
    const {heardAt} = this
    if (clockNow() - heardAt <= ms) return
    setImmediate(() => {
      if (this.heardAt === heardAt) this.close()
    })
  }

  close(): void {
    if (this.ended_) return
    this.ended_ = true
    this.socket_.terminate()
    this.onEnd_()
  }

  private receive(data: Buffer): void {
    if (this.ended_) return
    this.heardAt = clockNow()
    const message = this.unpack(data)
    if (message === undefined) return this.close()
    this.handle_(message)
  }

  private unpack(data: Buffer): In | undefined {
    try {
      return this.parse_(unpack(data, MAX_MESSAGE_BYTES))
    } catch {
      return undefined
    }
  }
}

/** The leader's end of the link to one box. */
type Follower = BoxLink<FromLeader, ToLeader>

export interface HubEvents {
  /** Whether this box is the leader and accepts followers. */
  readonly acceptsFollowers: () => boolean
  /**
   * Handles a snapshot request of a box without a leader. Undefined if there is no
   * snapshot.
   */
  readonly readSnapshot: (ask: StoreSnapshotRequest) => Promise<FromLeader | undefined>
  /** Called when a box has linked. It gets no broadcasts until `LinkHub.sendState`. */
  readonly up: (box: string, configVersion: number) => void
  readonly down: (box: string) => void
  readonly message: (box: string, message: ToLeader) => void
  /** Handles requests of other boxes that are no links. */
  readonly request: RequestListener
}

/**
 * The leader's end of the links to all boxes. A box that is not the leader refuses links,
 * but answers requests for store snapshots.
 */
export class LinkHub {
  private readonly http_: Server
  private readonly server_: WebSocketServer
  private readonly followers_ = new Map<string, Follower>()
  /** Start time of each box's process, by the clock of this box. */
  private readonly startedAt_ = new Map<string, number>()
  /** Processor capacity of each box, in cores. */
  private readonly capacities_ = new Map<string, number>()
  /** The address at which each box accepts links. */
  private readonly addresses_ = new Map<string, string>()
  private readonly sockets_ = new Map<string, Socket>()

  constructor(
    address: string,
    private readonly events_: HubEvents,
    listening: () => void,
    failed: (cause: Error) => void
  ) {
    const {host, port} = splitAddress(address)
    this.http_ = createServer({maxHeaderSize: MAX_HEADER_BYTES}, events_.request)
    this.http_.keepAliveTimeout = REQUEST_KEEP_ALIVE_MS
    this.server_ = new WebSocketServer({
      server: this.http_,
      maxPayload: MAX_MESSAGE_BYTES,
      perMessageDeflate: false
    })
    this.server_.on("connection", (link, {socket}) => this.accept(link, socket))
    this.server_.on("listening", listening)
    this.server_.on("error", failed)
    this.http_.listen({host, port})
  }

  get size(): number {
    return this.followers_.size
  }

  /** Median age of the boxes' processes, milliseconds. 0 if there are no boxes. */
  medianAgeMs(now: number): number {
    const starts = [...this.startedAt_.values()].sort((a, b) => a - b)
    const median = starts[starts.length >> 1]
    return median === undefined ? 0 : Math.round(now - median)
  }

  /** The highest processor capacity of all linked boxes, in cores. */
  get topCapacity(): number {
    return Math.max(0, ...this.capacities_.values())
  }

  /**
   * Sends a message to all boxes that have the full state. It is packed at most once plain
   * and once deflated.
   */
  broadcast(message: FromLeader): void {
    const shared = new SharedMessage(message)
    for (const follower of this.followers_.values()) {
      if (!follower.awaitsState) follower.sendShared(shared)
    }
  }

  /** Sends a box the messages of the full state, in one write. */
  sendState(box: string, messages: readonly SharedMessage[]): void {
    const follower = this.followers_.get(box)
    if (!follower) return
    const socket = this.sockets_.get(box)
    follower.awaitsState = false
    socket?.cork()
    for (const message of messages) follower.sendShared(message)
    socket?.uncork()
  }

  send(box: string, message: FromLeader): void {
    this.followers_.get(box)?.send(message)
  }

  /** Returns at most `count` boxes, chosen at random. */
  drawBoxes(count: number): string[] {
    const boxes = [...this.followers_.keys()]
    const first = Math.floor(Math.random() * boxes.length)
    return [...boxes.slice(first), ...boxes.slice(0, first)].slice(0, count)
  }

  /** Returns the link addresses of at most `count` boxes, chosen at random. */
  drawAddresses(count: number): string[] {
    return this.drawBoxes(count).flatMap(box => this.addresses_.get(box) ?? [])
  }

  /** Closes links that have been silent for longer than `silenceMs`. */
  closeSilent(silenceMs: number): void {
    for (const follower of this.followers_.values()) follower.closeIfSilent(silenceMs)
  }

  closeLinks(): void {
    for (const follower of this.followers_.values()) follower.close()
  }

  close(): void {
    this.closeLinks()
    for (const socket of this.server_.clients) socket.terminate()
    this.server_.close()
    this.http_.close()
    this.http_.closeAllConnections()
  }

  private accept(link: WebSocket, socket: Socket): void {
    let box: string | undefined
    let closeTimer = startAnswerTimer(HELLO_TIMEOUT_MS, () => follower.close())
    const handle = (message: ToLeader): void => {
      if (message.t === "ask-news") {
        if (message.keepsLink === true && box === undefined) {
          closeTimer.clear()
          closeTimer = startAnswerTimer(REQUEST_KEEP_ALIVE_MS, () => follower.close())
        }
        return void this.answer(follower, message)
      }
      if (message.t === "hello") {
        if (!this.events_.acceptsFollowers()) return follower.close()
        closeTimer.clear()
        box = message.incarnation
        return this.join(follower, socket, message)
      }
      if (box !== undefined) this.events_.message(box, message)
    }
    const follower: Follower = new BoxLink(link, parseToLeader, handle, () => {
      closeTimer.clear()
      if (box === undefined || this.followers_.get(box) !== follower) return
      this.followers_.delete(box)
      this.startedAt_.delete(box)
      this.capacities_.delete(box)
      this.addresses_.delete(box)
      this.sockets_.delete(box)
      this.events_.down(box)
    })
  }

  private join(
    follower: Follower,
    socket: Socket,
    hello: Extract<ToLeader, {t: "hello"}>
  ): void {
    const {incarnation: box, ageMs, address, configVersion} = hello
    this.followers_.get(box)?.close()
    follower.deflates = hello.deflates === true
    follower.awaitsState = true
    this.followers_.set(box, follower)
    this.startedAt_.set(box, clockNow() - ageMs)
    this.capacities_.set(box, hello.capacity ?? 0)
    this.addresses_.set(box, address)
    this.sockets_.set(box, socket)
    this.events_.up(box, configVersion)
  }

  private async answer(follower: Follower, request: StoreSnapshotRequest): Promise<void> {
    const snapshot = await this.events_.readSnapshot(request)
    if (snapshot) follower.send(snapshot)
    else if (request.keepsLink === true) follower.send({t: "no-news"})
    else follower.close()
  }
}

/** Opens a link. `connected` is called once the peer's system accepted the connection. */
function openSocket(address: string, connected: () => void = () => undefined): WebSocket {
  return new WebSocket(`ws://${address}`, {
    perMessageDeflate: false,
    maxPayload: MAX_MESSAGE_BYTES,
    createConnection: () => connect(splitAddress(address), connected),
    finishRequest: call => {
      limitInformational(call)
      call.end()
    }
  })
}

/**
 * Accepts a message without validation. The addresses of these peers come from the
 * leader's key in the store or from a leader, so the peers are trusted.
 */
function acceptUnchecked(value: unknown): FromLeader {
  return value as FromLeader
}

export interface LeaderLinkEvents {
  readonly message: (message: FromLeader) => void
  readonly down: () => void
}

/** A box's end of the link to its leader. */
export class LeaderLink {
  /** When `hello` was sent. Infinity while the connection is not up yet. */
  greetedAt = Infinity
  private readonly link_: BoxLink<ToLeader, FromLeader>
  private timer_: Timer

  /** `answerMs` limits the time from a connection to the leader's first message. */
  constructor(
    readonly address: string,
    hello: ToLeader,
    answerMs: number,
    events: LeaderLinkEvents
  ) {
    const socket = openSocket(address, () => {
      this.timer_.clear()
      this.timer_ = startAnswerTimer(answerMs, () => this.link_.close())
    })
    const handle = (message: FromLeader): void => {
      this.timer_.clear()
      events.message(message)
    }
    this.link_ = new BoxLink(socket, acceptUnchecked, handle, () => {
      this.timer_.clear()
      events.down()
    })
    // Limits the time to connect; TCP itself would try for minutes.
    this.timer_ = startAnswerTimer(CONNECT_TIMEOUT_MS, () => this.link_.close())
    socket.once("open", () => {
      this.greetedAt = clockNow()
      this.link_.heardAt = this.greetedAt
      this.link_.send(hello)
    })
  }

  /** Closes the link if the leader has been silent on it for longer than `ms`. */
  closeIfSilent(ms: number): void {
    this.link_.closeIfSilent(ms)
  }

  send(message: ToLeader): void {
    this.link_.send(message)
  }

  close(): void {
    this.link_.close()
  }
}

/**
 * A link on which a box requests store snapshots from another box, which need not be the
 * leader. Boxes of earlier versions close it after some answers.
 */
export class SnapshotLink {
  private readonly socket_: WebSocket
  private readonly link_: BoxLink<ToLeader, FromLeader>
  private handleAnswer_: ((answer: StoreSnapshot | undefined) => void) | undefined
  private timer_: Timer | undefined

  /** `down` is called once when the link is closed, by either end. */
  constructor(
    readonly address: string,
    down: () => void
  ) {
    this.socket_ = openSocket(address)
    const handle = (message: FromLeader): void => {
      if (message.t === "news") this.settle(message)
      else if (message.t === "no-news") this.settle(undefined)
      else this.close()
    }
    this.link_ = new BoxLink(this.socket_, acceptUnchecked, handle, () => {
      down()
      this.settle(undefined)
      this.timer_?.clear()
    })
  }

  /** Whether a request has no answer yet. There is one request at a time. */
  get isAsked(): boolean {
    return this.handleAnswer_ !== undefined
  }

  /** Returns the answer. Undefined if the box has no snapshot or the link is closed. */
  request(ask: StoreSnapshotRequest): Promise<StoreSnapshot | undefined> {
    this.closeAfter(SNAPSHOT_SILENCE_MS)
    const send = (): void => this.link_.send({...ask, keepsLink: true})
    if (this.socket_.readyState === WebSocket.CONNECTING) this.socket_.once("open", send)
    else send()
    return new Promise(resolve => (this.handleAnswer_ = resolve))
  }

  close(): void {
    this.link_.close()
  }

  private settle(answer: StoreSnapshot | undefined): void {
    this.closeAfter(SNAPSHOT_KEEP_ALIVE_MS)
    this.handleAnswer_?.(answer)
    this.handleAnswer_ = undefined
  }

  private closeAfter(ms: number): void {
    this.timer_?.clear()
    this.timer_ = startAnswerTimer(ms, () => this.close())
  }
}
