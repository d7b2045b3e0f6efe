/**
 * A backend server's answers name the rate that it takes from all boxes together, and all boxes keep to it.
 *
 * Seen: an engine that had named 1.2 requests a second got 15 in 4 s from boxes that it had told.
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

/** Between two requests of the callers, milliseconds. */
const PAUSE_MS = 20

/** What is refused at once takes no longer, milliseconds. */
const AT_ONCE_MS = 300

/** What a server may get is counted over spans of this length, milliseconds. */
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

  /** Requests that reached the worker within the last span. */
  lately(worker: StandInWorker): number {
    const from = performance.now() - SPAN_MS
    return this.bed.judge.arrivedRequests.filter(
      each => each.worker === worker.id && each.at > from
    ).length
  }

  /** The engine that holds the adapter. */
  holder(adapter: string): StandInWorker {
    const holder = this.bed.engines.find(engine => engine.adapters.has(adapter))
    if (!holder) throw new Error(`no engine holds ${adapter}`)
    return holder
  }
}

if (!passIfKnownRed("server-rates")) playAll()

/** The steps of a request, from the logs alone. */
function explain(logs: string, request: string): string[] {
  const whole = logs
    .split("\n")
    .filter(line => line.startsWith("{") && line.endsWith("}"))
  const lines = whole.map(line => JSON.parse(line) as LogLine)
  return explainRequest(lines, request)?.steps.map(({text}) => text) ?? []
}

type Teardown = Pick<typeof t, "teardown">

async function open(t: Teardown, options: BedOptions): Promise<Subject> {
  const bed = await PlatformBed.start(options)
  t.teardown(() => bed.stop())
  return new Subject(bed)
}

function served(outcomes: readonly Outcome[]): number {
  return outcomes.filter(({status}) => status === 200).length
}

function playAll(): void {
  t.test("an engine in need gets no more than it takes, and others serve", async t => {
    const subject = await open(t, {boxes: 4, engines: 2, plain: 1})
    await subject.callFor(300, "/stream/x", "a1")
    const engine = subject.holder("a1")
    engine.advertiseRate("1.2")
    const outcomes = await subject.callFor(8_000, "/stream/x", "a1")
    t.same(subject.violations(), [])
    t.ok(subject.lately(engine) <= 6, `${subject.lately(engine)} in the last 4 s`)
    const share = served(outcomes) / outcomes.length
    t.ok(share > 0.9, `${share} served`)
  })

  t.test(
    "a service whose only server is in need has the rest refused at once",
    async t => {
      const subject = await open(t, {boxes: 4, engines: 1, plain: 1})
      const [worker] = subject.bed.plain as [StandInWorker]
      await subject.callFor(300, "/safe/x")
      worker.advertiseRate("2.5")
      await subject.callFor(4_500, "/safe/x")
      const outcomes = await subject.callFor(5_000, "/safe/x")
      t.same(subject.violations(), [])
      const lately = subject.lately(worker)
      t.ok(lately >= 9 && lately <= 10, `${lately} of 10 in the last 4 s`)
      const refused = outcomes.filter(({status}) => status !== 200)
      t.ok(refused.length > 100, "most are refused")
      t.same(
        refused.filter(({status, tookMs}) => status !== 503 || tookMs > AT_ONCE_MS),
        [],
        "as not run, and at once"
      )
      t.same(
        refused.filter(({headers}) => !(Number(headers["retry-after"]) > 0)),
        [],
        "and told when to come back"
      )
      const {id = ""} = refused.at(-1) ?? {}
      const story = (): string[] => explain(subject.bed.logs(), id)
      await until("its end is logged", () => story().length > 1)
      t.match(story().join("; "), /takes 2.5 requests a second from all boxes/)
    }
  )

  t.test("an answer that names none ends it everywhere", async t => {
    const subject = await open(t, {boxes: 3, engines: 1, plain: 1})
    const [worker] = subject.bed.plain as [StandInWorker]
    worker.advertiseRate("1")
    await subject.callFor(2_000, "/safe/x")
    worker.advertiseRate(undefined)
    await until("all is served", async () => {
      const outcomes = await Promise.all([1, 2, 3].map(() => subject.call("/safe/x")))
      return served(outcomes) === outcomes.length
    })
    const outcomes = await subject.callFor(500, "/safe/x")
    t.equal(served(outcomes), outcomes.length)
  })

  t.test("the next life of a server has named nothing", async t => {
    const subject = await open(t, {boxes: 2, engines: 1, plain: 1})
    const [worker] = subject.bed.plain as [StandInWorker]
    worker.advertiseRate("0")
    await subject.callFor(500, "/safe/x")
    t.equal(served(await subject.callFor(500, "/safe/x")), 0, "it takes nothing")
    worker.advertiseRate(undefined)
    await worker.restart()
    await until(
      "it is served",
      async () => {
        return (await subject.call("/safe/x")).status === 200
      },
      5_000
    )
  })

  t.test("what is no rate binds nobody", async t => {
    const subject = await open(t, {boxes: 1, engines: 1, plain: 1})
    const [worker] = subject.bed.plain as [StandInWorker]
    for (const rate of ["-1", "NaN", "1e9", "", "many", "9".repeat(400)]) {
      worker.advertiseRate(rate)
      const outcomes = await subject.callFor(200, "/safe/x")
      t.equal(served(outcomes), outcomes.length, `after "${rate.slice(0, 10)}"`)
    }
    t.match(subject.bed.logs(), /"event":230/, "the log tells it")
    worker.advertiseRate(["400", "0.5"])
    await subject.callFor(500, "/safe/x")
    const outcomes = await subject.callFor(1_000, "/safe/x")
    t.ok(served(outcomes) < 3, "named twice, the lower one counts")
  })
}
