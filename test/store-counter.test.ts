/** Tests the counts of key-value service calls: counting, logging, and sums over logs. */
import t from "tap"
import {callAs, countStoreCalls} from "../src/adapters/store-counter.js"
import {StoreEras} from "../src/adapters/era-source.js"
import {listAll, StoreFollower} from "../src/adapters/store-follower.js"
import {Metrics} from "../src/adapters/metrics.js"
import {LeaderElection} from "../src/adapters/leader-election.js"
import {formatStoreCalls} from "../src/bin/sedgectl-tables.js"
import type {LogLine} from "../src/core/explain.js"
import {LATE_ANSWER_MS, LIST_INTERVAL_MS} from "../src/core/snapshot-age.js"
import {sumStoreCalls} from "../src/core/store-calls.js"
import {KvRefused, KvUnavailable, KvUnknown} from "../src/errors.js"
import type {KvStore} from "../src/ports/ports.js"
import {pause} from "../src/utils/promises.js"
import {limitTime} from "../src/utils/time-limit.js"
import {until} from "./support/wait.js"

const EMPTY = {entries: [], revision: 1, more: false}

/** Creates a counted store with the given methods. Collects its log lines. */
function count(store: Partial<KvStore>, intervalMs?: number) {
  const metrics = new Metrics()
  const lines: Record<string, unknown>[] = []
  const log = (event: string, fields = {}): void => void lines.push({event, ...fields})
  const {kv, stop} = countStoreCalls({kv: store as KvStore, log, metrics}, intervalMs)
  const read = (): unknown => {
    stop()
    return lines.at(-1)?.["calls"]
  }
  return {kv, stop, read, lines, metrics}
}

t.test("each call counts once, by its outcome", async t => {
  const results: (() => Promise<undefined>)[] = [
    () => Promise.resolve(undefined),
    () => pause(LATE_ANSWER_MS + 30),
    () => Promise.reject(new KvRefused("the store answered 503")),
    () => Promise.reject(new KvUnavailable("no connection")),
    () => Promise.reject(new KvUnknown("reset")),
    () => Promise.resolve(undefined)
  ]
  const callCount = results.length
  const {kv, read, metrics} = count({get: () => (results.shift() ?? fail)()})
  const store = callAs(kv, {caller: "leader-look"})
  for (let i = 0; i < callCount; i++) await store.get("a").catch(() => undefined)
  t.same(read(), {
    "leader-look regular ok": 1,
    "leader-look regular late": 1,
    "leader-look regular refused": 1,
    "leader-look after-failure unheard": 1,
    "leader-look after-failure failed": 1,
    "leader-look after-failure ok": 1
  })
  t.match(
    metrics.render(),
    'sedge_store_calls_total{caller="leader-look",reason="after-failure",outcome="ok"} 1\n'
  )
})

const fail = (): Promise<undefined> =>
  Promise.reject(new Error("unexpected call of the store"))

t.test("answers and errors of calls are returned unchanged", async t => {
  const failure = new KvRefused("no")
  const {kv} = count({
    list: (prefix, after) => Promise.resolve({...EMPTY, entries: [], after, prefix}),
    put: (_, value, options) =>
      options?.expectRevision === 0 && value === "v"
        ? Promise.reject(failure)
        : Promise.resolve({ok: true, revision: 2})
  })
  t.match(await kv.list("a/", "a/b"), {prefix: "a/", after: "a/b"})
  t.equal(await kv.put("k", "v", {expectRevision: 0}).catch(cause => cause), failure)
})

t.test("an aborted watch does not count as failed", async t => {
  const silent: KvStore["watch"] = (_, __, ___, signal) =>
    new Promise((_, reject) =>
      signal.addEventListener("abort", () => reject(new KvUnknown("aborted")))
    )
  const {kv, read} = count({watch: silent})
  const abort = new AbortController()
  const limit = limitTime(20)
  const watch = (signal: AbortSignal): Promise<unknown> =>
    callAs(kv, {caller: "leader-watch", reason: "regular"})
      .watch("a/", {revision: 0}, () => undefined, signal, 900)
      .catch(() => undefined)
  const watches = [watch(abort.signal), watch(limit.signal)]
  abort.abort()
  await Promise.all(watches)
  t.same(read(), {
    "leader-watch regular given-up": 1,
    "leader-watch regular failed": 1
  })
})

t.test("lists report pages and retries as reasons of calls", async t => {
  let calls = 0
  const list: KvStore["list"] = async () => {
    calls++
    if (calls === 2) await pause(LATE_ANSWER_MS * 2)
    const entries = [{key: `a/${calls}`, value: "", revision: 1}]
    return {entries, revision: 1, more: calls === 1}
  }
  const {kv, read} = count({list})
  await listAll(kv, "a/", true, {caller: "box-list", reason: "first"})
  await pause(LATE_ANSWER_MS * 2)
  t.same(read(), {
    "box-list first ok": 1,
    "box-list next-page late": 1,
    "box-list repeated ok": 1
  })
})

