/**
 * Pattern in one process, without a network: one organisation whose callers reach all
 * boxes, while leaders change. Each leader runs in one of the boxes.
 *
 * Faults come at given times or at random: a leader's box is killed, or only loses the
 * lead and goes on as a box; boxes are killed, cut off, or lose their link for a moment;
 * messages arrive late; writes of the store have no known result.
 */
import {AllowancePool} from "../../src/core/allowance-pool.js"
import {type LedgerEffect, UsageLedger} from "../../src/core/usage-ledger.js"
import {type UsageOptions, windowLimit} from "../../src/core/usage-limits.js"
import type {UsageClaims, UsageProjections} from "../../src/types/usage-messages.js"
import {createRandom, uniformFloat64} from "../../src/utils/random.js"
import {Agenda} from "./agenda.js"

const ORGANISATION = "org"
const COST = 20
const PER_SECOND = 400
const TICK_MS = 10

/** Longest time that a request waits for an allowance. */
const HOLD_MS = 200

/** Time without a leader after one is lost. Shorter than requests wait. */
const TAKEOVER_MS = 150

const LINK_MS = 3
const STORE_MS = 20

export interface LeaderChangesOptions {
  readonly seed: number
  readonly boxes: number
  readonly windowMs: number
  /** Demand, as a share of the limit. */
  readonly demand: number
  readonly seconds: number
  /** When the lead moves to the next box (ms). The box that led goes on. */
  readonly movedAt?: readonly number[]
  /** When the leader's box is killed (ms). Another process starts in its place. */
  readonly killedAt?: readonly number[]
  /** Another box is killed as well, in the moment in which a leader ends. */
  readonly withAnother?: boolean
  /** Mean time between random faults (ms). None if undefined. */
  readonly faultsEachMs?: number
  /** Requests before this time do not count in the result (ms). */
  readonly countFrom?: number
}

export interface LeaderChangesResult {
  /** Largest usage in any window, as a share of the limit. */
  readonly mostUsed: number
  /** Share of requests refused. */
  readonly refused: number
  /** Longest run of seconds in which over half of the requests were refused. */
  readonly darkSeconds: number
}

/** Simulates the pattern. */
export function simulateLeaderChanges(
  options: LeaderChangesOptions
): LeaderChangesResult {
  return new LeaderChanges(options).play()
}

interface Box {
  readonly name: string
  readonly pool: AllowancePool
  readonly waiting: number[]
  /** The leader's term with which the box is linked. */
  linkedTerm: number | undefined
  cutUntil: number
}

interface Stored {
  readonly outlooks: UsageProjections
  readonly claims: UsageClaims
}

class LeaderChanges {
  private readonly agenda_ = new Agenda()
  private readonly usage_: UsageOptions
  private readonly limit_: number
  private readonly boxes_: Box[] = []
  private readonly uses_: number[] = []
  private readonly served_: number[] = []
  private readonly refused_: number[] = []
  private random_
  private processes_ = 0
  private term_ = 0
  private leader_: Box | undefined
  private ledger_: UsageLedger | undefined
  private stored_: Stored | undefined

  constructor(private readonly options_: LeaderChangesOptions) {
    this.random_ = createRandom(options_.seed)
    this.usage_ = {windowMs: options_.windowMs, overage: 0, slack: 0}
    this.limit_ = windowLimit(
      {perSecond: PER_SECOND, burst: PER_SECOND, unit: "tokens", plainTokens: COST},
      this.usage_
    )
  }

  play(): LeaderChangesResult {
    const {boxes, seconds, movedAt = [], killedAt = [], faultsEachMs} = this.options_
    for (let i = 0; i < boxes; i++) this.boxes_.push(this.startBox())
    this.elect()
    for (const at of movedAt) this.agenda_.schedule(at, () => this.loseLeader(false))
    for (const at of killedAt) this.agenda_.schedule(at, () => this.loseLeader(true))
    if (faultsEachMs !== undefined) this.scheduleFault(faultsEachMs)
    this.agenda_.schedule(TICK_MS, () => this.tick())
    this.agenda_.runUntil(seconds * 1_000)
    return this.result()
  }

  private draw(): number {
    const [value, next] = uniformFloat64(this.random_)
    this.random_ = next
    return value
  }

