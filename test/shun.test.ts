/** Servers that several boxes found silent. */
import t from "tap"
import {drainFleet, planFleet} from "../src/core/placement.js"
import {isShunned, SHUN_MS, takeSilence} from "../src/core/placement-shun.js"
import {createFleet, type Fleet} from "../src/core/placement-state.js"

const PEERS = ["a", "b", "c"]

function shunnedIn(fleet: Fleet): string[] {
  return drainFleet(fleet).flatMap(effect =>
    effect.type === "shun" ? [effect.backend] : []
  )
}

t.test("one box alone says nothing of a server, however often", async t => {
  const fleet = createFleet(0)
  for (let i = 0; i < 5; i++) takeSilence(fleet, "box-1", "a", PEERS, i)
  t.same(shunnedIn(fleet), [])
})

t.test("two boxes that found it silent are believed, for a while", async t => {
  const fleet = createFleet(0)
  takeSilence(fleet, "box-1", "a", PEERS, 0)
  takeSilence(fleet, "box-2", "a", PEERS, 1_000)
  t.same(shunnedIn(fleet), ["a"])
  takeSilence(fleet, "box-3", "a", PEERS, 1_100)
  t.same(shunnedIn(fleet), [], "told once")
  t.ok(isShunned(fleet, "a", 1_000 + SHUN_MS - 1))
  t.notOk(isShunned(fleet, "a", 1_000 + SHUN_MS))
})

t.test("what two boxes said long apart does not count together", async t => {
  const fleet = createFleet(0)
  takeSilence(fleet, "box-1", "a", PEERS, 0)
  takeSilence(fleet, "box-2", "a", PEERS, 2_100)
  t.same(shunnedIn(fleet), [])
})

t.test("no more than a third of a service is left alone at once", async t => {
  const fleet = createFleet(0)
  for (const backend of PEERS) {
    takeSilence(fleet, "box-1", backend, PEERS, 0)
    takeSilence(fleet, "box-2", backend, PEERS, 0)
  }
  t.same(shunnedIn(fleet), ["a"])
  takeSilence(fleet, "box-1", "x", ["x", "y"], 0)
  takeSilence(fleet, "box-2", "x", ["x", "y"], 0)
  t.same(shunnedIn(fleet), [], "one of two is too many")
})

t.test("what is over is forgotten", async t => {
  const fleet = createFleet(0)
  takeSilence(fleet, "box-1", "a", PEERS, 0)
  takeSilence(fleet, "box-1", "b", PEERS, 0)
  takeSilence(fleet, "box-2", "b", PEERS, 0)
  planFleet(fleet, false, 60_000)
  t.equal(fleet.silences.size, 0)
  t.equal(fleet.shunned.size, 0)
})
