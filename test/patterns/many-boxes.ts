/**
 * A load pattern in one process, without a network: many boxes of which many have no callers, and engines
 * that turn a part of what reaches them away without running it. The real core of each box and of
 * their leader runs under one simulated clock.
 *
 * Grounds for the figures, from played days of a deployment of 195 boxes before 55 engines: 238 requests a second for
 * engines; some 140 callers, each of which always reaches the same box; engines turned away 3,191 of 16,735
 * arrivals on a day of restarts and moved demand; repeats are held to 0.2 a request and 430 besides
 * in any 10 s, over all boxes. A message between two boxes takes 1.4 ms one way.
 */
import {createBoxServing} from "../../src/core/box-state.js"
import {nextTickMs, stepRouted} from "../../src/core/serving.js"
import type {RoutedState} from "../../src/core/serving-fleet.js"
import type {RoutedEvent} from "../../src/core/serving-events.js"
import {Agenda} from "./agenda.js"
import {CONFIG, drawFrom, LINK_MS, MODEL, recordOf, ROUTE, SERVICE} from "./fleet.js"

export interface ManyBoxesOptions {
  readonly seed: number
  readonly boxes: number
  readonly callers: number
  readonly engines: number
  readonly perSecond: number
  readonly seconds: number
  /** Requests before are played and not counted as served or refused, seconds. */
  readonly countFrom: number
  /** Of the requests that reach an engine, the part that it turns away. */
  readonly turnedAway: number
  /** From then on the leader answers nobody, seconds; Infinity: it always does. */
  readonly leaderLostAt: number
}

export interface ManyBoxesResult {
  readonly requests: number
  readonly served: number
  readonly refused: number
  /** The most repeats in any window, as a part of what is allowed there. */
  readonly budgetUsed: number
}

const RETRY = {ratio: 0.2, slack: 430, windowMs: 10_000}
const ENGINE_MS = 3
const RUN_MS = 400
const HANDOVER_MS = 3_200
const ADAPTERS = 330

/** Effects by which boxes and their leader speak, whatever else they hold. */
interface Spoken {
  readonly type: string
  readonly id?: string
  readonly attempt?: number
  readonly request?: string
  readonly box?: string
}

/** Plays the pattern. */
export function playManyBoxes(options: ManyBoxesOptions): ManyBoxesResult {
  return new ManyBoxes(options).play()
}

class ManyBoxes {
  private readonly agenda_ = new Agenda()
  private readonly draw_
  private readonly boxes_: RoutedState[] = []
  private served_ = 0
  private refused_ = 0
  private requests_ = 0
  private readonly arrivedAt_: number[] = []
  private readonly repeatedAt_: number[] = []

  constructor(private readonly options_: ManyBoxesOptions) {
    this.draw_ = drawFrom(options_.seed)
  }

  play(): ManyBoxesResult {
    const {boxes, seconds} = this.options_
    for (let i = 0; i < boxes; i++) this.boxes_.push(this.startBox(i))
    this.step(0, {type: "lead"})
    for (let i = 0; i < boxes; i++) this.tickLater(i)
    this.arriveLater()
    this.agenda_.runUntil(seconds * 1000)
    return {
      requests: this.arrivedAt_.filter(at => at >= this.options_.countFrom * 1000).length,
      served: this.served_,
      refused: this.refused_,
      budgetUsed: this.judgeBudget()
    }
  }

  private get counts(): boolean {
    return this.agenda_.now >= this.options_.countFrom * 1000
  }

  private startBox(index: number): RoutedState {
    const serving = createBoxServing({
      dataCentre: `dc-${index % 5}`,
      retry: RETRY,
      handoverMs: HANDOVER_MS,
      random: this.draw_
    })
    const state: RoutedState = {serving, fleet: undefined}
    const records = Array.from({length: this.options_.engines}, (_, i) => recordOf(i))
    const events: RoutedEvent[] = [
      {type: "config", config: CONFIG},
      {type: "backends", records, reading: {source: "store", readAt: 0}},
      {type: "boxes", boxes: this.options_.boxes},
      {type: "orders", hasLeader: true, inMs: 0},
      {type: "engines", engines: records.map((_, i) => this.describeEngine(i))}
    ]
    for (const event of events) stepRouted(state, event, 0)
    return state
  }

