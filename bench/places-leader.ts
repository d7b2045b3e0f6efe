/** A leader's placement by the real core, before engines that take orders and hold some adapters. */
import {drainFleet, planFleet} from "../src/core/placement.js"
import {takeOrderResult} from "../src/core/placement-orders.js"
import {takeReport} from "../src/core/placement-reports.js"
import {
  createFleet,
  type FleetEffect,
  type FleetOrder
} from "../src/core/placement-state.js"
import {dropNeed, takeEngines, takeNeed, takeUses} from "../src/core/placement-uses.js"
import type {WeightsRequest, EngineUseDelta} from "../src/types/box-messages.js"
import type {FleetService} from "../src/types/fleet.js"

export const MODEL = "base"
export const SERVICE_NAME = "engines"
const PLACES = 9
const STORE_LOAD_MS = 250
const COPY_LOAD_MS = 20
const ORDER_MS = 3
/** Between two turns: while something new may let an order be given, while requests wait, otherwise. */
const PLAN_MS = 3
const WAITING_MS = 20
const IDLE_MS = 100
const ASK_MS = 3

const SERVICE: FleetService = {
  name: SERVICE_NAME,
  maxConnections: 100,
  engine: {
    models: [{name: MODEL, weightsMb: 16_100, adapterMb: 14}],
    weightsMb: 16_500,
    maxAdapters: PLACES,
    loadsPerSecond: 2,
    batch: 96
  }
}

interface Engine {
  readonly held: Set<string>
  /** On their way to it. */
  readonly coming: Set<string>
  /** Adapters held before: their copies are near. */
  readonly near: Set<string>
  sequence: number
}

export interface LeaderOptions {
  readonly boxes: number
  readonly engines: number
  /** The adapter that is asked for next, by its popularity. */
  readonly drawAdapter: () => string
  /** Calls back after so many milliseconds of simulated time. */
  readonly after: (ms: number, act: () => void) => void
  readonly now: () => number
}

export class BenchLeader {
  readonly fleet = createFleet(0)
  /** Processor time of the core's decisions, milliseconds. */
  coreMs = 0
  loads = 0
  /** When an order changed a place of which boxes were not told yet, by engine and adapter. */
  readonly orderedAt = new Map<string, number>()
  private readonly engines_ = new Map<string, Engine>()
  private plannedAt_ = -Infinity

  constructor(private readonly options_: LeaderOptions) {
    const listed = Array.from({length: options_.engines}, (_, i) => ({
      id: `i-${i.toString(16).padStart(10, "0")}`,
      server: `i-${i.toString(16).padStart(10, "0")}`,
      service: SERVICE_NAME,
      dataCentre: "a",
      leaving: false
    }))
    takeEngines(this.fleet, new Map([[SERVICE_NAME, SERVICE]]), listed, 0)
    this.fleet.boxes = options_.boxes
    for (const {id} of listed) {
      const held = new Set<string>()
      while (held.size < PLACES) held.add(options_.drawAdapter())
      this.engines_.set(id, {
        held,
        coming: new Set(),
        near: new Set(held),
        sequence: 0
      })
      this.report(id)
    }
    this.plan()
  }

  resetCounts(): void {
    this.coreMs = 0
    this.loads = 0
  }

  takeNeed(box: string, need: WeightsRequest): void {
    this.fleet.unplanned = true
    this.measure(() => takeNeed(this.fleet, box, need, this.options_.now()))
  }

  dropNeed(box: string, request: string): void {
    this.measure(() => dropNeed(this.fleet, box, request))
  }

  takeUses(box: string, changes: readonly EngineUseDelta[]): void {
    this.fleet.unplanned = true
    this.measure(() => takeUses(this.fleet, box, changes, this.options_.now()))
  }

  /** The turn that is due, if one is; what it tells boxes. */
  planIfDue(): readonly FleetEffect[] {
    const {unplanned, waiting} = this.fleet
    const gap = waiting.size === 0 ? IDLE_MS : unplanned ? PLAN_MS : WAITING_MS
    return this.options_.now() - this.plannedAt_ < gap ? [] : this.plan()
  }

  private plan(): readonly FleetEffect[] {
    this.plannedAt_ = this.options_.now()
    const effects = this.measure(() => {
      planFleet(this.fleet, true, this.options_.now())
      return drainFleet(this.fleet)
    })
    for (const effect of effects) {
      if (effect.type === "ask") {
        this.options_.after(ASK_MS, () => this.report(effect.engine))
      } else if (effect.type === "order") this.carryOut(effect.engine, effect.order)
    }
    return effects
  }

  private carryOut(id: string, order: FleetOrder): void {
    const engine = this.engines_.get(id)
    const {adapter} = order
    if (!engine || adapter === undefined) return
    const loads = order.operation === "load"
    this.orderedAt.set(`${id} ${MODEL}/${adapter}`, this.options_.now())
    this.options_.after(ORDER_MS, () => {
      engine.sequence++
      if (loads) this.load(engine, adapter)
      else engine.held.delete(adapter)
      const result = loads ? "accepted" : "done"
      this.measure(() => takeOrderResult(this.fleet, id, result, this.options_.now()))
    })
  }

  private load(engine: Engine, adapter: string): void {
    this.loads++
    engine.coming.add(adapter)
    this.options_.after(engine.near.has(adapter) ? COPY_LOAD_MS : STORE_LOAD_MS, () => {
      engine.coming.delete(adapter)
      engine.near.add(adapter)
      engine.held.add(adapter)
    })
  }

  private report(id: string): void {
    const engine = this.engines_.get(id)
    if (!engine) return
    const adapters = new Map([...engine.held].map(adapter => [adapter, 1]))
    const report = {
      sequence: engine.sequence,
      busy: false,
      models: [{name: MODEL, adapters}],
      pending: [...engine.coming].map(adapter => ({
        adapter: `${MODEL}/${adapter}`,
        version: 1
      }))
    }
    this.measure(() => takeReport(this.fleet, id, report, this.options_.now()))
  }

  private measure<T>(act: () => T): T {
    const begun = performance.now()
    const result = act()
    this.coreMs += performance.now() - begun
    return result
  }
}
