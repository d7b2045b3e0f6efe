/** Explores a box's view of a server when the store is restored from older backups. */
import t from "tap"
import {explore, findViolation} from "./model/explore.js"
import * as restore from "./model/restore-spec.js"

t.test(
  "nothing is sent to a server that left, and no live one is refused forever",
  async t => {
    const {states, violation} = explore(
      restore.INITIAL,
      restore.ACTIONS,
      (state, action) => restore.next(state, action, restore.ALL_GUARDS),
      restore.isViolated
    )
    t.equal(violation, undefined)
    t.ok(states > 1_000, `${states} states`)
  }
)

for (const guard of Object.keys(restore.ALL_GUARDS) as (keyof restore.Guards)[]) {
  t.test(`without the guard ${guard} the specification is violated`, async t => {
    const guards = {...restore.ALL_GUARDS, [guard]: false}
    const violation = findViolation(
      restore.INITIAL,
      restore.ACTIONS,
      (state, action) => restore.next(state, action, guards),
      restore.isViolated
    )
    t.ok(violation, "a counterexample is found")
  })
}
