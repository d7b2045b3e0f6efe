/** What boxes and their leader tell each other of organisations' usage; amounts in the unit of the limit. */

/** One organisation in an ask of a box. */
export interface AllowanceAsk {
  readonly organisation: string
  /** Used of allowances of this leader since the box told last. */
  readonly used: number
  /** Given back: it ran out unused. */
  readonly returned: number
  /** What the requests that wait need; they are served only with all of it. */
  readonly need: number
  /** What the box would like to have, `need` included; 0: nothing. */
  readonly want: number
}

/** The leader's answer for one organisation. */
export interface AllowanceGrant {
  readonly organisation: string
  readonly amount: number
  /** There is no room for what is needed, but in so long there may be, milliseconds. */
  readonly roomInMs?: number
}

/**
 * By organisation: how much may count at most as its leader ends, and in each second after that. No
 * entry: nothing.
 */
export type UsageOutlooks = Readonly<Record<string, readonly number[]>>
