/** HTTP server with JSON bodies that all stand-ins use. */
import {createServer, type IncomingMessage, type ServerResponse} from "node:http"

export interface StandInRequest {
  readonly method: string
  readonly path: string
  readonly req: IncomingMessage
  readonly res: ServerResponse
  readonly body: unknown
  readonly reply: (status: number, body: object, headers?: Record<string, string>) => void
}

/** Listens on `--port N` (0 means a free port) and prints `listening N`. */
export function serveStandIn(handle: (request: StandInRequest) => unknown): void {
  const port = Number(process.argv[process.argv.indexOf("--port") + 1] ?? 0)
  const server = createServer((req, res) => void receive(req, res, handle))
  server.keepAliveTimeout = 60_000
  server.listen(port, "127.0.0.1", () => {
    const address = server.address()
    if (address !== null && typeof address === "object")
      console.log(`listening ${address.port}`)
  })
}

async function receive(
  req: IncomingMessage,
  res: ServerResponse,
  handle: (request: StandInRequest) => unknown
): Promise<void> {
  const chunks: Buffer[] = []
  try {
    for await (const chunk of req) chunks.push(chunk as Buffer)
  } catch {
    return
  }
  const text = Buffer.concat(chunks).toString()
  const reply: StandInRequest["reply"] = (status, body, headers = {}) => {
    res.writeHead(status, {"content-type": "application/json", ...headers})
    res.end(JSON.stringify(body))
  }
  let body: unknown
  try {
    body = text === "" ? undefined : JSON.parse(text)
  } catch {
    return reply(400, {error: {message: "broken JSON"}})
  }
  const path = new URL(req.url ?? "/", "http://stand-in").pathname
  await handle({method: req.method ?? "GET", path, req, res, body, reply})
}
