/**
 * A leader that the key-value service rejects stays leader, as other boxes renew its
 * lease.
 */
import t from "tap"
import {LeaseHelp} from "../src/adapters/lease-help.js"
import {KvUnavailable} from "../src/errors.js"
import {type BedBox, PlatformBed} from "./support/platform-bed.js"
import {until} from "./support/wait.js"

/** Longer than the leases of several renewals. */
const REJECTED_MS = 3_000

t.test("a leader whose calls alone are rejected goes on placing weights", async t => {
  const bed = await PlatformBed.start({boxes: 3, engines: 2, plain: 1, proxied: true})
  t.teardown(() => bed.stop())
  await until("all boxes follow the leader", () => {
    return (bed.logs().match(/"event":186,/g)?.length ?? 0) >= 2
  })
  const leader = bed.leader() as BedBox
  leader.storeProxy?.setFaults({refuse: true})
  leader.storeProxy?.cut()
  await until("other boxes renew its lease", () => /"event":188,/.test(bed.logs()))
  const from = performance.now()
  const statuses = new Set<number>()
  for (let i = 0; performance.now() - from < REJECTED_MS; i++) {
    const box = bed.boxes[i % 3] as BedBox
    const {status} = await bed.call(box, "/stream/x", {adapter: `new${i}`})
    statuses.add(status)
  }
  t.same(statuses, new Set([200]), "weights that are not loaded are loaded all the time")
  t.notMatch(bed.logs(), /"event":185,/, "no box lost the leadership")
  leader.storeProxy?.setFaults({refuse: false})
  await until("it renews its lease again", () => /"event":189,/.test(bed.logs()))
  t.same(bed.judge.violations, [])
})

t.test("the first answer counts, and no answer is an error", async t => {
  const asked: string[] = []
  const help = new LeaseHelp(
    () => ["a", "b"],
    box => asked.push(box)
  )
  const renewed = help.renew("lease")
  t.same(asked, ["a", "b"])
  help.handleAnswer(1, true)
  help.handleAnswer(1, false)
  t.equal(await renewed, true)
  help.handleAnswer(99, true)
  await t.rejects(help.renew("lease"), KvUnavailable)
})
