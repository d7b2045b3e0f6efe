/**
 * A server that takes up one connection at a time, at intervals, as a process does that has
 * little processor: its event loop accepts one connection in each turn. A connection that
 * its caller has closed meanwhile needs its turn, too.
 */
import {createServer as createHttpServer, type RequestListener} from "node:http"
import {type AddressInfo, createServer, type Socket} from "node:net"

export class SlowAcceptor {
  /** Connections that callers have opened. */
  connections = 0
  private readonly waiting_: Socket[] = []
  private readonly sockets_ = new Set<Socket>()
  private readonly http_
  private readonly server_ = createServer({pauseOnConnect: true}, socket =>
    this.queue(socket)
  )
  private readonly timer_: NodeJS.Timeout

  private constructor(intervalMs: number, handle: RequestListener) {
    this.http_ = createHttpServer(handle)
    this.timer_ = setInterval(() => this.takeNext(), intervalMs)
  }

  static async start(intervalMs: number, handle: RequestListener): Promise<SlowAcceptor> {
    const acceptor = new SlowAcceptor(intervalMs, handle)
    await new Promise<void>(resolve =>
      acceptor.server_.listen(0, "127.0.0.1", () => resolve())
    )
    return acceptor
  }

  get address(): string {
    return `127.0.0.1:${(this.server_.address() as AddressInfo).port}`
  }

  close(): void {
    clearInterval(this.timer_)
    for (const socket of this.sockets_) socket.destroy()
    this.server_.close()
  }

  private queue(socket: Socket): void {
    this.connections++
    this.waiting_.push(socket)
    this.sockets_.add(socket)
    socket.on("error", () => undefined)
    socket.on("close", () => this.sockets_.delete(socket))
  }

  private takeNext(): void {
    const socket = this.waiting_.shift()
    if (!socket || socket.destroyed) return
    this.http_.emit("connection", socket)
    socket.resume()
  }
}
