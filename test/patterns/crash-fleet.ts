/**
 * Shared by the patterns of crashing requests: boxes, one of which leads, and servers that
 * crash and start again. The real core of each box runs under one simulated clock.
 */
import type {AttemptFailure} from "../../src/core/box-attempt-failures.js"
import type {CarriedEnd} from "../../src/core/box-crashes.js"
import {createBoxServing} from "../../src/core/box-state.js"
import {findCarryObstacle} from "../../src/core/carry-checks.js"
import {listFingerprints} from "../../src/core/request-fingerprints.js"
import type {RoutedEffect, RoutedEvent} from "../../src/core/serving-events.js"
import type {RoutedState} from "../../src/core/serving-fleet.js"
import {nextTickMs, stepRouted} from "../../src/core/serving.js"
import type {CrashReport} from "../../src/types/crash-messages.js"
import type {BackendRecord, LoadedModel} from "../../src/types/fleet.js"
import type {Agenda} from "./agenda.js"

/** One-way delay of a message between two processes. */
export const LINK_MS = 3

/** Number of times that a caller sends a request until it receives a complete answer. */
export const TRIES = 3
export const RETRY_DELAY_MS = 300

const RETRY = {ratio: 0.2, slack: 60, windowMs: 10_000}

/** Time from the loss of a leader to the next one, and of a box to its next process. */
const TAKEOVER_MS = 1_200
const RESTART_MS = 1_000
const ORDERS_AFTER_MS = 3_200

/** The store keeps the requests with the most crashes, of those with several. */
const SAVE_AFTER_MS = 300
const MIN_STORED_CRASHES = 2
const MAX_STORED = 100

/**
 * Updates about crashes, for each crash and box and in addition, beyond which boxes send
 * them to one another without end.
 */
const MOST_UPDATES_EACH = 4
const MOST_UPDATES_MORE = 1_000

/** How an attempt fails, as the box learns that sends it. */
type Failure = Extract<
  AttemptFailure,
  "broken" | "not-sent" | "misplaced" | "quarantined"
>

/** An attempt that was sent to a server. */
export interface SentAttempt {
  readonly box: number
  readonly id: string
  readonly attempt: number
  /** The box that sends it for that one. Undefined if that one sends it itself. */
  readonly via?: string | undefined
}

/** Boxes that reach neither servers nor the leader, but other boxes (ms). */
export interface CutBoxes {
  readonly boxes: readonly number[]
  readonly from: number
  readonly to: number
}

export interface CrashServer {
  readonly index: number
  incarnation: number
  up: boolean
}

export interface CrashFleetOptions {
  readonly agenda: Agenda
  readonly draw: () => number
  readonly boxes: number
  readonly servers: number
  /** What the servers run. Empty if their service has no engines. */
  readonly models?: readonly LoadedModel[]
  /** Period without messages between boxes and their leader (ms). */
  readonly leaderAway?: readonly [from: number, to: number]
  readonly cut?: CutBoxes
  /** Handles a send that arrives at an address. */
  readonly onDelivery: (
    sent: SentAttempt,
    server: CrashServer,
    incarnation: string
  ) => void
  /** Handles effects of a box for its callers and connections. */
  readonly onEffect: (box: number, effect: RoutedEffect) => void
}

type CrashesEffect = Extract<RoutedEffect, {type: "crashes"}>

export class CrashFleet {
  readonly boxes: RoutedState[] = []
  readonly servers: readonly CrashServer[]
  /** Largest number of crash records in one box. */
  records = 0
  /** Characters of all updates about crashes that the leader has sent to each box. */
  leaderCharacters = 0
  /** Updates about crashes that boxes have sent, a broadcast of the leader as one. */
  updates = 0
  /** Undefined while nobody leads. */
  private leader_: number | undefined = 0
  private stored_: readonly CrashReport[] = []
  private readonly isDown_ = new Set<number>()
  /** Processes of each box that have started. Messages to earlier ones are lost. */
  private readonly processes_: number[] = []

