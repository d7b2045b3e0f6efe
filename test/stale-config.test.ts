/**
 * After a suspension, a box refreshes its store snapshot before it routes a request.
 *
 * Guards against the class of faults seen with departures and versions: sends waited
 * while the snapshot was stale, but the route was looked up on arrival in the stale
 * table. The users' rule exempts suspended machines, but their callers got 404 and did
 * not retry.
 */
import t from "tap"
import {type BedBox, PlatformBed} from "./support/platform-bed.js"

/** Time within which operators' configurations are in force at all boxes. */
const APPLIED_MS = 2_500

/** Time from the call until the process resumes. */
const CALL_BEFORE_RESUME_MS = 300

/** Delay of the store's answers, longer than a box waits, and how long it lasts. */
const STORE_DELAY_MS = 700
const STORE_DELAY_DURATION_MS = 1_000

/** Interval and maximum number of retries after a refusal. */
const RETRY_INTERVAL_MS = 500
const MAX_RETRIES = 6

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

/** Returns the status of a call for a route added while the box was suspended. */
async function callPaused(bed: PlatformBed, beforeResume: () => void): Promise<number> {
  const suspended = bed.boxes.find(box => box !== bed.leader()) as BedBox
  suspended.child.signal("SIGSTOP")
  bed.configure([ADDED])
  await sleep(APPLIED_MS)
  const call = bed.call(suspended, "/added/x")
  await sleep(CALL_BEFORE_RESUME_MS)
  beforeResume()
  suspended.child.signal("SIGCONT")
  let {status} = await call
  // A box that cannot read the store in time answers 503, after which callers retry.
  for (let retries = 0; status === 503 && retries < MAX_RETRIES; retries++) {
    await sleep(RETRY_INTERVAL_MS)
    status = (await bed.call(suspended, "/added/x")).status
  }
  return status
}

t.test("a suspended box answers no 404 for a route added long before", async t => {
  const bed = await PlatformBed.start({boxes: 2, engines: 1})
  t.teardown(() => bed.stop())
  t.equal(await callPaused(bed, () => undefined), 200)
})

// Under load the store answered late, so that the box stopped waiting for a newer
// snapshot and routed by its stale one.
t.test("a suspended box answers no 404 if the store answers late", async t => {
  const bed = await PlatformBed.start({boxes: 2, engines: 1})
  t.teardown(() => bed.stop())
  const status = await callPaused(bed, () => {
    bed.store.faults = {delayMs: STORE_DELAY_MS}
    setTimeout(() => (bed.store.faults = {}), STORE_DELAY_DURATION_MS)
  })
  t.equal(status, 200)
})
