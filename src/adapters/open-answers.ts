/** The answers of an HTTP server that have not been sent to their end. */
import type {IncomingMessage, Server, ServerResponse} from "node:http"
import {Server as SocketServer, type Socket} from "node:net"

export class OpenAnswers {
  private readonly byConnection_ = new Map<Socket, Set<ServerResponse>>()

  /** `unsent` is called when a connection closes with bytes of an ended answer. */
  constructor(private readonly unsent_: (res: ServerResponse) => void) {}

  /** Answers with bytes that the system has not accepted yet. */
  get count(): number {
    let count = 0
    for (const answers of this.byConnection_.values()) count += answers.size
    return count
  }

  list(): ServerResponse[] {
    return [...this.byConnection_.values()].flatMap(answers => [...answers])
  }

  /** Follows the connections of a server and the answers to their requests. */
  watch(server: Server): void {
    server.on("connection", socket => this.addConnection(socket))
    server.on("request", (_req: IncomingMessage, res: ServerResponse) => this.add(res))
  }

  /** Follows one answer. */
  add(res: ServerResponse): void {
    const {socket} = res.req
    const answers = this.byConnection_.get(socket) ?? this.addConnection(socket)
    answers.add(res)
    let isSent = false
    // Also emitted when the connection is destroyed with bytes of the answer.
    res.once("finish", () => (isSent = !socket.destroyed))
    res.once("close", () => {
      answers.delete(res)
      if (res.writableEnded && !isSent) this.unsent_(res)
    })
  }

  /**
   * Stops accepting connections, and closes those without an open answer. The methods of
   * `Server` for this also close connections whose answers are ended, but not yet sent.
   */
  closeIdle(server: Server): void {
    SocketServer.prototype.close.call(server)
    for (const [socket, answers] of this.byConnection_) {
      if (answers.size === 0) socket.destroy()
    }
  }

  private addConnection(socket: Socket): Set<ServerResponse> {
    const answers = new Set<ServerResponse>()
    this.byConnection_.set(socket, answers)
    socket.once("close", () => this.byConnection_.delete(socket))
    return answers
  }
}
