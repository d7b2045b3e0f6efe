/**
 * What a leader counts as used after a loss of all boxes (RECOVER): the time for which no
 * box was there counts, as leases of the store prove it.
 */
import {setTimeout as sleep} from "node:timers/promises"
import t from "tap"
import {PlatformBed} from "./support/platform-bed.js"
import {until} from "./support/wait.js"

const TENANT = {name: "org", apiKeys: ["key"], unit: "requests" as const, plainTokens: 1}
const CALLS = 90

for (const [lossMs, mostShare] of [
  [1_000, Infinity],
  [10_000, 0.95],
  [15_000, 0.4]
] as const) {
  t.test(`all boxes are away for ${lossMs} ms`, async t => {
    const bed = await PlatformBed.start({
      boxes: 3,
      plain: 2,
      engines: 0,
      keys: true,
      usageWindowS: 8,
      tenants: [{...TENANT, ratePerS: 10, burst: 10}]
    })
    t.teardown(() => bed.stop())
    const call = async (i: number): Promise<number> => {
      const box = bed.boxes[i % bed.boxes.length]
      return box ? (await bed.call(box, "/safe/x", {key: "key"})).status : 0
    }
    await until("keys are known", async () => (await call(0)) === 200)
    let used = 0
    for (let i = 0; i < CALLS; i++) {
      void call(i).then(status => (used += status === 200 ? 1 : 0))
      await sleep(40)
    }
    await Promise.all(bed.boxes.map(({child}) => child.end("SIGKILL")))
    await sleep(lossMs)
    for (const box of bed.boxes) bed.restartBox(box)
    const read = (): string | undefined =>
      bed.boxes.map(({child}) => /"event":278,.*/.exec(child.output)?.[0]).find(Boolean)
    await until("a leader has read what was used", () => read() !== undefined)
    const {counted, limit} = JSON.parse(`{${read() ?? ""}`) as {
      counted: number
      limit: number
    }
    t.ok(counted <= mostShare * limit, `${counted} of ${limit} counted`)
    // All that was used came within the window before the loss.
    if (lossMs < 4_000) t.ok(counted >= used, `${counted} of ${used} used`)
  })
}
