/** Loads and evictions of one scheduling pass over a cell. */
import t from "tap"
import {BUILT_IN_POLICY, restoreSnapshot} from "../src/index.js"
import type {SnapshotRecord} from "../src/types/config.js"
import {TestCell} from "./support/cell.js"

const ADAPTERS = ["a", "b", "c", "d", "e", "f", "g"]
const MODELS = ADAPTERS.map(adapter => `base/${adapter}@1`)
const RECORDS = ADAPTERS.flatMap((adapter): SnapshotRecord[] => [
  {
    kind: "adapter",
    id: adapter,
    generation: 1,
    value: {baseModel: "base", organisation: "t"}
  },
  {
    kind: "version",
    id: `${adapter}@1`,
    generation: 1,
    value: {adapter, version: "1", weights: adapter}
  }
])

/** A cell of one engine with four adapters loaded. */
function createSubject(reservedLoads: number): TestCell {
  return new TestCell({
    engines: ["engine-0"],
    slots: 4,
    models: MODELS.slice(0, 4),
    policy: {...BUILT_IN_POLICY, reservedLoads},
    config: restoreSnapshot(RECORDS, 1)
  })
}

t.test("evicts no more adapters than the load budget can replace", async t => {
  const subject = createSubject(0)
  for (const model of MODELS.slice(4)) subject.scheduleRequest(model, {model})
  t.same(subject.orders(), ["unload"], "one load is allowed, and three adapters wait")
})

t.test("a policy can reserve a load for requests that cannot wait", async t => {
  const [, , , , cold, other] = MODELS
  const subject = createSubject(1)
  subject.scheduleRequest("r0", {model: cold, class: "overnight"})
  t.same(subject.orders(), [], "the only load of the budget is reserved")
  subject.scheduleRequest("r1", {model: other})
  t.same(subject.orders(), ["unload"], "the till gets the reserved load")
  const without = createSubject(0)
  without.scheduleRequest("r0", {model: cold, class: "overnight"})
  t.same(without.orders(), ["unload"])
})
