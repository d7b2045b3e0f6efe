/**
 * The leader's levels of pressure: what boxes refuse of a service whose places are all
 * taken. A level admits the ranks in order of urgency, as many requests as engines finish,
 * and leaves a short queue so that no place stays free.
 */
import type {DemandRow, PressureLevel} from "../types/load-messages.js"
import type {ControlledService} from "./controlled-services.js"
import {DemandRates, type RankDemand} from "./demand-rates.js"
import {divideFairly, refuseBeyondShares} from "./organisation-shares.js"
import type {Fleet, FleetEngine} from "./placement-state.js"
import {PlaceTimes} from "./place-times.js"

/** Interval of new levels. Within it, a level only ends. */
const INTERVAL_MS = 250

/**
 * An unchanged level is sent again after this time. Boxes drop a level after 1,000 ms, and
 * a message may be late by a batch interval of many boxes.
 */
const REPEAT_MS = 750

/**
 * Time in which a level removes the difference from the queue that it aims at. In the
 * pattern test/patterns/overload.ts (seeds 1 and 2) 2,845 of 5,445 requests of the least
 * urgent kind were in time at 1,000 ms, 2,962 of 5,491 at 2,000 and 2,855 of 5,506 at 3,000.
 */
const CORRECTION_MS = 2_000

/**
 * Part of the finished requests that ranks above the least urgent may take before they are
 * refused, too. The rest ends the queue that their bursts leave.
 */
const URGENT_SHARE = 0.97

/** Time over which refused requests are counted that may come back. */
const RETURNS_MS = 1_000

/**
 * Least part of the finished requests that counts for the least urgent rank, so that its
 * wait stays finite while more urgent ranks take all.
 */
const MIN_LEAST_SHARE = 0.1

/** Bounds of the time until capacity that a level names. */
const MIN_ROOM_MS = 250
const MAX_ROOM_MS = 5_000

/** Smaller changes of a fraction are not sent before the level is due anyway. */
const MIN_CHANGE = 0.05

/** Usage of a service's engines, in requests. */
export interface PlaceUse {
  readonly places: number
  readonly free: number
  /** Requests beyond the places of their engines. */
  readonly queued: number
}

/** A level that began, changed its rank or ended, for the log. */
export interface PressureChange {
  readonly service: string
  /** Undefined if the shortage is over. */
  readonly level: PressureLevel | undefined
  readonly use: PlaceUse
  readonly waitMs: number
}

interface ServiceState {
  readonly demand: DemandRates
  readonly times: PlaceTimes
  computedAt: number
  level: PressureLevel | undefined
}

/** Requests in progress at an engine, including those that wait for a place there. */
export function countRunning({running}: FleetEngine): number {
  return running
}

/** Counts the places of the engines of a service that can take requests. */
export function countPlaces(
  {engines}: Pick<Fleet, "engines">,
  {name, places: perEngine}: ControlledService,
  now: number
): PlaceUse {
  let places = 0
  let free = 0
  let queued = 0
  for (const engine of engines.values()) {
    if (engine.service !== name || !isUsable(engine, now)) continue
    const running = countRunning(engine)
    places += perEngine
    free += Math.max(0, perEngine - running)
    queued += Math.max(0, running - perEngine)
  }
  return {places, free, queued}
}

function isUsable(engine: FleetEngine, now: number): boolean {
  if (engine.leaving || engine.models.size === 0) return false
  const fails = engine.failures > 1 && engine.pausedUntil > now
  return !fails && engine.backoffUntil <= now
}

/** The levels of all services, kept by the leader. */
export class ServicePressure {
  /** Levels that began, changed their rank or ended since they were last taken. */
  changes: PressureChange[] = []
  private readonly services_ = new Map<string, ServiceState>()
  private sent_: readonly PressureLevel[] = []
  private sentAt_ = -Infinity

  /** Records what a box reports. */
  recordDemand(box: string, rows: readonly DemandRow[], now: number): void {
    const byService = new Map<string, DemandRow[]>()
    for (const row of rows) byService.set(row[0], [...(byService.get(row[0]) ?? []), row])
    for (const [name, state] of this.services_) {
      state.demand.record(box, byService.get(name) ?? [], now)
    }
  }

  /** Records requests that ended at engines of a service. */
  recordEnded(service: string, count: number): void {
    this.services_.get(service)?.times.recordEnded(count)
  }

  forgetBox(box: string): void {
    for (const {demand} of this.services_.values()) demand.forgetBox(box)
  }

