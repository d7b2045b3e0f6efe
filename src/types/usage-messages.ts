/** Messages about organisations' usage. Amounts are in the unit of the limit. */

/** The usage report and allowance request of a box for one organisation. */
export interface AllowanceRequest {
  readonly organisation: string
  /** Amount used of this leader's allowances since the last report. */
  readonly used: number
  /** Amount returned because it expired unused. */
  readonly returned: number
  /** Amount that waiting requests need; a smaller grant does not serve them. */
  readonly need: number
  /** Amount requested, including `need`. 0 means none. */
  readonly want: number
}

/** The leader's answer for one organisation. */
export interface AllowanceGrant {
  readonly organisation: string
  readonly amount: number
  /** Time until the needed amount may be available, if it is not now. */
  readonly roomInMs?: number
}

/**
 * By organisation: an upper bound of the usage that still counts when the leadership ends
 * and in each second after that. An organisation without an entry has none.
 */
export type UsageProjections = Readonly<Record<string, readonly number[]>>
