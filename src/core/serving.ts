/** The transition function of a box: takes an event and the time, returns effects. */
import {diffUsability, listEndedIncarnations} from "./backend-changes.js"
import {
  type BackendList,
  expireBackends,
  setRestoredEntriesUntil,
  recordRestore,
  recordStoreRecovery,
  recordStoreServedOthers,
  recordStoreFailure,
  type StoreRead,
  applyBackendUpdate,
  applyBackendList
} from "./backend-list.js"
import {handleRetryAnswer} from "./box-retry-requests.js"
import {reportDemand} from "./box-admission.js"
import {expireUnanswered, tickRequests} from "./box-clock.js"
import {
  handleCarriedEnd,
  handleEndedIncarnation,
  applyCrashChanges,
  handleProbeResult,
  tickCrashes
} from "./box-crashes.js"
import {
  handleAnswerEnd,
  handleAttemptFailure,
  handleAnswerHead,
  handleAnswerHeldUp,
  handleAnswerBytes,
  handleAttemptStart,
  recordAnswerEnd
} from "./box-attempts.js"
import {observePlainServers, plainHedgeMs} from "./box-plain.js"
import {handlePathProbe, recordConnectFailure, tickPaths} from "./box-paths.js"
import {requestUsageAllowances} from "./box-usage.js"
import {
  admit,
  sendOrWait,
  handleCallerDisconnect,
  stopServing,
  reportToNewLeader
} from "./box-requests.js"
import {listPacedRequests, reportRecentSends} from "./box-pacing.js"
import {endIncarnation} from "./box-incarnations.js"
import {
  applyRecordedVersions,
  handleOriginAnswer,
  handleStreamBegin,
  recordTimeouts,
  reportOpenStreams
} from "./box-streams.js"
import {type BoxServing, drainEffects, logEvent} from "./box-state.js"
import {applyVersions, toLoggedAgeMs} from "./box-versions.js"
import {handleWeightsRefusal} from "./box-waits.js"
import {recordConfigRead, applyEra, recordSnapshotTime} from "./box-snapshot-age.js"
import {RESTORED_ENTRY_MS, type KnownEra} from "./eras.js"
import {applyEngineDeltas, applyEngineLoads, applyFullSnapshot} from "./box-engines.js"
import {resetServiceIndex} from "./box-holders.js"
import {listControlledServices} from "./controlled-services.js"
import {logEngines} from "./engines-log.js"
import {sendPressure} from "./leader-pressure.js"
import {drainFleet, planFleet} from "./placement.js"
import {
  applyEngineRateLimit,
  applyEngineBackoff,
  setNewestVersion
} from "./placement-uses.js"
import {applySuspension, runningMs} from "./suspensions.js"
import {recordBoxCount} from "./server-connections.js"
import {handleNotice, applyRateUpdates, reportRates} from "./server-notices.js"
import {buildRouteTable} from "./route-table.js"
import {
  updateEngineList,
  type RoutedState,
  applyFleetEvent,
  startReadingUsage
} from "./serving-fleet.js"
import type {SendAllowanceGrant} from "../types/rate-messages.js"
import type {
  FleetEvent,
  RoutedEffect,
  RoutedEvent,
  ServingEvent
} from "./serving-events.js"

/**
 * Tick intervals: while the leader has updates to plan, while requests wait or may be
 * moved from slow servers, and otherwise.
 */
const PLAN_TICK_MS = 3
const WAITING_TICK_MS = 20
export const IDLE_TICK_MS = 100

/** Returns the time from a tick to the next one. */
export function nextTickMs({serving, fleet}: RoutedState): number {
  if (fleet && fleet.waitingRequests.size > 0) {
    return fleet.needsPlanning ? PLAN_TICK_MS : WAITING_TICK_MS
  }
  for (const request of serving.requests.values()) {
    const {attempt} = request
    if (!attempt || plainHedgeMs(serving, request, attempt) !== undefined) {
      return WAITING_TICK_MS
    }
  }
  return IDLE_TICK_MS
}

/**
 * Applies one event. `now` is monotonic time in milliseconds, real or simulated;
 * `suspendedMs` is the part of it during which the process did not run.
 */
export function stepRouted(
  state: RoutedState,
  event: RoutedEvent,
  now: number,
  suspendedMs = 0
): {readonly state: RoutedState; readonly effects: readonly RoutedEffect[]} {
  const {serving} = state
  applySuspension(state, suspendedMs)
  applyServingEvent(state, event as ServingEvent, now)
  applyFleetEvent(state, event as FleetEvent, now)
  const effects = drainEffects(serving)
  if (!state.fleet) return {state, effects}
  const ledgers = state.ledgerEffects?.splice(0) ?? []
  return {state, effects: [...effects, ...drainFleet(state.fleet), ...ledgers]}
}

