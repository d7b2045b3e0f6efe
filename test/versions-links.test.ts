/**
 * How old a version is that a box hears of, where its leader's messages lie on the link.
 *
 * The incident of versions: all times count from the last reading of the store without the version. A
 * ping says how old that reading was as the ping was sent; what the ping then spends on its way, the box
 * takes for newer knowledge than it has. Found by a review; no played day has shown it.
 */
import t from "tap"
import {FaultProxy} from "./support/fault-proxy.js"
import {type BedBox, PlatformBed} from "./support/platform-bed.js"
import {until} from "./support/wait.js"

/** What each message spends on the link, milliseconds. */
const DELAY_MS = 1_500
const STEP_MS = 300

/** Numbers of log lines: the link to the leader is up, versions were heard of. */
const LINKED = 182
const VERSIONS_NAMED = 211

interface HeardLine {
  readonly time: number
  readonly event: number
  readonly versions: string
  readonly ageMs: number
}

/** A standstill that is too short for a box to read the store itself, and in it the naming, milliseconds. */
const STILL_MS = 700
const NAMED_AFTER_MS = 100

/** By chance a leader's ping in each standstill tells older or newer news. */
const STANDSTILLS = 10

/** The time of day may step by so much against the steady clock within a measurement, milliseconds. */
const MOST_STEP_MS = 20

/** A measurement in which the time of day stepped says nothing of the box; it is made again, so often at most. */
const MOST_AGAIN = 5

const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms))

/** A second box, linked to the first one through a proxy. */
async function followThroughProxy(
  bed: PlatformBed
): Promise<{readonly box: BedBox; readonly proxy: FaultProxy}> {
  const record = JSON.parse(bed.store.read("sedge/leader") ?? "{}") as {address: string}
  const proxy = await FaultProxy.start(Number(record.address.split(":")[1]))
  bed.store.write("sedge/leader", {...record, address: `127.0.0.1:${proxy.port}`})
  const box = await bed.addBox()
  await until("the link is up", () => box.child.output.includes(`"event":${LINKED}`))
  await until("it is ready", () => bed.isReady(box))
  return {box, proxy}
}

/** How the time of day stands to the steady clock: logs tell the first, which a machine may set at any time. */
function timeOfDayOffset(): number {
  return Date.now() - performance.now()
}

interface Measured {
  readonly lateMs: number
  readonly ageMs: number
}

/** Has a version of an adapter named, and measures what the box that hears of it tells of its age. */
async function measure(
  box: BedBox,
  adapter: string,
  name: () => Promise<void>
): Promise<Measured | undefined> {
  const offset = timeOfDayOffset()
  const namedAt = Date.now()
  await name()
  const named = `${adapter}@2`
  await until("it hears of it", () => findHeard(box, named) !== undefined)
  const {time, ageMs} = findHeard(box, named) as HeardLine
  if (Math.abs(timeOfDayOffset() - offset) > MOST_STEP_MS) return undefined
  return {lateMs: time - namedAt, ageMs}
}

function findHeard({child}: BedBox, named: string): HeardLine | undefined {
  return child.output
    .split("\n")
    .filter(line => line.includes(named))
    .map(line => JSON.parse(line) as HeardLine)
    .find(({event}) => event === VERSIONS_NAMED)
}

t.test("what a message spent on its way counts for a version's age", async t => {
  const bed = await PlatformBed.start({boxes: 1, engines: 1})
  t.teardown(() => bed.stop())
  const {box, proxy} = await followThroughProxy(bed)
  t.teardown(() => proxy.close())
  // Little by little, as on a link whose queue grows: neither end misses a message.
  for (let delayMs = STEP_MS; delayMs <= DELAY_MS; delayMs += STEP_MS) {
    proxy.setFaults({delayMs})
    await sleep(2 * STEP_MS)
  }
  let measured: Measured | undefined
  for (let i = 1; !measured && i <= MOST_AGAIN; i++) {
    measured = await measure(box, `a${i}`, async () =>
      bed.publishAdapterVersion(`a${i}`, 2)
    )
  }
  if (!measured) return t.fail("the time of day stepped in every measurement")
  const {lateMs, ageMs} = measured
  t.ok(ageMs >= lateMs, `named ${lateMs} ms before, at most ${ageMs} by its own count`)
})

t.test("what a message waited at a box that stood still counts for it", async t => {
  const bed = await PlatformBed.start({boxes: 2, engines: 1})
  t.teardown(() => bed.stop())
  const frozen = bed.boxes.find(box => box !== bed.leader()) as BedBox
  const short: string[] = []
  let measurements = 0
  for (let i = 1; measurements < STANDSTILLS; i++) {
    if (i > STANDSTILLS + MOST_AGAIN) return t.fail("the time of day stepped too often")
    await sleep(STILL_MS)
    frozen.child.signal("SIGSTOP")
    await sleep(NAMED_AFTER_MS)
    const measured = await measure(frozen, `a${i}`, async () => {
      bed.publishAdapterVersion(`a${i}`, 2)
      await sleep(STILL_MS - NAMED_AFTER_MS)
      frozen.child.signal("SIGCONT")
    })
    if (!measured) continue
    measurements++
    const {lateMs, ageMs} = measured
    if (ageMs < lateMs) short.push(`${lateMs} ms, at most ${ageMs}`)
  }
  t.same(short, [])
})
