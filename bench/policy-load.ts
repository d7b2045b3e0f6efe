/**
 * Simulates a load on one cell: the keeper's real core with fake engines in simulated
 * time. There is no network and no box, so messages arrive at once. Engines batch in
 * steps, need time to load within the weight store's budget, fail some loads, and one
 * restarts empty.
 */
import {build, type Histogram} from "hdr-histogram-js"
import {restoreSnapshot} from "../src/core/configuration.js"
import type {KeeperEffect} from "../src/core/keeper-state.js"
import type {Policy} from "../src/core/policy.js"
import {BUILT_IN_POLICY, DEFAULT_TIMING} from "../src/index.js"
import type {EntryMessage} from "../src/types/messages.js"
import type {SnapshotRecord} from "../src/types/config.js"
import {BenchKeeper} from "./owned-keeper.js"
import {createRandomSource, createZipf} from "./workload.js"

export interface Deployment {
  readonly name: string
  readonly engines: number
  readonly loadsPerSecond: number
  readonly loadsAtOnce: number
  readonly requestsPerSecond: number
}

export interface LoadReport {
  readonly stalls: Histogram
  /** Stalls of the class `till`. */
  readonly urgentStalls: Histogram
  /** Stalls in the 30 s after the popularity has shifted. */
  readonly shiftStalls: Histogram
  /** Running requests as a fraction of the batch, averaged over the time with any. */
  readonly batchFill: number
  readonly answered: number
  readonly refused: number
  readonly loads: number
}

/** A request, drawn before the run so that all policies of a seed get the same load. */
export interface Arrival {
  readonly at: number
  readonly model: string
  readonly urgent: boolean
  readonly tokens: number
}

type Order = Extract<KeeperEffect, {type: "order"}>

const ADAPTERS = 5_000
const SLOTS = 6
const MAX_BATCH = 96
const ZIPF = 1.2
const RUN_MS = 180_000
/** Nothing is counted before, while the engines warm up. */
const WARM_MS = 40_000
const RESTART_MS = 70_000
const SHIFT_MS = 110_000
const SHIFT_SPAN_MS = 30_000
const STEP_MS = 9.47
const STEP_MS_PER_REQUEST = 0.0275
const LOAD_MS = 500
const LOAD_FAILURE_RATIO = 0.02
const TICK_MS = 50
const URGENT_PATIENCE_MS = 5_000
const PATIENCE_MS = 60_000

/** Draws a load by Zipf's law. After `SHIFT_MS` other adapters are the popular ones. */
export function drawArrivals(seed: number, deployment: Deployment): Arrival[] {
  const draw = createRandomSource(seed)
  const zipf = createZipf(ADAPTERS, ZIPF, draw)
  const arrivals: Arrival[] = []
  let at = 0
  while (at < RUN_MS) {
    at += (-Math.log(1 - draw()) * 1_000) / deployment.requestsPerSecond
    const rank = at < SHIFT_MS ? zipf() : (zipf() + ADAPTERS / 2) % ADAPTERS
    const tokens = 20 + Math.floor(draw() * 160)
    arrivals.push({at, model: `base/a${rank}@1`, urgent: draw() < 0.5, tokens})
  }
  return arrivals
}

export function runLoad(
  arrivals: readonly Arrival[],
  deployment: Deployment,
  policy: Policy,
  seed: number
): LoadReport {
  return new PolicyLoad(arrivals, deployment, policy, seed).run()
}

class PolicyLoad {
  private readonly keeper_: BenchKeeper
  private readonly queue_: {at: number; run: () => void}[] = []
  private readonly draw_: () => number
  private readonly loaded_ = new Map<string, Set<string>>()
  private readonly running_ = new Map<string, Map<string, string>>()
  private readonly arrivalsByRequest_ = new Map<string, Arrival>()
  private readonly report_ = {answered: 0, refused: 0, loads: 0}
  private readonly stalls_ = build()
  private readonly urgentStalls_ = build()
  private readonly shiftStalls_ = build()
  private isStarted_ = false
  private filledMs_ = 0
  private busyMs_ = 0

