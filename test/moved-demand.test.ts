/** Where demand moves to adapters that one engine holds, while cold adapters are asked for all the time. */
import t from "tap"
import {playMovedDemand, SLOW_MS} from "./patterns/moved-demand.js"

/** Of requests for adapters that have just become hot, so many may wait long: the copies take a while to come. */
const SLOW_SHARE = 0.2

for (const seed of [1, 2, 3]) {
  t.test(`adapters that became hot get more engines, seed ${seed}`, async t => {
    const {hot, slow, loads} = playMovedDemand({
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
