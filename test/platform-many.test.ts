/**
 * Many boxes: each requests the weights that it waits for, and reads a new configuration.
 */
import t from "tap"
import {type BedBox, PlatformBed} from "./support/platform-bed.js"
import {until} from "./support/wait.js"

/** Above the number of boxes up to which a leader sends its full state to every box. */
const BOXES = 18

const LATER = {name: "later", pathPrefix: "/later/", kind: "safe", service: "plain"}

async function serves(bed: PlatformBed, box: BedBox, path: string): Promise<boolean> {
  return (await bed.call(box, path)).status === 200
}

t.test("many boxes serve weights that only the leader has in its state", async t => {
  const bed = await PlatformBed.start({boxes: BOXES, engines: 3, plain: 1, proxied: true})
  t.teardown(() => bed.stop())
  await until("all boxes follow the leader", () => {
    const linked = bed.logs().match(/"event":186,/g)?.length ?? 0
    return linked >= BOXES - 1
  })

  const calls = bed.boxes.map((box, i) =>
    bed.call(box, "/stream/x", {adapter: `a${i % 6}`})
  )
  const statuses = (await Promise.all(calls)).map(({status}) => status)
  t.same(new Set(statuses), new Set([200]))

  const disconnected = bed.boxes.find(box => box !== bed.leader()) as BedBox
  disconnected.storeProxy?.setFaults({refuse: true})
  disconnected.storeProxy?.cut()
  bed.configure([{...LATER, maxAttempts: 1, targetLatencyMs: 200}])
  for (const box of bed.boxes) {
    await until(`${box.name} serves the new route`, () => serves(bed, box, "/later/x"))
  }
  t.same(bed.judge.violations, [])
})
