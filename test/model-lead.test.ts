/** The lease over engines without fences: explored whole, and each guard is needed. */
import t from "tap"
import {type Exploration, explore} from "./model/explore.js"
import * as lead from "./model/lead-spec.js"

function exploreLead(guards: lead.Guards): Exploration {
  return explore(
    lead.INITIAL,
    lead.ACTIONS,
    (state, action) => lead.next(state, action, guards),
    state => state.violated
  )
}

t.test("engines without fences get orders of two leaders far apart", async t => {
  const {states, violation} = exploreLead(lead.ALL_GUARDS)
  t.equal(violation, undefined)
  t.ok(states > 1_000, `${states} states`)
})

for (const guard of Object.keys(lead.ALL_GUARDS) as (keyof lead.Guards)[]) {
  t.test(`without the guard ${guard} two leaders order in turns`, async t => {
    const {violation} = exploreLead({...lead.ALL_GUARDS, [guard]: false})
    t.ok(violation, "a counterexample is found")
  })
}