  /**
   * Returns all levels in force if they have to be sent; they replace those sent before.
   * Undefined if nothing has to be sent.
   *
   * A level begins only while no place of a usable engine is free and a new request of the
   * least urgent rank would wait for longer than its caller can. It ends at the first call at which a place is free, or within `INTERVAL_MS` after the
   * demand fits what engines finish.
   */
  update(
    fleet: Pick<Fleet, "engines" | "storeLoadMs">,
    services: ReadonlyMap<string, ControlledService>,
    now: number
  ): readonly PressureLevel[] | undefined {
    for (const name of this.services_.keys()) {
      if (!services.has(name)) this.services_.delete(name)
    }
    for (const service of services.values()) this.updateService(fleet, service, now)
    const levels = [...this.services_.values()].flatMap(({level}) => level ?? [])
    const isDue = levels.length > 0 && now - this.sentAt_ >= REPEAT_MS
    if (!isDue && !differ(levels, this.sent_)) return undefined
    this.sent_ = levels
    this.sentAt_ = now
    return levels
  }

  private updateService(
    fleet: Pick<Fleet, "engines" | "storeLoadMs">,
    service: ControlledService,
    now: number
  ): void {
    const state = this.stateOf(service.name, now)
    const isDue = now - state.computedAt >= INTERVAL_MS
    if (!isDue && !state.level) return
    const use = countPlaces(fleet, service, now)
    if (isDue) {
      state.computedAt = now
      state.times.average(use.places - use.free, now)
      const ranks = state.demand.list(now)
      const finishedPerMs = state.times.finishedPerMs(use.places)
      const answerMs = state.times.holdMs()
      const bearableMs = bearableWaitMs(service, answerMs, fleet.storeLoadMs)
      const shortage = {use, finishedPerMs, ranks, bearableMs}
      return this.setLevel(state, computeLevel(service, shortage, state.level), shortage)
    }
    if (use.free > 0) {
      const relieved = {use, finishedPerMs: 1, ranks: [], bearableMs: 0}
      this.setLevel(state, undefined, relieved)
    }
  }

  private setLevel(
    state: ServiceState,
    level: PressureLevel | undefined,
    shortage: Shortage
  ): void {
    const previous = state.level
    state.level = level
    const service = (level ?? previous)?.service
    if (service === undefined || previous?.rank === level?.rank) return
    this.changes.push({service, level, use: shortage.use, waitMs: waitFor(shortage)})
  }

  private stateOf(service: string, now: number): ServiceState {
    const known = this.services_.get(service)
    if (known) return known
    const created = {
      demand: new DemandRates(),
      times: new PlaceTimes(),
      computedAt: now,
      level: undefined
    }
    this.services_.set(service, created)
    return created
  }
}

/** What a level is computed from. */
export interface Shortage {
  readonly use: PlaceUse
  /** Requests that engines finish in a millisecond while all places are taken. */
  readonly finishedPerMs: number
  /** Demand, the most urgent rank first. */
  readonly ranks: readonly RankDemand[]
  /** Longest wait for a place after which the least urgent callers are still answered. */
  readonly bearableMs: number
}

/**
 * Returns how long a request of the least urgent kind can wait for a place: its weights have
 * to be loaded, it must begin before its caller leaves, and end within its time limit.
 *
 * @param answerMs - How long requests hold a place.
 * @param loadMs - How long a load of an adapter takes.
 */
export function bearableWaitMs(
  {leastUrgentPatienceMs, leastUrgentTimeoutMs}: ControlledService,
  answerMs: number,
  loadMs: number
): number {
  const leavesInMs = Math.min(leastUrgentPatienceMs, leastUrgentTimeoutMs - answerMs)
  return Math.max(0, leavesInMs - loadMs)
}

/**
 * Computes the level of a service. Undefined if nothing is to be refused.
 *
 * Let F requests be finished in a millisecond. Ranks are admitted in full, the most urgent
 * first, while they fit `URGENT_SHARE` of F. The level names the first rank that does not
 * fit, or the last one. With L = F less the demand of the ranks before it, never less than
 * `MIN_LEAST_SHARE` of F, its aimed queue is A = L * the longest wait that callers bear, and
 * at least `INTERVAL_MS`. With Q requests of its rank and less urgent ones
 * waiting, L + (A - Q) / `CORRECTION_MS` are admitted of it in a millisecond, never less
 * than 0. Queues of more urgent ranks do not count, as these overtake it.
 */
