/** What a box does when, from a stop request to the end of its grace period. */

/**
 * Longest time for which a stopping box sends new requests to backend servers. Load
 * balancers need it to notice that the box is not ready.
 */
const MAX_SEND_MS = 2_500

/** Part of the grace period for which it does; the rest is for the answers. */
const SEND_SHARE = 5 / 16

/** Time after that in which requests of new connections are still refused. */
const REFUSE_MS = 100

/** Longest time that a request waits to be sent while the box is stopping. */
const MAX_HOLD_MS = 500
const HOLD_SHARE = 1 / 16

/** Longest time that a box needs to answer open requests and to end its process. */
const MAX_EXIT_MS = 400
const EXIT_SHARE = 1 / 8

/** All are monotonic times in milliseconds, except `holdMs`. */
export interface StopTimes {
  /** Until when new requests are sent to backend servers. */
  readonly sendUntil: number
  /** Until when connections are accepted. */
  readonly listenUntil: number
  /** Longest time that a request waits to be sent. */
  readonly holdMs: number
  /** When requests without an answer are answered with an error. */
  readonly endAt: number
  /** Until when the box waits for these answers to be sent; the rest is for its exit. */
  readonly exitAt: number
}

/** Returns the times of a stop that was requested at `now` (ms). */
export function computeStopTimes(now: number, graceMs: number): StopTimes {
  const sendUntil = now + Math.min(MAX_SEND_MS, graceMs * SEND_SHARE)
  const exitMs = Math.min(MAX_EXIT_MS, graceMs * EXIT_SHARE)
  const endAt = now + graceMs - exitMs
  return {
    sendUntil,
    listenUntil: sendUntil + REFUSE_MS,
    holdMs: Math.min(MAX_HOLD_MS, graceMs * HOLD_SHARE),
    endAt,
    exitAt: endAt + exitMs / 4
  }
}
