/**
 * What a box learns about servers without engines, and what follows for its requests.
 */
import t from "tap"
import {handleAnswerHead, handleAnswerEnd} from "../src/core/box-attempts.js"
import {observePlainServers} from "../src/core/box-plain.js"
import {applyBackendList} from "../src/core/backend-list.js"
import {chooseBackend} from "../src/core/box-choose.js"
import type {BoxRequest} from "../src/core/box-state.js"
import {
  coldRateOfBox,
  PlainServers,
  type ServerSpeedChange
} from "../src/core/plain-servers.js"
import {buildRouteTable} from "../src/core/route-table.js"
import type {BackendRecord, Route} from "../src/types/fleet.js"
import {readBackend} from "../platform/backends.js"
import {platformRecords} from "../platform/records.js"
import {KEY} from "../platform/words.js"
import {CONFIG} from "./patterns/fleet.js"
import {record, ROUTE, Subject} from "./support/box-subject.js"

const USUAL_MS = 20

/** Three servers, with the answers of a service that is as fast as usual. */
class Servers {
  readonly plain = new PlainServers()
  now = 0

  constructor(ids: readonly string[] = ["a", "b", "c"]) {
    this.list(ids)
    for (let i = 0; i < 8; i++) for (const id of ids) this.answer(id, USUAL_MS)
  }

  list(ids: readonly string[], coldRemainingMs = 0): void {
    const listed = ids.map(id => ({id, service: "s", coldRemainingMs}))
    this.plain.observe(listed, this.now)
  }

  /** Records an answer that comes 1,000 ms after the last one. */
  answer(
    id: string,
    ms: number,
    more: {inProgress?: number; route?: string; afterMs?: number} = {}
  ): ServerSpeedChange | undefined {
    const {inProgress = 1, route = "r", afterMs = 1_000} = more
    this.now += afterMs
    return this.plain.recordAnswer(id, {service: "s", route, ms, inProgress}, this.now)
  }

  shares(): number[] {
    return ["a", "b", "c"].map(id => this.plain.shareOf(id, this.now))
  }
}

t.test("one late answer of few makes a server slow, and good ones undo it", async t => {
  const servers = new Servers()
  t.equal(servers.answer("b", 2.5 * USUAL_MS)?.change, "slow")
  t.same(servers.shares(), [1, 1 / 8, 1])
  t.equal(servers.answer("b", USUAL_MS), undefined)
  t.same(servers.shares(), [1, 1 / 4, 1])
  servers.answer("b", USUAL_MS)
  t.same(servers.shares(), [1, 1 / 2, 1], "it returns step by step")
  t.equal(servers.answer("b", USUAL_MS)?.change, "full")
  t.same(servers.shares(), [1, 1, 1])
})

t.test("a late answer during the return starts it again", async t => {
  const servers = new Servers()
  servers.answer("b", 2.5 * USUAL_MS)
  servers.answer("b", USUAL_MS)
  t.equal(servers.answer("b", 2.5 * USUAL_MS), undefined, "it is logged once")
  t.same(servers.shares(), [1, 1 / 8, 1])
})

// A single late answer of many is no sign of a slow server; many within a second are.
t.test("of many answers the last second decides", async t => {
  const servers = new Servers()
  const afterMs = 10
  for (let i = 0; i < 20; i++) servers.answer("b", USUAL_MS, {afterMs})
  t.equal(servers.answer("b", 2.5 * USUAL_MS, {afterMs}), undefined)
  const from = servers.now
  while (servers.plain.shareOf("b", servers.now) === 1 && servers.now < from + 5_000) {
    servers.answer("b", 2.5 * USUAL_MS, {afterMs})
    servers.answer("a", USUAL_MS, {afterMs: 0})
    servers.answer("c", USUAL_MS, {afterMs: 0})
  }
  t.ok(servers.now - from <= 1_000, `${servers.now - from} ms until it is slow`)
})

t.test("when all servers become slow, at most one loses its share", async t => {
  const servers = new Servers()
  for (let i = 0; i < 40; i++) {
    for (const id of ["a", "b", "c"]) servers.answer(id, 3 * USUAL_MS)
    const reduced = servers.shares().filter(share => share < 1)
    t.ok(reduced.length <= 1, `${reduced.length} in round ${i}`)
  }
  t.same(servers.shares(), [1, 1, 1], "the latency is the usual one now")
})

