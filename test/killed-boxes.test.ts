/**
 * All boxes are killed at once and come back, while streams of one software version run
 * and another version takes over. Nobody remembers then where the streams began.
 *
 * Guards against streams that were taken up afterwards and joined the text of two
 * versions, as boxes took their own first list of servers for all that ever served.
 */
import {setTimeout as sleep} from "node:timers/promises"
import t from "tap"
import {
  type BedBox,
  type BedOptions,
  type Outcome,
  PlatformBed
} from "./support/platform-bed.js"
import {
  BASE_MODEL,
  openStream,
  SETTLING_MS,
  SLOW,
  startVersions,
  takeUp
} from "./support/versions.js"

/** Time that the first caller of each stream allows. */
const CALLER_MS = 4_000

/** Twice the time limit of the routes: how long a stream that is taken up may be old. */
const HISTORY_MS = 8_000

const BOXES = 3
const STREAMS = 6

interface Begun {
  readonly id: string
  readonly last: string
}

/** Begins streams at all boxes and kills these at once, `kills` times in a row. */
async function killAll(bed: PlatformBed, kills = 1): Promise<Begun[]> {
  const boxes = bed.boxes as BedBox[]
  const ids = Array.from({length: STREAMS}, (_, index) => `begun-${index}`)
  const begun = Promise.all(
    ids.map((id, i) => openStream(boxes[i % boxes.length] as BedBox, id))
  )
  const [streams] = await Promise.all([begun, sleep(400)])
  for (let i = 0; i < kills; i++) {
    await Promise.all(boxes.map(({child}) => child.end("SIGKILL")))
    if (i === kills - 1) break
    for (const box of boxes) bed.restartBox(box)
    await sleep(300)
  }
  return Promise.all(streams.map(async ({id, last}) => ({id, last: await last})))
}

/** Takes a stream up, with the name of its begin or without. */
function goOn(
  bed: PlatformBed,
  box: BedBox,
  {id, last}: Begun,
  isNamed: boolean
): Promise<Outcome> {
  if (isNamed) return takeUp(bed, box, id, last)
  return bed.call(box, "/stream/x", {headers: {...BASE_MODEL, "last-event-id": last}})
}

/** Software versions that ran any of these requests. */
function versionsOf(bed: PlatformBed, ids: readonly string[]): string[] {
  const runs = bed.judge.runs.filter(({id}) => ids.includes(id))
  return [...new Set(runs.map(({software}) => software ?? ""))]
}

/** Takes the streams up for as long as their callers would. Returns the outcomes. */
async function goOnWhileCallersWait(
  bed: PlatformBed,
  streams: readonly Begun[]
): Promise<(Outcome & {readonly begun: string; readonly isNamed: boolean})[]> {
  const boxes = bed.boxes as BedBox[]
  const outcomes: Promise<Outcome & {begun: string; isNamed: boolean}>[] = []
  let round = 0
  for (const end = performance.now() + CALLER_MS; performance.now() < end; round++) {
    for (const [i, stream] of streams.entries()) {
      const isNamed = (i + round) % 2 === 1
      const box = boxes[(i + round) % boxes.length] as BedBox
      const going = goOn(bed, box, stream, isNamed)
      outcomes.push(going.then(outcome => ({...outcome, begun: stream.id, isNamed})))
    }
    await sleep(200)
  }
  return Promise.all(outcomes)
}

const wentOn = ({status, broken}: Outcome): boolean => status === 200 && !broken

function startBed(
  versions: readonly string[],
  options: BedOptions = {}
): Promise<PlatformBed> {
  return startVersions(versions, {boxes: BOXES, engine: SLOW, ...options})
}

t.jobs = 3

for (const kills of [1, 3]) {
  t.test(`the old version leaves meanwhile, ${kills} kills`, async t => {
    const bed = await startBed(["v1"])
    t.teardown(() => bed.stop())
    const streams = await killAll(bed, kills)
    await bed.addEngine(1, {version: "v2"})
    bed.engines[0]?.stop()
    for (const box of bed.boxes) bed.restartBox(box)
    const outcomes = await goOnWhileCallersWait(bed, streams)
    for (const isNamed of [false, true]) {
      const joined = outcomes.filter(
        ({begun, id, ...outcome}) =>
          outcome.isNamed === isNamed && versionsOf(bed, [begun, id]).length > 1
      )
      t.equal(joined.length, 0, isNamed ? "named" : "unnamed")
    }
  })
}

t.test("two versions serve before and afterwards", async t => {
  const bed = await startBed(["v1", "v2"])
  t.teardown(() => bed.stop())
  const streams = await killAll(bed)
  for (const box of bed.boxes) bed.restartBox(box)
  const outcomes = await goOnWhileCallersWait(bed, streams)
  const joined = outcomes.filter(({begun, id}) => versionsOf(bed, [begun, id]).length > 1)
  t.equal(joined.length, 0)
})

// Guards against refusing every stream after a loss of all boxes.
t.test("streams go on at once if the service has run one version only", async t => {
  const bed = await startBed(["v1", "v1"])
  t.teardown(() => bed.stop())
  await sleep(HISTORY_MS)
  const streams = await killAll(bed)
  for (const box of bed.boxes) bed.restartBox(box)
  await bed.ready()
  await sleep(SETTLING_MS)
  const outcomes = await Promise.all(
    streams.map((stream, i) =>
      goOn(bed, bed.boxes[i % BOXES] as BedBox, stream, i % 2 === 1)
    )
  )
  for (const kind of [0, 1]) {
    const ofKind = outcomes.filter((_, i) => i % 2 === kind)
    const count = ofKind.filter(wentOn).length
    const name = kind === 1 ? "named" : "unnamed"
    t.ok(count * 2 >= ofKind.length, `${count} of ${ofKind.length} ${name} went on`)
  }
})
