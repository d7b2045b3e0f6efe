/** Allowances that a box holds of organisations' limits, and what it has to tell its leader of them. */
import type {AllowanceAsk, AllowanceGrant} from "../types/usage-messages.js"
import {ALLOWANCE_MS} from "./usage-limits.js"

/** A box asks for what it uses in this time, and again when half of that is left, milliseconds. */
const STOCK_MS = 2_000

/** The time over which use is averaged, milliseconds. */
const DEMAND_MS = 2_000

/** What is used within this time is told together, and stock asked for, milliseconds. */
const TELL_MS = 600

/** An allowance with less time left counts for nothing in stock, milliseconds. */
const SHORT_MS = 300

/**
 * A box has one ask without an answer at a time, whatever comes meanwhile: a leader that is late is asked
 * less, and not more. It is asked again after this, each time after twice as long, milliseconds.
 */
const ASK_AGAIN_MS = 250
const MAX_ASK_AGAIN_MS = 2_000

interface Portion {
  left: number
  readonly until: number
  /** Counts the leaders that the box had: only the one that gave it is told of its use. */
  readonly term: number
}

interface Holding {
  portions: Portion[]
  used: number
  returned: number
  /** There is no room for more before. */
  fullUntil: number
  /** Used a millisecond, lately. */
  rate: number
  ratedAt: number
}

/** What one send has used, to be given back if it does not run. */
export interface Charge {
  readonly organisation: string
  readonly at: number
  readonly parts: readonly {readonly portion: Portion; readonly amount: number}[]
}

/** What requests of an organisation wait for. */
export interface UsageNeed {
  readonly need: number
  /** Kept in stock for plain requests, whatever was used lately. */
  readonly least: number
}

interface Wish {
  readonly need: number
  readonly want: number
}

/** An ask that is not answered yet. */
interface OpenAsk {
  readonly at: number
  readonly term: number
}

export class UsageStock {
  private readonly holdings_ = new Map<string, Holding>()
  private term_ = 0
  private asks_ = 0
  private toldAt_ = -Infinity
  /** Asks whose answers may still come. */
  private readonly open_ = new Map<number, OpenAsk>()
  /** The last of them has no answer. */
  private waits_ = false
  private lastAsk_ = 0
  private askAgainAt_ = -Infinity
  private askAgainMs_ = ASK_AGAIN_MS

  /** Uses an amount if all of it is there. */
  charge(organisation: string, amount: number, now: number): Charge | undefined {
    const holding = this.open(organisation, now)
    this.expire(holding, now)
    if (stockOf(holding, now) < amount) return undefined
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
    this.rate(holding, amount, now)
    return {organisation, at: now, parts}
  }

  /** What was charged did not run. What was told as used stays so: the leader counts it no longer as held. */
  giveBack({organisation, parts}: Charge): void {
    const holding = this.holdings_.get(organisation)
    if (!holding) return
    for (const {portion, amount} of parts) {
      const untold = portion.term === this.term_ ? Math.min(amount, holding.used) : amount
      if (portion.term === this.term_) holding.used -= untold
      portion.left += untold
      // One whose time is over goes, and is told as given back, as all others.
      if (!holding.portions.includes(portion)) holding.portions.push(portion)
    }
  }

  /** Whether so much can be used now. */
  holds(organisation: string, amount: number, now: number): boolean {
    const holding = this.holdings_.get(organisation)
    return holding !== undefined && stockOf(holding, now) >= amount
  }

  /** In how long there may be room again, milliseconds; 0: there may be now. */
  fullForMs(organisation: string, now: number): number {
    return Math.max(0, (this.holdings_.get(organisation)?.fullUntil ?? 0) - now)
  }

  /** Another box leads, or this one: nobody is told of what the last one gave. */
  beginTerm(): void {
    this.term_++
    for (const holding of this.holdings_.values()) {
      Object.assign(holding, {used: 0, returned: 0})
    }
    this.waits_ = false
    this.askAgainMs_ = ASK_AGAIN_MS
  }