// Otherwise a server would turn slow by chance, because it got the longer requests.
t.test("answers are compared with those of their own route", async t => {
  const servers = new Servers()
  const route = "long"
  for (let i = 0; i < 8; i++) {
    for (const id of ["a", "b", "c"]) servers.answer(id, 10 * USUAL_MS, {route})
  }
  t.same(servers.shares(), [1, 1, 1])
  servers.answer("b", 25 * USUAL_MS, {route})
  t.same(servers.shares(), [1, 1 / 8, 1])
})

t.test("differences of some milliseconds make no server slow", async t => {
  const servers = new Servers()
  const route = "short"
  for (let i = 0; i < 8; i++) {
    for (const id of ["a", "b", "c"]) servers.answer(id, 2, {route})
  }
  servers.answer("b", 11, {route})
  t.same(servers.shares(), [1, 1, 1])
})

// With a fixed factor of two, 13 of 100 such answers would make a server slow.
t.test(
  "in a service whose latency varies much, answers over twice are usual",
  async t => {
    const servers = new Servers()
    const exponential = Array.from({length: 16}, (_, i) => -Math.log(1 - (i + 0.5) / 16))
    let slow = 0
    for (let round = 0; round < 30; round++) {
      for (const [i, id] of ["a", "b", "c"].entries()) {
        const ms = USUAL_MS * (exponential[(round * 7 + i * 5) % 16] as number)
        if (servers.answer(id, ms)?.change === "slow") slow++
      }
    }
    t.ok(slow <= 4, `${slow} of 90 answers made a server slow`)
  }
)

t.test("a service with one server has no slow one", async t => {
  const servers = new Servers(["a"])
  servers.answer("a", 10 * USUAL_MS)
  t.equal(servers.plain.shareOf("a", servers.now), 1)
})

t.test("the limit of own requests halves with late answers and grows again", async t => {
  const servers = new Servers()
  const {plain} = servers
  t.equal(plain.isAtLimit("b", 1_000), false, "there is none at first")
  servers.answer("b", 3 * USUAL_MS, {inProgress: 4})
  t.same([plain.isAtLimit("b", 1), plain.isAtLimit("b", 2)], [false, true])
  servers.answer("b", USUAL_MS)
  t.same([plain.isAtLimit("b", 2), plain.isAtLimit("b", 3)], [false, true])
  servers.answer("b", USUAL_MS)
  servers.answer("b", USUAL_MS)
  t.equal(plain.isAtLimit("b", 1_000), false, "it is lifted")
})

t.test("servers that appear get half of a share for two seconds", async t => {
  const servers = new Servers(["a", "b"])
  servers.list(["a", "b", "c"])
  t.same(servers.shares(), [1, 1, 1 / 2])
  servers.now += 1_999
  t.same(servers.shares(), [1, 1, 1 / 2])
  servers.now += 1
  t.same(servers.shares(), [1, 1, 1])
})

// A box that starts cannot tell old servers from new ones.
t.test("servers of the first list are not new, but may be cold", async t => {
  const servers = new Servers()
  t.same(servers.shares(), [1, 1, 1])
  const cold = new PlainServers()
  cold.observe([{id: "a", service: "s", coldRemainingMs: 3_000}], 10)
  t.same([cold.shareOf("a", 3_009), cold.shareOf("a", 3_010)], [1 / 2, 1])
  cold.observe([{id: "b", service: "t", coldRemainingMs: 1e15}], 10)
  t.equal(cold.shareOf("b", 400_000), 1, "an absurd time is shortened")
  t.equal(cold.shareOf("a", 20), 1, "a server that is gone is forgotten")
})

const FLEET_CONFIG = {...CONFIG, routes: [], services: [{name: "s", maxConnections: 9}]}

/** A box whose clock counts random numbers that it draws. */
class PlainSubject extends Subject {
  draws = 0

