/**
 * Limits after a loss of all boxes (RECOVER): usage from before it counts no longer than its
 * window, also while no box was there to see the time pass.
 */
import {setTimeout as sleep} from "node:timers/promises"
import t from "tap"
import {PlatformBed} from "./support/platform-bed.js"
import {passIfKnownRed} from "./support/known-red.js"
import {until} from "./support/wait.js"

const WINDOW_S = 8

/** Longer than an allowance lives, and its use counts. */
const LOSS_MS = 14_000

/** Calls before the loss: nearly all that the limit allows. */
const CALLS = 90
const TENANT = {name: "org", apiKeys: ["key"], unit: "requests" as const, plainTokens: 1}

if (!passIfKnownRed("limits-after-power-loss")) {
  t.test("an organisation is served once its usage has left the window", async t => {
    const bed = await PlatformBed.start({
      boxes: 3,
      plain: 2,
      engines: 0,
      keys: true,
      usageWindowS: WINDOW_S,
      tenants: [{...TENANT, ratePerS: 10, burst: 10}]
    })
    t.teardown(() => bed.stop())
    const call = async (i: number): Promise<number> => {
      const box = bed.boxes[i % bed.boxes.length]
      return box ? (await bed.call(box, "/safe/x", {key: "key"})).status : 0
    }
    await until("keys are known", async () => (await call(0)) === 200)
    for (let i = 0; i < CALLS; i++) {
      void call(i)
      await sleep(40)
    }
    await Promise.all(bed.boxes.map(({child}) => child.end("SIGKILL")))
    await sleep(LOSS_MS)
    for (const box of bed.boxes) bed.restartBox(box)
    await bed.ready()
    // A new leader is found, and keys are read.
    await sleep(3_000)
    const statuses = await Promise.all([0, 1, 2].map(call))
    t.same(statuses, [200, 200, 200])
  })
}
