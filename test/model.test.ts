/** Explores the specifications. Without any one guard there is a counterexample. */
import t from "tap"
import {type Exploration, explore} from "./model/explore.js"
import * as once from "./model/once-spec.js"
import * as ownership from "./model/ownership-spec.js"

function exploreOwnership(options: ownership.SpecOptions): Exploration {
  return explore(
    ownership.INITIAL,
    ownership.ACTIONS,
    (state, action) => ownership.next(state, action, options),
    state => state.violated
  )
}

function exploreOnce(guards: once.Guards): Exploration {
  return explore(
    once.INITIAL,
    once.ACTIONS,
    (state, action) => once.next(state, action, guards),
    state => state.runs > 1 || state.ranAfterNotRun
  )
}

for (const checksFences of [true, false]) {
  const kind = checksFences ? "with fences" : "without fences"

  t.test(`no adapter in use is unloaded, ${kind}`, async t => {
    const {states, violation} = exploreOwnership({
      guards: ownership.ALL_GUARDS,
      checksFences,
      maxFence: checksFences ? 2 : 3
    })
    t.equal(violation, undefined)
    t.ok(states > 1_000, `${states} states`)
    t.comment(`${states} states`)
  })
}

/**
 * With fences, the engine's own check makes some guards redundant. Without fences, each
 * guard is needed, except the one about cancels, which only engines that check fences
 * support.
 */
for (const guard of Object.keys(ownership.ALL_GUARDS) as (keyof ownership.Guards)[]) {
  t.test(`without the guard ${guard} an adapter in use is unloaded`, async t => {
    const guards = {...ownership.ALL_GUARDS, [guard]: false}
    const checksFences = guard === "recancel"
    const {violation} = exploreOwnership({guards, checksFences, maxFence: 2})
    t.ok(violation, "a counterexample is found")
    t.comment(violation ?? "")
  })
}

t.test("a request with an idempotency key runs at most once", async t => {
  const {states, violation} = exploreOnce(once.ALL_GUARDS)
  t.equal(violation, undefined)
  t.comment(`${states} states`)
})

for (const guard of Object.keys(once.ALL_GUARDS) as (keyof once.Guards)[]) {
  t.test(`without the guard ${guard} a request with a key runs twice`, async t => {
    const {violation} = exploreOnce({...once.ALL_GUARDS, [guard]: false})
    t.ok(violation, "a counterexample is found")
  })
}
