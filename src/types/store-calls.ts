/**
 * Callers of the key-value service and reasons for calls: closed lists, to bound the
 * metrics.
 */

export const CALLERS = [
  /** A box without a leader reads the leader's key. */
  "leader-look",
  /** A box that found no leader claims the leadership. */
  "leader-claim",
  /**
   * A leader claims its leadership again after the service was restored from an older
   * backup.
   */
  "lead-confirm",
  /** A leader renews its lease. */
  "lease-renew",
  /** A box ends a lease because its leadership ended or its claim lost. */
  "lease-end",
  /** A follower renews the leader's lease on its behalf. */
  "lease-help",
  /** A leader lists the keys that it follows. */
  "leader-list",
  /** A leader watches the keys that it follows. */
  "leader-watch",
  /** A box that gets no updates from a leader lists the keys itself. */
  "box-list",
  /** A box lists the keys on request of another box. */
  "help-list",
  /** A box reads the configuration that its leader named. */
  "config-read",
  /** A starting box reads which era is settled. */
  "era-check",
  /** A leader records that an era is settled. */
  "era-settle",
  /** A new leader reads the usage projections of organisations. */
  "usage-read",
  /** A leader stores the usage projections of organisations. */
  "usage-save",
  /** A leader keeps the leases that show that it may grant allowances. */
  "usage-mark",
  /** A new leader reads which requests crash servers. */
  "crash-read",
  /** A leader stores which requests crash servers. */
  "crash-save",
  /** A box reads which software versions served. */
  "versions-read",
  /** A leader stores which software versions serve. */
  "versions-save",
  /** The caller is not given. */
  "other"
] as const

export type StoreCaller = (typeof CALLERS)[number]

export const REASONS = [
  /** Periodic call. */
  "regular",
  /** First call when a box begins to follow the service. */
  "first",
  /** The previous page announced another. */
  "next-page",
  /** Retry of a call whose answer is late. */
  "repeated",
  /** The previous call failed. */
  "after-failure",
  /** A watch was cut and may have missed changes. */
  "after-cut",
  /** The previous watch ended early because it reported changes. */
  "after-changes"
] as const

export type StoreReason = (typeof REASONS)[number]

export const OUTCOMES = [
  "ok",
  /** Answered, but late. */
  "late",
  /** The service answered that it refuses the call. */
  "refused",
  /** No connection, so the call did not reach the service. */
  "unheard",
  /** No answer, or a truncated one. */
  "failed",
  /** The caller cancelled the call. */
  "given-up"
] as const

export type StoreOutcome = (typeof OUTCOMES)[number]

export interface CallPurpose {
  readonly caller?: StoreCaller
  /** Default: `after-failure` if the caller's last call failed, `regular` otherwise. */
  readonly reason?: StoreReason
}
