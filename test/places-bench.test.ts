/** The bench of slot updates to boxes: its simulated links and the counts of a run. */
import t from "tap"
import {Links} from "../bench/places-links.js"
import {PlacesRun} from "../bench/places-run.js"

function createLinks(loss: number, draw: () => number): Links {
  return new Links({uplinkBytesPerMs: 100, delayMs: 2, lossRatio: loss, draw})
}

t.test("messages to all boxes share the leader's bandwidth", async t => {
  const links = createLinks(0, () => 0.5)
  t.equal(links.send(0, 1_000, 0), 12)
  t.equal(links.send(1, 1_000, 0), 22)
  t.equal(links.send(1, 100, 50), 53)
})

t.test("a link keeps its order: a retransmission delays later messages", async t => {
  const draws = [0, 0.9]
  const links = createLinks(0.1, () => draws.shift() ?? 0.9)
  const first = links.send(0, 100, 0)
  t.equal(first, 203)
  t.equal(links.send(0, 100, 10), first)
  t.equal(links.send(1, 100, 20), 23, "other links are not delayed")
})

t.test("no message reaches a box while its link is cut", async t => {
  const links = createLinks(0, () => 0.5)
  links.addOutage(0, 10, 500)
  t.equal(links.send(0, 100, 0), 3)
  t.equal(links.send(0, 100, 20), 500)
  t.equal(links.send(0, 100, 600), 603)
})

t.test("a run counts the messages between a leader and its boxes", async t => {
  const size = {boxes: 9, engines: 9, adapters: 200, requestsPerS: 100, lengthMs: 1_000}
  const run = new PlacesRun(size)
  t.ok(run.sendSnapshot().length > 0)
  const counted = run.run()
  t.equal(counted.countedMs, size.lengthMs)
  t.ok(counted.loads > 0, `${counted.loads} loads`)
  t.ok(counted.leaderBytes >= size.boxes * counted.boxBytes)
  t.ok(counted.receivedMessages > counted.weightsRequests)
  t.ok(counted.ageP50Ms <= counted.ageP99Ms)
})
