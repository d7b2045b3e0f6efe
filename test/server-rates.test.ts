/**
 * A backend server advertises, in its answers, the rate that it accepts from all boxes
 * together, and all boxes keep to it. Guards against a failure in which an engine that
 * had advertised 1.2 requests a second got 15 in 4 s from boxes that had received the
 * limit.
 */
import {setTimeout as sleep} from "node:timers/promises"
import t from "tap"
import {explainRequest, type LogLine} from "../src/core/explain.js"
import type {StandInWorker} from "./stand-ins/platform-worker.js"
import {judgeRates} from "./support/judge-rates.js"
import type {NoticedCall} from "./support/judge-notices.js"
import {passIfKnownRed} from "./support/known-red.js"
import {
  type BedBox,
  type BedOptions,
  type Outcome,
  PlatformBed
} from "./support/platform-bed.js"
import {until} from "./support/wait.js"

/** Interval between the requests of the callers. */
const PAUSE_MS = 20

/** Longest time within which a request counts as refused at once. */
const AT_ONCE_MS = 300

/** Length of the window over which the requests to a server are counted. */
const SPAN_MS = 4_000

interface TimedOutcome extends Outcome {
  readonly tookMs: number
}

/** A bed whose calls are recorded for the judge. */
class Subject {
  readonly calls = new Map<string, NoticedCall>()

  constructor(readonly bed: PlatformBed) {}

  async call(path: string, adapter?: string): Promise<TimedOutcome> {
    const {boxes} = this.bed
    const box = boxes[this.calls.size % boxes.length] as BedBox
    const id = `l-${this.calls.size}`
    const sentAt = performance.now()
    this.calls.set(id, {box: box.name, sentAt})
    const options = {id, ...(adapter === undefined ? {} : {adapter})}
    const outcome = await this.bed.call(box, path, options)
    return {...outcome, tookMs: performance.now() - sentAt}
  }

  async callFor(ms: number, path: string, adapter?: string): Promise<TimedOutcome[]> {
    const outcomes: Promise<TimedOutcome>[] = []
    for (const end = performance.now() + ms; performance.now() < end;) {
      outcomes.push(this.call(path, adapter))
      await sleep(PAUSE_MS)
    }
    return Promise.all(outcomes)
  }

  violations(): string[] {
    const {judge} = this.bed
    return judgeRates(judge, {
      calls: this.calls,
      exemptions: [],
      restarts: judge.restarts
    })
  }

  /** Returns how many requests reached the worker within the last `SPAN_MS`. */
  countRecentArrivals(worker: StandInWorker): number {
    const from = performance.now() - SPAN_MS
    return this.bed.judge.arrivedRequests.filter(
      request => request.worker === worker.id && request.at > from
    ).length
  }

  /** Returns the engine that holds the adapter. */
  findHolder(adapter: string): StandInWorker {
    const holder = this.bed.engines.find(engine => engine.adapters.has(adapter))
    if (!holder) throw new Error(`no engine holds ${adapter}`)
    return holder
  }
}

if (!passIfKnownRed("server-rates")) playAll()

/** Returns the steps of a request as the logs explain them. */
function explain(logs: string, request: string): string[] {
  const completeLines = logs
    .split("\n")
    .filter(line => line.startsWith("{") && line.endsWith("}"))
  const lines = completeLines.map(line => JSON.parse(line) as LogLine)
  return explainRequest(lines, request)?.steps.map(({text}) => text) ?? []
}

type Teardown = Pick<typeof t, "teardown">

async function open(t: Teardown, options: BedOptions): Promise<Subject> {
  const bed = await PlatformBed.start(options)
  t.teardown(() => bed.stop())
  return new Subject(bed)
}

function countServed(outcomes: readonly Outcome[]): number {
  return outcomes.filter(({status}) => status === 200).length
}

