/** A leader that the key-value service turns away goes on leading, by the help of other boxes. */
import t from "tap"
import {LeaseHelp} from "../src/adapters/lease-help.js"
import {KvUnavailable} from "../src/errors.js"
import {type BedBox, PlatformBed} from "./support/platform-bed.js"
import {until} from "./support/wait.js"

/** Longer than the leases of several renewals. */
const TURNED_AWAY_MS = 3_000

t.test("a leader that is turned away alone goes on placing weights", async t => {
  const bed = await PlatformBed.start({boxes: 3, engines: 2, plain: 1, proxied: true})
  t.teardown(() => bed.stop())
  await until("all boxes follow the leader", () => {
    return (bed.logs().match(/"event":186,/g)?.length ?? 0) >= 2
  })
  const leader = bed.leader() as BedBox
  leader.storeProxy?.set({refuse: true})
  leader.storeProxy?.cut()
  await until("others renew its lease", () => /"event":188,/.test(bed.logs()))
  const from = performance.now()
  const statuses = new Set<number>()
  for (let i = 0; performance.now() - from < TURNED_AWAY_MS; i++) {
    const box = bed.boxes[i % 3] as BedBox
    const {status} = await bed.call(box, "/stream/x", {adapter: `new${i}`})
    statuses.add(status)
  }
  t.same(statuses, new Set([200]), "cold weights are brought all the while")
  t.notMatch(bed.logs(), /"event":185,/, "nobody lost the lead")
  leader.storeProxy?.set({refuse: false})
  await until("it renews itself again", () => /"event":189,/.test(bed.logs()))
  t.same(bed.judge.violations, [])
})

t.test("the first box that answers counts, and none is an error", async t => {
  const asked: string[] = []
  const help = new LeaseHelp(
    () => ["a", "b"],
    box => asked.push(box)
  )
  const renewed = help.renew("lease")
  t.same(asked, ["a", "b"])
  help.answered(1, true)
  help.answered(1, false)
  t.equal(await renewed, true)
  help.answered(99, true)
  await t.rejects(help.renew("lease"), KvUnavailable)
})