export function computeLevel(
  {name: service, dividesByOrganisation}: ControlledService,
  shortage: Shortage,
  previous: PressureLevel | undefined
): PressureLevel | undefined {
  const {use, finishedPerMs} = shortage
  // A place must not stay free until the next level.
  const aimedMs = Math.max(INTERVAL_MS, shortage.bearableMs)
  if (use.places === 0 || use.free > 0) return undefined
  if (!previous && waitFor(shortage) <= aimedMs) return undefined
  const {demand, overtaking} = findLevelRank(shortage)
  if (!demand) return undefined
  const finishedOfRank = finishedBeyond(finishedPerMs, overtaking)
  const queued = countQueued(shortage, demand.rank)
  const aimed = aimedMs * finishedOfRank
  const leftPerMs = Math.max(0, finishedOfRank + (aimed - queued) / CORRECTION_MS)
  if (demand.perMs <= leftPerMs) return undefined
  const fractions = dividesByOrganisation
    ? divideRank(demand, leftPerMs, finishedOfRank)
    : {fraction: roundPart(1 - leftPerMs / demand.perMs)}
  const excessMs = Math.max(0, queued - aimed) / finishedOfRank
  const roomInMs = boundRoom(excessMs + returnsMs(demand, leftPerMs))
  return {service, rank: demand.rank, ...fractions, roomInMs}
}

/** Finds the rank of the level, and the demand of the ranks that overtake it. */
function findLevelRank({finishedPerMs, ranks}: Shortage): {
  readonly demand: RankDemand | undefined
  readonly overtaking: number
} {
  let overtaking = 0
  for (const demand of ranks.slice(0, -1)) {
    if (overtaking + demand.perMs > finishedPerMs * URGENT_SHARE)
      return {demand, overtaking}
    overtaking += demand.perMs
  }
  return {demand: ranks.at(-1), overtaking}
}

/** Waiting requests of a rank and of less urgent ones, as far as engines are full. */
function countQueued({use, ranks}: Shortage, lowest: number): number {
  const waiting = ranks
    .filter(({rank}) => rank >= lowest)
    .reduce((sum, each) => sum + each.waiting, 0)
  return Math.min(use.queued, waiting)
}

/** Time that the requests refused lately need, at what is left for their rank. */
function returnsMs({refusedPerMs}: RankDemand, leftPerMs: number): number {
  const refused = refusedPerMs * RETURNS_MS
  return refused > 0 ? refused / Math.max(leftPerMs, refused / MAX_ROOM_MS) : 0
}

function boundRoom(ms: number): number {
  return Math.round(Math.min(MAX_ROOM_MS, Math.max(MIN_ROOM_MS, ms)))
}

/**
 * Divides what is left for a rank. A queue that is too long is reduced at the cost of
 * organisations beyond their shares, whose requests fill it: as long as there are some, at
 * least the demand of all others is divided.
 */
function divideRank(
  {byOrganisation}: RankDemand,
  leftPerMs: number,
  finishedOfRank: number
): Pick<PressureLevel, "fraction" | "organisations"> {
  const shares = divideFairly(byOrganisation, finishedOfRank)
  const within = [...byOrganisation].filter(
    ([name, perMs]) => perMs <= (shares.get(name) ?? 0)
  )
  const withinPerMs = within.reduce((sum, [, perMs]) => sum + perMs, 0)
  const areSomeBeyond = within.length < byOrganisation.size
  const capacity = areSomeBeyond ? Math.max(leftPerMs, withinPerMs) : leftPerMs
  const {listed, others} = refuseBeyondShares(byOrganisation, capacity)
  const organisations = listed.map(
    ([organisation, fraction]) => [organisation, roundPart(fraction)] as const
  )
  return {fraction: roundPart(others), organisations}
}

/** Wait of a new request of the least urgent rank, which every other rank overtakes. */
function waitFor(shortage: Shortage): number {
  const {ranks, finishedPerMs} = shortage
  const overtaking = ranks.slice(0, -1).reduce((sum, {perMs}) => sum + perMs, 0)
  const queued = countQueued(shortage, ranks.at(-1)?.rank ?? 0)
  return Math.round(queued / finishedBeyond(finishedPerMs, overtaking))
}

/** Requests that are finished beyond the demand of the ranks that overtake. */
function finishedBeyond(finishedPerMs: number, overtaking: number): number {
  return Math.max(finishedPerMs * MIN_LEAST_SHARE, finishedPerMs - overtaking)
}

function roundPart(part: number): number {
  return Math.round(part * 100) / 100
}

function differ(a: readonly PressureLevel[], b: readonly PressureLevel[]): boolean {
  if (a.length !== b.length) return true
  return a.some((level, i) => isChanged(level, b[i] as PressureLevel))
}

function isChanged(level: PressureLevel, sent: PressureLevel): boolean {
  if (level.service !== sent.service || level.rank !== sent.rank) return true
  if (Math.abs(level.fraction - sent.fraction) > MIN_CHANGE) return true
  const before = new Map(sent.organisations)
  const after = new Map(level.organisations)
  return [...new Set([...before.keys(), ...after.keys()])].some(
    name => Math.abs((before.get(name) ?? 0) - (after.get(name) ?? 0)) > MIN_CHANGE
  )
}
