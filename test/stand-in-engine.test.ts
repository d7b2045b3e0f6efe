/**
 * The stand-in engine's queue and its late orders: what waits begins later, on what the engine holds
 * then, or not at all.
 */
import {setTimeout as sleep} from "node:timers/promises"
import t from "tap"
import {Agent, request} from "undici"
import {StandInStore} from "./stand-ins/platform-store.js"
import {Judge, type Run} from "./stand-ins/platform-judge.js"
import {StandInWorker, type WorkerOptions} from "./stand-ins/platform-worker.js"
import {until} from "./support/wait.js"

const MODEL = "base"

/** Long enough to act on what waits, milliseconds. */
const QUEUE_MS = 400

/** Timers may fire so much earlier than they were asked to, milliseconds. */
const TIMER_SLACK_MS = 5

interface Answer {
  readonly status: number
  readonly notRun: boolean
  readonly body: string
}

interface Sent {
  readonly answer: Promise<Answer | "closed">
  readonly close: () => void
}

class Bench {
  private readonly agent_ = new Agent({pipelining: 1})

  private constructor(
    private readonly store_: StandInStore,
    private readonly judge_: Judge,
    readonly engine: StandInWorker
  ) {}

  static async start(options: Partial<WorkerOptions> = {}): Promise<Bench> {
    const store = await StandInStore.start()
    const judge = new Judge()
    const engine = await StandInWorker.start(store, judge, {
      service: "engines",
      dataCentre: "dc-0",
      model: MODEL,
      loadMs: 50,
      ...options
    })
    return new Bench(store, judge, engine)
  }

  async stop(): Promise<void> {
    await this.agent_.destroy()
    this.engine.stop()
    this.store_.stop()
  }

  async order(
    operation: "load" | "unload",
    version?: number,
    expectedRev?: number
  ): Promise<number> {
    const {statusCode, body} = await request(`http://${this.engine.address}/order`, {
      dispatcher: this.agent_,
      method: "POST",
      body: JSON.stringify({
        operation,
        model: MODEL,
        adapter: "a1",
        ...(version === undefined ? {} : {version}),
        ...(expectedRev === undefined ? {} : {expectedRev}),
        holder: "box-0",
        fencingToken: 1
      })
    })
    await body.dump()
    return statusCode
  }

  /** Has the engine hold a version. */
  async hold(version: number): Promise<void> {
    await this.order("load", version)
    await until("it is held", () => this.engine.adapters.get("a1") === version)
  }

  send(id: string, headers: Readonly<Record<string, string>> = {}): Sent {
    const controller = new AbortController()
    const answer = request(`http://${this.engine.address}/stream/x`, {
      dispatcher: this.agent_,
      method: "POST",
      signal: controller.signal,
      headers: {
        "x-request-id": id,
        "x-model-id": `${MODEL}/a1`,
        "x-request-deadline": "4000",
        ...headers
      },
      body: "{}"
    }).then(
      async ({statusCode, headers, body}) => ({
        status: statusCode,
        notRun: headers["x-not-executed"] === "1",
        body: await body.text()
      }),
      () => "closed" as const
    )
    return {answer, close: () => controller.abort()}
  }

  async queued(): Promise<number> {
    const {body} = await request(`http://${this.engine.address}/report`, {
      dispatcher: this.agent_
    })
    return ((await body.json()) as {queued: number}).queued
  }

  /** Sends a request that waits in the queue. */
  async queue(id: string, headers: Readonly<Record<string, string>> = {}): Promise<Sent> {
    this.engine.faults = {queueMs: QUEUE_MS}
    const before = await this.queued()
    const sent = this.send(id, headers)
    await until("it waits", async () => (await this.queued()) > before)
    return sent
  }

  runsOf(id: string): Run[] {
    return this.judge_.runsOf(id)
  }
}

for (const queueMs of [0, QUEUE_MS]) {
  t.test(`a request begins after a wait of ${queueMs} ms`, async t => {
    const bench = await Bench.start()
    t.teardown(() => bench.stop())
    await bench.hold(1)
    bench.engine.faults = queueMs > 0 ? {queueMs} : {}
    const answer = await bench.send("r-1").answer
    t.match(answer, {status: 200, notRun: false})
    const [run] = bench.runsOf("r-1")
    t.match(run, {version: 1, ended: "whole"})
    const waitedMs = (run?.at ?? 0) - (run?.reached ?? 0)
    t.ok(waitedMs >= queueMs - TIMER_SLACK_MS, `${waitedMs} ms`)
    if (queueMs === 0) t.ok(waitedMs < TIMER_SLACK_MS, `${waitedMs} ms`)
  })
}

t.test("nothing runs or is answered while it waits", async t => {
  const bench = await Bench.start()
  t.teardown(() => bench.stop())
  await bench.hold(1)
  const {answer} = await bench.queue("r-1")
  const early = await Promise.race([answer, sleep(QUEUE_MS / 4).then(() => "none")])
  t.equal(early, "none")
  t.same(bench.runsOf("r-1"), [])
  // The wait of what was accepted does not change with the fault.
  bench.engine.faults = {}
  t.match(await answer, {status: 200})
  t.equal(bench.runsOf("r-1").length, 1)
  t.equal(await bench.queued(), 0)
})

