/**
 * The store comes back from a copy that is some seconds old: what was written since is gone, leases too, and
 * revisions are given out again for other changes. Each test is one belief that rested on revisions that only
 * grow, on leases that end by time alone, or on a reading that tells what has not been written yet.
 */
import {setTimeout as sleep} from "node:timers/promises"
import t from "tap"
import {connectStore} from "../platform/store.js"
import {StoreEras} from "../src/adapters/era-source.js"
import type {KvStore} from "../src/ports/ports.js"
import type {StandInWorker} from "./stand-ins/platform-worker.js"
import {StandInStore} from "./stand-ins/platform-store.js"
import {type BedBox, PlatformBed} from "./support/platform-bed.js"
import {until} from "./support/wait.js"

/** Writes that make later revisions much higher than the copy's. */
const MANY_WRITES = 500

/** From a version's acknowledgement until no request begins on an older one, milliseconds. */
const VERSION_MS = 5_000

/** A server that left gets nothing new after this, with a margin, milliseconds. */
const DRAIN_MS = 2_500

/** The time that a caller has, milliseconds. */
const CALLER_MS = 4_000

/** A route whose callers wait longer for a first event than any version stays in use. */
const PATIENT_ROUTE = {
  name: "patient",
  pathPrefix: "/patient/",
  kind: "streaming",
  service: "engines",
  maxAttempts: 1,
  resumable: false,
  timeoutMs: 9_000,
  targetLatencyMs: 5_000,
  gapTargetMs: 200
}

function raiseRevision(bed: PlatformBed): void {
  for (let i = 0; i < MANY_WRITES; i++) bed.store.write("other/key", {i})
}

/** Whether a caller is served in the time that it has; one that is told to come back does, as often as that allows. */
async function isServed(bed: PlatformBed, adapter: string): Promise<boolean> {
  const [box] = bed.boxes as [BedBox]
  const end = performance.now() + CALLER_MS
  for (;;) {
    const deadlineMs = Math.round(end - performance.now())
    const options = {adapter, body: "{}", deadlineMs}
    const {status, headers} = await bed.call(box, "/stream/x", options)
    const comeBackMs = 1_000 * Number(headers["retry-after"])
    if (status !== 503 || !(performance.now() + comeBackMs < end)) return status === 200
    await sleep(comeBackMs)
  }
}

t.test("an entry is read though it has the revision of one that is lost", async t => {
  const bed = await PlatformBed.start({boxes: 2, engines: 2, plain: 0})
  t.teardown(() => bed.stop())
  t.ok(await isServed(bed, "a1"))
  await sleep(1_000)
  bed.publishAdapterVersion("a1", 2)
  await sleep(1_200)
  t.ok(await isServed(bed, "a1"))
  const returned = (): void => bed.publishAdapterVersion("a1", 3)
  await bed.store.drill({backupAgeMs: 1_400, outageMs: 100, onRestored: returned})
  await until("a request runs on version 3", async () => {
    await isServed(bed, "a1")
    return bed.judge.runs.at(-1)?.version === 3
  })
})

// What the copy lacks may have been acknowledged before: a reading of it does not tell from when a version counts.
t.test("a version's time does not begin anew as it is written again", async t => {
  const engine = {maxAdapters: 1, events: 1_200, gapMs: 10}
  const bed = await PlatformBed.start({boxes: 1, engines: 1, plain: 0, engine})
  t.teardown(() => bed.stop())
  const [box] = bed.boxes as [BedBox]
  const [worker] = bed.engines as [StandInWorker]
  bed.configure([PATIENT_ROUTE])
  await until("the route is there", async () => {
    const {status} = await bed.call(box, "/patient/x", {body: "{}"})
    return status !== 404
  })
  const running = bed.call(box, "/stream/x", {adapter: "a1", body: "{}"})
  await until("it runs", () => bed.judge.runs.some(run => run.adapter === "a1"))
  await sleep(1_500)
  // No box reads it before the store goes away.
  bed.store.faults = {deaf: true}
  bed.publishAdapterVersion("a1", 2)
  const namedAt = performance.now()
  await bed.store.drill({backupAgeMs: 1_000, outageMs: 300})
  await sleep(namedAt + 3_000 - performance.now())
  worker.faults = {queueMs: 2_600}
  bed.store.write("op/version/base.a1", {model: "base", adapter: "a1", version: 2})
  const call = (): Promise<unknown> =>
    bed.call(box, "/patient/x", {adapter: "a1", body: "{}", deadlineMs: 9_000})
  const late: Promise<unknown>[] = []
  for (let i = 0; i < 10; i++) {
    late.push(call())
    await sleep(150)
  }
  await sleep(namedAt + 9_000 - performance.now())
  const begun = bed.judge.runs.filter(
    ({adapter, version, at}) =>
      adapter === "a1" && version < 2 && at - namedAt > VERSION_MS
  )
  t.same(begun, [], "nothing begins on it after five seconds")
  await bed.stop()
  await Promise.allSettled([running, ...late])
})

