/** Messages about organisations' usage. Amounts are in the unit of the limit. */

/** An amount that counts, or can be used, for this time. */
export interface TimedAmount {
  readonly amount: number
  readonly forMs: number
}

/** What a box states to each new leader, which knows nothing else of its usage. */
export interface AccountStatement {
  /** Usage that still counts. */
  readonly used: readonly TimedAmount[]
  /** Allowances that the box holds unused. */
  readonly held: readonly TimedAmount[]
}

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
  /** In the first message to a leader, which has such an entry for each organisation. */
  readonly account?: AccountStatement | undefined
}

/** The leader's answer for one organisation. */
export interface AllowanceGrant {
  readonly organisation: string
  readonly amount: number
  /** Time until the needed amount may be available, if it is not now. */
  readonly roomInMs?: number
  /** The leader does not know whether the limit is reached. */
  readonly isUnknown?: boolean
}

/**
 * By organisation: an upper bound of the usage that still counts when the leadership ends
 * and in each second after that. An organisation without an entry has none.
 */
export type UsageProjections = Readonly<Record<string, readonly number[]>>

/**
 * Whose usage the projections of a leader contain. If all claimed boxes state their
 * accounts to the next leader, these replace the projections.
 */
export interface UsageClaims {
  /** Incarnations of boxes that were connected to the leader, without its own. */
  readonly boxes: readonly string[]
  /** The leader's own box, and the projections of that alone. */
  readonly leader: {readonly box: string; readonly usage: UsageProjections}
  /** Projections that the usage of no claimed box exceeds. */
  readonly most: UsageProjections
  /** Projections of all other usage. */
  readonly unclaimed: UsageProjections
}
