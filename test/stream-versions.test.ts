/**
 * A stream goes on only at servers of the software version that began it: in one answer,
 * and where its caller takes it up at another box. Guards against streams that hold
 * events of two versions, and against refusing streams that can go on.
 */
import t from "tap"
import type {StandInWorker} from "./stand-ins/platform-worker.js"
import {type BedBox, PlatformBed} from "./support/platform-bed.js"
import {
  BASE_MODEL,
  beginStream,
  EVENTS,
  openStream,
  SETTLING_MS,
  SLOW,
  startVersions,
  takeUp
} from "./support/versions.js"

/** Longest time of a refusal of a stream that can go on nowhere. */
const REFUSAL_MS = 1_000

/** Twice the time limit of the routes: a stream that is resumed began within it. */
const HISTORY_MS = 8_000

/** A box tells others within it that a stream has begun, also on a slow machine. */
const TELLING_MS = 150

const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms))

/** Software versions that ran any of these requests. */
function versionsOf(bed: PlatformBed, ids: readonly string[]): string[] {
  const runs = bed.judge.runs.filter(({id}) => ids.includes(id))
  return [...new Set(runs.map(({software}) => software ?? ""))]
}

// Each test has a deployment of its own, and mostly waits.
t.jobs = 3

t.test("a box continues a stream at the version that began it", async t => {
  const bed = await startVersions(["v1", "v1", "v2", "v2"])
  t.teardown(() => bed.stop())
  const [box] = bed.boxes
  for (const engine of bed.engines) engine.faults = {cutAfterEvents: 2}
  for (let i = 0; i < 10; i++) {
    const {id} = await bed.call(box as BedBox, "/stream/x", {headers: BASE_MODEL})
    t.ok(bed.judge.runsOf(id).length > 1, "it was continued")
    t.equal(versionsOf(bed, [id]).length, 1)
  }
})

t.test("a stream is taken up at another box at the version that began it", async t => {
  const bed = await startVersions(["v1", "v2"], {boxes: 3, engine: SLOW})
  t.teardown(() => bed.stop())
  const [first, second, third] = bed.boxes as [BedBox, BedBox, BedBox]
  for (let i = 0; i < 10; i++) {
    const id = `first-${i}`
    const last = await beginStream(first, id)
    const again = await takeUp(bed, i % 2 ? second : third, id, last)
    t.match(again, {status: 200, broken: false})
    t.match(again.body, `id: ${Number(last) + 1}\n`)
    t.match(again.body, `id: ${EVENTS}\n`)
    t.equal(versionsOf(bed, [id, again.id]).length, 1)
  }
})

t.test("also after the box that began it was killed", async t => {
  // The first streams still run when the last one begins, also on a slow machine.
  const engine = {...SLOW, gapMs: 100}
  const bed = await startVersions(["v1", "v2"], {boxes: 4, engine})
  t.teardown(() => bed.stop())
  const [first, ...others] = bed.boxes as [BedBox, ...BedBox[]]
  const ids = Array.from({length: 12}, (_, index) => `killed-${index}`)
  const shortest = sleep(400)
  const streams = await Promise.all(ids.map(id => openStream(first, id)))
  await Promise.all([shortest, sleep(TELLING_MS)])
  await first.child.end("SIGKILL")
  const lasts = await Promise.all(streams.map(({last}) => last))
  t.ok(
    lasts.every(last => Number(last) < EVENTS),
    `streams were cut after ${lasts.join(", ")}`
  )
  const outcomes = await Promise.all(
    ids.map((id, i) => takeUp(bed, others[i % 3] as BedBox, id, lasts[i] as string))
  )
  for (const [index, outcome] of outcomes.entries()) {
    t.equal(versionsOf(bed, [ids[index] as string, outcome.id]).length, 1)
  }
  const wentOn = outcomes.filter(({status, broken}) => status === 200 && !broken)
  t.comment(`statuses ${outcomes.map(({status}) => status).join(", ")}`)
  t.ok(wentOn.length * 2 >= ids.length, `${wentOn.length} of ${ids.length} went on`)
})