function playAll(): void {
  t.test(
    "a rate-limited engine gets no more than it accepts, and others serve",
    async t => {
      const subject = await open(t, {boxes: 4, engines: 2, plain: 1})
      await subject.callFor(300, "/stream/x", "a1")
      const engine = subject.findHolder("a1")
      engine.advertiseRate("1.2")
      const outcomes = await subject.callFor(8_000, "/stream/x", "a1")
      t.same(subject.violations(), [])
      t.ok(
        subject.countRecentArrivals(engine) <= 6,
        `${subject.countRecentArrivals(engine)} in the last 4 s`
      )
      const share = countServed(outcomes) / outcomes.length
      t.ok(share > 0.9, `${share} served`)
    }
  )

  t.test(
    "a service whose only server is rate-limited refuses the excess at once",
    async t => {
      const subject = await open(t, {boxes: 4, engines: 1, plain: 1})
      const [worker] = subject.bed.plain as [StandInWorker]
      await subject.callFor(300, "/safe/x")
      worker.advertiseRate("2.5")
      await subject.callFor(4_500, "/safe/x")
      const outcomes = await subject.callFor(5_000, "/safe/x")
      t.same(subject.violations(), [])
      const arrivals = subject.countRecentArrivals(worker)
      t.ok(arrivals >= 9 && arrivals <= 10, `${arrivals} of 10 in the last 4 s`)
      const refused = outcomes.filter(({status}) => status !== 200)
      t.ok(refused.length > 100, "most requests are refused")
      t.same(
        refused.filter(({status, tookMs}) => status !== 503 || tookMs > AT_ONCE_MS),
        [],
        "with status 503, and at once"
      )
      t.same(
        refused.filter(({headers}) => !(Number(headers["retry-after"]) > 0)),
        [],
        "with a Retry-After header"
      )
      const {id = ""} = refused.at(-1) ?? {}
      const steps = (): string[] => explain(subject.bed.logs(), id)
      await until("its end is logged", () => steps().length > 1)
      t.match(steps().join("; "), /takes 2.5 requests a second from all boxes/)
    }
  )

  t.test("an answer without a rate ends the limit at all boxes", async t => {
    const subject = await open(t, {boxes: 3, engines: 1, plain: 1})
    const [worker] = subject.bed.plain as [StandInWorker]
    worker.advertiseRate("1")
    await subject.callFor(2_000, "/safe/x")
    worker.advertiseRate(undefined)
    await until("all requests are served", async () => {
      const outcomes = await Promise.all([1, 2, 3].map(() => subject.call("/safe/x")))
      return countServed(outcomes) === outcomes.length
    })
    const outcomes = await subject.callFor(500, "/safe/x")
    t.equal(countServed(outcomes), outcomes.length)
  })

  t.test("the rate limit of a server ends with its incarnation", async t => {
    const subject = await open(t, {boxes: 2, engines: 1, plain: 1})
    const [worker] = subject.bed.plain as [StandInWorker]
    worker.advertiseRate("0")
    await subject.callFor(500, "/safe/x")
    t.equal(
      countServed(await subject.callFor(500, "/safe/x")),
      0,
      "it accepts no requests"
    )
    worker.advertiseRate(undefined)
    await worker.restart()
    await until(
      "a request is served",
      async () => {
        return (await subject.call("/safe/x")).status === 200
      },
      5_000
    )
  })

  t.test("an invalid rate sets no limit", async t => {
    const subject = await open(t, {boxes: 1, engines: 1, plain: 1})
    const [worker] = subject.bed.plain as [StandInWorker]
    for (const rate of ["-1", "NaN", "1e9", "", "many", "9".repeat(400)]) {
      worker.advertiseRate(rate)
      const outcomes = await subject.callFor(200, "/safe/x")
      t.equal(countServed(outcomes), outcomes.length, `after "${rate.slice(0, 10)}"`)
    }
    t.match(subject.bed.logs(), /"event":230/, "the invalid rate is logged")
    worker.advertiseRate(["400", "0.5"])
    await subject.callFor(500, "/safe/x")
    const outcomes = await subject.callFor(1_000, "/safe/x")
    t.ok(countServed(outcomes) < 3, "of two advertised rates the lower one counts")
  })
}
