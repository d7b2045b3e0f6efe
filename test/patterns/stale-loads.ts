/**
 * A load pattern in one process, without a network: hot adapters on several engines each, and many boxes
 * that choose among them by loads that were told some time ago. The real core of each box and of their
 * leader runs under one simulated clock; engines read prompts one after the other.
 *
 * Grounds for the figures, from a deployment of 195 boxes before 55 engines with 6 places: 238 requests a second and
 * 1.4 times that on a day of moved demand; adapters by Zipf 1.2; a prompt of 1,800 tokens of its own and
 * 568 shared, in one of 108 beginnings, which an engine that has read it for the adapter keeps; an
 * engine reads 19.2 tokens a millisecond; first answers are in time within 1,002 ms.
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
  /** First answers later than the target. */
  readonly late: number
  readonly medianMs: number
  readonly p99Ms: number
  /** Work at the busiest engine against the mean. */
  readonly busiest: number
}

const PLACES = 6
const ZIPF = 1.2
const OWN_TOKENS = 1_800
const SHARED_TOKENS = 568
const BEGINNINGS = 108
const TOKENS_PER_MS = 19.2
const TARGET_MS = 1_002
const WRITE_MS = 250
/** Requests before are played and not counted, milliseconds. */
const COUNT_FROM_MS = 3_000
const RETRY = {ratio: 0.2, slack: 430, windowMs: 10_000}

/** Plays the pattern. */
export function playStaleLoads(options: StaleLoadsOptions): StaleLoadsResult {
  return new StaleLoads(options).play()
}

class StaleLoads {
  private readonly agenda_ = new Agenda()
  private readonly draw_
  private readonly boxes_: RoutedState[] = []
  private readonly uses_: UseCounts[] = []
  /** When each engine has read all that reached it. */
  private readonly freeAt_: number[]
  private readonly work_: number[]
  private readonly holders_: number[][]
  private readonly popularity_: number[]
  private readonly beginningOf_ = new Map<string, string>()
  /** What each engine has read, by adapter and beginning. */
  private readonly kept_: Set<string>[]
  private readonly arrivedAt_ = new Map<string, number>()
  private readonly waits_: number[] = []
  private requests_ = 0

  constructor(private readonly options_: StaleLoadsOptions) {
    const {engines, seed} = options_
    this.draw_ = drawFrom(seed)
    this.freeAt_ = Array.from({length: engines}, () => 0)
    this.kept_ = Array.from({length: engines}, () => new Set())
    this.work_ = Array.from({length: engines}, () => 0)
    const {holders, popularity} = placeByDemand(engines)
    this.holders_ = holders
    this.popularity_ = popularity
  }

  play(): StaleLoadsResult {
    const {boxes, seconds} = this.options_
    for (let i = 0; i < boxes; i++) this.startBox(i)
    this.step(0, {type: "lead"})
    for (let i = 0; i < boxes; i++) this.tickLater(i)
    this.arriveLater()
    this.agenda_.runUntil(seconds * 1000)
    const waits = this.waits_.sort((a, b) => a - b)
    const mean = this.work_.reduce((sum, each) => sum + each, 0) / this.work_.length
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
    const places = records.map((_, engine) =>
      this.holders_.flatMap((holders, adapter) =>
        holders.includes(engine)
          ? [{adapter: `${MODEL}/a${adapter}`, version: 1, readyInMs: 0}]
          : []
      )
    )
    const pictures = records.map(({id}, i) => ({
      engine: id,
      models: [MODEL],
      places: places[i] ?? []
    }))
    const events: RoutedEvent[] = [
      {type: "config", config: CONFIG},
      {type: "backends", records, reading: {source: "store", readAt: 0}},
      {type: "boxes", boxes},
      {type: "orders", hasLeader: true, inMs: 0},
      {type: "engines", engines: pictures}
    ]
    for (const event of events) stepRouted(state, event, 0)
  }

  private tickLater(box: number): void {
    const waitMs = nextTickMs(this.boxes_[box] as RoutedState)
    this.agenda_.later(waitMs, () => {
      this.step(box, {type: "tick", mayOrder: false})
      this.tickLater(box)
    })
  }

  private arriveLater(): void {
    const gapMs = (-Math.log(1 - this.draw_()) * 1000) / this.options_.perSecond
    this.agenda_.later(gapMs, () => {
      this.arrive()
      this.arriveLater()
    })
  }

