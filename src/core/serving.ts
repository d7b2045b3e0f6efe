/** The decisions of a routed box as one transition function: events in, effects out. */
import {diffUsable, listEndedLives} from "./backend-changes.js"
import {
  type BackendList,
  expireBackends,
  noteCopy,
  noteRise,
  noteStoreBack,
  noteStoreServed,
  noteStoreTrouble,
  type Reading,
  takeBackend,
  takeBackends
} from "./backend-list.js"
import {takeRetry} from "./box-asks.js"
import {tickRequests} from "./box-clock.js"
import {noteEndedLife, takeCrashes, takeProbe, tickCrashes} from "./box-crashes.js"
import {
  attemptDone,
  attemptFailed,
  attemptHead,
  attemptHeard,
  attemptStarted
} from "./box-attempts.js"
import {askAllowances} from "./box-usage.js"
import {admit, advance, hangUp, stopServing, tellLeader} from "./box-requests.js"
import {listPaced, tellSentLately} from "./box-pacing.js"
import {endLife} from "./box-lives.js"
import {type BoxServing, drainEffects, note} from "./box-state.js"
import {takeVersions, toLogged} from "./box-versions.js"
import {refuseNeed} from "./box-waits.js"
import {noteConfigRead, noteEra, noteNews} from "./box-news.js"
import {COPIED_ENTRY_MS, type KnownEra} from "./eras.js"
import {takeChanges, takeLoads, takePicture} from "./box-places.js"
import {drainFleet, planFleet} from "./placement.js"
import {keepRate, keepRest, takeFleetVersion} from "./placement-uses.js"
import {noteSuspended, runningMs} from "./suspensions.js"
import {takeNotice, takeRateNews} from "./server-notices.js"
import {buildRouteTable} from "./route-table.js"
import {listEngines, type RoutedState, takeFleet} from "./serving-fleet.js"
import type {SendGrant} from "../types/rate-messages.js"
import type {
  FleetEvent,
  RoutedEffect,
  RoutedEvent,
  ServingEvent
} from "./serving-events.js"

/** Between ticks, milliseconds: while news for the leader's plan waits, while requests do, otherwise. */
const PLAN_TICK_MS = 3
const WAITING_TICK_MS = 20
export const IDLE_TICK_MS = 100

/** How long after a tick the next is due. */
export function nextTickMs({serving, fleet}: RoutedState): number {
  if (fleet && fleet.waiting.size > 0) {
    return fleet.unplanned ? PLAN_TICK_MS : WAITING_TICK_MS
  }
  for (const {attempt} of serving.requests.values()) {
    if (!attempt) return WAITING_TICK_MS
  }
  return IDLE_TICK_MS
}

/**
 * One transition; `now` is monotonic milliseconds, simulated or real, of which `suspendedMs` were no time in
 * which the process ran.
 */
export function stepRouted(
  state: RoutedState,
  event: RoutedEvent,
  now: number,
  suspendedMs = 0
): {readonly state: RoutedState; readonly effects: readonly RoutedEffect[]} {
  const {serving} = state
  noteSuspended(state, suspendedMs)
  takeServing(state, event as ServingEvent, now)
  takeFleet(state, event as FleetEvent, now)
  const effects = drainEffects(serving)
  if (!state.fleet) return {state, effects}
  const ledgers = state.ledgerEffects?.splice(0) ?? []
  return {state, effects: [...effects, ...drainFleet(state.fleet), ...ledgers]}
}

function takeServing(state: RoutedState, event: ServingEvent, now: number): void {
  const {serving} = state
  switch (event.type) {
    case "arrive":
      return admit(serving, event.arrival, now)
    case "started":
      return attemptStarted(serving, event.id, event.attempt, now)
    case "heard":
      return attemptHeard(serving, event.id, event.attempt, now)
    case "head":
      return attemptHead(serving, event.id, event.attempt, event.head, now)
    case "done":
      return attemptDone(serving, event.id, event.attempt, now)
    case "failed":
      return attemptFailed(
        serving,
        event.id,
        event.attempt,
        event.failure,
        event.lastEventId,
        now
      )
    case "hang-up":
      return hangUp(serving, event.id, now)
    case "refuse":
      return refuseNeed(serving, event.request, event.retryAfterMs, now)
    case "may-retry":
      return takeRetry(serving, event.id, event.allowed, now)
    case "allowances":
      serving.stock.take(event.ask, event.grants, now)
      return tickRequests(serving, now)
    case "leader-new":
      serving.stock.beginTerm()
      askAllowances(serving, now)
      serving.allowances.beginTerm()
      tellSentLately(serving, serving.rates.list(), now)
      return tellLeader(serving)
    case "server-says": {
      const {backend, notice, sentAt} = event
      if (takeNotice(serving, backend, notice, sentAt, now)) listEngines(state, now)
      return keepNotices(state, backend)
    }
    case "rates":
      takeRateNews(serving, event.news, event.source, now)
      for (const {server} of event.news) keepNotices(state, server)
      return
    case "send-grants":
      return takeGrants(serving, event.grants, now)
    case "probed":
      takeProbe(serving, event.backend, event.up, now)
      return tickRequests(serving, now)
    case "crashes":
      takeCrashes(serving, event.changes, event.source, now)
      return tickRequests(serving, now)
    case "stop":
      return stopServing(serving, now)
    case "tick":
      return tick(state, event.mayOrder, now)
    default:
      return takeBelief(state, event, now)
  }
}

