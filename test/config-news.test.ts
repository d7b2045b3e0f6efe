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

const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms))

t.test("a box that stood still answers no 404 for a route of long before", async t => {
  const bed = await PlatformBed.start({boxes: 2, engines: 1})
  t.teardown(() => bed.stop())
  const frozen = bed.boxes.find(box => box !== bed.leader()) as BedBox
  frozen.child.signal("SIGSTOP")
  bed.configure([
    {
      name: "added",
      pathPrefix: "/added/",
      kind: "safe",
      service: "plain",
      maxAttempts: 2,
      targetLatencyMs: 200
    }
  ])
  await sleep(APPLIED_MS)
  const call = bed.call(frozen, "/added/x")
  await sleep(LAST_MS)
  frozen.child.signal("SIGCONT")
  t.equal((await call).status, 200)
})