  private arrive(): void {
    const id = `q${this.requests_++}`
    this.arrivedAt_.set(id, this.agenda_.now)
    const box = Math.floor(this.draw_() * this.options_.boxes)
    const adapter = `a${drawIndex(this.popularity_, this.draw_())}`
    const beginning = `b${Math.floor(this.draw_() * BEGINNINGS)}`
    this.beginningOf_.set(id, `${adapter} ${beginning}`)
    const arrival = {
      id,
      name: id,
      route: ROUTE,
      service: SERVICE,
      weights: {model: MODEL, adapter},
      tokens: OWN_TOKENS + SHARED_TOKENS,
      rank: ROUTE.priority,
      prefix: {key: beginning, tokens: SHARED_TOKENS},
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
    if (effect.type === "use") return this.use(box, effect.change)
    if (effect.type === "loads") this.tell(effect.loads)
    // What stands where does not change here.
    if (effect.type === "places" && effect.loads) this.tell(effect.loads)
  }

  private tell(loads: PrefillBacklog): void {
    this.agenda_.later(LINK_MS, () => {
      for (let i = 0; i < this.boxes_.length; i++) this.step(i, {type: "loads", loads})
    })
  }

  /** A box tells its leader of what it began and ended, as it does over its link. */
  private use(box: number, change: Parameters<UseCounts["add"]>[0]): void {
    const uses = this.uses_[box] as UseCounts
    if (!uses.add(change)) return
    this.agenda_.later(batchIntervalMs(this.options_.boxes) + LINK_MS, () => {
      this.step(0, {type: "uses", box: String(box), changes: uses.drain()})
    })
  }

  private tokensToRead(id: string, engine: number): number {
    const kept = this.kept_[engine] as Set<string>
    const beginning = this.beginningOf_.get(id) ?? ""
    if (kept.has(beginning)) return OWN_TOKENS
    kept.add(beginning)
    return OWN_TOKENS + SHARED_TOKENS
  }

  private send(box: number, id: string, attempt: number, engine: number): void {
    const {now} = this.agenda_
    this.step(box, {type: "started", id, attempt})
    const readMs = this.tokensToRead(id, engine) / TOKENS_PER_MS
    const readAt = Math.max(now + LINK_MS, this.freeAt_[engine] ?? 0) + readMs
    this.freeAt_[engine] = readAt
    if (now >= COUNT_FROM_MS) this.work_[engine] = (this.work_[engine] ?? 0) + readMs
    this.agenda_.later(readAt - now, () => {
      const arrivedAt = this.arrivedAt_.get(id) ?? 0
      if (arrivedAt >= COUNT_FROM_MS) this.waits_.push(this.agenda_.now - arrivedAt)
      this.step(box, {type: "heard", id, attempt})
    })
    this.agenda_.later(readAt - now + WRITE_MS, () =>
      this.step(box, {type: "done", id, attempt})
    )
  }
}

/** Which engines hold each adapter, where places follow demand, and how often each is asked for. */
function placeByDemand(engines: number): {holders: number[][]; popularity: number[]} {
  const adapters = engines * 3
  const weights = Array.from({length: adapters}, (_, i) => (i + 1) ** -ZIPF)
  const total = weights.reduce((sum, each) => sum + each, 0)
  const popularity = weights.map(each => each / total)
  const holders: number[][] = weights.map(() => [])
  const expected = Array.from({length: engines}, () => 0)
  const taken = Array.from({length: engines}, () => 0)
  for (let place = 0; place < engines * PLACES; place++) {
    const adapter =
      place < adapters
        ? place
        : argMax(popularity.map((p, i) => p / (holders[i]?.length ?? 1)))
    const held = holders[adapter] as number[]
    const share = (popularity[adapter] ?? 0) / (held.length + 1)
    const costs = expected.map((work, i) =>
      (taken[i] ?? 0) >= PLACES || held.includes(i) ? Infinity : work
    )
    const engine = argMax(costs.map(cost => -cost))
    if (costs[engine] === Infinity) continue
    for (const each of held) expected[each] = (expected[each] ?? 0) - share / held.length
    held.push(engine)
    expected[engine] = (expected[engine] ?? 0) + share
    taken[engine] = (taken[engine] ?? 0) + 1
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
