/** Finds the ends of server-sent events in a stream of bytes. */

/** The empty lines that end an event. */
const EVENT_ENDS = ["\n\n", "\r\n\r\n"]

const LINE_FEED = 0x0a
const CARRIAGE_RETURN = 0x0d

/** Returns the number of bytes up to the end of the last complete event, 0 if none. */
export function findEventsEnd(bytes: Buffer): number {
  // Servers usually write whole events.
  if (endsWithEvent(bytes)) return bytes.length
  const ends = EVENT_ENDS.map(end => {
    const at = bytes.lastIndexOf(end, undefined, "latin1")
    return at < 0 ? 0 : at + end.length
  })
  return Math.max(...ends)
}

function endsWithEvent(bytes: Buffer): boolean {
  const {length} = bytes
  if (bytes[length - 1] !== LINE_FEED) return false
  if (bytes[length - 2] === LINE_FEED) return true
  return (
    bytes[length - 2] === CARRIAGE_RETURN &&
    bytes[length - 3] === LINE_FEED &&
    bytes[length - 4] === CARRIAGE_RETURN
  )
}

/**
 * Whether bytes after the last complete event belong to an event that has not ended. Line
 * breaks alone belong to none.
 */
export function isPartialEvent(bytes: Buffer): boolean {
  return bytes.some(byte => byte !== LINE_FEED && byte !== CARRIAGE_RETURN)
}

/** Returns the number of events in a text that ends with a complete event. */
export function countEvents(text: string): number {
  let count = 0
  for (const end of EVENT_ENDS) {
    for (let at = text.indexOf(end); at >= 0; at = text.indexOf(end, at + end.length)) {
      count++
    }
  }
  return count
}
