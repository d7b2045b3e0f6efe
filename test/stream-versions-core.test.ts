/**
 * The guards that keep a stream at the software version that began it, each on its own.
 * Guards against a check that is lost unseen since another one catches most cases: before
 * the bytes of a send leave, at a box that sends for another, when a silent stream moves,
 * when the leader grants a retry, and when weights are placed. Also against origins that
 * no other box learns of.
 */
import t from "tap"
import {findSendObstacle} from "../src/core/box-send-checks.js"
import {createBoxServing} from "../src/core/box-state.js"
import {findCarryObstacle} from "../src/core/carry-checks.js"
import {drainFleet, planFleet} from "../src/core/placement.js"
import {applyEngineReport} from "../src/core/placement-reports.js"
import {createFleet, type Fleet, type FleetEngine} from "../src/core/placement-state.js"
import {handleWeightsRequest, updateEngines} from "../src/core/placement-uses.js"
import type {RoutedEffect, RoutedEvent} from "../src/core/serving-events.js"
import type {RoutedState} from "../src/core/serving-fleet.js"
import {stepRouted} from "../src/core/serving.js"
import type {FleetService, Route} from "../src/types/fleet.js"
import {record, STREAM} from "./support/box-subject.js"

/** Name and software version of a server. */
type Listed = readonly [id: string, software: string]

const MIXED: readonly Listed[] = [
  ["one", "v1"],
  ["two", "v2"],
  ["three", "v1"]
]
const SINGLE: readonly Listed[] = [
  ["one", "v1"],
  ["three", "v1"]
]

/** Many enough that a box's own retry budget is used up at once. */
const MANY_BOXES = 195

/** Long enough for a box to know all versions that have served recently. */
const KNOWN_MS = 61_000

/** Longer than a stream may pause. */
const SILENT_MS = 1_400

const TICK = {type: "tick", mayOrder: false} as const
const GRANT = {type: "may-retry", id: "q", allowed: true} as const

/** A box with servers of these versions; its methods return a summary of the effects. */
class Subject {
  now = 1_000
  readonly state: RoutedState
  private revision_ = 0

  constructor(servers: readonly Listed[], boxes = 1) {
    const retry = {ratio: 0, slack: 100, windowMs: 10_000}
    const random = (): number => 0
    const options = {dataCentre: "a", retry, handoverMs: 3_200, random}
    this.state = {serving: createBoxServing(options), fleet: undefined}
    this.list(servers)
    this.now += KNOWN_MS
    this.list(servers)
    this.step({type: "boxes", boxes})
    this.step({type: "orders", hasLeader: true, inMs: 0})
  }

  effects(event: RoutedEvent): readonly RoutedEffect[] {
    return stepRouted(this.state, event, this.now).effects
  }

  step(event: RoutedEvent): string[] {
    return this.effects(event).flatMap(effect => {
      if (effect.type === "send") return [`send ${effect.backend.id}`]
      if (effect.type === "end") return [`end ${effect.reason}`]
      return ["abort", "ask-retry"].includes(effect.type) ? [effect.type] : []
    })
  }

  /** Sets the list of servers. Returns the versions and services of the origins told. */
  list(servers: readonly Listed[]): string[] {
    const revision = ++this.revision_
    const records = servers.map(([id, software]) => ({...record(id), software, revision}))
    const reading = {source: "store", readAt: this.now} as const
    return listOrigins(this.effects({type: "backends", records, reading}))
  }

  arrive(route: Route = STREAM, id = "q"): string[] {
    const request = {id, name: `name-${id}`, route, service: "s", tokens: 0, rank: 1}
    return this.step({type: "arrive", arrival: {...request, deadlineMs: 4_000}})
  }

  /** The head of a streamed answer arrives, but no event. */
  receiveHead(attempt = 1, id = "q"): string[] {
    this.step({type: "started", id, attempt})
    this.step({type: "heard", id, attempt})
    return this.step({type: "head", id, attempt, head: {failed: false, streamed: true}})
  }

  /** The first event goes to the caller. Returns the origins told. */
  begin(attempt = 1, id = "q"): string[] {
    this.receiveHead(attempt, id)
    return listOrigins(this.effects({type: "stream-began", id, attempt}))
  }

  break(lastEventId: string | undefined, attempt = 1): string[] {
    return this.step({type: "failed", id: "q", attempt, failure: "broken", lastEventId})
  }

