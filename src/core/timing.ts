/** The times the protocol rests on, in milliseconds. Settings scale them; tests shorten them. */
export interface Timing {
  /** The keeper's lease in the key-value service. */
  readonly leaseTtlMs: number
  /** Renewal interval. */
  readonly renewMs: number
  /** Taken off the lease by its holder: clock rate error and the time an order is on its way. */
  readonly leaseMarginMs: number
  /** Waited after a lease was seen lapsed, before a takeover. */
  readonly takeoverMarginMs: number
  /** Between the claims of keepers of falling rank. */
  readonly claimStaggerMs: number
  /** Heartbeat of a link between own processes. */
  readonly heartbeatMs: number
  /** A link silent for so long is dead. */
  readonly linkSilenceMs: number
  /** An entry goes on without an owner for so long on engines that check no fences. */
  readonly ownerlessMs: number
  /** A silent entry is taken for gone after this on engines that check no fences. */
  readonly entryGoneMs: number
  /** As above on engines that check fences, once they have confirmed the cancel. */
  readonly entrySilentMs: number
  /** How long an engine that resumes streams goes on with one whose entry is gone. */
  readonly streamLingerMs: number
  /** How long a load may take before it counts as failed. */
  readonly loadTimeoutMs: number
  /** The first pause after a failed load; doubled each time, up to 32 times. */
  readonly loadBackoffMs: number
  /** A pair unused for so long is released by its entry. */
  readonly holdMs: number
  /** How long an idempotency key is remembered. */
  readonly keyRetentionMs: number
  /** The least time between two writes of one register shard. */
  readonly commitIntervalMs: number
  /** The longest a request may run at a backend server. */
  readonly requestMaxMs: number
}

/** Values for production; docs/design/ownership.md says where they come from. */
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

/** What each time is, for the settings reference. */
export const TIMING_TEXTS: Readonly<Record<keyof Timing, string>> = {
  leaseTtlMs: "The keeper's lease in the key-value service",
  renewMs: "Renewal interval",
  leaseMarginMs:
    "Taken off the lease by its holder: clock rate error and the time an order is on its way",
  takeoverMarginMs: "Waited after a lease was seen lapsed, before a takeover",
  claimStaggerMs: "Between the claims of keepers of falling rank",
  heartbeatMs: "Heartbeat of a link between own processes",
  linkSilenceMs: "A link silent for so long is dead",
  ownerlessMs:
    "An entry goes on without an owner for so long on engines that check no fences",
  entryGoneMs:
    "A silent entry is taken for gone after this on engines that check no fences",
  entrySilentMs:
    "As above on engines that check fences, once they have confirmed the cancel",
  streamLingerMs:
    "How long an engine that resumes streams goes on with one whose entry is gone",
  loadTimeoutMs: "How long a load may take before it counts as failed",
  loadBackoffMs: "The first pause after a failed load; doubled each time, up to 32 times",
  holdMs: "A pair unused for so long is released by its entry",
  keyRetentionMs: "How long an idempotency key is remembered",
  commitIntervalMs: "The least time between two writes of one register shard",
  requestMaxMs: "The longest a request may run at a backend server"
}
