/**
 * Tests where a box gets its store snapshot: from its leader, or by reading the store.
 */
import t from "tap"
import {isUsable} from "../src/core/backend-list.js"
import {createBoxServing} from "../src/core/box-state.js"
import {stepRouted} from "../src/core/serving.js"
import type {RoutedState} from "../src/core/serving-fleet.js"
import {clockNow} from "../src/adapters/clock.js"
import {
  type SnapshotSourceOptions,
  SnapshotSource
} from "../src/adapters/snapshot-source.js"
import {StoreEras} from "../src/adapters/era-source.js"
import {SettledEra} from "../src/adapters/settled-era.js"
import {StoreFollower} from "../src/adapters/store-follower.js"
import {KvRefused} from "../src/errors.js"
import type {FleetRecords} from "../src/ports/fleet-ports.js"
import type {KvStore} from "../src/ports/ports.js"
import type {FromLeader} from "../src/types/box-messages.js"
import type {BackendRecord} from "../src/types/fleet.js"

const RECORDS: FleetRecords = {
  configKey: "op/config",
  operatorPrefix: "op/",
  backendPrefix: "servers/",
  readConfig: () => undefined,
  readVersion: () => undefined,
  readBackend: () => {
    throw new Error("this test has no backend records")
  }
}

const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms))

/**
 * Creates a source on a store. Its other calls have no effect unless `more` sets them.
 */
function createSource(
  kv: unknown,
  more: Partial<SnapshotSourceOptions> = {}
): SnapshotSource {
  const eras = new StoreEras(() => undefined)
  const settled = new SettledEra({
    kv: kv as KvStore,
    key: "settled",
    eras,
    post: () => undefined,
    log: () => undefined
  })
  return new SnapshotSource({
    kv: kv as KvStore,
    records: RECORDS,
    post: () => undefined,
    log: () => undefined,
    onUpdate: () => undefined,
    startedAt: -10_000,
    onRenewed: () => undefined,
    fetchFromPeers: () => Promise.resolve(undefined),
    requestConfig: () => undefined,
    requestFullUpdate: () => undefined,
    eras,
    settled,
    ...more
  })
}

/** A store that never answers. */
const SILENT = {list: () => new Promise(() => undefined)}

// The leader sends deltas only, so a server that expired on this box alone would not be
// sent again.
t.test("a box that returns to its leader's updates requests a full update", async t => {
  let asked = 0
  const news = createSource(SILENT, {startedAt: 0, requestFullUpdate: () => asked++})
  news.selectSource(false, 1_000)
  t.equal(asked, 0, "without a leader it follows the store")
  news.handleLeaderAges(100, 100, 2_000)
  news.selectSource(false, 2_010)
  t.equal(asked, 1)
  news.selectSource(false, 2_100)
  t.equal(asked, 1, "once is enough")
  news.selectSource(false, 9_000)
  news.handleLeaderAges(100, 100, 9_100)
  news.selectSource(false, 9_110)
  t.equal(asked, 2, "and again after the next return")
})

// RECOVER: in an outage the requests of many boxes to each other took the processors that
// the store's calls waited for.
t.test("a box of many asks others less often while that brings nothing", async t => {
  const asked: number[] = []
  let now = clockNow()
  const news = createSource(SILENT, {
    boxCount: () => 100,
    fetchFromPeers: () => {
      asked.push(now)
      return Promise.resolve(undefined)
    }
  })
  t.teardown(() => news.stopFollowing())
  const end = now + 20_000
  for (; now < end; now += 50) news.selectSource(false, now)
  const gaps = asked.slice(1).map((at, i) => Math.round(at - (asked[i] ?? at)))
  t.same(gaps.slice(0, 3), [250, 500, 1_000])
  t.ok(
    gaps.slice(3).every(gap => gap >= 2_000),
    gaps.join(", ")
  )
  t.ok(asked.length > 8, `${asked.length} requests`)
})

