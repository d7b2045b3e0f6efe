/**
 * A round of random faults from a seed against the real program of a box, as processes on the
 * stand-in of the users' platform. What must hold is judged from what callers and workers saw.
 */
import {createRandom, uniformFloat64} from "../../src/utils/random.js"
import type {StandInWorker} from "../stand-ins/platform-worker.js"
import {type BedBox, type Outcome, PlatformBed} from "./platform-bed.js"
import {until} from "./wait.js"

export interface SoakResult {
  /** What all boxes wrote. */
  readonly logs: string
  readonly seed: number
  readonly calls: number
  readonly served: number
  readonly faults: readonly string[]
  readonly violations: readonly string[]
}

export interface SoakOptions {
  readonly seed: number
  readonly seconds: number
  readonly boxes?: number
  /** Servers start again under their names, too, and other writers leave entries. */
  readonly lives?: boolean
}

const ADAPTERS = 30

/** By so much the clock of a server steps back before it starts again, milliseconds. */
const CLOCK_STEP_MS = 5_000
const CALL_MS = 25
const FAULT_MS = 700

/** A server that leaves gets no new work after this, while the store is well; with a margin. */
const DRAIN_MS = 2_500

/** A named version is in force after this. */
const VERSION_MS = 5_000

/** Without faults, everything is served again within this. */
const RECOVERY_LIMIT_MS = 20_000

interface Call {
  readonly kind: "stream" | "once" | "safe" | "unsafe"
  readonly outcome: Outcome
}

/** Runs one round. */
export async function runSoakRound(options: SoakOptions): Promise<SoakResult> {
  const round = new SoakRound(options)
  return round.run()
}

class SoakRound {
  private random_
  private over_ = false
  private readonly calls_: Promise<Call>[] = []
  private readonly done_: Call[] = []
  private readonly faults_: string[] = []
  private readonly violations_: string[] = []
  /** When the store or a box's way to it was last unwell. */
  private unwellAt_ = -Infinity
  private readonly bumps_: {adapter: string; version: number; at: number}[] = []

  constructor(private readonly options_: SoakOptions) {
    this.random_ = createRandom(options_.seed)
  }

  async run(): Promise<SoakResult> {
    const {seed, seconds, boxes = 3} = this.options_
    const bed = await PlatformBed.start({boxes, engines: 3, plain: 2, proxied: true})
    let logs = ""
    try {
      const end = performance.now() + seconds * 1000
      const caller = setInterval(() => this.call(bed), CALL_MS)
      while (performance.now() < end) {
        await this.disturb(bed)
        await pause(FAULT_MS * (0.3 + this.draw()))
      }
      await this.calm(bed)
      clearInterval(caller)
      this.done_.push(...(await Promise.all(this.calls_)))
      this.judge(bed)
      logs = bed.logs()
    } finally {
      // No box is started again after its deployment has ended.
      this.over_ = true
      await bed.stop()
    }
    const served = this.done_.filter(({outcome}) => outcome.status === 200).length
    const {violations_, faults_, done_} = this
    return {
      seed,
      calls: done_.length,
      served,
      faults: faults_,
      violations: [...violations_, ...bed.judge.violations],
      logs
    }
  }

  private draw(): number {
    const [value, next] = uniformFloat64(this.random_)
    this.random_ = next
    return value
  }

