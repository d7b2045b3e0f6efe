/**
 * What a box concludes from failures on its own links. Guards against three failures:
 * requests that reached nobody used up the retry budget, sound servers were avoided
 * because the link to them was down, and a link that flaps was used again at once.
 */
import t from "tap"
import {
  type CarriedEnd,
  handleCarriedEnd,
  handleProbeResult
} from "../src/core/box-crashes.js"
import {checkQuietPath, handlePathProbe} from "../src/core/box-paths.js"
import type {Attempt, BoxEffect} from "../src/core/box-state.js"
import {findCarryObstacle} from "../src/core/carry-checks.js"
import {PeerPaths} from "../src/core/peer-paths.js"
import {handleNotice} from "../src/core/server-notices.js"
import {ServerReach} from "../src/core/server-reach.js"
import {record, ROUTE, Subject} from "./support/box-subject.js"

const PEER = "10.0.0.9:7000"
const NOTHING = {
  leaving: false,
  restMs: undefined,
  refusalsPerSecond: undefined,
  perSecond: undefined,
  unreadable: undefined
}

function sendOf(effects: readonly BoxEffect[]): Extract<BoxEffect, {type: "send"}> {
  const send = effects.find(({type}) => type === "send")
  return send as Extract<BoxEffect, {type: "send"}>
}

t.test("a request that was not sent goes to a box that may reach the server", async t => {
  const subject = new Subject(0)
  subject.box.peers.add([PEER])
  const first = sendOf(subject.arrive(ROUTE).effects)
  t.equal(first.via, undefined)
  subject.fail("not-sent")
  // The server's path is not known to be down: its neighbour is tried first.
  const second = sendOf(subject.effects)
  t.not(second.backend.id, first.backend.id)
  subject.fail("not-sent", 2)
  t.equal(sendOf(subject.effects).via, PEER)
})

t.test("a server whose path is down gets requests through another box", async t => {
  const subject = new Subject(0)
  subject.box.peers.add([PEER])
  for (const server of ["one", "two"]) {
    subject.box.reach.requestCheck(server, subject.now)
    handlePathProbe(subject.box, server, false, subject.now)
  }
  t.equal(sendOf(subject.arrive(ROUTE).effects).via, PEER)
})

t.test("attempts that reached no server are no retries", async t => {
  const subject = new Subject(2)
  subject.box.peers.add([PEER, "10.0.0.8:7000", "10.0.0.7:7000"])
  const safe = {...ROUTE, kind: "safe" as const, maxAttempts: 2}
  subject.arrive(safe).fail("not-sent").fail("not-sent", 2).fail("not-carried", 3)
  t.equal(sendOf(subject.effects).attempt, 4)
  // The whole budget is left for the first failure that may have run.
  subject.start(4).fail("broken", 4)
  t.equal(sendOf(subject.effects).attempt, 5)
})

t.test("without a box that reaches the server the request ends as not run", async t => {
  const subject = new Subject(100)
  subject.arrive(ROUTE)
  for (let i = 1; i < 10 && subject.box.requests.size > 0; i++) {
    if (sendOf(subject.effects)) subject.fail("not-sent", i)
    else {
      subject.advanceTime(300)
      i--
    }
  }
  t.match(subject.summarizeEffects().at(-1), "end not-run")
})

t.test("a path that flaps needs more successes each time", async t => {
  const reach = new ServerReach()
  let now = 0
  const fail = (): void => {
    reach.requestCheck("s", now)
    reach.recordProbe("s", false, now)
  }
  const successesNeeded = (): number => {
    for (let count = 1; ; count++) {
      now += 500
      reach.recordProbe("s", true, now)
      if (reach.reaches("s")) return count
    }
  }
  const needed: number[] = []
  for (let i = 0; i < 4; i++) {
    fail()
    t.notOk(reach.reaches("s"))
    needed.push(successesNeeded())
  }
  t.same(needed, [2, 4, 8, 8])
  now += 20_000
  fail()
  t.equal(successesNeeded(), 2, "a link that was up for long")
})

