/** Messages about rate limits that backend servers advertise for all boxes together. */

/** The rate limit that a server advertised to a box. */
export interface RateReport {
  /** Incarnation of the server. */
  readonly server: string
  /** Requests per second. Undefined if the server no longer advertises a limit. */
  readonly perSecond?: number
  /** Time since the request was sent whose answer advertised the limit. */
  readonly sentAgoMs: number
  /** Time since that answer arrived. */
  readonly heardAgoMs: number
}

/** Numbers of requests that a box recently sent to a server. */
export interface SentCounts {
  readonly server: string
  /** By steps of `SENT_STEP_MS`, newest first. */
  readonly counts: readonly number[]
  /** The rate that the box knows, for a leader that knows none. */
  readonly perSecond?: number
}

/** A box requests an allowance to send requests to a rate-limited server. */
export interface SendAllowanceRequest {
  readonly server: string
  /** Number of the request, repeated in the answer. */
  readonly ask: number
  readonly count: number
  /** Priority of the most urgent waiting request; 0 is the most urgent. */
  readonly rank: number
  /** How long that request can wait. 0 means that none waits. */
  readonly waitMs: number
  /** The rate that the box knows, for a leader that knows none. */
  readonly perSecond?: number
}

/** The leader's answer to a request for send allowances. */
export interface SendAllowanceGrant {
  readonly server: string
  readonly ask: number
  /** Number of requests that may be sent. */
  readonly count: number
  /** Time until they may be sent. Undefined means now. */
  readonly inMs?: number
  /**
   * Time until more may be available. Undefined if all that was requested was granted.
   */
  readonly roomInMs?: number
}
