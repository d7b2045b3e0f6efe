/** Requests through the real program of a box, on the stand-in of the users' platform. */
import t from "tap"
import {type BedBox, PlatformBed} from "./support/platform-bed.js"
import {wholeStream} from "./support/whole-stream.js"
import {until} from "./support/wait.js"

function firstBox(bed: PlatformBed): BedBox {
  return bed.boxes[0] as BedBox
}

t.test("without faults: streams, plain requests, routes and versions", async t => {
  const bed = await PlatformBed.start({boxes: 3, engines: 3})
  t.teardown(() => bed.stop())
  const box = firstBox(bed)

  for (const adapter of ["a1", "a2", "a3", "a4", "a5", "a6", "a7", "a1"]) {
    const {id, status, body, headers} = await bed.call(box, "/stream/x", {adapter})
    t.equal(status, 200, adapter)
    t.equal(body, wholeStream(id))
    t.match(headers["x-response-signature"], id)
    t.equal(bed.judge.runsOf(id).length, 1)
  }
  const plain = await bed.call(box, "/unsafe/x", {body: "{}"})
  t.match(plain, {status: 200, body: `plain:${plain.id}:{}`})
  t.equal((await bed.call(box, "/nowhere/x")).status, 404)

  const route = {
    name: "new",
    pathPrefix: "/new/",
    kind: "safe",
    service: "plain",
    maxAttempts: 1,
    targetLatencyMs: 200
  }
  bed.configure([route])
  for (const target of bed.boxes) {
    await until(`the new route at ${target.name}`, async () => {
      return (await bed.call(target, "/new/x")).status === 200
    })
  }

  bed.publishAdapterVersion("a1", 2)
  await until("the new version", async () => {
    const {id} = await bed.call(box, "/stream/x", {adapter: "a1"})
    return bed.judge.runsOf(id).every(run => run.version === 2)
  })
  t.same(bed.judge.violations, [])
})

t.test(
  "many boxes and adapters at once do not exceed the slots of the engines",
  async t => {
    const bed = await PlatformBed.start({boxes: 3, engines: 2})
    t.teardown(() => bed.stop())
    const calls = Array.from({length: 60}, (_, i) => {
      const box = bed.boxes[i % bed.boxes.length] as BedBox
      return bed.call(box, "/stream/x", {adapter: `a${i % 20}`})
    })
    const outcomes = await Promise.all(calls)
    for (const {id, status, body} of outcomes) {
      t.ok(status === 200 || status === 503, `${status}`)
      if (status === 200) t.equal(body, wholeStream(id))
      else t.equal(bed.judge.runsOf(id).length, 0, "a refused request has not run")
    }
    t.ok(outcomes.filter(({status}) => status === 200).length > 40)
    t.same(bed.judge.violations, [])
  }
)

t.test("a worker's refusal is not lost with the rest of its answer", async t => {
  const bed = await PlatformBed.start({boxes: 1, engines: 1})
  t.teardown(() => bed.stop())
  const box = firstBox(bed)
  for (const worker of [...bed.engines, ...bed.plain]) worker.faults = {shedding: true}
  const {status, headers} = await bed.call(box, "/stream/x", {adapter: "a1"})
  t.equal(status, 503)
  t.ok(headers["retry-after"])
  t.equal((await bed.call(box, "/unsafe/x", {body: "{}"})).status, 503)
  t.same(bed.judge.runs, [])
})

t.test(
  "a resumable stream that breaks continues elsewhere, without gap or duplicate",
  async t => {
    const bed = await PlatformBed.start({boxes: 1, engines: 2})
    t.teardown(() => bed.stop())
    for (const engine of bed.engines) engine.faults = {cutAfterEvents: 2}
    const {id, status, body, broken} = await bed.call(firstBox(bed), "/stream/x", {
      adapter: "a1"
    })
    t.equal(status, 200)
    t.notOk(broken)
    t.equal(body, wholeStream(id))
    t.same(
      bed.judge.runsOf(id).map(({from}) => from),
      ["", "2", "4"]
    )
  }
)

// Soak seed 3015: events that had been sent before the silence were sent twice.
t.test("a resumable stream that falls silent continues after sent events", async t => {
  const engine = {gapMs: 80, events: 20}
  const bed = await PlatformBed.start({boxes: 1, engines: 2, proxied: true, engine})
  t.teardown(() => bed.stop())
  const id = "silent"
  const call = bed.call(firstBox(bed), "/stream/x", {adapter: "a1", id})
  await until("the request runs", () => bed.judge.runsOf(id).length > 0)
  const [run] = bed.judge.runsOf(id)
  const engineIndex = bed.engines.findIndex(({id: engineId}) => engineId === run?.worker)
  // Some events must have been sent before the return path is blocked.
  await new Promise(resolve => setTimeout(resolve, 300))
  bed.workerProxies[engineIndex]?.setFaults({blockDown: true})
  const {body, broken} = await call
  t.notOk(broken)
  t.equal(body, wholeStream(id, 20))
  const [, second] = bed.judge.runsOf(id)
  t.ok(Number(second?.from) > 0, "the second run continues after an event")
})

