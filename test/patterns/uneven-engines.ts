/**
 * Load pattern in one process, without a network: engines with few places and of uneven
 * speed, popular adapters, and demand that moves to other adapters. The real core of some
 * boxes and of their leader runs under one simulated clock.
 *
 * The figures come from the sheet of a deployment with 85 boxes in front of 98 engines of
 * 12 places and 8 adapter slots: some 300 streams per second with 1,300 prompt tokens each,
 * 40 events, and target times of 800 ms for most; a third of the engines has 0.6 and a
 * third 1.6 of the usual speed; popularity follows Zipf's law with exponent 1.2, so that a
 * fifth of all requests is for one adapter. An engine prefills 19.2 tokens per millisecond
 * and an event takes 40 ms. Adapters load in 288 ms.
 */
import {medianEventMs, speedOf} from "../../src/core/engine-speeds.js"
import type {FleetEngine} from "../../src/core/placement-state.js"
import {describeFleet, describeLoads} from "../../src/core/placement-updates.js"
import {createBoxServing} from "../../src/core/box-state.js"
import {nextTickMs, stepRouted} from "../../src/core/serving.js"
import type {RoutedState} from "../../src/core/serving-fleet.js"
import type {RoutedEffect, RoutedEvent} from "../../src/core/serving-events.js"
import type {EngineUseDelta} from "../../src/types/box-messages.js"
import type {FleetConfig} from "../../src/types/fleet.js"
import {hashMember} from "../../src/utils/rendezvous.js"
import {Agenda} from "./agenda.js"
import {CONFIG, drawFrom, LINK_MS, MODEL, recordOf, ROUTE, SERVICE} from "./fleet.js"

export interface UnevenEnginesOptions {
  readonly seed: number
  /**
   * Whether the configuration tells the number of places, so that places and speeds take
   * part in decisions. Otherwise it tells a large one, and only prefill counts.
   */
  readonly countsPlaces: boolean
  readonly perSecond: number
  readonly seconds: number
  /** When popularity moves to other adapters (seconds). */
  readonly movedAt: number
  /** Factor by which the fast engines turn slower at `movedAt`. 1 means not at all. */
  readonly slowdown: number
  /** Whether each engine is 2.5 times as slow for 15 % of the time, 0.6 s at a time. */
  readonly hasSlowMoments?: boolean
  /** Whether prompts differ in length, as on the sheet: up to three times the mean. */
  readonly spreadsPrompts?: boolean
  /** Whether the route tells which pauses are in time, so that stalls count. */
  readonly tellsPauses?: boolean
  readonly fault?: EnginesFault
  /** When to compare what the leader and a box know with the truth (seconds). */
  readonly lookAt?: readonly number[]
}

/** One failure, at the given second. Links and the store fail for `seconds`. */
export type EnginesFault =
  | {readonly kind: "leader-lost"; readonly at: number}
  | {readonly kind: "links-cut"; readonly at: number; readonly seconds: number}
  | {readonly kind: "boxes-restarted"; readonly at: number}
  | {readonly kind: "store-lost"; readonly at: number; readonly seconds: number}

/** What is known of the engines. */
export interface EnginesLook {
  /** Mean error of the number of requests at an engine, for the leader. */
  readonly takenError: number
  /** Part of the engines whose speed is known within a quarter, to the leader. */
  readonly speedsKnown: number
  /** The same, to the box that follows it. */
  readonly speedsTold: number
}

export interface UnevenEnginesResult {
  readonly requests: number
  /** Share of the requests without a first event in time. */
  readonly late: number
  /**
   * Share of the requests that begin in time and pause for too long between two events: an
   * engine runs no streams while it prefills a prompt.
   */
  readonly paused: number
  /** Most requests at one engine, running and waiting, as a multiple of its places. */
  readonly mostTaken: number
  readonly loads: number
  readonly looks: readonly EnginesLook[]
  /** Each request: when it arrived (ms), its box, and whether it was late. */
  readonly outcomes: readonly RequestOutcome[]
}

export interface RequestOutcome {
  readonly at: number
  readonly box: number
  /** Whether an engine held its adapter when it arrived. */
  readonly isHeld: boolean
  readonly late: boolean
}

/** Boxes whose links are cut or that are restarted, of all: the last third. */
export const FAILING_FROM = 14

