/** Stand-ins for the box list, the weight store and a plain service, in one process. */
import {serveStandIn, type StandInRequest} from "./serve.js"

const option = (name: string, fallback: number) => {
  const index = process.argv.indexOf(`--${name}`)
  return index < 0 ? fallback : Number(process.argv[index + 1])
}
const maxConcurrentLoads = option("at-once", 2)
const loadsPerSecond = option("per-second", 1000)

let leaving: string[] = []
/** Updates of the box list are delayed, or its queries are refused. */
let listFaults: {lagMs?: number; refusing?: boolean} = {}
let serviceFaults: {loseAnswers?: number; leaving?: boolean; delayMs?: number} = {}
let loadsInProgress = 0
let loadTokens = loadsPerSecond
const serviceLog: {id: string; key: string; at: number}[] = []
const counts = {loads: 0, overBudget: 0}

setInterval(
  () => (loadTokens = Math.min(loadsPerSecond, loadTokens + loadsPerSecond / 20)),
  50
)

async function serveWeights({method, reply}: StandInRequest): Promise<void> {
  if (method === "HEAD") return reply(200, {})
  counts.loads++
  if (loadsInProgress >= maxConcurrentLoads || loadTokens < 1) counts.overBudget++
  // The weight store still serves loads over the budget, but slowly.
  const slowdown = loadsInProgress >= maxConcurrentLoads || loadTokens < 1 ? 5 : 1
  loadTokens = Math.max(0, loadTokens - 1)
  loadsInProgress++
  await new Promise(done => setTimeout(done, 20 * slowdown))
  loadsInProgress--
  reply(200, {})
}

async function serveLookup({req, res, reply}: StandInRequest): Promise<void> {
  if (serviceFaults.leaving) {
    return reply(503, {error: {message: "leaving"}}, {"x-not-run": "leaving"})
  }
  const id = String(req.headers["x-request-id"])
  serviceLog.push({id, key: String(req.headers["x-test-key"] ?? ""), at: Date.now()})
  if (serviceFaults.delayMs)
    await new Promise(done => setTimeout(done, serviceFaults.delayMs))
  if (serviceFaults.loseAnswers && serviceFaults.loseAnswers-- > 0) {
    res.destroy()
    return
  }
  reply(200, {service: true, id})
}

function handle(call: StandInRequest): unknown {
  const {path, body, reply} = call
  if (path.startsWith("/weights/")) return serveWeights(call)
  switch (path) {
    case "/v1/boxes":
      return listFaults.refusing ? reply(503, {}) : reply(200, {leaving})
    case "/stand-in/leaving":
      setTimeout(() => (leaving = body as string[]), listFaults.lagMs ?? 0)
      return reply(200, {})
    case "/stand-in/list-fault":
      listFaults = body as typeof listFaults
      return reply(200, {})
    case "/stand-in/service-fault":
      serviceFaults = body as typeof serviceFaults
      return reply(200, {})
    case "/stand-in/log":
      return reply(200, {serviceLog, counts})
    default:
      return serveLookup(call)
  }
}

serveStandIn(handle)
