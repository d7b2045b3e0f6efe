/**
 * A load pattern in one process, without a network: requests that crash each server that begins to run them,
 * among many that do not. The real core of each box runs under one simulated clock. What is counted is how
 * often guilty requests reach servers after their third crash, and how many others are refused as guilty.
 *
 * Grounds for the figures, from the incident's record: nine boxes before six servers of five slots; a guilty
 * request comes at random boxes some three times a second, runs for 100 ms before its server crashes, and the
 * server is back after 2 to 4 s; others take 40 to 300 ms. One in three of the others is the same as many.
 */
import {createBoxServing} from "../../src/core/box-state.js"
import type {RoutedEffect, RoutedEvent} from "../../src/core/serving-events.js"
import type {RoutedState} from "../../src/core/serving-fleet.js"
import {nextTickMs, stepRouted} from "../../src/core/serving.js"
import type {BackendRecord} from "../../src/types/fleet.js"
import {Agenda} from "./agenda.js"
import {drawFrom} from "./fleet.js"

export interface CrashingOptions {
  readonly seed: number
  readonly boxes: number
  readonly servers: number
  readonly perSecond: number
  readonly seconds: number
  /** Requests that crash servers, and how often each comes a second. */
  readonly guilty: number
  readonly guiltyPerSecond: number
  /** They come from then on, milliseconds. */
  readonly guiltyFromMs: number
  /** Each try of a guilty caller has a body of its own. */
  readonly madeUp?: boolean
  /** All connections of all boxes are reset at these times, milliseconds. */
  readonly resetsAt?: readonly number[]
  /** In this time nothing passes between boxes and their leader, milliseconds. */
  readonly leaderAway?: readonly [from: number, to: number]
}

export interface CrashingResult {
  readonly crashes: number
  /** The most that one guilty request reached servers later than `KNOWN_MS` after its third crash. */
  readonly lateReaches: number
  readonly others: number
  /** Others that were refused as guilty. */
  readonly refused: number
  /** The same in the last quarter of the time. */
  readonly refusedAtEnd: number
  /** The same of the request that is the same as many. */
  readonly popularRefused: number
  /** The most records that a box held. */
  readonly records: number
}

const ROUTE = {
  name: "r",
  host: "h",
  pathPrefix: "/",
  kind: "safe",
  anonymous: false,
  resumable: false,
  timeoutMs: 4_000,
  targetMs: 500,
  patienceMs: Infinity,
  gapTargetMs: 0,
  priority: 1,
  maxAttempts: 2,
  services: [{service: "s", weight: 1}]
} as const
const RETRY = {ratio: 0.2, slack: 60, windowMs: 10_000}
const POPULAR = "popular"
const POPULAR_SHARE = 1 / 3
const LINK_MS = 3
const CRASH_AFTER_MS = 100
const KNOWN_MS = 3_000
/** A caller that got no whole answer comes back so often, after this, milliseconds. */
const TRIES = 3
const COME_BACK_MS = 300

/** A send that a server has taken. */
interface Running {
  readonly box: number
  readonly id: string
  readonly attempt: number
}

interface Server {
  life: number
  up: boolean
  readonly running: Set<Running>
}

export function playCrashing(options: CrashingOptions): CrashingResult {
  return new Crashing(options).play()
}

class Crashing {
  private readonly agenda_ = new Agenda()
  private readonly draw_
  private readonly boxes_: RoutedState[] = []
  private readonly servers_: Server[] = []
  private readonly fingerprints_ = new Map<string, string>()
  private readonly crashedAt_ = new Map<string, number[]>()
  private readonly lateReaches_ = new Map<string, number>()
  private requests_ = 0
  private others_ = 0
  private refused_ = 0
  private refusedAtEnd_ = 0
  private popularRefused_ = 0
  private records_ = 0

  constructor(private readonly options_: CrashingOptions) {
    this.draw_ = drawFrom(options_.seed)
  }

