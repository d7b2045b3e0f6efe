/** Ownership of engines when the owner is killed or paused, with and without fences. */
import t from "tap"
import {Calls} from "./support/calls.js"
import {Deployment, getJson} from "./support/deployment.js"
import {readEngines} from "./support/oracle.js"
import {until} from "./support/wait.js"

for (const fences of [true, false]) {
  const kind = fences ? "checks fences" : "checks no fences"

  t.test(`an engine that ${kind} keeps serving when its owner is killed`, async t => {
    const engines = [{fences, slots: 2}]
    const deployment = await Deployment.start({boxes: 2, engines, adapters: 6})
    t.teardown(() => deployment.stop())
    const calls = new Calls(deployment)
    const owner = await deployment.ownerOf("cell:cell-1")
    const other = deployment.otherThan(owner)
    t.match(await calls.send(other, {model: deployment.models[0]}), {kind: "answered"})

    const pinned = calls.send(other, {model: deployment.models[0], tokens: 700})
    await until("start", async () => (await calls.startsOf("call-1")).length > 0)
    await owner.keeper.end("SIGKILL")
    const without = await calls.send(other, {model: deployment.models[0]})
    t.match(without, {kind: "answered"}, "served without an owner, on a held adapter")
    t.ok(without.elapsedMs < 1_000, "without delay")

    // Only one slot is free beside the adapter in use, so the new owner must evict.
    for (const model of deployment.models.slice(1)) {
      t.match(await calls.send(other, {model}), {kind: "answered"})
    }
    t.match(await pinned, {kind: "answered", tokens: 700})
    t.equal(await calls.violations(), "")
  })

  t.test(
    `an owner paused for longer than its lease unloads nothing from an engine that ${kind}`,
    async t => {
      const engines = [{fences, slots: 2}]
      const deployment = await Deployment.start({boxes: 2, engines, adapters: 6})
      t.teardown(() => deployment.stop())
      const calls = new Calls(deployment)
      const owner = await deployment.ownerOf("cell:cell-1")
      const other = deployment.otherThan(owner)
      for (const model of deployment.models.slice(0, 2)) await calls.send(other, {model})

      // A request that needs an eviction waits in the socket buffers of the paused owner.
      owner.keeper.signal("SIGSTOP")
      const waiting = calls.send(other, {model: deployment.models[2]})
      await until("another owner of the cell", async () => {
        const state = await getJson(`http://${other.keeperOps}/state`)
        return "cell:cell-1" in state.owned
      })
      const pinned = calls.send(other, {model: deployment.models[1], tokens: 400})
      t.match(await waiting, {kind: "answered"})
      owner.keeper.signal("SIGCONT")
      await until("the old owner drops the cell", async () => {
        const state = await getJson(`http://${owner.keeperOps}/state`).catch(
          () => undefined
        )
        return state && !("cell:cell-1" in state.owned)
      })
      for (const model of deployment.models.slice(3)) {
        t.match(await calls.send(owner, {model}), {kind: "answered"})
      }
      t.match(await pinned, {kind: "answered"})
      t.equal(await calls.violations(), "")
      t.ok(
        (await readEngines(deployment)).some(({log}) =>
          log.some(({kind}) => kind === "unload")
        )
      )
    }
  )
}

t.test(
  "during an outage of the key-value service the owner serves and loads, but doesn't evict",
  async t => {
    const deployment = await Deployment.start({engines: [{slots: 2}], adapters: 4})
    t.teardown(() => deployment.stop())
    const calls = new Calls(deployment)
    const [box] = deployment.boxes
    if (!box) return
    const [first, second, third] = deployment.models
    await calls.send(box, {model: first})
    deployment.kv.proxy.setFaults({blockUp: true, blockDown: true})
    await until("the lease expires", async () => {
      return !(await getJson(`http://${box.keeperOps}/state`)).holdsLease
    })
    t.match(await calls.send(box, {model: first}), {kind: "answered"})
    t.match(
      await calls.send(box, {model: second}),
      {kind: "answered"},
      "a free slot is used"
    )
    const refused = await calls.send(box, {model: third, deadlineMs: 600})
    t.match(refused, {kind: "refused", outcome: "not-run", retryAfter: "1"})
    deployment.kv.proxy.setFaults()
    t.match(
      await calls.send(box, {model: third}),
      {kind: "answered"},
      "evicts again after the outage"
    )
    t.equal(await calls.violations(), "")
  }
)

t.test("adapters are loaded again for requests after an engine restart", async t => {
  const deployment = await Deployment.start({adapters: 4})
  t.teardown(() => deployment.stop())
  const calls = new Calls(deployment)
  const [box] = deployment.boxes
  const [engine] = deployment.engines
  if (!box || !engine) return
  for (const model of deployment.models) await calls.send(box, {model})
  const {command} = await import("./support/deployment.js")
  await command(engine, "restart")
  for (const model of deployment.models) {
    t.match(await calls.send(box, {model}), {kind: "answered"})
  }
  t.equal(await calls.violations(), "")
})
