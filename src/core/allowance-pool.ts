/**
 * The allowance pool of a box: allowances that it holds of organisations' limits, and
 * what it still has to report to its leader.
 */
import type {
  AccountStatement,
  AllowanceRequest,
  AllowanceGrant
} from "../types/usage-messages.js"
import {CountedUsage} from "./counted-usage.js"
import {
  ALLOWANCE_LIFETIME_MS,
  DEFAULT_USAGE,
  usageLifetimeMs,
  type UsageOptions
} from "./usage-limits.js"

/**
 * The pool is filled for the demand of this time, and refilled when less than half is
 * left.
 */
const POOL_MS = 2_000

/** Time constant of the demand average. */
const DEMAND_AVERAGE_MS = 2_000

/** Interval of regular reports; usage and requests within it share a message. */
const REPORT_INTERVAL_MS = 600

/**
 * An allowance with less time left does not count as available when the pool is filled.
 */
const MIN_REMAINING_MS = 300

/**
 * After this time a box that refuses callers for lack of room asks again: limits are
 * raised, and others return allowances earlier than the leader must expect.
 */
const FULL_RECHECK_MS = 1_000

/**
 * First and longest time until an unanswered request is sent again; it doubles each time.
 * A box has only one unanswered request, so that a slow leader gets fewer messages, not
 * more.
 */
const RETRY_MS = 250
const MAX_RETRY_MS = 2_000

/** Time by which callers are spread for each request that is refused for one served. */
const SPREAD_MS = 1_000
const MIN_SERVED_PER_MS = 0.01

interface Portion {
  left: number
  readonly until: number
  /**
   * Number of the last leader that knows of it, counted by this box. Usage is reported to
   * that leader only.
   */
  term: number
}

interface Holding {
  portions: Portion[]
  /** Usage that still counts, whichever leader granted it. */
  readonly counted: CountedUsage
  /** Whether the leader has to be told the account of this box. */
  mustState: boolean
  used: number
  returned: number
  /** The limit has no room before then. */
  fullUntil: number
  /** Whether the leader does not know that the limit is reached. */
  isUnknown: boolean
  /** Average amount refused per millisecond, and when it was averaged. */
  refusedPerMs: number
  refusedAt: number
  /** When the leader said so. */
  fullSince: number
  /** Smallest amount refused since the last request for room; Infinity if none was. */
  refused: number
  /** Average usage per millisecond. */
  usagePerMs: number
  averagedAt: number
}

/** Allowances that one send used. They are refunded if the request is not executed. */
export interface Charge {
  readonly organisation: string
  readonly at: number
  readonly parts: readonly {readonly portion: Portion; readonly amount: number}[]
}

/** Demand of an organisation's waiting requests. */
export interface AllowanceDemand {
  readonly need: number
  /** Minimum amount kept in the pool for plain requests, independent of recent usage. */
  readonly least: number
}

interface WantedAmounts {
  readonly need: number
  readonly want: number
}

/** Request that has no answer yet. */
interface OpenRequest {
  readonly at: number
  readonly term: number
}

export class AllowancePool {
  private readonly holdings_ = new Map<string, Holding>()
  private term_ = 0
  private requestCount_ = 0
  private reportedAt_ = -Infinity
  /** Requests that may still be answered. */
  private readonly openRequests_ = new Map<number, OpenRequest>()
  /** The latest request has no answer yet. */
  private awaitsAnswer_ = false
  /** When the first of the requests without an answer was sent. Undefined if none is. */
  private unansweredSince_: number | undefined
  private lastRequest_ = 0
  private retryAt_ = -Infinity
  private retryMs_ = RETRY_MS

  constructor(private readonly options_: UsageOptions = DEFAULT_USAGE) {}

  /** Uses an amount. Returns undefined, and uses nothing, if the pool holds less. */
  charge(organisation: string, amount: number, now: number): Charge | undefined {
    const holding = this.holdingOf(organisation, now)
    this.expire(holding, now)
    if (availableAt(holding, now) < amount) return undefined
    const parts: {portion: Portion; amount: number}[] = []
    let left = amount
    for (const portion of holding.portions) {
      const part = Math.min(left, portion.left)
      if (part <= 0) continue
      portion.left -= part
      left -= part
      if (portion.term === this.term_) holding.used += part
      parts.push({portion, amount: part})
    }
    holding.counted.add(amount, now + usageLifetimeMs(this.options_))
    this.updateRate(holding, amount, now)
    return {organisation, at: now, parts}
  }

  /**
   * Refunds a charge whose request was not executed. What was reported as used stays
   * used, since the leader no longer counts it as held by this box.
   */
  refund({organisation, at, parts}: Charge): void {
    const holding = this.holdings_.get(organisation)
    if (!holding) return
    for (const {portion, amount} of parts) {
      const unreported =
        portion.term === this.term_ ? Math.min(amount, holding.used) : amount
      if (portion.term === this.term_) holding.used -= unreported
      portion.left += unreported
      holding.counted.remove(unreported, at + usageLifetimeMs(this.options_))
      // An expired portion is removed and reported as returned by the usual expiry.
      if (!holding.portions.includes(portion)) holding.portions.push(portion)
    }
  }

