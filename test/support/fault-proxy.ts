/** TCP proxy that closes, blocks (each direction separately) or delays connections. */
import {connect, createServer, type Server, type Socket} from "node:net"
import {answerEndlessly, type EndlessKind} from "./endless-server.js"

export interface ProxyFaults {
  /** Blocks data towards the server. Connections stay open. */
  readonly blockUp?: boolean
  /** Blocks data from the server. Connections stay open. */
  readonly blockDown?: boolean
  /** Closes new connections at once. */
  readonly refuse?: boolean
  readonly delayMs?: number
  /**
   * Cuts the heads of answers to requests with such a first line. Undefined if the head of
   * this one is not cut.
   */
  readonly cutHead?: (requestLine: string) => HeadCut | undefined
}

/** Where the head of an answer stops, and what becomes of its connection. */
export interface HeadCut {
  readonly bytes: number
  readonly how: "end" | "reset" | "stall"
}

const ANSWER_BEGIN = Buffer.from("HTTP/1.")

/** One direction of a connection. */
interface Direction {
  readonly from: Socket
  readonly to: Socket
  /** Data received while the direction was blocked; sent when it is unblocked. */
  readonly buffered: Buffer[]
  readonly isBlocked: () => boolean
  /** Whether a chunk is a request that is answered here. */
  readonly isAnswered?: (chunk: Buffer) => boolean
  /** Where to cut the answer whose first bytes are in a chunk. */
  readonly cutOf?: (chunk: Buffer) => HeadCut | undefined
  /** Discards all data and the end of the stream. The sender doesn't notice. */
  silent: boolean
}

export class FaultProxy {
  /**
   * Requests with such a head are answered without end in place of the server, and don't
   * reach it. Undefined if this one does.
   */
  answersEndlessly: (head: string) => EndlessKind | undefined = () => undefined
  private faults_: ProxyFaults = {}
  private readonly directions_ = new Set<Direction>()

  private constructor(
    private readonly server_: Server,
    readonly port: number,
    private readonly resets_: boolean
  ) {}

  /**
   * Listens on a free port in front of `target`. With `resets`, it passes resets on, and
   * resets the connections that it breaks.
   */
  static start(target: number, {resets = false} = {}): Promise<FaultProxy> {
    return new Promise((resolve, reject) => {
      const server = createServer({noDelay: true})
      server.once("error", reject)
      server.listen(0, "127.0.0.1", () => {
        const address = server.address()
        if (address === null || typeof address === "string")
          return reject(
            new Error("fault proxy has no port: its server has no TCP address")
          )
        const proxy = new FaultProxy(server, address.port, resets)
        server.on("connection", client => proxy.accept(client, target))
        resolve(proxy)
      })
    })
  }

  /** Replaces the active faults. Without an argument, clears them. */
  setFaults(faults: ProxyFaults = {}): void {
    this.faults_ = faults
    for (const direction of this.directions_) this.flush(direction)
  }

  /**
   * Silences the open connections permanently, without an end or a reset. New ones work.
   */
  silence(): void {
    for (const direction of this.directions_) {
      direction.silent = true
      direction.buffered.length = 0
      direction.from.resume()
    }
  }

  /**
   * Closes all open connections except silent ones. Resets them only if the proxy does so
   * at all, as Node.js 20 may spin at exit after a reset.
   */
  cut(): void {
    for (const {from, silent} of [...this.directions_]) if (!silent) this.break(from)
  }

  private break(socket: Socket): void {
    if (this.resets_ && !socket.destroyed) socket.resetAndDestroy()
    else socket.destroy()
  }

  /**
   * Simulates a stopped server: closes the connections and stops listening, so that new
   * ones are refused.
   */
  down(): Promise<void> {
    this.cut()
    return new Promise(resolve => this.server_.close(() => resolve()))
  }

  /** Listens again after `down`. */
  up(): Promise<void> {
    return new Promise(resolve =>
      this.server_.listen(this.port, "127.0.0.1", () => resolve())
    )
  }

