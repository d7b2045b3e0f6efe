/**
 * A load pattern in one process, without a network: demand moves to adapters that one engine holds, while
 * requests for cold adapters never cease. The real placement of a leader runs under a simulated clock.
 *
 * Grounds for the figures, from a played day of a deployment of 83 boxes before 98 engines of 5 places: some
 * 280 requests a second for engines, 1,800 tokens each; 130 a second of them for adapters that hardly anybody
 * else asks for; demand moves every few seconds, to adapters of 10 to 55 requests a second; an engine
 * reads 19.2 tokens a millisecond; an adapter comes from the weight store in 288 ms.
 */
import {drainFleet, planFleet} from "../../src/core/placement.js"
import {handleOrderResult} from "../../src/core/placement-orders.js"
import {handleLateWeights, applyEngineReport} from "../../src/core/placement-reports.js"
import {
  createFleet,
  type Fleet,
  type FleetEffect
} from "../../src/core/placement-state.js"
import {
  removeWeightsRequest,
  updateEngines,
  handleWeightsRequest,
  applyUseDeltas
} from "../../src/core/placement-uses.js"
import type {FleetService} from "../../src/types/fleet.js"
import {createRandom, uniformFloat64} from "../../src/utils/random.js"
import {Agenda} from "./agenda.js"

export interface MovedDemandOptions {
  readonly seed: number
  readonly engines: number
  readonly coldPerSecond: number
  /** Requests a second for each adapter that is hot from the start of the count on. */
  readonly hotPerSecond: readonly number[]
  readonly seconds: number
}

export interface MovedDemandResult {
  readonly hot: number
  /** Of the requests for hot adapters, those that waited for longer at their engine. */
  readonly slow: number
  readonly loads: number
}

const MODEL = "base"
const TOKENS = 1_800
const TOKENS_PER_MS = 19.2
const LOAD_MS = 288
const ORDER_MS = 2
const REPORT_MS = 3
/** Until a leader knows of what boxes began and ended, on average, milliseconds. */
const TOLD_MS = 125
/** Tokens come out for so long after the first, milliseconds. */
const RUN_MS = 300
const PLAN_MS = 10
/** Places are full of cold adapters by then, seconds. */
const CALM_S = 6
export const SLOW_MS = 700

const SERVICE: FleetService = {
  name: "engines",
  maxConnections: 950,
  engine: {
    models: [{name: MODEL, weightsMb: 34_300, adapterMb: 40}],
    weightsMb: 35_200,
    maxAdapters: 5,
    loadsPerSecond: 40,
    batch: 96
  }
}

/** Plays the pattern. */
export function playMovedDemand(options: MovedDemandOptions): MovedDemandResult {
  return new MovedDemand(options).play()
}

interface Engine {
  readonly held: Set<string>
  readonly pending: Set<string>
  sequence: number
  busyUntil: number
}

class MovedDemand {
  private readonly agenda_ = new Agenda()
  private readonly fleet_: Fleet
  private readonly engines_ = new Map<string, Engine>()
  private random_
  private asked_ = 0
  private hot_ = 0
  private slow_ = 0
  private loads_ = 0

  constructor(private readonly options_: MovedDemandOptions) {
    this.random_ = createRandom(options_.seed)
    this.fleet_ = createFleet(0)
    this.fleet_.boxCount = 83
    const listed = Array.from({length: options_.engines}, (_, i) => ({
      id: `e${i}`,
      server: `e${i}`,
      service: "engines",
      dataCentre: "a",
      leaving: false
    }))
    updateEngines(this.fleet_, new Map([["engines", SERVICE]]), listed, 0)
    for (const {id} of listed) {
      const engine = {held: new Set<string>(), pending: new Set<string>()}
      this.engines_.set(id, {...engine, sequence: 0, busyUntil: 0})
      this.report(id)
    }
  }

  play(): MovedDemandResult {
    const {seconds, hotPerSecond} = this.options_
    this.plan()
    this.cold()
    this.agenda_.later(CALM_S * 1000, () => {
      hotPerSecond.forEach((perSecond, i) => this.hot(`hot-${i}`, perSecond))
    })
    this.agenda_.runUntil((CALM_S + seconds) * 1000)
    return {hot: this.hot_, slow: this.slow_, loads: this.loads_}
  }

  private draw(): number {
    const [value, next] = uniformFloat64(this.random_)
    this.random_ = next
    return value
  }

  private every(perSecond: number, act: () => void): void {
    this.agenda_.later((-Math.log(1 - this.draw()) / perSecond) * 1000, () => {
      act()
      this.every(perSecond, act)
    })
  }

