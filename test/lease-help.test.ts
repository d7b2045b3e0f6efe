/**
 * A leader that the key-value service rejects stays leader, as other boxes renew its
 * lease.
 */
import t from "tap"
import {LeaseHelp} from "../src/adapters/lease-help.js"
import {WriteHelp} from "../src/adapters/write-help.js"
import {KvUnavailable, KvUnknown} from "../src/errors.js"
import type {WriteRequest} from "../src/types/box-messages.js"
import {pause} from "../src/utils/promises.js"
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

/** Longer than allowances last and than a pool of a box is used up. */
const LIMITED_MS = 5_000

/** A quarter of the limit. Below a tenth of it the stored usage lasts for minutes. */
const CALLS_PER_S = 250

// Without the help of other boxes no allowance is granted while the leader is rejected.
t.test("a leader whose calls alone are rejected goes on granting allowances", async t => {
  const tenant = {
    name: "one",
    apiKeys: ["key-1"],
    priority: 1,
    unit: "requests" as const,
    ratePerS: 1_000,
    burst: 1_000
  }
  const bed = await PlatformBed.start({
    boxes: 3,
    engines: 1,
    plain: 2,
    proxied: true,
    tenants: [tenant]
  })
  t.teardown(() => bed.stop())
  await until("all boxes follow the leader", () => {
    return (bed.logs().match(/"event":186,/g)?.length ?? 0) >= 2
  })
  const leader = bed.leader() as BedBox
  const follower = bed.boxes.find(box => box !== leader) as BedBox
  await until("allowances are granted", async () => {
    const {status} = await bed.call(follower, "/safe/x", {key: "key-1"})
    return status === 200
  })
  leader.storeProxy?.setFaults({refuse: true})
  leader.storeProxy?.cut()
  await until("other boxes renew its lease", () => /"event":188,/.test(bed.logs()))
  const from = performance.now()
  const refused: number[] = []
  // Not one call after another, whose rate would depend on the machine.
  const calls: Promise<void>[] = []
  for (let i = 0; i < (CALLS_PER_S * LIMITED_MS) / 1000; i++) {
    const waitMs = from + (i * 1000) / CALLS_PER_S - performance.now()
    if (waitMs > 0) await pause(waitMs)
    calls.push(
      bed.call(follower, "/safe/x", {key: "key-1"}).then(({status}) => {
        if (status !== 200) refused.push(Math.round(performance.now() - from))
      })
    )
  }
  await Promise.all(calls)
  t.same(refused, [], "no request within the limit is refused")
  t.match(bed.logs(), /"event":250,/, "other boxes store the usage projections")
  t.notMatch(bed.logs(), /"event":185,/, "no box lost the leadership")
  t.same(bed.judge.violations, [])
})

t.test("a write through other boxes is conditional, and tries another box", async t => {
  const sent: [box: string, request: WriteRequest][] = []
  const help = new WriteHelp(
    () => ["a", "b"],
    (box, request) => sent.push([box, request])
  )
  const options = {expectRevision: 3, expectEra: 1}
  const written = help.put("sedge/usage", "v", options)
  t.match(sent, [["a", {key: "sedge/usage", value: "v", ...options}]])
  help.handleAnswer({ask: 1, result: "unavailable"})
  await until("the next box is asked", () => sent.length === 2)
  help.handleAnswer({ask: 2, result: "written", revision: 4, era: 1})
  t.same(await written, {ok: true, revision: 4, era: 1})
  const conflicting = help.put("sedge/usage", "v", options)
  help.handleAnswer({ask: 3, result: "conflict", revision: 9, era: 1})
  t.match(await conflicting, {ok: false, current: {revision: 9, era: 1}})
  const failed = help.put("sedge/usage", "v", options)
  help.handleAnswer({ask: 4, result: "unavailable"})
  await until("the next box is asked", () => sent.length === 5)
  help.handleAnswer({ask: 5, result: "unavailable"})
  await t.rejects(failed, KvUnavailable)
  await t.rejects(help.put("sedge/usage", "v", options), KvUnknown, "no box answers")
})