t.test("a stream whose version has left is refused at once, and hasn't run", async t => {
  const bed = await startVersions(["v1"], {boxes: 2, engine: SLOW})
  t.teardown(() => bed.stop())
  const [first, second] = bed.boxes as [BedBox, BedBox]
  await bed.addEngine(1, {version: "v2"})
  await sleep(SETTLING_MS)
  const [old] = bed.engines as [StandInWorker]
  const last = await beginAt(bed, first, old)
  old.drain()
  await sleep(SETTLING_MS)
  const again = await takeUp(bed, second, last.id, last.event)
  t.equal(again.status, 503)
  t.ok(again.ms < REFUSAL_MS, `${again.ms} ms`)
  const retryAfterS = Number(again.headers["retry-after"])
  t.ok(retryAfterS > 3, `the rest of its 4 s: ${retryAfterS}`)
  t.equal(bed.judge.runsOf(again.id).length, 0)
})

/** Begins a stream at this engine, since the others refuse it, and leaves it. */
async function beginAt(bed: PlatformBed, box: BedBox, engine: StandInWorker) {
  const others = bed.engines.filter(each => each !== engine)
  for (const other of others) other.faults = {shedding: true}
  const id = `begun-at-${engine.id}`
  const event = await beginStream(box, id)
  for (const other of others) other.faults = {}
  return {id, event}
}

t.test("a stream of unknown begin goes on where only one version serves", async t => {
  const bed = await startVersions(["v1", "v1"], {boxes: 2, engine: SLOW})
  t.teardown(() => bed.stop())
  const [first, second] = bed.boxes as [BedBox, BedBox]
  // Nobody has observed the servers for as long as the stream may have lasted.
  t.equal((await takeUp(bed, first, "never-seen", "3")).status, 503)
  await sleep(HISTORY_MS)
  t.match(await takeUp(bed, first, "never-seen", "3"), {status: 200, broken: false})
  await bed.addEngine(2, {version: "v2"})
  await sleep(SETTLING_MS)
  for (const box of [first, second]) {
    const again = await takeUp(bed, box, "never-seen-either", "3")
    t.equal(again.status, 503)
    t.ok(again.ms < REFUSAL_MS, `${again.ms} ms`)
    t.equal(bed.judge.runsOf(again.id).length, 0)
  }
})

t.test("an adapter is loaded on the version that a stream needs", async t => {
  const bed = await startVersions(["v1", "v2"], {boxes: 2, engine: SLOW})
  t.teardown(() => bed.stop())
  const [first, second] = bed.boxes as [BedBox, BedBox]
  const begun = await bed.call(first, "/stream/x", {adapter: "a1"})
  const [holder] = bed.judge.runsOf(begun.id)
  const other = bed.engines.find(({id}) => id !== holder?.worker)
  const last = await beginAt(bed, first, other as StandInWorker)
  const headers = {"last-event-id": last.event, resumes: last.id}
  const again = await bed.call(second, "/stream/x", {adapter: "a1", headers, body: "{}"})
  t.match(again, {status: 200, broken: false})
  t.same(versionsOf(bed, [again.id]), [other?.software])
})

t.test(
  "a box that started again does not guess which version began a stream",
  async t => {
    const bed = await startVersions(["v1"], {engine: SLOW})
    t.teardown(() => bed.stop())
    const [box] = bed.boxes as [BedBox]
    const [old] = bed.engines as [StandInWorker]
    const ids = ["guess-0", "guess-1", "guess-2"]
    const lasts = await Promise.all(ids.map(id => beginStream(box, id)))
    await bed.addEngine(1, {version: "v2"})
    await box.child.end("SIGKILL")
    old.drain()
    await sleep(300)
    old.stop()
    bed.restartBox(box)
    await bed.ready()
    await sleep(SETTLING_MS)
    for (const [index, id] of ids.entries()) {
      const again = await takeUp(bed, box, id, lasts[index] as string)
      t.equal(versionsOf(bed, [id, again.id]).length, 1)
      t.equal(again.status, 503)
    }
  }
)

// Guards against a box that takes its own first list of servers for all that ever served.
t.test("a caller that names no begin goes on where only one version served", async t => {
  const bed = await startVersions(["v1"], {engine: SLOW})
  t.teardown(() => bed.stop())
  const [box] = bed.boxes as [BedBox]
  const takeUpUnnamed = () =>
    bed.call(box, "/stream/x", {headers: {...BASE_MODEL, "last-event-id": "3"}})
  // Nobody has observed the servers for as long as the stream may have lasted.
  t.match(await takeUpUnnamed(), {status: 503})
  await sleep(HISTORY_MS)
  t.match(await takeUpUnnamed(), {status: 200, broken: false})
  await bed.addEngine(1, {version: "v2"})
  await sleep(SETTLING_MS)
  t.match(await takeUpUnnamed(), {status: 503})
})
