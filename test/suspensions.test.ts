/**
 * A box whose machine was suspended must not trust ages by its steady clock, which does
 * not count the suspension: it must not use servers that left, expired leases or revoked
 * keys. A suspension delays no turn of the event loop by that clock, so it can go
 * unnoticed.
 */
import {setTimeout as sleep} from "node:timers/promises"
import t from "tap"
import type {StandInWorker} from "./stand-ins/platform-worker.js"
import {passIfKnownRed} from "./support/known-red.js"
import {type BedBox, KEY_REVOCATION_MS, PlatformBed} from "./support/platform-bed.js"
import {until} from "./support/wait.js"

/** How long a leaving server may still be sent requests. */
const DRAIN_MS = 2_000

/** Interval between the requests of a caller. */
const PAUSE_MS = 40

if (!passIfKnownRed("suspensions")) playAll()

function followerOf(bed: PlatformBed): BedBox {
  return bed.boxes.find(box => box !== bed.leader()) as BedBox
}

/** Returns the plain worker that the box sends to: that of its own data centre. */
function plainOf(bed: PlatformBed, box: BedBox): StandInWorker {
  return bed.plain[bed.boxes.indexOf(box) % bed.plain.length] as StandInWorker
}

async function callFor(bed: PlatformBed, box: BedBox, ms: number): Promise<void> {
  const calls: Promise<unknown>[] = []
  for (const end = performance.now() + ms; performance.now() < end;) {
    calls.push(bed.call(box, "/safe/x"))
    await sleep(PAUSE_MS)
  }
  await Promise.all(calls)
}

/**
 * Returns how long after leaving the worker last received a request, or 0 if it received
 * none.
 */
function lastReachedMs(bed: PlatformBed, worker: StandInWorker): number {
  const ages = bed.judge.arrivedRequests
    .filter(request => request.worker === worker.id)
    .map(request => Math.round(request.at - (worker.drainedAt ?? Infinity)))
  return Math.max(0, ...ages)
}

function playAll(): void {
  t.test(
    "a resumed box sends nothing to a server that left during the suspension",
    async t => {
      const bed = await PlatformBed.start({boxes: 2, engines: 1, suspendable: true})
      t.teardown(() => bed.stop())
      const box = followerOf(bed)
      const worker = plainOf(bed, box)
      await callFor(bed, box, 200)
      const suspended = bed.suspend(box, DRAIN_MS + 1_000)
      // No update waits in its connections when it resumes.
      await bed.leader()?.child.end("SIGKILL")
      worker.drain()
      await sleep(DRAIN_MS)
      await Promise.all([suspended, callFor(bed, box, 2_000)])
      const late = lastReachedMs(bed, worker)
      t.ok(late <= DRAIN_MS, `last reached ${late} ms after it left`)
      t.match(bed.logs(), /"suspendedMs":[23]\d{3}/, "the suspension is logged")
    }
  )

  t.test("a resumed leader orders nothing after another box became leader", async t => {
    const bed = await PlatformBed.start({boxes: 3, engines: 2, suspendable: true})
    t.teardown(() => bed.stop())
    const leader = bed.leader() as BedBox
    const from = performance.now()
    const suspended = bed.suspend(leader, 4_000)
    await until("another leads", () => bed.leader() !== leader, 4_000)
    await bed.call(bed.leader() as BedBox, "/stream/x", {adapter: "a1"})
    // Sent to the old leader while it is suspended: if it still considers itself the leader
    // when it resumes, it orders loads for them.
    const calls = ["a2", "a3", "a4"].map(adapter =>
      bed.call(leader, "/stream/x", {adapter})
    )
    await Promise.all([suspended, ...calls])
    const orders = bed.judge.orders.filter(({at}) => at > from + 3_900)
    const newest = Math.max(...bed.judge.orders.map(({fence}) => fence))
    t.same(
      orders.filter(({fence}) => fence < newest),
      []
    )
  })

  t.test(
    "a resumed box accepts no key that was revoked during the suspension",
    async t => {
      const tenant = {name: "one", apiKeys: ["key-1", "key-2"]}
      const bed = await PlatformBed.start({
        boxes: 1,
        engines: 1,
        proxied: true,
        suspendable: true,
        tenants: [tenant]
      })
      t.teardown(() => bed.stop())
      const [box] = bed.boxes as [BedBox]
      t.equal((await bed.call(box, "/safe/x", {key: "key-1"})).status, 200)
      // Its snapshot of the store is not refreshed any more.
      box.storeProxy?.setFaults({blockUp: true, blockDown: true})
      bed.tenants = [{...tenant, apiKeys: ["key-2"]}]
      bed.configure()
      const takenAt = performance.now()
      await bed.suspend(box, KEY_REVOCATION_MS + 500)
      const late: string[] = []
      while (performance.now() - takenAt < KEY_REVOCATION_MS + 2_500) {
        const {id} = await bed.call(box, "/safe/x", {key: "key-1", deadlineMs: 1_000})
        if (bed.judge.runsOf(id).length > 0) late.push(id)
        await sleep(100)
      }
      t.same(late, [])
    }
  )

  t.test("requests in progress survive a step of the time of day", async t => {
    const bed = await PlatformBed.start({boxes: 1, engines: 1, suspendable: true})
    t.teardown(() => bed.stop())
    const [box] = bed.boxes as [BedBox]
    for (const worker of bed.plain) worker.faults = {slowMs: 1_500}
    const call = bed.call(box, "/unsafe/x", {body: "{}", deadlineMs: 3_000})
    await sleep(300)
    // How the box sees a step of the time of day: the steady clock falls behind although no
    // time has passed.
    bed.stepTime(box, 2_400)
    t.equal((await call).status, 200)
  })
}