/** Creates a source whose store calls are counted and never answered. */
function createCountingSource(): {
  readonly news: SnapshotSource
  readonly listed: () => number
} {
  let listed = 0
  const kv = {list: () => (listed++, new Promise(() => undefined))}
  const news = createSource(kv, {startedAt: 0})
  return {news, listed: () => listed}
}

t.test("a starting box waits briefly for a leader before it reads the store", async t => {
  const {news, listed} = createCountingSource()
  news.selectSource(false, 500)
  t.equal(listed(), 0)
  news.selectSource(false, 700)
  t.equal(listed(), 2, "both prefixes")
  news.stopFollowing()
})

/** At this snapshot age a box must read the store itself to learn changes within 2 s. */
const REFRESH_AGE_MS = 1_300

// Guards against delays per hop that add up to more than the 2 s within which a box must
// know that a server leaves.
t.test("the age of a leader's update counts from the leader's store read", async t => {
  const {news, listed} = createCountingSource()
  t.teardown(() => news.stopFollowing())
  news.handleLeaderAges(1_000, 1_000, 10_000)
  news.selectSource(false, 10_000)
  t.equal(listed(), 0, "still new enough")
  news.selectSource(false, 10_000 + REFRESH_AGE_MS - 1_000)
  t.equal(listed(), 2)
})

t.test("the number of boxes does not change the wait for a silent leader", async t => {
  const {news, listed} = createCountingSource()
  t.teardown(() => news.stopFollowing())
  news.handleLeaderAges(0, 0, 10_000)
  news.selectSource(false, 10_000 + REFRESH_AGE_MS)
  t.equal(listed(), 2)
})

t.test(
  "a leader whose watch receives nothing still lists about every second",
  async t => {
    const silent = {
      watch: (_prefix: string, _after: number, _take: unknown, signal: AbortSignal) =>
        new Promise((_resolve, reject) => {
          const timer = setTimeout(() => reject(new Error("no answer")), 1_250)
          signal.addEventListener("abort", () => {
            clearTimeout(timer)
            reject(new Error("aborted"))
          })
        }),
      list: () => {
        lists.push(performance.now())
        return Promise.resolve({entries: [], revision: 1, more: false})
      }
    }
    const lists: number[] = []
    const follower = new StoreFollower(silent as unknown as KvStore, ["servers/"], true, {
      list: () => undefined,
      change: () => undefined,
      listFailed: () => undefined,
      watchFailed: () => undefined
    })
    await new Promise(resolve => setTimeout(resolve, 3_600))
    follower.stop()
    const gaps = lists.slice(1).map((at, i) => at - (lists[i] ?? at))
    t.ok(lists.length >= 3)
    t.ok(Math.max(...gaps) < 1_200, `${gaps.map(Math.round).join(", ")} ms`)
  }
)

// A leader kept a server that had left, and sent no update, because the store had
// rejected its box before it led.
t.test("store failures before a box led keep no server that leaves", async t => {
  const serving = createBoxServing({
    dataCentre: "a",
    retry: {ratio: 0.2, slack: 60, windowMs: 10_000},
    handoverMs: 0,
    random: () => 0
  })
  let state: RoutedState = {serving, fleet: undefined}
  let refuses = true
  let servers = ["servers/a", "servers/b"]
  const answer = (prefix: string): object => ({
    entries:
      prefix === RECORDS.backendPrefix
        ? servers.map(key => ({key, value: "", revision: 1}))
        : [],
    revision: 1,
    more: false
  })
  const kv = {
    list: (prefix: string) =>
      refuses
        ? Promise.reject(new Error("the store rejected the call"))
        : Promise.resolve(answer(prefix)),
    watch: () =>
      new Promise((_resolve, reject) =>
        setTimeout(reject, 100, new Error("the watch was interrupted"))
      )
  } as unknown as KvStore
  const news = createSource(kv, {
    records: {
      ...RECORDS,
      readBackend: ({key, revision}) => ({
        id: key.slice(RECORDS.backendPrefix.length),
        server: key.slice(RECORDS.backendPrefix.length),
        revision,
        service: "s",
        address: "10.0.0.1:80",
        dataCentre: "a",
        leaving: false,
        coldRemainingMs: 0,
        models: []
      })
    },
    post: event => (state = stepRouted(state, event, performance.now()).state)
  })
  t.teardown(() => news.stopFollowing())
  news.selectSource(false, performance.now())
  await sleep(50)
  news.handleLeaderAges(0, 0, performance.now())
  news.selectSource(false, performance.now())
  refuses = false
  news.selectSource(true, performance.now())
  await sleep(50)
  t.ok(isUsable(serving.backends, "b"))
  servers = ["servers/a"]
  await sleep(1_500)
  t.notOk(isUsable(serving.backends, "b"))
})

