/**
 * Load pattern in one process, without a network: hot adapters on several engines each,
 * and many boxes that select among these engines by load reports that are some time old.
 * The real core of each box and of their leader runs under one simulated clock; engines
 * prefill prompts one after the other.
 *
 * The figures come from a deployment with 195 boxes in front of 55 engines with 6 slots:
 * 238 requests per second, and 1.4 times that on a day of moved demand; adapters follow a
 * Zipf distribution with exponent 1.2; a prompt has 1,800 tokens of its own and a shared
 * prefix of 568, one of 108 prefixes, which an engine keeps in its cache after it has
 * prefilled it for the adapter. An engine prefills 19.2 tokens per millisecond. A first
 * token is on time within 1,002 ms.
 */
import {createBoxServing} from "../../src/core/box-state.js"
import {batchIntervalMs} from "../../src/core/placement-updates.js"
import {nextTickMs, stepRouted} from "../../src/core/serving.js"
import type {RoutedState} from "../../src/core/serving-fleet.js"
import type {RoutedEffect, RoutedEvent} from "../../src/core/serving-events.js"
import {UseCounts} from "../../src/adapters/use-counts.js"
import type {PrefillBacklog} from "../../src/types/box-messages.js"
import {Agenda} from "./agenda.js"
import {CONFIG, drawFrom, LINK_MS, MODEL, recordOf, ROUTE, SERVICE} from "./fleet.js"

export interface StaleLoadsOptions {
  readonly seed: number
  readonly boxes: number
  readonly engines: number
  readonly perSecond: number
  readonly seconds: number
}

export interface StaleLoadsResult {
  readonly requests: number
  /** Requests whose first token came later than the target. */
  readonly late: number
  readonly medianMs: number
  readonly p99Ms: number
  /** Work of the busiest engine, as a multiple of the mean. */
  readonly busiest: number
}

const SLOTS_PER_ENGINE = 6
const ZIPF = 1.2
const OWN_TOKENS = 1_800
const SHARED_TOKENS = 568
const PREFIXES = 108
const PREFILL_TOKENS_PER_MS = 19.2
const TARGET_MS = 1_002
const OUTPUT_MS = 250
/** Earlier requests are simulated but not counted. */
const COUNT_FROM_MS = 3_000
const RETRY = {ratio: 0.2, slack: 430, windowMs: 10_000}

/** Simulates the pattern. */
export function simulateStaleLoads(options: StaleLoadsOptions): StaleLoadsResult {
  return new StaleLoads(options).play()
}

class StaleLoads {
  private readonly agenda_ = new Agenda()
  private readonly draw_
  private readonly boxes_: RoutedState[] = []
  private readonly uses_: UseCounts[] = []
  /** Time at which each engine completes the prefill of all its requests. */
  private readonly freeAt_: number[]
  private readonly work_: number[]
  private readonly holders_: number[][]
  private readonly popularity_: number[]
  private readonly prefixOf_ = new Map<string, string>()
  /** Cached prefixes of each engine, by adapter and prefix. */
  private readonly cachedPrefixes_: Set<string>[]
  private readonly arrivedAt_ = new Map<string, number>()
  private readonly waits_: number[] = []
  private requests_ = 0

  constructor(private readonly options_: StaleLoadsOptions) {
    const {engines, seed} = options_
    this.draw_ = drawFrom(seed)
    this.freeAt_ = Array.from({length: engines}, () => 0)
    this.cachedPrefixes_ = Array.from({length: engines}, () => new Set())
    this.work_ = Array.from({length: engines}, () => 0)
    const {holders, popularity} = assignSlots(engines)
    this.holders_ = holders
    this.popularity_ = popularity
  }