t.test("a stream that cannot continue never looks complete", async t => {
  const bed = await PlatformBed.start({boxes: 1, engines: 2})
  t.teardown(() => bed.stop())
  const box = firstBox(bed)
  for (const engine of bed.engines) engine.faults = {cutAfterEvents: 1}
  // Three attempts deliver three of six events.
  t.ok((await bed.call(box, "/stream/x", {adapter: "a1"})).broken)
  t.ok((await bed.call(box, "/once/x", {adapter: "a1"})).broken)
})

t.test(
  "a request that may run only once is never retried after its answer was lost",
  async t => {
    const bed = await PlatformBed.start({boxes: 1, engines: 2})
    t.teardown(() => bed.stop())
    const box = firstBox(bed)
    for (const worker of [...bed.engines, ...bed.plain]) worker.faults = {loseAnswers: 1}
    const plain = await bed.call(box, "/unsafe/x", {body: "{}"})
    t.equal(plain.status, 502)
    t.equal(bed.judge.runsOf(plain.id).length, 1)
    const stream = await bed.call(box, "/once/x", {adapter: "a1"})
    t.equal(stream.status, 502)
    t.equal(bed.judge.runsOf(stream.id).length, 1)
    const safe = await bed.call(box, "/safe/x")
    t.equal(safe.status, 200, "a safe request is retried")
    t.equal(bed.judge.runsOf(safe.id).length, 2)
  }
)

t.test("a second answer on a connection reaches no caller", async t => {
  const bed = await PlatformBed.start({boxes: 1, engines: 1})
  t.teardown(() => bed.stop())
  for (const worker of bed.plain) worker.faults = {surplus: true}
  for (let i = 0; i < 20; i++) {
    const {id, status, body} = await bed.call(firstBox(bed), "/unsafe/x", {body: "{}"})
    if (status === 200) t.equal(body, `plain:${id}:{}`)
    else t.equal(status, 502)
  }
})

t.test("a stopping box answers all accepted requests and exits in time", async t => {
  const bed = await PlatformBed.start({
    boxes: 1,
    engines: 1,
    engine: {events: 40, gapMs: 30}
  })
  t.teardown(() => bed.stop())
  const box = firstBox(bed)
  const [engine] = bed.engines
  const running = bed.call(box, "/stream/x", {adapter: "a1"})
  await until("the stream runs", () => bed.judge.runs.length > 0)
  if (engine) engine.faults = {shedding: true}
  const signalledAt = performance.now()
  box.child.signal("SIGTERM")
  await until("the box is not ready", async () => !(await bed.isReady(box)))
  const waiting: Promise<unknown>[] = []
  const answers: number[] = []
  const late = setInterval(() => {
    if (box.child.ended || performance.now() - signalledAt > 5_000) return
    const call = bed.call(box, "/stream/x", {adapter: "a2"}).then(({status, broken}) => {
      if (!broken || status !== 0) answers.push(status)
    })
    waiting.push(call)
  }, 400)
  t.teardown(() => clearInterval(late))
  t.match(await running, {status: 200, broken: false})
  await until("the box has exited", () => box.child.ended)
  t.ok(performance.now() - signalledAt < 8_000)
  clearInterval(late)
  await Promise.all(waiting)
  t.ok(answers.length > 0)
  t.ok(answers.every(status => status === 503))
})

t.test("a change that watches do not report is still applied", async t => {
  const bed = await PlatformBed.start({boxes: 2, engines: 1, plain: 2})
  t.teardown(() => bed.stop())
  const [leaving, staying] = bed.plain
  bed.store.faults = {deaf: true}
  leaving?.drain()
  const drainedAt = performance.now()
  await until("the box sends nothing to the server that leaves", async () => {
    const served = await Promise.all(
      Array.from({length: 10}, () => bed.call(firstBox(bed), "/safe/x"))
    )
    return served.every(
      ({id, status}) =>
        status === 200 && bed.judge.runsOf(id).every(run => run.worker === staying?.id)
    )
  })
  t.ok(performance.now() - drainedAt < 2_000)
})