  play(): CrashingResult {
    const {boxes, servers, guilty, guiltyFromMs, seconds, resetsAt = []} = this.options_
    for (let i = 0; i < servers; i++) {
      this.servers_.push({life: 0, up: true, running: new Set()})
    }
    for (let i = 0; i < boxes; i++) this.startBox(i)
    this.step(0, {type: "lead"})
    for (let i = 0; i < boxes; i++) this.tickLater(i)
    this.arriveLater()
    this.agenda_.later(guiltyFromMs, () => {
      for (let i = 0; i < guilty; i++) this.guiltyLater(`guilty-${i}`)
    })
    for (const at of resetsAt) this.agenda_.later(at, () => this.resetAll())
    this.agenda_.runUntil(seconds * 1000)
    return {
      crashes: [...this.crashedAt_.values()].reduce((sum, each) => sum + each.length, 0),
      lateReaches: Math.max(0, ...this.lateReaches_.values()),
      others: this.others_,
      refused: this.refused_,
      refusedAtEnd: this.refusedAtEnd_,
      popularRefused: this.popularRefused_,
      records: this.records_
    }
  }

  private startBox(index: number): void {
    const serving = createBoxServing({
      dataCentre: `dc-${index % 3}`,
      retry: RETRY,
      handoverMs: 0,
      random: this.draw_
    })
    this.boxes_.push({serving, fleet: undefined})
    this.step(index, {type: "boxes", boxes: this.options_.boxes})
    this.step(index, {type: "orders", hasLeader: true, inMs: 0})
    this.listServers(index)
  }

  private listServers(index: number): void {
    const now = this.agenda_.now
    const records = this.servers_.map((server, i) => this.recordOf(server, i))
    this.step(index, {type: "backends", records, reading: {source: "store", readAt: now}})
  }

  private recordOf({life}: Server, index: number): BackendRecord {
    const server = `s-${index}`
    return {
      id: `${server}~${life}`,
      server,
      revision: life,
      service: "s",
      address: `10.0.0.${index}:80`,
      dataCentre: `dc-${index % 3}`,
      leaving: false,
      models: []
    }
  }

  private tickLater(index: number): void {
    const state = this.boxes_[index] as RoutedState
    this.agenda_.later(nextTickMs(state), () => {
      this.step(index, {type: "tick", mayOrder: false})
      this.records_ = Math.max(this.records_, state.serving.crashes.size)
      this.tickLater(index)
    })
  }

  private arriveLater(): void {
    this.agenda_.later(
      (-Math.log(1 - this.draw_()) * 1000) / this.options_.perSecond,
      () => {
        this.others_++
        const own = `other-${this.others_}`
        this.send(this.draw_() < POPULAR_SHARE ? POPULAR : own, TRIES)
        this.arriveLater()
      }
    )
  }

  private guiltyLater(name: string): void {
    const waitMs = (-Math.log(1 - this.draw_()) * 1000) / this.options_.guiltyPerSecond
    this.agenda_.later(waitMs, () => {
      this.send(this.options_.madeUp ? `${name}-${this.requests_}` : name, 1)
      this.guiltyLater(name)
    })
  }

  private send(fingerprint: string, tries: number): void {
    const id = `${fingerprint} ${++this.requests_} ${tries}`
    this.fingerprints_.set(id, fingerprint)
    const box = Math.floor(this.draw_() * this.boxes_.length)
    this.step(box, {
      type: "arrive",
      arrival: {
        id,
        name: id,
        fingerprint,
        route: ROUTE,
        service: "s",
        tokens: 0,
        rank: 1,
        deadlineMs: 4_000
      }
    })
  }

  private step(box: number, event: RoutedEvent): void {
    const state = this.boxes_[box] as RoutedState
    const {effects} = stepRouted(state, event, this.agenda_.now)
    for (const effect of effects) this.perform(box, effect)
  }

  private perform(box: number, effect: RoutedEffect): void {
    switch (effect.type) {
      case "send":
        return this.agenda_.later(LINK_MS, () =>
          this.reach(box, effect.id, effect.attempt, effect.backend)
        )
      case "probe": {
        const {id, server} = effect.backend
        const up = this.serverOf(server).up
        return this.agenda_.later(2 * LINK_MS, () =>
          this.step(box, {type: "probed", backend: id, up})
        )
      }
      case "crashes":
        return this.tell(box, effect.changes)
      case "end":
        return this.ended(effect.id, effect.reason)
      default:
        return
    }
  }

