/**
 * Simulates whole boxes in one process under simulated time: the real core through
 * `stepBox`, with a fake engine that does not check fencing tokens, a fake key-value
 * service, links that break and boxes that pause. Without a network model: messages of a
 * link arrive in order after a random delay, or not at all.
 */
import {
  createBox,
  stepBox,
  type BoxEffect,
  type BoxOptions,
  type BoxState
} from "../../src/index.js"
import {
  DEFAULT_TIMING,
  BUILT_IN_POLICY,
  findPolicy,
  restoreSnapshot
} from "../../src/index.js"
import type {SnapshotRecord} from "../../src/types/config.js"
import {createRandomSource} from "../../bench/workload.js"
import {Agenda} from "../patterns/agenda.js"
import type {Observation} from "./trace-checker.js"

const REQUEST_MS = 400
const LOAD_MS = 150
const TICK_MS = 50

/** Simulated time at which a run begins. */
const START_MS = 1_000

export interface SimOptions {
  readonly boxes: number
  /** Number of boxes whose entry receives requests. */
  readonly entries: number
  readonly slots: number
  readonly models: number
  /**
   * Whether requests are sent one at a time, without a delay between an entry and the
   * engine.
   */
  readonly oneByOne: boolean
  /** Receives the steps of the adapter `TRACED` that the specification models, too. */
  readonly observe?: (what: Observation["what"], keeper: number) => void
}

const DEFAULTS: SimOptions = {
  boxes: 3,
  entries: 3,
  slots: 2,
  models: 5,
  oneByOne: false
}

/** The adapter whose steps are observed. */
const TRACED = "base-a/a0@1"

export interface SimReport {
  readonly unloads: number
  readonly answered: number
  readonly takeovers: number
  /** Unloads that violate a guard of the specification. */
  readonly violations: readonly string[]
}

interface Running {
  readonly box: number
  readonly request: string
  readonly model: string
}

export class CoreSim {
  private readonly agenda_ = new Agenda()
  private requests_ = 0
  private readonly draw_: () => number
  private readonly options_: BoxOptions[] = []
  private readonly boxes_: BoxState[] = []
  private readonly pausedUntil_: number[] = []
  private readonly leaseUntil_: number[] = []
  /** Epoch of each entry-keeper link. Messages of an older epoch are dropped. */
  private readonly links_ = new Map<string, number>()
  private readonly lastArrival_ = new Map<string, number>()
  private readonly shares_ = new Map<
    string,
    {owner: string; fence: number; revision: number}
  >()
  private revision_ = 1
  private readonly loaded_ = new Set<string>()
  private readonly running_ = new Map<string, Running>()
  private readonly violations_: string[] = []
  private unloads_ = 0
  private answered_ = 0
  private takeovers_ = 0

  private readonly sim_: SimOptions

  constructor(seed: number, options: Partial<SimOptions> = {}) {
    this.agenda_.now = START_MS
    this.sim_ = {...DEFAULTS, ...options}
    this.draw_ = createRandomSource(seed)
    for (let box = 0; box < this.sim_.boxes; box++) this.addBox(box, seed)
  }

  private get now_(): number {
    return this.agenda_.now
  }

  /** Runs for the given simulated time. */
  run(forMs: number): SimReport {
    const end = this.now_ + forMs
    for (let box = 0; box < this.sim_.boxes; box++) this.start(box)
    this.every(150, () => this.sendRequest())
    this.every(3_000, () => this.injectFault())
    this.agenda_.runUntil(end)
    const {unloads_: unloads, answered_: answered, takeovers_: takeovers} = this
    return {unloads, answered, takeovers, violations: this.violations_}
  }

  private addBox(box: number, seed: number): void {
    const timing = DEFAULT_TIMING
    const patienceMs = {till: 5_000, merchant: 5_000, overnight: 5_000}
    this.options_.push({
      seed: seed + box,
      entry: {
        self: `entry-${box}`,
        dataCentre: "sala-a",
        timing,
        registerShards: 1,
        maxInProgress: 100,
        patienceMs
      },
      keeper: {
        self: `keeper-${box}`,
        timing,
        registerShards: 0,
        loadsPerSecond: 20,
        loadsAtOnce: 2,
        findPolicy,
        builtInPolicy: BUILT_IN_POLICY
      }
    })
    this.boxes_.push(createBox(this.options_[box] as BoxOptions))
    this.pausedUntil_.push(0)
    this.leaseUntil_.push(0)
  }

