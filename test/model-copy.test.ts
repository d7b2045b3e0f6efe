/** What boxes believe of servers as the store comes back from older copies: explored whole, and each guard is needed. */
import t from "tap"
import {explore, findViolation} from "./model/explore.js"
import * as copy from "./model/copy-spec.js"

t.test(
  "nothing goes to a server that left, and no living one is refused for good",
  async t => {
    const {states, violation} = explore(
      copy.INITIAL,
      copy.ACTIONS,
      (state, action) => copy.next(state, action, copy.ALL_GUARDS),
      copy.isViolated
    )
    t.equal(violation, undefined)
    t.ok(states > 1_000, `${states} states`)
  }
)

for (const guard of Object.keys(copy.ALL_GUARDS) as (keyof copy.Guards)[]) {
  t.test(`without the guard ${guard} one of them happens`, async t => {
    const guards = {...copy.ALL_GUARDS, [guard]: false}
    const violation = findViolation(
      copy.INITIAL,
      copy.ACTIONS,
      (state, action) => copy.next(state, action, guards),
      copy.isViolated
    )
    t.ok(violation, "a counterexample is found")
  })
}
