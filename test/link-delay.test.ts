/** Transit times of messages on a link, from two clocks that are not synchronised. */
import t from "tap"
import {createLinkDelay, recordMessage, transitMs} from "../src/core/link-delay.js"

/** How far the sender's clock is behind the receiver's. */
const APART_MS = 1e6

/** Measured transit times of messages with the given delays, sent a second apart. */
function measure(ways: readonly number[], driftPerS = 0): number[] {
  let delay = createLinkDelay(0, -APART_MS + 2)
  return ways.map((way, i) => {
    const sentAt = 1_000 * i - APART_MS + 2
    const heardAt = 1_000 * i + 2 + way + driftPerS * i
    delay = recordMessage(delay, sentAt, heardAt)
    return Math.round(transitMs(delay, sentAt, heardAt))
  })
}

t.test("a delay is measured, however slowly it grows", async t => {
  t.same(
    measure([1, 1, 501, 1]),
    [3, 3, 503, 3],
    "exceeded at most by the transit time of the request"
  )
  const growing = Array.from({length: 20}, (_, i) => 1 + 75 * i)
  t.same(measure(growing).at(-1), 1_428)
})

t.test("a link that is slow from the first message on is measured as slow", async t => {
  t.same(measure([800, 800, 1]), [802, 802, 3])
})

t.test("a clock drift of 50 ppm for a day adds some milliseconds", async t => {
  const day = Array.from({length: 86_400}, () => 1)
  t.ok(Math.max(...measure(day, 0.05)) < 10)
  t.ok(Math.max(...measure(day, -0.05)) < 10)
})
