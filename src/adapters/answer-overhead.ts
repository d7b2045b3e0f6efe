/**
 * Limits the bytes of an answer that carry no content: heads, trailers, the extensions of
 * chunks, and any number of informational answers. `undici` limits only heads and trailers,
 * and parses all that it has read even then, with an error for each further header.
 */
import type {Socket} from "node:net"
import {AnswerOverheadTooLong} from "../errors.js"

/**
 * Bytes without content after which a connection is closed, once they have been parsed:
 * the longest head that Node.js accepts, and as much of informational answers before it.
 */
const MAX_OVERHEAD_BYTES = 32 << 10

/** Greatest number of bytes that are parsed at once. */
const PART_BYTES = 16 << 10

/**
 * Limit of `undici` for a head, in bytes. More than it ever parses without content, as it is
 * slow beyond its limit.
 */
export const MAX_HEADER_SIZE = MAX_OVERHEAD_BYTES + PART_BYTES

export interface Overhead {
  /** Bytes that were parsed since the last content. */
  bytes: number
  /** Whether the current answer is limited: its handler counts the content. */
  isLimited: boolean
}

const overheads = new WeakMap<Socket, Overhead>()

/** Returns the count of a connection. Undefined if `limitOverhead` was not called. */
export function overheadOf(socket: Socket): Overhead | undefined {
  return overheads.get(socket)
}

/**
 * Makes a connection of `undici` fail with `AnswerOverheadTooLong` if an answer goes on
 * without content. Holds for requests with an `AnswerControl`, which count their content.
 */
export function limitOverhead(socket: Socket): void {
  const overhead: Overhead = {bytes: 0, isLimited: false}
  overheads.set(socket, overhead)
  const read = socket.read.bind(socket)
  socket.read = (size?: number): unknown => {
    if (size !== undefined) return read(size) as unknown
    // `undici` reads on after it has closed a connection.
    if (socket.destroyed) return null
    const {readableLength} = socket
    if (
      overhead.isLimited &&
      overhead.bytes >= MAX_OVERHEAD_BYTES &&
      readableLength > 0
    ) {
      socket.destroy(new AnswerOverheadTooLong(`${MAX_OVERHEAD_BYTES} bytes`))
      return null
    }
    const part = read(
      readableLength > PART_BYTES ? PART_BYTES : undefined
    ) as Buffer | null
    if (part) overhead.bytes += part.length
    return part
  }
}