/** Time from the loss of a leader to the next one, and until that may order loads. */
export const TAKEOVER_MS = 1_000
export const ORDERS_AFTER_MS = 3_200

/** Time after which a box and its leader notice that their link is silent. */
const BOX_NOTICES_MS = 1_200
const LEADER_NOTICES_MS = 2_500

/** Time from the end of a box's process until its next one serves. */
const RESTART_MS = 1_000

const ENGINES = 98
const PLACES = 12
const SLOTS = 8
const SPEEDS = [0.6, 1, 1.6]
const TOKENS = 1_300
const TOKENS_PER_MS = 19.2
const EVENTS = 40
const EVENT_MS = 40
/** Interval of the events that tell the core that an answer is still arriving. */
const PROGRESS_MS = 200
const LOAD_MS = 288
const ADAPTERS = 10_000
const ZIPF_EXPONENT = 1.2
/** Boxes that are simulated, and the number that they are told. */
const BOXES = 21
const TOLD_BOXES = 85
/** Interval at which boxes report their use to the leader. */
const REPORT_MS = 255
/** Time until an engine's answer to an order or a report arrives. */
const CALL_MS = 3
/** Requests that arrive earlier are not counted: slots are still empty. */
const COUNT_FROM_S = 5

/** Longest pause between events that is in time. */
const PAUSE_TARGET_MS = 300
const SLOW_MOMENT_MS = 600
const SLOW_MOMENT_SHARE = 0.15
const SLOW_MOMENT_FACTOR = 2.5

interface Run {
  readonly box: number
  readonly id: string
  readonly attempt: number
}

/** A run whose prompt has been prefilled, or is being prefilled. */
interface Stream {
  readonly firstAt: number
  /** Whether it counts, and its first event is in time. */
  readonly isJudged: boolean
  hasPaused: boolean
}

interface Engine {
  readonly index: number
  readonly held: Set<string>
  readonly pending: Set<string>
  speed: number
  sequence: number
  running: number
  prefilledAt: number
  /** Since when it prefills without a pause. */
  prefillsSince: number
  readonly streams: Set<Stream>
  readonly queue: Run[]
}

/** Simulates the pattern. */
export function simulateUnevenEngines(
  options: UnevenEnginesOptions
): UnevenEnginesResult {
  return new UnevenEngines(options).play()
}

class UnevenEngines {
  private readonly agenda_ = new Agenda()
  private readonly draw_
  private readonly boxes_: RoutedState[] = []
  private readonly engines_ = new Map<string, Engine>()
  private readonly uses_: EngineUseDelta[][] = []
  private readonly weights_: number[]
  private readonly arrivedAt_ = new Map<string, Omit<RequestOutcome, "late">>()
  private readonly outcomes_: RequestOutcome[] = []
  private readonly looks_: EnginesLook[] = []
  private readonly isDown_ = new Set<number>()
  private readonly isCut_ = new Set<number>()
  private leader_ = 0
  private ordersFrom_ = 0
  private requests_ = 0
  private late_ = 0
  private paused_ = 0
  private readonly tokens_ = new Map<string, number>()
  private counted_ = 0
  private mostTaken_ = 0
  private loads_ = 0

  constructor(private readonly options_: UnevenEnginesOptions) {
    this.draw_ = drawFrom(options_.seed)
    let sum = 0
    this.weights_ = Array.from({length: ADAPTERS}, (_, i) => {
      sum += 1 / (i + 1) ** ZIPF_EXPONENT
      return sum
    })
  }