  constructor(
    private readonly arrivals_: readonly Arrival[],
    deployment: Deployment,
    policy: Policy,
    seed: number
  ) {
    this.draw_ = createRandomSource(seed + 1_000)
    const {loadsPerSecond, loadsAtOnce, engines} = deployment
    const options = {
      self: "keeper-0",
      timing: DEFAULT_TIMING,
      registerShards: 0,
      loadsPerSecond,
      loadsAtOnce,
      findPolicy: () => policy,
      builtInPolicy: BUILT_IN_POLICY
    }
    this.keeper_ = new BenchKeeper(options, makeConfig(engines))
    for (let engine = 0; engine < engines; engine++) {
      this.loaded_.set(`engine-${engine}`, new Set())
      this.running_.set(`engine-${engine}`, new Map())
    }
  }

  run(): LoadReport {
    this.arrivals_.forEach((arrival, index) =>
      this.after(arrival.at, () => this.sendAsk(`r${index}`, arrival))
    )
    this.after(RESTART_MS, () => this.restart("engine-0"))
    for (let at = 0; at < RUN_MS; at += TICK_MS) this.after(at, () => this.tick())
    this.queue_.sort((a, b) => a.at - b.at)
    this.isStarted_ = true
    for (let next = this.queue_.shift(); next; next = this.queue_.shift()) {
      this.keeper_.now = next.at
      next.run()
    }
    const {stalls_: stalls, urgentStalls_: urgentStalls} = this
    const {shiftStalls_: shiftStalls} = this
    return {
      ...this.report_,
      stalls,
      urgentStalls,
      shiftStalls,
      batchFill: this.filledMs_ / this.busyMs_
    }
  }

  /** Inserts in time order. Most events are due soon and belong near the front. */
  private after(delayMs: number, run: () => void): void {
    const at = this.keeper_.now + delayMs
    const position = this.isStarted_ ? this.queue_.findIndex(event => event.at > at) : -1
    this.queue_.splice(position < 0 ? this.queue_.length : position, 0, {at, run})
  }

  private tick(): void {
    const {now} = this.keeper_
    this.executeEffects(this.keeper_.step({type: "lease-renewed", sentAt: now}))
    this.executeEffects(this.keeper_.step({type: "tick", epochMs: now}))
    for (const running of this.running_.values()) {
      if (running.size === 0 || now < WARM_MS) continue
      this.busyMs_ += TICK_MS
      this.filledMs_ += (TICK_MS * running.size) / MAX_BATCH
    }
  }

  private sendToKeeper(message: EntryMessage): void {
    this.executeEffects(this.keeper_.step({type: "message", from: "entry-0", message}))
  }

  private sendAsk(request: string, arrival: Arrival): void {
    this.arrivalsByRequest_.set(request, arrival)
    this.sendToKeeper({
      t: "ask",
      cell: "cell-1",
      request,
      organisation: "t",
      class: arrival.urgent ? "till" : "overnight",
      model: arrival.model,
      patienceMs: arrival.urgent ? URGENT_PATIENCE_MS : PATIENCE_MS
    })
  }

  private executeEffects(effects: readonly KeeperEffect[]): void {
    for (const effect of effects) {
      if (effect.type === "order") this.executeOrder(effect)
      else if (effect.type === "send") this.handleMessage(effect.message)
    }
  }

  private handleMessage(message: Extract<KeeperEffect, {type: "send"}>["message"]): void {
    const {now} = this.keeper_
    if (message.t === "refuse") {
      if (now > WARM_MS) this.report_.refused++
    } else if (message.t === "grant") {
      if (now > WARM_MS) this.countStall(message.request, message.stallMs)
      this.serve(message.request, message.engine, message.model)
    } else if (message.t === "recall") {
      this.after(1, () => this.release(message.engine, message.model))
    }
  }

