/**
 * A load pattern in one process, without a network: organisations whose callers reach many boxes, one of
 * them far over its limit, while boxes are cut off from their leader, killed, and leaders change.
 *
 * Grounds for the figures, from the sheet of a deployment of 83 boxes: 16 organisations, the largest with a
 * quarter of all use; limits are 1.8 times the usual use a second, counted in tokens over 8 s with a burst
 * of one second, a tenth and 17,000 tokens more; a request counts some 2,400 tokens, a plain one 200; a hot
 * organisation sends 7.5 times its usual.
 */
import type {UsageOptions} from "../../src/core/usage-limits.js"
import {createRandom, uniformFloat64} from "../../src/utils/random.js"
import {Agenda} from "./agenda.js"
import {LINK_MS} from "./fleet.js"
import {
  Allowances,
  Estimates,
  FixedParts,
  type LimitWay,
  TICK_MS,
  type WayOptions
} from "./limit-ways.js"

export type WayName = "fixed parts" | "estimates" | "allowances"

export interface SharedLimitsOptions {
  readonly seed: number
  readonly way: WayName
  readonly boxes: number
  readonly seconds: number
  /** The usual use of all organisations together, tokens a second. */
  readonly perSecond: number
  /** What each organisation sends of its usual, by its place, from a time on, seconds. */
  readonly demand: (organisation: number, at: number) => number
  /** Times, seconds. */
  readonly leaderLostAt?: readonly number[]
  readonly allKilledAt?: readonly number[]
  /** A third of the boxes is cut off from the leader from then until then, seconds. */
  readonly cut?: readonly [from: number, until: number]
  /** From then on limits are this part of what they were, seconds. */
  readonly lowered?: {readonly at: number; readonly to: number}
}

export interface SharedLimitsResult {
  /** The most used in any window, as a part of the limit with overage and slack. */
  readonly mostUsed: number
  /** Of requests of organisations that never asked for more than their limits, the part refused. */
  readonly refusedBeneath: number
  /** What organisations far over their limits used, as a part of their rates; 0: none was. */
  readonly hotUsed: number
  /** Between boxes, a box and second. */
  readonly messages: number
}

const USAGE: UsageOptions = {windowMs: 8_000, overage: 0.1, slack: 17_000}
const ORGANISATIONS = 16
const LIMIT_FACTOR = 1.8
const REQUEST_TOKENS = 2_400
const PLAIN_TOKENS = 200
const PLAIN_SHARE = 0.33

/** A request waits so long for an allowance, milliseconds. */
const HOLD_MS = 250

/** Without a leader for so long; and processes are away for so long, milliseconds. */
const TAKEOVER_MS = 1_500
const RESTART_MS = 1_000

/** A leader drops a box from which nothing comes after so long, milliseconds. */
const SILENCE_MS = 2_500

/** Plays the pattern. */
export function playSharedLimits(options: SharedLimitsOptions): SharedLimitsResult {
  return new SharedLimits(options).play()
}

interface Use {
  readonly at: number
  readonly amount: number
}

interface Waiting {
  readonly organisation: number
  readonly amount: number
  readonly until: number
}

class SharedLimits {
  private readonly agenda_ = new Agenda()
  private readonly way_: LimitWay
  private readonly uses_ = Array.from({length: ORGANISATIONS}, () => [] as Use[])
  private readonly waiting_: Waiting[][]
  private readonly shares_: number[]
  private random_
  private leaderFrom_ = 0
  private downUntil_ = 0
  private asked_ = 0
  private refused_ = 0

  constructor(private readonly options_: SharedLimitsOptions) {
    this.random_ = createRandom(options_.seed)
    this.waiting_ = Array.from({length: options_.boxes}, () => [])
    const ranks = Array.from({length: ORGANISATIONS}, (_, i) => 1 / (i + 1) ** 0.8)
    const sum = ranks.reduce((a, b) => a + b, 0)
    this.shares_ = ranks.map(rank => rank / sum)
    this.way_ = createWay(options_.way, {
      agenda: this.agenda_,
      boxes: options_.boxes,
      usage: USAGE,
      limits: () => this.limits(),
      reaches: box => this.reaches(box)
    })
  }

  play(): SharedLimitsResult {
    const {seconds, boxes, leaderLostAt = [], allKilledAt = [], cut} = this.options_
    for (let i = 0; i < ORGANISATIONS; i++) this.arrive(i)
    for (let box = 0; box < boxes; box++) {
      this.agenda_.later((box * TICK_MS) / boxes, () => this.tick(box))
    }
    for (const at of leaderLostAt) this.agenda_.later(at * 1000, () => this.loseLeader())
    for (const at of allKilledAt) this.agenda_.later(at * 1000, () => this.killAll())
    if (cut) this.agenda_.later(cut[0] * 1000 + SILENCE_MS, () => this.dropLinks())
    this.agenda_.runUntil(seconds * 1000)
    return {
      mostUsed: Math.max(...this.uses_.map((uses, i) => this.mostUsed(uses, i))),
      refusedBeneath: this.refused_ / Math.max(1, this.asked_),
      hotUsed: this.hotUsed(),
      messages: this.way_.messages / boxes / seconds
    }
  }

  private usual(organisation: number): number {
    return this.options_.perSecond * (this.shares_[organisation] ?? 0)
  }

