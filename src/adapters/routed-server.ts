/** HTTP servers of a routed box: for callers, readiness and metrics. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse
} from "node:http"
import type {CallerLimits} from "../types/fleet.js"
import {splitAddress} from "../utils/address.js"
import {refuseTunnels} from "./refuse-tunnels.js"

/** Listens at an address. Rejects if that fails. */
export function listenAt(
  address: string,
  handle: (req: IncomingMessage, res: ServerResponse) => void
): Promise<Server> {
  const {host, port} = splitAddress(address)
  const server = createServer({maxHeaderSize: MAX_HEADER_BYTES}, handle)
  server.requestTimeout = 0
  refuseTunnels(server)
  return new Promise((resolve, reject) => {
    server.once("error", reject)
    server.listen(port, host, BACKLOG, () => resolve(server))
  })
}

const MAX_HEADER_BYTES = 32_768
const BACKLOG = 1_024

/** Applies the configured time limits for callers' connections. */
export function applyCallerLimits(server: Server, limits: CallerLimits): void {
  server.headersTimeout = limits.headerTimeoutMs
  server.keepAliveTimeout = limits.idleTimeoutMs
}

/** Serves one text at one path; other paths are answered with 404. */
export function serveText(
  address: string,
  path: string,
  read: () => {readonly status: number; readonly text: string}
): Promise<Server> {
  return listenAt(address, (req, res) => {
    if ((req.url ?? "").split("?")[0] !== path) {
      res.writeHead(404).end()
      return
    }
    const {status, text} = read()
    res.writeHead(status, {"content-type": "text/plain"}).end(text)
  })
}