  private pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.draw() * items.length)] as T
  }

  private startBox(): Box {
    return {
      name: `box-${this.processes_++}`,
      pool: new AllowancePool(this.usage_),
      waiting: [],
      linkedTerm: undefined,
      cutUntil: -Infinity
    }
  }

  private scheduleFault(eachMs: number): void {
    this.agenda_.schedule(-Math.log(1 - this.draw()) * eachMs, () => {
      this.playFault()
      this.scheduleFault(eachMs)
    })
  }

  private playFault(): void {
    const box = this.pick(this.boxes_)
    const kind = Math.floor(this.draw() * 5)
    if (kind === 0) this.loseLeader(true)
    else if (kind === 1) this.loseLeader(false)
    else if (kind === 2 && box !== this.leader_) this.kill(box)
    else if (kind === 3) this.cut(box, 500 + this.draw() * 6_000)
    else this.cut(box, 1)
  }

  private kill(box: Box): void {
    this.boxes_[this.boxes_.indexOf(box)] = this.startBox()
    if (box.linkedTerm === this.term_) this.ledger_?.forgetBox(box.name)
  }

  private cut(box: Box, forMs: number): void {
    if (box === this.leader_) return
    box.cutUntil = this.agenda_.now + forMs
    if (box.linkedTerm === this.term_) this.ledger_?.forgetBox(box.name)
    box.linkedTerm = undefined
  }

  private loseLeader(withBox: boolean): void {
    const {leader_: leader} = this
    if (!leader) return
    this.ledger_ = undefined
    this.leader_ = undefined
    this.term_++
    if (withBox) this.kill(leader)
    if (this.options_.withAnother) {
      this.kill(this.pick(this.boxes_.filter(box => box !== leader)))
    }
    const next = this.pick(this.boxes_.filter(box => box !== leader))
    this.agenda_.schedule(TAKEOVER_MS, () => this.elect(next))
  }

  private elect(next: Box = this.boxes_[0] as Box): void {
    if (!this.boxes_.includes(next)) return this.elect()
    const term = ++this.term_
    next.cutUntil = -Infinity
    this.leader_ = next
    this.ledger_ = new UsageLedger(
      this.usage_,
      () => new Map([[ORGANISATION, this.limit_]]),
      effect => this.perform(effect, term),
      next.name
    )
    this.ledger_.startReading()
  }

  private perform(effect: LedgerEffect, term: number): void {
    if (effect.type === "allow") return this.sendGrants(effect, term)
    const {ledger_: ledger, agenda_: agenda} = this
    agenda.schedule(STORE_MS, () => {
      if (effect.type === "read-usage") {
        if (term === this.term_)
          ledger?.handleStored(
            this.stored_?.outlooks ?? {},
            agenda.now,
            this.stored_?.claims
          )
        return
      }
      if (term !== this.term_) return
      const isUnknown = this.options_.faultsEachMs !== undefined && this.draw() < 0.1
      if (!isUnknown || this.draw() < 0.5) this.stored_ = effect
      ledger?.handleSaved(effect.save, !isUnknown, agenda.now)
    })
  }

  private delayMs(): number {
    const isLate = this.options_.faultsEachMs !== undefined && this.draw() < 0.03
    return isLate ? this.draw() * 1_500 : LINK_MS
  }

  private sendGrants(
    {box: name, ask, grants}: Extract<LedgerEffect, {type: "allow"}>,
    term: number
  ): void {
    const box = this.boxes_.find(each => each.name === name)
    if (!box || box.linkedTerm !== term) return
    this.agenda_.schedule(this.delayMs(), () =>
      box.pool.handleGrants(ask, grants, this.agenda_.now)
    )
  }

  private tick(): void {
    const {now} = this.agenda_
    for (const box of this.boxes_) this.tickBox(box, now)
    this.ledger_?.tick(now)
    this.agenda_.schedule(TICK_MS, () => this.tick())
  }

  private tickBox(box: Box, now: number): void {
    const {pool, waiting} = box
    const {demand, boxes, windowMs} = this.options_
    const perMs = (demand * this.limit_) / windowMs / COST / boxes
    if (this.draw() < perMs * TICK_MS) waiting.push(now)
    this.link(box, now)
    const need = COST * waiting.length
    const needs = new Map(need > 0 ? [[ORGANISATION, {need, least: COST}]] : [])
    const request = pool.buildRequest(needs, now)
    if (request) this.sendUsage(box, request)
    const left = waiting.splice(0).filter(since => {
      if (pool.charge(ORGANISATION, COST, now)) {
        this.uses_.push(now)
        this.served_.push(now)
        return false
      }
      if (now - since < HOLD_MS) return true
      this.refused_.push(now)
      return false
    })
    waiting.push(...left)
  }

  private link(box: Box, now: number): void {
    const isLinked = box.linkedTerm === this.term_
    if (isLinked || !this.leader_ || now < box.cutUntil) return
    box.linkedTerm = this.term_
    box.pool.beginTerm()
  }

  private sendUsage(
    box: Box,
    {ask, entries}: NonNullable<ReturnType<AllowancePool["buildRequest"]>>
  ): void {
    const {linkedTerm: term, pool} = box
    const {ledger_: ledger} = this
    if (term !== this.term_) return
    this.agenda_.schedule(LINK_MS, () => {
      // A link delivers in order, and what was sent is lost when it breaks.
      if (box.linkedTerm !== term || pool !== box.pool || !this.boxes_.includes(box))
        return
      ledger?.handleUsage(box.name, ask, entries, this.agenda_.now)
    })
  }

  private result(): LeaderChangesResult {
    const from = this.options_.countFrom ?? 0
    const counts = (times: readonly number[]): number[] => {
      const bySecond: number[] = []
      for (const at of times) {
        if (at < from) continue
        const second = Math.floor(at / 1_000)
        bySecond[second] = (bySecond[second] ?? 0) + 1
      }
      return bySecond
    }
    const served = counts(this.served_)
    const refused = counts(this.refused_)
    const sum = (all: readonly number[]): number => all.reduce((a, b) => a + b, 0)
    return {
      mostUsed: this.mostUsed() / this.limit_,
      refused: sum(refused) / Math.max(1, sum(refused) + sum(served)),
      darkSeconds: longestRun(this.options_.seconds, second => {
        const lost = refused[second] ?? 0
        return lost > 0 && lost > (served[second] ?? 0)
      })
    }
  }

  private mostUsed(): number {
    let most = 0
    let first = 0
    this.uses_.forEach((at, i) => {
      while ((this.uses_[first] as number) <= at - this.options_.windowMs) first++
      most = Math.max(most, (i - first + 1) * COST)
    })
    return most
  }
}

function longestRun(length: number, holds: (index: number) => boolean): number {
  let longest = 0
  let run = 0
  for (let i = 0; i < length; i++) {
    run = holds(i) ? run + 1 : 0
    longest = Math.max(longest, run)
  }
  return longest
}
