/**
 * How long messages of a link were on their way, without a common clock. The difference of the receiver's
 * time of hearing and the sender's of sending is least for the message that was fastest; what another has
 * beyond that it spent in buffers, on the link, or waiting for a process that stood still.
 *
 * What a leader says of the age of its news is true as it sends. Without this a message that lay somewhere
 * for a second would make a box believe that it knows of everything up to a second later than it does.
 */

/** The least difference is kept for one to two such spans, milliseconds: clocks of two boxes part by some 10 ms in that. */
const SPAN_MS = 30_000

/** The least differences of a link, milliseconds. */
export interface LinkDelay {
  /** When the span began, by the clock of the receiver. */
  readonly since: number
  readonly least: number
  /** The same of the span before; Infinity: there was none. */
  readonly leastBefore: number
}

/**
 * A link whose first message answers one that was sent at `askedAt`, by the clock of the receiver: it was sent
 * after that, and so was no longer on its way than since.
 */
export function createLinkDelay(askedAt: number, firstSentAt: number): LinkDelay {
  return {since: askedAt, least: askedAt - firstSentAt, leastBefore: Infinity}
}

/** Takes the times of a message. */
export function noteMessage(
  delay: LinkDelay,
  sentAt: number,
  heardAt: number
): LinkDelay {
  const difference = heardAt - sentAt
  if (heardAt - delay.since < SPAN_MS) {
    return {...delay, least: Math.min(delay.least, difference)}
  }
  return {since: heardAt, least: difference, leastBefore: delay.least}
}

/** So long the message was on its way, milliseconds; the fastest of late took none by this count. */
export function onWayMs(
  {least, leastBefore}: LinkDelay,
  sentAt: number,
  heardAt: number
): number {
  return Math.max(0, heardAt - sentAt - Math.min(least, leastBefore))
}
