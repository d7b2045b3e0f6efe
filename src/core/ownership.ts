/**
 * Ownership of shares (cells and register shards). A keeper holds one lease. Each share
 * has a record with a fence (a fencing token that only increases), changed by
 * compare-and-swap. The lease is checked against the monotonic clock.
 */
import {rankMembers} from "../utils/rendezvous.js"
import {
  filterEntries,
  withEntry,
  withoutEntry,
  withoutItem
} from "../utils/collections.js"
import type {Timing} from "./timing.js"

/** The record of a share in the key-value service. */
export interface ShareRecord {
  /** The owner's incarnation. Empty if the share was released. */
  readonly owner: string
  readonly fence: number
  /** Revision of the record, for the compare-and-swap of the next change. */
  readonly revision: number
}

/** The record of a process in the key-value service. */
export interface ProcessRecord {
  /** Address for peer links, `host:port`. Empty if it accepts none. */
  readonly address: string
  /** Address of its health, identity and state endpoints, `host:port`. */
  readonly ops: string
  readonly dataCentre: string
}

export interface OwnershipState {
  readonly self: string
  readonly shares: ReadonlyMap<string, ShareRecord>
  readonly keepers: ReadonlyMap<string, ProcessRecord>
  /** Shares whose owner has no lease, each with the time when this was first seen. */
  readonly absentSince: ReadonlyMap<string, number>
  /** Shares that this keeper owns, each with its fence. */
  readonly owned: ReadonlyMap<string, number>
  /** Shares with a pending claim or release. */
  readonly pendingChanges: ReadonlySet<string>
  /** Fences claimed under the current lease. Shares from an earlier one are reclaimed. */
  readonly claimedFences: ReadonlyMap<string, number>
  /** Time until which the lease is certainly valid, in monotonic milliseconds. */
  readonly leaseUntil: number
}

/** A change of a share's record, to be made by compare-and-swap. */
export interface ShareChange {
  readonly share: string
  readonly owner: string
  readonly fence: number
  /** 0 means that the record must not exist yet. */
  readonly expectRevision: number
}

/** The result of a `ShareChange`. */
export type ShareResult =
  | {readonly result: "done"; readonly revision: number}
  | {readonly result: "conflict"}
  | {readonly result: "unknown"}

export function createOwnership(self: string): OwnershipState {
  return {
    self,
    shares: new Map(),
    keepers: new Map(),
    absentSince: new Map(),
    owned: new Map(),
    pendingChanges: new Set(),
    claimedFences: new Map(),
    leaseUntil: 0
  }
}

/** Extends the lease, counted from the time at which the renewal was sent. */
export function renewLease(
  state: OwnershipState,
  sentAt: number,
  timing: Timing
): OwnershipState {
  const until = sentAt + timing.leaseTtlMs - timing.leaseMarginMs
  return {...state, leaseUntil: Math.max(state.leaseUntil, until)}
}

/**
 * Handles a lost lease. Other keepers may already be claiming, so nothing is owned until
 * it is claimed again; the new revision makes their late claims fail.
 */
export function loseLease(state: OwnershipState): OwnershipState {
  return {...state, leaseUntil: 0, owned: new Map(), claimedFences: new Map()}
}

/** Whether the lease is certainly valid now, so that evictions may be ordered. */
export function holdsLease(state: OwnershipState, now: number): boolean {
  return now < state.leaseUntil
}

/** Applies the records that were read; shares with another owner are no longer owned. */
export function applyShareRecords(
  state: OwnershipState,
  shares: ReadonlyMap<string, ShareRecord>,
  keepers: ReadonlyMap<string, ProcessRecord>,
  now: number
): OwnershipState {
  const merged = new Map(state.shares)
  for (const [share, record] of shares) {
    const known = merged.get(share)
    // Reads may arrive out of order; a record never goes back to an older revision.
    if (!known || record.revision >= known.revision) merged.set(share, record)
  }
  const owned = new Map<string, number>()
  for (const [share, record] of merged) {
    if (record.owner !== state.self) continue
    if (state.claimedFences.get(share) === record.fence) owned.set(share, record.fence)
  }
  return {
    ...state,
    shares: merged,
    keepers,
    owned,
    absentSince: trackAbsence(state, merged, keepers, now)
  }
}