  private pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.draw() * items.length)] as T
  }

  private call(bed: PlatformBed): void {
    const box = this.pick(bed.boxes)
    const kind = this.pick(["stream", "stream", "once", "safe", "unsafe"] as const)
    const model = kind === "stream" || kind === "once"
    // Skewed: a few adapters are asked for most.
    const adapter = `a${Math.floor(ADAPTERS * this.draw() ** 3)}`
    const options = {
      ...(model ? {adapter} : {}),
      ...(kind === "safe" ? {} : {body: "{}"})
    }
    this.calls_.push(
      bed.call(box, `/${kind}/x`, options).then(outcome => ({kind, outcome}))
    )
  }

  /** One fault, or the end of one. */
  private async disturb(bed: PlatformBed): Promise<void> {
    const faults: Readonly<Record<string, () => unknown>> = {
      kill: () => this.restart(bed, this.pick(bed.boxes), "SIGKILL"),
      "kill-leader": () =>
        this.restart(bed, bed.leader() ?? this.pick(bed.boxes), "SIGKILL"),
      term: () => this.restart(bed, this.pick(bed.boxes), "SIGTERM"),
      pause: () => this.freeze(this.pick(bed.boxes)),
      "pause-leader": () => this.freeze(bed.leader() ?? this.pick(bed.boxes)),
      hup: () => this.reload(bed, this.pick(bed.boxes)),
      "store-down": () => this.storeFault(bed, {refusing: true}),
      "store-silent": () => this.storeFault(bed, {silent: true}),
      "store-slow": () => this.storeFault(bed, {delayMs: 200}),
      "store-loses": () => this.storeFault(bed, {loseEach: 2}),
      "store-deaf": () => this.storeFault(bed, {deaf: true}),
      "store-forgets": () => bed.store.compact(),
      "cut-from-store": () => this.cutFromStore(bed),
      "reset-workers": () => this.pick(bed.workerProxies).cut(),
      "silence-worker": () => this.silence(bed),
      "lose-answers": () => (this.pick(this.workers(bed)).faults = {loseAnswers: 2}),
      shed: () => this.workerFault(bed, {shedding: true}),
      "break-streams": () => this.workerFault(bed, {cutAfterEvents: 2}),
      "lose-orders": () => (this.pick(bed.engines).faults = {loseOrders: 2}),
      "worker-leaves": () => this.replaceEngine(bed, true),
      "worker-crashes": () => this.replaceEngine(bed, false),
      version: () => this.bump(bed),
      config: () => bed.configure(),
      // Last, and only where asked for: the seeds of rounds without them draw as they did.
      ...(this.options_.lives ? this.livesFaults(bed) : {})
    }
    const name = this.pick(Object.keys(faults))
    this.faults_.push(name)
    await faults[name]?.()
  }

  private livesFaults(bed: PlatformBed): Readonly<Record<string, () => unknown>> {
    return {
      "engine-restarts": () => this.pick(bed.engines).restart(),
      "engine-restarts-twice": async () => {
        const engine = this.pick(bed.engines)
        await engine.restart()
        await engine.restart()
      },
      "plain-restarts": () => this.pick(bed.plain).restart(),
      "clock-back": () => this.pick(bed.engines).restart({bornBefore: CLOCK_STEP_MS}),
      "foreign-entry": () => this.writeForeign(bed, `f-${Math.floor(9 * this.draw())}`),
      "entry-spoilt": () => this.spoilEntry(bed)
    }
  }

  private writeForeign(bed: PlatformBed, id: string): void {
    const values = ["{", '{"state":"ready"}', '{"service":"plain","address":7}', "\u0000"]
    bed.store.writeBytes(`servers/${id}`, Buffer.from(this.pick(values)))
  }

  /** Another writer's bytes stand in the entry of a server until that writes it again. */
  private spoilEntry(bed: PlatformBed): void {
    const worker = this.pick(this.workers(bed))
    worker.hold()
    this.writeForeign(bed, worker.id)
    setTimeout(() => worker.resume(), 300 + 2_000 * this.draw())
  }

  private workers(bed: PlatformBed): StandInWorker[] {
    return [...bed.engines, ...bed.plain]
  }

  private async restart(
    bed: PlatformBed,
    box: BedBox,
    signal: NodeJS.Signals
  ): Promise<void> {
    if (box.child.ended) return
    const {child} = box
    child.signal("SIGCONT")
    if (signal === "SIGKILL") await child.end(signal)
    else child.signal(signal)
    void until("the box ended", () => child.ended).then(() => {
      if (box.child === child && !this.over_) bed.restartBox(box)
    })
  }

  /**
   * A process that has not begun to run its program yet is ended by SIGHUP, which no program can
   * change: as the platform does, it is started again. Any other end of its own stays an end.
   */
  private reload(bed: PlatformBed, box: BedBox): void {
    const {child} = box
    child.signal("SIGHUP")
    const ended = until("the box ended", () => child.endedBy === "SIGHUP", FAULT_MS)
    const restart = (): void => {
      if (box.child === child && !this.over_) bed.restartBox(box)
    }
    ended.then(restart, () => undefined)
  }

  private freeze({child}: BedBox): void {
    child.signal("SIGSTOP")
    setTimeout(() => child.signal("SIGCONT"), 500 + 2_500 * this.draw())
  }

  private storeFault(bed: PlatformBed, faults: PlatformBed["store"]["faults"]): void {
    this.unwellAt_ = Infinity
    bed.store.faults = faults
    setTimeout(
      () => {
        bed.store.faults = {}
        this.unwellAt_ = performance.now()
      },
      500 + 2_500 * this.draw()
    )
  }

  private cutFromStore(bed: PlatformBed): void {
    const proxy = this.pick(bed.boxes).storeProxy
    proxy?.set(this.draw() < 0.5 ? {blockUp: true, blockDown: true} : {blockDown: true})
    setTimeout(() => proxy?.set(), 500 + 3_000 * this.draw())
  }

  private silence(bed: PlatformBed): void {
    const proxy = this.pick(bed.workerProxies)
    proxy.set({blockDown: true})
    setTimeout(() => proxy.set(), 300 + 1_500 * this.draw())
  }

  private workerFault(bed: PlatformBed, faults: StandInWorker["faults"]): void {
    const worker = this.pick(this.workers(bed))
    worker.faults = faults
    setTimeout(() => (worker.faults = {}), 500 + 1_500 * this.draw())
  }

  private async replaceEngine(bed: PlatformBed, planned: boolean): Promise<void> {
    await bed.addEngine()
    const [oldest] = bed.engines.splice(0, 1)
    if (!oldest) return
    this.gone_.push(oldest)
    if (!planned) return oldest.stop()
    oldest.drain()
    setTimeout(() => oldest.stop(), 4_000)
  }

  private readonly gone_: StandInWorker[] = []

  private bump(bed: PlatformBed): void {
    const adapter = `a${Math.floor(4 * this.draw())}`
    const version = (bed.versions.get(adapter) ?? 1) + 1
    bed.bump(adapter, version)
    this.bumps_.push({adapter, version, at: performance.now()})
  }

  /** Ends all faults, and waits until everything is served again. */
  private async calm(bed: PlatformBed): Promise<void> {
    bed.store.faults = {}
    for (const proxy of bed.workerProxies) proxy.set()
    for (const {storeProxy, child} of bed.boxes) {
      storeProxy?.set()
      child.signal("SIGCONT")
    }
    for (const worker of this.workers(bed)) worker.faults = {}
    const begun = performance.now()
    const settled = async (): Promise<boolean> => {
      for (const box of bed.boxes) {
        if (box.child.ended) return false
        const plain = await bed.call(box, "/safe/x")
        const stream = await bed.call(box, "/stream/x", {adapter: "a0"})
        if (plain.status !== 200 || stream.status !== 200) return false
      }
      return true
    }
    try {
      await until("all is served again", settled, RECOVERY_LIMIT_MS)
    } catch {
      this.violations_.push("not served again after all faults ended")
    }
    this.faults_.push(`calm in ${Math.round(performance.now() - begun)} ms`)
  }

  private judge(bed: PlatformBed): void {
    for (const {kind, outcome} of this.done_) this.judgeCall(bed, kind, outcome)
    for (const worker of this.gone_) this.judgeLeaving(bed, worker)
    for (const bump of this.bumps_) this.judgeVersion(bed, bump)
  }

  private judgeCall(bed: PlatformBed, kind: Call["kind"], outcome: Outcome): void {
    const {id, status, body, broken} = outcome
    const runs = bed.judge.runsOf(id)
    const bad = (what: string): void => {
      this.violations_.push(`${id} (${kind}, ${status}): ${what}`)
    }
    if ((kind === "once" || kind === "unsafe") && runs.length > 1) bad("ran twice")
    if (status === 503 && runs.length > 0) bad("refused as not run, and ran")
    if (status !== 200 || broken) return
    if (kind === "safe" && body !== `plain:${id}:`) bad(`wrong answer ${body}`)
    if (kind === "unsafe" && body !== `plain:${id}:{}`) bad(`wrong answer ${body}`)
    if (kind !== "stream" && kind !== "once") return
    if (body !== wholeStream(id)) bad("a stream that looks whole and is not")
  }

  private judgeLeaving(bed: PlatformBed, worker: StandInWorker): void {
    const {drainedAt} = worker
    if (drainedAt === undefined || drainedAt + DRAIN_MS > this.unwellAt_) return
    const late = bed.judge.runs.find(
      run => run.worker === worker.id && run.at > drainedAt + DRAIN_MS
    )
    if (late) this.violations_.push(`${late.id} ran at ${worker.id}, which had left`)
  }

  private judgeVersion(
    bed: PlatformBed,
    {adapter, version, at}: {adapter: string; version: number; at: number}
  ): void {
    // A stretch with trouble of the store in it does not count.
    if (this.unwellAt_ > at) return
    const old = bed.judge.runs.find(
      run => run.adapter === adapter && run.version < version && run.at > at + VERSION_MS
    )
    if (old) this.violations_.push(`${old.id} ran on ${adapter}@${old.version}`)
  }
}

/** The stand-in's whole stream for a request. */
export function wholeStream(id: string, events = 6): string {
  let text = ""
  for (let i = 1; i <= events; i++) text += `id: ${i}\ndata: ${id}-${i}\n\n`
  return text
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}
