/**
 * Eras of the store in the parts of a box: answers, positions, backend servers, versions
 * and leadership.
 */
import {createServer, type Server} from "node:http"
import type {AddressInfo} from "node:net"
import {setTimeout as sleep} from "node:timers/promises"
import t, {type Test} from "tap"
import {connectStore} from "../platform/store.js"
import {StoreEras} from "../src/adapters/era-source.js"
import {listAll} from "../src/adapters/store-follower.js"
import {
  createBackendList,
  expireBackends,
  isUsable,
  recordRestore,
  recordStoreRecovery,
  recordStoreServedOthers,
  recordStoreFailure,
  applyBackendUpdate,
  applyBackendList
} from "../src/core/backend-list.js"
import {
  isSnapshotCurrent,
  applyEra,
  recordSnapshotTime
} from "../src/core/box-snapshot-age.js"
import {applyVersions} from "../src/core/box-versions.js"
import {
  confirmLeadership,
  createLeadership,
  suspendLeadership,
  type LeadershipOptions,
  canOrder,
  beginLeadership
} from "../src/core/leadership.js"
import {isLaterPosition, toFence} from "../src/core/eras.js"
import {KvUnavailable, KvUnknown} from "../src/errors.js"
import type {KvStore} from "../src/ports/ports.js"
import type {BackendRecord} from "../src/types/fleet.js"
import {Subject} from "./support/box-subject.js"

/**
 * Starts a store that answers each call with the next era of the list, always at the same
 * revision, and returns its address.
 */
async function serveEras(
  t: Test,
  headers: readonly (string | undefined)[]
): Promise<string> {
  let calls = 0
  const server: Server = createServer((_, res) => {
    const header = headers[Math.min(calls++, headers.length - 1)]
    if (header !== undefined) res.setHeader("Store-Era", header)
    res.end(
      JSON.stringify({
        items: [{key: `a/${calls}`, revision: 7}],
        events: [],
        more: calls < 2,
        at: 7
      })
    )
  })
  await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()))
  t.teardown(() => server.close())
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

interface Connected {
  readonly kv: KvStore
  readonly eras: StoreEras
  readonly logged: string[]
}

function connect(address: string): Connected {
  const logged: string[] = []
  const eras = new StoreEras((event, fields) =>
    logged.push([event, ...Object.values(fields ?? {})].join(" "))
  )
  const kv = connectStore({address, timeoutMs: 400, watchMs: 900, eras})
  return {kv, eras, logged}
}

t.test("a store without eras has no era change", async t => {
  const {kv, eras, logged} = connect(await serveEras(t, [undefined]))
  const {entries, era} = await kv.list("a/")
  t.equal(era, undefined)
  t.equal(entries[0]?.era, undefined)
  t.equal(eras.era, undefined)
  t.same(logged, [])
})

t.test(
  "an answer without an era, with a lower or an invalid one keeps the known era",
  async t => {
    const headers = ["3", undefined, "2", "x", "3", "-1", "1e3", "99999", "4"]
    const {kv, eras, logged} = connect(await serveEras(t, headers))
    for (let i = 0; i < headers.length - 1; i++) {
      const {era, entries} = await kv.list("a/")
      t.equal(era, 3, `answer ${i} counts for the known era`)
      t.equal(entries.length, 1, "its entries are kept")
    }
    t.equal((await kv.list("a/")).era, 4)
    t.equal(eras.era, 4)
    t.same(logged, [
      "era-odd none told  3",
      "era-odd falls 2 3",
      "era-odd no number x 3",
      "era-rose 4 3"
    ])
  }
)

t.test("an answer to a call from before a restore is rejected", async t => {
  const eras = new StoreEras(() => undefined)
  eras.resolveEra("1", 0)
  const sentAt = performance.now()
  await sleep(5)
  eras.resolveEra("2", performance.now())
  t.throws(() => eras.resolveEra("1", sentAt), KvUnknown)
})

t.test("a watch answered by another era fails, and so do pages of two eras", async t => {
  const {kv} = connect(await serveEras(t, ["1", "2"]))
  const {signal} = new AbortController()
  const watch = kv.watch("a/", {revision: 7, era: 1}, () => undefined, signal)
  await t.resolves(watch)
  await t.rejects(
    kv.watch("a/", {revision: 7, era: 1}, () => undefined, signal),
    KvUnavailable
  )
  const pages = connect(await serveEras(t, ["1", "2"]))
  await t.rejects(listAll(pages.kv, "a/", false, {}), KvUnavailable)
})

t.test(
  "positions and fencing tokens of a later era are higher, whatever their revisions",
  async t => {
    t.ok(isLaterPosition({revision: 1, era: 2}, {revision: 900, era: 1}))
    t.notOk(isLaterPosition({revision: 900, era: 1}, {revision: 1, era: 2}))
    t.ok(toFence({revision: 1, era: 2}) > toFence({revision: 10 ** 9, era: 1}))
    t.equal(toFence({revision: 12}), 12, "the revision itself without eras")
    t.ok(Number.isSafeInteger(toFence({revision: 2 ** 40 - 1, era: 8_191})))
  }
)

