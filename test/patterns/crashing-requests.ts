/**
 * Load pattern in one process, without a network: requests that crash every server that
 * runs them, among many harmless ones. The real core of each box runs under one simulated
 * clock. The pattern counts how often guilty requests reach servers after their third
 * crash, and how many other requests are refused as guilty.
 *
 * The figures come from an incident: nine boxes in front of six servers with five slots.
 * A guilty request arrives at random boxes about three times per second and runs for 100
 * ms before its server crashes; the server is back after 2 to 4 s. Other requests take 40
 * to 300 ms, and one in three of them has the same content.
 */
import type {RoutedEffect} from "../../src/core/serving-events.js"
import {Agenda} from "./agenda.js"
import {
  CrashFleet,
  type CrashServer,
  drawGapMs,
  LINK_MS,
  RETRY_DELAY_MS,
  type SentAttempt,
  TRIES
} from "./crash-fleet.js"
import {drawFrom} from "./fleet.js"

export interface CrashingOptions {
  readonly seed: number
  readonly boxes: number
  readonly servers: number
  readonly perSecond: number
  readonly seconds: number
  /** Number of distinct requests that crash servers. */
  readonly guilty: number
  /** Arrivals per second of each guilty request. */
  readonly guiltyPerSecond: number
  /** Time of the first guilty requests. */
  readonly guiltyFromMs: number
  /** Whether each attempt of a guilty caller has a different body. */
  readonly madeUp?: boolean
  /** Times at which all connections of all boxes are reset (ms). */
  readonly resetsAt?: readonly number[]
  /** Period without messages between boxes and their leader (ms). */
  readonly leaderAway?: readonly [from: number, to: number]
}

export interface CrashingResult {
  readonly crashes: number
  /**
   * Largest number of times that one guilty request reached a server more than
   * `PROPAGATION_MS` after its third crash.
   */
  readonly lateReaches: number
  /** Number of requests that are not guilty. */
  readonly others: number
  /** Number of other requests that were refused as guilty. */
  readonly refused: number
  /** `refused` in the last quarter of the simulated time. */
  readonly refusedAtEnd: number
  /** `refused` of the popular request, whose content many callers send. */
  readonly popularRefused: number
  /** Largest number of crash records in one box. */
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
const POPULAR = "popular"
const POPULAR_SHARE = 1 / 3
const CRASH_AFTER_MS = 100
/** Time within which a third crash must be known to all boxes. */
const PROPAGATION_MS = 3_000
export function simulateCrashingRequests(options: CrashingOptions): CrashingResult {
  return new Crashing(options).play()
}

class Crashing {
  private readonly agenda_ = new Agenda()
  private readonly draw_
  private readonly fleet_: CrashFleet
  private readonly running_: readonly Set<SentAttempt>[]
  private readonly fingerprints_ = new Map<string, string>()
  private readonly crashedAt_ = new Map<string, number[]>()
  private readonly lateReaches_ = new Map<string, number>()
  private requests_ = 0
  private others_ = 0
  private refused_ = 0
  private refusedAtEnd_ = 0
  private popularRefused_ = 0

  constructor(private readonly options_: CrashingOptions) {
    const {boxes, servers, leaderAway, seed} = options_
    this.draw_ = drawFrom(seed)
    this.running_ = Array.from({length: servers}, () => new Set<SentAttempt>())
    this.fleet_ = new CrashFleet({
      agenda: this.agenda_,
      draw: this.draw_,
      boxes,
      servers,
      ...(leaderAway && {leaderAway}),
      onDelivery: (sent, server) => this.deliver(sent, server),
      onEffect: (_, effect) => this.handleEffect(effect)
    })
  }

  play(): CrashingResult {
    const {guilty, guiltyFromMs, seconds, resetsAt = []} = this.options_
    this.fleet_.start()
    this.scheduleArrival()
    this.agenda_.schedule(guiltyFromMs, () => {
      for (let i = 0; i < guilty; i++) this.scheduleGuiltyArrival(`guilty-${i}`)
    })
    for (const at of resetsAt) this.agenda_.schedule(at, () => this.resetAll())
    this.agenda_.runUntil(seconds * 1000)
    return {
      crashes: [...this.crashedAt_.values()].reduce(
        (sum, times) => sum + times.length,
        0
      ),
      lateReaches: Math.max(0, ...this.lateReaches_.values()),
      others: this.others_,
      refused: this.refused_,
      refusedAtEnd: this.refusedAtEnd_,
      popularRefused: this.popularRefused_,
      records: this.fleet_.records
    }
  }