  private plan(): void {
    planFleet(this.fleet_, true, this.agenda_.now)
    for (const effect of drainFleet(this.fleet_)) this.perform(effect)
    this.agenda_.later(PLAN_MS, () => this.plan())
  }

  private perform(effect: FleetEffect): void {
    if (effect.type === "ask")
      this.agenda_.later(REPORT_MS, () => this.report(effect.engine))
    if (effect.type !== "order") return
    const {engine: id, order} = effect
    const engine = this.engines_.get(id) as Engine
    const name = order.adapter ?? ""
    engine.sequence++
    if (order.operation === "unload") engine.held.delete(name)
    else {
      this.loads_++
      engine.pending.add(name)
      this.agenda_.later(LOAD_MS, () => {
        engine.pending.delete(name)
        engine.held.add(name)
      })
    }
    const result = order.operation === "unload" ? "done" : "accepted"
    this.agenda_.later(ORDER_MS, () =>
      handleOrderResult(this.fleet_, id, result, this.agenda_.now)
    )
  }

  private report(id: string): void {
    const {held, pending, sequence} = this.engines_.get(id) as Engine
    const adapters = new Map([...held].map(name => [name, 1] as const))
    const coming = [...pending].map(name => ({adapter: `${MODEL}/${name}`, version: 1}))
    const models = [{name: MODEL, adapters}]
    const report = {sequence, busy: false, models, pending: coming}
    applyEngineReport(this.fleet_, id, report, this.agenda_.now)
  }

  private cold(): void {
    this.every(this.options_.coldPerSecond, () =>
      this.request(`cold-${this.asked_}`, false)
    )
  }

  private hot(adapter: string, perSecond: number): void {
    this.every(perSecond, () => this.request(adapter, true))
  }

  private request(adapter: string, hot: boolean): void {
    const request = `r${this.asked_++}`
    if (hot) this.hot_++
    if (this.send(adapter, hot)) return
    const need = {
      request,
      service: "engines",
      model: MODEL,
      adapter,
      priority: 1,
      inTimeMs: 1_000,
      waitMs: 2_000,
      tokens: TOKENS,
      failedAt: []
    }
    handleWeightsRequest(this.fleet_, "box", need, this.agenda_.now)
    this.wait(request, adapter, hot)
  }

  private wait(request: string, adapter: string, hot: boolean): void {
    this.agenda_.later(PLAN_MS, () => {
      if (this.send(adapter, hot)) removeWeightsRequest(this.fleet_, "box", request)
      else this.wait(request, adapter, hot)
    })
  }

  /** Sends to the engine with the least work among those that hold the adapter. */
  private send(adapter: string, hot: boolean): boolean {
    const {now} = this.agenda_
    const holders = [...this.engines_].filter(([, {held}]) => held.has(adapter))
    holders.sort(([, a], [, b]) => a.busyUntil - b.busyUntil)
    const [first] = holders
    if (!first) {
      this.tryEarly(adapter)
      return false
    }
    const [id, engine] = first
    const firstAt = Math.max(now, engine.busyUntil) + TOKENS / TOKENS_PER_MS
    engine.busyUntil = firstAt
    if (hot && firstAt - now > SLOW_MS) this.slow_++
    this.tell(0, id, adapter, {begun: 1, ended: 0, tokens: TOKENS})
    this.tell(firstAt - now, id, adapter, {begun: 0, ended: 0, tokens: -TOKENS})
    this.tell(firstAt - now + RUN_MS, id, adapter, {begun: 0, ended: 1, tokens: 0})
    return true
  }

  /** A box sends where the leader believes the weights to be: an engine that has them not yet refuses. */
  private tryEarly(adapter: string): void {
    const {now} = this.agenda_
    const key = `${MODEL}/${adapter}`
    for (const {id, slots: places} of this.fleet_.engines.values()) {
      const place = places.get(key)
      if (place?.phase === "loading" && place.readyAt <= now) {
        handleLateWeights(this.fleet_, id, key, now)
      }
    }
  }

  private tell(
    afterMs: number,
    engine: string,
    adapter: string,
    use: {readonly begun: number; readonly ended: number; readonly tokens: number}
  ): void {
    this.agenda_.later(afterMs + TOLD_MS, () => {
      const change = {engine, adapter: `${MODEL}/${adapter}`, ...use}
      applyUseDeltas(this.fleet_, "box", [change], this.agenda_.now)
    })
  }
}