t.test("what waits is dropped without a run when its connection closes", async t => {
  const bench = await Bench.start()
  t.teardown(() => bench.stop())
  await bench.hold(1)
  const sent = await bench.queue("r-1")
  sent.close()
  await until("it is dropped", async () => (await bench.queued()) === 0)
  await sleep(QUEUE_MS * 2)
  t.same(bench.runsOf("r-1"), [])
})

t.test("an engine may run what waits though its connection has closed", async t => {
  const bench = await Bench.start({keepsClosed: true})
  t.teardown(() => bench.stop())
  await bench.hold(1)
  const sent = await bench.queue("r-1")
  sent.close()
  t.equal(await sent.answer, "closed")
  await until("it ran", () => bench.runsOf("r-1").length === 1)
})

t.test("an order that replaces an adapter turns away what waits for it", async t => {
  const bench = await Bench.start()
  t.teardown(() => bench.stop())
  await bench.hold(1)
  const sent = await bench.queue("r-1")
  t.equal(await bench.order("load", 2), 202)
  t.match(await sent.answer, {status: 503, notRun: true})
  await sleep(QUEUE_MS * 2)
  t.same(bench.runsOf("r-1"), [])
})

t.test("an order that unloads an adapter turns away what waits for it", async t => {
  const bench = await Bench.start()
  t.teardown(() => bench.stop())
  await bench.hold(1)
  const sent = await bench.queue("r-1")
  t.equal(await bench.order("unload"), 200)
  t.match(await sent.answer, {status: 503, notRun: true})
  t.same(bench.runsOf("r-1"), [])
})

t.test("an order for what is held already leaves what waits alone", async t => {
  const bench = await Bench.start()
  t.teardown(() => bench.stop())
  await bench.hold(1)
  const sent = await bench.queue("r-1")
  t.equal(await bench.order("load", 1), 200)
  t.match(await sent.answer, {status: 200})
  t.match(bench.runsOf("r-1"), [{version: 1}])
})

t.test("what waits past its deadline is refused as not run", async t => {
  const bench = await Bench.start()
  t.teardown(() => bench.stop())
  await bench.hold(1)
  const sent = await bench.queue("r-1", {"x-request-deadline": "100"})
  t.match(await sent.answer, {status: 503, notRun: true})
  await sleep(QUEUE_MS * 2)
  t.same(bench.runsOf("r-1"), [])
})

t.test("what waits is lost when the engine starts again", async t => {
  const bench = await Bench.start({keepsClosed: true})
  t.teardown(() => bench.stop())
  await bench.hold(1)
  const sent = await bench.queue("r-1")
  await bench.engine.restart()
  t.equal(await sent.answer, "closed")
  await sleep(QUEUE_MS * 2)
  t.same(bench.runsOf("r-1"), [])
})

t.test("a version that another one is expected for is refused at once", async t => {
  const bench = await Bench.start()
  t.teardown(() => bench.stop())
  await bench.hold(1)
  bench.engine.faults = {queueMs: QUEUE_MS}
  const sent = bench.send("r-1", {"x-expected-version": "2"})
  t.match(await sent.answer, {status: 421})
  t.same(bench.runsOf("r-1"), [])
})

t.test("an order without an answer is carried out later, after newer ones", async t => {
  const bench = await Bench.start()
  t.teardown(() => bench.stop())
  await bench.hold(1)
  bench.engine.faults = {unansweredOrders: 1, orderDelayMs: QUEUE_MS}
  await t.rejects(bench.order("load", 2))
  bench.engine.faults = {}
  await bench.hold(3)
  await until("it is carried out", () => bench.engine.adapters.get("a1") === 2)
})

t.test("the count that a late order expects is looked at as it comes", async t => {
  const bench = await Bench.start()
  t.teardown(() => bench.stop())
  await bench.hold(1)
  bench.engine.faults = {orderDelayMs: QUEUE_MS}
  const late = bench.order("load", 2, 1)
  await sleep(QUEUE_MS / 4)
  bench.engine.faults = {}
  await bench.hold(3)
  t.equal(await late, 409)
  t.equal(bench.engine.adapters.get("a1"), 3)
})

t.test("an order that is answered late is carried out in time", async t => {
  const bench = await Bench.start()
  t.teardown(() => bench.stop())
  bench.engine.faults = {orderAnswerMs: QUEUE_MS}
  let answered = false
  const order = bench.order("load", 1).finally(() => (answered = true))
  await until("it is held", () => bench.engine.adapters.get("a1") === 1)
  t.notOk(answered)
  t.equal(await order, 202)
})

t.test("an order on its way is lost when the engine starts again", async t => {
  const bench = await Bench.start()
  t.teardown(() => bench.stop())
  bench.engine.faults = {unansweredOrders: 1, orderDelayMs: QUEUE_MS}
  await t.rejects(bench.order("load", 1))
  await bench.engine.restart()
  await sleep(QUEUE_MS * 2)
  t.same([...bench.engine.adapters], [])
})
