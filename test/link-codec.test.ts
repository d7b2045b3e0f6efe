/** Encoding of messages between boxes: compact, and with bounded size when inflated. */
import {deflateRawSync} from "node:zlib"
import t from "tap"
import {packDeflated, packPlain, unpack} from "../src/adapters/link-codec.js"
import type {FromLeader} from "../src/types/box-messages.js"
import {createRandom, uniformFloat64} from "../src/utils/random.js"

const MAX_BYTES = 1 << 20

/**
 * Returns an update of `engines` engines with `slots` slots each, with names from a fixed
 * seed.
 */
function createSlotUpdate(engines: number, slots: number): FromLeader {
  let random = createRandom(7)
  const draw = (below: number): number => {
    const [value, next] = uniformFloat64(random)
    random = next
    return Math.floor(value * below)
  }
  const name = (): string => draw(2 ** 31 - 1).toString(36)
  const changes = Array.from({length: engines}, () => ({
    engine: `i-${name()}${name()}~${name()}`,
    places: Array.from({length: slots}, () => ({
      adapter: `model510000/a${draw(10_000)}`,
      version: 1,
      readyInMs: draw(2) * 250
    })),
    gone: [`model510000/a${draw(10_000)}`]
  }))
  return {t: "places", changes}
}

t.test("messages survive packing, plain and deflated", async t => {
  for (const message of [createSlotUpdate(0, 0), createSlotUpdate(42, 6)]) {
    t.same(unpack(packPlain(message), MAX_BYTES), message)
    t.same(unpack(packDeflated(message), MAX_BYTES), message)
  }
})

t.test("deflated slot updates are much smaller", async t => {
  const snapshot = createSlotUpdate(42, 6)
  t.ok(packDeflated(snapshot).length < 0.4 * packPlain(snapshot).length)
  const delta = createSlotUpdate(10, 2)
  t.ok(packDeflated(delta).length < 0.55 * packPlain(delta).length)
  const small = createSlotUpdate(1, 1)
  t.same(packDeflated(small), packPlain(small), "a small message is not deflated")
})

t.test("a message that would inflate past the limit is rejected", async t => {
  const bomb = Buffer.concat([
    Buffer.from([0xc1]),
    deflateRawSync(Buffer.alloc(64 << 20))
  ])
  t.throws(() => unpack(bomb, MAX_BYTES))
  t.throws(() => unpack(Buffer.from([0xc1, 1, 2, 3]), MAX_BYTES))
})
