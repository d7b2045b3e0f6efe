/**
 * The lease of the leader, the only box that sends orders to engines. For its holder a
 * lease counts from the time at which the call was sent, by the monotonic clock, less a
 * margin. It is checked in the same turn of the event loop in which an order is sent.
 *
 * The key-value service may hold a lease for longer than its holder may send orders: a
 * leader whose renewals arrive late sends none until one is answered, and remains leader.
 */

export interface LeadershipOptions {
  /** How long orders may be sent after a renewal. The lease lasts as long or longer. */
  readonly ttlMs: number
  /** The holder regards the lease as expired this much earlier. */
  readonly marginMs: number
  /** Whether engines refuse old fencing tokens, so that a new leader need not wait. */
  readonly checksFences: boolean
  /** Least time between orders of two leaders, if engines do not. */
  readonly orderGapMs: number
}

/** Longest time until an expired lease is claimed: the check interval and its jitter. */
const MAX_CLAIM_DELAY_MS = 450

/** Slowness of the store up to which a lease lasts for the usual time. */
const USUAL_SLOWNESS = 2

/**
 * Returns how long a lease lasts (ms): longer in proportion if answers of the store take by
 * more than `USUAL_SLOWNESS` times longer than usual, as renewals are late by as much.
 */
export function leaseMs({ttlMs}: LeadershipOptions, slowness: number): number {
  return Math.round(ttlMs * Math.max(1, slowness / USUAL_SLOWNESS))
}

/**
 * Longest time from the loss of a leader to the first order of the next, if its lease
 * lasts for the usual time.
 */
export function takeoverMs(options: LeadershipOptions): number {
  return options.ttlMs + MAX_CLAIM_DELAY_MS + handoverMs(options)
}

/**
 * How long a new leader waits before its first order. When it claims leadership, the
 * lease of the previous leader has expired in the store, and earlier by that leader's own
 * clock. Its last order may just have been sent, which takes no longer than the margin.
 */
export function handoverMs({
  checksFences,
  orderGapMs,
  marginMs
}: LeadershipOptions): number {
  return checksFences ? 0 : orderGapMs + marginMs
}

export interface Leadership {
  /** The fencing token of orders. Undefined if this box does not lead. */
  fence: number | undefined
  lease: string | undefined
  /** How long the lease lasts after each renewal (ms). */
  leaseMs: number
  /** Until then orders may be sent. */
  validUntil: number
  /** Until then the service holds the lease, so that no other box leads. */
  heldUntil: number
  /** Earliest time of an order. */
  orderFrom: number
  /** False after a restore of the store, which may lack the lease: no orders then. */
  confirmed: boolean
  /**
   * When this process last lost a leadership in which it could send orders. Any leader
   * since then has to wait for `handoverMs` before its first order.
   */
  endedAt: number
}

export function createLeadership(): Leadership {
  return {
    fence: undefined,
    lease: undefined,
    leaseMs: 0,
    validUntil: 0,
    heldUntil: 0,
    orderFrom: 0,
    confirmed: true,
    endedAt: -Infinity
  }
}

/** A claim of leadership that the store has accepted. */
export interface Claim {
  readonly fence: number
  readonly lease: string
  /** How long the lease lasts (ms). */
  readonly leaseMs: number
  /** When the lease was requested. */
  readonly sentAt: number
  /** Upper bound of the begin of the store's era. Undefined if the store reports none. */
  readonly eraBegunBy?: number | undefined
}

/** Begins a leadership after a successful claim. */
export function beginLeadership(
  leadership: Leadership,
  claim: Claim,
  now: number,
  options: LeadershipOptions
): void {
  holdLease(leadership, claim, options)
  const {endedAt} = leadership
  // In the previous era another box may have led, which the restored store can't show.
  const sameEra = claim.eraBegunBy === undefined || endedAt > claim.eraBegunBy
  const noOtherLeader = sameEra && now - endedAt < handoverMs(options)
  leadership.orderFrom = noOtherLeader
    ? now
    : Math.max(now + handoverMs(options), earliestOrderAfterEra(claim, options))
}

/**
 * Returns the time from which no leader of the previous era can send orders. Such a
 * leader may go on until its lease ends, and a store that was restored without the lease
 * does not wait for that. If engines check fencing tokens there is no need to wait, since
 * the new one is higher.
 */
function earliestOrderAfterEra({eraBegunBy}: Claim, options: LeadershipOptions): number {
  if (options.checksFences || eraBegunBy === undefined) return -Infinity
  return eraBegunBy + options.ttlMs + handoverMs(options)
}

/** Suspends orders after a restore of the store, which may have lost the lease. */
export function suspendLeadership(leadership: Leadership): void {
  leadership.confirmed = leadership.fence === undefined
}

/** Resumes a leadership that was claimed again in the new era before any other claim. */
export function confirmLeadership(
  leadership: Leadership,
  claim: Claim,
  now: number,
  options: LeadershipOptions
): void {
  // While its lease is valid by its own clock, no other box led in the previous era.
  if (isLeader(leadership, now)) return holdLease(leadership, claim, options)
  endLeadership(leadership, now)
  beginLeadership(leadership, claim, now, options)
}

function holdLease(
  leadership: Leadership,
  {fence, lease, leaseMs: lastsMs, sentAt}: Claim,
  {ttlMs, marginMs}: LeadershipOptions
): void {
  leadership.fence = fence
  leadership.lease = lease
  leadership.leaseMs = lastsMs
  leadership.validUntil = sentAt + ttlMs - marginMs
  leadership.heldUntil = sentAt + lastsMs - marginMs
  leadership.confirmed = true
}

/**
 * Replaces the lease by one to which the leader's key was moved while the earlier one was
 * held. The fencing token of the claim stays in use.
 */
export function replaceLease(
  leadership: Leadership,
  claim: Omit<Claim, "fence">,
  options: LeadershipOptions
): void {
  const {fence} = leadership
  if (fence !== undefined) holdLease(leadership, {...claim, fence}, options)
}

/** Extends the lease after a renewal that was sent at `sentAt`. */
export function extendLease(
  leadership: Leadership,
  sentAt: number,
  options: LeadershipOptions
): void {
  const validUntil = sentAt + options.ttlMs - options.marginMs
  const heldUntil = sentAt + leadership.leaseMs - options.marginMs
  leadership.validUntil = Math.max(leadership.validUntil, validUntil)
  leadership.heldUntil = Math.max(leadership.heldUntil, heldUntil)
}

export function endLeadership(leadership: Leadership, now: number): void {
  if (leadership.fence === undefined) return
  leadership.fence = undefined
  leadership.lease = undefined
  leadership.confirmed = true
  const endedAt = Math.min(now, leadership.validUntil)
  if (endedAt >= leadership.orderFrom) leadership.endedAt = endedAt
}

/** Whether the service holds the lease, by this box's clock. */
export function holdsLease(leadership: Leadership, now: number): boolean {
  return leadership.fence !== undefined && now < leadership.heldUntil
}

/** Whether the leader may send orders and grant allowances, by this box's clock. */
export function isLeader(leadership: Leadership, now: number): boolean {
  return leadership.fence !== undefined && now < leadership.validUntil
}

/** Whether an order may be sent now. */
export function canOrder(leadership: Leadership, now: number): boolean {
  return isLeader(leadership, now) && leadership.confirmed && now >= leadership.orderFrom
}