  pass(ms: number): string[] {
    this.now += ms
    return this.step(TICK)
  }

  obstacle(): string | undefined {
    return findSendObstacle(this.state.serving, "q", this.now)
  }
}

function listOrigins(effects: readonly RoutedEffect[]): string[] {
  return effects.flatMap(effect =>
    effect.type === "tell-origins"
      ? effect.origins.map(({service, software}) => `${service} ${software}`)
      : []
  )
}

t.test("bytes don't leave for a server that has changed its version since", async t => {
  const subject = new Subject(MIXED)
  t.same(subject.arrive(), ["send one"])
  subject.begin()
  t.same(subject.break("2"), ["send three"])
  t.equal(subject.obstacle(), undefined)
  subject.list([
    ["one", "v1"],
    ["two", "v2"],
    ["three", "v2"]
  ])
  t.equal(subject.obstacle(), "overtaken")
  const failure = {failure: "overtaken", lastEventId: "2"} as const
  subject.step({type: "failed", id: "q", attempt: 2, ...failure})
  t.same(subject.pass(250), ["send one"], "the server of its version, after its pause")
})

t.test("a stream that has not begun may go to the server's new version", async t => {
  const subject = new Subject(MIXED)
  t.same(subject.arrive(), ["send one"])
  subject.list([
    ["one", "v2"],
    ["two", "v2"],
    ["three", "v1"]
  ])
  t.equal(subject.obstacle(), undefined)
})

t.test("a box sends nothing for another to a server of another version", async t => {
  const {state, now} = new Subject(MIXED)
  const check = (server: string, software?: string): string | undefined =>
    findCarryObstacle(state.serving, {server, software, isAllowed: false}, now)
  t.equal(check("two", "v1"), "other-software")
  t.equal(check("one", "v2"), "other-software")
  t.equal(check("one", ""), "other-software", "the version of servers that report none")
  t.equal(check("one", "v1"), undefined)
  t.equal(check("two", "v2"), undefined)
  t.equal(check("two"), undefined, "any version will do")
})

const ALONE: readonly Listed[] = [
  ["one", "v1"],
  ["two", "v2"]
]

for (const [budget, boxes] of [
  ["its box's budget", 1],
  ["the leader's grant", MANY_BOXES]
] as const) {
  t.test(
    `a silent stream stays if its version is nowhere else, by ${budget}`,
    async t => {
      const subject = new Subject(ALONE, boxes)
      t.same(subject.arrive(), ["send one"])
      subject.begin()
      t.same(subject.pass(SILENT_MS), [])
      t.same(subject.step(GRANT), [])
      // It goes on once the server answers again.
      subject.step({type: "heard", id: "q", attempt: 1})
      t.same(subject.pass(100), [])
      t.ok(subject.state.serving.requests.get("q")?.attempt)
    }
  )
}

t.test("a silent stream moves to a server of its version", async t => {
  const subject = new Subject(MIXED)
  t.same(subject.arrive(), ["send one"])
  subject.begin()
  t.same(subject.pass(SILENT_MS), ["send three"])
  t.same(subject.receiveHead(2), ["abort"], "the silent attempt, once another answers")
})

t.test(
  "a silent stream moves to a server of its version by the leader's grant",
  async t => {
    const subject = new Subject(MIXED, MANY_BOXES)
    t.same(subject.arrive(), ["send one"])
    subject.begin()
    t.same(subject.pass(SILENT_MS), ["ask-retry"])
    t.same(subject.step(GRANT), ["send three"])
    t.same(subject.receiveHead(2), ["abort"])
  }
)

t.test(
  "a silent stream is not moved by a grant if that server has left since",
  async t => {
    const subject = new Subject(MIXED, MANY_BOXES)
    t.same(subject.arrive(), ["send one"])
    subject.begin()
    t.same(subject.pass(SILENT_MS), ["ask-retry"])
    subject.list([
      ["one", "v1"],
      ["two", "v2"],
      ["three", "v2"]
    ])
    t.same(subject.step(GRANT), [])
  }
)