  holds(organisation: string, amount: number, now: number): boolean {
    const holding = this.holdings_.get(organisation)
    return holding !== undefined && availableAt(holding, now) >= amount
  }

  /** Returns the time until the limit may have room again; 0 if it may have room now. */
  fullForMs(organisation: string, now: number): number {
    return Math.max(0, (this.holdings_.get(organisation)?.fullUntil ?? 0) - now)
  }

  /** Whether the leader does not know that the limit is reached. */
  isUnknown(organisation: string): boolean {
    return this.holdings_.get(organisation)?.isUnknown ?? false
  }

  /** Records that a request for this amount was refused because the limit has no room. */
  recordRefusal(organisation: string, amount: number, now: number): void {
    const holding = this.holdings_.get(organisation)
    if (!holding) return
    holding.refused = Math.min(holding.refused, amount)
    const decay = Math.exp((holding.refusedAt - now) / DEMAND_AVERAGE_MS)
    holding.refusedPerMs = holding.refusedPerMs * decay + amount / DEMAND_AVERAGE_MS
    holding.refusedAt = now
  }

  /**
   * Records that a request for this amount was refused, as no leader answers. The leader is
   * asked for it with the next report, so that its first answer is noticed.
   */
  recordUnserved(organisation: string, amount: number, now: number): void {
    const holding = this.holdingOf(organisation, now)
    holding.refused = Math.min(holding.refused, amount)
  }

  /**
   * Returns how much longer than until there is room a refused caller should wait. Of
   * callers that come back at once as many are refused again, so the time grows with the
   * demand that is refused for each that is served.
   */
  spreadMs(organisation: string, now: number): number {
    const holding = this.holdings_.get(organisation)
    if (!holding) return 0
    const served = Math.max(this.updateRate(holding, 0, now), MIN_SERVED_PER_MS)
    const decay = Math.exp((holding.refusedAt - now) / DEMAND_AVERAGE_MS)
    const excess = (holding.refusedPerMs * decay) / served
    return excess * SPREAD_MS
  }

  /**
   * Handles a change of leader. The next leader knows nothing of the allowances of the
   * last one until this box states its account.
   */
  beginTerm(): void {
    this.term_++
    for (const holding of this.holdings_.values()) {
      Object.assign(holding, {used: 0, returned: 0, mustState: true})
    }
    this.awaitsAnswer_ = false
    this.unansweredSince_ = undefined
    this.retryMs_ = RETRY_MS
  }

  /** Returns for how long the leader has answered no request. 0 if none waits for it. */
  unansweredMs(now: number): number {
    return this.unansweredSince_ === undefined ? 0 : now - this.unansweredSince_
  }

  /** Returns the report and requests to send now, or undefined if there are none. */
  buildRequest(
    needs: ReadonlyMap<string, AllowanceDemand>,
    now: number
  ): {readonly ask: number; readonly entries: readonly AllowanceRequest[]} | undefined {
    if (this.awaitsAnswer_ && now < this.retryAt_) return undefined
    for (const organisation of needs.keys()) this.holdingOf(organisation, now)
    const isReportDue = now - this.reportedAt_ >= REPORT_INTERVAL_MS
    if (!isReportDue && !this.mayBeUrgent(needs)) return undefined
    const wanted = [...this.holdings_].map(([organisation, holding]) => {
      this.expire(holding, now)
      const amounts = this.wantedAmounts(
        holding,
        needs.get(organisation),
        isReportDue,
        now
      )
      return {organisation, holding, ...amounts}
    })
    // A message costs the leader more than an entry in it, so entries are batched.
    const isUrgent = wanted.some(({need, holding}) => need > 0 || holding.mustState)
    if (!isReportDue && !isUrgent) return undefined
    this.reportedAt_ = now
    const entries = wanted.flatMap(each => this.takeEntry(each, now))
    if (entries.length === 0) return undefined
    const ask = ++this.requestCount_
    if (entries.some(({want}) => want > 0)) this.recordRequest(ask, now)
    return {ask, entries}
  }

  /**
   * Whether anything may have to be asked for before the next report. This is checked at
   * each tick, so it does not look at every portion.
   */
  private mayBeUrgent(needs: ReadonlyMap<string, AllowanceDemand>): boolean {
    for (const {need} of needs.values()) if (need > 0) return true
    for (const {mustState} of this.holdings_.values()) if (mustState) return true
    return false
  }

  private recordRequest(ask: number, now: number): void {
    if (this.awaitsAnswer_) this.retryMs_ = Math.min(MAX_RETRY_MS, 2 * this.retryMs_)
    this.awaitsAnswer_ = true
    this.unansweredSince_ ??= now
    this.lastRequest_ = ask
    this.retryAt_ = now + this.retryMs_
    this.openRequests_.set(ask, {at: now, term: this.term_})
    for (const [old, {at}] of this.openRequests_) {
      if (now - at > ALLOWANCE_LIFETIME_MS) this.openRequests_.delete(old)
    }
  }

