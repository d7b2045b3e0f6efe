/**
 * Three ways to keep one limit over many boxes, behind one interface: the allowances that the boxes use, on
 * their real core, and two others to compare them with.
 */
import type {UsageOptions} from "../../src/core/usage-limits.js"
import {type LedgerEffect, UsageLedger} from "../../src/core/usage-ledger.js"
import {AllowancePool} from "../../src/core/allowance-pool.js"
import type {UsageProjections} from "../../src/types/usage-messages.js"
import type {Agenda} from "./agenda.js"
import {LINK_MS} from "./fleet.js"

/** An answer of the key-value service, milliseconds. */
const STORE_MS = 4

/** How often a box looks at its stock, milliseconds. */
export const TICK_MS = 100

export interface WayOptions {
  readonly agenda: Agenda
  readonly boxes: number
  readonly usage: UsageOptions
  /** Of each organisation in any window, overage and slack included. */
  readonly limits: () => ReadonlyMap<string, number>
  /** Whether a message passes between the box and the leader now. */
  readonly reaches: (box: number) => boolean
}

/** One way to keep the limits. */
export interface LimitWay {
  /** Messages between boxes so far. */
  readonly messages: number
  /** Whether a request may be sent now; undefined: the box has to wait to know. */
  charge(box: number, organisation: string, amount: number): boolean | undefined
  /** Once a tick; what waits at the box, by organisation. */
  tick(box: number, waiting: ReadonlyMap<string, number>): void
  /** The box forgets all. */
  kill(box: number): void
  /** The leader is another box, which knows nothing. */
  changeLeader(): void
  /** Links are cut that no longer carry anything. */
  dropLink(box: number): void
}

/** Sums of what was used in a window, by organisation. */
class Windows {
  private readonly uses_ = new Map<string, {at: number; amount: number}[]>()

  constructor(private readonly windowMs_: number) {}

  add(organisation: string, amount: number, at: number): void {
    const uses = this.uses_.get(organisation) ?? []
    uses.push({at, amount})
    this.uses_.set(organisation, uses)
  }

  sum(organisation: string, now: number): number {
    const uses = this.uses_.get(organisation) ?? []
    while ((uses[0]?.at ?? now) <= now - this.windowMs_) uses.shift()
    return uses.reduce((sum, {amount}) => sum + amount, 0)
  }
}

/** Each box may use its part of the limit, whatever the others do; one that starts waits for a window. */
export class FixedParts implements LimitWay {
  readonly messages = 0
  private readonly windows_: Windows[]
  private readonly from_: number[]

  constructor(private readonly options_: WayOptions) {
    const {boxes, usage} = options_
    this.windows_ = Array.from({length: boxes}, () => new Windows(usage.windowMs))
    this.from_ = Array.from({length: boxes}, () => -Infinity)
  }

  charge(box: number, organisation: string, amount: number): boolean {
    const {agenda, boxes, limits} = this.options_
    const windows = this.windows_[box] as Windows
    const part = (limits().get(organisation) ?? 0) / boxes
    if (agenda.now < (this.from_[box] ?? 0)) return false
    if (windows.sum(organisation, agenda.now) + amount > part) return false
    windows.add(organisation, amount, agenda.now)
    return true
  }

  tick(): void {}

  kill(box: number): void {
    const {agenda, usage} = this.options_
    this.windows_[box] = new Windows(usage.windowMs)
    this.from_[box] = agenda.now + usage.windowMs
  }

  changeLeader(): void {}
  dropLink(): void {}
}

/** How often boxes tell what they used, and are told what part of requests to refuse, milliseconds. */
const ESTIMATE_MS = 1_000

/** Boxes tell the leader what they used each second, and it tells each what part of requests to admit. */
export class Estimates implements LimitWay {
  messages = 0
  private sums_: Windows
  private readonly used_: Map<string, number>[]
  private readonly admit_: Map<string, number>[]
  private readonly toldAt_: number[]
  private draws_ = 1

  constructor(private readonly options_: WayOptions) {
    const {boxes, usage} = options_
    this.sums_ = new Windows(usage.windowMs)
    this.used_ = Array.from({length: boxes}, () => new Map())
    this.admit_ = Array.from({length: boxes}, () => new Map())
    this.toldAt_ = Array.from({length: boxes}, (_, box) => -(box * ESTIMATE_MS) / boxes)
  }

