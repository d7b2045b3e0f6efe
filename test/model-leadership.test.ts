/** Explores leadership over engines without fencing tokens. Each guard is needed. */
import t from "tap"
import {type Exploration, explore, findViolation} from "./model/explore.js"
import * as leadership from "./model/leadership-spec.js"

function exploreLeadership(guards: leadership.Guards): Exploration {
  return explore(
    leadership.INITIAL,
    leadership.ACTIONS,
    (state, action) => leadership.next(state, action, guards),
    state => state.violated
  )
}

t.test("engines without fences receive orders of two leaders with a gap", async t => {
  const {states, violation} = exploreLeadership(leadership.ALL_GUARDS)
  t.equal(violation, undefined)
  t.ok(states > 1_000, `${states} states`)
})

/** Guards that matter only after a restore, with the situation that shows each. */
const RESTORE_GUARDS: ReadonlyMap<keyof leadership.Guards, leadership.State> = new Map([
  ["ownOnlyInEra", leadership.RESTORES.claimed],
  ["waitEra", leadership.RESTORES.ordering],
  ["leaseOfEra", leadership.RESTORES.renewing]
])

/** Explores a restore until new leaders have sent orders. Releases would add nothing. */
function exploreRestore(
  initial: leadership.State,
  guards: leadership.Guards
): Exploration {
  return explore(
    initial,
    leadership.ACTIONS.filter(({type}) => type !== "release"),
    (state, action) =>
      leadership.isExplorationOver(state)
        ? state
        : leadership.next(state, action, guards),
    state => state.violated
  )
}

for (const [moment, initial] of Object.entries(leadership.RESTORES)) {
  t.test(
    `the gap holds when the store is restored from an older backup: ${moment}`,
    async t => {
      const {states, violation} = exploreRestore(initial, leadership.ALL_GUARDS)
      t.equal(violation, undefined)
      t.ok(states > 1_000, `${states} states`)
    }
  )
}

for (const guard of Object.keys(leadership.ALL_GUARDS) as (keyof leadership.Guards)[]) {
  t.test(`without the guard ${guard} orders of two leaders have no gap`, async t => {
    const guards = {...leadership.ALL_GUARDS, [guard]: false}
    const violation = findViolation(
      RESTORE_GUARDS.get(guard) ?? leadership.INITIAL,
      leadership.ACTIONS,
      (state, action) => leadership.next(state, action, guards),
      state => state.violated
    )
    t.ok(violation, "a counterexample is found")
  })
}
