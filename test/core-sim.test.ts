/** Three boxes of the core in simulated time never violate the specification. */
import t from "tap"
import {CoreSim} from "./support/core-sim.js"
import {type Observation, TraceChecker} from "./support/trace-checker.js"

const SIMULATED_MS = 300_000

for (let seed = 1; seed <= 12; seed++) {
  t.test(`five simulated minutes of cuts, pauses and restarts, seed ${seed}`, async t => {
    const report = new CoreSim(seed).run(SIMULATED_MS)
    t.same(report.violations, [])
    t.ok(report.unloads > 10, `${report.unloads} unloads`)
    t.ok(report.answered > 100, `${report.answered} answered`)
    t.ok(report.takeovers > 2, `${report.takeovers} takeovers`)
  })
}

for (let seed = 1; seed <= 4; seed++) {
  t.test(`every trace step is allowed by the specification, seed ${seed}`, async t => {
    const checker = new TraceChecker()
    // The simulated engine starts empty.
    checker.observe({what: "restart", keeper: 0})
    const sim = new CoreSim(seed, {
      boxes: 2,
      entries: 1,
      slots: 1,
      models: 2,
      oneByOne: true,
      observe: (what, keeper) => checker.observe({what, keeper: keeper === 0 ? 0 : 1})
    })
    const report = sim.run(SIMULATED_MS)
    t.equal(checker.violation, undefined)
    t.same(report.violations, [])
    t.ok(checker.steps > 200, `${checker.steps} steps`)
    t.ok(report.takeovers > 2, `${report.takeovers} takeovers`)
  })
}

type Step = readonly [Observation["what"], 0 | 1]

t.test("a trace that the specification does not allow is rejected", async t => {
  const replay = (...steps: readonly Step[]) => {
    const checker = new TraceChecker()
    for (const [what, keeper] of steps) checker.observe({what, keeper})
    return checker.violation
  }
  const owned: readonly Step[] = [
    ["claim", 0],
    ["inventory", 0]
  ]
  const served: readonly Step[] = [...owned, ["grant", 0], ["starts", 0]]
  t.equal(replay(...served, ["ends", 0], ["release", 0], ["sendUnload", 0]), undefined)
  t.ok(replay(["claim", 0], ["sendUnload", 0]), "unloads before the entry's inventory")
  t.ok(replay(...served, ["sendUnload", 0]), "unloads a model in use")
  t.ok(replay(...served, ["ends", 0], ["sendUnload", 0]), "unloads a model still held")
  t.ok(replay(...owned, ["sendUnload", 0], ["grant", 0]), "grants a model it unloads")
  t.ok(
    replay(...owned, ["claim", 1], ["sendUnload", 0], ["claim", 1]),
    "claims too early"
  )
  t.ok(replay(...owned, ["claim", 1], ["inventory", 1], ["grant", 0], ["starts", 0]))
})
