/**
 * Stand-in for a model engine. It batches continuously in steps, has few adapter slots,
 * and follows the published HTTP conventions of serving engines. Its log is the tests'
 * oracle.
 */
import {request as httpRequest, Agent} from "undici"
import type {ServerResponse} from "node:http"
import {serveStandIn, type StandInRequest} from "./serve.js"

interface Job {
  readonly id: string
  readonly entry: string
  readonly model: string
  /** Undefined while the connection is broken and the stream waits to be resumed. */
  res: ServerResponse | undefined
  readonly stream: boolean
  readonly requestedTokens: number
  /** The prompt, by which the oracle identifies the caller's request. */
  readonly tag: string
  generatedTokens: number
  /** The events streamed so far. Event ids count from 1. */
  readonly events: string[]
}

interface Faults {
  failLoads?: number
  leaving?: boolean
  /** Answers name a different adapter than the requested one. */
  wrongModel?: boolean
  /** Streams are cut after this many tokens. */
  cutAfter?: number
  /** Number of load answers that are lost after the load took effect. */
  loseLoadAnswers?: number
  /** Resume requests are answered with this status, and `x-not-run` if given. */
  refuseResume?: {status: number; notRun?: string}
  /** Number of requests from other senders that the load report adds, though none run. */
  foreign?: number
}

export interface LogLine {
  readonly at: number
  readonly kind: "start" | "end" | "cut" | "load" | "unload" | "refuse" | "restart"
  readonly model: string
  readonly id: string
  readonly tag: string
  /** Requests of the adapter in progress. Must be 0 at an unload. */
  readonly running: number
}

const option = (name: string, fallback: string) => {
  const index = process.argv.indexOf(`--${name}`)
  return index < 0 ? fallback : (process.argv[index + 1] ?? fallback)
}
const slots = Number(option("slots", "4"))
const maxBatch = Number(option("batch", "16"))
const stepMs = Number(option("step-ms", "5"))
const loadMs = Number(option("load-ms", "100"))
const base = option("base", "base-a")
const checksFences = option("fences", "yes") === "yes"
const resumes = option("resumes", "no") === "yes"
const weightStore = option("weights", "")
/** How long a stream continues without a connection, and is kept after its end. */
const LINGER_MS = 1_500
const agent = new Agent({connections: 4})

const MAX_CACHED = 64
const MAX_CACHE_EVENTS = 32
/** Interval at which the reported load is sampled, so the largest lag of a report. */
const LOAD_SAMPLE_MS = 200
const STREAMS_PATH = "/v1/streams/"
const DONE = "data: [DONE]\n\n"
const loaded = new Set<string>()
const loading = new Map<string, Promise<boolean>>()
const jobs = new Set<Job>()
const finishedStreams = new Map<string, Job>()
const cancelFloors = new Map<string, {fence: number; grant: number}>()
const log: LogLine[] = []
const steps = {count: 0, filled: 0}
/** By adapter: generated tokens, and the summed batch fill of their steps. */
const fills = new Map<string, {tokens: number; fill: number}>()
let faults: Faults = {}
let highestFence = 0
/** Cached prefix keys, oldest first, and the latest cache events. */
const cached = new Set<string>()
const cacheEvents: {seq: number; prefix: string; stored: boolean}[] = []
let cacheSeq = 0
let sampledLoad = 0

function recordLog(kind: LogLine["kind"], model: string, {id = "", tag = ""} = {}): void {
  log.push({at: Date.now(), kind, model, id, tag, running: runningOf(model)})
}

function runningOf(model: string): number {
  return [...jobs].filter(job => job.model === model).length
}

function replyNotRun(
  reply: StandInRequest["reply"],
  status: number,
  reason: string
): void {
  reply(status, {error: {message: reason, code: reason}}, {"x-not-run": reason})
}

function isStaleGrant(headers: StandInRequest["req"]["headers"]): boolean {
  if (!checksFences) return false
  const floor = cancelFloors.get(String(headers["x-sedge-entry"]))
  if (!floor) return false
  const fence = Number(headers["x-sedge-fence"] ?? 0)
  const grant = Number(headers["x-sedge-grant"] ?? 0)
  return fence < floor.fence || (fence === floor.fence && grant <= floor.grant)
}