  play(): UnevenEnginesResult {
    const {seconds, movedAt, slowdown} = this.options_
    for (let i = 0; i < ENGINES; i++) this.engines_.set(recordOf(i).id, newEngine(i))
    for (let i = 0; i < BOXES; i++) this.startBox(i)
    this.step(0, {type: "lead"})
    for (let i = 0; i < BOXES; i++) {
      this.scheduleTick(i)
      this.agenda_.schedule((REPORT_MS * i) / BOXES, () => this.reportUses(i))
    }
    this.scheduleArrival()
    this.agenda_.schedule(movedAt * 1_000, () => {
      for (const engine of this.engines_.values()) {
        if (engine.speed > 1) engine.speed /= slowdown
      }
    })
    this.scheduleFault()
    for (const at of this.options_.lookAt ?? [])
      this.agenda_.schedule(at * 1_000, () => this.look())
    this.agenda_.runUntil(seconds * 1_000)
    for (const request of this.arrivedAt_.values()) {
      if (this.agenda_.now - request.at > ROUTE.targetMs)
        this.outcomes_.push({...request, late: true})
    }
    const unanswered = [...this.arrivedAt_.values()].filter(
      ({at}) => at >= COUNT_FROM_S * 1_000 && this.agenda_.now - at > ROUTE.targetMs
    ).length
    const requests = this.counted_ + unanswered
    return {
      requests,
      late: (this.late_ + unanswered) / requests,
      paused: this.paused_ / requests,
      mostTaken: this.mostTaken_ / PLACES,
      loads: this.loads_,
      looks: this.looks_,
      outcomes: this.outcomes_
    }
  }

  private startBox(box: number): void {
    const serving = createBoxServing({
      dataCentre: "dc-0",
      retry: {ratio: 0.2, slack: 210, windowMs: 10_000},
      handoverMs: 3_200,
      random: this.draw_
    })
    const state: RoutedState = {serving, fleet: undefined}
    this.boxes_[box] = state
    this.uses_[box] = []
    const records = Array.from({length: ENGINES}, (_, i) => recordOf(i))
    const engines = records.map(({id}) => ({engine: id, models: [MODEL], places: []}))
    const events: RoutedEvent[] = [
      {type: "config", config: this.config()},
      {type: "backends", records, reading: {source: "store", readAt: 0}},
      {type: "boxes", boxes: TOLD_BOXES},
      {type: "orders", hasLeader: true, inMs: 0},
      {type: "engines", engines}
    ]
    for (const event of events) stepRouted(state, event, this.agenda_.now)
  }

  private scheduleFault(): void {
    const {fault} = this.options_
    if (!fault) return
    const failing = Array.from({length: BOXES - FAILING_FROM}, (_, i) => FAILING_FROM + i)
    this.agenda_.schedule(fault.at * 1_000, () => {
      if (fault.kind === "leader-lost") this.loseLeader()
      else if (fault.kind === "links-cut") {
        for (const box of failing) this.cut(box, fault.seconds * 1_000)
      } else if (fault.kind === "boxes-restarted") {
        for (const box of failing) this.restart(box)
      } else this.loseStore(fault.seconds * 1_000)
    })
  }

  private loseLeader(): void {
    const lost = this.leader_
    this.end(lost)
    const others = this.boxes_.map((_, i) => i).filter(i => i !== lost)
    const next = lost + 1
    this.leader_ = next
    this.ordersFrom_ = this.agenda_.now + ORDERS_AFTER_MS
    for (const box of others)
      this.tell(box, {type: "orders", hasLeader: false, inMs: ORDERS_AFTER_MS})
    this.agenda_.schedule(TAKEOVER_MS, () => {
      this.step(next, {type: "lead"})
      for (const box of others) this.follow(box)
    })
  }

  /** Links a box to the leader, or has the leader report to itself. */
  private follow(box: number): void {
    const {fleet} = this.boxes_[this.leader_] as RoutedState
    if (!fleet) return
    const {now} = this.agenda_
    this.isCut_.delete(box)
    if (box !== this.leader_) {
      this.step(box, {type: "engines", engines: describeFleet(fleet, now)})
      this.step(box, {type: "loads", loads: describeLoads(fleet)})
    }
    const inMs = Math.max(0, this.ordersFrom_ - now)
    this.step(box, {type: "orders", hasLeader: true, inMs})
    this.step(box, {type: "leader-new"})
  }

  private cut(box: number, ms: number): void {
    this.isCut_.add(box)
    this.agenda_.schedule(BOX_NOTICES_MS, () =>
      this.step(box, {type: "orders", hasLeader: false, inMs: ORDERS_AFTER_MS})
    )
    this.agenda_.schedule(Math.min(ms, LEADER_NOTICES_MS), () =>
      this.step(this.leader_, {type: "box-gone", box: String(box)})
    )
    this.agenda_.schedule(ms, () => this.follow(box))
  }

