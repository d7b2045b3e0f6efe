/** A deployment on the stand-in of the users' platform: real boxes as processes, callers in here. */
import {mkdtempSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {dirname, join} from "node:path"
import {Agent, request} from "undici"
import {Judge} from "../stand-ins/platform-judge.js"
import {StandInWorker, type WorkerOptions} from "../stand-ins/platform-worker.js"
import {StandInStore} from "../stand-ins/platform-store.js"
import {Child} from "./child.js"
import {FaultProxy} from "./fault-proxy.js"
import {freePort} from "./ports.js"
import {until} from "./wait.js"

export const MODEL = "base"
const HOST = "callers.example"

/** A key that was taken away is used no later than this, milliseconds. */
export const KEY_MS = 5_000

/** Of the boxes' output, told where a bed does not start. */
const LOGGED_CHARACTERS = 6_000

/** One engine in so many keeps what waits, where some do. */
const KEEPER_EACH = 3

/** What a caller got. */
export interface Outcome {
  readonly id: string
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
  /** The connection broke before the end. */
  readonly broken: boolean
}

export interface BedBox {
  readonly name: string
  readonly settingsFile: string
  readonly callers: string
  readonly ready: string
  /** Between the box and the store. */
  readonly storeProxy: FaultProxy | undefined
  /** What its clocks are told: how long its machine was suspended, and by how much its time of day was set. */
  readonly clocksFile: string
  suspendedMs: number
  /** Undefined: it is not suspended now. */
  suspendedFrom: number | undefined
  steppedMs: number
  child: Child
}

/** Who holds keys, as operators write it. */
export interface BedTenant {
  readonly name: string
  readonly apiKeys: readonly string[]
  readonly priority?: number
  readonly unit?: "tokens" | "requests"
  readonly plainTokens?: number
  readonly ratePerS?: number
  readonly burst?: number
}

export interface BedOptions {
  /** Undefined: nobody needs a key. */
  readonly tenants?: readonly BedTenant[]
  /** What the processors of boxes can do, in cores; undefined: they do not tell. */
  readonly processors?: readonly number[]
  /** Window of tenants' limits, seconds. */
  readonly usageWindowS?: number
  readonly boxes?: number
  readonly engines?: number
  readonly plain?: number
  readonly engine?: Partial<WorkerOptions>
  readonly plainWorker?: Partial<WorkerOptions>
  readonly leaseTtlMs?: number
  /** Boxes reach the store, and workers are reached, through proxies that can fail. */
  readonly proxied?: boolean
  /** Boxes run the bundled program, as the platform does, and not the single files. */
  readonly bundled?: boolean
  /** The machines of boxes can be suspended; not with `bundled`. */
  readonly suspendable?: boolean
  /** Connections that all boxes may have to a plain worker. */
  readonly plainConnections?: number
  /** Every third engine runs what waits in its queue though the connection has closed. */
  readonly keepers?: boolean
}

let requests = 0

export class PlatformBed {
  readonly judge = new Judge()
  readonly boxes: BedBox[] = []
  readonly engines: StandInWorker[] = []
  readonly plain: StandInWorker[] = []
  readonly versions = new Map<string, number>()
  readonly workerProxies: FaultProxy[] = []
  private readonly agent_ = new Agent({connections: 64, pipelining: 1})
  /** Who holds keys in the next configuration. */
  tenants: readonly BedTenant[] | undefined
  private version_ = 1
  private added_ = 0
  /** What processes wrote whose boxes were started again. */
  private readonly past_: string[] = []

  private constructor(
    readonly store: StandInStore,
    private readonly options_: BedOptions
  ) {
    this.tenants = options_.tenants
  }

  static async start(options: BedOptions = {}): Promise<PlatformBed> {
    const bed = new PlatformBed(await StandInStore.start(), options)
    try {
      bed.configure()
      for (let i = 0; i < (options.engines ?? 2); i++) await bed.addEngine(i)
      for (let i = 0; i < (options.plain ?? 2); i++) await bed.addPlain(i)
      for (let i = 0; i < (options.boxes ?? 2); i++) await bed.addBox(i)
      await bed.ready()
      return bed
    } catch (cause) {
      // No test holds a bed that did not start: what runs of it would keep the process from ending.
      const logs = bed.logs().slice(-LOGGED_CHARACTERS)
      await bed.stop()
      throw new Error(`${(cause as Error).message}; the boxes wrote:\n${logs}`)
    }
  }

  async addEngine(index = this.engines.length): Promise<StandInWorker> {
    const engine = await StandInWorker.start(
      this.store,
      this.judge,
      {
        service: "engines",
        dataCentre: `dc-${index % 2}`,
        model: MODEL,
        keepsClosed: this.options_.keepers === true && ++this.added_ % KEEPER_EACH === 0,
        ...this.options_.engine
      },
      this.versions
    )
    this.engines.push(engine)
    await this.proxyWorker(engine)
    return engine
  }

  async addPlain(index = this.plain.length): Promise<StandInWorker> {
    const options = {
      service: "plain",
      dataCentre: `dc-${index % 2}`,
      ...this.options_.plainWorker
    }
    const worker = await StandInWorker.start(this.store, this.judge, options)
    this.plain.push(worker)
    await this.proxyWorker(worker)
    return worker
  }

  private async proxyWorker(worker: StandInWorker): Promise<void> {
    if (!this.options_.proxied) return
    const proxy = await FaultProxy.start(portOf(worker.address))
    this.workerProxies.push(proxy)
    worker.announced = `127.0.0.1:${proxy.port}`
    worker.front = {down: () => proxy.down(), up: () => proxy.up()}
    worker.announce()
  }

  async addBox(index = this.boxes.length): Promise<BedBox> {
    const name = `box-${index}`
    const [callers, ready, boxes] = await Promise.all([
      freePort(),
      freePort(),
      freePort()
    ])
    const storeProxy = this.options_.proxied
      ? await FaultProxy.start(portOf(this.store.address))
      : undefined
    const settings = {
      box: name,
      dataCentre: `dc-${index % 2}`,
      callers: `127.0.0.1:${callers}`,
      ready: `127.0.0.1:${ready}`,
      boxes: `127.0.0.1:${boxes}`,
      store: {
        address: storeProxy ? `127.0.0.1:${storeProxy.port}` : this.store.address,
        prefix: "sedge/",
        timeoutMs: 450,
        watchMs: 900,
        leaseTtlMs: this.options_.leaseTtlMs ?? 1200
      },
      orders: {checksFences: true, leaseMs: 3000},
      ...this.processorOf(index),
      keys: {takenAwayMs: KEY_MS},
      usage: {windowS: this.options_.usageWindowS ?? 8, overage: 0.1, slack: 0},
      graceS: 8,
      retry: {ratio: 0.2, slack: 60, windowS: 10},
      log: {level: "info"}
    }
    const settingsFile = join(mkdtempSync(join(tmpdir(), "sedge-bed-")), "box.json")
    writeFileSync(settingsFile, JSON.stringify(settings))
    const clocksFile = join(dirname(settingsFile), "clocks")
    writeFileSync(clocksFile, "")
    const child = this.startBox({settingsFile, clocksFile})
    const box = {
      name,
      settingsFile,
      clocksFile,
      suspendedMs: 0,
      suspendedFrom: undefined,
      steppedMs: 0,
      callers: `127.0.0.1:${callers}`,
      ready: settings.ready,
      storeProxy,
      child
    }
    this.boxes.push(box)
    return box
  }

  private processorOf(index: number): object {
    const share = this.options_.processors?.[index]
    return share === undefined ? {} : {processor: {share, cores: 1}}
  }

  private startBox({
    settingsFile,
    clocksFile
  }: Pick<BedBox, "settingsFile" | "clocksFile">): Child {
    const args = ["--settings", settingsFile]
    if (this.options_.suspendable) {
      const env = {CLOCKS_FILE: clocksFile}
      return new Child("test/support/suspendable-box.js", args, env)
    }
    const program = this.options_.bundled ? "../target/box.mjs" : "platform/start.js"
    return new Child(program, args)
  }

  /** Suspends the machine of a box: its steady clock does not count the time, the time of day does. */
  async suspend(box: BedBox, ms: number): Promise<void> {
    box.suspendedFrom = performance.now()
    box.child.signal("SIGSTOP")
    await new Promise(resolve => setTimeout(resolve, ms))
    this.resume(box)
  }

  /** Ends the suspension of a box's machine, if it is suspended. */
  resume(box: BedBox): void {
    if (box.suspendedFrom === undefined) return
    box.suspendedMs += performance.now() - box.suspendedFrom
    box.suspendedFrom = undefined
    setClocks(box)
    box.child.signal("SIGCONT")
  }

  /** Sets the time of day of a box's machine forward. */
  stepTime(box: BedBox, ms: number): void {
    box.steppedMs += ms
    setClocks(box)
  }

  /** Starts the process of a box that ended again. */
  restartBox(box: BedBox): void {
    this.past_.push(box.child.output)
    box.child = this.startBox(box)
  }

  /** Waits until all boxes take requests and one leads. */
  async ready(): Promise<void> {
    for (const box of this.boxes) {
      await until(`${box.name} is ready`, () => {
        if (box.child.ended) throw new Error(`${box.name} ended, not ready`)
        return this.isReady(box)
      })
    }
    await until("a leader", () => this.leader() !== undefined)
  }

  async isReady(box: BedBox): Promise<boolean> {
    try {
      const {statusCode, body} = await request(`http://${box.ready}/ready`)
      await body.dump()
      return statusCode === 200
    } catch {
      return false
    }
  }

  /** The box whose name the leader's key holds. */
  leader(): BedBox | undefined {
    const text = this.store.read("sedge/leader")
    const name = text === undefined ? "" : (JSON.parse(text) as {box: string}).box
    return this.boxes.find(box => box.name === name)
  }

  /** Accepts a configuration; `more` routes are added to the usual ones. */
  configure(more: readonly object[] = []): number {
    const version = this.version_++
    const common = {host: HOST, timeoutMs: 4_000, priority: 1}
    this.store.write("op/config", {
      version,
      routes: [
        {
          ...common,
          name: "stream",
          pathPrefix: "/stream/",
          kind: "streaming",
          service: "engines",
          maxAttempts: 3,
          resumable: true,
          targetLatencyMs: 400,
          gapTargetMs: 200
        },
        {
          ...common,
          name: "once",
          pathPrefix: "/once/",
          kind: "streaming",
          service: "engines",
          maxAttempts: 1,
          resumable: false,
          targetLatencyMs: 400,
          gapTargetMs: 200
        },
        {
          ...common,
          name: "safe",
          pathPrefix: "/safe/",
          kind: "safe",
          service: "plain",
          maxAttempts: 2,
          targetLatencyMs: 200
        },
        {
          ...common,
          name: "unsafe",
          pathPrefix: "/unsafe/",
          kind: "unsafe",
          service: "plain",
          maxAttempts: 1,
          targetLatencyMs: 200
        },
        ...more.map(route => ({...common, ...route}))
      ],
      services: [
        {
          name: "engines",
          maxConnections: 200,
          engine: {
            slots: 96,
            weightsMb: 16_500,
            maxAdapters: 6,
            loadsPerS: 2,
            models: [{name: MODEL, weightsMb: 16_100, loadS: 0.5, adapterMb: 14}]
          }
        },
        {name: "plain", maxConnections: this.options_.plainConnections ?? 100}
      ],
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 1_048_576,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000
      },
      ...(this.tenants ? {tenants: this.tenants} : {})
    })
    return version
  }

  /** Names a new version of an adapter. */
  bump(adapter: string, version: number): void {
    this.versions.set(adapter, version)
    this.store.write(`op/version/${MODEL}.${adapter}`, {model: MODEL, adapter, version})
  }

  /** Sends one request to a box. */
  async call(
    box: BedBox,
    path: string,
    options: {
      readonly adapter?: string
      readonly body?: string
      readonly id?: string
      /** How long the caller waits, milliseconds. */
      readonly deadlineMs?: number
      /** More than one: the header stands as often. */
      readonly key?: string | string[]
      readonly headers?: Readonly<Record<string, string>>
      /** Tokens in and out. */
      readonly usage?: string
    } = {}
  ): Promise<Outcome> {
    const id = options.id ?? `r-${++requests}`
    const model =
      options.adapter === undefined ? {} : {"x-model-id": `${MODEL}/${options.adapter}`}
    try {
      const answer = await request(`http://${box.callers}${path}`, {
        dispatcher: this.agent_,
        method: path.startsWith("/safe") ? "GET" : "POST",
        headers: {
          host: HOST,
          "x-request-id": id,
          "x-request-deadline": String(options.deadlineMs ?? 4_000),
          "x-token-usage": options.usage ?? "100,20",
          ...model,
          ...(options.key === undefined ? {} : {"x-api-key": options.key}),
          ...options.headers
        },
        ...(options.body === undefined ? {} : {body: options.body})
      })
      const headers = answer.headers as Record<string, string>
      try {
        const body = await answer.body.text()
        return {id, status: answer.statusCode, headers, body, broken: false}
      } catch {
        return {id, status: answer.statusCode, headers, body: "", broken: true}
      }
    } catch {
      return {id, status: 0, headers: {}, body: "", broken: true}
    }
  }

  /** What all boxes wrote. */
  logs(): string {
    return [...this.past_, ...this.boxes.map(({child}) => child.output)].join("")
  }

  async stop(): Promise<void> {
    await Promise.all(this.boxes.map(({child}) => child.end("SIGKILL")))
    for (const worker of [...this.engines, ...this.plain]) worker.stop()
    for (const proxy of this.workerProxies) proxy.close()
    for (const {storeProxy} of this.boxes) storeProxy?.close()
    this.store.stop()
    await this.agent_.destroy()
  }
}

/** In one write of fixed length: the box reads the file at each look at a clock. */
function setClocks({clocksFile, suspendedMs, steppedMs}: BedBox): void {
  const line = `${suspendedMs.toFixed(3)} ${steppedMs.toFixed(3)}`.padEnd(40)
  writeFileSync(clocksFile, line, {flag: "r+"})
}

function portOf(address: string): number {
  return Number(address.split(":")[1])
}
