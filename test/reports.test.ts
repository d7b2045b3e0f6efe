/**
 * Load reports and cache events of engines: they may be late or incomplete, and only
 * change which engine is preferred.
 */
import t from "tap"
import {Calls} from "./support/calls.js"
import {TestCell} from "./support/cell.js"
import {command, Deployment, getJson} from "./support/deployment.js"
import {until} from "./support/wait.js"

/** A cell of two engines that both have the adapter. */
function createSubject(): TestCell {
  return new TestCell({
    engines: ["engine-0", "engine-1"],
    slots: 2,
    models: ["base/x@1"]
  })
}

t.test(
  "an engine that reports requests of other clients is used last, but is used",
  async t => {
    const subject = createSubject()
    subject.handleListResult("engine-0", {load: {running: 3, waiting: 2}})
    for (let count = 0; count < 5; count++)
      t.equal(subject.scheduleRequest(`r${count}`), "engine-1")
    for (let count = 5; count < 16; count++)
      t.ok(subject.scheduleRequest(`r${count}`), "up to its batch size")
    t.equal(
      subject.scheduleRequest("r16"),
      undefined,
      "the cell's own requests fill both"
    )
  }
)

t.test("a late report does not count own requests as those of other clients", async t => {
  const subject = createSubject()
  const engine = subject.scheduleRequest("r0") ?? ""
  subject.cell.running.clear()
  subject.handleListResult(engine, {load: {running: 1, waiting: 0}})
  t.equal(subject.cell.engines.get(engine)?.foreign, 0)
  subject.handleListResult(engine, {load: {running: 1, waiting: 0}})
  t.equal(subject.cell.engines.get(engine)?.foreign, 1, "still reported by the next one")
})

t.test(
  "an engine that caches the prompt's prefix is preferred, within limits",
  async t => {
    const subject = createSubject()
    const events = [{seq: 1, prefix: "p", stored: true}]
    subject.handleListResult("engine-1", {cache: {last: 1, events}})
    t.equal(subject.scheduleRequest("r0", {prefix: "p"}), "engine-1")
    t.equal(subject.scheduleRequest("r1", {prefix: "p"}), "engine-1")
    t.equal(
      subject.scheduleRequest("r2", {prefix: "p"}),
      "engine-0",
      "not if it is much more loaded"
    )
    t.equal(
      subject.scheduleRequest("r3", {prefix: "q"}),
      "engine-0",
      "the least loaded engine for any other prefix"
    )
  }
)

t.test("a gap in the cache events or a restart clears the known prefixes", async t => {
  const subject = createSubject()
  const cachedPrefixes = () => [...(subject.cell.engines.get("engine-0")?.prefixes ?? [])]
  const event = (seq: number, prefix: string, stored = true) => ({seq, prefix, stored})
  subject.handleListResult("engine-0", {
    cache: {last: 2, events: [event(1, "a"), event(2, "b")]}
  })
  subject.handleListResult("engine-0", {cache: {last: 3, events: [event(3, "a", false)]}})
  t.same(cachedPrefixes(), ["b"])
  subject.handleListResult("engine-0", {
    cache: {last: 7, events: [event(6, "c"), event(7, "d")]}
  })
  t.same(cachedPrefixes(), ["c", "d"], "events 4 and 5 were missed")
  subject.handleListResult("engine-0", {cache: {last: 1, events: [event(1, "e")]}})
  t.same(cachedPrefixes(), ["e"], "its sequence numbers start again")
  subject.handleListResult("engine-0")
  t.same(cachedPrefixes(), ["e"], "a list result without events changes nothing")
})

t.test("reports reach the owner from real engines", async t => {
  const deployment = await Deployment.start({engines: [{slots: 2}]})
  t.teardown(() => deployment.stop())
  const calls = new Calls(deployment)
  const [box] = deployment.boxes
  const [engine] = deployment.engines
  if (!box || !engine) return
  await command(engine, "fault", {foreign: 5})
  await calls.send(box)
  const reported = await until("both are reported", async () => {
    const {cells} = await getJson(`http://${box.keeperOps}/state`)
    const [state] = cells[0].engines
    // The first report may still count the call, which has ended.
    return state.foreign === 5 && state.prefixes > 0 ? state : undefined
  })
  t.match(reported, {foreign: 5, prefixes: 1})
})