  constructor(records: readonly BackendRecord[], coldPerS?: number, random = 0.5) {
    super()
    const draw = (): number => {
      this.draws++
      return random
    }
    Object.assign(this.box, {options: {...this.box.options, random: draw}})
    const service = {name: "s", maxConnections: 9}
    const services = [coldPerS === undefined ? service : {...service, coldPerS}]
    this.box.table = buildRouteTable({...FLEET_CONFIG, services})
    this.list(records)
  }

  list(records: readonly BackendRecord[]): void {
    const reading = {source: "store", readAt: this.now} as const
    this.box.backends = applyBackendList(this.box.backends, records, reading, this.now)
    observePlainServers(this.box, this.now)
  }

  /** Serves a request at the given server. */
  serve(route: Route, ms: number, failed = false): string {
    this.arrive(route).start()
    const server = this.server
    this.now += ms
    handleAnswerHead(this.box, "q", 1, {failed, streamed: false}, this.now)
    handleAnswerEnd(this.box, "q", 1, 0, this.now)
    this.now += 1_000
    this.drain()
    return server
  }

  get request(): BoxRequest {
    return this.box.requests.get("q") as BoxRequest
  }

  get server(): string {
    return this.request.attempt?.backend ?? ""
  }

  /** Learns the usual latency of the route. */
  learn(route: Route): this {
    for (let i = 0; i < 30; i++) {
      this.serve(route, USUAL_MS)
      this.box.inProgress.clear()
      const busy = i % 2 === 0 ? "one" : "two"
      this.box.inProgress.set(busy, 100)
    }
    this.box.inProgress.clear()
    return this
  }
}

const TWO = [record("one"), record("two")]
const ONCE: Route = {...ROUTE, kind: "unsafe"}

t.test("a box draws no number more unless a server is slow, cold or new", async t => {
  const subject = new PlainSubject(TWO).learn(ROUTE)
  const choose = (): number => {
    const before = subject.draws
    subject.arrive(ROUTE)
    subject.fail("refused")
    chooseBackend(subject.box, subject.request, subject.now)
    subject.box.requests.clear()
    return subject.draws - before
  }
  const usual = choose()
  subject.list([...TWO, record("three")])
  t.not(choose(), usual, "a new server")
  subject.list(TWO)
  t.equal(choose(), usual)
})

t.test(
  "a request silent at a slow server is moved after twice the usual time",
  async t => {
    const subject = new PlainSubject(TWO).learn(ROUTE)
    subject.arrive(ROUTE).start()
    t.same(subject.advanceTime(38).summarizeEffects(), [])
    const answer = {service: "s", route: "r", ms: 200, inProgress: 1}
    const {box, server} = subject
    t.equal(box.plainServers.recordAnswer(server, answer, subject.now)?.change, "slow")
    const hedgeMs = box.plainServers.hedgeAfterMs("s", "r") ?? 0
    t.ok(hedgeMs >= 40 && hedgeMs < 100, `${hedgeMs} ms`)
    t.same(subject.advanceTime(hedgeMs - 39).summarizeEffects(), [])
    t.same(subject.advanceTime(2).summarizeEffects(), ["send 2"])
    t.equal(subject.box.suspectUntil.size, 0, "a slow server is not suspect")
    t.same(subject.start(2).advanceTime(100).summarizeEffects(), [], "it is moved once")
    const head = {failed: false, streamed: false}
    handleAnswerHead(subject.box, "q", 2, head, subject.now)
    t.same(subject.drain().summarizeEffects(), ["abort", "pass"], "one answer goes on")
  }
)

// Ending an attempt wastes the work of its server, which answers soon.
t.test("a request silent at a server of usual speed is not moved early", async t => {
  const subject = new PlainSubject(TWO).learn(ROUTE)
  subject.arrive(ROUTE).start()
  t.same(subject.advanceTime(100).summarizeEffects(), [])
})

t.test("a request that may not be repeated is not moved", async t => {
  const subject = new PlainSubject(TWO).learn(ONCE)
  subject.arrive(ONCE).start()
  t.same(subject.advanceTime(1_000).summarizeEffects(), [])
})

t.test("without a retry budget no request is moved", async t => {
  const subject = new PlainSubject(TWO).learn(ROUTE)
  const retry = {ratio: 0, slack: 0, windowMs: 10_000}
  Object.assign(subject.box, {options: {...subject.box.options, retry}})
  subject.box.retryBudgets.clear()
  subject.arrive(ROUTE).start()
  t.same(subject.advanceTime(100).summarizeEffects(), [])
})

