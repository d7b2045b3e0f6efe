/** Callers' keys: who is let through, by what a box knows and by how old that is. */
import t from "tap"
import {checkAccess} from "../src/core/access.js"
import {noteConfigRead, noteEra} from "../src/core/box-news.js"
import {hangUp} from "../src/core/box-requests.js"
import type {BoxServing} from "../src/core/box-state.js"
import {findObstacle} from "../src/core/box-starts.js"
import {rankRequests} from "../src/core/request-ranks.js"
import {buildRouteTable} from "../src/core/route-table.js"
import {createBoxServing} from "../src/core/box-state.js"
import type {FleetConfig} from "../src/types/fleet.js"
import type {RoutedOrganisation} from "../src/types/organisations.js"
import {shortHash} from "../src/utils/hash.js"
import {ROUTE, Subject} from "./support/box-subject.js"

const KEY = shortHash("one")
const OTHER = shortHash("other")
const ONE: RoutedOrganisation = {name: "one", keys: [KEY], priority: 1}
const OPEN = {...ROUTE, anonymous: true}

/** A key that was taken away is used no later than this, milliseconds. */
const TAKEN_AWAY_MS = 5_000

function configure(organisations: readonly RoutedOrganisation[]): FleetConfig {
  return {
    version: 1,
    routes: [ROUTE],
    services: [],
    organisations,
    limits: {
      maxHeaderBytes: 1,
      maxBodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1
    }
  }
}

/** A box that read its configuration at 0. */
function createBox(organisations: readonly RoutedOrganisation[] = [ONE]): BoxServing {
  const box = createBoxServing({
    dataCentre: "a",
    retry: {ratio: 0, slack: 0, windowMs: 1},
    handoverMs: 0,
    takenAwayMs: TAKEN_AWAY_MS,
    random: () => 0
  })
  box.table = buildRouteTable(configure(organisations))
  noteConfigRead(box, 0)
  return box
}

function told(
  box: BoxServing,
  key: string | undefined,
  now: number,
  route = ROUTE
): string {
  const access = checkAccess(box, route, key, now)
  return access.granted ? (access.organisation?.name ?? "nobody") : access.reason
}

t.test("a key lets its organisation through, and no other key does", async t => {
  const box = createBox()
  t.equal(told(box, KEY, 100), "one")
  t.equal(told(box, OTHER, 100), "unknown-key")
  t.equal(told(box, undefined, 100), "unknown-key")
  t.equal(told(box, "", 100), "unknown-key")
  t.equal(told(box, undefined, 100, OPEN), "nobody")
  t.equal(told(box, OTHER, 100, OPEN), "nobody")
  t.equal(told(box, KEY, 100, OPEN), "one", "whose key it is is known on any route")
  t.equal(told(createBox([]), undefined, 100), "nobody", "without organisations")
})

t.test("a box that has not heard of late says of no key that it is unknown", async t => {
  const box = createBox()
  t.equal(told(box, OTHER, 1_700), "unknown-key")
  t.equal(told(box, OTHER, 1_701), "unknown-key-yet")
})

// Pattern: a box is cut off from the store and from all boxes as a key is taken away.
t.test(
  "no key counts by a reading that cannot show in time that it was taken away",
  async t => {
    const box = createBox()
    t.equal(told(box, KEY, 4_500), "one")
    t.equal(told(box, KEY, 4_501), "keys-too-old")
    noteConfigRead(box, 4_400)
    t.equal(told(box, KEY, 8_900), "one")
    noteConfigRead(box, 100)
    t.equal(told(box, KEY, 8_900), "one", "an older reading takes nothing back")
  }
)

t.test(
  "what an older copy of the store lacks is no proof that a key still holds",
  async t => {
    const box = createBox()
    noteEra(box, {era: 1, by: -60_000, risen: false}, false)
    noteConfigRead(box, 1_000)
    noteEra(box, {era: 2, by: 2_000, risen: true}, true)
    noteConfigRead(box, 3_000)
    t.equal(told(box, KEY, 5_500), "one", "by the reading before")
    t.equal(told(box, KEY, 5_501), "keys-too-old", "the copy may lack what took it away")
    noteConfigRead(box, 12_000)
    t.equal(told(box, KEY, 12_000), "one", "operators have written again")
  }
)

t.test("a request whose key is taken away while it waits does not run", async t => {
  const subject = new Subject()
  const {box} = subject
  box.table = buildRouteTable(configure([ONE]))
  const waiting = {weights: {model: "m", adapter: "x"}, key: KEY, organisation: "one"}
  subject.arrive(ROUTE, waiting)
  t.equal(box.requests.size, 1)
  box.table = buildRouteTable(configure([{...ONE, keys: [OTHER]}]))
  subject.pass(20)
  t.match(
    subject.effects.find(({type}) => type === "end"),
    {reason: "denied"}
  )
  t.equal(box.requests.size, 0)
})

t.test("a key is looked at once more as bytes leave", async t => {
  const subject = new Subject()
  const {box, now} = subject
  box.table = buildRouteTable(configure([ONE]))
  subject.arrive(ROUTE, {key: KEY, organisation: "one"})
  t.equal(findObstacle(box, "q", now), undefined)
  box.table = buildRouteTable(configure([]))
  t.equal(findObstacle(box, "q", now), "overtaken")
  hangUp(box, "q", now)
})

t.test("an organisation's rank goes before a route's", async t => {
  const routes = [0, 1, 2].map(priority => ({...ROUTE, priority}))
  const plain = rankRequests({...configure([]), routes})
  t.equal(plain(undefined, 2), 2, "without organisations the route's stands")
  const urgent = {...ONE, name: "urgent", priority: 0}
  const none = {name: "none", keys: []}
  const rank = rankRequests({...configure([ONE, urgent, none]), routes})
  const all = [0, 1, undefined].flatMap(each => [0, 1, 2].map(route => rank(each, route)))
  t.same(all, [0, 1, 2, 3, 4, 5, 6, 7, 8])
  const many = Array.from({length: 9}, (_, i) => ({...ONE, priority: i}))
  const rough = rankRequests({...configure(many), routes})
  t.equal(rough(0, 0), 0)
  t.equal(rough(8, 2), 9, "engines know no rank past 9")
  t.ok(rough(3, 2) <= rough(4, 0))
})
