/**
 * The age that a box assumes for a version when messages from its leader are delayed.
 *
 * Ages of versions count from the last store read without the version. A ping carries the
 * age of that read at the time of sending. A box that ignores how long the ping was
 * delayed assumes that the version is younger than it is.
 */
import t from "tap"
import {FaultProxy} from "./support/fault-proxy.js"
import {type BedBox, PlatformBed} from "./support/platform-bed.js"
import {until} from "./support/wait.js"

/** Final delay of each message on the link; it is raised by `STEP_MS` at a time. */
const DELAY_MS = 1_500
const STEP_MS = 300

/** Number of the log event of an established link to the leader. */
const LINK_EVENT = 182

/** Number of the log event of received versions. */
const VERSIONS_EVENT = 211

interface VersionsLine {
  readonly time: number
  readonly event: number
  readonly versions: string
  readonly ageMs: number
}

/** Length of a process pause. Too short for a box to read the store itself. */
const PAUSE_MS = 700

/** Time from the start of a process pause until the version is announced. */
const ANNOUNCED_AFTER_MS = 100

/**
 * Several, because the age in the leader's ping during a process pause varies by chance.
 */
const PAUSES = 10

/** Most that the time of day may step against the steady clock within a measurement. */
const MAX_STEP_MS = 20

/** Most repetitions of measurements that a step of the time of day makes void. */
const MAX_REPETITIONS = 5

const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms))

/** Adds a second box that is linked to the first one through a proxy. */
async function followThroughProxy(
  bed: PlatformBed
): Promise<{readonly box: BedBox; readonly proxy: FaultProxy}> {
  const record = JSON.parse(bed.store.read("sedge/leader") ?? "{}") as {address: string}
  const proxy = await FaultProxy.start(Number(record.address.split(":")[1]))
  bed.store.write("sedge/leader", {...record, address: `127.0.0.1:${proxy.port}`})
  const box = await bed.addBox()
  await until("the link is up", () => box.child.output.includes(`"event":${LINK_EVENT}`))
  await until("the box is ready", () => bed.isReady(box))
  return {box, proxy}
}

/**
 * Returns the offset of the time of day from the steady clock. Logs contain the time of
 * day, which a machine may set at any time.
 */
function timeOfDayOffset(): number {
  return Date.now() - performance.now()
}

interface Measurement {
  readonly receivedAfterMs: number
  readonly ageMs: number
}

/**
 * Announces a version of an adapter, and measures when the box receives it and which age
 * it logs. Undefined if the time of day stepped meanwhile.
 */
async function measure(
  box: BedBox,
  adapter: string,
  announce: () => Promise<void>
): Promise<Measurement | undefined> {
  const offset = timeOfDayOffset()
  const announcedAt = Date.now()
  await announce()
  const version = `${adapter}@2`
  await until("the box receives it", () => findLine(box, version) !== undefined)
  const {time, ageMs} = findLine(box, version) as VersionsLine
  if (Math.abs(timeOfDayOffset() - offset) > MAX_STEP_MS) return undefined
  return {receivedAfterMs: time - announcedAt, ageMs}
}

function findLine({child}: BedBox, version: string): VersionsLine | undefined {
  return child.output
    .split("\n")
    .filter(line => line.includes(version))
    .map(line => JSON.parse(line) as VersionsLine)
    .find(({event}) => event === VERSIONS_EVENT)
}

t.test("the link delay of a message counts towards a version's age", async t => {
  const bed = await PlatformBed.start({boxes: 1, engines: 1})
  t.teardown(() => bed.stop())
  const {box, proxy} = await followThroughProxy(bed)
  t.teardown(() => proxy.close())
  // Raised in steps, as on a link whose queue grows, so that neither end misses a
  // message.
  for (let delayMs = STEP_MS; delayMs <= DELAY_MS; delayMs += STEP_MS) {
    proxy.setFaults({delayMs})
    await sleep(2 * STEP_MS)
  }
  let measurement: Measurement | undefined
  for (let i = 1; !measurement && i <= MAX_REPETITIONS; i++) {
    measurement = await measure(box, `a${i}`, async () =>
      bed.publishAdapterVersion(`a${i}`, 2)
    )
  }
  if (!measurement) return t.fail("the time of day stepped in every measurement")
  const {receivedAfterMs, ageMs} = measurement
  t.ok(
    ageMs >= receivedAfterMs,
    `announced ${receivedAfterMs} ms before, but logged age ${ageMs} ms`
  )
})

t.test("the wait of a message during a process pause counts towards the age", async t => {
  const bed = await PlatformBed.start({boxes: 2, engines: 1})
  t.teardown(() => bed.stop())
  const paused = bed.boxes.find(box => box !== bed.leader()) as BedBox
  const tooLow: string[] = []
  let measurements = 0
  for (let i = 1; measurements < PAUSES; i++) {
    if (i > PAUSES + MAX_REPETITIONS) return t.fail("the time of day stepped too often")
    await sleep(PAUSE_MS)
    paused.child.signal("SIGSTOP")
    await sleep(ANNOUNCED_AFTER_MS)
    const measurement = await measure(paused, `a${i}`, async () => {
      bed.publishAdapterVersion(`a${i}`, 2)
      await sleep(PAUSE_MS - ANNOUNCED_AFTER_MS)
      paused.child.signal("SIGCONT")
    })
    if (!measurement) continue
    measurements++
    const {receivedAfterMs, ageMs} = measurement
    if (ageMs < receivedAfterMs)
      tooLow.push(`${receivedAfterMs} ms, logged age ${ageMs} ms`)
  }
  t.same(tooLow, [])
})
