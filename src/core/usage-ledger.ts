/**
 * What organisations use, as the leader counts it: allowances that boxes hold, and what they have used. The
 * next leader knows none of it. So what counts is bounded by an outlook that stands in the key-value service:
 * how much may still count at most, now and so many steps later, whenever this leader ends. The next one
 * takes that for used. An allowance is given only within the limit and within that outlook, so that the
 * proof in `usage-limits.ts` holds over any number of leaders.
 */
import type {
  AllowanceAsk,
  AllowanceGrant,
  UsageOutlooks
} from "../types/usage-messages.js"
import {CountedUsage, STEP_MS} from "./counted-usage.js"
import {ALLOWANCE_MS, countedMs, type UsageOptions} from "./usage-limits.js"

/** Of a limit, what the stored outlook leaves for growth: more makes fewer writes, and a poorer next leader. */
const HEADROOM_SHARE = 0.12

/** Of a limit, the growth that is left when the outlook is written anew. */
const LOW_HEADROOM_SHARE = 0.06

/** Of a limit, the growth that is given back where it stays unused, and after how long, milliseconds. */
const SPARE_SHARE = 0.5
const SPARE_MS = 5_000

/** Of a limit, the room below which boxes get less than they would like to have in stock. */
const SCARCE_SHARE = 0.3

/** Between two looks at whether the outlook is to be stored anew, milliseconds. */
const CHECK_MS = 30

/** An ask that waited longer for the key-value service is asked again by its box, milliseconds. */
const PENDING_MS = 250

/** What a box holds of an organisation's limit, the oldest first. */
interface Held {
  amount: number
  readonly until: number
}

interface Account {
  readonly counted: CountedUsage
  readonly held: Map<string, Held[]>
  /** What the key-value service holds for sure; empty: nothing. */
  stored: readonly number[]
}

interface PendingAsk {
  readonly box: string
  readonly ask: number
  readonly entry: AllowanceAsk
  readonly at: number
}

/** The answer to one entry of an ask; undefined: it has to wait for the outlook to be stored. */
type Decision = AllowanceGrant | undefined

export type LedgerEffect =
  | {readonly type: "read-usage"}
  | {
      readonly type: "save-usage"
      /** Its answer names it. */
      readonly save: number
      readonly outlooks: UsageOutlooks
    }
  | {
      readonly type: "allow"
      readonly box: string
      readonly ask: number
      readonly grants: readonly AllowanceGrant[]
    }

/** What each organisation that has a limit may use in any window. */
export type UsageLimits = () => ReadonlyMap<string, number>

export class UsageLedger {
  private readonly accounts_ = new Map<string, Account>()
  /** All limits may be used up until then. */
  private fullUntil_ = -Infinity
  private phase_: "new" | "reading" | "known" = "new"
  private closed_ = false
  private saves_ = 0
  private saving_: UsageOutlooks | undefined
  private savedAt_ = -Infinity
  private checkedAt_ = -Infinity
  private pending_: PendingAsk[] = []
  private readonly steps_: number

  constructor(
    private readonly options_: UsageOptions,
    private readonly limits_: UsageLimits,
    private readonly emit_: (effect: LedgerEffect) => void
  ) {
    this.steps_ = Math.ceil((ALLOWANCE_MS + countedMs(options_)) / STEP_MS) + 1
  }

  /** Asks for what earlier leaders left, before there is need. */
  begin(): void {
    if (this.phase_ !== "new") return
    this.phase_ = "reading"
    this.emit_({type: "read-usage"})
  }

  /**
   * What earlier leaders may have given counts from now on as their outlook says; undefined: what there is
   * stood in an older copy of the service, and all limits may be used up.
   */
  takeStored(outlooks: UsageOutlooks | undefined, now: number): void {
    if (this.phase_ === "known") return
    this.phase_ = "known"
    if (outlooks) this.takeOutlooks(outlooks, now)
    else this.fullUntil_ = now + ALLOWANCE_MS + countedMs(this.options_)
    this.save(now)
  }

  /** The service came back from an older copy: the outlook that stands there may not be this leader's. */
  forgetStored(): void {
    for (const account of this.accounts_.values()) account.stored = []
    this.saving_ = undefined
  }

