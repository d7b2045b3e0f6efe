/** How long messages of a link were on their way, from two clocks that have nothing in common. */
import t from "tap"
import {createLinkDelay, noteMessage, onWayMs} from "../src/core/link-delay.js"

/** The sender's clock stands so much before the receiver's, milliseconds. */
const APART_MS = 1e6

/** Messages that each spent so long on their way, a second after each other; what is found of each. */
function measure(ways: readonly number[], driftPerS = 0): number[] {
  let delay = createLinkDelay(0, -APART_MS + 2)
  return ways.map((way, i) => {
    const sentAt = 1_000 * i - APART_MS + 2
    const heardAt = 1_000 * i + 2 + way + driftPerS * i
    delay = noteMessage(delay, sentAt, heardAt)
    return Math.round(onWayMs(delay, sentAt, heardAt))
  })
}

t.test("what lies on the way is told, however slowly it grows", async t => {
  t.same(
    measure([1, 1, 501, 1]),
    [3, 3, 503, 3],
    "at most by the way of the question more"
  )
  const growing = Array.from({length: 20}, (_, i) => 1 + 75 * i)
  t.same(measure(growing).at(-1), 1_428)
})

t.test("a link that is slow from the first message on tells so", async t => {
  t.same(measure([800, 800, 1]), [802, 802, 3])
})

t.test("clocks that part by 50 millionths for a day add some milliseconds", async t => {
  const day = Array.from({length: 86_400}, () => 1)
  t.ok(Math.max(...measure(day, 0.05)) < 10)
  t.ok(Math.max(...measure(day, -0.05)) < 10)
})
