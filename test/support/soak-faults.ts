/** The random faults of a round of the soak. */
import type {StandInWorker} from "../stand-ins/platform-worker.js"
import type {BedBox, PlatformBed} from "./platform-bed.js"
import type {SoakDraws, SoakRecord} from "./soak-record.js"
import {
  type OrganisationActions,
  organisationFaults,
  type SoakOrganisations
} from "./soak-organisations.js"
import {IncidentFaults} from "./soak-incident-faults.js"
import {RateFaults} from "./soak-rate-faults.js"
import {DrillFaults} from "./soak-drill-faults.js"
import {NAMED_ADAPTERS, VersionFaults} from "./soak-version-faults.js"
import {until} from "./wait.js"

/** By so much the clock of a server steps back before it starts again, milliseconds. */
const CLOCK_STEP_MS = 5_000

/** Of the faults, this share concerns versions, where asked for: they show only together. */
const VERSION_SHARE = 0.4

/** The same of drills, and of versions around changes of leader. */
const DRILL_SHARE = 0.3
const LEAD_SHARE = 0.3

/** The same of keys and limits. */
const ORGANISATION_SHARE = 0.4

/** A fault comes about so often, milliseconds. */
export const FAULT_MS = 700

/** What a box logs as it begins to listen. */
const LISTENS = '"event":100,'

export interface FaultOptions {
  /** Servers start again under their names, too, and other writers leave entries. */
  readonly lives?: boolean
  /** Versions come in series, engines queue, orders are late, and connections go silent for good. */
  readonly versions?: boolean
  /** The store comes back from older copies. */
  readonly drills?: boolean
  /** Versions are named as the lead changes. */
  readonly leads?: boolean
  /** Callers have keys, which are taken away, and limits, which fall. */
  readonly organisations?: boolean
}

export class SoakFaults {
  /** No box is started again after its deployment has ended. */
  over = false
  private calm_ = false
  /** Boxes whose processes are stopped. */
  private readonly frozen_ = new Set<BedBox>()
  private readonly versionFaults_: VersionFaults
  private readonly drillFaults_: DrillFaults
  private rates_: RateFaults | undefined

  constructor(
    private readonly bed_: PlatformBed,
    private readonly draws_: SoakDraws,
    private readonly record_: SoakRecord,
    private readonly options_: FaultOptions,
    private readonly organisations_?: SoakOrganisations
  ) {
    const name = (adapter: string): void => this.name(adapter)
    const isCalm = (): boolean => this.calm_
    this.versionFaults_ = new VersionFaults(bed_, draws_, name, isCalm)
    this.drillFaults_ = new DrillFaults(bed_, draws_, record_, {
      nameVersion: () => this.bump(),
      queueAll: () => this.versionFaults_.queueAll(),
      kill: box => this.restart(box, "SIGKILL"),
      freeze: box => this.freeze(box),
      cutFromStore: box => this.cutFromStore(box),
      replaceEngine: () => this.replaceEngine(true),
      isCalm
    })
  }

  /** What each round plays besides; resolves when its callers have their answers. */
  async playIncidents(draws: SoakDraws, rateDraws: SoakDraws): Promise<void> {
    const faults = new IncidentFaults(this.bed_, draws, this.record_, {
      isHeld: box => this.frozen_.has(box) || box.suspendedFrom !== undefined,
      isCalm: () => this.calm_,
      heldKey: () => this.organisations_?.heldKey
    })
    this.rates_ = new RateFaults(this.bed_, rateDraws, this.record_, () => this.calm_)
    await Promise.all([faults.play(), this.rates_.play()])
  }

  /** Ends all faults. */
  calm(): void {
    this.calm_ = true
    this.rates_?.calm()
    for (const box of this.bed_.boxes) this.bed_.resume(box)
    const {store, workerProxies, boxes} = this.bed_
    store.faults = {}
    for (const proxy of workerProxies) proxy.set()
    for (const {storeProxy, child} of boxes) {
      storeProxy?.set()
      child.signal("SIGCONT")
    }
    for (const worker of this.workers()) worker.faults = {}
  }

  /** One fault, or the end of one. */
  async disturb(): Promise<void> {
    const drawn = this.special() ?? this.usual()
    await this.act(drawn, this.draws_.pick(Object.keys(drawn)))
  }