/**
 * Creates a source whose store calls the test answers. Collects the times of its
 * snapshots.
 */
function createAnsweredSource() {
  const answers: ((answer: object) => void)[] = []
  const snapshotTimes: number[] = []
  const list = () => new Promise(resolve => answers.push(resolve))
  const source = createSource(
    {list},
    {
      post: event => {
        if (event.type === "news") snapshotTimes.push(event.at)
      }
    }
  )
  const answerAll = async (): Promise<void> => {
    for (const answer of answers.splice(0)) {
      answer({entries: [], revision: 1, more: false})
    }
    await sleep(5)
  }
  return {source, snapshotTimes, answers, answerAll}
}

t.test("after a process pause a box uses leader updates once it has read", async t => {
  const {source, snapshotTimes, answers, answerAll} = createAnsweredSource()
  t.teardown(() => source.stopFollowing())
  const now = performance.now()
  source.handleLeaderAges(0, 0, now - 3_000)
  source.resume(now)
  // The update may have waited in the link's buffer during the pause.
  source.handleLeaderAges(100, 100, now)
  t.same(snapshotTimes, [now - 3_000])
  source.selectSource(false, now)
  t.equal(answers.length, 2, "it reads both prefixes")
  await answerAll()
  t.equal(snapshotTimes.length, 2)
  t.ok((snapshotTimes[1] ?? 0) >= now)
  source.handleLeaderAges(0, 0, now + 50)
  t.equal(snapshotTimes[2], now + 50)
})

t.test("a short process pause causes no store call", async t => {
  const {source, answers} = createAnsweredSource()
  const now = performance.now()
  source.handleLeaderAges(0, 0, now - 800)
  source.resume(now)
  source.selectSource(false, now)
  t.equal(answers.length, 0)
})

t.test("requests do not wait if no newer snapshot can be had", async t => {
  const {source, snapshotTimes} = createAnsweredSource()
  t.teardown(() => source.stopFollowing())
  const now = performance.now()
  source.handleLeaderAges(0, 0, now - 3_000)
  source.resume(now)
  source.selectSource(false, now)
  t.same(snapshotTimes, [now - 3_000], "its lists are pending and not late yet")
  source.selectSource(false, now + 200)
  t.equal(snapshotTimes.at(-1), now + 200)
})

const SERVER: BackendRecord = {
  id: "s1",
  server: "s1",
  revision: 1,
  service: "s",
  address: "127.0.0.1:1",
  dataCentre: "d",
  leaving: false,
  coldRemainingMs: 0,
  models: []
}

function fullUpdate(records: readonly BackendRecord[]): FromLeader {
  return {t: "backends", records, whole: true, gone: [], ageMs: 0}
}

/**
 * Creates a source whose store lists these servers. Counts requests for a full update.
 */
function createListing(servers: () => readonly BackendRecord[]) {
  let asked = 0
  const list = (prefix: string) => {
    const listed = prefix === RECORDS.backendPrefix ? servers() : []
    const entries = listed.map((record, i) => ({
      key: prefix + record.server,
      value: "",
      revision: record.revision + i
    }))
    return Promise.resolve({entries, revision: 1, more: false})
  }
  const readBackend: FleetRecords["readBackend"] = ({key}) => {
    const found = servers().find(record => RECORDS.backendPrefix + record.server === key)
    return found ?? RECORDS.readBackend({key, value: "", revision: 0})
  }
  const records = {...RECORDS, readBackend}
  const news = createSource(
    {list},
    {records, startedAt: 0, requestFullUpdate: () => asked++}
  )
  return {news, asked: () => asked}
}

