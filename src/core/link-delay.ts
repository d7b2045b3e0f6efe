/**
 * Estimates the transit time of messages on a link without a common clock. The difference
 * between the receiver's time of receipt and the sender's time of sending is least for
 * the fastest message. What another message takes beyond that was spent in buffers, on
 * the network or during a process pause.
 *
 * The snapshot age in a leader's message is correct when it is sent. Without this
 * estimate, a message that was delayed by a second would make the snapshot appear a
 * second newer than it is.
 */

/** The least difference is kept for 1 to 2 windows. Clocks drift by 10 ms in that. */
const WINDOW_MS = 30_000

/** The least differences between receipt and sending on a link. */
export interface LinkDelay {
  /** Start of the current window, by the receiver's clock. */
  readonly windowStart: number
  readonly minDifferenceMs: number
  /** The same for the previous window. Infinity if there was none. */
  readonly previousMinDifferenceMs: number
}

/**
 * Creates the state of a link from its first message, which answers a request sent at
 * `requestedAt` by the receiver's clock. The message was sent later, which bounds its
 * transit time.
 */
export function createLinkDelay(requestedAt: number, firstSentAt: number): LinkDelay {
  return {
    windowStart: requestedAt,
    minDifferenceMs: requestedAt - firstSentAt,
    previousMinDifferenceMs: Infinity
  }
}

export function recordMessage(
  delay: LinkDelay,
  sentAt: number,
  receivedAt: number
): LinkDelay {
  const difference = receivedAt - sentAt
  if (receivedAt - delay.windowStart < WINDOW_MS) {
    return {...delay, minDifferenceMs: Math.min(delay.minDifferenceMs, difference)}
  }
  return {
    windowStart: receivedAt,
    minDifferenceMs: difference,
    previousMinDifferenceMs: delay.minDifferenceMs
  }
}

/** Returns the transit time of a message in excess of the fastest recent one. */
export function transitMs(
  {minDifferenceMs, previousMinDifferenceMs}: LinkDelay,
  sentAt: number,
  receivedAt: number
): number {
  return Math.max(
    0,
    receivedAt - sentAt - Math.min(minDifferenceMs, previousMinDifferenceMs)
  )
}
