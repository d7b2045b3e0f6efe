/**
 * Load pattern in one process, without a network: a server receives more requests than it
 * can serve and advertises a rate limit for all boxes together, while boxes are cut off
 * from their leader, killed or suspended, and leaders change. Other servers serve the
 * remaining requests, so only the requests that reach this server count.
 *
 * Grounds for the figures: a busy engine of the smaller deployments receives some 4 to 10
 * requests per second and advertises about a quarter of that. The other rates are a tenth
 * and a hundred times as high; the high ones stand for larger engines.
 */
import {Agenda} from "./agenda.js"
import {drawFrom, LINK_MS} from "./fleet.js"
import {
  Allowances,
  FewBoxes,
  FixedParts,
  type RateStrategy,
  TICK_MS
} from "./rate-strategies.js"

export type RateStrategyName = "fixed parts" | "allowances" | "few boxes"

export interface AdvertisedRateOptions {
  readonly seed: number
  readonly way: RateStrategyName
  readonly boxes: number
  /** Advertised rate limit of the server (requests per second). */
  readonly perSecond: number
  /** Share of all requests that reach one box. The others are spread evenly. */
  readonly oneBoxShare?: number
  /** Request rate as a multiple of the advertised rate. */
  readonly demand?: number
  /**
   * Times at which the leader is lost (seconds). The rate is advertised at
   * `ADVERTISED_S`.
   */
  readonly leaderLostAt?: readonly number[]
  /** Period in which a third of the boxes is cut off from the leader (seconds). */
  readonly cut?: readonly [from: number, until: number]
  /** Time at which a third of the boxes is killed (seconds). */
  readonly killedAt?: number
  /** Time at which a third of the boxes is suspended for two seconds (seconds). */
  readonly suspendedAt?: number
}

export interface AdvertisedRateResult {
  /** Most requests in any span of 4 s that starts after the rate was advertised. */
  readonly most: number
  /** Requests that the rate allows in such a span. */
  readonly allowedRequests: number
  /**
   * Most requests in any span of 4 s that ends more than 3 s after the rate was
   * advertised, whenever it starts.
   */
  readonly mostAfterContact: number
  /**
   * Share of the allowed requests that the server received in the time after those 3 s.
   */
  readonly used: number
  /** 95th percentile of the waiting time of the sent requests. */
  readonly waitMs: number
  /** Messages between boxes, per box and second. */
  readonly messages: number
}

export const ADVERTISED_S = 2
const END_S = 22
const CONTACT_S = 3
const SPAN_S = 4

/** Longest time that a request waits for an allowance. */
const HOLD_MS = 250

/** Time until a box receives the answer that advertises the rate. */
const ANSWER_MS = 30
/** Time without a leader after one is lost. */
const TAKEOVER_MS = 1_500

const SUSPENSION_MS = 2_000
const AFFECTED_SHARE = 1 / 3

/** Simulates the pattern. */
export function simulateAdvertisedRate(
  options: AdvertisedRateOptions
): AdvertisedRateResult {
  return new AdvertisedRate(options).play()
}

interface Waiting {
  readonly since: number
}

class AdvertisedRate {
  private readonly agenda_ = new Agenda()
  private readonly draw_: () => number
  private readonly strategy_: RateStrategy
  private readonly waiting_: Waiting[][]
  private readonly isLimited_: boolean[]
  private readonly suspendedUntil_: number[]
  /** Requests that reached the server. */
  private readonly sent_: {readonly at: number; readonly waitMs: number}[] = []
  private leaderFrom_ = 0
  private isRateShared_ = false

  constructor(private readonly options_: AdvertisedRateOptions) {
    const {boxes, seed, perSecond} = options_
    this.draw_ = drawFrom(seed)
    this.waiting_ = Array.from({length: boxes}, () => [])
    this.isLimited_ = Array.from({length: boxes}, () => false)
    this.suspendedUntil_ = Array.from({length: boxes}, () => 0)
    this.strategy_ = createStrategy(options_.way, {
      agenda: this.agenda_,
      boxes,
      perSecond,
      draw: this.draw_,
      reaches: box => this.reaches(box)
    })
  }

  play(): AdvertisedRateResult {
    const {agenda_, options_} = this
    const {leaderLostAt = [], killedAt, suspendedAt, boxes} = options_
    this.arrive()
    for (let box = 0; box < boxes; box++) {
      agenda_.schedule((box * TICK_MS) / boxes, () => this.tick(box))
    }
    for (const at of leaderLostAt) agenda_.schedule(at * 1_000, () => this.loseLeader())
    if (killedAt) agenda_.schedule(killedAt * 1_000, () => this.kill())
    if (suspendedAt) agenda_.schedule(suspendedAt * 1_000, () => this.suspend())
    agenda_.runUntil(END_S * 1_000)
    return this.summarize()
  }