/** Lets a box read the store itself, then return to its leader's updates. */
async function leaveAndReturn(
  news: SnapshotSource,
  at: number,
  between: () => void = () => undefined
): Promise<void> {
  news.selectSource(false, at)
  await sleep(20)
  between()
  news.handleLeaderAges(100, 100, at + 100)
  news.selectSource(false, at + 110)
}

// All boxes change to a new leader within half a second. If each gets the full update
// twice, on connecting and on request, a leader on a slow link loses its lease because
// its renewals wait behind these messages, and so does the next leader.
t.test("a box that just received a full update does not request another", async t => {
  const {news, asked} = createListing(() => [SERVER])
  await leaveAndReturn(news, 2_000, () => news.applyLeaderMessage(fullUpdate([SERVER])))
  t.equal(asked(), 0, "it has read no list since")
})

// If updates arrive late over a leader's slow link, boxes list the store themselves. They
// must not all request a full update when they return.
t.test(
  "a box requests a full update if its own list differs from the leader's",
  async t => {
    let servers = [SERVER]
    const {news, asked} = createListing(() => servers)
    news.applyLeaderMessage(fullUpdate(servers))
    await leaveAndReturn(news, 3_000)
    t.equal(asked(), 0, "its list equals its leader's")
    const other = {...SERVER, id: "s2", server: "s2"}
    servers = [SERVER, other]
    await leaveAndReturn(news, 6_000)
    t.equal(asked(), 1, "its list had a server that the leader did not send")
    news.applyLeaderMessage(fullUpdate(servers))
    await leaveAndReturn(news, 9_000)
    t.equal(asked(), 1)
    servers = [SERVER]
    await leaveAndReturn(news, 12_000)
    t.equal(asked(), 2, "its list lacked a server that the leader sent")
    news.applyLeaderMessage(fullUpdate([SERVER, other]))
    news.applyLeaderMessage({
      t: "backends",
      records: [],
      whole: false,
      gone: ["s2"],
      ageMs: 0
    })
    await leaveAndReturn(news, 15_000)
    t.equal(asked(), 2, "its leader had sent that the server is gone")
    servers = [{...SERVER, leaving: true, revision: 2}]
    await leaveAndReturn(news, 18_000)
    t.equal(asked(), 3, "the leader had not sent that the server leaves")
  }
)

t.test("a box requests a full update after store failures in any case", async t => {
  let asked = 0
  const failing = {list: () => Promise.reject(new KvRefused("the store answered 503"))}
  const news = createSource(failing, {startedAt: 0, requestFullUpdate: () => asked++})
  news.selectSource(false, 1_000)
  await sleep(20)
  news.applyLeaderMessage(fullUpdate([]))
  news.handleLeaderAges(100, 100, 2_000)
  news.selectSource(false, 2_010)
  t.equal(asked, 1, "unconfirmed servers may have expired on this box alone")
})

// A read for another box may list no server yet. Servers that expire by it would not be
// sent again, since the leader sends deltas only.
t.test("a box requests a full update if its read for another box differs", async t => {
  let asked = 0
  const list = (): Promise<unknown> => Promise.resolve({entries: [], revision: 1})
  const get = (): Promise<unknown> => Promise.resolve(undefined)
  const news = createSource({list, get}, {startedAt: 0, requestFullUpdate: () => asked++})
  news.handleLeaderAges(5_000, 5_000, clockNow())
  news.applyLeaderMessage({
    t: "backends",
    records: [SERVER],
    whole: true,
    gone: [],
    ageMs: 5_000,
    sentAt: 0
  })
  await news.refresh(0)
  t.equal(asked, 1)
})