t.test("a sound server that is silent for a second stays reached", async t => {
  const subject = new Subject()
  subject.arrive(ROUTE).start()
  const [request] = subject.box.requests.values()
  const attempt = request?.attempt as Attempt
  subject.now += 450
  checkQuietPath(subject.box, attempt, subject.now)
  const effects = subject.drain().effects
  t.same(
    effects.map(({type}) => type),
    ["check-path"]
  )
  handlePathProbe(subject.box, attempt.backend, true, subject.now)
  t.ok(subject.box.reach.reaches(attempt.backend))
  subject.now += 600
  checkQuietPath(subject.box, attempt, subject.now)
  t.same(subject.drain().effects, [], "it is not tested again at once")
})

t.test("a box that does not reach a server either refuses to send", async t => {
  const {box, now} = new Subject()
  const send = {server: "one", isAllowed: false}
  t.equal(findCarryObstacle(box, send, now), undefined)
  box.reach.requestCheck("one", now)
  handlePathProbe(box, "one", undefined, now)
  t.equal(findCarryObstacle(box, send, now), "unreached")
  t.equal(findCarryObstacle(box, {...send, server: "gone"}, now), "unusable")
  box.backoffUntil.set("two", now + 1_000)
  t.equal(findCarryObstacle(box, {...send, server: "two"}, now), "unusable")
})

// Another box, which the leader does not reach, asked to send it on and on.
t.test("a box sends no request that it knows to crash servers for others", async t => {
  const {box, now} = new Subject()
  for (const server of ["a", "b", "c"]) box.crashes.add("part:bad", server, now)
  const send = {server: "one", isAllowed: false, fingerprints: ["f", "part:bad"]}
  t.equal(findCarryObstacle(box, send, now), "quarantined")
  t.equal(findCarryObstacle(box, {...send, isTrial: true}, now), undefined)
  t.equal(findCarryObstacle(box, {...send, fingerprints: ["f"]}, now), undefined)
})

// As a box that does not reach the server, it would be asked for no other request.
t.test(
  "a box that knows a request to crash servers ends it and is asked again",
  async t => {
    const subject = new Subject(0)
    subject.box.peers.add([PEER])
    for (const server of ["one", "two"]) {
      subject.box.reach.requestCheck(server, subject.now)
      handlePathProbe(subject.box, server, false, subject.now)
    }
    subject.arrive(ROUTE).start().fail("quarantined")
    t.match(subject.summarizeEffects().at(-1), "end crashes-servers")
    t.equal(subject.box.requests.size, 0)
    t.equal(sendOf(subject.arrive(ROUTE).effects).via, PEER)
  }
)

// The box that asked for it may be cut off from the leader.
t.test("a box reports crashes under requests that it sends for others", async t => {
  const suspectsOf = (end: CarriedEnd): readonly string[] => {
    const subject = new Subject()
    const {box, now} = subject
    box.carried.set("0", {backend: "one", fingerprints: ["f", "part:bad"]})
    handleCarriedEnd(box, "0", end, now)
    t.equal(box.carried.size, 0)
    handleProbeResult(box, "one", false, now + 100)
    return box.crashes.fingerprints()
  }
  t.same(suspectsOf("broken"), ["f", "part:bad"])
  t.same(suspectsOf("closed"), ["f", "part:bad"])
  t.same(suspectsOf("answered"), ["f", "part:bad"], "it may crash right after its answer")
  t.same(suspectsOf("refused"), [])
})

t.test("boxes that failed come last, and are asked again later", async t => {
  const peers = new PeerPaths()
  peers.add(["a", "b"])
  peers.recordUnreached("a", "s", 0)
  t.equal(
    peers.choose("s", 0, () => 0),
    "b"
  )
  peers.recordFailure("b", 0)
  t.equal(
    peers.choose("s", 0, () => 0),
    "b",
    "a box that did not answer is better than none"
  )
  t.equal(
    peers.choose("s", 1_000, () => 0),
    "a"
  )
})

// Servers that bear few refusals for lack of room failed one after the other.
t.test("boxes stay below the refusals that a brittle server bears", async t => {
  const {box, now} = new Subject()
  box.boxCount = 9
  handleNotice(box, "one", {...NOTHING, refusalsPerSecond: 6}, now, now)
  const pauseMs = (box.backoffUntil.get("one") ?? now) - now
  t.ok((box.boxCount * 1_000) / pauseMs <= 6, `${pauseMs} ms`)
  handleNotice(box, "two", NOTHING, now, now)
  t.equal(box.backoffUntil.get("two"), undefined)
  t.match(record("one"), {id: "one"})
})
