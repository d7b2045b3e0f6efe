/** The HTTP/1.1 server for callers, with its limits on headers, bodies and time. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse
} from "node:http"
import type {Socket} from "node:net"
import {type ErrorCode, SedgeError, toProblem} from "../errors.js"
import {sendProblem} from "./exchange.js"
import {refuseTunnels} from "./refuse-tunnels.js"

export interface CallerServerOptions {
  readonly maxBodyBytes: number
  readonly headerTimeoutMs: number
  readonly bodyTimeoutMs: number
  /** Handles a request whose body is complete. */
  readonly handle: (req: IncomingMessage, res: ServerResponse, body: Buffer) => void
  /** Called before the body is read; throws to reject the request. */
  readonly check: (req: IncomingMessage) => void
}

const MAX_HEADER_BYTES = 16 << 10
/** How often Node checks for connections past their header or request timeout. */
const TIMEOUT_CHECK_MS = 500

/** Creates the server without listening. */
export function createCallerServer(options: CallerServerOptions): Server {
  const server = createServer(
    {
      headersTimeout: options.headerTimeoutMs,
      requestTimeout: options.headerTimeoutMs + options.bodyTimeoutMs,
      connectionsCheckingInterval: TIMEOUT_CHECK_MS,
      maxHeaderSize: MAX_HEADER_BYTES,
      keepAliveTimeout: 30_000
    },
    (req, res) => void handleRequest(req, res, options)
  )
  server.on("clientError", handleClientError)
  refuseTunnels(server)
  return server
}

async function handleRequest(
  req: IncomingMessage,
  res: ServerResponse,
  options: CallerServerOptions
): Promise<void> {
  try {
    options.check(req)
    const body = await readBody(req, options.maxBodyBytes)
    if (body) options.handle(req, res, body)
  } catch (cause) {
    const error = cause instanceof SedgeError ? cause : new SedgeError("bad-request")
    // The rest of the body is not read, so the connection cannot be reused.
    if (!req.complete) res.setHeader("connection", "close")
    sendProblem(res, error)
  }
}

/** Reads the body. Resolves to undefined if the caller disconnected before its end. */
function readBody(req: IncomingMessage, limit: number): Promise<Buffer | undefined> {
  const contentLength = Number(req.headers["content-length"] ?? 0)
  if (contentLength > limit)
    return Promise.reject(new SedgeError("body-too-large", `over ${limit}`))
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    let size = 0
    req.on("data", (chunk: Buffer) => {
      size += chunk.length
      if (size <= limit) chunks.push(chunk)
      else reject(new SedgeError("body-too-large", `over ${limit}`))
    })
    req.on("end", () => resolve(Buffer.concat(chunks)))
    req.on("error", () => resolve(undefined))
    req.on("close", () => resolve(undefined))
  })
}

/** Answers malformed requests and requests that timed out. */
function handleClientError(error: NodeJS.ErrnoException, socket: Socket): void {
  if (!socket.writable) return void socket.destroy()
  const code: ErrorCode =
    error.code === "ERR_HTTP_REQUEST_TIMEOUT" ? "request-timeout" : "bad-request"
  const problem = toProblem(new SedgeError(code))
  const body = JSON.stringify(problem)
  const lines = [
    `HTTP/1.1 ${problem.status} ${code === "request-timeout" ? "Request Timeout" : "Bad Request"}`,
    "content-type: application/problem+json",
    `content-length: ${Buffer.byteLength(body)}`,
    "connection: close",
    "",
    body
  ]
  socket.end(lines.join("\r\n"))
}
