/**
 * A request that another box sends keeps its promises on both hops. Guards against a
 * second run of a request whose hop was lost, "not run" where it may have run, work that
 * goes on after its caller left, and waits for servers that no box reaches.
 */
import {request as httpRequest} from "node:http"
import {mkdtempSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import t from "tap"
import {Child} from "./support/child.js"
import {passIfKnownRed} from "./support/known-red.js"
import {type BedBox, type BedOptions, PlatformBed} from "./support/platform-bed.js"
import {until} from "./support/wait.js"
import {wholeStream} from "./support/whole-stream.js"

/** Longer than a box needs to find out which servers it reaches. */
const DETECTION_MS = 2_500

/**
 * Interval of the calls by which a box finds that out. A single one may come before the
 * box applies the cut.
 */
const DETECTION_CALL_MS = 100

/** Longest time of a refusal if no box reaches a server. */
const REFUSAL_MS = 1_000

const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms))

interface CutBed {
  readonly bed: PlatformBed
  readonly cutBox: BedBox
  readonly other: BedBox
}

/** Starts two boxes, of which the one that does not lead is cut off from all servers. */
async function startCut(options: BedOptions = {}): Promise<CutBed> {
  const bed = await PlatformBed.start({boxes: 2, cuttable: true, ...options})
  const other = bed.leader() as BedBox
  const cutBox = bed.boxes.find(box => box !== other) as BedBox
  await bed.call(cutBox, "/stream/x", {adapter: "a1"})
  await bed.call(cutBox, "/safe/x")
  bed.cut(cutBox, [...bed.engines, ...bed.plain], "reset")
  await callUntilDetected(bed, cutBox)
  return {bed, cutBox, other}
}

async function callUntilDetected(bed: PlatformBed, box: BedBox): Promise<void> {
  for (let ms = 0; ms < DETECTION_MS; ms += DETECTION_CALL_MS) {
    void bed.call(box, "/safe/x")
    await sleep(DETECTION_CALL_MS)
  }
}

t.test("streams, plain requests, versions and explanations over both boxes", async t => {
  const {bed, cutBox, other} = await startCut()
  t.teardown(() => bed.stop())
  const stream = await bed.call(cutBox, "/stream/x", {adapter: "a1"})
  t.match(stream, {status: 200, body: wholeStream(stream.id)})
  const plain = await bed.call(cutBox, "/unsafe/x", {body: "{}"})
  t.match(plain, {status: 200, body: `plain:${plain.id}:{}`})
  t.equal(bed.judge.runsOf(plain.id).length, 1)

  bed.publishAdapterVersion("a1", 2)
  await until("the new version", async () => {
    const {id} = await bed.call(cutBox, "/stream/x", {adapter: "a1"})
    return bed.judge.runsOf(id).some(run => run.version === 2)
  })

  await until("both boxes have logged the request", () =>
    new RegExp(`"event":241[^\\n]*"request":"${plain.id}"`).test(bed.logs())
  )
  const file = join(mkdtempSync(join(tmpdir(), "sedge-logs-")), "boxes.log")
  writeFileSync(file, bed.logs())
  const child = new Child("src/bin/sedgectl.js", ["explain", plain.id, "--logs", file])
  await until("sedgectl ends", () => child.ended)
  t.match(child.output, "answered completely")
  t.match(child.output, `${cutBox.name}\t`)
  t.match(child.output, new RegExp(`${other.name}\t.*on behalf of ${cutBox.name}`))
  t.match(child.output, /through the box at/)
  t.same(bed.judge.violations, [])
})

t.test("a caller that leaves ends the run at the server", async t => {
  const {bed, cutBox} = await startCut({engine: {events: 200, gapMs: 20}})
  t.teardown(() => bed.stop())
  const id = "caller-leaves"
  const call = httpRequest(`http://${cutBox.callers}/stream/x`, {
    method: "POST",
    headers: {
      host: "callers.example",
      "x-request-id": id,
      "x-request-deadline": "8000",
      "x-token-usage": "100,20",
      "x-model-id": "base/a1"
    }
  })
  call.on("error", () => undefined)
  call.end()
  const events = new Promise(resolve =>
    call.on("response", res => res.once("data", resolve))
  )
  await events
  call.destroy()
  await sleep(500)
  t.match(bed.judge.runsOf(id), [{ended: "cut"}])
})

t.test(
  "a request whose hop is lost is not run again, nor reported as not run",
  async t => {
    const {bed, cutBox, other} = await startCut()
    t.teardown(() => bed.stop())
    for (const worker of bed.plain) worker.faults = {slowMs: 1_500}
    const pending = bed.call(cutBox, "/unsafe/x", {body: "{}"})
    await sleep(400)
    other.child.signal("SIGKILL")
    const {id, status} = await pending
    t.equal(bed.judge.runsOf(id).length, 1)
    t.equal(status, 502, "it may have run")
  }
)

t.test("a request that no box can send is refused soon, and has not run", async t => {
  const {bed, cutBox, other} = await startCut()
  t.teardown(() => bed.stop())
  bed.cut(other, [...bed.engines, ...bed.plain], "reset")
  await callUntilDetected(bed, other)
  for (const box of [cutBox, other]) {
    const sentAt = performance.now()
    const {id, status, headers} = await bed.call(box, "/unsafe/x", {body: "{}"})
    t.equal(status, 503)
    t.ok(headers["retry-after"])
    t.ok(performance.now() - sentAt < REFUSAL_MS, `${performance.now() - sentAt} ms`)
    t.equal(bed.judge.runsOf(id).length, 0)
  }
})

t.test("one service cut off, and links that flap", async t => {
  if (passIfKnownRed("carried-requests 5")) return
  const bed = await PlatformBed.start({boxes: 2, cuttable: true})
  t.teardown(() => bed.stop())
  const [box] = bed.boxes as [BedBox]
  await bed.call(box, "/stream/x", {adapter: "a1"})
  bed.cut(box, bed.plain, "hang")
  await callUntilDetected(bed, box)
  const outcomes = await Promise.all(
    Array.from({length: 10}, (_, i) =>
      i % 2 === 0
        ? bed.call(box, "/unsafe/x", {body: "{}"})
        : bed.call(box, "/stream/x", {adapter: "a1"})
    )
  )
  t.same(
    outcomes.map(({status}) => status),
    outcomes.map(() => 200)
  )
  const calls = []
  for (let i = 0; i < 60; i++) {
    if (i % 10 === 0) bed.cut(box, [...bed.plain, ...bed.engines], "refuse-new")
    if (i % 10 === 5) bed.heal(box)
    calls.push(bed.call(box, "/safe/x"))
    await sleep(50)
  }
  const flapped = await Promise.all(calls)
  t.ok(flapped.filter(({status}) => status === 200).length >= 50)
  for (const {id, status} of [...outcomes, ...flapped]) {
    if (status === 503) t.equal(bed.judge.runsOf(id).length, 0)
  }
})