  private start(box: number): void {
    const config = makeConfig(this.sim_)
    this.post(box, {role: "entry", event: {type: "config", config}})
    this.post(box, {role: "keeper", event: {type: "config", config}})
    this.every(TICK_MS, () => {
      this.post(box, {role: "entry", event: {type: "tick"}})
      this.post(box, {role: "keeper", event: {type: "tick", epochMs: this.now_}})
    })
    this.every(DEFAULT_TIMING.renewMs, () => this.renew(box))
    this.every(200, () => this.publishShares(box))
    if (box >= this.sim_.entries) return
    for (let keeper = 0; keeper < this.sim_.boxes; keeper++) this.connect(box, keeper)
  }

  // Time

  private after(delayMs: number, run: () => void): void {
    this.agenda_.schedule(delayMs, run)
  }

  private every(periodMs: number, run: () => void): void {
    this.after(periodMs * (0.5 + this.draw_()), () => {
      run()
      this.every(periodMs, run)
    })
  }

  /** Delivers an event. Events of a paused box wait in order until it resumes. */
  private post(box: number, given: Parameters<typeof stepBox>[1]): void {
    const until = this.pausedUntil_[box] ?? 0
    if (until > this.now_)
      return this.after(until - this.now_, () => this.post(box, given))
    const options = this.options_[box] as BoxOptions
    const before = this.boxes_[box] as BoxState
    const step = stepBox(before, given, this.now_, options)
    this.boxes_[box] = step.state
    this.observeMessage(box, given, before, step.state)
    for (const effect of step.effects) this.perform(box, effect)
  }

  /**
   * Observes inventories and releases when the keeper accepts them, not when they arrive.
   */
  private observeMessage(
    box: number,
    given: Parameters<typeof stepBox>[1],
    before: BoxState,
    after: BoxState
  ): void {
    if (given.role !== "keeper" || given.event.type !== "message") return
    const {message} = given.event
    const cell = after.keeper.cells.get("cell-1")
    if (message.t === "inventory" && cell?.fence === message.fence)
      this.sim_.observe?.("inventory", box)
    const held = (state: BoxState) =>
      state.keeper.cells.get("cell-1")?.holders.has(`engine-0|${TRACED}`) === true
    if (message.t === "release" && held(before) && !held(after))
      this.sim_.observe?.("release", box)
  }

  // The key-value service

  private renew(box: number): void {
    if ((this.pausedUntil_[box] ?? 0) > this.now_) return
    const isExpired = (this.leaseUntil_[box] ?? 0) < this.now_
    if (isExpired && this.leaseUntil_[box] !== 0) {
      this.post(box, {role: "keeper", event: {type: "lease-lost"}})
    }
    this.leaseUntil_[box] = this.now_ + DEFAULT_TIMING.leaseTtlMs
    this.post(box, {role: "keeper", event: {type: "lease-renewed", sentAt: this.now_}})
  }

  private publishShares(box: number): void {
    const record = {address: "", ops: "", dataCentre: "sala-a"}
    const keepers = new Map<string, typeof record>()
    const entries = new Map<string, typeof record>()
    for (let other = 0; other < this.sim_.boxes; other++) {
      if (other < this.sim_.entries) entries.set(`entry-${other}`, record)
      if ((this.leaseUntil_[other] ?? 0) >= this.now_)
        keepers.set(`keeper-${other}`, record)
    }
    const shares = new Map(this.shares_)
    this.post(box, {role: "keeper", event: {type: "shares", shares, keepers, entries}})
    this.post(box, {role: "entry", event: {type: "shares", shares}})
  }

  // Links

  private connect(entry: number, keeper: number): void {
    const key = `${entry}-${keeper}`
    this.links_.set(key, (this.links_.get(key) ?? 0) + 1)
    const hello = {
      t: "hello" as const,
      protocol: 1,
      role: "entry" as const,
      incarnation: `entry-${entry}`,
      dataCentre: "sala-a",
      generation: 1
    }
    this.post(entry, {
      role: "entry",
      event: {type: "link-up", keeper: `keeper-${keeper}`}
    })
    this.post(keeper, {role: "keeper", event: {type: "link-up", hello}})
  }

  private cut(entry: number, keeper: number): void {
    const key = `${entry}-${keeper}`
    this.links_.set(key, (this.links_.get(key) ?? 0) + 1)
    this.post(entry, {
      role: "entry",
      event: {type: "link-down", keeper: `keeper-${keeper}`}
    })
    this.post(keeper, {
      role: "keeper",
      event: {type: "link-down", entry: `entry-${entry}`}
    })
    this.after(500 + this.draw_() * 3_000, () => this.connect(entry, keeper))
  }