  /** Ends the process of a box. Its callers are gone. */
  private end(box: number): void {
    this.isDown_.add(box)
    for (const [id, request] of this.arrivedAt_)
      if (request.box === box) this.arrivedAt_.delete(id)
  }

  private restart(box: number): void {
    this.end(box)
    this.step(this.leader_, {type: "box-gone", box: String(box)})
    this.agenda_.schedule(RESTART_MS, () => {
      this.startBox(box)
      this.isDown_.delete(box)
      this.follow(box)
      this.scheduleTick(box)
    })
  }

  private loseStore(ms: number): void {
    const endsAt = this.agenda_.now + ms
    this.tellAll({type: "store-trouble"})
    this.agenda_.schedule(ms, () => this.tellAll({type: "store-back"}))
    this.refreshSnapshots(endsAt)
  }

  /** Boxes ask one another: while nobody can read the store, old lists are the newest. */
  private refreshSnapshots(storeBackAt: number): void {
    const {now: at} = this.agenda_
    this.tellAll({type: "news", at, read: at >= storeBackAt})
    this.agenda_.schedule(REPORT_MS, () => this.refreshSnapshots(storeBackAt))
  }

  private tellAll(event: RoutedEvent): void {
    for (let box = 0; box < BOXES; box++) this.step(box, event)
  }

  private look(): void {
    const {fleet} = this.boxes_[this.leader_] as RoutedState
    const follower = this.boxes_[this.leader_ + 1] as RoutedState
    if (!fleet) throw new Error("nobody leads")
    const medianMs = medianEventMs(fleet.engines.values())
    let [error, known, told] = [0, 0, 0]
    for (const [id, {speed, running, queue}] of this.engines_) {
      const engine = fleet.engines.get(id) as FleetEngine
      error += Math.abs(engine.running - running - queue.length)
      if (isNear(speedOf(engine, medianMs), speed)) known++
      if (isNear(follower.serving.engines.get(id)?.speed ?? 1, speed)) told++
    }
    this.looks_.push({
      takenError: error / ENGINES,
      speedsKnown: known / ENGINES,
      speedsTold: told / ENGINES
    })
  }

  private config(): FleetConfig {
    const [service] = CONFIG.services
    if (!service?.engine) throw new Error("the fleet has no engines")
    const batch = this.options_.countsPlaces ? PLACES : service.engine.batch
    const engine = {...service.engine, maxAdapters: SLOTS, batch}
    return {...CONFIG, services: [{...service, engine}]}
  }

  private scheduleTick(box: number): void {
    const waitMs = nextTickMs(this.boxes_[box] as RoutedState)
    this.agenda_.schedule(waitMs, () => {
      if (this.isDown_.has(box)) return
      const mayOrder = box === this.leader_ && this.agenda_.now >= this.ordersFrom_
      this.step(box, {type: "tick", mayOrder})
      this.scheduleTick(box)
    })
  }

  private scheduleArrival(): void {
    const gapMs = (-Math.log(1 - this.draw_()) * 1_000) / this.options_.perSecond
    this.agenda_.schedule(gapMs, () => {
      this.arrive()
      this.scheduleArrival()
    })
  }

  private arrive(): void {
    const {now} = this.agenda_
    const id = `q${this.requests_++}`
    const {spreadsPrompts, tellsPauses} = this.options_
    const tokens = spreadsPrompts ? this.drawTokens() : TOKENS
    this.tokens_.set(id, tokens)
    const arrival = {
      id,
      name: id,
      route: {...ROUTE, gapTargetMs: tellsPauses ? PAUSE_TARGET_MS : 0},
      service: SERVICE,
      weights: {model: MODEL, adapter: this.drawAdapter()},
      tokens,
      rank: ROUTE.priority,
      prefix: {key: `p${Math.floor(this.draw_() * 400)}`, tokens: 350},
      deadlineMs: 12_000
    }
    const box = Math.floor(this.draw_() * BOXES)
    if (this.isDown_.has(box)) return
    const {adapter} = arrival.weights
    const isHeld = [...this.engines_.values()].some(({held}) => held.has(adapter))
    this.arrivedAt_.set(id, {at: now, box, isHeld})
    this.step(box, {type: "arrive", arrival})
  }