  constructor(private readonly options_: CrashFleetOptions) {
    this.servers = Array.from({length: options_.servers}, (_, index) => ({
      index,
      incarnation: 0,
      up: true
    }))
  }

  start(): void {
    const {boxes} = this.options_
    for (let i = 0; i < boxes; i++) this.startBox(i)
    this.step(0, {type: "lead"})
    for (let i = 0; i < boxes; i++) this.scheduleTick(i)
    this.scheduleReturnOfLeader()
    this.scheduleReturnOfCutBoxes()
  }

  isUp(box: number): boolean {
    return !this.isDown_.has(box)
  }

  step(box: number, event: RoutedEvent): void {
    if (this.isDown_.has(box)) return
    const state = this.boxes[box] as RoutedState
    const {effects} = stepRouted(state, event, this.options_.agenda.now)
    for (const effect of effects) this.perform(box, effect)
  }

  /** Posts an event after a link's delay, unless the box's process has ended by then. */
  tell(box: number, event: RoutedEvent, ms = LINK_MS): void {
    const process = this.processes_[box]
    this.options_.agenda.schedule(ms, () => {
      if (this.processes_[box] === process) this.step(box, event)
    })
  }

  /** Ends an attempt whose connection broke, or which its server did not run. */
  fail(sent: SentAttempt, failure: Failure): void {
    if (failure !== "broken") this.endCarried(sent, "refused")
    this.step(sent.box, toFailedEvent(sent, failure))
  }

  listServers(box: number): void {
    const {now} = this.options_.agenda
    const records = this.servers.map(server => this.recordOf(server))
    this.step(box, {type: "backends", records, reading: {source: "store", readAt: now}})
  }

  /** Reports one server to a box, as the store's updates do. */
  listServer(box: number, server: CrashServer): void {
    const {now: readAt} = this.options_.agenda
    const record = this.recordOf(server)
    const reading = {source: "store", readAt} as const
    this.step(box, {type: "backend", id: record.id, record, reading})
  }

  incarnationOf({index, incarnation}: CrashServer): string {
    return `s-${index}~${incarnation}`
  }

  /** Ends the leader's process. Another box leads soon, with what the store kept. */
  loseLeader(): void {
    const lost = this.leader_
    if (lost === undefined) return
    const next = (lost + 1) % this.options_.boxes
    this.leader_ = undefined
    this.restartBox(lost)
    for (let i = 0; i < this.options_.boxes; i++) {
      this.step(i, {type: "orders", hasLeader: false, inMs: ORDERS_AFTER_MS})
    }
    this.options_.agenda.schedule(TAKEOVER_MS, () => {
      this.leader_ = next
      this.step(next, {type: "lead"})
      const changes = {records: this.stored_, cleared: []}
      if (this.stored_.length > 0) {
        this.step(next, {type: "crashes", changes, source: "store"})
      }
      for (let i = 0; i < this.options_.boxes; i++) this.follow(i)
    })
  }

  /** Ends the process of a box, and starts another. */
  restartBox(box: number): void {
    this.isDown_.add(box)
    this.processes_[box] = (this.processes_[box] ?? 0) + 1
    this.options_.agenda.schedule(RESTART_MS, () => {
      this.isDown_.delete(box)
      this.startBox(box)
      this.scheduleTick(box)
      this.follow(box)
    })
  }

  private startBox(index: number): void {
    const serving = createBoxServing({
      dataCentre: `dc-${index % 3}`,
      retry: RETRY,
      handoverMs: 0,
      random: this.options_.draw
    })
    this.boxes[index] = {serving, fleet: undefined}
    this.step(index, {type: "boxes", boxes: this.options_.boxes})
    if (this.options_.cut) this.step(index, {type: "peers", addresses: this.listPeers()})
    this.step(index, {type: "orders", hasLeader: this.leader_ !== undefined, inMs: 0})
    this.listServers(index)
  }

  /** Links a box to the leader, which sends its whole list first. */
  private follow(box: number): void {
    const leader = this.leader_
    if (leader === undefined || this.isDown_.has(box)) return
    this.step(box, {type: "orders", hasLeader: true, inMs: 0})
    if (leader === box) return
    this.tellAllRecords(leader, box)
    this.step(box, {type: "leader-new"})
  }

