/**
 * Encodes messages of links between boxes. A leader's messages repeat names of engines
 * and adapters. Deflate shrinks a delta of some ten engines to 0.45 of its bytes, and a
 * full snapshot of 42 engines to 0.3 (random names), for 0.1 ms of processor time a
 * message, which is packed once for all boxes. Many boxes have little bandwidth, and a
 * leader whose link is saturated loses its lease.
 */
import {deflateRawSync, inflateRawSync} from "node:zlib"
import {Packr} from "msgpackr"

/**
 * First byte of a deflated message. No `msgpackr` message begins with it, and older boxes
 * reject it.
 */
const DEFLATED = 0xc1

/**
 * Shorter messages are not deflated: they would gain less than the size of a packet's
 * headers.
 */
const MIN_DEFLATED_BYTES = 400

const packr = new Packr({structuredClone: false})

/** Packs a message in the format that every box reads. */
export function packPlain(message: object): Buffer {
  return packr.pack(message)
}

/** Packs a message for boxes that announced support for deflated messages. */
export function packDeflated(message: object): Buffer {
  const plain = packPlain(message)
  if (plain.length < MIN_DEFLATED_BYTES) return plain
  return Buffer.concat([Buffer.from([DEFLATED]), deflateRawSync(plain, {level: 1})])
}

/** A message for several boxes. It is packed at most once in each format. */
export class SharedMessage {
  private plain_: Buffer | undefined
  private deflated_: Buffer | undefined

  constructor(private readonly message_: object) {}

  /** Packs the message, `deflated` for boxes that announced support for it. */
  pack(deflated: boolean): Buffer {
    if (deflated) return (this.deflated_ ??= packDeflated(this.message_))
    return (this.plain_ ??= packPlain(this.message_))
  }
}

/**
 * Unpacks a plain or deflated message. Throws if it is invalid or inflates to more than
 * `maxBytes`.
 */
export function unpack(data: Buffer, maxBytes: number): unknown {
  if (data[0] !== DEFLATED) return packr.unpack(data)
  return packr.unpack(inflateRawSync(data.subarray(1), {maxOutputLength: maxBytes}))
}