t.test("another box's report of an era counts with its age", async t => {
  const eras = new StoreEras(() => undefined)
  const restores: boolean[] = []
  eras.onChange((_, isRestore) => restores.push(isRestore))
  eras.resolveEra("3", performance.now())
  eras.handleReport({era: 3, ageMs: 60_000, risen: false})
  t.ok((eras.report(performance.now())?.ageMs ?? 0) >= 60_000)
  eras.handleReport({era: 4, ageMs: 500, risen: true})
  eras.handleReport({era: 3, ageMs: 0, risen: true})
  t.match(eras.known, {era: 4, restored: true})
  t.same(restores, [false, false, true])
})

const STARTED: BackendRecord = {
  id: "w~1",
  server: "w",
  revision: 50,
  era: 1,
  service: "s",
  address: "10.0.0.1:80",
  dataCentre: "a",
  leaving: false,
  coldRemainingMs: 0,
  models: []
}

t.test("an older backup does not bring back an ended incarnation", async t => {
  const next = {...STARTED, id: "w~2", revision: 90}
  const at = (now: number): {source: "store"; readAt: number} => ({
    source: "store",
    readAt: now
  })
  let list = applyBackendList(createBackendList(), [STARTED], at(0), 0)
  list = applyBackendList(list, [next], at(1_000), 1_000)
  list = recordRestore(list, 2_000, 2_000)
  list = applyBackendList(list, [{...STARTED, revision: 10, era: 2}], at(2_010), 2_010)
  t.same([...list.known.keys()], ["w~2"])
  const third = {...STARTED, id: "w~3", revision: 12, era: 2}
  list = applyBackendList(list, [third], at(3_000), 3_000)
  t.same(
    [...list.known.keys()],
    ["w~3"],
    "a newer one counts, although its revision is lower"
  )
})

t.test(
  "a server that had left is back only if its entry outlasts restored entries",
  async t => {
    const at = (now: number): {source: "store"; readAt: number} => ({
      source: "store",
      readAt: now
    })
    const restoredEntry = {...STARTED, era: 2}
    let list = applyBackendList(createBackendList(), [STARTED], at(0), 0)
    list = applyBackendList(list, [], at(1_000), 1_000)
    list = recordRestore(list, 2_000, 2_000)
    list = applyBackendList(list, [restoredEntry], at(2_010), 2_010)
    t.notOk(isUsable(list, "w~1"))
    t.ok(isUsable(expireBackends(list, 7_001), "w~1"), "its entry still exists")
    const expired = applyBackendList(list, [], at(5_500), 5_500)
    t.notOk(isUsable(expireBackends(expired, 7_001), "w~1"), "its entry has expired")
  }
)

// Guards against a box that started after the server left: no list that it has read
// contains the server, so it cannot tell that the restored entry is outdated.
t.test("a server unknown at the time of a restore may have left before", async t => {
  const at = (now: number): {source: "store"; readAt: number} => ({
    source: "store",
    readAt: now
  })
  const restoredEntry = {...STARTED, era: 2}
  const empty = applyBackendList(createBackendList(), [], at(1_000), 1_000)
  const restored = recordRestore(empty, 2_000, 2_000)
  for (const list of [
    applyBackendList(restored, [restoredEntry], at(2_010), 2_010),
    applyBackendUpdate(restored, "w", restoredEntry, at(2_010), 2_010)
  ]) {
    t.notOk(isUsable(list, "w~1"))
    t.ok(isUsable(expireBackends(list, 7_001), "w~1"), "its entry still exists")
    const expired = applyBackendUpdate(list, "w", undefined, at(5_000), 5_000)
    t.notOk(isUsable(expireBackends(expired, 7_001), "w~1"), "its entry has expired")
  }
  const reported = applyBackendList(
    restored,
    [restoredEntry],
    {source: "box", readAt: 2_010},
    2_010
  )
  t.ok(isUsable(reported, "w~1"), "usable if reported by a box with older records")
})

// Guards against a failure of a soak test: a box that requested a store snapshot from
// other boxes during a restore refused plain requests for 20 s.
t.test("a store that serves other boxes keeps the expiry set at a restore", async t => {
  const at = (now: number): {source: "store"; readAt: number} => ({
    source: "store",
    readAt: now
  })
  let list = applyBackendList(createBackendList(), [STARTED], at(0), 0)
  list = recordStoreServedOthers(
    recordRestore(recordStoreFailure(list, 1_500), 2_000, 2_000)
  )
  list = applyBackendList(list, [], at(2_080), 2_080)
  t.ok(isUsable(list, "w~1"))
  list = recordStoreServedOthers(list)
  t.ok(isUsable(list, "w~1"))
  t.notOk(isUsable(expireBackends(list, 4_100), "w~1"))
})

