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
  /** False: the store came back from an older copy, and may not know this lead; no order goes out. */
  confirmed: boolean
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
    confirmed: true,
    endedAt: -Infinity
  }
}

/** A claim that the store has taken. */
export interface Claim {
  readonly fence: number
  readonly lease: string
  /** When its lease was asked for. */
  readonly sentAt: number
  /** The era of the store had begun by then; undefined: the store tells none. */
  readonly eraBy?: number | undefined
}

/** The lead was claimed. */
export function takeLead(
  leadership: Leadership,
  claim: Claim,
  now: number,
  options: LeadershipOptions
): void {
  holdLead(leadership, claim, options)
  const {endedAt} = leadership
  // In the era before, another may have led that the store has forgotten.
  const sameEra = claim.eraBy === undefined || endedAt > claim.eraBy
  const own = sameEra && now - endedAt < handoverMs(options)
  leadership.orderFrom = own
    ? now
    : Math.max(now + handoverMs(options), afterEarlierEras(claim, options))
}

/**
 * A leader of the era before goes on for its lease at most, which the store did not wait out as it came back
 * without it. Where engines check fences, this one's is higher.
 */
function afterEarlierEras({eraBy}: Claim, options: LeadershipOptions): number {
  if (options.checksFences || eraBy === undefined) return -Infinity
  return eraBy + options.ttlMs + handoverMs(options)
}

/** The store came back from an older copy: it may not know the lead any more. */
export function doubtLead(leadership: Leadership): void {
  leadership.confirmed = leadership.fence === undefined
}

/** The lead was claimed again in the new era, before any other box did. */
export function confirmLead(
  leadership: Leadership,
  claim: Claim,
  now: number,
  options: LeadershipOptions
): void {
  // While it led by its own clock no other box led in the era before.
  if (leads(leadership, now)) return holdLead(leadership, claim, options)
  endLead(leadership, now)
  takeLead(leadership, claim, now, options)
}

function holdLead(
  leadership: Leadership,
  {fence, lease, sentAt}: Claim,
  {ttlMs, marginMs}: LeadershipOptions
): void {
  leadership.fence = fence
  leadership.lease = lease
  leadership.validUntil = sentAt + ttlMs - marginMs
  leadership.confirmed = true
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
  leadership.confirmed = true
  const end = Math.min(now, leadership.validUntil)
  if (end >= leadership.orderFrom) leadership.endedAt = end
}

/** Whether this box still leads by its own clock. */
export function leads(leadership: Leadership, now: number): boolean {
  return leadership.fence !== undefined && now < leadership.validUntil
}

/** Whether an order may leave now. */
export function mayOrder(leadership: Leadership, now: number): boolean {
  return leads(leadership, now) && leadership.confirmed && now >= leadership.orderFrom
}
