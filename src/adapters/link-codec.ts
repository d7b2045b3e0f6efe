/**
 * Messages of links between boxes as bytes. What a leader tells many boxes repeats names of engines and
 * adapters: deflated it takes 0.45 of the bytes for what some ten engines changed and 0.3 for all that 42
 * engines hold (random names), at 0.1 ms of processor a message, which is packed once for all boxes. Many
 * boxes have narrow links, and a leader whose link is full loses its lease.
 */
import {deflateRawSync, inflateRawSync} from "node:zlib"
import {Packr} from "msgpackr"

/** Marks a deflated message: no message of the codec begins with it, and older boxes refuse it. */
const DEFLATED = 0xc1

/** A shorter message gains less than a packet's headers cost, bytes. */
const SHORTEST_BYTES = 400

const packr = new Packr({structuredClone: false})

/** Packs a message as every box reads it. */
export function packPlain(message: object): Buffer {
  return packr.pack(message)
}

/** Packs a message for boxes that said that they read deflated ones. */
export function packDeflated(message: object): Buffer {
  const plain = packPlain(message)
  if (plain.length < SHORTEST_BYTES) return plain
  return Buffer.concat([Buffer.from([DEFLATED]), deflateRawSync(plain, {level: 1})])
}

/** Unpacks either; throws where it is none, or would take more than so many bytes. */
export function unpack(data: Buffer, mostBytes: number): unknown {
  if (data[0] !== DEFLATED) return packr.unpack(data)
  return packr.unpack(inflateRawSync(data.subarray(1), {maxOutputLength: mostBytes}))
}
