/** The random faults of a round of the soak. */
import type {StandInWorker, WorkerOptions} from "../stand-ins/platform-worker.js"
import type {BedBox, PlatformBed} from "./platform-bed.js"
import type {SoakDraws, SoakRecord} from "./soak-record.js"
import {
  type OrganisationActions,
  organisationFaults,
  type SoakOrganisations
} from "./soak-organisations.js"
import {IncidentFaults} from "./soak-incident-faults.js"
import {CutFaults} from "./soak-cut-faults.js"
import {EndlessFaults} from "./soak-endless-faults.js"
import {StartFaults} from "./soak-start-faults.js"
import {StarvedFaults} from "./soak-starved-faults.js"
import {StopFaults} from "./soak-stop-faults.js"
import {StreamFaults} from "./soak-stream-faults.js"
import type {LoadCallers} from "./soak-load-callers.js"
import {LoadFaults} from "./soak-load-faults.js"
import {PartFaults} from "./soak-part-faults.js"
import {MassKillFaults} from "./soak-mass-kill-faults.js"
import {PromiseFaults} from "./soak-promise-faults.js"
import {RepeatFaults} from "./soak-repeat-faults.js"
import {PauseFaults} from "./soak-pause-faults.js"
import {ProcessorFaults} from "./soak-processor-faults.js"
import {RateFaults} from "./soak-rate-faults.js"
import {DrillFaults} from "./soak-drill-faults.js"
import {VERSIONED_ADAPTER_COUNT, VersionFaults} from "./soak-version-faults.js"
import {until} from "./wait.js"

/** Step by which the clock of a server goes back before it restarts. */
const CLOCK_STEP_MS = 5_000

/**
 * Share of the faults that concern versions, if the options ask for them. Their failures
 * show only when several come together.
 */
const VERSION_SHARE = 0.4

/** The same for restore drills, and for versions around changes of leader. */
const DRILL_SHARE = 0.3
const LEADER_CHANGE_SHARE = 0.3

/** The same for keys and limits. */
const ORGANISATION_SHARE = 0.4

/** Approximate interval between faults. */
export const FAULT_MS = 700

/** Part of the log line that a box writes when it starts to listen. */
const LISTENING_LOG = '"event":100,'

export interface FaultOptions {
  /** Servers also restart under their old names, and other writers leave entries. */
  readonly lives?: boolean
  /**
   * Versions come in series, engines queue, orders arrive late, and connections go
   * permanently silent.
   */
  readonly versions?: boolean
  /** The store is restored from older backups. */
  readonly drills?: boolean
  /** New versions are published while the leader changes. */
  readonly leads?: boolean
  /** Boxes are cut off from backend servers, and first tries there are judged. */
  readonly cuts?: boolean
  /**
   * Other faults come seldom and without incidents, so that boxes that no fault struck
   * show how often those that were cut off should serve.
   */
  readonly sparse?: boolean
  /**
   * Workers frame and break off answers in several ways, engines of two software versions
   * serve side by side, and callers take streams up.
   */
  readonly streams?: boolean
  /**
   * Engines have few places and uneven speeds, and callers send more than these take.
   */
  readonly load?: boolean
  /**
   * Requests that must not be repeated go to workers in processes of their own, and what
   * their callers are promised is judged.
   */
  readonly promises?: boolean
  /** Sound workers stand still inside streams and go on. */
  readonly pauses?: boolean
  /** Shared parts of prompts crash the engines that answer requests with them. */
  readonly parts?: boolean
  /** Workers repeat answers where later ones are due. */
  readonly repeats?: boolean
  /** All boxes are killed at once, in series, beside releases of the engines. */
  readonly massKills?: boolean
  /**
   * All boxes start while the store is slow, another writer stores odd entries, and heads of
   * answers stop midway.
   */
  readonly starts?: boolean
  /** All boxes start on few processors. */
  readonly starved?: boolean
  /** All boxes start on one processor. */
  readonly fewProcessors?: boolean
  /** Workers answer many calls at once without end. */
  readonly endless?: boolean
  /** Boxes have a short grace period, in which long requests come. */
  readonly shortGrace?: boolean
  /** Callers have keys, which are revoked, and limits, which are lowered. */
  readonly organisations?: boolean
}

export class SoakFaults {
  /** Whether the deployment has ended, after which no box is restarted. */
  hasDeploymentEnded = false
  /** Whether everything is served again after the end of all faults. */
  hasServiceReturned = false
  private haveFaultsEnded_ = false
  /** Boxes whose processes are stopped by SIGSTOP. */
  private readonly stoppedBoxes_ = new Set<BedBox>()
  private readonly versionFaults_: VersionFaults
  private readonly drillFaults_: DrillFaults
  private rates_: RateFaults | undefined
  /** Undefined before `playIncidents`. */
  promises: PromiseFaults | undefined

