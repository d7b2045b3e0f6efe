/**
 * Placement when demand moves to adapters on one engine while requests for cold adapters
 * continue.
 */
import t from "tap"
import {simulateMovedDemand, SLOW_MS} from "./patterns/moved-demand.js"

/**
 * Share of requests for newly hot adapters that may be slow, because further loads take
 * time.
 */
const SLOW_SHARE = 0.2

for (const seed of [1, 2, 3]) {
  t.test(`newly hot adapters are loaded on more engines, seed ${seed}`, async t => {
    const {hot, slow, loads} = simulateMovedDemand({
      seed,
      engines: 98,
      coldPerSecond: 130,
      hotPerSecond: [50, 20, 15, 12, 10, 10],
      seconds: 6
    })
    t.comment(`${slow} of ${hot} waited for more than ${SLOW_MS} ms, ${loads} loads`)
    t.ok(slow < hot * SLOW_SHARE, `${slow} of ${hot}`)
  })
}
