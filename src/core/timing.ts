/** The times of the ownership protocol. They can be set in the settings. */
export interface Timing {
  /** Time to live of a keeper's lease in the key-value service. */
  readonly leaseTtlMs: number
  /** Interval between renewals of the lease. */
  readonly renewMs: number
  /**
   * How much earlier than the key-value service a keeper treats its lease as expired;
   * covers clock drift and the delivery time of orders.
   */
  readonly leaseMarginMs: number
  /**
   * How long a keeper waits after it sees a lease expire before it takes over the shares.
   */
  readonly takeoverMarginMs: number
  /** Delay between the claims of keepers of consecutive rank. */
  readonly claimStaggerMs: number
  /** Heartbeat interval of links between processes of the system. */
  readonly heartbeatMs: number
  /** A link without a message for this time counts as broken. */
  readonly linkSilenceMs: number
  /** How long an entry without an owner keeps using engines that do not check fences. */
  readonly ownerlessMs: number
  /**
   * After this time without messages an entry counts as gone, for engines that do not
   * check fences.
   */
  readonly entryGoneMs: number
  /** As above, for engines that check fences and have confirmed the cancel. */
  readonly entrySilentMs: number
  /** How long an engine that resumes streams continues one whose entry is gone. */
  readonly streamLingerMs: number
  /** Time after which a load counts as failed. */
  readonly loadTimeoutMs: number
  /**
   * Back-off after the first failed load; it doubles with each failure, up to 32 times
   * this value.
   */
  readonly loadBackoffMs: number
  /** How long an entry keeps an unused grant of an adapter on an engine. */
  readonly holdMs: number
  /** How long an idempotency key is kept. */
  readonly keyRetentionMs: number
  /** Shortest time between two writes of one register shard. */
  readonly commitIntervalMs: number
  /** Longest run time of a request at a backend server. */
  readonly requestMaxMs: number
}

/** Defaults; docs/design/ownership.md gives the reasons for them. */
export const DEFAULT_TIMING: Timing = {
  leaseTtlMs: 10_000,
  renewMs: 3_000,
  leaseMarginMs: 2_000,
  takeoverMarginMs: 3_000,
  claimStaggerMs: 500,
  heartbeatMs: 1_000,
  linkSilenceMs: 4_000,
  ownerlessMs: 300_000,
  entryGoneMs: 330_000,
  entrySilentMs: 8_000,
  streamLingerMs: 10_000,
  loadTimeoutMs: 30_000,
  loadBackoffMs: 500,
  holdMs: 20_000,
  keyRetentionMs: 600_000,
  commitIntervalMs: 50,
  requestMaxMs: 300_000
}

/** Descriptions for the settings reference. */
export const TIMING_DESCRIPTIONS: Readonly<Record<keyof Timing, string>> = {
  leaseTtlMs: "Time to live of a keeper's lease in the key-value service",
  renewMs: "Interval between renewals of the lease",
  leaseMarginMs:
    "How much earlier than the key-value service a keeper treats its lease as expired; covers clock drift and the delivery time of orders",
  takeoverMarginMs:
    "How long a keeper waits after it sees a lease expire before it takes over the shares",
  claimStaggerMs: "Delay between the claims of keepers of consecutive rank",
  heartbeatMs: "Heartbeat interval of links between processes of the system",
  linkSilenceMs: "A link without a message for this time counts as broken",
  ownerlessMs:
    "How long an entry without an owner keeps using engines that do not check fences",
  entryGoneMs:
    "After this time without messages an entry counts as gone, for engines that do not check fences",
  entrySilentMs: "As above, for engines that check fences and have confirmed the cancel",
  streamLingerMs:
    "How long an engine that resumes streams continues one whose entry is gone",
  loadTimeoutMs: "Time after which a load counts as failed",
  loadBackoffMs:
    "Back-off after the first failed load; it doubles with each failure, up to 32 times this value",
  holdMs: "How long an entry keeps an unused grant of an adapter on an engine",
  keyRetentionMs: "How long an idempotency key is kept",
  commitIntervalMs: "Shortest time between two writes of one register shard",
  requestMaxMs: "Longest run time of a request at a backend server"
}