t.test("a follower reports the reasons of its lists and watches", async t => {
  let lists = 0
  let watches = 0
  const {kv, read} = count({
    list: () => {
      lists++
      return lists === 1 ? Promise.reject(new KvRefused("503")) : Promise.resolve(EMPTY)
    },
    watch: async (_, position, __, signal, waitMs = 0) => {
      watches++
      if (watches === 1) return {revision: position.revision + 1}
      if (watches === 2) throw new KvUnknown("reset")
      await Promise.race([
        pause(waitMs),
        new Promise(resolve => signal.addEventListener("abort", resolve))
      ])
      return position
    }
  })
  const follower = new StoreFollower(kv, ["a/"], true, {
    list: () => undefined,
    change: () => undefined,
    listFailed: () => undefined,
    watchFailed: () => undefined
  })
  t.teardown(() => follower.stop())
  await until("a regular list", () => lists >= 4, LIST_INTERVAL_MS * 4)
  await pause(10)
  t.match(read(), {
    "leader-list first refused": 1,
    "leader-list after-failure ok": 1,
    "leader-watch regular ok": 2,
    "leader-watch after-changes failed": 1,
    "leader-list after-cut ok": 1,
    "leader-list regular ok": 1
  })
})

t.test("an election reports its calls by purpose", async t => {
  let looks = 0
  const {kv, read} = count({
    get: () => {
      looks++
      return looks === 1
        ? Promise.reject(new KvRefused("503"))
        : Promise.resolve(undefined)
    },
    grantLease: () => Promise.resolve("7"),
    put: () => Promise.resolve({ok: true, revision: 3}),
    keepAlive: () => Promise.resolve(true),
    revokeLease: () => Promise.resolve()
  })
  let renewed = false
  const election = new LeaderElection(
    kv,
    {
      key: "leader",
      eras: new StoreEras(() => undefined),
      self: {box: "b", incarnation: "i", address: "a"},
      ttlMs: 2_000,
      marginMs: 200,
      checksFences: true,
      orderGapMs: 0
    },
    {
      won: () => setTimeout(() => (renewed = true), 450),
      lost: () => undefined,
      suspended: () => undefined,
      confirmed: () => undefined,
      unreadable: () => undefined,
      leaderFound: () => undefined,
      noLeaderFound: () => undefined,
      boxCount: () => 1,
      medianAgeMs: () => 0,
      isWeak: () => false,
      renewByOthers: () => Promise.reject(new KvUnavailable("none")),
      renewedByOthers: () => undefined
    }
  )
  await until("a renewal", () => renewed)
  await election.stop()
  t.same(read(), {
    "leader-look regular refused": 1,
    "leader-look after-failure ok": 1,
    "leader-claim regular ok": 2,
    "lease-renew regular ok": 1,
    "lease-end regular ok": 1
  })
})

t.test("a line is logged only if calls were made since the last one", async t => {
  const {kv, stop, lines} = count({get: () => Promise.resolve(undefined)})
  stop()
  t.same(lines, [])
  await kv.get("a")
  await kv.get("a")
  stop()
  stop()
  t.equal(lines.length, 1)
  t.match(lines[0], {event: "store-calls", total: 2, calls: {"other regular ok": 2}})
})

t.test("lines are logged at intervals", async t => {
  const {kv, stop, lines} = count({get: () => Promise.resolve(undefined)}, 20)
  t.teardown(stop)
  await kv.get("a")
  await until("a line", () => lines.length === 1)
  await kv.get("a")
  await until("another", () => lines.length === 2)
  t.match(lines, [
    {total: 1, calls: {"other regular ok": 1}},
    {total: 2, calls: {"other regular ok": 2}}
  ])
  t.equal(lines[0]?.["process"], lines[1]?.["process"])
})

t.test("a store that is not counted is returned unchanged", async t => {
  const store = {} as KvStore
  t.equal(callAs(store, {caller: "lease-help"}), store)
})

function line(box: string, time: number, process: string, calls: unknown): LogLine {
  return {box, event: 214, time, process, calls}
}

t.test("sums over boxes: lines of a process hold running totals", async t => {
  const lines: LogLine[] = [
    {box: "a", event: 100, time: 1_000},
    line("a", 2_000, "p", {"box-list first ok": 2}),
    line("a", 12_000, "p", {"box-list first ok": 2, "box-list regular late": 5}),
    line("a", 13_000, "q", {"box-list first ok": 1}),
    line("b", 2_000, "p", {"box-list first ok": 4}),
    line("b", 3_000, "p", "spoilt"),
    line("b", 3_000, "p", {"box-list": 7, "box-list first ok": "8"})
  ]
  const first = {caller: "box-list", reason: "first", outcome: "ok"}
  const late = {caller: "box-list", reason: "regular", outcome: "late"}
  const rows = sumStoreCalls(lines, 0)
  t.same(rows, [
    {fromS: 0, ...first, calls: 7, processes: 3},
    {fromS: 0, ...late, calls: 5, processes: 1}
  ])
  t.equal(formatStoreCalls(rows).split("\n").at(-1), "all\t\t\t\t12")
  t.same(sumStoreCalls(lines, 10), [
    {fromS: 0, ...first, calls: 6, processes: 2},
    {fromS: 10, ...late, calls: 5, processes: 1},
    {fromS: 10, ...first, calls: 1, processes: 1}
  ])
})
