/** Applies events to the state that a box holds as the leader of the engine fleet. */
import {newestVersionOf} from "./adapter-versions.js"
import {engineViewOf} from "./box-engines.js"
import {type BoxServing, logEvent} from "./box-state.js"
import {recordEndedUses} from "./leader-pressure.js"
import {handleOrderResult} from "./placement-orders.js"
import {
  adoptEngineView,
  handleLateWeights,
  handleIncarnationEnd,
  handleMissingWeights,
  applyEngineReport
} from "./placement-reports.js"
import {createFleet, type Fleet} from "./placement-state.js"
import {
  removeWeightsRequest,
  forgetBox,
  updateEngines,
  setNewestVersion,
  handleWeightsRequest,
  applyUseDeltas
} from "./placement-uses.js"
import {DEFAULT_USAGE, windowLimit, type UsageOptions} from "./usage-limits.js"
import {listPaces, type UsagePace} from "./usage-pace.js"
import {runningMs} from "./suspensions.js"
import {type LedgerEffect, UsageLedger} from "./usage-ledger.js"
import {RatePacer} from "./rate-pacer.js"
import {ServicePressure} from "./service-pressure.js"
import {RetryPool} from "./rate-windows.js"
import type {FleetEvent} from "./serving-events.js"

/** State of a box: for serving requests, and for leading if it is the leader. */
export interface RoutedState {
  readonly serving: BoxServing
  /** Defined only while this box is the leader. */
  fleet: Fleet | undefined
  /** Retries that this box, as the leader, grants to other boxes. */
  retryPool?: RetryPool
  /** Usage of organisations, tracked while this box is the leader. */
  ledger?: UsageLedger
  ledgerEffects?: LedgerEffect[]
  /** Distributes the capacity of rate-limited servers while this box is the leader. */
  pacer?: RatePacer
  /** Demand for services without free places, known while this box is the leader. */
  pressure?: ServicePressure
}

/** Applies an event of the leader, or the start or end of this box's leadership. */
export function applyFleetEvent(
  state: RoutedState,
  event: FleetEvent,
  now: number
): void {
  if (event.type === "lead") return startLeadership(state, now)
  if (event.type === "lead-over") {
    state.fleet = undefined
    state.serving.isLeader = false
    delete state.ledger
    delete state.pacer
    delete state.pressure
    return
  }
  const {fleet} = state
  if (!fleet) return
  const running = runningMs(state.serving, now)
  switch (event.type) {
    case "need":
      fleet.needsPlanning = true
      return handleWeightsRequest(fleet, event.box, event.need, now)
    case "drop":
      return removeWeightsRequest(fleet, event.box, event.request, now)
    case "uses":
      fleet.needsPlanning = true
      if (state.pressure) recordEndedUses(state.pressure, fleet, event.changes)
      return applyUseDeltas(fleet, event.box, event.changes, now)
    case "missing":
      return event.late
        ? handleLateWeights(fleet, event.engine, event.adapter, now)
        : handleMissingWeights(fleet, event.engine, event.adapter, now)
    case "ask-retry": {
      const {box, id, service} = event
      const allowed = state.retryPool?.tryTake(service, running) ?? false
      fleet.effects.push({type: "retry", box, id, allowed})
      return
    }
    case "usage":
      return state.ledger?.handleUsage(event.box, event.ask, event.entries, running)
    case "usage-read":
      state.ledger?.handleStored(event.outlooks, running, event.claims, event.endedForMs)
      return logTakenOver(state, running)
    case "usage-close":
      return state.ledger?.close(running)
    case "usage-saved":
      return state.ledger?.handleSaved(event.save, event.ok, running)
    case "send-asks": {
      const {box, asks} = event
      const grants = asks.flatMap(
        ask => state.pacer?.handleRequest(box, ask, running) ?? []
      )
      fleet.effects.push({type: "send-grants", box, grants})
      return
    }
    case "demand":
      return state.pressure?.recordDemand(event.box, event.rows, now)
    case "sent-lately":
      for (const sent of event.sent) state.pacer?.recordSent(sent, running)
      return
    case "box-gone":
      state.ledger?.forgetBox(event.box)
      state.pacer?.forgetBox(event.box)
      state.pressure?.forgetBox(event.box)
      return forgetBox(fleet, event.box, now)
    case "life-over":
      return handleIncarnationEnd(fleet, event.engine, now)
    case "report":
      return applyEngineReport(fleet, event.engine, event.report, now)
    case "order-result":
      fleet.needsPlanning = true
      return handleOrderResult(fleet, event.engine, event.result, now)
  }
}