  private takeOutlooks(outlooks: UsageOutlooks, now: number): void {
    for (const [organisation, outlook] of Object.entries(outlooks)) {
      const {counted} = this.open(organisation)
      outlook.forEach((amount, step) => {
        const ends = amount - (outlook[step + 1] ?? 0)
        if (ends > 0) counted.add(ends, now + (step + 1) * STEP_MS)
      })
    }
  }

  /** Time passes: what waits for the key-value service is not forgotten. */
  tick(now: number): void {
    this.saveIfDue(now)
  }

  /** This leader gives no more: the next one finds no more taken than is. */
  close(now: number): void {
    if (this.phase_ !== "known") return
    this.closed_ = true
    this.pending_ = []
    this.save(now)
  }

  /** A box tells what it used, and asks for allowances. */
  take(box: string, ask: number, entries: readonly AllowanceAsk[], now: number): void {
    this.begin()
    for (const entry of entries) this.settle(box, entry, now)
    this.answer(
      entries.filter(({want}) => want > 0).map(entry => ({box, ask, entry, at: now})),
      now
    )
    this.saveIfDue(now)
  }

  /** The outlook stands in the key-value service, or may not. */
  noteSaved(save: number, ok: boolean, now: number): void {
    if (save !== this.saves_) return
    const saved = this.saving_
    this.saving_ = undefined
    if (!saved) return
    if (ok) {
      this.savedAt_ = now
      for (const [organisation, outlook] of Object.entries(saved)) {
        this.open(organisation).stored = outlook
      }
    }
    const waiting = this.pending_.filter(({at}) => now - at < PENDING_MS)
    this.pending_ = []
    if (ok) this.answer(waiting, now)
    else this.pending_ = waiting
    this.saveIfDue(now)
  }

  /** A box is gone, or its link is: what it holds counts to its end. */
  forgetBox(box: string): void {
    for (const {held} of this.accounts_.values()) held.delete(box)
    this.pending_ = this.pending_.filter(each => each.box !== box)
  }

  /** What counts for an organisation. */
  totalOf(organisation: string, now: number): number {
    return this.accounts_.get(organisation)?.counted.total(now) ?? 0
  }

  private open(organisation: string): Account {
    const known = this.accounts_.get(organisation)
    if (known) return known
    const account: Account = {counted: new CountedUsage(), held: new Map(), stored: []}
    this.accounts_.set(organisation, account)
    return account
  }

  /** Uses count from when they are told, what is given back no longer. */
  private settle(box: string, entry: AllowanceAsk, now: number): void {
    const {organisation, used, returned} = entry
    const {counted, held} = this.open(organisation)
    const span = countedMs(this.options_)
    const portions = (held.get(box) ?? []).filter(({until}) => until + span > now)
    held.set(box, portions)
    // What is given back ran out: it is of the oldest portions, and none of the use that is told with it.
    for (const {amount, until} of draw(portions, returned)) {
      counted.remove(amount, until + span)
    }
    let unknown = used
    for (const {amount, until} of draw(portions, used)) {
      counted.remove(amount, until + span)
      counted.add(amount, Math.min(now, until) + span)
      unknown -= amount
    }
    // It held no more, as far as is known here.
    if (unknown > 0) counted.add(unknown, now + span)
  }

  private answer(asks: readonly PendingAsk[], now: number): void {
    const grants = new Map<string, {ask: PendingAsk; grants: AllowanceGrant[]}>()
    for (const ask of asks) {
      const decision = this.decide(ask.entry, now)
      if (!decision) {
        this.pending_.push(ask)
        continue
      }
      if (decision.amount > 0) this.give(ask.box, decision, now)
      const key = `${ask.box} ${ask.ask}`
      const answer = grants.get(key) ?? {ask, grants: []}
      answer.grants.push(decision)
      grants.set(key, answer)
    }
    for (const {ask, grants: given} of grants.values()) {
      this.emit_({type: "allow", box: ask.box, ask: ask.ask, grants: given})
    }
  }

