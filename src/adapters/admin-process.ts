/** The process of the administration API, the only one that changes the configuration. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse
} from "node:http"
import {Agent, request as httpRequest} from "undici"
import {SedgeError, toProblem} from "../errors.js"
import type {ProcessRecord} from "../core/ownership.js"
import type {AdapterVersion} from "../types/config.js"
import type {ProposedRecord} from "../types/records.js"
import {splitAddress} from "../utils/address.js"
import {
  type AdminServices,
  authenticateOperator,
  type ProcessStatus,
  routeAdmin
} from "./admin-routes.js"
import {compactLog} from "./config-compact.js"
import {ConfigSync} from "./config-sync.js"
import {ChangeConflict, ChangeUnknown, ConfigWriter} from "./config-writer.js"
import {sendProblem} from "./exchange.js"
import {startOpsServer} from "./ops-server.js"
import {PlatformMirror, type PlatformView} from "./platform-mirror.js"
import type {ProcessContext, RunningProcess} from "./process.js"
import {connectWeightStore} from "./weight-store.js"

const MAX_BODY_BYTES = 4 << 20
const POLL_TIMEOUT_MS = 1_500
const COMPACT_INTERVAL_MS = 30_000

/** Starts the administration API; resolves when it listens. */
export async function startAdmin(context: ProcessContext): Promise<RunningProcess> {
  const admin = new AdminProcess(context)
  await admin.listen()
  return admin
}

class AdminProcess implements RunningProcess {
  readonly ended: Promise<void>
  private readonly settings_
  private readonly sync_: ConfigSync
  private readonly mirror_: PlatformMirror
  private readonly services_: AdminServices
  private readonly agent_ = new Agent({connections: 4})
  private readonly server_: Server
  private view_: PlatformView | undefined
  private compactTimer_: NodeJS.Timeout | undefined
  private finish_: () => void = () => undefined

  constructor(private readonly context_: ProcessContext) {
    const {settings, kv, log} = context_
    if (!settings.admin)
      throw new SedgeError(
        "bad-request",
        "settings.admin is missing: no admin settings for this box"
      )
    this.settings_ = settings.admin
    this.ended = new Promise(resolve => (this.finish_ = resolve))
    const {prefix} = settings.kv
    this.sync_ = new ConfigSync(kv, prefix, log, () => undefined)
    this.mirror_ = new PlatformMirror(kv, prefix, log, view => {
      this.view_ = view
      this.sync_.want(view.generation)
    })
    this.services_ = {
      sync: this.sync_,
      writer: new ConfigWriter(kv, prefix, this.sync_, log),
      cellSize: this.settings_.cellSize,
      pollProcesses: () => this.pollProcesses(),
      checkWeights: records => this.checkWeights(records)
    }
    this.server_ = createServer((req, res) => void this.handleRequest(req, res))
  }

  async listen(): Promise<void> {
    const {incarnation, metrics, log, kv, settings} = this.context_
    await startOpsServer({
      ...splitAddress(this.settings_.ops),
      incarnation,
      metrics,
      isReady: () => true,
      describe: () => ({generation: this.sync_.config.generation})
    })
    this.sync_.start()
    void this.mirror_.run()
    this.compactTimer_ = setInterval(() => {
      void compactLog(kv, settings.kv.prefix, this.sync_).catch(() => undefined)
    }, COMPACT_INTERVAL_MS)
    const {host, port} = splitAddress(this.settings_.listen)
    await new Promise<void>((resolve, reject) => {
      this.server_.once("error", reject)
      this.server_.listen(port, host, resolve)
    })
    log("started", {listen: this.settings_.listen})
  }

  stop = (): void => {
    this.context_.log("stopping")
    clearInterval(this.compactTimer_)
    this.mirror_.stop()
    this.sync_.stop()
    this.server_.close(() => {
      this.context_.log("stopped")
      this.finish_()
    })
    this.server_.closeIdleConnections()
  }

