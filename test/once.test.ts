/** Requests that must not run twice, and the meaning of "not run". */
import t from "tap"
import {Calls} from "./support/calls.js"
import {command, Deployment} from "./support/deployment.js"
import {until} from "./support/wait.js"

t.test("a keyed request sent to two boxes runs once; its state is reported", async t => {
  const deployment = await Deployment.start({boxes: 2})
  t.teardown(() => deployment.stop())
  const calls = new Calls(deployment)
  const [one, two] = deployment.boxes
  if (!one || !two) return
  const choice = {tag: "letter", key: "letter", tokens: 100}
  const both = await Promise.all([calls.send(one, choice), calls.send(two, choice)])
  t.equal(both.filter(({kind}) => kind === "answered").length, 1)
  t.match(
    both.find(({kind}) => kind === "refused"),
    {status: 409, code: "key-running", retryAfter: "1"}
  )
  t.match(await calls.send(two, choice), {status: 409, code: "key-answered"})
  t.equal((await calls.startsOf("letter")).length, 1)
  t.equal(await calls.violations(), "")
})

t.test("a key is still recorded after the register's owner is killed", async t => {
  const deployment = await Deployment.start({boxes: 2})
  t.teardown(() => deployment.stop())
  const calls = new Calls(deployment)
  for (const shard of ["once:0", "once:1"]) {
    const owner = await deployment.ownerOf(shard)
    const other = deployment.otherThan(owner)
    const keys = ["a", "b", "c", "d"].map(name => `${shard}-${name}`)
    for (const key of keys) {
      t.match(await calls.send(other, {tag: key, key}), {kind: "answered"})
    }
    await owner.keeper.end("SIGKILL")
    for (const key of keys) {
      const again = await calls.send(other, {tag: key, key})
      t.match(again, {kind: "refused", status: 409})
      t.equal((await calls.startsOf(key)).length, 1)
    }
    owner.keeper = deployment.startProcess("keeper", owner.settingsFile)
    await deployment.ready()
  }
  t.equal(await calls.violations(), "")
})

t.test("an outcome that no owner received is reported to the next one", async t => {
  const deployment = await Deployment.start()
  t.teardown(() => deployment.stop())
  const calls = new Calls(deployment)
  const [box] = deployment.boxes
  if (!box) return
  const choice = {tag: "letter", key: "letter", tokens: 100}
  const answer = calls.send(box, choice)
  await until("the request runs", async () => (await calls.startsOf("letter")).length > 0)
  await box.keeper.end("SIGKILL")
  t.match(await answer, {kind: "answered"})
  box.keeper = deployment.startProcess("keeper", box.settingsFile)
  await deployment.ready()
  t.match(await calls.send(box, choice), {code: "key-answered"}, "not left as unknown")
  t.equal((await calls.startsOf("letter")).length, 1)
})

t.test(
  "without the key-value service a keyed request is refused as not run, and runs later",
  async t => {
    const deployment = await Deployment.start()
    t.teardown(() => deployment.stop())
    const calls = new Calls(deployment)
    const [box] = deployment.boxes
    if (!box) return
    await command(deployment.kv, "fault", {refusing: true})
    const choice = {tag: "letter", key: "letter"}
    const refused = await calls.send(box, {...choice, deadlineMs: 2_000})
    t.match(refused, {
      kind: "refused",
      code: "no-record",
      outcome: "not-run",
      retryAfter: "1"
    })
    t.match(await calls.send(box), {kind: "answered"}, "a repeatable request is served")
    t.equal((await calls.startsOf("letter")).length, 0)
    await command(deployment.kv, "fault", {})
    await until(
      "the request runs",
      async () => (await calls.send(box, choice)).kind === "answered"
    )
    t.equal((await calls.startsOf("letter")).length, 1)
  }
)

t.test("a lost answer of the key-value service causes no second run", async t => {
  const deployment = await Deployment.start({boxes: 2})
  t.teardown(() => deployment.stop())
  const calls = new Calls(deployment)
  const [one, two] = deployment.boxes
  if (!one || !two) return
  for (let round = 0; round < 5; round++) {
    await command(deployment.kv, "fault", {loseAnswers: 2})
    const key = `letter-${round}`
    await Promise.all([
      calls.send(one, {tag: key, key, deadlineMs: 3_000}),
      calls.send(two, {tag: key, key, deadlineMs: 3_000})
    ])
    t.ok((await calls.startsOf(key)).length <= 1)
  }
  t.equal(await calls.violations(), "")
})

t.test(
  "a request whose engine is lost is not run again and reported as unknown",
  async t => {
    const deployment = await Deployment.start()
    t.teardown(() => deployment.stop())
    const calls = new Calls(deployment)
    const [box] = deployment.boxes
    const [engine] = deployment.engines
    if (!box || !engine) return
    const whole = {stream: false, tokens: 400}
    const once = calls.send(box, {...whole, tag: "once", key: "once"})
    const marked = calls.send(box, {...whole, tag: "marked", notRepeatable: true})
    const repeatable = calls.send(box, {...whole, tag: "repeatable"})
    for (const tag of ["once", "marked", "repeatable"]) {
      await until(`${tag} runs`, async () => (await calls.startsOf(tag)).length > 0)
    }
    engine.proxy.cut()
    t.match(await once, {kind: "refused", code: "backend-lost", outcome: "unknown"})
    t.match(await marked, {kind: "refused", code: "backend-lost", outcome: "unknown"})
    t.match(await repeatable, {kind: "answered"}, "a repeatable request is retried")
    t.equal((await calls.startsOf("once")).length, 1)
    t.equal((await calls.startsOf("marked")).length, 1)
    t.match(await calls.send(box, {...whole, tag: "once", key: "once"}), {
      code: "key-unknown"
    })
    t.equal(await calls.violations(), "")
  }
)