function startLeadership(state: RoutedState, now: number): void {
  state.fleet = createFleet(now)
  state.serving.isLeader = true
  state.retryPool = new RetryPool(
    state.serving.options.retry,
    runningMs(state.serving, now)
  )
  for (const [adapter, named] of state.serving.versions) {
    setNewestVersion(state.fleet, adapter, newestVersionOf(named))
  }
  state.fleet.boxCount = state.serving.boxCount
  state.pressure = new ServicePressure()
  createLedger(state)
  const {advertisedRates: rates} = state.serving
  state.pacer = new RatePacer(
    server => rates.of(server),
    server => rates.hasEnded(server)
  )
  updateEngineList(state, now)
  for (const [id, held] of state.serving.recentAdapters) {
    const engine = state.fleet.engines.get(id)
    for (const [adapter, at] of held) engine?.cachedWeights.set(adapter, at)
  }
  for (const engine of state.fleet.engines.values()) {
    engine.isRateLimited = rates.of(engine.id) !== undefined
    const known = state.serving.backends.known.get(engine.id)
    if (known) adoptEngineView(engine, engineViewOf(state.serving, known.record), now)
  }
}

function createLedger(state: RoutedState): void {
  const effects: LedgerEffect[] = []
  const {serving} = state
  const limits = (): ReadonlyMap<string, number> => usageLimitsOf(serving)
  state.ledgerEffects = effects
  state.ledger = new UsageLedger(
    usageOptionsOf(serving),
    limits,
    effect => effects.push(effect),
    serving.options.incarnation,
    () => usagePacesOf(serving)
  )
  startReadingUsage(state)
}

/**
 * Starts to read the usage that earlier leaders granted, as soon as there are limits. A
 * leader that may not know it refuses all for a while, which should not begin only with
 * the first request.
 */
export function startReadingUsage({ledger, serving}: RoutedState): void {
  if (serving.table && serving.table.usageLimits.size > 0) ledger?.startReading()
}

function usageOptionsOf({options}: BoxServing): UsageOptions {
  return options.usage ?? DEFAULT_USAGE
}

/** Returns the usage allowed in any window, by organisation with a limit. */
function usageLimitsOf(serving: BoxServing): Map<string, number> {
  const limits = [...(serving.table?.usageLimits ?? [])]
  const usage = usageOptionsOf(serving)
  return new Map(limits.map(([name, limit]) => [name, windowLimit(limit, usage)]))
}

function usagePacesOf(serving: BoxServing): ReadonlyMap<string, UsagePace> {
  return serving.table ? listPaces(serving.table, usageOptionsOf(serving)) : new Map()
}

/** Updates the leader's list of engines from the list of backend servers. */
export function updateEngineList({fleet, serving}: RoutedState, now: number): void {
  const services = serving.table?.services
  if (!fleet || !services) return
  const listed = [...serving.backends.known.values()].map(({record}) => record)
  updateEngines(fleet, services, listed, now)
}

/** Logs what the leader counts of earlier leaders' time. */
function logTakenOver({serving, ledger}: RoutedState, now: number): void {
  for (const taken of ledger?.listTakenOver(now) ?? []) {
    logEvent(serving, "usage-taken-over", {...taken})
  }
}