  /** Exponential lengths with the mean and the maximum of the sheet. */
  private drawTokens(): number {
    return Math.min(3 * TOKENS, Math.round(-Math.log(1 - this.draw_()) * TOKENS))
  }

  private drawAdapter(): string {
    const target = this.draw_() * (this.weights_.at(-1) ?? 0)
    let low = 0
    let high = this.weights_.length - 1
    while (low < high) {
      const middle = (low + high) >> 1
      if ((this.weights_[middle] ?? 0) < target) low = middle + 1
      else high = middle
    }
    const hasMoved = this.agenda_.now >= this.options_.movedAt * 1_000
    return `a${hasMoved ? (low + ADAPTERS / 2) % ADAPTERS : low}`
  }

  private step(box: number, event: RoutedEvent): void {
    if (this.isDown_.has(box)) return
    const state = this.boxes_[box] as RoutedState
    const {effects} = stepRouted(state, event, this.agenda_.now)
    for (const effect of effects) this.perform(box, effect)
  }

  private perform(box: number, effect: RoutedEffect): void {
    const name = String(box)
    switch (effect.type) {
      case "send":
        return this.send({box, id: effect.id, attempt: effect.attempt}, effect.backend.id)
      case "use":
        this.uses_[box]?.push(effect.change)
        return
      case "discard-uses":
        this.uses_[box]?.splice(0)
        return
      case "need":
        return this.tellLeader(box, {type: "need", box: name, need: effect.need})
      case "drop":
        return this.tellLeader(box, {type: "drop", box: name, request: effect.request})
      case "missing":
        return this.tellLeader(box, effect)
      case "refuse":
        return this.tell(Number(effect.box), effect)
      case "places":
      case "loads":
        return this.broadcast(effect)
      case "order":
        return this.execute(effect)
      case "ask":
        return this.agenda_.schedule(CALL_MS, () => this.report(effect.engine))
    }
  }

  private tellLeader(box: number, event: RoutedEvent): void {
    if (!this.isCut_.has(box)) this.tell(this.leader_, event)
  }

  private tell(box: number, event: RoutedEvent): void {
    this.agenda_.schedule(LINK_MS, () => this.step(box, event))
  }

  private broadcast(effect: Extract<RoutedEffect, {type: "places" | "loads"}>): void {
    const boxes = effect.type === "places" ? effect.boxes : undefined
    for (let i = 0; i < BOXES; i++) {
      if (this.isCut_.has(i)) continue
      if (!boxes || boxes.includes(String(i))) this.tell(i, effect)
    }
  }

  private reportUses(box: number): void {
    const changes = this.uses_[box]?.splice(0) ?? []
    if (changes.length > 0) {
      this.tellLeader(box, {type: "uses", box: String(box), changes})
    }
    this.agenda_.schedule(REPORT_MS, () => this.reportUses(box))
  }

  private execute({engine: id, order}: Extract<RoutedEffect, {type: "order"}>): void {
    const engine = this.engines_.get(id) as Engine
    const adapter = order.adapter ?? ""
    engine.sequence++
    if (order.operation === "unload") engine.held.delete(adapter)
    else {
      this.loads_++
      engine.pending.add(adapter)
      this.agenda_.schedule(LOAD_MS, () => {
        engine.pending.delete(adapter)
        engine.held.add(adapter)
      })
    }
    const result = order.operation === "unload" ? "done" : "accepted"
    this.agenda_.schedule(CALL_MS, () =>
      this.step(this.leader_, {type: "order-result", engine: id, result})
    )
  }

  private report(id: string): void {
    const {held, pending, sequence} = this.engines_.get(id) as Engine
    const adapters = new Map([...held].map(name => [name, 1] as const))
    const report = {
      sequence,
      busy: false,
      models: [{name: MODEL, adapters}],
      pending: [...pending].map(name => ({adapter: `${MODEL}/${name}`, version: 1}))
    }
    this.step(this.leader_, {type: "report", engine: id, report})
  }