function applyServingEvent(state: RoutedState, event: ServingEvent, now: number): void {
  const {serving} = state
  switch (event.type) {
    case "arrive":
      return admit(serving, event.arrival, now)
    case "started":
      return handleAttemptStart(serving, event.id, event.attempt, now)
    case "heard":
      return handleAnswerBytes(serving, event.id, event.attempt, now, event.lastEventId)
    case "held-up":
      return handleAnswerHeldUp(serving, event.id, event.attempt, now)
    case "head":
      return handleAnswerHead(serving, event.id, event.attempt, event.head, now)
    case "stream-began":
      return handleStreamBegin(serving, event.id, event.attempt, now)
    case "origin-answer": {
      const request = serving.requests.get(event.id)
      if (request && handleOriginAnswer(serving, request, event.answer, now)) {
        sendOrWait(serving, request, now)
      }
      return
    }
    case "versions-recorded":
      return applyRecordedVersions(serving, event.recorded, now)
    case "origins-told":
      for (const origin of event.origins) serving.origins.record(origin, now)
      return
    case "answer-ended":
      return recordAnswerEnd(serving, event.id, event.attempt, event.end)
    case "done":
      return handleAnswerEnd(serving, event.id, event.attempt, event.events ?? 0, now)
    case "failed":
      return handleAttemptFailure(
        serving,
        event.id,
        event.attempt,
        event.failure,
        event.lastEventId,
        now
      )
    case "hang-up":
      return handleCallerDisconnect(serving, event.id, now)
    case "refuse":
      return handleWeightsRefusal(serving, event.request, event.retryAfterMs, now)
    case "may-retry":
      return handleRetryAnswer(serving, event.id, event.allowed, now)
    case "allowances":
      serving.usageAllowances.handleGrants(event.ask, event.grants, now)
      return tickRequests(serving, now)
    case "leader-new":
      serving.usageAllowances.beginTerm()
      requestUsageAllowances(serving, now)
      serving.sendAllowances.beginTerm()
      reportRates(serving, now)
      reportRecentSends(serving, serving.advertisedRates.list(), now)
      return reportToNewLeader(serving)
    case "server-says": {
      const {backend, notice, sentAt} = event
      if (handleNotice(serving, backend, notice, sentAt, now))
        updateEngineList(state, now)
      return copyServerLimits(state, backend)
    }
    case "rates":
      applyRateUpdates(serving, event.news, event.source, now)
      for (const {server} of event.news) copyServerLimits(state, server)
      return
    case "send-grants":
      return applySendGrants(serving, event.grants, now)
    case "pressure":
      return serving.admission.applyLevels(event.services, now)
    case "probed":
      handleProbeResult(serving, event.backend, event.up, now)
      return tickRequests(serving, now)
    case "path-checked":
      handlePathProbe(serving, event.backend, event.accepted, now)
      return tickRequests(serving, now)
    case "connect-failed":
      return recordConnectFailure(serving, event.backend, now)
    case "server-heard":
      return serving.reach.recordHeard(event.backend, now)
    case "carried": {
      const {backend, fingerprints} = event
      serving.carried.set(event.id, {backend, fingerprints})
      return
    }
    case "carried-ended":
      return handleCarriedEnd(serving, event.id, event.end, now)
    case "peers":
      return serving.peers.add(event.addresses)
    case "crashes":
      applyCrashChanges(serving, event.changes, event.source, now)
      return tickRequests(serving, now)
    case "exit":
      return expireUnanswered(serving, now)
    case "stop":
      return stopServing(serving, now)
    case "tick":
      return tick(state, event.mayOrder, now)
    default:
      return applySystemUpdate(state, event, now)
  }
}

/**
 * Copies a server's back-off and advertised rate limit to the leader's plan, since load
 * orders must respect them, too.
 */
function copyServerLimits({fleet, serving}: RoutedState, backend: string): void {
  if (!fleet) return
  applyEngineBackoff(fleet, backend, serving.backoffUntil)
  applyEngineRateLimit(fleet, backend, serving.advertisedRates.of(backend))
}

/**
 * Applies the leader's answers to send requests. Waiting requests are sent in order of
 * urgency.
 */
function applySendGrants(
  serving: BoxServing,
  grants: readonly SendAllowanceGrant[],
  now: number
): void {
  const changed = grants.filter(grant => serving.sendAllowances.handleGrant(grant, now))
  if (changed.length === 0) return
  for (const request of listPacedRequests(serving)) sendOrWait(serving, request, now)
}

/**
 * Applies an update of the box's view of the system. Waiting requests are evaluated
 * again.
 */
