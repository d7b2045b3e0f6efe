/** Answers requests to open a tunnel, whose connections Node.js would close. */
import type {IncomingMessage, Server} from "node:http"
import type {Duplex} from "node:stream"

const REFUSAL = [
  "HTTP/1.1 405 Method Not Allowed",
  "allow: DELETE, GET, HEAD, OPTIONS, PATCH, POST, PUT",
  "connection: close",
  "content-length: 0"
]

/** Refuses requests with the method CONNECT. */
export function refuseTunnels(server: Server): void {
  server.on("connect", (_req: IncomingMessage, socket: Duplex) => {
    // Node.js has removed its own listeners.
    socket.on("error", () => undefined)
    socket.end(`${REFUSAL.join("\r\n")}\r\n\r\n`, () => socket.destroy())
  })
}
