/** Serves metrics, health and identity of a process on a port of its own. */
import {createServer, type Server} from "node:http"
import type {Metrics} from "./metrics.js"

export interface OpsOptions {
  readonly host: string
  readonly port: number
  readonly incarnation: string
  readonly metrics: Metrics
  /** Whether the balancer should send requests to this process. */
  readonly isReady: () => boolean
  /** Returns the state of the process, for operators and tests. */
  readonly describe: () => object
}

/** Starts the server, which runs until the process ends. */
export function startOpsServer(options: OpsOptions): Promise<Server> {
  const server = createServer((req, res) => {
    switch (req.url) {
      case "/metrics":
        res.setHeader("content-type", "text/plain; version=0.0.4")
        return res.end(options.metrics.render())
      case "/healthz":
        return res.end("ok\n")
      case "/readyz":
        res.statusCode = options.isReady() ? 200 : 503
        return res.end(options.isReady() ? "ready\n" : "not ready\n")
      case "/identity":
        res.setHeader("content-type", "application/json")
        return res.end(JSON.stringify({incarnation: options.incarnation}))
      case "/state":
        res.setHeader("content-type", "application/json")
        return res.end(JSON.stringify(options.describe()))
      default:
        res.statusCode = 404
        return res.end()
    }
  })
  return new Promise((resolve, reject) => {
    server.once("error", reject)
    server.listen(options.port, options.host, () => resolve(server))
  })
}