  private tellAllRecords(leader: number, box: number): void {
    const {serving} = this.boxes[leader] as RoutedState
    const records = serving.crashes.toMessages(this.options_.agenda.now)
    const changes = {records, cleared: []}
    this.step(box, {type: "crashes", changes, source: "leader-all"})
  }

  private recordOf(server: CrashServer): BackendRecord {
    const {index, incarnation} = server
    return {
      id: this.incarnationOf(server),
      server: `s-${index}`,
      revision: incarnation,
      service: "s",
      address: `10.0.0.${index}:80`,
      dataCentre: `dc-${index % 3}`,
      leaving: false,
      coldRemainingMs: 0,
      models: this.options_.models ?? []
    }
  }

  private scheduleTick(box: number): void {
    const state = this.boxes[box] as RoutedState
    this.options_.agenda.schedule(nextTickMs(state), () => {
      if (this.boxes[box] !== state || this.isDown_.has(box)) return
      this.step(box, {type: "tick", mayOrder: false})
      this.records = Math.max(this.records, state.serving.crashes.size)
      this.scheduleTick(box)
    })
  }

  private perform(box: number, effect: RoutedEffect): void {
    const {agenda, onDelivery, onEffect} = this.options_
    switch (effect.type) {
      case "send": {
        const {id, attempt, backend, via} = effect
        const server = this.serverOf(backend)
        const sent = {box, id, attempt, via}
        return agenda.schedule(LINK_MS, () => {
          if (via !== undefined) return this.carry(sent, Number(via), server, backend.id)
          if (this.isCut(box)) return this.fail(sent, "not-sent")
          onDelivery(sent, server, backend.id)
        })
      }
      case "probe": {
        const {id} = effect.backend
        const {up} = this.serverOf(effect.backend)
        return this.tell(box, {type: "probed", backend: id, up}, 2 * LINK_MS)
      }
      case "check-path": {
        const {id} = effect.backend
        const accepted = this.serverOf(effect.backend).up && !this.isCut(box)
        return this.tell(box, {type: "path-checked", backend: id, accepted}, 2 * LINK_MS)
      }
      case "ask-retry": {
        const {id, service} = effect
        if (this.leader_ === undefined || this.isCut(box)) return
        return this.tell(this.leader_, {
          type: "ask-retry",
          box: String(box),
          id,
          service
        })
      }
      case "retry": {
        const {id, allowed} = effect
        return this.tell(Number(effect.box), {type: "may-retry", id, allowed})
      }
      case "crashes":
        return this.sendCrashReport(box, effect.changes)
      default:
        return onEffect(box, effect)
    }
  }

  private serverOf({server}: BackendRecord): CrashServer {
    return this.servers[Number(server.slice(2))] as CrashServer
  }

  private sendCrashReport(box: number, changes: CrashesEffect["changes"]): void {
    const leader = this.leader_
    this.countUpdate()
    if (box === leader) this.saveSoon(leader)
    if (leader === undefined || this.isLeaderAway() || this.isCut(box)) return
    if (box !== leader) {
      return this.tell(leader, {type: "crashes", changes, source: "box"})
    }
    this.leaderCharacters += JSON.stringify(changes).length
    for (let i = 0; i < this.boxes.length; i++) {
      if (i === leader || this.isCut(i)) continue
      this.tell(i, {type: "crashes", changes, source: "leader"})
    }
  }

  private countUpdate(): void {
    const crashes = this.servers.reduce(
      (sum, {incarnation, up}) => sum + incarnation + Number(!up),
      0
    )
    const most = MOST_UPDATES_MORE + MOST_UPDATES_EACH * crashes * this.options_.boxes
    if (++this.updates > most) throw new Error("updates without end")
  }

