/**
 * Planned stops: no request in progress is aborted, and none is rejected that another box
 * could serve.
 */
import {request} from "undici"
import t from "tap"
import {Calls} from "./support/calls.js"
import {agent, type Box, Deployment} from "./support/deployment.js"
import {until} from "./support/wait.js"

async function isReady(box: Box): Promise<boolean> {
  try {
    const answer = await request(`http://${box.entryOps}/readyz`, {dispatcher: agent})
    await answer.body.dump()
    return answer.statusCode === 200
  } catch {
    return false
  }
}

t.test("no request fails in a rolling restart of all boxes under load", async t => {
  const deployment = await Deployment.start({
    boxes: 3,
    engines: [{slots: 4}, {slots: 4}],
    adapters: 10
  })
  t.teardown(() => deployment.stop())
  const calls = new Calls(deployment)
  // Acts as the balancer, which sends to boxes that were ready at its last check.
  let ready: readonly Box[] = deployment.boxes
  const readinessPoll = setInterval(async () => {
    const flags = await Promise.all(deployment.boxes.map(isReady))
    ready = deployment.boxes.filter((_, index) => flags[index])
  }, 50)
  t.teardown(() => clearInterval(readinessPoll))

  const rolling = (async () => {
    for (const box of deployment.boxes) {
      box.entry.signal("SIGTERM")
      box.keeper.signal("SIGTERM")
      box.admin.signal("SIGTERM")
      await until(`${box.name} ended`, () => box.entry.ended && box.keeper.ended)
      t.equal(box.entry.exitCode, 0)
      t.equal(box.keeper.exitCode, 0)
      box.entry = deployment.startProcess("entry", box.settingsFile)
      box.keeper = deployment.startProcess("keeper", box.settingsFile)
      box.admin = deployment.startProcess("admin", box.settingsFile)
      await deployment.entryReady(box)
    }
  })()
  const flows = [1, 2, 3, 4].map(() => calls.flow(() => ready, rolling))
  const long = calls.send(deployment.boxes[0] as Box, {tokens: 500, tag: "long"})
  await Promise.all([rolling, ...flows])
  t.match(await long, {kind: "answered", tokens: 500})
  const unanswered = calls.made.filter(({result}) => result.kind !== "answered")
  t.same(
    unanswered.map(({result}) => `${result.kind} ${result.code}`),
    []
  )
  t.ok(calls.made.length > 50)
  t.equal(await calls.violations(), "")
})