  /** A fault that is named. */
  async play(name: string): Promise<void> {
    const {versionFaults_, drillFaults_} = this
    const all = {
      ...this.usual(),
      ...this.livesFaults(),
      ...versionFaults_.all(),
      ...drillFaults_.drills(),
      ...drillFaults_.leads()
    }
    if (!(name in all)) throw new Error(`there is no fault ${name}`)
    await this.act(all, name)
  }

  private async act(
    faults: Readonly<Record<string, () => unknown>>,
    name: string
  ): Promise<void> {
    this.record_.faults.push({name, at: performance.now()})
    await faults[name]?.()
  }

  private usual(): Readonly<Record<string, () => unknown>> {
    return {
      kill: () => this.restart(this.draws_.pick(this.bed_.boxes), "SIGKILL"),
      "kill-leader": () =>
        this.restart(this.bed_.leader() ?? this.draws_.pick(this.bed_.boxes), "SIGKILL"),
      term: () => this.restart(this.draws_.pick(this.bed_.boxes), "SIGTERM"),
      pause: () => this.freeze(this.draws_.pick(this.bed_.boxes)),
      "pause-leader": () =>
        this.freeze(this.bed_.leader() ?? this.draws_.pick(this.bed_.boxes)),
      hup: () => this.reload(this.draws_.pick(this.bed_.boxes)),
      "store-down": () => this.storeFault({refusing: true}),
      "store-silent": () => this.storeFault({silent: true}),
      "store-slow": () => this.storeFault({delayMs: 200}),
      "store-loses": () => this.storeFault({loseEach: 2}),
      "store-deaf": () => this.storeFault({deaf: true}),
      "store-forgets": () => this.bed_.store.compact(),
      "cut-from-store": () => this.cutFromStore(this.draws_.pick(this.bed_.boxes)),
      "reset-workers": () => this.draws_.pick(this.bed_.workerProxies).cut(),
      "silence-worker": () => this.silence(),
      "lose-answers": () => (this.draws_.pick(this.workers()).faults = {loseAnswers: 2}),
      shed: () => this.workerFault({shedding: true}),
      "break-streams": () => this.workerFault({cutAfterEvents: 2}),
      "lose-orders": () => (this.draws_.pick(this.bed_.engines).faults = {loseOrders: 2}),
      "worker-leaves": () => this.replaceEngine(true),
      "worker-crashes": () => this.replaceEngine(false),
      version: () => this.bump(),
      config: () => this.bed_.configure(),
      // Last, and only where asked for: the seeds of rounds without them draw as they did.
      ...(this.options_.lives ? this.livesFaults() : {})
    }
  }

  /** Kinds that are drawn from only where asked for: the seeds of other rounds draw as they did. */
  private special(): Readonly<Record<string, () => unknown>> | undefined {
    const {versions, drills, leads} = this.options_
    const organisations = this.organisations_
    if (organisations && this.draws_.draw() < ORGANISATION_SHARE) {
      return organisationFaults(organisations, this.organisationActions())
    }
    if (drills && this.draws_.draw() < DRILL_SHARE) return this.drillFaults_.drills()
    if (leads && this.draws_.draw() < LEAD_SHARE) return this.drillFaults_.leads()
    if (versions && this.draws_.draw() < VERSION_SHARE) return this.versionFaults_.all()
    return undefined
  }

  private organisationActions(): OrganisationActions {
    const {boxes} = this.bed_
    return {
      cutFromStore: () => this.cutFromStore(this.draws_.pick(boxes)),
      freeze: () => this.freeze(this.draws_.pick(boxes)),
      killLeader: () =>
        this.restart(this.bed_.leader() ?? this.draws_.pick(boxes), "SIGKILL"),
      drill: this.options_.drills
        ? () => this.drillFaults_.drills()["drill"]?.()
        : undefined,
      isCalm: () => this.calm_
    }
  }

  private livesFaults(): Readonly<Record<string, () => unknown>> {
    return {
      "engine-restarts": () => this.draws_.pick(this.bed_.engines).restart(),
      "engine-restarts-twice": async () => {
        const engine = this.draws_.pick(this.bed_.engines)
        await engine.restart()
        await engine.restart()
      },
      "plain-restarts": () => this.draws_.pick(this.bed_.plain).restart(),
      "clock-back": () =>
        this.draws_.pick(this.bed_.engines).restart({bornBefore: CLOCK_STEP_MS}),
      "foreign-entry": () => this.writeForeign(`f-${Math.floor(9 * this.draws_.draw())}`),
      "entry-spoilt": () => this.spoilEntry()
    }
  }

