/**
 * A backend server that restarts under its id is a new incarnation: no state of the
 * previous one applies, and requests that were sent to the previous one may have run.
 */
import t from "tap"
import type {StandInWorker} from "./stand-ins/platform-worker.js"
import {type BedBox, PlatformBed} from "./support/platform-bed.js"
import {wholeStream} from "./support/whole-stream.js"
import {until} from "./support/wait.js"

/** Time within which a restarted server is used by its new state. */
const APPLY_MS = 4_000

/** Time within which a request to a server that restarted ends. */
const ENDED_MS = 1_500

const ADAPTERS = ["a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8"]

function boxOf(bed: PlatformBed): BedBox {
  return bed.boxes[0] as BedBox
}

function engineOf(bed: PlatformBed): StandInWorker {
  return bed.engines[0] as StandInWorker
}

/** Makes the engine accept more orders than its next incarnation soon will. */
async function serveAll(bed: PlatformBed): Promise<void> {
  for (const adapter of ADAPTERS) {
    await until(`${adapter} is served`, async () => {
      return (await bed.call(boxOf(bed), "/stream/x", {adapter})).status === 200
    })
  }
}

async function isServed(bed: PlatformBed, adapter: string): Promise<boolean> {
  const {id, status, body} = await bed.call(boxOf(bed), "/stream/x", {adapter})
  return status === 200 && body === wholeStream(id)
}

for (const bornBefore of [0, 5_000]) {
  const clock = bornBefore > 0 ? "with its clock set back" : "empty"
  t.test(
    `an engine that is restarted under its id, ${clock}, is loaded again`,
    async t => {
      const bed = await PlatformBed.start({boxes: 2, engines: 1, plain: 1})
      t.teardown(() => bed.stop())
      await serveAll(bed)
      await engineOf(bed).restart({bornBefore})
      for (const adapter of ADAPTERS) {
        await until(`${adapter} is served`, () => isServed(bed, adapter), APPLY_MS)
      }
      t.same(bed.judge.violations, [])
    }
  )
}

t.test("an engine that restarts twice in a second is loaded again", async t => {
  const bed = await PlatformBed.start({boxes: 2, engines: 1, plain: 1})
  t.teardown(() => bed.stop())
  await serveAll(bed)
  await engineOf(bed).restart()
  await engineOf(bed).restart()
  await until("a8 is served", () => isServed(bed, "a8"), APPLY_MS)
  t.same(bed.judge.violations, [])
})

t.test("a server that restarts at another address is reached there", async t => {
  const bed = await PlatformBed.start({boxes: 2, engines: 1, plain: 1})
  t.teardown(() => bed.stop())
  const [plain] = bed.plain
  if (!plain) return
  for (const box of bed.boxes) t.equal((await bed.call(box, "/safe/x")).status, 200)
  await plain.restart({moved: true})
  for (const box of bed.boxes) {
    await until(
      `${box.name} reaches the new address`,
      async () => (await bed.call(box, "/safe/x")).status === 200,
      APPLY_MS
    )
  }
})

t.test(
  "a request to a restarted server ends as unknown, even if its connection is silent",
  async t => {
    const bed = await PlatformBed.start({boxes: 1, engines: 1, plain: 1, proxied: true})
    t.teardown(() => bed.stop())
    const box = boxOf(bed)
    const [plain] = bed.plain
    const proxy = bed.workerProxies.at(-1)
    if (!plain || !proxy) return
    t.equal((await bed.call(box, "/safe/x")).status, 200)
    plain.faults = {mute: true}
    const call = bed.call(box, "/unsafe/x", {body: "{}"})
    await new Promise(resolve => setTimeout(resolve, 200))
    proxy.setFaults({blockDown: true})
    const restartedAt = performance.now()
    await plain.restart()
    const {status} = await call
    const tookMs = performance.now() - restartedAt
    t.equal(status, 502, "the request may have run")
    t.ok(tookMs < ENDED_MS, `ended after ${Math.round(tookMs)} ms`)
  }
)