function trackAbsence(
  state: OwnershipState,
  shares: ReadonlyMap<string, ShareRecord>,
  keepers: ReadonlyMap<string, ProcessRecord>,
  now: number
): ReadonlyMap<string, number> {
  const absent = new Map<string, number>()
  for (const [share, {owner}] of shares) {
    if (owner === "" || owner === state.self || keepers.has(owner)) continue
    const previous = state.shares.get(share)
    const isSameOwner = previous?.owner === owner
    absent.set(share, isSameOwner ? (state.absentSince.get(share) ?? now) : now)
  }
  return absent
}

/** Returns the claims to make now, of the shares in `wanted`. */
export function decideClaims(
  state: OwnershipState,
  wanted: Iterable<string>,
  timing: Timing,
  now: number
): ShareChange[] {
  const claims: ShareChange[] = []
  if (!holdsLease(state, now) || !state.keepers.has(state.self)) return claims
  const members = [...state.keepers.keys()]
  for (const share of wanted) {
    if (state.owned.has(share) || state.pendingChanges.has(share)) continue
    const record = state.shares.get(share)
    if (record && isHeldByOther(state, record)) continue
    if (claimableAt(state, share, members, timing) > now) continue
    claims.push({
      share,
      owner: state.self,
      fence: (record?.fence ?? 0) + 1,
      expectRevision: record?.revision ?? 0
    })
  }
  return claims
}

function isHeldByOther(state: OwnershipState, {owner}: ShareRecord): boolean {
  return owner !== "" && owner !== state.self && state.keepers.has(owner)
}

function claimableAt(
  state: OwnershipState,
  share: string,
  members: readonly string[],
  timing: Timing
): number {
  if (state.shares.get(share)?.owner === state.self) return 0
  const rank = rankMembers(share, members).indexOf(state.self)
  const absentSince = state.absentSince.get(share)
  const freeAt = absentSince === undefined ? 0 : absentSince + timing.takeoverMarginMs
  return freeAt + rank * timing.claimStaggerMs
}

/** Marks a change as pending. */
export function startChange(state: OwnershipState, change: ShareChange): OwnershipState {
  const pending = new Set(state.pendingChanges).add(change.share)
  if (change.owner !== state.self) return {...state, pendingChanges: pending}
  return {
    ...state,
    pendingChanges: pending,
    claimedFences: withEntry(state.claimedFences, change.share, change.fence)
  }
}

/** Applies the result of a change. The next read of the record resolves `unknown`. */
export function applyChangeResult(
  state: OwnershipState,
  change: ShareChange,
  result: ShareResult
): OwnershipState {
  const pending = withoutItem(state.pendingChanges, change.share)
  if (result.result !== "done") return {...state, pendingChanges: pending}
  const {share, owner, fence} = change
  // The result of a claim under an earlier lease gives no ownership.
  const isOwner = owner === state.self && state.claimedFences.get(share) === fence
  return {
    ...state,
    pendingChanges: pending,
    shares: withEntry(state.shares, share, {owner, fence, revision: result.revision}),
    owned: isOwner
      ? withEntry(state.owned, share, fence)
      : withoutEntry(state.owned, share),
    absentSince: filterEntries(state.absentSince, (_, name) => name !== share)
  }
}

/** Returns the change that releases a share, so that its next owner need not wait. */
export function releaseShare(
  state: OwnershipState,
  share: string
): ShareChange | undefined {
  const record = state.shares.get(share)
  if (!record || record.owner !== state.self) return undefined
  return {share, owner: "", fence: record.fence, expectRevision: record.revision}
}
