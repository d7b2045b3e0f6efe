/**
 * A sound server that stands still inside a stream goes on later. Guards against answers
 * that are cut because their servers were silent, and against second runs beside them.
 */
import t, {type Test} from "tap"
import type {Run} from "./stand-ins/platform-judge.js"
import {streamBody, type StandInWorker} from "./stand-ins/platform-worker.js"
import {
  type BedBox,
  type BedOptions,
  type Outcome,
  PlatformBed
} from "./support/platform-bed.js"
import {until} from "./support/wait.js"

const ADAPTER = "a1"
const LENGTH = {events: 12, gapMs: 100}
const STREAMS = 4

/** Time from the begin of the streams until servers stand still. */
const BEGUN_MS = 300

/** Longer than a box lets a stream be silent before it tries another server. */
const PAUSE_MS = 1_600

/** Time in which a box closes an attempt that it no longer needs. */
const CLOSING_MS = 500

/** Deadline of the streams. */
const DEADLINE_MS = 4_000

/** Longer than a box needs to find out which servers it reaches. */
const DETECTION_MS = 2_500

const DETECTION_CALL_MS = 100

let calls = 0

const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms))

/** Starts a deployment in which the first engine alone holds the adapter. */
async function startBed(
  options: BedOptions = {},
  others: readonly {readonly loadMs?: number}[] = [{}]
): Promise<{
  readonly bed: PlatformBed
  readonly box: BedBox
  readonly holder: StandInWorker
}> {
  const bed = await PlatformBed.start({boxes: 1, engines: 1, ...options})
  const [box] = bed.boxes as [BedBox]
  await loadAdapter(bed, box)
  const [holder] = bed.engines as [StandInWorker]
  for (const [index, other] of others.entries()) await bed.addEngine(index + 1, other)
  // A box reads new entries within this time.
  await sleep(1_000)
  return {bed, box, holder}
}

function loadAdapter(bed: PlatformBed, box: BedBox): Promise<true> {
  return until("an engine serves the adapter", async () => {
    const {status} = await bed.call(box, "/stream/x", {adapter: ADAPTER})
    return status === 200
  })
}

/** Calls of several streams that have begun. */
class Streams {
  readonly ids: readonly string[]
  private readonly answers_: readonly Promise<Outcome>[]

  private constructor(
    private readonly bed_: PlatformBed,
    box: BedBox,
    path: string,
    private readonly length_ = LENGTH
  ) {
    this.ids = Array.from({length: STREAMS}, () => `silent-${++calls}`)
    this.answers_ = this.ids.map(id =>
      bed_.call(box, path, {adapter: ADAPTER, id, body: streamBody(id, length_)})
    )
  }

  static async begin(
    bed: PlatformBed,
    box: BedBox,
    path = "/stream/x",
    length = LENGTH
  ): Promise<Streams> {
    const streams = new Streams(bed, box, path, length)
    await until("all streams run", () =>
      streams.openRuns().every(({length}) => length === 1)
    )
    await sleep(BEGUN_MS)
    return streams
  }

  /** Runs of each request. */
  runs(): Run[][] {
    return this.ids.map(id => this.bed_.judge.runsOf(id))
  }

  /** The runs of each request that go on. */
  openRuns(): Run[][] {
    return this.runs().map(runs => runs.filter(({ended}) => ended === undefined))
  }

  /** Waits for the answers, each of which must have every event once. */
  async checkComplete(t: Test): Promise<void> {
    const expected = Array.from({length: this.length_.events}, (_, index) => index + 1)
    for (const {id, status, broken, body} of await Promise.all(this.answers_)) {
      const events = [...body.matchAll(/^id: (\d+)$/gm)].map(([, number]) =>
        Number(number)
      )
      t.same({status, broken, events}, {status: 200, broken: false, events: expected}, id)
    }
    const ends = this.runs().map(
      runs => runs.filter(({ended}) => ended === "whole").length
    )
    t.same(
      ends,
      ends.map(() => 1),
      "one run of each was completed"
    )
    t.same(this.openRuns().flat(), [], "no run goes on")
    t.same(this.bed_.judge.violations, [])
  }

  /** Checks that no request runs at two servers. */
  async checkSingle(t: Test): Promise<void> {
    await sleep(CLOSING_MS)
    for (const runs of this.openRuns())
      t.ok(runs.length <= 1, `${runs.length} runs go on`)
  }
}

async function standStill(servers: readonly StandInWorker[], ms: number): Promise<void> {
  for (const server of servers) server.pause()
  await sleep(ms)
  for (const server of servers) server.resume()
}

// Each test has a deployment of its own, and mostly waits.
t.jobs = 3

// The next server is as silent, or has yet to load the adapter.
t.test("streams are not cut while all engines stand still", async t => {
  const {bed, box} = await startBed()
  t.teardown(() => bed.stop())
  const streams = await Streams.begin(bed, box)
  await standStill(bed.engines, PAUSE_MS)
  await streams.checkSingle(t)
  await streams.checkComplete(t)
})