function complete({req, res, body, reply}: StandInRequest): void {
  const {model, prompt, messages, stream, max_tokens} = body as {
    model: string
    prompt?: string
    messages?: {content: string}[]
    stream?: boolean
    max_tokens?: number
  }
  if (faults.leaving) return replyNotRun(reply, 503, "leaving")
  if (isStaleGrant(req.headers)) return replyNotRun(reply, 412, "stale-grant")
  if (!loaded.has(model)) return replyNotRun(reply, 404, "not-loaded")
  const job: Job = {
    id: String(req.headers["x-request-id"] ?? ""),
    entry: String(req.headers["x-sedge-entry"] ?? ""),
    model,
    res,
    stream: stream === true,
    requestedTokens: max_tokens ?? 16,
    tag: prompt ?? messages?.[0]?.content ?? "",
    generatedTokens: 0,
    events: []
  }
  jobs.add(job)
  recordLog("start", model, job)
  cachePrefix(String(req.headers["x-sedge-prefix"] ?? ""))
  attachResponse(job, res)
}

function cachePrefix(prefix: string): void {
  if (cached.has(prefix)) return
  cached.add(prefix)
  for (const oldest of cached.size > MAX_CACHED ? [...cached].slice(0, 1) : []) {
    cached.delete(oldest)
    cacheEvents.push({seq: ++cacheSeq, prefix: oldest, stored: false})
  }
  cacheEvents.push({seq: ++cacheSeq, prefix, stored: true})
  cacheEvents.splice(0, cacheEvents.length - MAX_CACHE_EVENTS)
}

/** Returns the loaded adapters, the sampled load and the requested cache events. */
function listModels({req, reply}: StandInRequest): void {
  const data = [base, ...loaded].map(id => ({
    id,
    object: "model",
    parent: id === base ? null : base
  }))
  const after = Number(
    new URL(req.url ?? "", "http://stand-in").searchParams.get("cache_after")
  )
  const events = cacheEvents.filter(({seq}) => seq > after)
  const cache = {last: cacheSeq, events}
  const load = {running: sampledLoad + (faults.foreign ?? 0), waiting: 0}
  reply(200, {object: "list", data, leaving: faults.leaving === true, load, cache})
}

function attachResponse(job: Job, res: ServerResponse): void {
  job.res = res
  res.on("close", () => {
    if (job.res !== res || !jobs.has(job)) return
    if (!resumes || !job.stream) return cutJob(job)
    job.res = undefined
    setTimeout(() => job.res === undefined && jobs.has(job) && cutJob(job), LINGER_MS)
  })
  if (job.stream) res.writeHead(200, {"content-type": "text/event-stream"})
}

/** Resumes a stream after the event named by the caller. */
function resumeStream({req, res, path, reply}: StandInRequest): void {
  const {refuseResume: refusal} = faults
  if (refusal?.notRun) return replyNotRun(reply, refusal.status, refusal.notRun)
  if (refusal) return reply(refusal.status, {error: {message: "refused"}})
  const id = path.slice(STREAMS_PATH.length)
  const job = [...jobs].find(candidate => candidate.id === id) ?? finishedStreams.get(id)
  if (!resumes || !job) return reply(404, {error: {message: "no such stream"}})
  const last = Number(req.headers["last-event-id"] ?? 0)
  job.res?.destroy()
  attachResponse(job, res)
  res.write(job.events.slice(last).join(""))
  if (finishedStreams.has(id)) res.end(DONE)
}

function cutJob(job: Job): void {
  jobs.delete(job)
  recordLog("cut", job.model, job)
  job.res?.destroy()
}

function answeredModel(job: Job): string {
  return faults.wrongModel ? `${job.model}-other` : job.model
}

function step(): void {
  const batch = [...jobs].slice(0, maxBatch)
  if (batch.length === 0) return
  steps.count++
  steps.filled += batch.length
  for (const job of batch) {
    job.generatedTokens++
    const sums = fills.get(job.model) ?? {tokens: 0, fill: 0}
    sums.tokens++
    sums.fill += batch.length / maxBatch
    fills.set(job.model, sums)
    if (faults.cutAfter !== undefined && job.generatedTokens > faults.cutAfter)
      cutJob(job)
    else if (job.stream) streamToken(job)
    else if (job.generatedTokens >= job.requestedTokens) finishUnstreamed(job)
  }
}

function streamToken(job: Job): void {
  const choice = {
    index: 0,
    text: ` ${job.id}#${job.generatedTokens}`,
    finish_reason: null
  }
  const data = JSON.stringify({model: answeredModel(job), choices: [choice]})
  const event = `id: ${job.generatedTokens}\ndata: ${data}\n\n`
  job.events.push(event)
  job.res?.write(event)
  if (job.generatedTokens < job.requestedTokens) return
  finish(job)
  finishedStreams.set(job.id, job)
  setTimeout(() => finishedStreams.delete(job.id), LINGER_MS)
  job.res?.end(DONE)
}

