/** A TCP proxy that can cut, stall and delay what passes through it, each way for itself. */
import {connect, createServer, type Server, type Socket} from "node:net"

export interface ProxyFaults {
  /** Nothing passes towards the server; connections stay open. */
  readonly blockUp?: boolean
  /** Nothing passes back. */
  readonly blockDown?: boolean
  /** New connections are refused by closing them. */
  readonly refuse?: boolean
  readonly delayMs?: number
}

/** One way of a connection. */
interface Way {
  readonly from: Socket
  readonly to: Socket
  /** What came while the way was blocked, as in the buffers of a cut line. */
  readonly held: Buffer[]
  readonly isBlocked: () => boolean
  /** Nothing passes any more, not even its end; its sender sees no difference. */
  silent: boolean
}

export class FaultProxy {
  private faults_: ProxyFaults = {}
  private readonly ways_ = new Set<Way>()

  private constructor(
    private readonly server_: Server,
    readonly port: number
  ) {}

  /** Listens on a free port in front of `target`. */
  static start(target: number): Promise<FaultProxy> {
    return new Promise((resolve, reject) => {
      const server = createServer({noDelay: true})
      server.once("error", reject)
      server.listen(0, "127.0.0.1", () => {
        const address = server.address()
        if (address === null || typeof address === "string")
          return reject(new Error("no port"))
        const proxy = new FaultProxy(server, address.port)
        server.on("connection", near => proxy.join(near, target))
        resolve(proxy)
      })
    })
  }

  /** Faults from now on; without an argument none. */
  set(faults: ProxyFaults = {}): void {
    this.faults_ = faults
    for (const way of this.ways_) this.release(way)
  }

  /** Open connections go silent for good, without an end or a reset; new ones work. */
  silence(): void {
    for (const way of this.ways_) {
      way.silent = true
      way.held.length = 0
      way.from.resume()
    }
  }

  /** Closes every open connection but the silent ones. No resets: node 20 may spin at its exit after one. */
  cut(): void {
    for (const {from, silent} of [...this.ways_]) if (!silent) from.destroy()
  }

  /** The server behind it is down: new connections are refused, as its own address would. */
  down(): Promise<void> {
    this.cut()
    return new Promise(resolve => this.server_.close(() => resolve()))
  }

  /** The server behind it listens again. */
  up(): Promise<void> {
    return new Promise(resolve =>
      this.server_.listen(this.port, "127.0.0.1", () => resolve())
    )
  }

  close(): void {
    this.server_.close()
    for (const {from} of [...this.ways_]) from.destroy()
  }

  private join(near: Socket, target: number): void {
    if (this.faults_.refuse) return void near.destroy()
    const far = connect({port: target, host: "127.0.0.1", noDelay: true})
    this.pass({
      from: near,
      to: far,
      held: [],
      isBlocked: () => this.faults_.blockUp === true,
      silent: false
    })
    this.pass({
      from: far,
      to: near,
      held: [],
      isBlocked: () => this.faults_.blockDown === true,
      silent: false
    })
  }

  private pass(way: Way): void {
    const {from, to, held, isBlocked} = way
    this.ways_.add(way)
    from.on("data", chunk => {
      if (way.silent) return
      if (!isBlocked()) return this.write(to, chunk)
      held.push(chunk)
      from.pause()
    })
    const ends = (): boolean => !isBlocked() && !way.silent
    from.on("end", () => ends() && to.end())
    from.on("error", () => !way.silent && to.destroy())
    from.on("close", () => {
      this.ways_.delete(way)
      if (ends()) to.destroy()
    })
  }

  private write(to: Socket, chunk: Buffer): void {
    const {delayMs} = this.faults_
    if (delayMs) setTimeout(() => to.writable && to.write(chunk), delayMs)
    else if (to.writable) to.write(chunk)
  }

  private release({from, to, held, isBlocked, silent}: Way): void {
    if (isBlocked() || silent) return
    for (const chunk of held.splice(0)) this.write(to, chunk)
    if (from.destroyed) to.destroy()
    else from.resume()
  }
}
