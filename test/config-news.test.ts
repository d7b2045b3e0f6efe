/**
 * A box that stood still looks before it routes by what it knew.
 *
 * The class of the incidents of departures and of versions, looked for elsewhere by a review: sends wait
 * while the news is old, but the route of a request is found as it comes, by whatever table there is then.
 * The users' rule does not count machines that stood still; their callers are told 404, and do not come back.
 */
import t from "tap"
import {type BedBox, PlatformBed} from "./support/platform-bed.js"

/** Operators' configurations are in force everywhere by then, milliseconds. */
const APPLIED_MS = 2_500

/** From the call until the process goes on, milliseconds. */
const LAST_MS = 300

/** The store answers so late, which is past what a box waits for, and for so long, milliseconds. */
const LATE_STORE_MS = 700
const LATE_FOR_MS = 1_000

/** A refused caller comes back after this, milliseconds, and so often at most. */
const COME_BACK_MS = 500
const MOST_TRIES = 6

const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms))

const ADDED = {
  name: "added",
  pathPrefix: "/added/",
  kind: "safe",
  service: "plain",
  maxAttempts: 2,
  targetLatencyMs: 200
}

/** A box that stood still while a route was added, and is called for it just before it goes on. */
async function callStill(bed: PlatformBed, resume: () => void): Promise<number> {
  const frozen = bed.boxes.find(box => box !== bed.leader()) as BedBox
  frozen.child.signal("SIGSTOP")
  bed.configure([ADDED])
  await sleep(APPLIED_MS)
  const call = bed.call(frozen, "/added/x")
  await sleep(LAST_MS)
  resume()
  frozen.child.signal("SIGCONT")
  let {status} = await call
  // Callers come back after such a refusal; a box that cannot read in time answers with it.
  for (let tries = 0; status === 503 && tries < MOST_TRIES; tries++) {
    await sleep(COME_BACK_MS)
    status = (await bed.call(frozen, "/added/x")).status
  }
  return status
}

t.test("a box that stood still answers no 404 for a route of long before", async t => {
  const bed = await PlatformBed.start({boxes: 2, engines: 1})
  t.teardown(() => bed.stop())
  t.equal(await callStill(bed, () => undefined), 200)
})

// Seen once beside load: the store answered late, so that the box gave up on newer news and routed by its own.
t.test("nor does it where the store answers late", async t => {
  const bed = await PlatformBed.start({boxes: 2, engines: 1})
  t.teardown(() => bed.stop())
  const status = await callStill(bed, () => {
    bed.store.faults = {delayMs: LATE_STORE_MS}
    setTimeout(() => (bed.store.faults = {}), LATE_FOR_MS)
  })
  t.equal(status, 200)
})
