/** The answers of an HTTP server that have not been sent to their end. */
import type {IncomingMessage, Server, ServerResponse} from "node:http"
import {Server as SocketServer, type Socket} from "node:net"
import {acceptedBytes} from "./accepted-bytes.js"

interface Connection {
  readonly answers: Set<ServerResponse>
  /**
   * Bytes that had been read from the connection when its last answer ended. Undefined if
   * it has had none.
   */
  readBytes: number | undefined
}

export class OpenAnswers {
  private readonly connections_ = new Map<Socket, Connection>()

  /** `unsent` is called when a connection closes with bytes of an ended answer. */
  constructor(private readonly unsent_: (res: ServerResponse) => void) {}

  /** Answers with bytes that the system has not accepted yet. */
  get count(): number {
    let count = 0
    for (const {answers} of this.connections_.values()) count += answers.size
    return count
  }

  /** Whether an answer has ended with bytes that the system has not accepted yet. */
  get hasUnsent(): boolean {
    return this.list().some(({writableEnded}) => writableEnded)
  }

  /**
   * Bytes that the system has accepted on connections with open answers. Stays the same
   * only while callers read nothing of these answers.
   */
  get acceptedBytes(): number {
    let bytes = 0
    for (const [socket, {answers}] of this.connections_) {
      if (answers.size > 0) bytes += acceptedBytes(socket)
    }
    return bytes
  }

  list(): ServerResponse[] {
    return [...this.connections_.values()].flatMap(({answers}) => [...answers])
  }

  /** Follows the connections of a server and the answers to their requests. */
  watch(server: Server): void {
    server.on("connection", socket => this.addConnection(socket))
    server.on("request", (_req: IncomingMessage, res: ServerResponse) => this.add(res))
  }

  /** Follows one answer. */
  add(res: ServerResponse): void {
    const {socket} = res.req
    const connection = this.connections_.get(socket) ?? this.addConnection(socket)
    connection.answers.add(res)
    let isSent = false
    // Also emitted when the connection is destroyed with bytes of the answer.
    res.once("finish", () => (isSent = !socket.destroyed))
    res.once("close", () => {
      connection.answers.delete(res)
      connection.readBytes = socket.bytesRead
      if (res.writableEnded && !isSent) this.unsent_(res)
    })
  }

  /**
   * Stops accepting connections, and closes those that wait for their next request. The
   * methods of `Server` for this also close connections whose answers are ended, but not yet
   * sent.
   */
  closeIdle(server: Server): void {
    SocketServer.prototype.close.call(server)
    for (const [socket, {answers, readBytes}] of this.connections_) {
      if (answers.size === 0 && socket.bytesRead === readBytes) socket.destroy()
    }
  }

  private addConnection(socket: Socket): Connection {
    const connection = {answers: new Set<ServerResponse>(), readBytes: undefined}
    this.connections_.set(socket, connection)
    socket.once("close", () => this.connections_.delete(socket))
    return connection
  }
}
