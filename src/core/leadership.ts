/**
 * The lease under which one box leads: it alone orders engines. A lease counts from the moment
 * its call was sent, on the steady clock, less a margin; orders are checked in the turn they go.
 */

export interface LeadershipOptions {
  readonly ttlMs: number
  /** Taken off the lease by its holder. */
  readonly marginMs: number
  /** Engines refuse orders with an old fence, so that a new leader need not wait. */
  readonly checksFences: boolean
  /** Where they do not: the least time between orders of two leaders, milliseconds. */
  readonly orderGapMs: number
}

/** A lapsed lease is seen and claimed within this, milliseconds: a look and its scatter. */
const CLAIM_MS = 450

/** From the loss of a leader until the next one orders: its lease, being found, and the wait. */
export function takeoverMs(options: LeadershipOptions): number {
  return options.ttlMs + CLAIM_MS + handoverMs(options)
}

/**
 * How long a new leader waits before its first order. When it could claim the lead, the lease of the
 * one before had run out in the store, and earlier by that one's own clock. Its last order may
 * just have left, which takes no longer than the margin.
 */
export function handoverMs({
  checksFences,
  orderGapMs,
  marginMs
}: LeadershipOptions): number {
  return checksFences ? 0 : orderGapMs + marginMs
}

export interface Leadership {
  /** The fence of the orders; undefined: another box leads, or none. */
  fence: number | undefined
  lease: string | undefined
  validUntil: number
  /** No order before. */
  orderFrom: number
  /**
   * When the last lead of this same process ended in which it could order. Another that led since
   * would have had to wait: until then nobody else has ordered.
   */
  endedAt: number
}

/** A box that does not lead. */
export function createLeadership(): Leadership {
  return {
    fence: undefined,
    lease: undefined,
    validUntil: 0,
    orderFrom: 0,
    endedAt: -Infinity
  }
}

/** The lead was claimed; the lease was asked for at `sentAt`. */
export function takeLead(
  leadership: Leadership,
  claim: {readonly fence: number; readonly lease: string; readonly sentAt: number},
  now: number,
  options: LeadershipOptions
): void {
  leadership.fence = claim.fence
  leadership.lease = claim.lease
  leadership.validUntil = claim.sentAt + options.ttlMs - options.marginMs
  const own = now - leadership.endedAt < handoverMs(options)
  leadership.orderFrom = own ? now : now + handoverMs(options)
}

/** The lease was renewed by a call sent at `sentAt`. */
export function renewLead(
  leadership: Leadership,
  sentAt: number,
  options: LeadershipOptions
): void {
  const until = sentAt + options.ttlMs - options.marginMs
  leadership.validUntil = Math.max(leadership.validUntil, until)
}

/** The lead is over. */
export function endLead(leadership: Leadership, now: number): void {
  if (leadership.fence === undefined) return
  leadership.fence = undefined
  leadership.lease = undefined
  const end = Math.min(now, leadership.validUntil)
  if (end >= leadership.orderFrom) leadership.endedAt = end
}

/** Whether this box still leads by its own clock. */
export function leads(leadership: Leadership, now: number): boolean {
  return leadership.fence !== undefined && now < leadership.validUntil
}

/** Whether an order may leave now. */
export function mayOrder(leadership: Leadership, now: number): boolean {
  return leads(leadership, now) && now >= leadership.orderFrom
}
