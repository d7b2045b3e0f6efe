/** HTTP peers that control how their connections end, which libraries hide. */
import {type AddressInfo, connect, createServer, type Socket} from "node:net"

/** How the other side ended a connection. */
export type ConnectionEnd = "closed" | "reset"

export interface RawAnswer {
  readonly text: string
  readonly end: ConnectionEnd
}

export interface RawServer {
  readonly address: string
  readonly close: () => void
}

/** Serves each connection's first request by calling `answer` with its socket. */
export async function startRawServer(
  answer: (socket: Socket) => void
): Promise<RawServer> {
  const sockets = new Set<Socket>()
  const server = createServer(socket => {
    sockets.add(socket)
    socket.on("error", () => undefined)
    socket.once("data", () => answer(socket))
  })
  await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()))
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    close: () => {
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  }
}

/** Sends a request as bytes and reads until the connection ends. */
export function callRaw(address: string, request: string): Promise<RawAnswer> {
  const [host = "", port] = address.split(":")
  return new Promise(resolve => {
    let text = ""
    const socket = connect(Number(port), host, () => socket.write(request))
    socket.setEncoding("utf8")
    socket.on("data", (part: string) => (text += part))
    socket.on("end", () => resolve({text, end: "closed"}))
    socket.on("error", () => resolve({text, end: "reset"}))
  })
}
