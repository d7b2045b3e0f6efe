/** Links between own processes: `ws` carrying `msgpackr`, with heartbeats and bounded queues. */
import {Packr} from "msgpackr"
import {WebSocket, WebSocketServer} from "ws"
import type {Hello, PeerMessage} from "../types/messages.js"
import {PROTOCOL_VERSION} from "../types/messages.js"
import {clockNow} from "./clock.js"

/** Bytes that may wait for a slow peer; past that it is cut off and has to start anew. */
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
  /** What this process says of itself; asked anew for each link. */
  readonly hello: () => Hello
  readonly heartbeatMs: number
  /** A link from which nothing came for so long is dead. */
  readonly silenceMs: number
  readonly events: LinkEvents
}

const packr = new Packr({structuredClone: false})

/** One end of a link. `up` is told after the other end has introduced itself. */
export class PeerLink {
  private peer_: Hello | undefined
  private lastHeard_ = clockNow()
  private ended_ = false
  private readonly timer_: NodeJS.Timeout

  constructor(
    private readonly socket_: WebSocket,
    private readonly options_: LinkOptions,
    private readonly adopt_: (peer: Hello, link: PeerLink) => void
  ) {
    socket_.binaryType = "nodebuffer"
    socket_.on("message", data => this.receive(data as Buffer))
    socket_.on("close", () => this.end())
    socket_.on("error", () => this.close())
    this.timer_ = setInterval(() => this.beat(), options_.heartbeatMs)
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

  /** Cuts the link at once; what was not sent is lost. */
  close(): void {
    this.socket_.terminate()
    this.end()
  }

  private beat(): void {
    if (clockNow() - this.lastHeard_ > this.options_.silenceMs) return this.close()
    this.send({t: "ping", generation: this.options_.hello().generation})
  }

  private receive(data: Buffer): void {
    // What was still in a buffer of a link given up must not mix with its successor's.
    if (this.ended_) return
    this.lastHeard_ = clockNow()
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
      this.options_.events.refused(`protocol of the peer is not ${PROTOCOL_VERSION}`)
      return this.close()
    }
    this.peer_ = message
    this.adopt_(message, this)
    this.options_.events.up(message, this)
  }

  private end(): void {
    if (this.ended_) return
    this.ended_ = true
    clearInterval(this.timer_)
    if (this.peer_) this.options_.events.down(this.peer_.incarnation)
  }
}

/** Links by the other end's incarnation; a second link of one peer ends the first. */
class LinkTable {
  private readonly links_ = new Map<string, PeerLink>()

  readonly adopt = (peer: Hello, link: PeerLink): void => {
    this.links_.get(peer.incarnation)?.close()
    this.links_.set(peer.incarnation, link)
  }

  /** Whether the link is the peer's present one. */
  send(to: string, message: PeerMessage): void {
    this.links_.get(to)?.send(message)
  }

  forget(incarnation: string): void {
    this.links_.delete(incarnation)
  }

  each(visit: (link: PeerLink) => void): void {
    for (const link of [...this.links_.values()]) visit(link)
  }
}

/** The listening side. */
export class PeerServer {
  private readonly table_ = new LinkTable()
  private readonly server_: WebSocketServer

  constructor(host: string, port: number, options: LinkOptions, onListening: () => void) {
    const wrapped = forgetOnDown(options, this.table_)
    this.server_ = new WebSocketServer(
      {host, port, maxPayload: MAX_MESSAGE_BYTES},
      onListening
    )
    this.server_.on(
      "connection",
      socket => new PeerLink(socket, wrapped, this.table_.adopt)
    )
  }

  send(to: string, message: PeerMessage): void {
    this.table_.send(to, message)
  }

  broadcast(message: PeerMessage): void {
    this.table_.each(link => link.send(message))
  }

  close(): void {
    this.table_.each(link => link.close())
    this.server_.close()
  }
}

/** The dialling side: keeps one link to each wanted address. */
export class PeerClient {
  private readonly table_ = new LinkTable()
  private readonly dialled_ = new Map<string, PeerLink | undefined>()
  private readonly options_: LinkOptions
  private closed_ = false

  constructor(options: LinkOptions) {
    this.options_ = forgetOnDown(options, this.table_)
  }

  /** Links to just these addresses from now on. */
  want(addresses: ReadonlySet<string>): void {
    for (const [address, link] of [...this.dialled_]) {
      if (addresses.has(address)) continue
      this.dialled_.delete(address)
      link?.close()
    }
    for (const address of addresses) if (!this.dialled_.has(address)) this.dial(address)
  }

  send(to: string, message: PeerMessage): void {
    this.table_.send(to, message)
  }

  broadcast(message: PeerMessage): void {
    this.table_.each(link => link.send(message))
  }

  /** Drops all links; they are dialled again. */
  reset(): void {
    this.table_.each(link => link.close())
  }

  close(): void {
    this.closed_ = true
    for (const link of this.dialled_.values()) link?.close()
  }

  private dial(address: string): void {
    const socket = new WebSocket(`ws://${address}`, {
      handshakeTimeout: this.options_.silenceMs,
      maxPayload: MAX_MESSAGE_BYTES
    })
    const link = new PeerLink(socket, this.options_, this.table_.adopt)
    this.dialled_.set(address, link)
    socket.on("close", () => {
      if (this.closed_ || this.dialled_.get(address) !== link) return
      setTimeout(() => {
        if (!this.closed_ && this.dialled_.get(address) === link) this.dial(address)
      }, RECONNECT_MS)
    })
  }
}

function forgetOnDown(options: LinkOptions, table: LinkTable): LinkOptions {
  const down = (incarnation: string): void => {
    table.forget(incarnation)
    options.events.down(incarnation)
  }
  return {...options, events: {...options.events, down}}
}