  private scheduleArrival(): void {
    this.agenda_.schedule(drawGapMs(this.draw_, this.options_.perSecond), () => {
      this.others_++
      const own = `other-${this.others_}`
      this.send(this.draw_() < POPULAR_SHARE ? POPULAR : own, TRIES)
      this.scheduleArrival()
    })
  }

  private scheduleGuiltyArrival(name: string): void {
    const waitMs = drawGapMs(this.draw_, this.options_.guiltyPerSecond)
    this.agenda_.schedule(waitMs, () => {
      this.send(this.options_.madeUp ? `${name}-${this.requests_}` : name, 1)
      this.scheduleGuiltyArrival(name)
    })
  }

  private send(fingerprint: string, tries: number): void {
    const id = `${fingerprint} ${++this.requests_} ${tries}`
    this.fingerprints_.set(id, fingerprint)
    const box = Math.floor(this.draw_() * this.options_.boxes)
    this.fleet_.step(box, {
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

  private deliver(sent: SentAttempt, server: CrashServer): void {
    const {box, id, attempt} = sent
    if (!server.up) return this.fleet_.fail(sent, "not-sent")
    const fingerprint = this.fingerprints_.get(id) ?? ""
    this.fleet_.step(box, {type: "started", id, attempt})
    const running = this.runningAt(server)
    running.add(sent)
    if (fingerprint.startsWith("guilty")) {
      this.countDelivery(fingerprint)
      return this.agenda_.schedule(CRASH_AFTER_MS, () => {
        if (running.has(sent)) this.crash(server, fingerprint)
      })
    }
    this.agenda_.schedule(40 + 260 * this.draw_(), () => {
      if (running.delete(sent)) this.fleet_.step(box, {type: "done", id, attempt})
    })
  }

  private countDelivery(fingerprint: string): void {
    const third = this.crashedAt_.get(fingerprint)?.[2]
    if (third === undefined || this.agenda_.now <= third + PROPAGATION_MS) return
    const before = this.lateReaches_.get(fingerprint) ?? 0
    this.lateReaches_.set(fingerprint, before + 1)
  }

  private crash(server: CrashServer, fingerprint: string): void {
    const crashes = this.crashedAt_.get(fingerprint) ?? []
    this.crashedAt_.set(fingerprint, [...crashes, this.agenda_.now])
    server.up = false
    this.breakAll(server)
    this.agenda_.schedule(2_000 + 2_000 * this.draw_(), () => {
      server.up = true
      server.incarnation++
      for (let i = 0; i < this.options_.boxes; i++) this.fleet_.listServers(i)
    })
  }

  private resetAll(): void {
    for (const server of this.fleet_.servers) this.breakAll(server)
  }

  private breakAll(server: CrashServer): void {
    const running = this.runningAt(server)
    const interrupted = [...running]
    running.clear()
    for (const sent of interrupted) {
      this.agenda_.schedule(LINK_MS, () => this.fleet_.fail(sent, "broken"))
    }
  }

  private runningAt({index}: CrashServer): Set<SentAttempt> {
    return this.running_[index] as Set<SentAttempt>
  }

  private handleEffect(effect: RoutedEffect): void {
    if (effect.type !== "end") return
    const {id, reason} = effect
    const fingerprint = this.fingerprints_.get(id) ?? ""
    if (fingerprint.startsWith("guilty")) return
    if (reason === "crashes-servers") {
      this.refused_++
      if (this.agenda_.now > 750 * this.options_.seconds) this.refusedAtEnd_++
      if (fingerprint === POPULAR) this.popularRefused_++
    }
    const tries = Number(id.slice(id.lastIndexOf(" ") + 1))
    if (tries > 1)
      this.agenda_.schedule(RETRY_DELAY_MS, () => this.send(fingerprint, tries - 1))
  }
}