  play(): StaleLoadsResult {
    const {boxes, seconds} = this.options_
    for (let i = 0; i < boxes; i++) this.startBox(i)
    this.step(0, {type: "lead"})
    for (let i = 0; i < boxes; i++) this.scheduleTick(i)
    this.scheduleArrival()
    this.agenda_.runUntil(seconds * 1000)
    const waits = this.waits_.sort((a, b) => a - b)
    const mean = this.work_.reduce((sum, work) => sum + work, 0) / this.work_.length
    return {
      requests: waits.length,
      late: waits.filter(ms => ms > TARGET_MS).length,
      medianMs: waits[Math.floor(waits.length / 2)] ?? 0,
      p99Ms: waits[Math.floor(waits.length * 0.99)] ?? 0,
      busiest: Math.max(...this.work_) / mean
    }
  }

  private startBox(index: number): void {
    const {boxes, engines} = this.options_
    const serving = createBoxServing({
      dataCentre: `dc-${index % 5}`,
      retry: RETRY,
      handoverMs: 3_200,
      random: this.draw_
    })
    const state: RoutedState = {serving, fleet: undefined}
    this.boxes_.push(state)
    this.uses_.push(new UseCounts())
    const records = Array.from({length: engines}, (_, i) => recordOf(i))
    const slots = records.map((_, engine) =>
      this.holders_.flatMap((holders, adapter) =>
        holders.includes(engine)
          ? [{adapter: `${MODEL}/a${adapter}`, version: 1, readyInMs: 0}]
          : []
      )
    )
    const snapshots = records.map(({id}, i) => ({
      engine: id,
      models: [MODEL],
      places: slots[i] ?? []
    }))
    const events: RoutedEvent[] = [
      {type: "config", config: CONFIG},
      {type: "backends", records, reading: {source: "store", readAt: 0}},
      {type: "boxes", boxes},
      {type: "orders", hasLeader: true, inMs: 0},
      {type: "engines", engines: snapshots}
    ]
    for (const event of events) stepRouted(state, event, 0)
  }

  private scheduleTick(box: number): void {
    const waitMs = nextTickMs(this.boxes_[box] as RoutedState)
    this.agenda_.schedule(waitMs, () => {
      this.step(box, {type: "tick", mayOrder: false})
      this.scheduleTick(box)
    })
  }

  private scheduleArrival(): void {
    const gapMs = (-Math.log(1 - this.draw_()) * 1000) / this.options_.perSecond
    this.agenda_.schedule(gapMs, () => {
      this.arrive()
      this.scheduleArrival()
    })
  }

  private arrive(): void {
    const id = `q${this.requests_++}`
    this.arrivedAt_.set(id, this.agenda_.now)
    const box = Math.floor(this.draw_() * this.options_.boxes)
    const adapter = `a${drawIndex(this.popularity_, this.draw_())}`
    const prefix = `b${Math.floor(this.draw_() * PREFIXES)}`
    this.prefixOf_.set(id, `${adapter} ${prefix}`)
    const arrival = {
      id,
      name: id,
      route: ROUTE,
      service: SERVICE,
      weights: {model: MODEL, adapter},
      tokens: OWN_TOKENS + SHARED_TOKENS,
      rank: ROUTE.priority,
      prefix: {key: prefix, tokens: SHARED_TOKENS},
      deadlineMs: 5_000
    }
    this.step(box, {type: "arrive", arrival})
  }

  private step(box: number, event: RoutedEvent): void {
    const state = this.boxes_[box] as RoutedState
    const {effects} = stepRouted(state, event, this.agenda_.now)
    for (const effect of effects) this.perform(box, effect)
  }

  private perform(box: number, effect: RoutedEffect): void {
    if (effect.type === "send") {
      return this.send(box, effect.id, effect.attempt, Number(effect.backend.id.slice(1)))
    }
    if (effect.type === "use") return this.recordUse(box, effect.change)
    if (effect.type === "loads") this.broadcastLoads(effect.loads)
    // Slots do not change in this pattern.
    if (effect.type === "places" && effect.loads) this.broadcastLoads(effect.loads)
  }