  private countStall(request: string, stallMs: number): void {
    const {now} = this.keeper_
    this.stalls_.recordValue(Math.round(stallMs))
    if (this.arrivalsByRequest_.get(request)?.urgent)
      this.urgentStalls_.recordValue(Math.round(stallMs))
    const sinceShift = now - SHIFT_MS
    if (sinceShift > 0 && sinceShift < SHIFT_SPAN_MS) {
      this.shiftStalls_.recordValue(Math.round(stallMs))
    }
  }

  private serve(request: string, engine: string, model: string): void {
    if (!this.loaded_.get(engine)?.has(model)) {
      return this.after(1, () => this.sendDone(request, engine, "not-loaded"))
    }
    const running = this.running_.get(engine)
    running?.set(request, model)
    const stepMs = STEP_MS + STEP_MS_PER_REQUEST * (running?.size ?? 0)
    const tokens = this.arrivalsByRequest_.get(request)?.tokens ?? 0
    this.after(tokens * stepMs, () => {
      if (!running?.delete(request)) return
      if (this.keeper_.now > WARM_MS) this.report_.answered++
      this.sendDone(request, engine, "ok")
    })
  }

  private sendDone(request: string, engine: string, result: "ok" | "not-loaded"): void {
    this.sendToKeeper({t: "done", cell: "cell-1", request, engine, result})
    const arrival = this.arrivalsByRequest_.get(request)
    if (result === "not-loaded" && arrival) this.sendAsk(`${request}+`, arrival)
  }

  private release(engine: string, model: string): void {
    const isInUse = [...(this.running_.get(engine)?.values() ?? [])].includes(model)
    if (isInUse) return
    const grant = Number.MAX_SAFE_INTEGER
    this.sendToKeeper({t: "release", cell: "cell-1", fence: 1, engine, model, grant})
  }

  private executeOrder({cell, engine, fence, order}: Order): void {
    const sentAt = this.keeper_.now
    const loaded = this.loaded_.get(engine)
    const answer = (delayMs: number, act: () => object) =>
      this.after(delayMs, () => {
        const result = act() as never
        const event = {type: "order-result" as const, cell, engine, fence}
        this.executeEffects(this.keeper_.step({...event, order, sentAt, result}))
      })
    if (order.order === "list") answer(1, () => ({ok: true, models: [...(loaded ?? [])]}))
    if (order.order === "unload") answer(1, () => ({ok: loaded?.delete(order.model)}))
    if (order.order !== "load") return
    answer(LOAD_MS, () => {
      if (this.draw_() < LOAD_FAILURE_RATIO) return {ok: false, reason: "failed"}
      this.report_.loads++
      loaded?.add(order.model)
      return {ok: true}
    })
  }

  private restart(engine: string): void {
    this.loaded_.get(engine)?.clear()
    for (const request of this.running_.get(engine)?.keys() ?? []) {
      this.sendDone(request, engine, "not-loaded")
    }
    this.running_.get(engine)?.clear()
  }
}

function makeConfig(engines: number) {
  const records: SnapshotRecord[] = []
  for (let index = 0; index < engines; index++) {
    const value = {
      kind: "model-engine" as const,
      baseModel: "base",
      address: `10.0.0.${index}:1`,
      dataCentre: "a",
      slots: SLOTS,
      maxBatch: MAX_BATCH,
      checksFences: true,
      cell: "cell-1"
    }
    records.push({kind: "backend", id: `engine-${index}`, generation: 1, value})
  }
  for (let index = 0; index < ADAPTERS; index++) {
    const adapter = `a${index}`
    const value = {adapter, version: "1", weights: adapter}
    const owner = {baseModel: "base", organisation: "t"}
    records.push({kind: "adapter", id: adapter, generation: 1, value: owner})
    records.push({kind: "version", id: `${adapter}@1`, generation: 1, value})
  }
  return restoreSnapshot(records, 1)
}
