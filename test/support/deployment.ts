/* eslint-disable @typescript-eslint/no-explicit-any */
/** Deployment of real processes on stand-ins for the platform, for tests and the demo. */
import {mkdtempSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import {Agent, request} from "undici"
import {sha256} from "../../src/utils/hash.js"
import type {ProposedRecord} from "../../src/types/records.js"
import {Child} from "./child.js"
import {FaultProxy} from "./fault-proxy.js"
import {freePort} from "./ports.js"
import {until} from "./wait.js"

export const OPERATOR_KEY = "operator-key"
export const agent = new Agent({connections: 256, keepAliveTimeout: 1_000})

/** Timing settings for tests, about a fifth of the production values. */
export const TEST_TIMING = {
  leaseTtlMs: 2_000,
  renewMs: 400,
  leaseMarginMs: 500,
  takeoverMarginMs: 700,
  claimStaggerMs: 100,
  heartbeatMs: 200,
  linkSilenceMs: 1_000,
  ownerlessMs: 8_000,
  entryGoneMs: 20_000,
  entrySilentMs: 1_500,
  streamLingerMs: 2_000,
  loadTimeoutMs: 5_000,
  loadBackoffMs: 100,
  holdMs: 2_000,
  requestMaxMs: 20_000
}

export interface EngineOptions {
  readonly base?: string
  readonly slots?: number
  readonly batch?: number
  readonly fences?: boolean
  /** Broken streams can be resumed. */
  readonly resumes?: boolean
  readonly loadMs?: number
  readonly stepMs?: number
}

export interface DeploymentOptions {
  readonly boxes?: number
  readonly engines?: readonly EngineOptions[]
  /**
   * Number of adapters of each base model. They are named `BASE-a0`, `BASE-a1` and so
   * on, have version 1, and are assigned to the organisations in turn.
   */
  readonly adapters?: number
  readonly organisations?: readonly string[]
  readonly timing?: Partial<typeof TEST_TIMING>
  readonly patienceMs?: Partial<Record<"till" | "merchant" | "overnight", number>>
  readonly entry?: Readonly<Record<string, unknown>>
  readonly loadsPerSecond?: number
  readonly loadsAtOnce?: number
  readonly serviceMembers?: number
  /** Connects to engines and keepers without the fault proxy, for measurements. */
  readonly direct?: boolean
  /** Polls and watches at production intervals, for measurements. */
  readonly calm?: boolean
}

export interface Box {
  readonly name: string
  readonly settingsFile: string
  readonly entryAddress: string
  readonly entryOps: string
  readonly keeperOps: string
  readonly adminUrl: string
  /** Proxy between the entries and the keeper. */
  readonly keeperProxy: FaultProxy
  entry: Child
  keeper: Child
  admin: Child
}

export interface StandIn {
  readonly name: string
  readonly url: string
  /** Proxy between the deployment and the stand-in. */
  readonly proxy: FaultProxy
  readonly child: Child
}

export interface Engine extends StandIn {
  readonly base: string
}

const STAND_INS = "test/stand-ins/"

export class Deployment {
  readonly boxes: Box[] = []
  readonly engines: Engine[] = []
  readonly services: StandIn[] = []
  kv!: StandIn
  platform!: StandIn
  readonly organisations: readonly string[]
  readonly models: string[] = []
  private readonly dir_ = mkdtempSync(join(tmpdir(), "sedgeglade-"))

  private constructor(readonly options: DeploymentOptions) {
    this.organisations = options.organisations ?? ["cotejo"]
  }

  /** Starts all processes and waits until they serve requests. */
  static async start(options: DeploymentOptions = {}): Promise<Deployment> {
    const deployment = new Deployment(options)
    try {
      await deployment.boot()
    } catch (cause) {
      await deployment.stop()
      throw cause
    }
    return deployment
  }

  private async boot(): Promise<void> {
    this.kv = await this.standIn("kv", "kv.js", [])
    const perSecond = String(this.options.loadsPerSecond ?? 1000)
    const atOnce = String(this.options.loadsAtOnce ?? 16)
    this.platform = await this.standIn("platform", "platform.js", [
      "--per-second",
      perSecond,
      "--at-once",
      atOnce
    ])
    const engines = this.options.engines ?? [{}]
    for (const [index, engine] of engines.entries()) await this.addEngine(index, engine)
    for (let index = 0; index < (this.options.serviceMembers ?? 0); index++) {
      this.services.push(await this.standIn(`service-${index}`, "platform.js", []))
    }
    for (let index = 0; index < (this.options.boxes ?? 1); index++)
      await this.addBox(index)
    await this.configure()
    await this.ready()
  }

  /** Waits until every entry serves and every cell and register shard has an owner. */
  async ready(): Promise<void> {
    for (const box of this.boxes) await this.entryReady(box)
  }

  async entryReady(box: Box): Promise<void> {
    await until(`${box.name} ready`, async () => {
      const state = await getJson(`http://${box.entryOps}/state`).catch(() => undefined)
      if (!state || state.generation === 0) return undefined
      const owned = new Set(state.links.flatMap((link: any) => link.owned))
      return owned.has("once:0") && owned.has("once:1") && owned.has("cell:cell-1")
    })
  }

  async stop(): Promise<void> {
    const children = [
      ...this.boxes.flatMap(box => [box.entry, box.keeper, box.admin]),
      ...[this.kv, this.platform, ...this.engines, ...this.services].map(
        standIn => standIn?.child
      )
    ]
    for (const child of children) child?.signal("SIGCONT")
    await Promise.all(children.map(child => child?.end()))
    const proxies = [
      ...this.boxes.map(box => box.keeperProxy),
      ...[this.kv, this.platform, ...this.engines, ...this.services].map(
        standIn => standIn?.proxy
      )
    ]
    for (const proxy of proxies) proxy?.close()
  }

  // Processes

  private async standIn(
    name: string,
    script: string,
    args: readonly string[]
  ): Promise<StandIn> {
    const port = await freePort()
    const child = new Child(STAND_INS + script, ["--port", String(port), ...args])
    await until(`${name} listens`, () => child.output.includes("listening"))
    const proxy = await FaultProxy.start(port)
    return {name, url: `http://127.0.0.1:${port}`, proxy, child}
  }

  private async addEngine(index: number, options: EngineOptions): Promise<void> {
    const base = options.base ?? "base-a"
    const standIn = await this.standIn(`engine-${index}`, "engine.js", [
      ...["--base", base],
      ...["--slots", String(options.slots ?? 4)],
      ...["--batch", String(options.batch ?? 16)],
      ...["--step-ms", String(options.stepMs ?? 5)],
      ...["--load-ms", String(options.loadMs ?? 30)],
      ...["--fences", options.fences === false ? "no" : "yes"],
      ...["--resumes", options.resumes ? "yes" : "no"],
      ...["--weights", this.platform.url]
    ])
    this.engines.push({...standIn, base})
  }

  /** Adds a box with its three processes. Resolves when all of them listen. */
  async addBox(index: number): Promise<Box> {
    const ports: number[] = []
    for (let count = 0; count < 6; count++) ports.push(await freePort())
    const [entry, entryOps, keeper, keeperOps, admin, adminOps] = ports.map(
      port => `127.0.0.1:${port}`
    )
    const keeperProxy = await FaultProxy.start(ports[2] ?? 0)
    const name = `box-${index}`
    const settings = {
      box: name,
      dataCentre: `sala-${"abc"[index % 3]}`,
      kv: {
        endpoint: `http://127.0.0.1:${this.kv.proxy.port}`,
        timeoutMs: 500,
        watchMs: this.options.calm ? 10_000 : 2_000
      },
      platform: {
        boxList: `http://127.0.0.1:${this.platform.proxy.port}`,
        pollMs: this.options.calm ? 1_000 : 200,
        loadsPerSecond: this.options.loadsPerSecond ?? 1000,
        loadsAtOnce: this.options.loadsAtOnce ?? 16
      },
      entry: {
        listen: entry,
        ops: entryOps,
        drainMs: 300,
        patienceMs: {
          till: 8_000,
          merchant: 8_000,
          overnight: 20_000,
          ...this.options.patienceMs
        },
        ...this.options.entry
      },
      keeper: {
        listen: keeper,
        advertise: this.options.direct ? keeper : `127.0.0.1:${keeperProxy.port}`,
        ops: keeperOps
      },
      admin: {listen: admin, ops: adminOps, bootstrapKeyHash: sha256(OPERATOR_KEY)},
      peers: this.boxes.map(box => `127.0.0.1:${box.keeperProxy.port}`),
      timing: {...TEST_TIMING, ...this.options.timing}
    }
    const settingsFile = join(this.dir_, `${name}.json`)
    writeFileSync(settingsFile, JSON.stringify(settings))
    const box: Box = {
      name,
      settingsFile,
      entryAddress: entry ?? "",
      entryOps: entryOps ?? "",
      keeperOps: keeperOps ?? "",
      adminUrl: `http://${admin}`,
      keeperProxy,
      entry: this.startProcess("entry", settingsFile),
      keeper: this.startProcess("keeper", settingsFile),
      admin: this.startProcess("admin", settingsFile)
    }
    this.boxes.push(box)
    for (const child of [box.entry, box.keeper, box.admin]) {
      await until(`${name} listens`, () => child.output.includes('"event":100'))
    }
    return box
  }

  startProcess(role: "entry" | "keeper" | "admin", settingsFile: string): Child {
    return new Child(`src/bin/sedge-${role}.js`, ["--settings", settingsFile])
  }

  // Configuration

  private async configure(): Promise<void> {
    const bases = [...new Set(this.engines.map(engine => engine.base))]
    const records: ProposedRecord[] = bases.map(id => ({
      kind: "baseModel",
      id,
      value: {}
    }))
    for (const organisation of this.organisations) {
      records.push({
        kind: "organisation",
        id: organisation,
        value: {
          keyHashes: [sha256(keyOf(organisation))],
          classes: ["till", "merchant", "overnight"],
          maxInProgress: 400
        }
      })
    }
    for (const [index, engine] of this.engines.entries()) {
      const options = this.options.engines?.[index] ?? {}
      records.push({
        kind: "backend",
        id: engine.name,
        value: this.engineRecord(engine, options)
      })
    }
    for (const service of this.services) {
      records.push({
        kind: "backend",
        id: service.name,
        value: {
          kind: "plain-service",
          service: "lookup",
          address: `127.0.0.1:${service.proxy.port}`,
          dataCentre: "sala-a",
          maxInProgress: 64
        }
      })
    }
    for (const base of bases) records.push(...this.adapterRecords(base))
    // Each change is atomic and limited in size, so the records are split over several.
    for (let start = 0; start < records.length; start += 500) {
      await this.change(records.slice(start, start + 500))
    }
  }

  private engineRecord(engine: Engine, options: EngineOptions): object {
    return {
      kind: "model-engine",
      baseModel: engine.base,
      address: this.options.direct
        ? engine.url.slice("http://".length)
        : `127.0.0.1:${engine.proxy.port}`,
      dataCentre: "sala-a",
      slots: options.slots ?? 4,
      maxBatch: options.batch ?? 16,
      checksFences: options.fences !== false,
      resumesStreams: options.resumes === true
    }
  }

  private adapterRecords(base: string): ProposedRecord[] {
    const records: ProposedRecord[] = []
    for (let index = 0; index < (this.options.adapters ?? 4); index++) {
      const adapter = `${base}-a${index}`
      const organisation = this.organisations[index % this.organisations.length]
      records.push({kind: "adapter", id: adapter, value: {baseModel: base, organisation}})
      records.push({
        kind: "version",
        id: `${adapter}@1`,
        value: {adapter, version: "1", weights: `${adapter}-1`}
      })
      this.models.push(`${base}/${adapter}@1`)
    }
    return records
  }

  async change(records: readonly ProposedRecord[], box = this.boxes[0]): Promise<any> {
    return this.admin("POST", "/v1/changes", {records}, box)
  }

  async admin(
    method: string,
    path: string,
    body?: unknown,
    box = this.boxes[0]
  ): Promise<any> {
    const response = await request(`${box?.adminUrl}${path}`, {
      method: method as "GET",
      headers: {authorization: `Bearer ${OPERATOR_KEY}`},
      ...(body !== undefined && {body: JSON.stringify(body)}),
      dispatcher: agent
    })
    const value = (await response.body.json()) as any
    if (response.statusCode >= 400) throw Object.assign(new Error(value.title), value)
    return value
  }

  /** Waits for a box whose keeper owns the share, and returns it. */
  async ownerOf(share: string): Promise<Box> {
    return until(`owner of ${share}`, async () => {
      for (const box of this.boxes) {
        if (box.keeper.ended) continue
        const state = await getJson(`http://${box.keeperOps}/state`).catch(
          () => undefined
        )
        if (state && share in state.owned) return box
      }
      return undefined
    })
  }

  /** Returns a box other than the given one. */
  otherThan(box: Box): Box {
    const other = this.boxes.find(candidate => candidate !== box)
    if (!other) throw new Error(`the deployment has no box besides ${box.name}`)
    return other
  }

  /** Returns the organisation that owns a model. */
  organisationOf(model: string): string {
    const index = Number(/-a(\d+)@/.exec(model)?.[1] ?? 0)
    return this.organisations[index % this.organisations.length] ?? ""
  }
}

/** Returns an organisation's API key in tests. */
export function keyOf(organisation: string): string {
  return `key-of-${organisation}`
}

/** Fetches a JSON document. */
export async function getJson(url: string): Promise<any> {
  const response = await request(url, {
    dispatcher: agent,
    signal: AbortSignal.timeout(3_000)
  })
  return response.body.json()
}

/** Sends a command to a stand-in. */
export async function command(
  standIn: StandIn,
  path: string,
  body: unknown = {}
): Promise<void> {
  const response = await request(`${standIn.url}/stand-in/${path}`, {
    method: "POST",
    body: JSON.stringify(body),
    dispatcher: agent
  })
  await response.body.dump()
}