  private saveSoon(leader: number): void {
    this.options_.agenda.schedule(SAVE_AFTER_MS, () => {
      if (this.leader_ !== leader) return
      const {serving} = this.boxes[leader] as RoutedState
      this.stored_ = serving.crashes
        .toMessages(this.options_.agenda.now)
        .filter(({lives}) => lives.length >= MIN_STORED_CRASHES)
        .sort((a, b) => b.lives.length - a.lives.length)
        .slice(0, MAX_STORED)
        .map(({fingerprint, lives, trials}) => ({fingerprint, lives, trials, ageMs: 0}))
    })
  }

  /** Has a box send a request for another one, unless an obstacle forbids it. */
  private carry(
    sent: SentAttempt,
    carrier: number,
    server: CrashServer,
    incarnation: string
  ): void {
    const {serving} = this.boxes[carrier] as RoutedState
    const request = this.boxes[sent.box]?.serving.requests.get(sent.id)
    if (!request || !this.isUp(carrier) || this.isCut(carrier)) {
      return this.fail(sent, "not-sent")
    }
    const {arrival, isTrial} = request
    const fingerprints = listFingerprints(arrival)
    const carried = {server: incarnation, isAllowed: true, fingerprints, isTrial}
    const obstacle = findCarryObstacle(serving, carried, this.options_.agenda.now)
    if (obstacle === "quarantined") return this.fail(sent, obstacle)
    if (obstacle) return this.fail(sent, "not-sent")
    const id = toCarriedId(sent)
    this.step(carrier, {type: "carried", id, backend: incarnation, fingerprints})
    this.options_.agenda.schedule(LINK_MS, () =>
      this.options_.onDelivery(sent, server, incarnation)
    )
  }

  /** Ends a request at the box that sends it for another one, if one does. */
  endCarried(sent: SentAttempt, end: CarriedEnd): void {
    const {via} = sent
    if (via === undefined) return
    this.tell(Number(via), {type: "carried-ended", id: toCarriedId(sent), end})
  }

  private listPeers(): string[] {
    return Array.from({length: this.options_.boxes}, (_, i) => String(i))
  }

  private isCut(box: number): boolean {
    const {cut, agenda} = this.options_
    if (!cut?.boxes.includes(box)) return false
    return agenda.now >= cut.from && agenda.now < cut.to
  }

  /** Links boxes to the leader again when they are no longer cut off. */
  private scheduleReturnOfCutBoxes(): void {
    const {cut, agenda} = this.options_
    if (!cut) return
    agenda.schedule(cut.to, () => {
      for (const box of cut.boxes) this.follow(box)
    })
  }

  /** Whether messages between boxes and the leader are lost now. */
  private isLeaderAway(): boolean {
    const [from, to] = this.options_.leaderAway ?? [Infinity, Infinity]
    const {now} = this.options_.agenda
    return now >= from && now < to
  }

  /** Has the leader send its whole list when the links are back. */
  private scheduleReturnOfLeader(): void {
    const [, to] = this.options_.leaderAway ?? []
    if (to === undefined) return
    this.options_.agenda.schedule(to, () => {
      const leader = this.leader_
      if (leader === undefined) return
      for (let i = 0; i < this.boxes.length; i++) {
        if (i !== leader) this.tellAllRecords(leader, i)
      }
    })
  }
}

function toCarriedId({box, id, attempt}: SentAttempt): string {
  return [box, id, attempt].join()
}

/** Returns the event of a failed attempt, at the box that has the request. */
export function toFailedEvent(
  {id, attempt, via}: SentAttempt,
  failure: Failure
): RoutedEvent {
  return {
    type: "failed",
    id,
    attempt,
    failure: via === undefined ? failure : toCarriedFailure(failure),
    lastEventId: undefined
  }
}

/** Returns what the box that has the request learns of a failure at another one. */
function toCarriedFailure(failure: Failure): AttemptFailure {
  if (failure === "broken") return "broken-beyond"
  return failure === "not-sent" ? "not-carried" : failure
}

/** Draws the time until the next of events with the given rate (ms). */
export function drawGapMs(draw: () => number, perSecond: number): number {
  return (-Math.log(1 - draw()) * 1_000) / perSecond
}
