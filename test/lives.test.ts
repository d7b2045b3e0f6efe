/**
 * A backend server that starts again under its id is another one: nothing that was believed of its
 * last life holds, and what ran in that life may have run.
 */
import t from "tap"
import type {StandInWorker} from "./stand-ins/platform-worker.js"
import {type BedBox, PlatformBed} from "./support/platform-bed.js"
import {wholeStream} from "./support/whole-stream.js"
import {until} from "./support/wait.js"

/** In this time a server that started again is used for what it is now, milliseconds. */
const KNOWN_MS = 4_000

/** In this time a request is ended whose server is known to have started again, milliseconds. */
const ENDED_MS = 1_500

const ADAPTERS = ["a1", "a2", "a3", "a4", "a5", "a6", "a7", "a8"]

function boxOf(bed: PlatformBed): BedBox {
  return bed.boxes[0] as BedBox
}

function engineOf(bed: PlatformBed): StandInWorker {
  return bed.engines[0] as StandInWorker
}

/** Has the engine take more orders than its next life will soon. */
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
  const clock = bornBefore > 0 ? "by a clock that was set back" : "empty"
  t.test(
    `an engine that starts again under its id, ${clock}, is loaded anew`,
    async t => {
      const bed = await PlatformBed.start({boxes: 2, engines: 1, plain: 1})
      t.teardown(() => bed.stop())
      await serveAll(bed)
      await engineOf(bed).restart({bornBefore})
      for (const adapter of ADAPTERS) {
        await until(`${adapter} of the new life`, () => isServed(bed, adapter), KNOWN_MS)
      }
      t.same(bed.judge.violations, [])
    }
  )
}

t.test("an engine that starts again twice in a second is loaded anew", async t => {
  const bed = await PlatformBed.start({boxes: 2, engines: 1, plain: 1})
  t.teardown(() => bed.stop())
  await serveAll(bed)
  await engineOf(bed).restart()
  await engineOf(bed).restart()
  await until("it is served", () => isServed(bed, "a8"), KNOWN_MS)
  t.same(bed.judge.violations, [])
})

t.test("a server back under its id at another address is reached there", async t => {
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
      KNOWN_MS
    )
  }
})

t.test(
  "what ran in a life that is over is told so, though nothing says it on its way",
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
    t.equal(status, 502, "it may have run")
    t.ok(tookMs < ENDED_MS, `ended after ${Math.round(tookMs)} ms`)
  }
)
