/**
 * Distribution of work when many boxes select engines by load reports that are some time
 * old.
 */
import t from "tap"
import {simulateStaleLoads, type StaleLoadsOptions} from "./patterns/stale-loads.js"

const LOAD: StaleLoadsOptions = {
  seed: 1,
  boxes: 195,
  engines: 55,
  perSecond: 333,
  seconds: 12
}

/** Share of first tokens that may be late at three quarters of the prefill capacity. */
const LATE_SHARE = 0.02

for (const boxes of [9, 75, 195]) {
  for (const seed of [1, 2]) {
    t.test(
      `engines receive no more than they can prefill in time, ${boxes} boxes, seed ${seed}`,
      async t => {
        const {requests, late, medianMs, p99Ms} = simulateStaleLoads({
          ...LOAD,
          boxes,
          seed
        })
        t.comment(
          `${late} of ${requests} late, median ${Math.round(medianMs)} ms, p99 ${Math.round(p99Ms)} ms`
        )
        t.ok(late < requests * LATE_SHARE, `${late} of ${requests} late`)
      }
    )
  }
}