  close(): void {
    this.server_.close()
    for (const {from} of [...this.directions_]) from.destroy()
  }

  private accept(client: Socket, target: number): void {
    if (this.faults_.refuse) return void client.destroy()
    const upstream = connect({port: target, host: "127.0.0.1", noDelay: true})
    let requestLine = ""
    client.on("data", (chunk: Buffer) => {
      const [line = ""] = chunk.toString("latin1").split("\r\n", 1)
      if (line.includes(" HTTP/1.")) requestLine = line
    })
    const cutOf = (chunk: Buffer): HeadCut | undefined =>
      chunk.subarray(0, ANSWER_BEGIN.length).equals(ANSWER_BEGIN)
        ? this.faults_.cutHead?.(requestLine)
        : undefined
    this.forward({
      from: client,
      to: upstream,
      buffered: [],
      isBlocked: () => this.faults_.blockUp === true,
      isAnswered: chunk => this.answerEndlessly(client, chunk),
      silent: false
    })
    this.forward({
      from: upstream,
      to: client,
      buffered: [],
      isBlocked: () => this.faults_.blockDown === true,
      cutOf,
      silent: false
    })
  }

  private forward(direction: Direction): void {
    const {from, to, buffered, isBlocked} = direction
    this.directions_.add(direction)
    from.on("data", (chunk: Buffer) => {
      if (direction.silent) return
      if (direction.isAnswered?.(chunk)) return this.dropRest(direction)
      const cut = direction.cutOf?.(chunk)
      if (cut) return this.cutHead(direction, chunk, cut)
      if (!isBlocked()) return this.write(to, chunk)
      buffered.push(chunk)
      from.pause()
    })
    const shouldEnd = (): boolean => !isBlocked() && !direction.silent
    from.on("end", () => {
      if (!shouldEnd()) return
      if (this.resets_ && hasNoPeer(from)) this.break(to)
      else to.end()
    })
    from.on("error", () => !direction.silent && this.break(to))
    from.on("close", () => {
      this.directions_.delete(direction)
      if (shouldEnd()) to.destroy()
    })
  }

  /** Answers a request without end if it is to be. Returns whether it is. */
  private answerEndlessly(client: Socket, chunk: Buffer): boolean {
    const head = chunk.toString("latin1")
    const kind = head.includes(" HTTP/1.") ? this.answersEndlessly(head) : undefined
    if (!kind) return false
    answerEndlessly(client, kind, head)
    return true
  }

  /** Drops what else comes. The other side is closed when the sender closes. */
  private dropRest(direction: Direction): void {
    direction.silent = true
    direction.from.on("close", () => direction.to.destroy())
  }

  private cutHead(direction: Direction, chunk: Buffer, {bytes, how}: HeadCut): void {
    const {from, to} = direction
    const headBytes = chunk.indexOf("\r\n\r\n")
    direction.silent = true
    to.write(chunk.subarray(0, Math.min(bytes, headBytes)), () => {
      if (how === "end") to.end()
      else if (how === "reset") to.resetAndDestroy()
      if (how !== "stall") from.destroy()
    })
  }

  private write(to: Socket, chunk: Buffer): void {
    const {delayMs} = this.faults_
    if (delayMs) setTimeout(() => to.writable && to.write(chunk), delayMs)
    else if (to.writable) to.write(chunk)
  }

  private flush({from, to, buffered, isBlocked, silent}: Direction): void {
    if (isBlocked() || silent) return
    for (const chunk of buffered.splice(0)) this.write(to, chunk)
    if (from.destroyed) to.destroy()
    else from.resume()
  }
}

/**
 * Whether a connection that has ended has no peer. libuv reports a reset that arrives
 * together with bytes as an orderly end, and then the peer's address is gone.
 */
export function hasNoPeer(socket: Socket): boolean {
  return socket.remoteAddress === undefined
}