function finishUnstreamed(job: Job): void {
  finish(job)
  const choices = [{index: 0, text: `${job.id} ${"x ".repeat(job.requestedTokens)}`}]
  job.res?.writeHead(200, {"content-type": "application/json"})
  job.res?.end(
    JSON.stringify({
      model: answeredModel(job),
      choices,
      usage: {completion_tokens: job.requestedTokens}
    })
  )
}

function finish(job: Job): void {
  jobs.delete(job)
  recordLog("end", job.model, job)
}

function refuseStaleFence({req, reply}: StandInRequest): boolean {
  const fence = Number(req.headers["x-sedge-fence"] ?? 0)
  if (checksFences && fence < highestFence) {
    replyNotRun(reply, 412, "stale-fence")
    return true
  }
  highestFence = Math.max(highestFence, fence)
  return false
}

async function load(call: StandInRequest): Promise<void> {
  if (refuseStaleFence(call)) return
  const {lora_name: model, lora_path: path} = call.body as Record<string, string>
  if (!model || !path) return call.reply(400, {error: {message: "bad order"}})
  const isNew = !loaded.has(model) && !loading.has(model)
  if (isNew && loaded.size + loading.size >= slots)
    return replyNotRun(call.reply, 409, "no-slot")
  if (isNew) loading.set(model, fetchWeights(path))
  const ok = loaded.has(model) || ((await loading.get(model)) ?? false)
  loading.delete(model)
  if (!ok) return call.reply(500, {error: {message: "load failed", code: "load-failed"}})
  if (!loaded.has(model)) {
    loaded.add(model)
    recordLog("load", model)
  }
  if (faults.loseLoadAnswers && faults.loseLoadAnswers-- > 0) {
    call.res.destroy()
    return
  }
  call.reply(200, {})
}

async function fetchWeights(path: string): Promise<boolean> {
  if (faults.failLoads && faults.failLoads-- > 0) return false
  await new Promise(done => setTimeout(done, loadMs))
  if (weightStore === "") return true
  const answer = await httpRequest(`${weightStore}/weights/${path}`, {dispatcher: agent})
  await answer.body.dump()
  return answer.statusCode === 200
}

function unload(call: StandInRequest): void {
  if (refuseStaleFence(call)) return
  const {lora_name: model = ""} = call.body as Record<string, string>
  if (!loaded.has(model)) return call.reply(404, {error: {message: "not loaded"}})
  recordLog("unload", model)
  loaded.delete(model)
  call.reply(200, {})
}

/** Ends one request, or all of an entry up to a grant and refuses them from then on. */
function cancel(call: StandInRequest): void {
  const {request_id, entry, grant} = call.body as Record<string, string | number>
  if (entry !== undefined) {
    if (refuseStaleFence(call)) return
    const fence = Number(call.req.headers["x-sedge-fence"] ?? 0)
    cancelFloors.set(String(entry), {fence, grant: Number(grant ?? 0)})
  }
  for (const job of [...jobs]) {
    if (job.id === request_id || (entry !== undefined && job.entry === entry)) cutJob(job)
  }
  call.reply(200, {cancelled: true})
}

function restart(): void {
  for (const job of [...jobs]) cutJob(job)
  finishedStreams.clear()
  cached.clear()
  cacheEvents.length = 0
  cacheSeq = 0
  loaded.clear()
  cancelFloors.clear()
  highestFence = 0
  recordLog("restart", "")
}

async function handle(call: StandInRequest): Promise<unknown> {
  switch (call.path) {
    case "/v1/completions":
    case "/v1/chat/completions":
      return complete(call)
    case "/v1/models":
      return listModels(call)
    case "/v1/load_lora_adapter":
      return load(call)
    case "/v1/unload_lora_adapter":
      return unload(call)
    case "/v1/cancel":
      return cancel(call)
    case "/stand-in/fault":
      faults = call.body as Faults
      return call.reply(200, {})
    case "/stand-in/restart":
      restart()
      return call.reply(200, {})
    case "/stand-in/log":
      return call.reply(200, {
        log,
        steps,
        maxBatch,
        loaded: [...loaded],
        fills: [...fills]
      })
    default:
      if (call.path.startsWith(STREAMS_PATH)) return resumeStream(call)
      return call.reply(404, {error: {message: "no such path"}})
  }
}

setInterval(step, stepMs)
setInterval(() => (sampledLoad = jobs.size), LOAD_SAMPLE_MS)
serveStandIn(handle)
