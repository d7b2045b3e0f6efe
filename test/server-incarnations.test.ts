/** What is believed of a backend server that started again under its name, in the core alone. */
import t from "tap"
import {listEndedIncarnations} from "../src/core/backend-changes.js"
import {
  type BackendList,
  createBackendList,
  expireBackends,
  isUsable,
  recordRestore,
  recordStoreFailure,
  type StoreRead,
  applyBackendUpdate,
  applyBackendList
} from "../src/core/backend-list.js"
import {LAST_BYTES_MS} from "../src/core/box-incarnations.js"
import {createBoxServing} from "../src/core/box-state.js"
import {drainFleet, planFleet} from "../src/core/placement.js"
import {handleOrderResult} from "../src/core/placement-orders.js"
import {handleIncarnationEnd, applyEngineReport} from "../src/core/placement-reports.js"
import {createFleet, type Fleet, type FleetEngine} from "../src/core/placement-state.js"
import {updateEngines, handleWeightsRequest} from "../src/core/placement-uses.js"
import {incarnationId} from "../src/core/server-incarnations.js"
import {stepRouted} from "../src/core/serving.js"
import type {RoutedState} from "../src/core/serving-fleet.js"
import type {BackendRecord, FleetService, Route} from "../src/types/fleet.js"

function recordOf(startedAt: number | undefined, revision: number): BackendRecord {
  return {
    id: incarnationId("w", startedAt),
    server: "w",
    revision,
    service: "s",
    address: `10.0.0.1:${revision}`,
    dataCentre: "a",
    leaving: false,
    models: []
  }
}

const OLD = recordOf(5_000, 1)
const NEXT = recordOf(9_000, 2)

const byStore = (at: number): StoreRead => ({source: "store", readAt: at})
const ids = ({known}: BackendList): string[] => [...known.keys()]

const listOf = (record: BackendRecord): BackendList =>
  applyBackendList(createBackendList(), [record], byStore(0), 0)

t.test("the next life takes the place of the last at once, also in doubt", async t => {
  const doubtful = recordStoreFailure(listOf(OLD), 10)
  for (const list of [listOf(OLD), doubtful]) {
    t.same(ids(applyBackendUpdate(list, "w", NEXT, byStore(20), 20)), [NEXT.id])
    const whole = applyBackendList(list, [NEXT], byStore(20), 20)
    t.same(ids(whole), [NEXT.id])
    t.same(listEndedIncarnations(list, whole), [{id: OLD.id, next: NEXT.id}])
  }
})

t.test(
  "a life that started earlier by its clock is the next one all the same",
  async t => {
    const stepped = recordOf(1_000, 3)
    const list = applyBackendUpdate(listOf(NEXT), "w", stepped, byStore(20), 20)
    t.same(ids(list), [stepped.id])
  }
)

t.test("older news of an ended life changes nothing, whichever way it comes", async t => {
  const list = applyBackendUpdate(listOf(OLD), "w", NEXT, byStore(20), 20)
  for (const source of ["store", "box"] as const) {
    const change = applyBackendUpdate(list, "w", OLD, {source, readAt: 30}, 30)
    t.same(ids(change), [NEXT.id], `a change by ${source}`)
    const whole = applyBackendList(list, [OLD], {source, readAt: 10}, 30)
    t.same(ids(whole), [NEXT.id], `a list by ${source}`)
  }
  const fresh = applyBackendList(createBackendList(), [NEXT], byStore(20), 20)
  t.same(
    ids(applyBackendUpdate(fresh, "w", OLD, byStore(30), 30)),
    [NEXT.id],
    "never heard of it"
  )
})

t.test("a leader's word that an ended life is gone does not end the next", async t => {
  const list = applyBackendUpdate(listOf(OLD), "w", NEXT, {source: "box", readAt: 20}, 20)
  const told = applyBackendUpdate(
    list,
    OLD.id,
    undefined,
    {source: "box", readAt: 30},
    30
  )
  t.same(ids(told), [NEXT.id])
  t.same(
    ids(applyBackendUpdate(told, "w", undefined, byStore(40), 40)),
    [],
    "its own entry does"
  )
})