  /** Each adapter stands on two engines. */
  private describeEngine(
    index: number
  ): Extract<RoutedEvent, {type: "engines"}>["engines"][0] {
    const {engines} = this.options_
    const held = Array.from({length: ADAPTERS}, (_, i) => i).filter(
      i => i % engines === index || (i + 1) % engines === index
    )
    const places = held.map(i => ({adapter: `${MODEL}/a${i}`, version: 1, readyInMs: 0}))
    return {engine: recordOf(index).id, models: [MODEL], places}
  }

  private tickLater(box: number): void {
    const waitMs = nextTickMs(this.boxes_[box] as RoutedState)
    this.agenda_.later(waitMs * (0.5 + this.draw_()), () => {
      this.step(box, {type: "tick", mayOrder: false})
      this.tickLater(box)
    })
  }

  private arriveLater(): void {
    const gap = (-Math.log(1 - this.draw_()) * 1000) / this.options_.perSecond
    this.agenda_.later(gap, () => {
      this.arrive()
      this.arriveLater()
    })
  }

  private arrive(): void {
    const caller = Math.floor(this.draw_() * this.options_.callers)
    // A caller's box is drawn once, by its number.
    const box = Math.floor(hashed(caller) * this.options_.boxes)
    const id = `q${this.requests_++}`
    this.arrivedAt_.push(this.agenda_.now)
    const adapter = `a${Math.floor(this.draw_() ** 2 * ADAPTERS)}`
    const arrival = {
      id,
      name: id,
      route: ROUTE,
      service: SERVICE,
      weights: {model: MODEL, adapter},
      tokens: 1_000,
      rank: ROUTE.priority,
      deadlineMs: 5_000
    }
    this.step(box, {type: "arrive", arrival})
  }

  private step(box: number, event: RoutedEvent): void {
    const state = this.boxes_[box] as RoutedState
    const {effects} = stepRouted(state, event, this.agenda_.now)
    for (const effect of effects) this.perform(box, effect as Spoken)
  }

  private perform(box: number, effect: Spoken): void {
    const {type, id = "", attempt = 0, request = ""} = effect
    if (type === "send") return this.send(box, id, attempt)
    if (type === "end" && this.counts) this.refused_++
    if (type === "ask-retry") return this.speak(0, {...effect, box: String(box)})
    if (type === "retry" && effect.box !== undefined) {
      return this.speak(Number(effect.box), {...effect, type: "may-retry", request})
    }
  }

  /** A message between the leader, which is box 0, and another. */
  private speak(to: number, message: object): void {
    if (this.agenda_.now >= this.options_.leaderLostAt * 1000) return
    this.agenda_.later(LINK_MS, () => this.step(to, message as RoutedEvent))
  }

  private send(box: number, id: string, attempt: number): void {
    if (attempt > 1) this.repeatedAt_.push(this.agenda_.now)
    this.step(box, {type: "started", id, attempt})
    const turnedAway = this.draw_() < this.options_.turnedAway
    if (turnedAway) {
      return this.agenda_.later(ENGINE_MS, () =>
        this.step(box, {
          type: "failed",
          id,
          attempt,
          failure: "refused",
          lastEventId: undefined
        })
      )
    }
    this.agenda_.later(ENGINE_MS, () => this.step(box, {type: "heard", id, attempt}))
    this.agenda_.later(RUN_MS, () => {
      if (this.counts) this.served_++
      this.step(box, {type: "done", id, attempt})
    })
  }

  /** As those who set the budget count it, in windows that begin anywhere. */
  private judgeBudget(): number {
    const {windowMs, ratio, slack} = RETRY
    let most = 0
    for (let from = 0; from + windowMs <= this.agenda_.now; from += 250) {
      const within = (times: readonly number[], start: number): number =>
        times.filter(at => at >= start && at < start + windowMs).length
      const starts = [from, from - windowMs, from - windowMs / 2]
      const requests = Math.max(...starts.map(start => within(this.arrivedAt_, start)))
      const used = within(this.repeatedAt_, from) / (ratio * requests + slack)
      most = Math.max(most, used)
    }
    return most
  }
}

/** A number in [0, 1) that depends on the caller only. */
function hashed(caller: number): number {
  return drawFrom(caller + 1)()
}
