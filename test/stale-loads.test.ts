/** Where work goes when many boxes choose by loads that were told some time ago. */
import t from "tap"
import {playStaleLoads, type StaleLoadsOptions} from "./patterns/stale-loads.js"

const LOAD: StaleLoadsOptions = {
  seed: 1,
  boxes: 195,
  engines: 55,
  perSecond: 333,
  seconds: 12
}

/** Of first answers, the part that may be late at three quarters of what the engines can read. */
const LATE_SHARE = 0.02

for (const boxes of [9, 75, 195]) {
  for (const seed of [1, 2]) {
    t.test(
      `engines get what they can read in time, ${boxes} boxes, seed ${seed}`,
      async t => {
        const {requests, late, medianMs, p99Ms} = playStaleLoads({...LOAD, boxes, seed})
        t.comment(
          `${late} of ${requests} late, median ${Math.round(medianMs)} ms, p99 ${Math.round(p99Ms)} ms`
        )
        t.ok(late < requests * LATE_SHARE, `${late} of ${requests} late`)
      }
    )
  }
}