t.test("a silent stream leaves for a server of its version that rests", async t => {
  const subject = new Subject(MIXED)
  t.same(subject.arrive(), ["send one"])
  subject.begin()
  const restsUntil = subject.now + SILENT_MS + 100
  subject.state.serving.backoffUntil.set("three", restsUntil)
  t.same(subject.pass(SILENT_MS), [])
  t.same(subject.pass(101), ["send three"])
  t.same(subject.receiveHead(2), ["abort"])
})

t.test(
  "a silent stream does not wait for a server of its version that leaves",
  async t => {
    const subject = new Subject(MIXED)
    t.same(subject.arrive(), ["send one"])
    subject.begin()
    const records = MIXED.map(([id, software]) => ({
      ...record(id),
      software,
      revision: 9,
      leaving: id === "three"
    }))
    const reading = {source: "store", readAt: subject.now} as const
    subject.step({type: "backends", records, reading})
    t.same(subject.pass(SILENT_MS), [])
  }
)

t.test("near its deadline it leaves only for a server that can take it now", async t => {
  for (const rests of [false, true]) {
    const subject = new Subject(MIXED)
    t.same(subject.arrive(), ["send one"])
    subject.begin()
    subject.now += 2_000
    subject.step({type: "heard", id: "q", attempt: 1})
    if (rests) subject.state.serving.backoffUntil.set("three", subject.now + 1_500)
    t.same(subject.pass(SILENT_MS), rests ? [] : ["send three"])
    if (!rests) t.same(subject.receiveHead(2), ["abort"])
  }
})

t.test("streams that run when a second version appears are reported", async t => {
  const subject = new Subject(SINGLE)
  subject.arrive()
  t.same(subject.begin(), [], "only one version serves")
  subject.arrive(STREAM, "r")
  t.same(subject.begin(1, "r"), [])
  subject.arrive(STREAM, "waits")
  subject.receiveHead(1, "waits")
  t.same(subject.list(SINGLE), [], "still one version")
  t.same(subject.list(MIXED), ["s v1", "s v1"], "those that have begun")
  t.same(subject.list(MIXED), [], "once")
  t.same(subject.begin(1, "waits"), ["s v1"], "as it begins")
})

t.test("a stream that can't be resumed is not reported", async t => {
  const subject = new Subject(SINGLE)
  const route = {...STREAM, resumable: false}
  subject.arrive(route)
  t.same(subject.begin(), [])
  t.same(subject.list(MIXED), [])
  subject.arrive(route, "r")
  t.same(subject.begin(1, "r"), [], "nor one that begins among two versions")
})

t.test("a stream of another service is not reported", async t => {
  const subject = new Subject(SINGLE)
  subject.arrive()
  subject.begin()
  const records = [
    {...record("one"), software: "v1", revision: 9},
    {...record("two"), software: "v1", revision: 9, service: "other"},
    {...record("three"), software: "v2", revision: 9, service: "other"}
  ]
  const reading = {source: "store", readAt: subject.now} as const
  t.same(listOrigins(subject.effects({type: "backends", records, reading})), [])
})

t.test("a retry that the leader grants stays at the version that began", async t => {
  const subject = new Subject(MIXED, MANY_BOXES)
  t.same(subject.arrive(), ["send one"])
  subject.begin()
  t.same(subject.break("2"), ["ask-retry"])
  t.same(subject.step(GRANT), ["send three"])
})

t.test("it waits for the server that began if no other has its version", async t => {
  const subject = new Subject(ALONE, MANY_BOXES)
  t.same(subject.arrive(), ["send one"])
  subject.begin()
  t.same(subject.break("2"), ["ask-retry"])
  t.same(subject.step(GRANT), [])
  t.same(subject.pass(250), ["send one"])
})

for (const [way, boxes, expected] of [
  ["granted by the leader", MANY_BOXES, ["ask-retry"]],
  ["of the box's own budget", 1, ["send two"]]
] as const) {
  t.test(`before the first event a retry is free, ${way}`, async t => {
    const subject = new Subject(MIXED, boxes)
    t.same(subject.arrive(), ["send one"])
    subject.receiveHead()
    t.same(subject.break(undefined), expected)
    if (boxes === MANY_BOXES) t.same(subject.step(GRANT), ["send two"])
  })
}

t.test("a stream is bound to the attempt that brought its first event", async t => {
  const subject = new Subject([...MIXED, ["four", "v2"]])
  t.same(subject.arrive({...STREAM, maxAttempts: 3}), ["send one"])
  subject.receiveHead()
  t.same(subject.break(undefined), ["send two"])
  subject.begin(2)
  t.same(subject.break("2", 2), ["send four"])
})

