/** Correct answers, immediate refusals, and no new requests for leaving servers. */
import {request} from "undici"
import t from "tap"
import {Calls} from "./support/calls.js"
import {agent, command, Deployment, getJson, keyOf} from "./support/deployment.js"
import {readEngines} from "./support/oracle.js"
import {until} from "./support/wait.js"

t.test("an answer from the wrong adapter is never forwarded", async t => {
  const deployment = await Deployment.start()
  t.teardown(() => deployment.stop())
  const calls = new Calls(deployment)
  const [box] = deployment.boxes
  const [engine] = deployment.engines
  if (!box || !engine) return
  await command(engine, "fault", {wrongModel: true})
  for (const stream of [true, false]) {
    t.match(await calls.send(box, {stream}), {
      kind: "refused",
      code: "wrong-model",
      tokens: 0
    })
  }
})

t.test(
  "a cut stream ends in an explicit error, and its adapter can be unloaded later",
  async t => {
    const deployment = await Deployment.start({engines: [{slots: 1}], adapters: 2})
    t.teardown(() => deployment.stop())
    const calls = new Calls(deployment)
    const [box] = deployment.boxes
    const [engine] = deployment.engines
    if (!box || !engine) return
    await command(engine, "fault", {cutAfter: 5})
    t.match(await calls.send(box, {tokens: 50}), {kind: "broken"})
    await command(engine, "fault", {})
    t.match(await calls.send(box, {model: deployment.models[1]}), {kind: "answered"})
    t.equal(await calls.violations(), "")
  }
)

t.test("a broken stream is resumed if the engine supports it, and runs once", async t => {
  const deployment = await Deployment.start({
    engines: [{slots: 1, resumes: true}],
    adapters: 2
  })
  t.teardown(() => deployment.stop())
  const calls = new Calls(deployment)
  const [box] = deployment.boxes
  const [engine] = deployment.engines
  if (!box || !engine) return
  const long = calls.send(box, {tokens: 300, key: "letter", tag: "long"})
  await until("the request runs", async () => (await calls.startsOf("long")).length > 0)
  engine.proxy.cut()
  engine.proxy.setFaults({refuse: true})
  await until("the connection broke", () => box.entry.output.includes('"event":155'))
  engine.proxy.setFaults()
  t.match(await long, {kind: "answered", tokens: 300})
  t.equal((await calls.startsOf("long")).length, 1, "it ran once")
  const other = deployment.models[1]
  t.match(await calls.send(box, {model: other}), {kind: "answered"}, "the pin is free")
  t.equal(await calls.violations(), "")
})

t.test("a refused resume is neither forwarded nor reported as 'not run'", async t => {
  const deployment = await Deployment.start({engines: [{resumes: true}]})
  t.teardown(() => deployment.stop())
  const calls = new Calls(deployment)
  const [box] = deployment.boxes
  const [engine] = deployment.engines
  if (!box || !engine) return
  const refusals = [
    {status: 400},
    {status: 429},
    {status: 500},
    {status: 412, notRun: "stale-grant"}
  ]
  for (const [index, refuseResume] of refusals.entries()) {
    await command(engine, "fault", {refuseResume})
    const tag = `resume-${index}`
    const call = calls.send(box, {tokens: 300, tag, key: tag})
    await until("the request runs", async () => (await calls.startsOf(tag)).length > 0)
    engine.proxy.cut()
    const {kind, code, outcome} = await call
    // Broken if cut after the first byte of the answer, backend-lost if cut before it.
    const isLost = kind === "broken" || (code === "backend-lost" && outcome === "unknown")
    t.ok(isLost, `${JSON.stringify(refuseResume)}: ${kind} ${code}`)
  }
  t.match(await calls.send(box, {}), {kind: "answered"}, "the entry still serves")
  t.equal(await calls.violations(), "")
})

t.test("a pin outlives a connection that is blocked in one direction", async t => {
  const deployment = await Deployment.start({
    engines: [{slots: 1, fences: false}],
    adapters: 2
  })
  t.teardown(() => deployment.stop())
  const calls = new Calls(deployment)
  const [box] = deployment.boxes
  const [engine] = deployment.engines
  if (!box || !engine) return
  const abort = new AbortController()
  const first = calls.send(box, {tokens: 300, signal: abort.signal, tag: "first"})
  await until("the request runs", async () => (await calls.startsOf("first")).length > 0)
  // The engine receives neither the caller's disconnect nor the cancellation.
  engine.proxy.setFaults({blockUp: true})
  abort.abort()
  await first
  const other = deployment.models[1]
  t.match(await calls.send(box, {model: other, deadlineMs: 700}), {outcome: "not-run"})
  engine.proxy.setFaults()
  t.match(await calls.send(box, {model: other}), {kind: "answered"})
  t.notMatch(await calls.violations(), 'unloadedInUse":["')
})