  private writeForeign(id: string): void {
    const values = ["{", '{"state":"ready"}', '{"service":"plain","address":7}', "\u0000"]
    this.bed_.store.writeBytes(`servers/${id}`, Buffer.from(this.draws_.pick(values)))
  }

  /** Another writer's bytes stand in the entry of a server until that writes it again. */
  private spoilEntry(): void {
    const worker = this.draws_.pick(this.workers())
    worker.hold()
    this.writeForeign(worker.id)
    setTimeout(() => worker.resume(), 300 + 2_000 * this.draws_.draw())
  }

  private workers(): StandInWorker[] {
    return [...this.bed_.engines, ...this.bed_.plain]
  }

  private async restart(box: BedBox, signal: NodeJS.Signals): Promise<void> {
    if (box.child.ended) return
    const {child} = box
    this.bed_.resume(box)
    this.record_.excuse(box.name)
    child.signal("SIGCONT")
    if (signal === "SIGKILL") await child.end(signal)
    else child.signal(signal)
    void until("the box ended", () => child.ended).then(() => {
      if (box.child !== child || this.over) return
      this.record_.excuse(box.name)
      this.bed_.restartBox(box)
      this.excuseStart(box)
    })
  }

  /** A process that starts beside many takes seconds until it listens: it is struck until then. */
  private excuseStart(box: BedBox): void {
    const {child} = box
    const listens = (): boolean => child.ended || child.output.includes(LISTENS)
    const excuse = (): void => this.record_.excuse(box.name)
    void until("the box listens", listens).then(excuse, excuse)
  }

  /**
   * A process that has not begun to run its program yet is ended by SIGHUP, which no program can
   * change: as the platform does, it is started again. Any other end of its own stays an end.
   */
  private reload(box: BedBox): void {
    const {child} = box
    child.signal("SIGHUP")
    const ended = until("the box ended", () => child.endedBy === "SIGHUP", FAULT_MS)
    const restart = (): void => {
      if (box.child === child && !this.over) this.bed_.restartBox(box)
    }
    ended.then(restart, () => undefined)
  }

  private freeze(box: BedBox): void {
    const ms = 500 + 2_500 * this.draws_.draw()
    // A stopped process whose clock is told to stand must not be let go on early.
    if (box.suspendedFrom !== undefined) return
    const {child} = box
    this.frozen_.add(box)
    this.record_.excuse(box.name)
    child.signal("SIGSTOP")
    setTimeout(() => {
      this.frozen_.delete(box)
      this.record_.excuse(box.name)
      child.signal("SIGCONT")
    }, ms)
  }

  private storeFault(faults: PlatformBed["store"]["faults"]): void {
    this.record_.trouble.begin()
    this.bed_.store.faults = faults
    setTimeout(
      () => {
        this.bed_.store.faults = {}
        this.record_.trouble.end()
      },
      500 + 2_500 * this.draws_.draw()
    )
  }

  private cutFromStore({name, storeProxy: proxy}: BedBox): void {
    this.record_.excuse(name)
    proxy?.set(
      this.draws_.draw() < 0.5 ? {blockUp: true, blockDown: true} : {blockDown: true}
    )
    setTimeout(() => proxy?.set(), 500 + 3_000 * this.draws_.draw())
  }

  private silence(): void {
    const proxy = this.draws_.pick(this.bed_.workerProxies)
    proxy.set({blockDown: true})
    setTimeout(() => proxy.set(), 300 + 1_500 * this.draws_.draw())
  }

  private workerFault(faults: StandInWorker["faults"]): void {
    const worker = this.draws_.pick(this.workers())
    worker.faults = faults
    setTimeout(() => (worker.faults = {}), 500 + 1_500 * this.draws_.draw())
  }

  private async replaceEngine(planned: boolean): Promise<void> {
    await this.bed_.addEngine()
    const [oldest] = this.bed_.engines.splice(0, 1)
    if (!oldest) return
    this.record_.gone.push(oldest)
    if (!planned) return oldest.stop()
    oldest.drain()
    setTimeout(() => oldest.stop(), 4_000)
  }

  private bump(): void {
    this.name(`a${Math.floor(NAMED_ADAPTERS * this.draws_.draw())}`)
  }

  /** Names the next version of an adapter. */
  private name(adapter: string): void {
    const version = (this.bed_.versions.get(adapter) ?? 1) + 1
    this.bed_.bump(adapter, version)
    this.record_.versions.push({adapter, version, at: performance.now()})
  }
}