  charge(box: number, organisation: string, amount: number): boolean {
    const admit = this.admit_[box]?.get(organisation) ?? 1
    this.draws_ = (this.draws_ * 48_271) % 2_147_483_647
    if (this.draws_ / 2_147_483_647 >= admit) return false
    const used = this.used_[box] as Map<string, number>
    used.set(organisation, (used.get(organisation) ?? 0) + amount)
    return true
  }

  tick(box: number): void {
    const {agenda, reaches, limits, usage} = this.options_
    if (agenda.now - (this.toldAt_[box] ?? 0) < ESTIMATE_MS) return
    this.toldAt_[box] = agenda.now
    if (!reaches(box)) return
    this.messages += 2
    const used = this.used_[box] as Map<string, number>
    agenda.later(LINK_MS, () => {
      for (const [organisation, amount] of used) {
        this.sums_.add(organisation, amount, agenda.now)
      }
      used.clear()
      agenda.later(LINK_MS, () => {
        for (const [organisation, limit] of limits()) {
          const sum = this.sums_.sum(organisation, agenda.now)
          const rate = Math.max(1, sum / usage.windowMs)
          const left = Math.max(0, limit - sum) / ESTIMATE_MS
          this.admit_[box]?.set(organisation, Math.min(1, left / rate))
        }
      })
    })
  }

  kill(box: number): void {
    this.used_[box]?.clear()
    this.admit_[box]?.clear()
  }

  changeLeader(): void {
    this.sums_ = new Windows(this.options_.usage.windowMs)
  }

  dropLink(): void {}
}

/** The boxes' own way, on their real core. */
export class Allowances implements LimitWay {
  messages = 0
  stored: UsageProjections = {}
  private readonly stocks_: AllowancePool[]
  private ledger_: UsageLedger | undefined
  private leads_ = 0

  constructor(private readonly options_: WayOptions) {
    this.stocks_ = Array.from({length: options_.boxes}, () => new AllowancePool())
    this.lead()
  }

  charge(box: number, organisation: string, amount: number): boolean | undefined {
    const {now} = this.options_.agenda
    const stock = this.stocks_[box] as AllowancePool
    if (stock.charge(organisation, amount, now)) return true
    return stock.fullForMs(organisation, now) > 0 ? false : undefined
  }

  tick(box: number, waiting: ReadonlyMap<string, number>): void {
    const {agenda, reaches} = this.options_
    const stock = this.stocks_[box] as AllowancePool
    const needs = new Map([...waiting].map(([name, need]) => [name, {need, least: 0}]))
    const collected = stock.buildRequest(needs, agenda.now)
    if (!collected || !reaches(box)) return
    const {ask, entries} = collected
    this.messages++
    const lead = this.leads_
    agenda.later(LINK_MS, () => {
      if (lead === this.leads_)
        this.ledger_?.handleUsage(String(box), ask, entries, agenda.now)
    })
  }

  kill(box: number): void {
    this.stocks_[box] = new AllowancePool()
    this.ledger_?.forgetBox(String(box))
  }

  changeLeader(): void {
    this.lead()
    for (const stock of this.stocks_) stock.beginTerm()
  }

  dropLink(box: number): void {
    this.ledger_?.forgetBox(String(box))
  }

  private lead(): void {
    const lead = ++this.leads_
    const {usage, limits} = this.options_
    const perform = (effect: LedgerEffect): void => this.perform(effect, lead)
    this.ledger_ = new UsageLedger(usage, limits, perform)
    this.ledger_.startReading()
  }

  private perform(effect: LedgerEffect, lead: number): void {
    const {agenda} = this.options_
    const ledger = this.ledger_
    if (effect.type === "allow") return this.allow(effect)
    agenda.later(STORE_MS, () => {
      if (lead !== this.leads_) return
      if (effect.type === "read-usage")
        return ledger?.handleStored(this.stored, agenda.now)
      this.stored = effect.outlooks
      ledger?.handleSaved(effect.save, true, agenda.now)
    })
  }

  private allow({box, ask, grants}: Extract<LedgerEffect, {type: "allow"}>): void {
    const {agenda, reaches} = this.options_
    const to = Number(box)
    this.messages++
    const stock = this.stocks_[to]
    agenda.later(LINK_MS, () => {
      if (reaches(to) && stock === this.stocks_[to])
        stock?.handleGrants(ask, grants, agenda.now)
    })
  }
}