  private decide({organisation, need, want}: AllowanceAsk, now: number): Decision {
    const limit = this.limits_().get(organisation)
    if (limit === undefined) return {organisation, amount: 0}
    if (this.phase_ !== "known" || this.closed_) return undefined
    if (now < this.fullUntil_) {
      return {organisation, amount: 0, roomInMs: Math.round(this.fullUntil_ - now)}
    }
    const account = this.open(organisation)
    const room = Math.max(0, limit - account.counted.total(now))
    const storedRoom = this.storedRoom(account, now)
    if (Math.min(need, room) > storedRoom) return undefined
    if (need > room) {
      const roomInMs = Math.round(account.counted.timeUntil(limit - need, now))
      return {organisation, amount: Math.floor(room), roomInMs}
    }
    const spare = Math.min(1, room / (SCARCE_SHARE * limit)) * (want - need)
    const more = Math.max(0, Math.min(spare, room - need, storedRoom - need))
    return {organisation, amount: need + Math.floor(more)}
  }

  private give(box: string, {organisation, amount}: AllowanceGrant, now: number): void {
    const {counted, held} = this.open(organisation)
    const until = now + ALLOWANCE_MS
    const portions = held.get(box) ?? []
    portions.push({amount, until})
    held.set(box, portions)
    counted.add(amount, until + countedMs(this.options_))
  }

  /** What may be given without more being stored. */
  private storedRoom({counted, stored}: Account, now: number): number {
    const outlook = counted.outlook(now, this.steps_)
    return Math.min(...outlook.map((amount, step) => (stored[step] ?? 0) - amount))
  }

  private outlookOf({counted}: Account, limit: number, now: number): number[] {
    const outlook = counted.outlook(now, this.steps_)
    return outlook.map((amount, step) =>
      now + step * STEP_MS < this.fullUntil_ ? Math.max(amount, limit) : amount
    )
  }

  private sumPending(): Map<string, number> {
    const sums = new Map<string, number>()
    for (const {entry} of this.pending_) {
      const {organisation, want} = entry
      sums.set(organisation, (sums.get(organisation) ?? 0) + want)
    }
    return sums
  }

  /** Stores the outlook where growth would soon not fit, or where much of it is not needed. */
  private saveIfDue(now: number): void {
    if (this.saving_ || this.closed_ || this.phase_ !== "known") return
    if (now - this.checkedAt_ < CHECK_MS) return
    this.checkedAt_ = now
    if (this.pending_.length > 0) return this.save(now)
    const spareDue = now - this.savedAt_ > SPARE_MS
    const due = [...this.limits_()].some(([organisation, limit]) => {
      const account = this.open(organisation)
      const total = account.counted.total(now)
      const stored = account.stored[0] ?? 0
      if (spareDue && stored - total > SPARE_SHARE * limit) return true
      const growth = Math.min(LOW_HEADROOM_SHARE * limit, limit - total)
      return this.storedRoom(account, now) < growth
    })
    if (due) this.save(now)
  }

  private save(now: number): void {
    const outlooks: Record<string, readonly number[]> = {}
    const pending = this.sumPending()
    for (const [organisation, limit] of this.limits_()) {
      const account = this.open(organisation)
      const outlook = this.outlookOf(account, limit, now)
      const spare = this.closed_ ? 0 : HEADROOM_SHARE * limit
      const growth = spare + (pending.get(organisation) ?? 0)
      const next = outlook.map(amount =>
        Math.ceil(Math.max(amount, Math.min(limit, amount + growth)))
      )
      outlooks[organisation] = next
      // Until it is known which of the two is stored, both bind.
      const {stored} = account
      account.stored = next.map((amount, step) => Math.min(amount, stored[step] ?? 0))
    }
    this.saving_ = outlooks
    this.emit_({type: "save-usage", save: ++this.saves_, outlooks})
  }
}

/** Takes an amount off what is held, the oldest first, and tells of which portions. */
function draw(portions: Held[], amount: number): Held[] {
  const drawn: Held[] = []
  let left = amount
  while (left > 0 && portions.length > 0) {
    const [first] = portions as [Held]
    const part = Math.min(left, first.amount)
    drawn.push({amount: part, until: first.until})
    first.amount -= part
    left -= part
    if (first.amount <= 0) portions.shift()
  }
  return drawn
}