// Both attempts of a request begin again at once, and only one may go on.
t.test("streams run once after all engines of their adapter stood still", async t => {
  const {bed, box, holder} = await startBed()
  t.teardown(() => bed.stop())
  holder.faults = {shedding: true}
  await loadAdapter(bed, box)
  holder.faults = {}
  const streams = await Streams.begin(bed, box)
  await standStill(bed.engines, PAUSE_MS)
  await streams.checkSingle(t)
  await streams.checkComplete(t)
})

// The incident: the box closed the attempt, and the next server did not take the stream.
t.test("a silent stream is not cut if other engines refuse it", async t => {
  const {bed, box, holder} = await startBed()
  t.teardown(() => bed.stop())
  const streams = await Streams.begin(bed, box)
  for (const engine of bed.engines) engine.faults = {shedding: engine !== holder}
  await standStill([holder], PAUSE_MS)
  await streams.checkSingle(t)
  await streams.checkComplete(t)
})

// As above, where the weights for the next server come too late.
t.test("a silent stream is not cut if other engines load its adapter slowly", async t => {
  const {bed, box, holder} = await startBed({}, [{loadMs: 5_000}])
  t.teardown(() => bed.stop())
  const streams = await Streams.begin(bed, box)
  await standStill([holder], PAUSE_MS)
  await streams.checkSingle(t)
  await streams.checkComplete(t)
})

// A stream that waits for a server that never goes on would end at its deadline.
t.test("streams leave an engine that stands still for good, and end there", async t => {
  const {bed, box, holder} = await startBed()
  t.teardown(() => bed.stop())
  const streams = await Streams.begin(bed, box)
  holder.pause()
  await until(
    "all streams run elsewhere",
    () => streams.runs().every(runs => runs.some(({worker}) => worker !== holder.id)),
    DEADLINE_MS
  )
  await streams.checkSingle(t)
  const first = streams
    .runs()
    .flat()
    .filter(({worker}) => worker === holder.id)
  t.same(
    first.map(({ended}) => ended),
    first.map(() => "cut")
  )
  await streams.checkComplete(t)
})

// Its events cannot be continued elsewhere, so another server is no help.
t.test("a stream that can't be resumed stays at its engine, and runs once", async t => {
  const {bed, box} = await startBed()
  t.teardown(() => bed.stop())
  const streams = await Streams.begin(bed, box, "/once/x")
  await standStill(bed.engines, PAUSE_MS)
  await streams.checkComplete(t)
  t.same(
    streams.runs().map(({length}) => length),
    streams.ids.map(() => 1)
  )
})

// Silence between the server and the box that sends is told by no connection of this box.
for (const shedding of [false, true]) {
  const state = shedding
    ? "one engine stands still, others refuse"
    : "all engines stand still"
  t.test(`a stream that another box sends is not cut: ${state}`, async t => {
    const {bed, holder} = await startBed({boxes: 2, cuttable: true})
    t.teardown(() => bed.stop())
    const cutBox = bed.boxes.find(box => box !== bed.leader()) as BedBox
    await loadAdapter(bed, cutBox)
    bed.cut(cutBox, [...bed.engines, ...bed.plain], "reset")
    for (let ms = 0; ms < DETECTION_MS; ms += DETECTION_CALL_MS) {
      void bed.call(cutBox, "/safe/x")
      await sleep(DETECTION_CALL_MS)
    }
    const streams = await Streams.begin(bed, cutBox)
    for (const engine of bed.engines)
      engine.faults = {shedding: shedding && engine !== holder}
    await standStill(shedding ? [holder] : bed.engines, PAUSE_MS)
    await streams.checkSingle(t)
    await streams.checkComplete(t)
  })
}

// The only server that takes the request answers late; the other one takes nothing.
t.test("a plain request is answered by a server that stood still for 1 s", async t => {
  const {bed, box} = await startBed({}, [])
  t.teardown(() => bed.stop())
  for (let i = 0; i < STREAMS; i++) await bed.call(box, "/safe/x")
  const [silent, other] = bed.plain as [StandInWorker, StandInWorker]
  other.faults = {shedding: true}
  const pause = standStill([silent], 1_000)
  const answers = Array.from({length: STREAMS}, () => bed.call(box, "/safe/x"))
  for (const {id, status, body} of await Promise.all(answers)) {
    t.same({status, body}, {status: 200, body: `plain:${id}:`}, id)
  }
  await pause
})

// The box closes the hedge only if the caller's answer is still open.
t.test(
  "the hedge of a stream whose silent attempt has only to end is closed",
  async t => {
    const {bed, box, holder} = await startBed()
    t.teardown(() => bed.stop())
    const [, other] = bed.engines as [StandInWorker, StandInWorker]
    other.speed = 0.05
    const length = {events: 3, gapMs: 200}
    const streams = await Streams.begin(bed, box, "/stream/x", length)
    // All events are sent, and the end is not.
    await sleep(400)
    holder.pause()
    await until("all streams are hedged", () =>
      streams.runs().every(runs => runs.some(({worker}) => worker === other.id))
    )
    holder.resume()
    await sleep(200 + CLOSING_MS)
    const hedges = streams.openRuns().flat()
    t.same(
      hedges.map(({worker}) => worker),
      [],
      "no run goes on"
    )
    await streams.checkComplete(t)
    await sleep(4_500)
    t.same(
      streams.runs().map(runs => runs.map(({ended}) => ended)),
      streams.ids.map(() => ["whole", "cut"])
    )
  }
)