  private limitOf(organisation: number, at: number): number {
    const {lowered} = this.options_
    const factor = lowered && at >= lowered.at * 1000 ? lowered.to : 1
    const perSecond = this.usual(organisation) * LIMIT_FACTOR * factor
    const burst = perSecond
    const {windowMs, overage, slack} = USAGE
    return ((perSecond * windowMs) / 1000 + burst) * (1 + overage) + slack
  }

  private limits(): Map<string, number> {
    const {now} = this.agenda_
    return new Map(this.shares_.map((_, i) => [`o${i}`, this.limitOf(i, now)] as const))
  }

  private reaches(box: number): boolean {
    const {now} = this.agenda_
    const {cut, boxes} = this.options_
    const isCut = cut && now >= cut[0] * 1000 && now < cut[1] * 1000 && box < boxes / 3
    return !isCut && now >= this.leaderFrom_
  }

  private draw(): number {
    const [value, next] = uniformFloat64(this.random_)
    this.random_ = next
    return value
  }

  private arrive(organisation: number): void {
    const {agenda_, options_} = this
    const demand = options_.demand(organisation, agenda_.now / 1000)
    const mean = REQUEST_TOKENS * (1 - PLAIN_SHARE) + PLAIN_TOKENS * PLAIN_SHARE
    const perMs = (this.usual(organisation) * demand) / mean / 1000
    agenda_.later(-Math.log(1 - this.draw()) / perMs, () => {
      this.request(organisation, demand)
      this.arrive(organisation)
    })
  }

  private request(organisation: number, demand: number): void {
    const {now} = this.agenda_
    if (now < this.downUntil_) return
    const box = Math.floor(this.draw() * this.options_.boxes)
    const plain = this.draw() < PLAIN_SHARE
    const tokens = Math.round(REQUEST_TOKENS * (0.5 + this.draw()))
    const amount = plain ? PLAIN_TOKENS : tokens
    if (demand <= 1) this.asked_++
    const waiting = {organisation, amount, until: now + HOLD_MS}
    const given = this.way_.charge(box, `o${organisation}`, amount)
    if (given === true) this.use(waiting)
    else if (given === false) this.refuse(waiting)
    else {
      this.waiting_[box]?.push(waiting)
      this.ask(box)
    }
  }

  private ask(box: number): void {
    const needs = new Map<string, number>()
    for (const {organisation, amount} of this.waiting_[box] ?? []) {
      const name = `o${organisation}`
      needs.set(name, (needs.get(name) ?? 0) + amount)
    }
    this.way_.tick(box, needs)
    if (needs.size > 0) this.agenda_.later(2 * LINK_MS + 0.1, () => this.look(box))
  }

  private look(box: number): void {
    const {now} = this.agenda_
    const waiting = this.waiting_[box] ?? []
    this.waiting_[box] = waiting.filter(each => {
      const given = this.way_.charge(box, `o${each.organisation}`, each.amount)
      if (given === true) this.use(each)
      else if (given === false || now >= each.until) this.refuse(each)
      else return true
      return false
    })
  }

  private tick(box: number): void {
    this.look(box)
    this.ask(box)
    this.agenda_.later(TICK_MS, () => this.tick(box))
  }

  private use({organisation, amount}: Waiting): void {
    const {now} = this.agenda_
    this.uses_[organisation]?.push({at: now, amount})
  }

  private hotUsed(): number {
    const {demand, seconds} = this.options_
    let used = 0
    let rate = 0
    this.uses_.forEach((uses, organisation) => {
      const isHot = (at: number): boolean => demand(organisation, at) > LIMIT_FACTOR
      for (const {at, amount} of uses) if (isHot(at / 1000)) used += amount
      for (let at = 0; at < seconds; at++) {
        if (isHot(at)) rate += this.usual(organisation) * LIMIT_FACTOR
      }
    })
    return rate === 0 ? 0 : used / rate
  }

  private refuse({organisation}: Waiting): void {
    const {now} = this.agenda_
    if (this.options_.demand(organisation, now / 1000) <= 1) this.refused_++
  }

  private loseLeader(): void {
    this.leaderFrom_ = this.agenda_.now + TAKEOVER_MS
    this.way_.changeLeader()
  }

  private killAll(): void {
    const {now} = this.agenda_
    this.downUntil_ = now + RESTART_MS
    this.leaderFrom_ = now + RESTART_MS + TAKEOVER_MS
    for (let box = 0; box < this.options_.boxes; box++) {
      this.way_.kill(box)
      this.waiting_[box] = []
    }
    this.way_.changeLeader()
  }

  private dropLinks(): void {
    for (let box = 0; box < this.options_.boxes / 3; box++) this.way_.dropLink(box)
  }

  /** The most in any window, of the limit in force as it began. */
  private mostUsed(uses: readonly Use[], organisation: number): number {
    let first = 0
    let sum = 0
    let most = 0
    for (const {at, amount} of uses) {
      sum += amount
      while ((uses[first]?.at ?? at) <= at - USAGE.windowMs) {
        sum -= uses[first++]?.amount ?? 0
      }
      const from = at - USAGE.windowMs
      most = Math.max(most, sum / this.limitOf(organisation, from))
    }
    return most
  }
}

function createWay(name: WayName, options: WayOptions): LimitWay {
  switch (name) {
    case "fixed parts":
      return new FixedParts(options)
    case "estimates":
      return new Estimates(options)
    case "allowances":
      return new Allowances(options)
  }
}
