/**
 * Callers can't speak the protocol between boxes. Guards against a caller that reports
 * where streams of others began, and against names that stop the reports of others.
 */
import t from "tap"
import type {BedBox} from "./support/platform-bed.js"
import {BASE_MODEL, beginStream, SLOW, startVersions, takeUp} from "./support/versions.js"

/** Longer than a box needs to find out which servers it reaches. */
const DETECTION_MS = 2_500

/** Longer than any name that boxes could be expected to pass on as it is. */
const LONG = 5_000

const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms))

t.test("a caller's header does not reach the protocol between boxes", async t => {
  const bed = await startVersions(["v1", "v2"], {
    boxes: 2,
    engine: SLOW,
    cuttable: true
  })
  t.teardown(() => bed.stop())
  const cutBox = bed.boxes.find(box => box !== bed.leader()) as BedBox
  const other = bed.boxes.find(box => box !== cutBox) as BedBox
  bed.cut(cutBox, [...bed.engines, ...bed.plain], "reset")
  void bed.call(cutBox, "/safe/x")
  await sleep(DETECTION_MS)
  const origin = {service: "engines", software: "v1", forMs: 60_000}
  const body = JSON.stringify({origins: [{request: "victim", ...origin}]})
  for (const header of ["sedge-streams", "sedge-carry", "sedge-probe"]) {
    const headers = {...BASE_MODEL, [header]: "tell"}
    const {status} = await bed.call(cutBox, "/stream/x", {headers, body})
    t.equal(status, 200, header)
  }
  t.equal((await takeUp(bed, other, "victim", "3")).status, 503)
})

t.test("a long name does not stop the streams of others", async t => {
  const bed = await startVersions(["v1", "v2"], {boxes: 5, engine: SLOW})
  t.teardown(() => bed.stop())
  const [first, second, ...others] = bed.boxes as [BedBox, BedBox, ...BedBox[]]
  const ids = Array.from({length: 9}, (_, i) => `other-${i}`)
  const long = beginStream(first, "z".repeat(LONG))
  const lasts = await Promise.all(ids.map(id => beginStream(first, id)))
  await long
  await first.child.end("SIGKILL")
  for (const box of others) await takeUp(bed, box, "y".repeat(LONG), "3")
  const outcomes = await Promise.all(
    ids.map((id, i) => takeUp(bed, second, id, lasts[i] as string))
  )
  const served = outcomes.filter(({status}) => status === 200).length
  t.ok(served * 2 >= ids.length, `${served} of ${ids.length}`)
})