t.test("no request is moved to a slow server", async t => {
  const subject = new PlainSubject(TWO).learn(ROUTE)
  subject.arrive(ROUTE).start()
  const other = subject.server === "one" ? "two" : "one"
  const answer = {service: "s", route: "r", ms: 200, inProgress: 1}
  t.equal(
    subject.box.plainServers.recordAnswer(other, answer, subject.now)?.change,
    "slow"
  )
  t.same(subject.advanceTime(100).summarizeEffects(), [])
})

t.test("failed answers are no latency samples", async t => {
  const subject = new PlainSubject(TWO).learn(ONCE)
  for (let i = 0; i < 10; i++) subject.serve(ONCE, 200, true)
  t.equal(subject.box.plainServers.slow, 0)
  subject.serve(ONCE, 200)
  t.equal(subject.box.plainServers.slow, 1)
})

t.test("a slow server is used if the others are suspect or gone", async t => {
  const subject = new PlainSubject(TWO, undefined, 0.9).learn(ONCE)
  const slow = subject.serve(ONCE, 200)
  const other = slow === "one" ? "two" : "one"
  t.equal(subject.serve(ONCE, USUAL_MS), other, "it is not while there is a better one")
  subject.box.suspectUntil.set(other, Infinity)
  t.equal(subject.serve(ONCE, USUAL_MS), slow)
  subject.box.suspectUntil.clear()
  subject.list(TWO.filter(({id}) => id === slow))
  t.equal(subject.serve(ONCE, USUAL_MS), slow)
})

t.test("a cold server gets the box's part of its rate", async t => {
  const cold = {...record("one"), coldRemainingMs: 5_000}
  const subject = new PlainSubject([cold], 10)
  subject.box.boxCount = 10
  const sentAt: number[] = []
  const from = subject.now
  for (let ms = 0; ms < 7_000; ms += 50) {
    subject.now = from + ms
    subject.arrive(ONCE)
    if (subject.request.attempt) sentAt.push(ms)
    subject.box.requests.clear()
  }
  const whileCold = sentAt.filter(at => at < 5_000)
  t.same(whileCold, [500, 1_500, 2_500, 3_500, 4_500], "one a second, begun at random")
  t.equal(sentAt.length - whileCold.length, 40, "then all")
})

t.test("boxes keep a margin for chance below the rate of a cold server", async t => {
  t.equal(coldRateOfBox(10, 10), 1, "exact")
  t.equal(coldRateOfBox(25, 10), 2, "a whole number each second")
  for (const perSecond of [0.1, 1, 4, 10, 84]) {
    const rate = 85 * coldRateOfBox(perSecond, 85)
    t.ok(rate > 0 && rate < perSecond, `${rate} of ${perSecond}`)
    const deviation = Math.sqrt(rate * (1 - rate / 85))
    t.ok(Math.abs(perSecond - rate - 4 * deviation) < 1e-6)
  }
})

t.test("the entry of a worker and the configuration are read", async t => {
  const entry = {
    service: "s",
    address: "10.0.0.1:80",
    zone: "z",
    version: "1",
    slots: 6,
    state: "ready",
    coldRemainingMs: 700,
    sequence: 1
  }
  const key = `${KEY.backends}w`
  const read = (value: object): BackendRecord =>
    readBackend({key, value: JSON.stringify(value), revision: 1, era: 1})
  t.equal(read(entry).coldRemainingMs, 700)
  t.throws(() => read({...entry, coldRemainingMs: -1}))
  const config = (coldPerS: unknown): string =>
    JSON.stringify({...FLEET_CONFIG, services: [{name: "s", coldPerS}]})
  const readConfig = (coldPerS: unknown): unknown =>
    platformRecords.readConfig(KEY.config, config(coldPerS))?.services[0]?.coldPerS
  t.equal(readConfig(2.5), 2.5)
  t.equal(readConfig(undefined), undefined)
  t.throws(() => readConfig(0))
  t.throws(() => readConfig("2"))
})
