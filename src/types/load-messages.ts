/** Messages about demand for the places of engines, and about what boxes refuse. */

/** Most rows in a message; further ones are left out. */
export const MAX_DEMAND_ROWS = 512

/**
 * Requests of one service, rank and organisation at one box. The organisation is empty for
 * requests without one. `begun` and `refused` count arrivals since the last message that
 * the box admitted or refused for overload; `waiting` is the number that wait now for the
 * first byte of their answer, in the box or at an engine.
 */
export type DemandRow = readonly [
  service: string,
  rank: number,
  organisation: string,
  begun: number,
  refused: number,
  waiting: number
]

/** What boxes refuse of the new requests for a service whose places are all taken. */
export interface PressureLevel {
  readonly service: string
  /** Lowest rank number that is refused. All of every higher number is refused. */
  readonly rank: number
  /**
   * Part of this rank's requests that is refused, from 0 to 1, for organisations that are
   * not listed.
   */
  readonly fraction: number
  /** Time until there is capacity for requests of this rank that are refused now. */
  readonly roomInMs: number
  /** Organisations beyond their shares, with the part of this rank that is refused. */
  readonly organisations?: readonly (readonly [name: string, fraction: number])[]
}
