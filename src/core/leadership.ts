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

/** How long a new leader waits: an earlier one may believe in its lease for all its time. */
function handoverMs({checksFences, orderGapMs, ttlMs}: LeadershipOptions): number {
  return checksFences ? 0 : orderGapMs + ttlMs
}

export interface Leadership {
  /** The fence of the orders; undefined: another box leads, or none. */
  fence: number | undefined
  lease: string | undefined
  validUntil: number
  /** No order before. */
  orderFrom: number
  /** When an earlier lead of this same process ended; nobody else can have ordered at once. */
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
  // Another that led meanwhile would have waited as long before its first order.
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
  leadership.endedAt = Math.min(now, leadership.validUntil)
}

/** Whether this box still leads by its own clock. */
export function leads(leadership: Leadership, now: number): boolean {
  return leadership.fence !== undefined && now < leadership.validUntil
}

/** Whether an order may leave now. */
export function mayOrder(leadership: Leadership, now: number): boolean {
  return leads(leadership, now) && now >= leadership.orderFrom
}