  private broadcastLoads(loads: PrefillBacklog): void {
    this.agenda_.schedule(LINK_MS, () => {
      for (let i = 0; i < this.boxes_.length; i++) this.step(i, {type: "loads", loads})
    })
  }

  /**
   * Sends the usage deltas of a box to the leader in batches, as a box does over its
   * link.
   */
  private recordUse(box: number, change: Parameters<UseCounts["add"]>[0]): void {
    const uses = this.uses_[box] as UseCounts
    if (!uses.add(change)) return
    this.agenda_.schedule(batchIntervalMs(this.options_.boxes) + LINK_MS, () => {
      this.step(0, {type: "uses", box: String(box), changes: uses.drain()})
    })
  }

  private prefillTokens(id: string, engine: number): number {
    const cached = this.cachedPrefixes_[engine] as Set<string>
    const prefix = this.prefixOf_.get(id) ?? ""
    if (cached.has(prefix)) return OWN_TOKENS
    cached.add(prefix)
    return OWN_TOKENS + SHARED_TOKENS
  }

  private send(box: number, id: string, attempt: number, engine: number): void {
    const {now} = this.agenda_
    this.step(box, {type: "started", id, attempt})
    const prefillMs = this.prefillTokens(id, engine) / PREFILL_TOKENS_PER_MS
    const firstTokenAt = Math.max(now + LINK_MS, this.freeAt_[engine] ?? 0) + prefillMs
    this.freeAt_[engine] = firstTokenAt
    if (now >= COUNT_FROM_MS) this.work_[engine] = (this.work_[engine] ?? 0) + prefillMs
    this.agenda_.schedule(firstTokenAt - now, () => {
      const arrivedAt = this.arrivedAt_.get(id) ?? 0
      if (arrivedAt >= COUNT_FROM_MS) this.waits_.push(this.agenda_.now - arrivedAt)
      this.step(box, {type: "heard", id, attempt})
    })
    this.agenda_.schedule(firstTokenAt - now + OUTPUT_MS, () =>
      this.step(box, {type: "done", id, attempt})
    )
  }
}

/**
 * Distributes the slots by demand. Returns the engines and the share of requests of each
 * adapter.
 */
function assignSlots(engines: number): {holders: number[][]; popularity: number[]} {
  const adapters = engines * 3
  const weights = Array.from({length: adapters}, (_, i) => (i + 1) ** -ZIPF)
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  const popularity = weights.map(weight => weight / total)
  const holders: number[][] = weights.map(() => [])
  const expected = Array.from({length: engines}, () => 0)
  const usedSlots = Array.from({length: engines}, () => 0)
  for (let slot = 0; slot < engines * SLOTS_PER_ENGINE; slot++) {
    const adapter =
      slot < adapters
        ? slot
        : argMax(popularity.map((p, i) => p / (holders[i]?.length ?? 1)))
    const held = holders[adapter] as number[]
    const share = (popularity[adapter] ?? 0) / (held.length + 1)
    const costs = expected.map((work, i) =>
      (usedSlots[i] ?? 0) >= SLOTS_PER_ENGINE || held.includes(i) ? Infinity : work
    )
    const engine = argMax(costs.map(cost => -cost))
    if (costs[engine] === Infinity) continue
    for (const holder of held)
      expected[holder] = (expected[holder] ?? 0) - share / held.length
    held.push(engine)
    expected[engine] = (expected[engine] ?? 0) + share
    usedSlots[engine] = (usedSlots[engine] ?? 0) + 1
  }
  return {holders, popularity}
}

function argMax(values: readonly number[]): number {
  let best = 0
  for (const [i, value] of values.entries())
    if (value > (values[best] ?? -Infinity)) best = i
  return best
}

function drawIndex(shares: readonly number[], value: number): number {
  let left = value
  for (const [i, share] of shares.entries()) {
    left -= share
    if (left < 0) return i
  }
  return shares.length - 1
}
