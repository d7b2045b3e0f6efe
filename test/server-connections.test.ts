/** Tests how many connections a box may open to a server. */
import t from "tap"
import {createBoxServing} from "../src/core/box-state.js"
import {buildRouteTable} from "../src/core/route-table.js"
import {serverConnections} from "../src/core/server-connections.js"
import {stepRouted} from "../src/core/serving.js"
import type {RoutedState} from "../src/core/serving-fleet.js"

const ACCEPTED = 100

/** Longer than a changed leader needs to count its boxes. */
const COUNTED_MS = 5_000

const LONG_MS = 15_000

/** Returns a function that reports a number of boxes and returns the share. */
function startBox(): (boxes: number, now: number) => number {
  const random = (): number => 0
  const retry = {ratio: 0, slack: 100, windowMs: 10_000}
  const options = {dataCentre: "a", retry, handoverMs: 3_200, random}
  const state: RoutedState = {serving: createBoxServing(options), fleet: undefined}
  state.serving.table = buildRouteTable({
    version: 1,
    routes: [],
    services: [{name: "s", maxConnections: ACCEPTED}],
    limits: {maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1},
    organisations: []
  })
  return (boxes, now) => {
    stepRouted(state, {type: "boxes", boxes}, now)
    return serverConnections(state.serving, "s")
  }
}

// Guards against connections beyond those that servers accept after a change of leader,
// which counts the boxes from one on.
t.test("a share does not grow while boxes link to a new leader", async t => {
  const report = startBox()
  t.equal(report(4, 0), 20)
  t.equal(report(1, 2_000), 20)
  t.equal(report(2, 2_300), 20)
  t.equal(report(4, COUNTED_MS), 20)
  t.equal(report(3, COUNTED_MS + LONG_MS / 2), 20)
  t.equal(report(4, COUNTED_MS + LONG_MS), 20, "a list of boxes that flaps")
})

t.test("a share grows when fewer boxes stay, and shrinks at once", async t => {
  const report = startBox()
  t.equal(report(4, 0), 20)
  t.equal(report(2, 1_000), 20)
  t.equal(report(2, LONG_MS), 40)
  t.equal(report(8, LONG_MS + 1), 10)
})