function applySystemUpdate(state: RoutedState, event: ServingEvent, now: number): void {
  const {serving} = state
  switch (event.type) {
    case "config":
      // The configuration version never decreases within a process.
      if ((serving.table?.config.version ?? -1) >= event.config.version) return
      serving.table = buildRouteTable(event.config)
      recordTimeouts(serving, event.config.routes)
      serving.routeTimes.retainOnly(new Set(event.config.routes.map(({name}) => name)))
      startReadingUsage(state)
      return updateEngineList(state, now)
    case "backends":
      replaceBackends(
        state,
        applyBackendList(
          serving.backends,
          event.records,
          event.reading,
          now,
          event.unreadable
        ),
        event.reading.source,
        now
      )
      return tickRequests(serving, now)
    case "backend":
      return replaceBackends(
        state,
        applyBackendUpdate(serving.backends, event.id, event.record, event.reading, now),
        event.reading.source,
        now
      )
    case "store-trouble":
      serving.backends = recordStoreFailure(serving.backends, now)
      return
    case "store-served":
      return replaceBackends(
        state,
        recordStoreServedOthers(serving.backends),
        "expiry",
        now
      )
    case "store-back":
      serving.backends = recordStoreRecovery(serving.backends, now)
      return
    case "news":
      recordSnapshotTime(serving, event.at, event.read)
      return tickRequests(serving, now)
    case "config-read":
      return recordConfigRead(serving, event.at)
    case "era":
      return handleEraChange(state, event.known, event.restored, now)
    case "copied":
      serving.backends = setRestoredEntriesUntil(serving.backends, event.until)
      return
    case "engines":
      applyFullSnapshot(serving, event.engines, now)
      return tickRequests(serving, now)
    case "places":
      applyEngineDeltas(serving, event.changes, now)
      if (event.loads) applyEngineLoads(serving, event.loads)
      return tickRequests(serving, now)
    case "loads":
      return applyEngineLoads(serving, event.loads)
    case "versions":
      applyVersions(serving, event.versions, now)
      for (const [adapter, version] of event.versions) {
        if (state.fleet) setNewestVersion(state.fleet, adapter, version)
      }
      return
    case "orders":
      serving.hasLeader = event.hasLeader
      serving.ordersFrom = now + event.inMs
      return
    case "boxes":
      serving.boxCount = event.boxes
      serving.sharingBoxes = recordBoxCount(serving.sharingBoxes, event.boxes, now)
      if (state.fleet) state.fleet.boxCount = event.boxes
      return
  }
}

/**
 * Records the era of the store. After a restore from an older backup the box keeps its
 * own newer state.
 */
function handleEraChange(
  {serving, ledger}: RoutedState,
  known: KnownEra,
  restored: boolean,
  now: number
): void {
  applyEra(serving, known, restored)
  if (!restored) return
  ledger?.invalidateStored()
  serving.backends = recordRestore(serving.backends, known.begunBy, now)
  if (serving.readBeforeEra === undefined) {
    serving.backends = setRestoredEntriesUntil(
      serving.backends,
      known.begunBy + RESTORED_ENTRY_MS
    )
  }
  logEvent(serving, "era-kept", {
    era: known.era,
    ageMs: Math.round(now - known.begunBy),
    config: serving.table?.config.version ?? -1,
    versions: serving.versions.size,
    servers: serving.backends.known.size,
    readBeforeMs: toLoggedAgeMs(now - (serving.readBeforeEra ?? -Infinity))
  })
}

/** Replaces the list of backend servers and logs the changes that affect requests. */
function replaceBackends(
  state: RoutedState,
  after: BackendList,
  source: StoreRead["source"] | "expiry",
  now: number
): void {
  const {serving} = state
  const ended = listEndedIncarnations(serving.backends, after)
  for (const {id, next} of ended) {
    handleEndedIncarnation(serving, id, now)
    const backoffMs = Math.round(endIncarnation(serving, id, next, now))
    logEvent(serving, "backend-reborn", {backend: next, before: id, source, backoffMs})
  }
  for (const {backend, usable} of diffUsability(serving.backends, after)) {
    const event = usable ? "backend-usable" : "backend-unusable"
    logEvent(serving, event, {backend, source})
  }
  serving.backends = after
  observePlainServers(serving, now)
  const records = [...after.known.values()].map(({record}) => record)
  reportOpenStreams(serving, serving.serviceVersions.update(records, now), now)
  updateEngineList(state, now)
  for (const {next} of ended) copyServerLimits(state, next)
}

function tick(state: RoutedState, mayOrder: boolean, now: number): void {
  const {serving, fleet} = state
  const before = serving.backends
  const after = expireBackends(before, now)
  if (after !== before) {
    replaceBackends(state, after, "expiry", now)
    removeGoneEngines(serving)
    removeGoneServers(serving)
  }
  tickCrashes(serving, now)
  tickPaths(serving, now)
  tickRequests(serving, now)
  reportDemand(serving, now)
  if (fleet) planFleet(fleet, mayOrder, now)
  if (fleet && state.pressure && serving.table) {
    sendPressure(state.pressure, fleet, serving.table, now)
    logEngines(fleet, listControlledServices(serving.table), now)
  }
  state.ledger?.tick(runningMs(serving, now))
  state.pacer?.removeUnlimited(runningMs(serving, now))
}

function removeGoneEngines(box: BoxServing): void {
  const {engines, recentAdapters: held, backends} = box
  resetServiceIndex(box)
  for (const id of engines.keys()) if (!backends.known.has(id)) engines.delete(id)
  for (const id of held.keys()) if (!backends.known.has(id)) held.delete(id)
}

function removeGoneServers({
  advertisedRates: rates,
  sendAllowances: allowances,
  recentSends,
  backends
}: BoxServing): void {
  for (const server of rates.list()) {
    if (backends.known.has(server)) continue
    rates.forget(server)
    allowances.forget(server)
  }
  recentSends.keep(server => backends.known.has(server))
}