  private sendOverLink(link: string, direction: string, run: () => void): void {
    const epoch = this.links_.get(link)
    const from = Math.max(
      this.now_ + 1 + this.draw_() * 20,
      this.lastArrival_.get(direction) ?? 0
    )
    this.lastArrival_.set(direction, from)
    this.after(from - this.now_, () => {
      if (this.links_.get(link) === epoch) run()
    })
  }

  // Effects

  private perform(box: number, given: BoxEffect): void {
    if (given.role === "entry") return this.performEntry(box, given.effect)
    const {effect} = given
    if (effect.type === "send") {
      const entry = Number(effect.to.slice("entry-".length))
      const {message} = effect
      if (message.t === "grant" && message.model === TRACED)
        this.sim_.observe?.("grant", box)
      this.sendOverLink(`${entry}-${box}`, `k${box}-e${entry}`, () =>
        this.post(entry, {
          role: "entry",
          event: {type: "message", from: `keeper-${box}`, message}
        })
      )
    } else if (effect.type === "order") {
      this.executeOrder(box, effect)
    } else if (effect.type === "change-share") {
      this.changeShare(box, effect.change)
    } else if (effect.type === "took-share") {
      this.takeovers_++
    }
  }

  private changeShare(
    box: number,
    change: Extract<
      Extract<BoxEffect, {role: "keeper"}>["effect"],
      {type: "change-share"}
    >["change"]
  ): void {
    this.after(this.draw_() * 50, () => {
      const {share, owner, fence, expectRevision} = change
      const fits = (this.shares_.get(share)?.revision ?? 0) === expectRevision
      if (fits) this.shares_.set(share, {owner, fence, revision: ++this.revision_})
      if (fits) this.sim_.observe?.("claim", box)
      const lost = this.draw_() < 0.2
      const result = lost
        ? ({result: "unknown"} as const)
        : fits
          ? ({result: "done", revision: this.revision_} as const)
          : ({result: "conflict"} as const)
      this.post(box, {role: "keeper", event: {type: "share-changed", change, result}})
    })
  }

  private performEntry(
    box: number,
    effect: Extract<BoxEffect, {role: "entry"}>["effect"]
  ): void {
    if (effect.type === "send") {
      const keeper = Number(effect.to.slice("keeper-".length))
      const {message} = effect
      this.sendOverLink(`${box}-${keeper}`, `e${box}-k${keeper}`, () =>
        this.post(keeper, {
          role: "keeper",
          event: {type: "message", from: `entry-${box}`, message}
        })
      )
    } else if (effect.type === "dispatch") {
      const model = effect.request.slice(effect.request.indexOf("|") + 1)
      const serve = () => this.serve(box, effect.request, effect.attempt, model)
      if (this.sim_.oneByOne) serve()
      else this.after(this.draw_() * 20, serve)
    } else if (effect.type === "cancel") {
      this.after(this.draw_() * 20, () => {
        this.endRunning(effect.attempt)
        const event = {
          type: "cancelled" as const,
          attempt: effect.attempt,
          confirmed: true
        }
        this.post(box, {role: "entry", event})
      })
    } else if (effect.type === "reset-links") {
      if (box >= this.sim_.entries) return
      for (let keeper = 0; keeper < this.sim_.boxes; keeper++) this.cut(box, keeper)
    }
  }

  // The engine

  private serve(box: number, request: string, attempt: string, model: string): void {
    const end = (result: "ok" | "not-loaded" | "lost") =>
      this.post(box, {
        role: "entry",
        event: {type: "backend-result", request, result, replied: result === "ok"}
      })
    if (!this.loaded_.has(model)) return end("not-loaded")
    if (model === TRACED && !this.isTracedRunning()) this.sim_.observe?.("starts", box)
    this.running_.set(attempt, {box, request, model})
    if (this.draw_() < 0.05)
      return this.after(this.draw_() * REQUEST_MS, () => end("lost"))
    this.after(this.draw_() * REQUEST_MS, () => {
      if (!this.endRunning(attempt)) return
      this.answered_++
      end("ok")
    })
  }

  private endRunning(attempt: string): boolean {
    const wasTracedRunning = this.isTracedRunning()
    const wasRunning = this.running_.delete(attempt)
    if (wasTracedRunning && !this.isTracedRunning()) this.sim_.observe?.("ends", 0)
    return wasRunning
  }

  private isTracedRunning(): boolean {
    return [...this.running_.values()].some(({model}) => model === TRACED)
  }