  private summarize(): AdvertisedRateResult {
    const {perSecond, boxes} = this.options_
    const from = ADVERTISED_S * 1_000
    const contact = from + CONTACT_S * 1_000
    const waits = this.sent_.map(({waitMs}) => waitMs).sort((a, b) => a - b)
    const after = this.sent_.filter(({at}) => at >= contact).length
    return {
      most: this.mostIn(({at}) => at >= from + ANSWER_MS + 10, 0),
      mostAfterContact: this.mostIn(() => true, contact),
      allowedRequests: perSecond * SPAN_S,
      used: after / (perSecond * (END_S - ADVERTISED_S - CONTACT_S)),
      waitMs: waits[Math.floor(waits.length * 0.95)] ?? 0,
      messages: this.strategy_.messages / boxes / END_S
    }
  }

  /**
   * Returns the largest number of counted requests in a span that ends at `endFrom` or
   * later.
   */
  private mostIn(counts: (sent: {at: number}) => boolean, endFrom: number): number {
    const times = this.sent_.filter(counts).map(({at}) => at)
    let first = 0
    let most = 0
    times.forEach((at, last) => {
      while ((times[first] ?? at) <= at - SPAN_S * 1_000) first++
      if (at >= endFrom) most = Math.max(most, last - first + 1)
    })
    return most
  }

  private isAffected(box: number): boolean {
    return box < this.options_.boxes * AFFECTED_SHARE
  }

  private reaches(box: number): boolean {
    const {now} = this.agenda_
    const {cut} = this.options_
    const isCut = cut && now >= cut[0] * 1_000 && now < cut[1] * 1_000
    return !(isCut && this.isAffected(box)) && now >= this.leaderFrom_
  }

  private arrive(): void {
    const {perSecond, demand = 2.5, oneBoxShare = 0, boxes} = this.options_
    const perMs = Math.max(2, perSecond * demand) / 1_000
    this.agenda_.schedule(-Math.log(1 - this.draw_()) / perMs, () => {
      const isOne = this.draw_() < oneBoxShare
      this.request(isOne ? boxes - 1 : Math.floor(this.draw_() * boxes))
      this.arrive()
    })
  }

  private request(box: number): void {
    const {now} = this.agenda_
    if (now < (this.suspendedUntil_[box] ?? 0)) return
    if (!this.isLimited_[box]) {
      this.strategy_.recordSend(box)
      this.sent_.push({at: now, waitMs: 0})
      if (now >= ADVERTISED_S * 1_000)
        this.agenda_.schedule(ANSWER_MS, () => this.shareRate(box))
      return
    }
    if (this.waiting_[box]?.length === 0 && this.strategy_.send(box)) {
      this.sent_.push({at: now, waitMs: 0})
      return
    }
    if (this.strategy_.fullForMs(box) > HOLD_MS) return
    this.waiting_[box]?.push({since: now})
    this.sendWaiting(box)
  }

  /** Limits a box, which received the rate, and by its leader all other boxes. */
  private shareRate(box: number): void {
    this.limitBox(box)
    if (this.isRateShared_ || !this.reaches(box)) return
    this.isRateShared_ = true
    this.agenda_.schedule(2 * LINK_MS, () => {
      for (let other = 0; other < this.options_.boxes; other++) this.limitBox(other)
    })
  }

  private limitBox(box: number): void {
    if (this.isLimited_[box]) return
    this.isLimited_[box] = true
    this.strategy_.applyRate(box)
  }

  private sendWaiting(box: number): void {
    const {now} = this.agenda_
    if (now < (this.suspendedUntil_[box] ?? 0)) return
    const waiting = this.waiting_[box] ?? []
    while (waiting.length > 0 && this.strategy_.send(box)) {
      this.sent_.push({at: now, waitMs: now - (waiting.shift() as Waiting).since})
    }
    const fullMs = this.strategy_.fullForMs(box)
    this.waiting_[box] = waiting.filter(({since}) => now + fullMs < since + HOLD_MS)
    const newest = this.waiting_[box]?.at(-1)
    const waitMs = newest ? newest.since + HOLD_MS - now : 0
    const need = {count: this.waiting_[box]?.length ?? 0, rank: 1, waitMs}
    this.strategy_.requestAllowance(box, need, () =>
      this.agenda_.schedule(0.01, () => this.sendWaiting(box))
    )
  }

  private tick(box: number): void {
    if (this.isLimited_[box]) this.sendWaiting(box)
    this.agenda_.schedule(TICK_MS, () => this.tick(box))
  }

  private loseLeader(): void {
    this.leaderFrom_ = this.agenda_.now + TAKEOVER_MS
    this.agenda_.schedule(TAKEOVER_MS, () => this.strategy_.changeLeader())
  }

  private kill(): void {
    this.forEachAffected(box => {
      this.strategy_.kill(box)
      this.waiting_[box] = []
      // The leader sends the rate when the box connects again.
      this.strategy_.applyRate(box)
    })
  }

  private suspend(): void {
    this.forEachAffected(
      box => (this.suspendedUntil_[box] = this.agenda_.now + SUSPENSION_MS)
    )
  }

  private forEachAffected(act: (box: number) => void): void {
    for (let box = 0; this.isAffected(box); box++) act(box)
  }
}

function createStrategy(
  name: RateStrategyName,
  options: ConstructorParameters<typeof Allowances>[0]
): RateStrategy {
  switch (name) {
    case "fixed parts":
      return new FixedParts(options)
    case "few boxes":
      return new FewBoxes(options)
    case "allowances":
      return new Allowances(options)
  }
}