  constructor(
    private readonly bed_: PlatformBed,
    private readonly draws_: SoakDraws,
    private readonly record_: SoakRecord,
    private readonly options_: FaultOptions,
    private readonly organisations_?: SoakOrganisations
  ) {
    const publish = (adapter: string): void => this.publishVersion(adapter)
    const haveFaultsEnded = (): boolean => this.haveFaultsEnded_
    this.versionFaults_ = new VersionFaults(bed_, draws_, publish, haveFaultsEnded)
    this.drillFaults_ = new DrillFaults(bed_, draws_, record_, {
      publishVersion: () => this.publishRandomVersion(),
      queueAll: () => this.versionFaults_.queueAll(),
      kill: box => this.restart(box, "SIGKILL"),
      freeze: box => this.freeze(box),
      cutFromStore: box => this.cutFromStore(box),
      replaceEngine: () => this.replaceEngine(true),
      haveFaultsEnded
    })
  }

  /**
   * Plays the incidents and rate faults that every round has in addition. Resolves when
   * their callers have got their responses.
   */
  async playIncidents(
    draws: SoakDraws,
    rateDraws: SoakDraws,
    cutDraws: SoakDraws,
    streamDraws: readonly [breaks: SoakDraws, releases: SoakDraws],
    loadDraws: SoakDraws,
    loadCallers: LoadCallers,
    pauseDraws: SoakDraws,
    partDraws: readonly [faults: SoakDraws, calls: SoakDraws],
    repeatDraws: SoakDraws,
    massKillDraws: SoakDraws,
    startDraws: SoakDraws,
    starvedDraws: SoakDraws,
    promiseDraws: readonly [faults: SoakDraws, calls: SoakDraws],
    processorDraws: SoakDraws,
    endlessDraws: SoakDraws,
    stopDraws: readonly [faults: SoakDraws, calls: SoakDraws]
  ): Promise<void> {
    const faults = new IncidentFaults(this.bed_, draws, this.record_, {
      isStopped: box => this.stoppedBoxes_.has(box) || box.suspendedFrom !== undefined,
      haveFaultsEnded: () => this.haveFaultsEnded_,
      validKey: () => this.organisations_?.validKey
    })
    this.rates_ = new RateFaults(
      this.bed_,
      rateDraws,
      this.record_,
      () => this.haveFaultsEnded_
    )
    const cuts = new CutFaults(
      this.bed_,
      cutDraws,
      this.record_,
      () => this.haveFaultsEnded_
    )
    const streams = new StreamFaults(this.bed_, ...streamDraws, this.record_, {
      restart: (box, signal) => this.restart(box, signal),
      haveFaultsEnded: () => this.haveFaultsEnded_
    })
    const load = new LoadFaults(
      this.bed_,
      loadDraws,
      this.record_,
      loadCallers,
      this.organisations_ !== undefined,
      () => this.haveFaultsEnded_
    )
    const pauses = new PauseFaults(this.bed_, pauseDraws, this.record_, {
      restart: (box, signal) => this.restart(box, signal),
      haveFaultsEnded: () => this.haveFaultsEnded_
    })
    const parts = new PartFaults(this.bed_, ...partDraws, this.record_, {
      restart: (box, signal) => this.restart(box, signal),
      haveFaultsEnded: () => this.haveFaultsEnded_,
      validKey: () => this.organisations_?.validKey
    })
    const repeats = new RepeatFaults(
      this.bed_,
      repeatDraws,
      this.record_,
      () => this.haveFaultsEnded_
    )
    const massKills = new MassKillFaults(this.bed_, massKillDraws, this.record_, {
      restart: (box, signal) => this.restart(box, signal),
      haveFaultsEnded: () => this.haveFaultsEnded_
    })
    const starts = new StartFaults(this.bed_, startDraws, this.record_, {
      restart: (box, signal) => this.restart(box, signal),
      haveFaultsEnded: () => this.haveFaultsEnded_
    })
    const starved = new StarvedFaults(this.bed_, starvedDraws, this.record_, {
      restart: (box, signal) => this.restart(box, signal),
      haveFaultsEnded: () => this.haveFaultsEnded_
    })
    const processors = new ProcessorFaults(this.bed_, processorDraws, this.record_, {
      restart: (box, signal) => this.restart(box, signal),
      haveFaultsEnded: () => this.haveFaultsEnded_,
      hasServiceReturned: () => this.hasServiceReturned
    })
    const endless = new EndlessFaults(this.bed_, endlessDraws, this.record_, {
      haveFaultsEnded: () => this.haveFaultsEnded_,
      validKey: () => this.organisations_?.validKey
    })
    const graceS = this.record_.graceMs / 1_000
    const stops = new StopFaults(this.bed_, ...stopDraws, this.record_, graceS, {
      restart: (box, signal) => this.restart(box, signal),
      haveFaultsEnded: () => this.haveFaultsEnded_,
      validKey: () => this.organisations_?.validKey
    })
    this.promises = new PromiseFaults(this.bed_, ...promiseDraws, this.record_, {
      repeats: this.options_.repeats === true,
      restart: (box, signal) => this.restart(box, signal),
      haveFaultsEnded: () => this.haveFaultsEnded_,
      pickKey: () => this.organisations_?.pickKey(promiseDraws[1])
    })
    const {sparse = false} = this.options_
    await Promise.all([
      ...(sparse ? [] : [faults.play(), this.rates_.play()]),
      this.options_.cuts ? cuts.play() : undefined,
      this.options_.streams ? streams.play() : undefined,
      this.options_.load ? load.play() : undefined,
      this.options_.pauses ? pauses.play() : undefined,
      this.options_.parts ? parts.play() : undefined,
      this.options_.repeats ? repeats.play() : undefined,
      this.options_.massKills ? massKills.play() : undefined,
      this.options_.starts ? starts.play() : undefined,
      this.options_.starved ? starved.play() : undefined,
      this.options_.fewProcessors ? processors.play() : undefined,
      this.options_.endless ? endless.play() : undefined,
      this.options_.shortGrace ? stops.play() : undefined,
      this.options_.promises ? this.promises.play() : undefined
    ])
  }

