/** Who calls the key-value service and why: closed lists, so that what counts them stays bounded. */

export const CALLERS = [
  /** A box without a leader reads the leader's key. */
  "leader-look",
  /** A box that found no leader claims the lead. */
  "leader-claim",
  /** A leader claims its lead again, as the service has come back from an older copy. */
  "lead-confirm",
  /** A leader renews its lease. */
  "lease-renew",
  /** A box ends a lease: its lead is over, or its claim came second. */
  "lease-end",
  /** A box that follows renews the leader's lease for it. */
  "lease-help",
  /** A leader lists what it follows. */
  "leader-list",
  /** A leader watches what it follows. */
  "leader-watch",
  /** A box that hears of no leader lists for itself. */
  "box-list",
  /** A box lists for another that asked. */
  "help-list",
  /** A box reads the configuration that its leader named. */
  "config-read",
  /** A box that starts reads which era is settled. */
  "era-check",
  /** A leader tells that an era is settled. */
  "era-settle",
  /** A new leader reads what organisations may have used. */
  "usage-read",
  /** A leader stores what organisations may have used. */
  "usage-save",
  /** A new leader reads which requests crash servers. */
  "crash-read",
  /** A leader stores which requests crash servers. */
  "crash-save",
  /** It did not say. */
  "other"
] as const

export type StoreCaller = (typeof CALLERS)[number]

export const REASONS = [
  /** Its time had come. */
  "regular",
  /** A following of the service begins. */
  "first",
  /** The page before said that there is another. */
  "next-page",
  /** The same call was sent before and its answer is late. */
  "repeated",
  /** The call before failed. */
  "after-failure",
  /** A watch was cut, so that it may have missed something. */
  "after-cut",
  /** The watch before ended early, since it told changes. */
  "after-changes"
] as const

export type StoreReason = (typeof REASONS)[number]

export const OUTCOMES = [
  "ok",
  /** Answered, after longer than a call that is in time. */
  "late",
  /** Answered that it will not be done. */
  "refused",
  /** No connection: the service has not heard of it. */
  "unheard",
  /** No answer, or a broken one. */
  "failed",
  /** The caller no longer wanted the answer. */
  "given-up"
] as const

export type StoreOutcome = (typeof OUTCOMES)[number]

export interface CallPurpose {
  readonly caller?: StoreCaller
  /** Left out: regular, or after a failure where the last call of the caller failed. */
  readonly reason?: StoreReason
}
