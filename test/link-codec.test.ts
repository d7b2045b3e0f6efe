/** Messages between boxes as bytes: small enough for narrow links, and nothing that a peer sends grows without bound. */
import {deflateRawSync} from "node:zlib"
import t from "tap"
import {packDeflated, packPlain, unpack} from "../src/adapters/link-codec.js"
import type {FromLeader} from "../src/types/box-messages.js"
import {createRandom, uniformFloat64} from "../src/utils/random.js"

const MOST_BYTES = 1 << 20

/** What a leader tells of so many engines, with so many places each, names drawn from a seed. */
function tellPlaces(engines: number, places: number): FromLeader {
  let random = createRandom(7)
  const draw = (below: number): number => {
    const [value, next] = uniformFloat64(random)
    random = next
    return Math.floor(value * below)
  }
  const name = (): string => draw(2 ** 31 - 1).toString(36)
  const changes = Array.from({length: engines}, () => ({
    engine: `i-${name()}${name()}~${name()}`,
    places: Array.from({length: places}, () => ({
      adapter: `model510000/a${draw(10_000)}`,
      version: 1,
      readyInMs: draw(2) * 250
    })),
    gone: [`model510000/a${draw(10_000)}`]
  }))
  return {t: "places", changes}
}

t.test("what boxes are told comes back as it was, either way", async t => {
  for (const message of [tellPlaces(0, 0), tellPlaces(42, 6)]) {
    t.same(unpack(packPlain(message), MOST_BYTES), message)
    t.same(unpack(packDeflated(message), MOST_BYTES), message)
  }
})

t.test("places take less than half of their bytes deflated", async t => {
  const picture = tellPlaces(42, 6)
  t.ok(packDeflated(picture).length < 0.4 * packPlain(picture).length)
  const change = tellPlaces(10, 2)
  t.ok(packDeflated(change).length < 0.55 * packPlain(change).length)
  const small = tellPlaces(1, 1)
  t.same(packDeflated(small), packPlain(small), "a small one is left as it is")
})

t.test("a message that would unfold past the limit is none", async t => {
  const bomb = Buffer.concat([
    Buffer.from([0xc1]),
    deflateRawSync(Buffer.alloc(64 << 20))
  ])
  t.throws(() => unpack(bomb, MOST_BYTES))
  t.throws(() => unpack(Buffer.from([0xc1, 1, 2, 3]), MOST_BYTES))
})
