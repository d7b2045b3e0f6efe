/** The bench of what boxes are told: its links, and that a run counts what it says. */
import t from "tap"
import {Links} from "../bench/places-links.js"
import {PlacesRun} from "../bench/places-run.js"

function createLinks(loss: number, draw: () => number): Links {
  return new Links({uplinkBytesPerMs: 100, delayMs: 2, lossRatio: loss, draw})
}

t.test("messages share the leader's line, whatever box they go to", async t => {
  const links = createLinks(0, () => 0.5)
  t.equal(links.send(0, 1_000, 0), 12)
  t.equal(links.send(1, 1_000, 0), 22)
  t.equal(links.send(1, 100, 50), 53)
})

t.test("a link keeps its order: what is sent again holds up the rest", async t => {
  const draws = [0, 0.9]
  const links = createLinks(0.1, () => draws.shift() ?? 0.9)
  const first = links.send(0, 100, 0)
  t.equal(first, 203)
  t.equal(links.send(0, 100, 10), first)
  t.equal(links.send(1, 100, 20), 23, "other links are not held up")
})

t.test("nothing reaches a box while it is cut off", async t => {
  const links = createLinks(0, () => 0.5)
  links.addOutage(0, 10, 500)
  t.equal(links.send(0, 100, 0), 3)
  t.equal(links.send(0, 100, 20), 500)
  t.equal(links.send(0, 100, 600), 603)
})

t.test("a run counts what a leader and its boxes tell each other", async t => {
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