  private send(run: Run, id: string): void {
    const {box, id: request, attempt} = run
    const engine = this.engines_.get(id) as Engine
    this.step(box, {type: "started", id: request, attempt})
    const adapter = this.boxes_[box]?.serving.requests.get(request)?.arrival.weights
    if (!engine.held.has(adapter?.adapter ?? "")) {
      return this.agenda_.schedule(CALL_MS, () =>
        this.step(box, {
          type: "failed",
          id: request,
          attempt,
          failure: "misplaced",
          lastEventId: undefined
        })
      )
    }
    engine.queue.push(run)
    const taken = engine.running + engine.queue.length
    this.mostTaken_ = Math.max(this.mostTaken_, taken)
    this.startNext(engine)
  }

  private startNext(engine: Engine): void {
    if (engine.running >= PLACES) return
    const run = engine.queue.shift()
    if (!run) return
    const {now} = this.agenda_
    const speed = this.speedOf(engine, now)
    const tokens = this.tokens_.get(run.id) ?? TOKENS
    engine.running++
    if (engine.prefilledAt <= now) engine.prefillsSince = now
    engine.prefilledAt =
      Math.max(now, engine.prefilledAt) + tokens / (TOKENS_PER_MS * speed)
    this.stall(engine, engine.prefilledAt - engine.prefillsSince + EVENT_MS / speed)
    const firstMs = engine.prefilledAt - now
    const runMs = firstMs + (EVENTS * EVENT_MS) / engine.speed
    const stream = this.openStream(run, engine.prefilledAt)
    engine.streams.add(stream)
    this.agenda_.schedule(firstMs, () => {
      this.answer(run)
      this.reportProgress(run, stream, engine)
    })
    this.agenda_.schedule(runMs, () => {
      engine.running--
      engine.streams.delete(stream)
      const {box, id, attempt} = run
      this.step(box, {type: "done", id, attempt, events: EVENTS})
      this.startNext(engine)
    })
  }

  private speedOf({index, speed}: Engine, now: number): number {
    if (!this.options_.hasSlowMoments) return speed
    const moment = `${index} ${Math.floor(now / SLOW_MOMENT_MS)}`
    const isSlow = hashMember(moment) / 2 ** 32 < SLOW_MOMENT_SHARE
    return isSlow ? speed / SLOW_MOMENT_FACTOR : speed
  }

  private openStream({id}: Run, firstAt: number): Stream {
    const arrivedAt = this.arrivedAt_.get(id)?.at ?? -Infinity
    const isCounted = arrivedAt >= COUNT_FROM_S * 1_000
    const isJudged = isCounted && firstAt - arrivedAt <= ROUTE.targetMs
    return {firstAt, isJudged, hasPaused: false}
  }

  /** Stops the streams of an engine that have begun for a time. */
  private stall({streams, prefillsSince}: Engine, ms: number): void {
    if (ms <= PAUSE_TARGET_MS) return
    for (const stream of streams) {
      if (stream.hasPaused || stream.firstAt > prefillsSince) continue
      stream.hasPaused = true
      if (stream.isJudged) this.paused_++
    }
  }

  /** Reports events of a stream, as a box does, until it ends. */
  private reportProgress(run: Run, stream: Stream, engine: Engine): void {
    this.agenda_.schedule(PROGRESS_MS, () => {
      if (!engine.streams.has(stream)) return
      const {box, id, attempt} = run
      this.step(box, {type: "heard", id, attempt})
      this.reportProgress(run, stream, engine)
    })
  }

  private answer({box, id, attempt}: Run): void {
    const {now} = this.agenda_
    const request = this.arrivedAt_.get(id)
    this.step(box, {type: "heard", id, attempt})
    const head = {failed: false, streamed: true}
    this.step(box, {type: "head", id, attempt, head})
    if (!request) return
    const {at: arrivedAt} = request
    this.arrivedAt_.delete(id)
    this.outcomes_.push({...request, late: now - arrivedAt > ROUTE.targetMs})
    if (arrivedAt < COUNT_FROM_S * 1_000) return
    this.counted_++
    if (now - arrivedAt > ROUTE.targetMs) this.late_++
  }
}

function isNear(known: number, actual: number): boolean {
  return Math.abs(known / actual - 1) < 0.25
}

function newEngine(index: number): Engine {
  return {
    index,
    held: new Set(),
    pending: new Set(),
    speed: SPEEDS[index % SPEEDS.length] ?? 1,
    sequence: 0,
    running: 0,
    prefilledAt: 0,
    prefillsSince: 0,
    streams: new Set(),
    queue: []
  }
}