const SERVICE: FleetService = {
  name: "engines",
  maxConnections: 100,
  engine: {
    models: [{name: "base", weightsMb: 100, adapterMb: 1}],
    weightsMb: 110,
    maxAdapters: 2,
    loadsPerSecond: 1,
    batch: 8
  }
}

/** A leader whose engines hold the base model, one engine of each version. */
class Leader {
  readonly now = 1_000
  readonly fleet: Fleet = createFleet(this.now)
  private requests_ = 0

  constructor(versions: readonly string[]) {
    this.list(versions)
    this.plan()
    for (const id of this.fleet.engines.keys()) this.report(id, [])
    this.plan()
  }

  list(versions: readonly string[]): void {
    const listed = versions.map((software, index) => ({
      id: `e${index}`,
      server: `e${index}`,
      service: "engines",
      dataCentre: "a",
      leaving: false,
      software
    }))
    updateEngines(this.fleet, new Map([["engines", SERVICE]]), listed, this.now)
  }

  report(engine: string, adapters: readonly string[]): void {
    const held = new Map(adapters.map(name => [name, 1]))
    const models = [{name: "base", adapters: held}]
    const report = {sequence: 0, busy: false, models, pending: []}
    applyEngineReport(this.fleet, engine, report, this.now)
  }

  engine(id: string): FleetEngine {
    return this.fleet.engines.get(id) as FleetEngine
  }

  need(software?: string): this {
    const weightsRequest = {
      request: `r${++this.requests_}`,
      service: "engines",
      model: "base",
      adapter: "x",
      priority: 1,
      inTimeMs: 1_000,
      waitMs: 2_000,
      tokens: 100,
      failedAt: [],
      software
    }
    handleWeightsRequest(this.fleet, "box", weightsRequest, this.now)
    return this
  }

  /** Returns the orders, abbreviated. */
  plan(): string[] {
    planFleet(this.fleet, true, this.now)
    return drainFleet(this.fleet).flatMap(effect =>
      effect.type === "order"
        ? [`${effect.engine} ${effect.order.operation} ${effect.order.adapter}`]
        : []
    )
  }
}

t.test("weights for a begun stream are loaded at its version only", async t => {
  t.same(new Leader(["v1", "v2"]).need("v1").plan(), ["e0 load x"])
  t.same(new Leader(["v1", "v2"]).need("v2").plan(), ["e1 load x"])
  t.same(new Leader(["v1", "v2"]).need("v3").plan(), [], "no engine of it")
  t.same(new Leader(["v1", "v2"]).need().plan(), ["e0 load x"], "any")
  t.same(new Leader(["v2", "v1"]).need().plan(), ["e0 load x"], "any")
})

t.test("the leader follows an entry that changes its version", async t => {
  const leader = new Leader(["v1", "v2"])
  leader.list(["v2", "v1"])
  t.same(leader.need("v2").plan(), ["e0 load x"])
})

t.test("an engine of another version that holds the weights does not count", async t => {
  const leader = new Leader(["v1", "v2"])
  leader.report("e0", ["x"])
  t.same(leader.need().plan(), [])
  t.same(leader.need("v1").plan(), [])
  t.same(leader.need("v2").plan(), ["e1 load x"])
})

t.test("nor does one whose host has cached them", async t => {
  const leader = new Leader(["v1", "v2"])
  leader.engine("e0").cachedWeights.set("base/x", leader.now)
  t.same(leader.need("v2").plan(), ["e1 load x"])
})

for (const versions of [
  [undefined, "v2"],
  ["v2", undefined],
  ["v1", "v2"],
  [undefined, "v1", "v2"]
]) {
  const names = versions.map(version => version ?? "any").join(" and ")
  t.test(`requests for an adapter at ${names} are all placed`, async t => {
    const leader = new Leader(["v1", "v2"])
    for (const version of versions) leader.need(version)
    const orders = leader.plan()
    for (const version of versions) {
      const placed = orders.some(order => {
        const {software} = leader.engine(order.split(" ")[0] as string)
        return order.endsWith("load x") && (version ?? software) === software
      })
      t.ok(placed, version ?? "any")
    }
  })
}