t.test("a server that said that it leaves may serve again in its next life", async t => {
  const leaving = listOf({...OLD, leaving: true})
  t.notOk(isUsable(leaving, OLD.id))
  t.ok(isUsable(applyBackendUpdate(leaving, "w", NEXT, byStore(20), 20), NEXT.id))
})

// Seen in a soak: a box took the life that a copy of the store held for the next one, and never sent to the server
// again, which lived on in the one that it had known.
t.test(
  "an older life that a copy of the store brings back is not the next one",
  async t => {
    const known = {...recordOf(9_000, 50), era: 4}
    const copied = {...recordOf(5_000, 20), era: 5}
    const again = {...recordOf(9_000, 30), era: 5}
    const risen = recordRestore(listOf(known), 100, 100)
    for (const read of [
      (record: BackendRecord, list: BackendList, at: number): BackendList =>
        applyBackendList(list, [record], byStore(at), at),
      (record: BackendRecord, list: BackendList, at: number): BackendList =>
        applyBackendUpdate(list, "w", record, byStore(at), at)
    ]) {
      const after = read(copied, risen, 110)
      t.same(ids(after), [known.id], "it is known in a later one")
      const written = read(again, after, 400)
      t.same(ids(written), [known.id], "which writes its entry again")
      t.ok(isUsable(written, known.id))
      t.same(ids(expireBackends(written, 6_000)), [known.id])
      t.same(
        ids(expireBackends(after, 6_000)),
        [copied.id],
        "what outlasts the copy's entries lives, whatever its clock says"
      )
      t.same(ids(read({...recordOf(9_500, 30), era: 5}, after, 400)), [
        recordOf(9_500, 30).id
      ])
    }
  }
)

t.test(
  "an entry that cannot be read is no lapse, and a good one counts again",
  async t => {
    const away = recordStoreFailure(listOf(OLD), 10)
    const bad = applyBackendList(away, [], byStore(20), 20, new Set(["w"]))
    t.same(ids(bad), [])
    t.same(ids(applyBackendUpdate(away, "w", "unreadable", byStore(20), 20)), [])
    t.same(ids(applyBackendUpdate(bad, "w", recordOf(5_000, 4), byStore(30), 30)), [
      OLD.id
    ])
  }
)

