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

/**
 * Lines of them after which it is closed. `undici` keeps two objects for each header until
 * the connection is closed, however short the line is.
 */
const MAX_OVERHEAD_LINES = 1_000

/** Greatest number of bytes that are parsed at once. */
const PART_BYTES = 16 << 10

/** The same where no content is expected. */
const OVERHEAD_PART_BYTES = 4 << 10

const LINE_FEED = 0x0a

/**
 * Limit of `undici` for a head, in bytes. More than it ever parses without content, as it is
 * slow beyond its limit.
 */
export const MAX_HEADER_SIZE = MAX_OVERHEAD_BYTES + PART_BYTES

export interface Overhead {
  /** Bytes that were parsed since the last content. */
  bytes: number
  /** Lines among them, without those of `part`. */
  lines: number
  /** The last part that was parsed, until its lines are counted. */
  part: Buffer | undefined
  /** Whether most of the last part was content. */
  hasContent: boolean
  /** Whether the current answer is limited: its handler counts the content. */
  isLimited: boolean
}

const overheads = new WeakMap<Socket, Overhead>()

/** Returns the count of a connection. Undefined if `limitOverhead` was not called. */
export function overheadOf(socket: Socket): Overhead | undefined {
  return overheads.get(socket)
}

/** Starts the count of a request's answer. */
export function startOverhead(overhead: Overhead, isLimited: boolean): void {
  Object.assign(overhead, createOverhead(), {isLimited})
}

/**
 * Counts the final head or data of an answer as content. Called while its part is parsed.
 * What follows the data in this part is none.
 */
export function recordContent(overhead: Overhead, data?: Buffer): void {
  overhead.lines = 0
  overhead.bytes = data ? countBytesAfter(data, overhead.part) : 0
}

/**
 * Makes a connection of `undici` fail with `AnswerOverheadTooLong` if an answer goes on
 * without content. Holds for requests with an `AnswerControl`, which count their content.
 */
export function limitOverhead(socket: Socket): void {
  const overhead = createOverhead()
  overheads.set(socket, overhead)
  const read = socket.read.bind(socket)
  socket.read = (size?: number): unknown => {
    if (size !== undefined) return read(size) as unknown
    // `undici` reads on after it has closed a connection.
    if (socket.destroyed) return null
    countPart(overhead)
    const {readableLength} = socket
    const exceeded = findExceeded(overhead)
    if (exceeded !== undefined && readableLength > 0) {
      socket.destroy(new AnswerOverheadTooLong(exceeded))
      return null
    }
    const {isLimited, hasContent} = overhead
    const maxBytes = isLimited && !hasContent ? OVERHEAD_PART_BYTES : PART_BYTES
    const part = read(readableLength > maxBytes ? maxBytes : undefined) as Buffer | null
    if (!part) return null
    overhead.bytes += part.length
    overhead.part = part
    return part
  }
}

function createOverhead(): Overhead {
  return {bytes: 0, lines: 0, part: undefined, hasContent: false, isLimited: false}
}

/** Returns the limit that an answer has reached. */
function findExceeded({isLimited, bytes, lines}: Overhead): string | undefined {
  if (!isLimited) return undefined
  if (bytes >= MAX_OVERHEAD_BYTES) return `${MAX_OVERHEAD_BYTES} bytes`
  return lines >= MAX_OVERHEAD_LINES ? `${MAX_OVERHEAD_LINES} lines` : undefined
}

/** Counts the lines without content of the part that was parsed. */
function countPart(overhead: Overhead): void {
  const {part, bytes, isLimited} = overhead
  if (!part) return
  overhead.part = undefined
  overhead.hasContent = 2 * bytes < part.length
  if (!isLimited) return
  for (let i = Math.max(0, part.length - bytes); i < part.length; i++)
    if (part[i] === LINE_FEED) overhead.lines++
}

function countBytesAfter(data: Buffer, part: Buffer | undefined): number {
  if (part?.buffer !== data.buffer) return 0
  return part.byteOffset + part.length - data.byteOffset - data.length
}
