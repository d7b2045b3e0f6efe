/** When an answer is late, by how long answers have taken lately. */
import t from "tap"
import {AnswerTimes} from "../src/core/answer-times.js"

const LEAST_MS = 150
const MOST_MS = 1_000
const SECOND_MS = 1_000

/** Records answers that take `ms` each, one a second. Returns the time of the last. */
function record(times: AnswerTimes, ms: number, count: number, from: number): number {
  for (let i = 1; i <= count; i++) times.record(ms, from + i * SECOND_MS)
  return from + count * SECOND_MS
}

t.test("answers in time leave the limit as it is", async t => {
  const times = new AnswerTimes(LEAST_MS, MOST_MS)
  t.equal(times.lateAfterMs(0), LEAST_MS)
  const now = record(times, 10, 20, 0)
  t.equal(times.lateAfterMs(now), LEAST_MS)
  t.equal(times.slowness(now), 1)
})

t.test("the limit follows slow answers, within bounds, and back", async t => {
  const times = new AnswerTimes(LEAST_MS, MOST_MS)
  let now = record(times, 600, 3, 0)
  t.ok(times.lateAfterMs(now) > 600)
  t.ok(times.lateAfterMs(now) <= MOST_MS)
  now = record(times, 5_000, 3, now)
  t.equal(times.lateAfterMs(now), MOST_MS)
  now = record(times, 10, 40, now)
  t.equal(times.lateAfterMs(now), LEAST_MS)
})

// A box that has a leader makes no calls. When it needs the store again, a connection that
// went silent must be found out as soon as ever.
t.test("slow answers of long ago don't count", async t => {
  const times = new AnswerTimes(LEAST_MS, MOST_MS)
  const now = record(times, 900, 3, 0)
  t.equal(times.lateAfterMs(now + 60 * SECOND_MS), LEAST_MS)
  times.record(10, now + 61 * SECOND_MS)
  t.equal(times.lateAfterMs(now + 61 * SECOND_MS), LEAST_MS)
})