const ROUTE: Route = {
  name: "r",
  host: "h",
  pathPrefix: "/",
  kind: "unsafe",
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

function startState(): RoutedState {
  const retry = {ratio: 0, slack: 100, windowMs: 10_000}
  const random = (): number => 0
  const serving = createBoxServing({dataCentre: "a", retry, handoverMs: 3_200, random})
  return {serving, fleet: undefined}
}

for (const kind of ["unsafe", "safe"] as const) {
  t.test(`what runs (${kind}) in an ended life may have run`, async t => {
    const state = startState()
    const step = (event: Parameters<typeof stepRouted>[1], now: number) =>
      stepRouted(state, event, now).effects
    step({type: "backends", records: [OLD], reading: byStore(0)}, 0)
    const arrival = {
      id: "q",
      name: "n",
      route: {...ROUTE, kind},
      service: "s",
      tokens: 0,
      rank: 1,
      deadlineMs: 4_000
    }
    step({type: "arrive", arrival}, 10)
    step({type: "started", id: "q", attempt: 1}, 11)
    const told = step({type: "backend", id: "w", record: NEXT, reading: byStore(20)}, 20)
    t.ok(told.some(effect => effect.type === "note" && effect.event === "backend-reborn"))
    const tick = {type: "tick", mayOrder: false} as const
    const early = step(tick, 20 + LAST_BYTES_MS - 1)
    t.notOk(
      early.some(({type}) => type === "end" || type === "send"),
      "an answer may be on its way"
    )
    const late = step(tick, 20 + LAST_BYTES_MS)
    t.ok(late.some(({type}) => type === "abort"))
    if (kind === "unsafe")
      t.match(
        late.find(({type}) => type === "end"),
        {reason: "unknown"}
      )
    else
      t.match(
        late.find(({type}) => type === "send"),
        {backend: {id: NEXT.id}}
      )
  })
}

const PLACES = 2
const SERVICE: FleetService = {
  name: "s",
  maxConnections: 100,
  engine: {
    models: [{name: "base", weightsMb: 100, adapterMb: 1}],
    weightsMb: 110,
    maxAdapters: PLACES,
    loadsPerSecond: 1,
    batch: 8
  }
}
const SERVICES = new Map([["s", SERVICE]])

function report(
  fleet: Fleet,
  id: string,
  sequence: number,
  held: string[],
  now: number
): void {
  const adapters = new Map(held.map(name => [name, 1]))
  const models = [{name: "base", adapters}]
  applyEngineReport(fleet, id, {sequence, busy: false, models, pending: []}, now)
}

function need(fleet: Fleet, adapter: string, now: number): void {
  handleWeightsRequest(
    fleet,
    "box",
    {
      request: `for ${adapter}`,
      service: "s",
      model: "base",
      adapter,
      priority: 1,
      inTimeMs: 1_000,
      waitMs: 2_000,
      tokens: 100,
      failedAt: []
    },
    now
  )
}

function ordersOf(fleet: Fleet, now: number): string[] {
  planFleet(fleet, true, now)
  return drainFleet(fleet).flatMap(effect =>
    effect.type === "order"
      ? [
          `${effect.order.operation} ${effect.order.adapter} at ${effect.expectedSequence}`
        ]
      : []
  )
}

/** An engine whose life ends while a load at count 3 is without an answer; its next life. */
function restartWithStray(settled: boolean): {
  fleet: Fleet
  engine: FleetEngine
  now: number
} {
  const fleet = createFleet(0)
  updateEngines(fleet, SERVICES, [OLD], 0)
  report(fleet, OLD.id, 3, ["a"], 0)
  need(fleet, "x", 10)
  t.same(ordersOf(fleet, 10), ["load x at 3"])
  if (settled) handleOrderResult(fleet, OLD.id, "unknown", 160)
  updateEngines(fleet, SERVICES, [NEXT], 200)
  fleet.waitingRequests.clear()
  const engine = fleet.engines.get(NEXT.id) as FleetEngine
  return {fleet, engine, now: 300}
}

for (const settled of [true, false]) {
  const state = settled ? "whose answer was given up" : "that is on its way"
  t.test(
    `an order ${state} may reach the next life, and finds a place there`,
    async t => {
      const {fleet, engine, now} = restartWithStray(settled)
      report(fleet, engine.id, 0, [], now)
      need(fleet, "b", now)
      t.same(ordersOf(fleet, now), ["load b at 0"])
      handleOrderResult(fleet, engine.id, "accepted", now)
      need(fleet, "c", now)
      t.same(
        ordersOf(fleet, now),
        [],
        "the last place is left to the order of the last life"
      )
      report(fleet, engine.id, 4, ["b"], now + 500)
      t.same(
        ordersOf(fleet, now + 500),
        ["load c at 4"],
        "its count is past: it is refused now"
      )
    }
  )
}

t.test("an order of the last life is awaited for some seconds at most", async t => {
  const {fleet, engine, now} = restartWithStray(true)
  report(fleet, engine.id, 0, ["b"], now)
  need(fleet, "c", now)
  t.same(ordersOf(fleet, now), [])
  const late = now + 12_000
  report(fleet, engine.id, 0, ["b"], late)
  need(fleet, "c", late)
  t.same(ordersOf(fleet, late), ["load c at 0"])
})

t.test("an engine that answers from another life is not ordered nor sent to", async t => {
  const fleet = createFleet(0)
  updateEngines(fleet, SERVICES, [OLD], 0)
  report(fleet, OLD.id, 3, ["a"], 0)
  planFleet(fleet, true, 0)
  drainFleet(fleet)
  handleIncarnationEnd(fleet, OLD.id, 10)
  need(fleet, "b", 20)
  planFleet(fleet, true, 20)
  const effects = drainFleet(fleet)
  t.notOk(effects.some(({type}) => type === "order"))
  const changes = effects.flatMap(effect =>
    effect.type === "places" ? effect.changes : []
  )
  t.ok(
    changes.some(({gone}) => gone.includes("base/a")),
    "boxes are told"
  )
})