  /** Handles the leader's answer. */
  handleGrants(ask: number, grants: readonly AllowanceGrant[], now: number): void {
    const asked = this.openRequests_.get(ask)
    if (ask === this.lastRequest_) this.awaitsAnswer_ = false
    this.unansweredSince_ = undefined
    this.retryMs_ = RETRY_MS
    for (const grant of grants) {
      const {organisation, amount, roomInMs, isUnknown = false} = grant
      const holding = this.holdingOf(organisation, now)
      if (roomInMs !== undefined) {
        const fullUntil = now + roomInMs
        Object.assign(holding, {fullUntil, isUnknown, fullSince: now})
      } else if (amount > 0) {
        holding.fullUntil = now
      }
      // A grant of an earlier leader would be missing in the account that was stated.
      if (asked?.term !== this.term_ || amount <= 0) continue
      // Counted from the request on (the box's clock), so it ends before the leader's
      // count does.
      holding.portions.push({
        left: amount,
        until: asked.at + ALLOWANCE_LIFETIME_MS,
        term: asked.term
      })
    }
  }

  private takeEntry(
    {
      organisation,
      holding,
      need,
      want
    }: WantedAmounts & {
      organisation: string
      holding: Holding
    },
    now: number
  ): AllowanceRequest[] {
    const {used, returned, mustState} = holding
    if (want === 0 && used + returned === 0 && !mustState) return []
    Object.assign(holding, {used: 0, returned: 0, mustState: false})
    const entry = {organisation, used, returned, need, want}
    return [mustState ? {...entry, account: this.stateAccount(holding, now)} : entry]
  }

  /** Returns the account for the leader, to which its portions are reported from now on. */
  private stateAccount({portions, counted}: Holding, now: number): AccountStatement {
    for (const portion of portions) portion.term = this.term_
    const held = portions
      .filter(({left}) => left > 0)
      .map(({left, until}) => ({amount: left, forMs: until - now}))
    return {used: counted.list(now), held}
  }

  private wantedAmounts(
    holding: Holding,
    {need: waitingNeed, least}: AllowanceDemand = {need: 0, least: 0},
    isReportDue: boolean,
    now: number
  ): WantedAmounts {
    const none = {need: 0, want: 0}
    if (holding.fullUntil > now) {
      const isDue = isReportDue && now - holding.fullSince >= FULL_RECHECK_MS
      return isDue ? takeRefused(holding) : none
    }
    const available = availableAt(holding, now + MIN_REMAINING_MS)
    const wanted = Math.max(waitingNeed, isReportDue ? takeRefused(holding).need : 0)
    const need = wanted > 0 ? Math.max(0, wanted - availableAt(holding, now)) : 0
    const target = Math.max(least, this.updateRate(holding, 0, now) * POOL_MS)
    const isLow = available < target / 2
    if (need === 0 && (!isLow || !isReportDue)) return none
    return {need, want: Math.ceil(Math.max(need, need + target - available))}
  }

  private holdingOf(organisation: string, now: number): Holding {
    const known = this.holdings_.get(organisation)
    if (known) return known
    const holding: Holding = {
      portions: [],
      counted: new CountedUsage(),
      mustState: false,
      used: 0,
      returned: 0,
      fullUntil: -Infinity,
      isUnknown: false,
      refusedPerMs: 0,
      refusedAt: now,
      fullSince: -Infinity,
      refused: Infinity,
      usagePerMs: 0,
      averagedAt: now
    }
    this.holdings_.set(organisation, holding)
    return holding
  }

  private expire(holding: Holding, now: number): void {
    const {portions} = holding
    if (!portions.some(({until}) => until <= now)) return
    for (const {left, until, term} of portions) {
      if (until <= now && term === this.term_) holding.returned += left
    }
    holding.portions = portions.filter(({until}) => until > now)
  }

  /** Records usage and returns the current average per millisecond. */
  private updateRate(holding: Holding, used: number, now: number): number {
    const passed = now - holding.averagedAt
    holding.usagePerMs =
      holding.usagePerMs * Math.exp(-passed / DEMAND_AVERAGE_MS) +
      used / DEMAND_AVERAGE_MS
    holding.averagedAt = now
    return holding.usagePerMs
  }
}

/** Requests the smallest amount that was refused, if any was. */
function takeRefused(holding: Holding): WantedAmounts {
  const amount = Number.isFinite(holding.refused) ? holding.refused : 0
  holding.refused = Infinity
  return {need: amount, want: amount}
}

/** Returns the amount that is available at that time. */
function availableAt({portions}: Holding, now: number): number {
  return portions.reduce((sum, {left, until}) => (until > now ? sum + left : sum), 0)
}