  /** What is to be told and asked now; undefined: nothing. */
  collect(
    needs: ReadonlyMap<string, UsageNeed>,
    now: number
  ): {readonly ask: number; readonly entries: readonly AllowanceAsk[]} | undefined {
    if (this.waits_ && now < this.askAgainAt_) return undefined
    for (const organisation of needs.keys()) this.open(organisation, now)
    const regular = now - this.toldAt_ >= TELL_MS
    const wishes = [...this.holdings_].map(([organisation, holding]) => {
      this.expire(holding, now)
      const wish = this.wish(holding, needs.get(organisation), regular, now)
      return {organisation, holding, ...wish}
    })
    // Each message costs the leader more than what stands in it.
    if (!regular && !wishes.some(({need}) => need > 0)) return undefined
    this.toldAt_ = now
    const entries = wishes.flatMap(each => this.entryFor(each))
    if (entries.length === 0) return undefined
    const ask = ++this.asks_
    if (entries.some(({want}) => want > 0)) this.noteAsk(ask, now)
    return {ask, entries}
  }

  private noteAsk(ask: number, now: number): void {
    if (this.waits_) this.askAgainMs_ = Math.min(MAX_ASK_AGAIN_MS, 2 * this.askAgainMs_)
    this.waits_ = true
    this.lastAsk_ = ask
    this.askAgainAt_ = now + this.askAgainMs_
    this.open_.set(ask, {at: now, term: this.term_})
    for (const [old, {at}] of this.open_) {
      if (now - at > ALLOWANCE_MS) this.open_.delete(old)
    }
  }

  /** Takes the leader's answer. */
  take(ask: number, grants: readonly AllowanceGrant[], now: number): void {
    const asked = this.open_.get(ask)
    if (ask === this.lastAsk_) this.waits_ = false
    this.askAgainMs_ = ASK_AGAIN_MS
    for (const {organisation, amount, roomInMs} of grants) {
      const holding = this.open(organisation, now)
      if (roomInMs !== undefined) holding.fullUntil = now + roomInMs
      if (!asked || amount <= 0) continue
      // By the box's clock from its ask on, which is earlier than the leader's count of it.
      holding.portions.push({
        left: amount,
        until: asked.at + ALLOWANCE_MS,
        term: asked.term
      })
    }
  }

  private entryFor({
    organisation,
    holding,
    need,
    want
  }: Wish & {organisation: string; holding: Holding}): AllowanceAsk[] {
    const {used, returned} = holding
    if (want === 0 && used + returned === 0) return []
    Object.assign(holding, {used: 0, returned: 0})
    return [{organisation, used, returned, need, want}]
  }

  private wish(
    holding: Holding,
    {need: waits, least}: UsageNeed = {need: 0, least: 0},
    regular: boolean,
    now: number
  ): Wish {
    const none = {need: 0, want: 0}
    if (holding.fullUntil > now) return none
    const stock = stockOf(holding, now + SHORT_MS)
    const need = waits > 0 ? Math.max(0, waits - stockOf(holding, now)) : 0
    const target = Math.max(least, this.rate(holding, 0, now) * STOCK_MS)
    const low = stock < target / 2
    if (need === 0 && (!low || !regular)) return none
    return {need, want: Math.ceil(Math.max(need, need + target - stock))}
  }

  private open(organisation: string, now: number): Holding {
    const known = this.holdings_.get(organisation)
    if (known) return known
    const holding: Holding = {
      portions: [],
      used: 0,
      returned: 0,
      fullUntil: -Infinity,
      rate: 0,
      ratedAt: now
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

  /** Notes what was used, and returns the rate. */
  private rate(holding: Holding, used: number, now: number): number {
    const passed = now - holding.ratedAt
    holding.rate = holding.rate * Math.exp(-passed / DEMAND_MS) + used / DEMAND_MS
    holding.ratedAt = now
    return holding.rate
  }
}

/** What is there at that time. */
function stockOf({portions}: Holding, now: number): number {
  return portions.reduce((sum, {left, until}) => (until > now ? sum + left : sum), 0)
}
