/** What boxes and their leader tell each other of the rates that backend servers take from all boxes together. */

/** A server's word on the rate it takes, as a box heard it. */
export interface RateNews {
  /** A life of a server. */
  readonly server: string
  /** Requests a second; undefined: it names none any more. */
  readonly perSecond?: number
  /** Since the request was sent whose answer says so, and since that answer came, milliseconds. */
  readonly sentAgoMs: number
  readonly heardAgoMs: number
}

/** What a box sent to a server lately. */
export interface SentLately {
  readonly server: string
  /** In steps of `SENT_STEP_MS`, the newest first. */
  readonly counts: readonly number[]
}

/** A box asks to send requests to a server that takes so many a second. */
export interface SendAsk {
  readonly server: string
  /** The answer names it. */
  readonly ask: number
  readonly count: number
  /** Of the most urgent request; 0 is the most urgent of all. */
  readonly rank: number
  /** So long that request can wait, milliseconds; 0: none waits. */
  readonly waitMs: number
}

/** The leader's answer. */
export interface SendGrant {
  readonly server: string
  readonly ask: number
  /** Requests that may be sent. */
  readonly count: number
  /** In so long, milliseconds; undefined: now. */
  readonly inMs?: number
  /** In so long there may be room for more, milliseconds; undefined: all that was asked for was given. */
  readonly roomInMs?: number
}