t.test(
  "a server that vanished in an outage that ends with a restore expires",
  async t => {
    const at = (now: number): {source: "store"; readAt: number} => ({
      source: "store",
      readAt: now
    })
    let list = applyBackendList(createBackendList(), [STARTED], at(0), 0)
    list = applyBackendList(recordStoreFailure(list, 1_000), [], at(1_100), 1_100)
    list = recordStoreRecovery(recordRestore(list, 2_000, 2_000), 2_010)
    t.ok(isUsable(list, "w~1"))
    t.notOk(isUsable(expireBackends(list, 4_100), "w~1"))
  }
)

// A leader reports a server as gone if it has not received its entry in time, and reports
// the server again when it receives the entry.
t.test(
  "a server reported gone after a restore is back as soon as it is reported",
  async t => {
    const byBox = (now: number): {source: "box"; readAt: number} => ({
      source: "box",
      readAt: now
    })
    let list = applyBackendList(createBackendList(), [STARTED], byBox(0), 0)
    list = recordRestore(list, 2_000, 2_000)
    list = applyBackendUpdate(list, "w~1", undefined, byBox(4_050), 4_050)
    t.notOk(isUsable(list, "w~1"))
    list = applyBackendUpdate(list, "w~1", {...STARTED, era: 2}, byBox(4_300), 4_300)
    t.ok(isUsable(list, "w~1"))
  }
)

t.test("a server that the older backup lacks has time to write its entry", async t => {
  const at = (now: number): {source: "store"; readAt: number} => ({
    source: "store",
    readAt: now
  })
  let list = applyBackendList(createBackendList(), [STARTED], at(0), 0)
  list = recordRestore(list, 2_000, 2_000)
  list = applyBackendList(list, [], at(2_010), 2_010)
  t.ok(isUsable(list, "w~1"))
  t.notOk(isUsable(expireBackends(list, 4_100), "w~1"))
})

t.test("the age of a version written again counts from before the restore", async t => {
  const subject = new Subject()
  const {box} = subject
  recordSnapshotTime(box, 1_000)
  applyEra(box, {era: 2, begunBy: 2_000, restored: true}, true)
  recordSnapshotTime(box, 5_000)
  applyVersions(box, [["m/x", 2]], 5_100)
  t.equal(box.versions.get("m/x")?.at(-1)?.announcedAfter, 1_000)
  t.notOk(isSnapshotCurrent(box, 5_100), "a missing route is not certain either")
  recordSnapshotTime(box, 13_000)
  applyVersions(box, [["m/y", 2]], 13_100)
  t.equal(
    box.versions.get("m/y")?.at(-1)?.announcedAfter,
    13_000,
    "the snapshot time counts again later"
  )
  t.ok(isSnapshotCurrent(box, 13_100))
})

t.test(
  "a store read soon after a restore does not limit ages at the next restore",
  async t => {
    const {box} = new Subject()
    recordSnapshotTime(box, 1_000)
    applyEra(box, {era: 2, begunBy: 2_000, restored: true}, true)
    recordSnapshotTime(box, 3_000)
    applyEra(box, {era: 3, begunBy: 4_000, restored: true}, true)
    applyVersions(box, [["m/x", 2]], 4_500)
    t.equal(box.versions.get("m/x")?.at(-1)?.announcedAfter, 1_000)
  }
)

const UNCHECKED: LeadershipOptions = {
  ttlMs: 1_200,
  marginMs: 200,
  checksFences: false,
  orderGapMs: 3_000
}

t.test("no order is sent in a new era until leadership is claimed again", async t => {
  const leadership = createLeadership()
  beginLeadership(
    leadership,
    {fence: 5, lease: "1", leaseMs: 1_200, sentAt: 0, eraBegunBy: -60_000},
    10,
    UNCHECKED
  )
  t.ok(canOrder({...leadership, validUntil: 9_000}, 3_300))
  leadership.validUntil = 9_000
  suspendLeadership(leadership)
  t.notOk(canOrder(leadership, 3_300))
  const claim = {fence: 9, lease: "2", leaseMs: 1_200, sentAt: 3_350, eraBegunBy: 3_300}
  confirmLeadership(leadership, claim, 3_360, UNCHECKED)
  t.ok(canOrder(leadership, 3_361), "no other box led in between")
  t.equal(leadership.fence, 9)
})

t.test(
  "a new leader waits for one of the era before if no engine checks fencing tokens",
  async t => {
    const claim = {fence: 9, lease: "2", leaseMs: 1_200, sentAt: 1_000, eraBegunBy: 900}
    const leadership = createLeadership()
    beginLeadership(leadership, claim, 1_010, UNCHECKED)
    t.equal(leadership.orderFrom, 900 + 1_200 + 3_200)
    const checked = createLeadership()
    beginLeadership(checked, claim, 1_010, {...UNCHECKED, checksFences: true})
    t.equal(checked.orderFrom, 1_010)
    const late = createLeadership()
    const expired = {fence: 1, lease: "1", leaseMs: 1_200, sentAt: -2_000}
    beginLeadership(late, expired, -2_000, UNCHECKED)
    late.orderFrom = -2_000
    confirmLeadership(late, claim, 1_010, UNCHECKED)
    t.equal(late.orderFrom, 900 + 1_200 + 3_200, "an expired leadership does not count")
  }
)
