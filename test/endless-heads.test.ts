/**
 * Many answers at once whose head, trailer, chunk extension or informational answers have no
 * end. Guards against boxes that parse them for so long that other callers wait.
 */
import {readFileSync} from "node:fs"
import t, {type Test} from "tap"
import {type EndlessKind, EndlessServer} from "./support/endless-server.js"
import {type BedBox, PlatformBed} from "./support/platform-bed.js"
import {until} from "./support/wait.js"

const MB = 1_048_576

/** Requests that meet endless answers at the same time. */
const AT_ONCE = 30

/** Requests to sound answers meanwhile, and the pause between them. */
const OTHERS = 20
const PAUSE_MS = 60

/** Time that callers allow for their requests. */
const DEADLINE_MS = 3_000

/** Time that an answer at the deadline may be late, as seen by its caller. */
const DELAY_MS = 250

/** Memory that a box may need for all that it is sent without end, in MB. */
const MAX_GROWTH_MB = 64

/** Processor time of a box for all of it: half of a core until the deadline. */
const MAX_PROCESSOR_MS = DEADLINE_MS / 2

/** Milliseconds of processor time in a tick of `/proc/PID/stat`. */
const TICK_MS = 10

const KINDS: readonly EndlessKind[] = ["head", "trailer", "informational", "extension"]

const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms))

function residentMb(box: BedBox): number {
  const status = readFileSync(`/proc/${box.child.pid}/status`, "utf8")
  return (1_024 * Number(/VmRSS:\s+(\d+)/.exec(status)?.[1])) / MB
}

function processorMs(box: BedBox): number {
  const stat = readFileSync(`/proc/${box.child.pid}/stat`, "utf8")
  const [user, system] = (stat.split(") ")[1] ?? "").split(" ").slice(11, 13).map(Number)
  return TICK_MS * ((user ?? NaN) + (system ?? NaN))
}

/** Starts a box and servers of which half, and all engines, may answer without end. */
async function start(t: Test): Promise<{bed: PlatformBed; endless: EndlessServer[]}> {
  const bed = await PlatformBed.start({boxes: 1, engines: 2, plain: 4})
  const endless: EndlessServer[] = []
  t.teardown(async () => {
    await bed.stop()
    for (const server of endless) server.close()
  })
  for (const worker of [...bed.engines, ...bed.plain.slice(0, 2)]) {
    const isEndless = (head: string): boolean => /^x-request-id: *e-/im.test(head)
    const server = await EndlessServer.start(isEndless, worker.address)
    endless.push(server)
    worker.announcedAddress = server.address
    worker.writeEntry()
  }
  // Boxes keep the first address of a server.
  for (const box of bed.boxes) {
    await box.child.end()
    bed.restartBox(box)
  }
  await bed.ready()
  return {bed, endless}
}

for (const path of ["/safe/x", "/stream/x"]) {
  t.test(`many endless heads hold up no other caller of ${path}`, async t => {
    const {bed, endless} = await start(t)
    const box = bed.boxes[0] as BedBox
    const model = path.startsWith("/stream") ? {adapter: "a1"} : {}
    const asked = path.startsWith("/stream")
      ? endless.slice(0, bed.engines.length)
      : endless.slice(bed.engines.length)
    // As many as reach all servers, also those that the box has avoided.
    const callAll = (): Promise<unknown> =>
      Promise.all(Array.from({length: AT_ONCE}, () => bed.call(box, path, model)))
    for (const kind of KINDS) {
      const passedOn = asked.map(server => server.passedOn)
      await until("requests reach these servers again", async () => {
        await callAll()
        return asked.every((server, i) => server.passedOn > (passedOn[i] as number))
      })
      const begun = endless.reduce((sum, server) => sum + server.begun, 0)
      for (const server of endless) server.kind = kind
      const startMb = residentMb(box)
      const startMs = processorMs(box)
      let peakMb = startMb
      const sampler = setInterval(() => (peakMb = Math.max(peakMb, residentMb(box))), 20)
      const calls = Array.from({length: AT_ONCE}, async (_, i) => {
        const sentAt = performance.now()
        const options = {...model, id: `e-${kind}-${i}`, deadlineMs: DEADLINE_MS}
        const {status} = await bed.call(box, path, options)
        return {status, tookMs: performance.now() - sentAt}
      })
      const others = []
      for (let i = 0; i < OTHERS; i++) {
        const options = {...model, id: `o-${kind}-${i}`, deadlineMs: DEADLINE_MS}
        others.push(bed.call(box, path, options))
        await sleep(PAUSE_MS)
      }
      const answers = await Promise.all(calls)
      const served = await Promise.all(others)
      clearInterval(sampler)
      const usedMs = processorMs(box) - startMs
      const lastMs = Math.round(Math.max(...answers.map(({tookMs}) => tookMs)))
      const grownMb = Math.round(peakMb - startMb)
      for (const server of endless) server.kind = undefined
      const count = served.filter(({status, broken}) => status === 200 && !broken).length
      t.comment(`${kind}: ${usedMs} ms of a processor, last ${lastMs} ms, ${grownMb} MB`)
      t.ok(endless.reduce((sum, server) => sum + server.begun, 0) > begun, kind)
      t.ok(lastMs < DEADLINE_MS + DELAY_MS, `${kind}: the last ended after ${lastMs} ms`)
      t.ok(usedMs < MAX_PROCESSOR_MS, `${kind}: ${usedMs} ms of a processor`)
      t.ok(grownMb < MAX_GROWTH_MB, `${kind}: ${grownMb} MB`)
      t.equal(count, OTHERS, `${kind}: other callers are served`)
      t.notOk(box.child.ended, `${kind}: the box lives`)
    }
  })
}