/** What servers say of themselves to any box concerns the leader's orders, too. */
function keepNotices({fleet, serving}: RoutedState, backend: string): void {
  if (!fleet) return
  keepRest(fleet, backend, serving.rests)
  keepRate(fleet, backend, serving.rates.of(backend))
}

/** The leader's answers to asks for sends: those that wait go on, the most urgent first. */
function takeGrants(
  serving: BoxServing,
  grants: readonly SendGrant[],
  now: number
): void {
  const changed = grants.filter(grant => serving.allowances.take(grant, now))
  if (changed.length === 0) return
  for (const request of listPaced(serving)) advance(serving, request, now)
}

/** What changes the belief of a box in the world; requests are looked at anew. */
function takeBelief(state: RoutedState, event: ServingEvent, now: number): void {
  const {serving} = state
  switch (event.type) {
    case "config":
      // A version never goes down within a process.
      if ((serving.table?.config.version ?? -1) >= event.config.version) return
      serving.table = buildRouteTable(event.config)
      return listEngines(state, now)
    case "backends":
      believe(
        state,
        takeBackends(
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
      return believe(
        state,
        takeBackend(serving.backends, event.id, event.record, event.reading, now),
        event.reading.source,
        now
      )
    case "store-trouble":
      serving.backends = noteStoreTrouble(serving.backends, now)
      return
    case "store-served":
      return believe(state, noteStoreServed(serving.backends), "expiry", now)
    case "store-back":
      serving.backends = noteStoreBack(serving.backends, now)
      return
    case "news":
      noteNews(serving, event.at, event.read)
      return tickRequests(serving, now)
    case "config-read":
      return noteConfigRead(serving, event.at)
    case "era":
      return takeEraNews(state, event.known, event.rose, now)
    case "copied":
      serving.backends = noteCopy(serving.backends, event.until)
      // As far as this box can tell, the store has just come back.
      if (serving.era) noteEra(serving, {...serving.era, by: now, risen: true}, true)
      return
    case "engines":
      takePicture(serving, event.engines, now)
      return tickRequests(serving, now)
    case "places":
      takeChanges(serving, event.changes, now)
      if (event.loads) takeLoads(serving, event.loads)
      return tickRequests(serving, now)
    case "loads":
      return takeLoads(serving, event.loads)
    case "versions":
      takeVersions(serving, event.versions, now)
      for (const [adapter, version] of event.versions) {
        if (state.fleet) takeFleetVersion(state.fleet, adapter, version)
      }
      return
    case "orders":
      serving.led = event.led
      serving.ordersFrom = now + event.inMs
      return
    case "boxes":
      serving.boxes = event.boxes
      if (state.fleet) state.fleet.boxes = event.boxes
      return
  }
}

/** What a box knows stays in force as the store comes back from an older copy: none of it goes back. */
function takeEraNews(
  {serving, ledger}: RoutedState,
  known: KnownEra,
  rose: boolean,
  now: number
): void {
  noteEra(serving, known, rose)
  if (!rose) return
  ledger?.forgetStored()
  serving.backends = noteRise(serving.backends, known.by, now)
  if (serving.readBeforeEra === undefined) {
    serving.backends = noteCopy(serving.backends, known.by + COPIED_ENTRY_MS)
  }
  note(serving, "era-kept", {
    era: known.era,
    ageMs: Math.round(now - known.by),
    config: serving.table?.config.version ?? -1,
    versions: serving.versions.size,
    servers: serving.backends.known.size,
    readBeforeMs: toLogged(now - (serving.readBeforeEra ?? -Infinity))
  })
}

/** Takes a new list of backend servers, and tells in the log what changed for requests. */
function believe(
  state: RoutedState,
  after: BackendList,
  source: Reading["source"] | "expiry",
  now: number
): void {
  const {serving} = state
  for (const {id, next} of listEndedLives(serving.backends, after)) {
    note(serving, "backend-reborn", {backend: next, before: id, source})
    noteEndedLife(serving, id, now)
    endLife(serving, id, now)
  }
  for (const {backend, usable} of diffUsable(serving.backends, after)) {
    const event = usable ? "backend-usable" : "backend-unusable"
    note(serving, event, {backend, source})
  }
  serving.backends = after
  listEngines(state, now)
}

function tick(state: RoutedState, mayOrder: boolean, now: number): void {
  const {serving, fleet} = state
  const before = serving.backends
  const after = expireBackends(before, now)
  if (after !== before) {
    believe(state, after, "expiry", now)
    forgetEngines(serving)
    forgetServers(serving)
  }
  tickCrashes(serving, now)
  tickRequests(serving, now)
  if (fleet) planFleet(fleet, mayOrder, now)
  state.ledger?.tick(runningMs(serving, now))
  state.pacer?.forget()
}

/** Views of engines that are gone. */
function forgetEngines({engines, held, backends}: BoxServing): void {
  for (const id of engines.keys()) if (!backends.known.has(id)) engines.delete(id)
  for (const id of held.keys()) if (!backends.known.has(id)) held.delete(id)
}

/** What was said by and sent to servers that are gone. */
function forgetServers({rates, allowances, recentSends, backends}: BoxServing): void {
  for (const server of rates.list()) {
    if (backends.known.has(server)) continue
    rates.forget(server)
    allowances.forget(server)
  }
  recentSends.keep(server => backends.known.has(server))
}
