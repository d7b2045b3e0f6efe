/** Retries and refusals when many boxes share one retry budget. */
import t from "tap"
import {type ManyBoxesOptions, simulateManyBoxes} from "./patterns/many-boxes.js"

const LOAD: ManyBoxesOptions = {
  seed: 1,
  boxes: 195,
  callers: 140,
  engines: 55,
  perSecond: 238,
  seconds: 24,
  countFrom: 12,
  rejectedShare: 0.19,
  leaderLostAt: Infinity
}

/**
 * Largest share of requests that may be refused when engines reject every fifth attempt.
 */
const REFUSED_SHARE = 0.01

for (const seed of [1, 2, 3]) {
  t.test(
    `callers are not refused while other boxes' share of retries is unused, seed ${seed}`,
    async t => {
      const {requests, refused, budgetUsed} = simulateManyBoxes({...LOAD, seed})
      t.comment(
        `${refused} of ${requests} refused, ${budgetUsed.toFixed(2)} of the budget used`
      )
      t.ok(refused < requests * REFUSED_SHARE, `${refused} of ${requests} were refused`)
      t.ok(budgetUsed < 1, "the budget of all boxes is kept")
    }
  )
}

// A new leader has no record of what its predecessor granted, so it starts with no
// retries to grant.
t.test(
  "a new leader refuses fewer requests in its first ten seconds than boxes alone",
  async t => {
    const {requests, refused} = simulateManyBoxes({...LOAD, seconds: 10, countFrom: 0})
    t.comment(`${refused} of ${requests} refused`)
    t.ok(refused < requests * 0.04, `${refused} of ${requests} were refused`)
  }
)

t.test("the budget is kept when engines reject most requests", async t => {
  const {requests, refused, budgetUsed} = simulateManyBoxes({...LOAD, rejectedShare: 0.7})
  t.comment(
    `${refused} of ${requests} refused, ${budgetUsed.toFixed(2)} of the budget used`
  )
  t.ok(budgetUsed < 1, `${budgetUsed.toFixed(2)} of the budget`)
})

t.test("without an answer from the leader a box still has a fallback share", async t => {
  const lost = {...LOAD, leaderLostAt: 11}
  const {requests, refused, budgetUsed} = simulateManyBoxes(lost)
  t.comment(
    `${refused} of ${requests} refused, ${budgetUsed.toFixed(2)} of the budget used`
  )
  t.ok(refused < requests * 0.2, `${refused} of ${requests} were refused`)
  t.ok(budgetUsed < 1, "the budget of all boxes is kept")
})