  private async handleRequest(req: IncomingMessage, res: ServerResponse): Promise<void> {
    try {
      const {bootstrapKeyHash} = this.settings_
      // Right after its start, a process may not have read the operators' keys yet.
      if (this.sync_.config.generation === 0)
        await this.sync_.read().catch(() => undefined)
      const operator = authenticateOperator(req, this.sync_.config, bootstrapKeyHash)
      const call = {
        method: req.method ?? "GET",
        url: new URL(req.url ?? "/", "http://admin"),
        operator,
        body: await readJson(req)
      }
      sendJson(res, 200, await routeAdmin(call, this.services_))
    } catch (cause) {
      this.sendError(res, cause)
    }
  }

  private sendError(res: ServerResponse, cause: unknown): void {
    if (cause instanceof ChangeConflict) {
      const problem = {...toProblem(cause), conflicts: cause.conflicts}
      return sendJson(res, problem.status, problem)
    }
    if (cause instanceof ChangeUnknown) {
      const problem = {...toProblem(cause), operation: cause.operation}
      return sendJson(res, problem.status, problem)
    }
    if (cause instanceof SedgeError) return sendProblem(res, cause)
    this.context_.log("crashed", {reason: (cause as Error).message})
    sendProblem(res, new SedgeError("unavailable", (cause as Error).message))
  }

  private async checkWeights(
    records: readonly ProposedRecord[]
  ): Promise<readonly string[]> {
    const {weightStore} = this.context_.settings.platform
    if (weightStore === undefined) return []
    const store = connectWeightStore(weightStore)
    const missing: string[] = []
    for (const [index, {kind, value}] of records.entries()) {
      const weights =
        kind === "version" && (value as Partial<AdapterVersion> | undefined)?.weights
      if (typeof weights !== "string") continue
      if (!(await store.exists(weights))) missing.push(`/records/${index}/value/weights`)
    }
    return missing
  }

  private async pollProcesses(): Promise<readonly ProcessStatus[]> {
    const {keepers = new Map(), entries = new Map()} = this.view_ ?? {}
    const polls: Promise<ProcessStatus>[] = []
    for (const [name, record] of keepers)
      polls.push(this.pollProcess(name, "keeper", record))
    for (const [name, record] of entries)
      polls.push(this.pollProcess(name, "entry", record))
    return Promise.all(polls)
  }

  private async pollProcess(
    process: string,
    role: string,
    {ops, dataCentre}: ProcessRecord
  ): Promise<ProcessStatus> {
    try {
      const answer = await httpRequest(`http://${ops}/state`, {
        dispatcher: this.agent_,
        signal: AbortSignal.timeout(POLL_TIMEOUT_MS)
      })
      const state = (await answer.body.json()) as ProcessState
      return {
        process,
        role,
        dataCentre,
        generation: state.generation,
        versionsInUse: findVersionsInUse(state)
      }
    } catch {
      return {process, role, dataCentre, versionsInUse: []}
    }
  }
}

/** The part of a process's `/state` answer that is used here. */
interface ProcessState {
  readonly generation: number
  readonly cells?: readonly {readonly engines: readonly {readonly models: object}[]}[]
}

function findVersionsInUse({cells = []}: ProcessState): string[] {
  const models = cells.flatMap(cell =>
    cell.engines.flatMap(engine => Object.keys(engine.models))
  )
  return models.map(model => model.slice(model.indexOf("/") + 1))
}

async function readJson(req: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of req) {
    size += (chunk as Buffer).length
    if (size > MAX_BODY_BYTES) throw new SedgeError("body-too-large")
    chunks.push(chunk as Buffer)
  }
  if (size === 0) return undefined
  try {
    return JSON.parse(Buffer.concat(chunks).toString())
  } catch (cause) {
    throw new SedgeError("bad-json", (cause as Error).message)
  }
}

function sendJson(res: ServerResponse, status: number, body: object): void {
  res.writeHead(status, {
    "content-type": status < 400 ? "application/json" : "application/problem+json"
  })
  res.end(JSON.stringify(body))
}
