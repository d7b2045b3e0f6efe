/**
 * The judge of first tries at boxes that are cut off from all servers: it reports boxes
 * that serve less than the others at the same time, and only those.
 */
import t from "tap"
import type {Outcome} from "./support/platform-bed.js"
import {judgeCuts} from "./support/soak-judge-cuts.js"
import {SoakRecord} from "./support/soak-record.js"

/** First tries in one second: served ones and all, at cut boxes and at the others. */
type Second = readonly [cut: readonly [number, number], others: readonly [number, number]]

/** Returns a record of cuts that began long ago, with these calls. */
function createRecord(seconds: readonly Second[]): SoakRecord {
  const record = new SoakRecord()
  record.cuts.push({boxes: ["cut"], isFromAll: true, from: -10_000, to: Infinity})
  seconds.forEach(([cut, others], second) => {
    addCalls(record, "cut", cut, second)
    addCalls(record, "other", others, second)
  })
  return record
}

function addCalls(
  record: SoakRecord,
  box: string,
  [served, all]: readonly [number, number],
  second: number
): void {
  for (let i = 0; i < all; i++) {
    const outcome = {status: i < served ? 200 : 503, broken: false} as Outcome
    record.calls.push({kind: "safe", box, outcome, sentAt: second * 1_000 + i})
  }
}

// Soak seed 99004: after a restore all boxes refused keys for ten seconds. The cut boxes
// were struck by another fault once that was over, and first tries only counted elsewhere.
t.test("a refusal by all boxes is no fault of the cut ones", async t => {
  const record = createRecord([
    [
      [0, 8],
      [0, 4]
    ],
    [
      [0, 13],
      [0, 20]
    ],
    [
      [0, 0],
      [42, 48]
    ],
    [
      [12, 15],
      [32, 40]
    ]
  ])
  t.same(judgeCuts(record), [])
})

t.test("cut boxes that serve less than the others at the time are reported", async t => {
  const fault = createRecord([
    [
      [0, 20],
      [0, 20]
    ],
    [
      [4, 20],
      [19, 20]
    ]
  ])
  t.equal(judgeCuts(fault).length, 1)
  const hidden = createRecord([
    [
      [0, 15],
      [15, 15]
    ],
    [
      [0, 0],
      [0, 60]
    ]
  ])
  t.equal(judgeCuts(hidden).length, 1, "a dark time of the others excuses nothing")
})

t.test("without others at the time, the cut boxes are held to all others", async t => {
  const record = createRecord([
    [
      [0, 20],
      [0, 0]
    ],
    [
      [0, 0],
      [20, 20]
    ]
  ])
  t.equal(judgeCuts(record).length, 1)
})