  endFaults(): void {
    this.haveFaultsEnded_ = true
    this.rates_?.endAll()
    for (const box of this.bed_.boxes) {
      this.bed_.resume(box)
      if (this.options_.cuts) this.bed_.heal(box)
    }
    const {store, workerProxies, boxes, judge} = this.bed_
    judge.parts.repairAll()
    store.faults = {}
    for (const proxy of workerProxies) proxy.setFaults()
    for (const {storeProxy, child} of boxes) {
      storeProxy?.setFaults()
      child.signal("SIGCONT")
    }
    for (const worker of this.workers()) worker.faults = {}
  }

  /** Draws a fault and injects it. Some kinds only end an earlier one. */
  async injectRandom(): Promise<void> {
    const drawn = this.optionalFaults() ?? this.usualFaults()
    await this.inject(drawn, this.draws_.pick(Object.keys(drawn)))
  }

  /** Injects the fault of this name. */
  async injectNamed(name: string): Promise<void> {
    const {versionFaults_, drillFaults_, organisations_} = this
    const all = {
      ...this.usualFaults(),
      ...this.restartFaults(),
      ...versionFaults_.all(),
      ...drillFaults_.drills(),
      ...drillFaults_.leaderChanges(),
      ...(organisations_
        ? organisationFaults(organisations_, this.organisationActions())
        : {})
    }
    if (!(name in all)) throw new Error(`unknown fault in the script: ${name}`)
    await this.inject(all, name)
  }

  private async inject(
    faults: Readonly<Record<string, () => unknown>>,
    name: string
  ): Promise<void> {
    this.record_.faults.push({name, at: performance.now()})
    await faults[name]?.()
  }