t.test(
  "failed loads are retried; requests that cannot wait are refused at once",
  async t => {
    const deployment = await Deployment.start({timing: {loadBackoffMs: 600}})
    t.teardown(() => deployment.stop())
    const calls = new Calls(deployment)
    const [box] = deployment.boxes
    const [engine] = deployment.engines
    if (!box || !engine) return
    await command(engine, "fault", {failLoads: 1})
    const [shortDeadline, longDeadline] = await Promise.all([
      calls.send(box, {deadlineMs: 500}),
      calls.send(box, {deadlineMs: 5_000})
    ])
    t.match(shortDeadline, {
      kind: "refused",
      code: "load-failed",
      outcome: "not-run",
      retryAfter: "1"
    })
    t.ok(shortDeadline.elapsedMs < 450, "refused before its deadline")
    t.match(longDeadline, {kind: "answered"})
    await command(engine, "fault", {failLoads: 3})
    const [failing, unaffected] = await Promise.all([
      calls.send(box, {model: deployment.models[1], deadlineMs: 500}),
      calls.send(box, {model: deployment.models[0]})
    ])
    t.match(failing, {kind: "refused", code: "load-failed"})
    t.match(unaffected, {kind: "answered"})
  }
)

t.test(
  "a leaving engine gets no new requests, whether it or the platform reports it",
  async t => {
    const deployment = await Deployment.start({engines: [{}, {}], adapters: 6})
    t.teardown(() => deployment.stop())
    const calls = new Calls(deployment)
    const [box] = deployment.boxes
    const [first, second] = deployment.engines
    if (!box || !first || !second) return
    const sendAll = async () => {
      for (const model of deployment.models) {
        t.match(await calls.send(box, {model}), {kind: "answered"})
      }
    }
    const startsAt = async (name: string, after: number) => {
      const engine = (await readEngines(deployment)).find(report => report.name === name)
      return engine?.log.filter(({kind, at}) => kind === "start" && at > after).length
    }
    await sendAll()
    const long = calls.send(box, {model: deployment.models[0], tokens: 300, tag: "long"})
    await until("the request runs", async () => (await calls.startsOf("long")).length > 0)
    // The box list reports it late and then fails; the last list stays in force.
    await command(deployment.platform, "list-fault", {lagMs: 500})
    await command(deployment.platform, "leaving", [first.name])
    await until("the keeper has the engine as leaving", async () => {
      const {cells} = await getJson(`http://${box.keeperOps}/state`)
      return cells[0].engines.some((engine: {leaving: boolean}) => engine.leaving)
    })
    await command(deployment.platform, "list-fault", {refusing: true})
    const leftAt = Date.now()
    await sendAll()
    t.equal(await startsAt(first.name, leftAt), 0)
    t.match(await long, {kind: "answered", tokens: 300}, "requests in progress finish")

    await command(deployment.platform, "list-fault")
    await command(deployment.platform, "leaving", [])
    await command(second, "fault", {leaving: true})
    const refusedAt = Date.now()
    await sendAll()
    t.equal(await startsAt(second.name, refusedAt), 0)
    t.equal(await calls.violations(), "")
  }
)

t.test(
  "a plain service is called; refusals are retried elsewhere, lost calls are not",
  async t => {
    const deployment = await Deployment.start({serviceMembers: 2})
    t.teardown(() => deployment.stop())
    const [box] = deployment.boxes
    const [one, two] = deployment.services
    if (!box || !one || !two) return
    const call = async (headers: Record<string, string> = {}) => {
      const answer = await request(
        `http://${box.entryAddress}/services/lookup/instalments/7`,
        {
          method: "POST",
          headers: {authorization: `Bearer ${keyOf("cotejo")}`, ...headers},
          body: "{}",
          dispatcher: agent
        }
      )
      const body = (await answer.body.json()) as {code?: string; outcome?: string}
      return {status: answer.statusCode, code: body.code, outcome: body.outcome}
    }
    const runs = async () => {
      const logs = await Promise.all(
        [one, two].map(service => getJson(`${service.url}/stand-in/log`))
      )
      return logs.flatMap(log => log.serviceLog).length
    }
    t.match(await call(), {status: 200})
    await command(one, "service-fault", {leaving: true})
    for (let round = 0; round < 4; round++) t.match(await call(), {status: 200})
    await command(one, "service-fault", {loseAnswers: 10})
    await command(two, "service-fault", {loseAnswers: 10})
    const before = await runs()
    t.match(await call({"idempotency-key": "k"}), {status: 502, outcome: "unknown"})
    t.match(await call({"idempotency-key": "k"}), {status: 409, code: "key-unknown"})
    t.match(await call({"x-sedge-not-repeatable": "true"}), {
      status: 502,
      outcome: "unknown"
    })
    t.equal((await runs()) - before, 2, "each request ran once")
  }
)
