/** WebSocket links between processes, with heartbeats and bounded send buffers. */
import {Packr} from "msgpackr"
import {WebSocket, WebSocketServer} from "ws"
import type {Hello, PeerMessage} from "../types/messages.js"
import {PROTOCOL_VERSION} from "../types/messages.js"
import {clockNow} from "./clock.js"

/** Limits the bytes buffered for a slow peer. Above it, the link is closed. */
const MAX_BUFFERED_BYTES = 4 << 20
const MAX_MESSAGE_BYTES = 16 << 20
const RECONNECT_MS = 200

export interface LinkEvents {
  readonly up: (hello: Hello, link: PeerLink) => void
  readonly down: (incarnation: string) => void
  readonly message: (from: string, message: PeerMessage, link: PeerLink) => void
  readonly refused: (reason: string) => void
}

export interface LinkOptions {
  /** Returns this process's current hello, for new links and heartbeats. */
  readonly hello: () => Hello
  readonly heartbeatMs: number
  /** A link is closed after this time without a message. */
  readonly silenceMs: number
  readonly events: LinkEvents
}

const packr = new Packr({structuredClone: false})

/** One end of a link. `up` is called when the hello of the other end has arrived. */
export class PeerLink {
  private peer_: Hello | undefined
  private lastReceivedAt_ = clockNow()
  private isEnded_ = false
  private readonly timer_: NodeJS.Timeout

  constructor(
    private readonly socket_: WebSocket,
    private readonly options_: LinkOptions,
    private readonly onHello_: (peer: Hello, link: PeerLink) => void
  ) {
    socket_.binaryType = "nodebuffer"
    socket_.on("message", data => this.receive(data as Buffer))
    socket_.on("close", () => this.end())
    socket_.on("error", () => this.close())
    this.timer_ = setInterval(() => this.sendHeartbeat(), options_.heartbeatMs)
    if (socket_.readyState === WebSocket.OPEN) this.send(options_.hello())
    else socket_.once("open", () => this.send(options_.hello()))
  }

  get peer(): Hello | undefined {
    return this.peer_
  }

  send(message: PeerMessage): void {
    if (this.socket_.readyState !== WebSocket.OPEN) return
    if (this.socket_.bufferedAmount > MAX_BUFFERED_BYTES) return this.close()
    this.socket_.send(packr.pack(message))
  }

  /** Closes the link at once. Unsent messages are lost. */
  close(): void {
    this.socket_.terminate()
    this.end()
  }

  private sendHeartbeat(): void {
    if (clockNow() - this.lastReceivedAt_ > this.options_.silenceMs) return this.close()
    this.send({t: "ping", generation: this.options_.hello().generation})
  }

  private receive(data: Buffer): void {
    // Buffered messages of a closed link must not mix with those of its successor.
    if (this.isEnded_) return
    this.lastReceivedAt_ = clockNow()
    let message: PeerMessage
    try {
      message = packr.unpack(data) as PeerMessage
    } catch {
      return this.close()
    }
    if (this.peer_) {
      this.options_.events.message(this.peer_.incarnation, message, this)
      return
    }
    if (message.t !== "hello" || message.protocol !== PROTOCOL_VERSION) {
      this.options_.events.refused(
        `peer does not use protocol version ${PROTOCOL_VERSION}`
      )
      return this.close()
    }
    this.peer_ = message
    this.onHello_(message, this)
    this.options_.events.up(message, this)
  }

  private end(): void {
    if (this.isEnded_) return
    this.isEnded_ = true
    clearInterval(this.timer_)
    if (this.peer_) this.options_.events.down(this.peer_.incarnation)
  }
}

/** Links by the incarnation of the peer. A new link closes the peer's previous one. */
class LinkTable {
  private readonly links_ = new Map<string, PeerLink>()

  readonly register = (peer: Hello, link: PeerLink): void => {
    this.links_.get(peer.incarnation)?.close()
    this.links_.set(peer.incarnation, link)
  }

  send(to: string, message: PeerMessage): void {
    this.links_.get(to)?.send(message)
  }

  remove(incarnation: string): void {
    this.links_.delete(incarnation)
  }

  forEach(visit: (link: PeerLink) => void): void {
    for (const link of [...this.links_.values()]) visit(link)
  }
}

/** The listening end of links. */
export class PeerServer {
  private readonly table_ = new LinkTable()
  private readonly server_: WebSocketServer

  constructor(host: string, port: number, options: LinkOptions, onListening: () => void) {
    const wrapped = removeOnDown(options, this.table_)
    this.server_ = new WebSocketServer(
      {host, port, maxPayload: MAX_MESSAGE_BYTES},
      onListening
    )
    this.server_.on(
      "connection",
      socket => new PeerLink(socket, wrapped, this.table_.register)
    )
  }

  send(to: string, message: PeerMessage): void {
    this.table_.send(to, message)
  }

  broadcast(message: PeerMessage): void {
    this.table_.forEach(link => link.send(message))
  }

  close(): void {
    this.table_.forEach(link => link.close())
    this.server_.close()
  }
}

/** The connecting end, which keeps one link to each of its addresses. */
export class PeerClient {
  private readonly table_ = new LinkTable()
  private readonly linksByAddress_ = new Map<string, PeerLink | undefined>()
  private readonly options_: LinkOptions
  private isClosed_ = false

  constructor(options: LinkOptions) {
    this.options_ = removeOnDown(options, this.table_)
  }

  /** Replaces the addresses to keep links to. */
  want(addresses: ReadonlySet<string>): void {
    for (const [address, link] of [...this.linksByAddress_]) {
      if (addresses.has(address)) continue
      this.linksByAddress_.delete(address)
      link?.close()
    }
    for (const address of addresses)
      if (!this.linksByAddress_.has(address)) this.connect(address)
  }

  send(to: string, message: PeerMessage): void {
    this.table_.send(to, message)
  }

  broadcast(message: PeerMessage): void {
    this.table_.forEach(link => link.send(message))
  }

  /** Closes all links; they reconnect. */
  reset(): void {
    this.table_.forEach(link => link.close())
  }

  close(): void {
    this.isClosed_ = true
    for (const link of this.linksByAddress_.values()) link?.close()
  }

  private connect(address: string): void {
    const socket = new WebSocket(`ws://${address}`, {
      handshakeTimeout: this.options_.silenceMs,
      maxPayload: MAX_MESSAGE_BYTES
    })
    const link = new PeerLink(socket, this.options_, this.table_.register)
    this.linksByAddress_.set(address, link)
    socket.on("close", () => {
      if (this.isClosed_ || this.linksByAddress_.get(address) !== link) return
      setTimeout(() => {
        if (!this.isClosed_ && this.linksByAddress_.get(address) === link)
          this.connect(address)
      }, RECONNECT_MS)
    })
  }
}

function removeOnDown(options: LinkOptions, table: LinkTable): LinkOptions {
  const down = (incarnation: string): void => {
    table.remove(incarnation)
    options.events.down(incarnation)
  }
  return {...options, events: {...options.events, down}}
}