t.test("the fences of orders never fall, and loads go on", async t => {
  const bed = await PlatformBed.start({boxes: 3, engines: 2, plain: 0})
  t.teardown(() => bed.stop())
  await sleep(1_500)
  const first = bed.leader() as BedBox
  raiseRevision(bed)
  await first.child.end()
  bed.restartBox(first)
  await bed.ready()
  t.ok(await isServed(bed, "a1"), "the second leader loads")
  const seconds = bed.judge.orders.length
  await bed.store.drill({backupAgeMs: 12_000, outageMs: 200})
  // By then each box has noticed, and one leads by a claim that follows the copy's.
  await sleep(2_000)
  const served = await isServed(bed, "a7")
  t.ok(served, "an adapter that no engine holds is served")
  if (!served) t.comment(bed.logs())
  const highest = Math.max(...bed.judge.orders.slice(0, seconds).map(({fence}) => fence))
  for (const {fence} of bed.judge.orders.slice(seconds)) t.ok(fence >= highest)
})

// It goes on serving without a word; a copy in which its entry stands does not bring it back.
t.test("a server that had left gets nothing because the copy holds it", async t => {
  const bed = await PlatformBed.start({boxes: 2, engines: 1, plain: 3})
  t.teardown(() => bed.stop())
  const [worker] = bed.plain as [StandInWorker]
  await sleep(2_500)
  worker.removeEntry()
  await sleep(DRAIN_MS + 500)
  const left = performance.now()
  await bed.store.drill({backupAgeMs: DRAIN_MS + 2_500, outageMs: 100})
  const end = performance.now() + 2_500
  while (performance.now() < end) {
    for (const box of bed.boxes) await bed.call(box, "/safe/x")
    await sleep(10)
  }
  const sent = bed.judge.runs.filter(run => run.worker === worker.id && run.at > left)
  t.equal(sent.length, 0)
  t.ok(bed.judge.runs.length > 100)
})

t.test("a server's next life counts though its entry has a lower revision", async t => {
  const bed = await PlatformBed.start({boxes: 2, engines: 1, plain: 1})
  t.teardown(() => bed.stop())
  const [worker] = bed.plain as [StandInWorker]
  const [box] = bed.boxes as [BedBox]
  raiseRevision(bed)
  await sleep(1_500)
  await worker.restart({moved: true})
  await until("its second life is served", async () => {
    return (await bed.call(box, "/safe/x")).status === 200
  })
  await sleep(1_200)
  const returned = (): void => void worker.restart({moved: true})
  await bed.store.drill({backupAgeMs: 9_000, outageMs: 100, onRestored: returned})
  await sleep(1_200)
  await until("its third life is served", async () => {
    return (await bed.call(box, "/safe/x")).status === 200
  })
})

t.test("a lease does not become another's that has its number", async t => {
  const store = await StandInStore.start()
  t.teardown(() => store.stop())
  const connect = (): KvStore => {
    const eras = new StoreEras(() => undefined)
    return connectStore({address: store.address, timeoutMs: 400, watchMs: 900, eras})
  }
  const kv = connect()
  const other = connect()
  await sleep(300)
  const lease = await kv.grantLease(5_000)
  await store.drill({backupAgeMs: 250, outageMs: 10})
  await other.grantLease(5_000)
  t.equal(await kv.keepAlive(lease), false)
})