  private tell(
    box: number,
    changes: Extract<RoutedEffect, {type: "crashes"}>["changes"]
  ): void {
    if (this.isLeaderAway()) return
    if (box !== 0) {
      return this.agenda_.later(LINK_MS, () =>
        this.step(0, {type: "crashes", changes, source: "box"})
      )
    }
    for (let i = 1; i < this.boxes_.length; i++) {
      this.agenda_.later(LINK_MS, () =>
        this.step(i, {type: "crashes", changes, source: "leader"})
      )
    }
  }

  /** As the links are back, each box is told all. */
  private isLeaderAway(): boolean {
    const [from, to] = this.options_.leaderAway ?? [Infinity, Infinity]
    const {now} = this.agenda_
    if (now < from || now >= to) return false
    this.agenda_.later(to - now, () => {
      const leader = this.boxes_[0] as RoutedState
      const records = leader.serving.crashes.toMessages(this.agenda_.now)
      for (let i = 1; i < this.boxes_.length; i++) {
        const changes = {records, cleared: []}
        this.step(i, {type: "crashes", changes, source: "leader-all"})
      }
    })
    return true
  }

  private serverOf(name: string): Server {
    return this.servers_[Number(name.slice(2))] as Server
  }

  private reach(box: number, id: string, attempt: number, {server}: BackendRecord): void {
    const target = this.serverOf(server)
    const fail = (failure: "broken" | "not-sent"): void =>
      this.step(box, {type: "failed", id, attempt, failure, lastEventId: undefined})
    if (!target.up) return fail("not-sent")
    const fingerprint = this.fingerprints_.get(id) ?? ""
    this.step(box, {type: "started", id, attempt})
    const running = {box, id, attempt}
    target.running.add(running)
    if (fingerprint.startsWith("guilty")) {
      this.countReach(fingerprint)
      return this.agenda_.later(CRASH_AFTER_MS, () => {
        if (target.running.has(running)) this.crash(target, fingerprint)
      })
    }
    this.agenda_.later(40 + 260 * this.draw_(), () => {
      if (!target.running.delete(running)) return
      this.step(box, {type: "done", id, attempt})
    })
  }

  private countReach(fingerprint: string): void {
    const third = this.crashedAt_.get(fingerprint)?.[2]
    if (third === undefined || this.agenda_.now <= third + KNOWN_MS) return
    const before = this.lateReaches_.get(fingerprint) ?? 0
    this.lateReaches_.set(fingerprint, before + 1)
  }

  private crash(server: Server, fingerprint: string): void {
    const crashes = this.crashedAt_.get(fingerprint) ?? []
    this.crashedAt_.set(fingerprint, [...crashes, this.agenda_.now])
    server.up = false
    this.breakAll(server)
    this.agenda_.later(2_000 + 2_000 * this.draw_(), () => {
      server.up = true
      server.life++
      for (let i = 0; i < this.boxes_.length; i++) this.listServers(i)
    })
  }

  private resetAll(): void {
    for (const server of this.servers_) this.breakAll(server)
  }

  private breakAll(server: Server): void {
    const cut = [...server.running]
    server.running.clear()
    for (const {box, id, attempt} of cut) {
      this.agenda_.later(LINK_MS, () =>
        this.step(box, {
          type: "failed",
          id,
          attempt,
          failure: "broken",
          lastEventId: undefined
        })
      )
    }
  }

  private ended(id: string, reason: string): void {
    const fingerprint = this.fingerprints_.get(id) ?? ""
    if (fingerprint.startsWith("guilty")) return
    if (reason === "crashes-servers") {
      this.refused_++
      if (this.agenda_.now > 750 * this.options_.seconds) this.refusedAtEnd_++
      if (fingerprint === POPULAR) this.popularRefused_++
    }
    const tries = Number(id.slice(id.lastIndexOf(" ") + 1))
    if (tries > 1)
      this.agenda_.later(COME_BACK_MS, () => this.send(fingerprint, tries - 1))
  }
}
