/** Requests of clients. */
import {Agent, request} from "node:http"

export const HOST = "clients.example"
let sent = 0

/** Sends a request. Resolves when it has ended; never rejects. */
export function call(
  address,
  path,
  {headers = {}, method = "POST", body, agent, leaveAfterMs} = {}
) {
  const id = headers["x-request-id"] ?? `r-${process.pid}-${++sent}`
  const [host, port] = address.split(":")
  const outcome = {id, status: 0, headers: {}, body: "", isWhole: false}
  return new Promise(resolve => {
    const req = request(
      {
        host,
        port,
        path,
        method,
        agent: agent ?? new Agent({keepAlive: false}),
        headers: {
          host: HOST,
          "x-request-id": id,
          "x-request-deadline": "5000",
          ...headers
        }
      },
      res => {
        outcome.status = res.statusCode
        outcome.headers = res.headers
        res.setEncoding("utf8")
        res.on("data", text => (outcome.body += text))
        res.on("end", () => (outcome.isWhole = res.complete))
        res.on("close", () => resolve(outcome))
        res.on("error", () => undefined)
      }
    )
    req.on("error", error => resolve({...outcome, error: error.code}))
    req.end(body)
    if (leaveAfterMs !== undefined) setTimeout(() => req.destroy(), leaveAfterMs)
  })
}
