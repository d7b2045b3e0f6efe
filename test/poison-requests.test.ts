/**
 * A request under which three backend servers crashed reaches none soon after, in whatever request of its
 * caller and at whatever box it comes again.
 *
 * Seen: callers sent such a request to one box after another; each of their tries was new to the box that took
 * it, and thirteen servers crashed under one request.
 */
import t from "tap"
import {crashingBody} from "./stand-ins/platform-worker.js"
import {judgeCrashes} from "./support/judge-crashes.js"
import {passIfKnownRed} from "./support/known-red.js"
import {type BedBox, PlatformBed} from "./support/platform-bed.js"

/** Between two tries of the caller, milliseconds. */
const PAUSE_MS = 150

const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms))

interface Try {
  readonly path: string
  readonly body: string
  readonly adapter?: string
}

/** Sends the same request to one box after another for a while. */
async function sendAgain(
  bed: PlatformBed,
  {path, ...options}: Try,
  ms: number
): Promise<number[]> {
  const calls: Promise<{status: number}>[] = []
  for (const end = performance.now() + ms; performance.now() < end;) {
    const box = bed.boxes[calls.length % bed.boxes.length] as BedBox
    calls.push(bed.call(box, path, options))
    await sleep(PAUSE_MS)
  }
  return (await Promise.all(calls)).map(({status}) => status)
}

async function start(): Promise<PlatformBed> {
  return PlatformBed.start({
    boxes: 3,
    engines: 4,
    plain: 4,
    engine: {downMs: 1_500},
    plainWorker: {downMs: 1_500}
  })
}

async function leaderDies(bed: PlatformBed): Promise<void> {
  const leader = bed.leader()
  if (!leader) return
  await leader.child.end("SIGKILL")
  bed.restartBox(leader)
}

if (!passIfKnownRed("poison-requests")) playAll()

function playAll(): void {
  const MOMENTS = ["before-head", "in-stream", "after-end"] as const

  for (const moment of MOMENTS) {
    t.test(
      `a stream that crashes engines (${moment}) is stopped at all boxes`,
      async t => {
        const bed = await start()
        t.teardown(() => bed.stop())
        const body = crashingBody("one", moment)
        await sendAgain(bed, {path: "/stream/x", adapter: "a1", body}, 9_000)
        t.ok(bed.judge.crashes.length >= 3, `${bed.judge.crashes.length} crashed`)
        t.same(judgeCrashes(bed.judge), [])
      }
    )
  }

  t.test(
    "a plain request that crashes servers is stopped, and told so at once",
    async t => {
      const bed = await start()
      t.teardown(() => bed.stop())
      const body = crashingBody("one", "before-head")
      const statuses = await sendAgain(bed, {path: "/unsafe/x", body}, 8_000)
      t.ok(bed.judge.crashes.length >= 3, `${bed.judge.crashes.length} crashed`)
      t.same(judgeCrashes(bed.judge), [])
      t.equal(statuses.at(-1), 503)
    }
  )

  t.test("it stays stopped as the leader dies after the second crash", async t => {
    const bed = await start()
    t.teardown(() => bed.stop())
    const tries = {path: "/once/x", adapter: "a1", body: crashingBody("one", "in-stream")}
    while (bed.judge.crashes.length < 2) await sendAgain(bed, tries, PAUSE_MS)
    await leaderDies(bed)
    await sendAgain(bed, tries, 9_000)
    t.same(judgeCrashes(bed.judge), [])
  })

  t.test("it stays stopped after all boxes were restarted", async t => {
    const bed = await start()
    t.teardown(() => bed.stop())
    const tries = {path: "/unsafe/x", body: crashingBody("one", "before-head")}
    await sendAgain(bed, tries, 5_000)
    await Promise.all(bed.boxes.map(({child}) => child.end("SIGKILL")))
    for (const box of bed.boxes) bed.restartBox(box)
    await bed.ready()
    await sendAgain(bed, tries, 5_000)
    t.same(judgeCrashes(bed.judge), [])
  })

  // A request of many callers is in progress at most servers as they crash under another one.
  t.test("requests that are answered elsewhere go on", async t => {
    const bed = await start()
    t.teardown(() => bed.stop())
    for (const worker of bed.plain) worker.faults = {slowMs: 60}
    const guilty = {path: "/unsafe/x", body: crashingBody("one", "before-head")}
    let going = true
    const usual = async (): Promise<number[]> => {
      const calls: Promise<{status: number}>[] = []
      while (going) {
        const box = bed.boxes[calls.length % bed.boxes.length] as BedBox
        calls.push(bed.call(box, "/safe/x"))
        await sleep(20)
      }
      return (await Promise.all(calls)).map(({status}) => status)
    }
    const statuses = usual()
    await sendAgain(bed, guilty, 8_000)
    going = false
    const all = await statuses
    t.same(judgeCrashes(bed.judge), [])
    const after = all.slice(-100)
    t.same(
      after.filter(status => status !== 200),
      [],
      "none is refused at the end"
    )
  })

  t.test("another organisation's request with the same content goes on", async t => {
    const bed = await PlatformBed.start({
      boxes: 2,
      engines: 1,
      plain: 4,
      plainWorker: {downMs: 1_000},
      tenants: [
        {name: "one", apiKeys: ["key-one"]},
        {name: "two", apiKeys: ["key-two"]}
      ]
    })
    t.teardown(() => bed.stop())
    const body = crashingBody("one", "before-head")
    const [box] = bed.boxes as [BedBox]
    for (let i = 0; i < 20 && bed.judge.crashes.length < 3; i++) {
      await bed.call(box, "/unsafe/x", {body, key: "key-one"})
      await sleep(PAUSE_MS)
    }
    await sleep(1_500)
    const refused = await bed.call(box, "/unsafe/x", {body, key: "key-one"})
    t.equal(refused.status, 503)
    const crashes = bed.judge.crashes.length
    await bed.call(box, "/unsafe/x", {body, key: "key-two"})
    t.equal(bed.judge.crashes.length, crashes + 1, "it was sent")
  })
}
