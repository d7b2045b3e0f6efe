/** The serving state of a box with two backend servers, for tests of its effects. */
import {tickRequests} from "../../src/core/box-clock.js"
import {applyBackendList} from "../../src/core/backend-list.js"
import type {AttemptFailure} from "../../src/core/box-attempt-failures.js"
import {handleAttemptFailure, handleAttemptStart} from "../../src/core/box-attempts.js"
import {admit} from "../../src/core/box-requests.js"
import {
  type Arrival,
  type BoxEffect,
  type BoxServing,
  createBoxServing,
  drainEffects
} from "../../src/core/box-state.js"
import type {EngineSnapshot} from "../../src/types/box-messages.js"
import type {BackendRecord, Route} from "../../src/types/fleet.js"

export const ROUTE: Route = {
  name: "r",
  host: "h",
  pathPrefix: "/",
  kind: "safe",
  anonymous: false,
  resumable: false,
  timeoutMs: 4_000,
  targetMs: 300,
  patienceMs: Infinity,
  gapTargetMs: 0,
  priority: 1,
  maxAttempts: 2,
  services: [{service: "s", weight: 1}]
}
export const STREAM: Route = {...ROUTE, kind: "streaming", resumable: true}
export const WEIGHTS = {model: "m", adapter: "x"}

export function record(id: string): BackendRecord {
  const address = `10.0.0.1:${id.length}`
  return {
    id,
    server: id,
    revision: 0,
    service: "s",
    address,
    dataCentre: "a",
    leaving: false,
    coldRemainingMs: 0,
    models: []
  }
}

/** A box under test, its clock and the effects of the last call. */
export class Subject {
  now = 1_000
  readonly box: BoxServing
  effects: readonly BoxEffect[] = []

  constructor(slack = 100, graceMs?: number) {
    const retry = {ratio: 0, slack, windowMs: 10_000}
    this.box = createBoxServing({
      dataCentre: "a",
      retry,
      handoverMs: 3_200,
      random: () => 0,
      graceMs
    })
    this.box.hasLeader = true
    const records = [record("one"), record("two")]
    this.box.backends = applyBackendList(
      this.box.backends,
      records,
      {source: "store", readAt: 0},
      0
    )
  }

  arrive(route: Route, more: Partial<Arrival> = {}): this {
    const arrival = {id: "q", name: "n", route, service: "s", tokens: 10, rank: 1}
    admit(this.box, {...arrival, deadlineMs: 4_000, ...more}, this.now)
    return this.drain()
  }

  start(number = 1): this {
    handleAttemptStart(this.box, "q", number, this.now)
    return this
  }

  fail(failure: AttemptFailure, number = 1, lastEventId?: string): this {
    handleAttemptFailure(this.box, "q", number, failure, lastEventId, this.now)
    return this.drain()
  }

  advanceTime(ms: number): this {
    this.now += ms
    tickRequests(this.box, this.now)
    return this.drain()
  }

  drain(): this {
    this.effects = drainEffects(this.box)
    return this
  }

  /** Summarizes the effects of the last call that leave the box. */
  summarizeEffects(): string[] {
    return this.effects.flatMap(effect => {
      if (effect.type === "send") return [`send ${effect.attempt}`]
      if (effect.type === "end") return [`end ${effect.reason}`]
      return ["abort", "cut", "need", "pass", "discard"].includes(effect.type)
        ? [effect.type]
        : []
    })
  }
}

/**
 * Returns snapshots in which both backend servers hold the first version of the adapter.
 */
export function loadedEngines(): EngineSnapshot[] {
  const slot = {adapter: "m/x", version: 1, readyInMs: 0}
  return ["one", "two"].map(engine => ({
    engine,
    models: ["m"],
    places: [slot]
  }))
}
