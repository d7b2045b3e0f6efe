/**
 * Accepted configuration changes are durable, take effect everywhere and are never
 * reverted.
 */
import t from "tap"
import {Calls} from "./support/calls.js"
import {command, Deployment, getJson} from "./support/deployment.js"
import {until} from "./support/wait.js"

const description = (text: string) => [
  {kind: "baseModel" as const, id: "base-a", value: {description: text}}
]

async function generationsOf(deployment: Deployment): Promise<number[]> {
  const addresses = deployment.boxes.flatMap(box => [box.entryOps, box.keeperOps])
  const states = await Promise.all(
    addresses.map(address => getJson(`http://${address}/state`))
  )
  return states.map(state => Number(state.generation))
}

t.test("an accepted change is in force everywhere within seconds", async t => {
  const deployment = await Deployment.start({boxes: 3})
  t.teardown(() => deployment.stop())
  const {generation} = await deployment.change(description("one"))
  const startedAt = Date.now()
  await until("in force", async () => {
    return (await generationsOf(deployment)).every(has => has >= generation)
  })
  t.ok(Date.now() - startedAt < 5_000)
  const status = await deployment.admin(
    "GET",
    "/v1/status",
    undefined,
    deployment.boxes[2]
  )
  t.match(status, {inForceEverywhere: true, generation})
})

t.test(
  "of concurrent changes one is accepted; the other operator is shown both",
  async t => {
    const deployment = await Deployment.start({boxes: 2})
    t.teardown(() => deployment.stop())
    for (let round = 0; round < 5; round++) {
      const results = await Promise.allSettled(
        deployment.boxes.map(box =>
          deployment.change(description(`${box.name} ${round}`), box)
        )
      )
      const lost = results.filter(result => result.status === "rejected")
      for (const {reason} of lost as PromiseRejectedResult[]) {
        t.match(reason, {
          code: "conflict",
          outcome: "not-run",
          conflicts: [{kind: "baseModel", id: "base-a", yours: {}, theirs: {}}]
        })
      }
      t.ok(lost.length < 2, "at least one change is accepted")
    }
    const seen = await deployment.admin("GET", "/v1/records/baseModel/base-a")
    await deployment.change(description("newer"))
    const stale = {
      kind: "baseModel" as const,
      id: "base-a",
      value: {},
      ifGeneration: seen.generation
    }
    await t.rejects(deployment.change([stale]), {code: "conflict"})
  }
)

t.test(
  "a change whose answer was lost is reported as accepted, or as unknown until that is settled",
  async t => {
    const deployment = await Deployment.start({boxes: 2})
    t.teardown(() => deployment.stop())
    await command(deployment.kv, "fault", {loseAnswers: 1})
    const settled = await deployment.change(description("lost answer"))
    t.equal(settled.generation, 2, "read back by its operation id")

    // The change reaches the service, but all answers are blocked.
    deployment.kv.proxy.setFaults({blockDown: true})
    const operation = "operation-7"
    const body = {operation, records: description("open")}
    const open = await deployment.admin("POST", "/v1/changes", body).catch(error => error)
    t.match(open.code, /^(outcome-unknown|unavailable)$/)
    deployment.kv.proxy.cut()
    deployment.kv.proxy.setFaults()
    const again = await until("the service is back", () =>
      deployment.admin("POST", "/v1/changes", body).catch(() => undefined)
    )
    const settledAgain = await deployment.admin("GET", `/v1/operations/${operation}`)
    t.match(settledAgain, {state: "accepted", generation: again.generation})
    const {changes} = await deployment.admin("GET", "/v1/changes")
    const same = changes.filter(
      (change: {operation: string}) => change.operation === operation
    )
    t.equal(same.length, 1, "it took effect once")
  }
)

t.test(
  "in an outage changes are refused as not run, and a starting box gets the configuration from peers",
  async t => {
    const deployment = await Deployment.start({boxes: 2})
    t.teardown(() => deployment.stop())
    await deployment.change(description("before the outage"))
    await until("in force", async () =>
      (await generationsOf(deployment)).every(has => has === 2)
    )
    await command(deployment.kv, "fault", {refusing: true})
    await t.rejects(deployment.change(description("in it")), {
      code: "unavailable",
      outcome: "not-run"
    })
    const late = await deployment.addBox(2)
    const calls = new Calls(deployment)
    await until("it got the configuration from peers", async () => {
      const state = await getJson(`http://${late.entryOps}/state`).catch(() => undefined)
      return state?.generation === 2
    })
    t.match(await calls.send(late), {kind: "answered"}, "and serves")
    await command(deployment.kv, "fault", {})
    const {generation} = await until("changes are accepted again", () =>
      deployment.change(description("after")).catch(() => undefined)
    )
    t.equal(generation, 3)
    await until("in force", async () =>
      (await generationsOf(deployment)).every(has => has === 3)
    )
  }
)

t.test(
  "versions are immutable, and records that are referenced or in use cannot be retired",
  async t => {
    const deployment = await Deployment.start({adapters: 2})
    t.teardown(() => deployment.stop())
    const calls = new Calls(deployment)
    const [box] = deployment.boxes
    if (box) await calls.send(box)
    const version = {adapter: "base-a-a0", version: "1", weights: "other"}
    await t.rejects(
      deployment.change([{kind: "version", id: "base-a-a0@1", value: version}]),
      {
        code: "invalid-change",
        findings: [{place: "/records/0/value/weights"}]
      }
    )
    const inUse = await deployment
      .change([{kind: "version", id: "base-a-a0@1"}])
      .catch(e => e)
    t.match(inUse, {
      code: "invalid-change",
      findings: [{message: "is in use by an engine"}]
    })
    await t.rejects(
      deployment.change([
        {kind: "adapter", id: "base-a-a1"},
        {kind: "organisation", id: "cotejo"},
        {kind: "organisation", id: "bad name", value: {classes: []}}
      ]),
      {code: "invalid-change"}
    )
    const retired = await deployment.change([
      {kind: "version", id: "base-a-a1@1"},
      {kind: "adapter", id: "base-a-a1"}
    ])
    t.equal(retired.generation, 2)
  }
)