  private usualFaults(): Readonly<Record<string, () => unknown>> {
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
      "silence-worker": () => this.silenceWorker(),
      "lose-answers": () => (this.draws_.pick(this.workers()).faults = {loseAnswers: 2}),
      shed: () => this.workerFault({shedding: true}),
      "break-streams": () => this.workerFault({cutAfterEvents: 2}),
      "lose-orders": () => (this.draws_.pick(this.bed_.engines).faults = {loseOrders: 2}),
      "worker-leaves": () => this.replaceEngine(true),
      "worker-crashes": () => this.replaceEngine(false),
      version: () => this.publishRandomVersion(),
      config: () => this.bed_.configure(),
      // Last, and only on request, so that the seeds of other rounds draw the same
      // faults.
      ...(this.options_.lives ? this.restartFaults() : {})
    }
  }

  /**
   * Kinds drawn only on request, so that the seeds of other rounds draw the same faults.
   */
  private optionalFaults(): Readonly<Record<string, () => unknown>> | undefined {
    const {versions, drills, leads} = this.options_
    const organisations = this.organisations_
    if (organisations && this.draws_.draw() < ORGANISATION_SHARE) {
      return organisationFaults(organisations, this.organisationActions())
    }
    if (drills && this.draws_.draw() < DRILL_SHARE) return this.drillFaults_.drills()
    if (leads && this.draws_.draw() < LEADER_CHANGE_SHARE)
      return this.drillFaults_.leaderChanges()
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
      haveFaultsEnded: () => this.haveFaultsEnded_
    }
  }

  private restartFaults(): Readonly<Record<string, () => unknown>> {
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

  /**
   * Overwrites the entry of a server with another writer's bytes until the server
   * rewrites it.
   */
  private spoilEntry(): void {
    const worker = this.draws_.pick(this.workers())
    worker.pauseHeartbeats()
    this.writeForeign(worker.id)
    setTimeout(() => worker.resumeHeartbeats(), 300 + 2_000 * this.draws_.draw())
  }

  private workers(): StandInWorker[] {
    return [...this.bed_.engines, ...this.bed_.plain]
  }

  private async restart(box: BedBox, signal: NodeJS.Signals): Promise<void> {
    if (box.child.ended) return
    const {child} = box
    this.bed_.resume(box)
    this.record_.exempt(box.name)
    this.record_.boxEnds.push({box: box.name, signal, at: performance.now()})
    const endStop =
      signal === "SIGTERM" ? this.record_.beginStop(box.name) : () => undefined
    child.signal("SIGCONT")
    if (signal === "SIGKILL") await child.end(signal)
    else child.signal(signal)
    void until("the box ended", () => child.ended).then(() => {
      endStop()
      if (box.child !== child || this.hasDeploymentEnded) return
      this.record_.exempt(box.name)
      this.bed_.restartBox(box)
      this.excuseStart(box)
    })
  }

  /**
   * Excuses the box until it listens, which takes seconds if many processes run on the
   * machine.
   */
  private excuseStart(box: BedBox): void {
    const {child} = box
    const isListening = (): boolean => child.ended || child.output.includes(LISTENING_LOG)
    const end = this.record_.beginStart(box.name)
    void until("the box listens", isListening).then(end, end)
  }

  /**
   * Sends SIGHUP. It kills a process that has not installed its handler yet, which no
   * program can prevent, so the box is then restarted, as the platform does. After any
   * other exit of its own the box stays down.
   */
  private reload(box: BedBox): void {
    const {child} = box
    child.signal("SIGHUP")
    const ended = until("the box ended", () => child.endedBy === "SIGHUP", FAULT_MS)
    const restart = (): void => {
      if (box.child === child && !this.hasDeploymentEnded) this.bed_.restartBox(box)
    }
    ended.then(restart, () => undefined)
  }

  private freeze(box: BedBox): void {
    const ms = 500 + 2_500 * this.draws_.draw()
    // A box that is suspended with its clock halted must not be continued early.
    if (box.suspendedFrom !== undefined) return
    const {child} = box
    this.stoppedBoxes_.add(box)
    this.record_.exempt(box.name)
    child.signal("SIGSTOP")
    setTimeout(() => {
      this.stoppedBoxes_.delete(box)
      this.record_.exempt(box.name)
      child.signal("SIGCONT")
    }, ms)
  }

  private storeFault(faults: PlatformBed["store"]["faults"]): void {
    this.record_.storeFaults.begin()
    this.bed_.store.faults = faults
    setTimeout(
      () => {
        this.bed_.store.faults = {}
        this.record_.storeFaults.end()
      },
      500 + 2_500 * this.draws_.draw()
    )
  }

  private cutFromStore({name, storeProxy: proxy}: BedBox): void {
    this.record_.exempt(name)
    proxy?.setFaults(
      this.draws_.draw() < 0.5 ? {blockUp: true, blockDown: true} : {blockDown: true}
    )
    setTimeout(() => proxy?.setFaults(), 500 + 3_000 * this.draws_.draw())
  }

  private silenceWorker(): void {
    const proxy = this.draws_.pick(this.bed_.workerProxies)
    proxy.setFaults({blockDown: true})
    setTimeout(() => proxy.setFaults(), 300 + 1_500 * this.draws_.draw())
  }

  private workerFault(faults: StandInWorker["faults"]): void {
    const worker = this.draws_.pick(this.workers())
    worker.faults = faults
    setTimeout(() => (worker.faults = {}), 500 + 1_500 * this.draws_.draw())
  }

  private async replaceEngine(planned: boolean): Promise<void> {
    await this.bed_.addEngine(undefined, this.nextEngine())
    const [oldest] = this.bed_.engines.splice(0, 1)
    if (!oldest) return
    this.record_.replacedEngines.push(oldest)
    if (!planned) return oldest.stop()
    oldest.drain()
    setTimeout(() => oldest.stop(), 4_000)
  }

  /** Options of an engine that replaces the oldest one. It has the same software. */
  private nextEngine(): Partial<WorkerOptions> {
    const [oldest] = this.bed_.engines
    return oldest ? {version: oldest.software} : {}
  }

  private publishRandomVersion(): void {
    this.publishVersion(`a${Math.floor(VERSIONED_ADAPTER_COUNT * this.draws_.draw())}`)
  }

  /** Publishes the next version of an adapter. */
  private publishVersion(adapter: string): void {
    const version = (this.bed_.versions.get(adapter) ?? 1) + 1
    this.bed_.publishAdapterVersion(adapter, version)
    this.record_.versions.push({adapter, version, at: performance.now()})
  }
}