  private executeOrder(
    box: number,
    given: Extract<Extract<BoxEffect, {role: "keeper"}>["effect"], {type: "order"}>
  ): void {
    const {cell, engine, fence, order} = given
    const sentAt = this.now_
    const answer = (
      result: {ok: true; models?: string[]} | {ok: false; reason: "no-slot"}
    ) =>
      this.after(this.draw_() * 20, () =>
        this.post(box, {
          role: "keeper",
          event: {type: "order-result", cell, engine, fence, order, sentAt, result}
        })
      )
    if (order.order === "unload") {
      this.checkLease(box, order.model)
      if (order.model === TRACED) this.sim_.observe?.("sendUnload", box)
    }
    const delay = order.order === "load" ? LOAD_MS : this.draw_() * 100
    this.after(delay, () => {
      if (order.order === "list") return answer({ok: true, models: [...this.loaded_]})
      if (order.order === "load") {
        const isNew = !this.loaded_.has(order.model)
        const full = this.loaded_.size >= this.sim_.slots && isNew
        if (!full && isNew && order.model === TRACED) this.sim_.observe?.("load", box)
        if (!full) this.loaded_.add(order.model)
        return answer(full ? {ok: false, reason: "no-slot"} : {ok: true})
      }
      if (order.order === "unload") this.unload(order.model)
      answer({ok: true})
    })
  }

  /** Checks guard `leaseCheck` against the key-value service's view of the lease. */
  private checkLease(box: number, model: string): void {
    if ((this.leaseUntil_[box] ?? 0) >= this.now_) return
    this.violations_.push(
      `keeper-${box} unloads ${model} without a lease at ${this.now_}`
    )
  }

  private unload(model: string): void {
    this.unloads_++
    if (model === TRACED) this.sim_.observe?.("unloadArrives", 0)
    this.loaded_.delete(model)
    for (const [attempt, running] of this.running_) {
      if (running.model !== model) continue
      this.violations_.push(`${model} unloaded under ${attempt} at ${this.now_}`)
    }
  }

  // Load and faults

  private sendRequest(): void {
    const model = `base-a/a${Math.floor(this.draw_() * this.sim_.models)}@1`
    const box = Math.floor(this.draw_() * this.sim_.entries)
    const {requests, pendingCancels} = (this.boxes_[box] as BoxState).entry
    if (this.sim_.oneByOne && requests.size + pendingCancels.size > 0) return
    const arrival = {
      request: `r${this.requests_++}|${model}`,
      organisation: "cotejo",
      class: "till" as const,
      target: {kind: "model" as const, model},
      streamed: false,
      repeatable: true,
      body: ""
    }
    this.post(box, {role: "entry", event: {type: "arrive", arrival}})
  }

  private injectFault(): void {
    const {boxes, entries} = this.sim_
    const box = Math.floor(this.draw_() * boxes)
    const kind = this.draw_()
    if (kind < 0.4) this.cut(box % entries, Math.floor(this.draw_() * boxes))
    else if (kind < 0.8) this.pausedUntil_[box] = this.now_ + this.draw_() * 25_000
    else this.restartEngine()
  }

  /** Clears the engine and fails its running requests at their entries. */
  private restartEngine(): void {
    this.sim_.observe?.("restart", 0)
    const broken = [...this.running_.values()]
    this.loaded_.clear()
    this.running_.clear()
    for (const {box, request} of broken) {
      const event = {
        type: "backend-result" as const,
        request,
        result: "lost" as const,
        replied: false
      }
      this.post(box, {role: "entry", event})
    }
  }
}

function makeConfig({slots, models}: SimOptions) {
  const records: SnapshotRecord[] = [
    {
      kind: "organisation",
      id: "cotejo",
      generation: 1,
      value: {keyHashes: [], classes: ["till"], maxInProgress: 100}
    },
    {
      kind: "backend",
      id: "engine-0",
      generation: 1,
      value: {
        kind: "model-engine",
        baseModel: "base-a",
        address: "10.0.0.1:1",
        dataCentre: "sala-a",
        slots,
        maxBatch: 16,
        checksFences: false,
        cell: "cell-1"
      }
    }
  ]
  for (let index = 0; index < models; index++) {
    const adapter = `a${index}`
    const version = {adapter, version: "1", weights: adapter}
    records.push({
      kind: "adapter",
      id: adapter,
      generation: 1,
      value: {baseModel: "base-a", organisation: "cotejo"}
    })
    records.push({kind: "version", id: `${adapter}@1`, generation: 1, value: version})
  }
  return restoreSnapshot(records, 1)
}
