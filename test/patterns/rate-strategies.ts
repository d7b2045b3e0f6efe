/**
 * Strategies to keep a server's advertised rate limit over all boxes together, behind one
 * interface: allowances that the leader grants on demand, which boxes use, on their real
 * core, and two others for comparison.
 */
import {RatePacer} from "../../src/core/rate-pacer.js"
import {RecentSends} from "../../src/core/recent-sends.js"
import {SendAllowances, type SendDemand} from "../../src/core/send-allowances.js"
import {rankMembers} from "../../src/utils/rendezvous.js"
import type {Agenda} from "./agenda.js"
import {LINK_MS} from "./fleet.js"

/** Interval at which a box checks its waiting requests. */
export const TICK_MS = 20

export interface RateStrategyOptions {
  readonly agenda: Agenda
  readonly boxes: number
  /** Advertised rate limit of the server (requests per second). */
  readonly perSecond: number
  readonly draw: () => number
  /** Whether messages between the box and the leader arrive now. */
  readonly reaches: (box: number) => boolean
}

export interface RateStrategy {
  /** Number of messages between boxes so far. */
  readonly messages: number
  /** Records a send of a box. */
  recordSend(box: number): void
  /** Limits the box to the advertised rate from now on. */
  applyRate(box: number): void
  /** Sends a request if it may be sent now. */
  send(box: number): boolean
  /**
   * Shortest time until the box may send again (ms). 0 means it may be able to send now.
   */
  fullForMs(box: number): number
  /** Called once per tick and when a request starts to wait. */
  requestAllowance(box: number, need: SendDemand, changed: () => void): void
  /** Discards the state of the box. */
  kill(box: number): void
  changeLeader(): void
}

/** A token bucket with a part of the rate. */
class TokenBucket {
  private nextAt_: number

  constructor(
    private readonly agenda_: Agenda,
    private readonly intervalMs_: number,
    draw: number
  ) {
    this.nextAt_ = agenda_.now + intervalMs_ * draw
  }

  take(): boolean {
    if (this.agenda_.now < this.nextAt_) return false
    this.nextAt_ =
      Math.max(this.nextAt_, this.agenda_.now - this.intervalMs_) + this.intervalMs_
    return true
  }

  get dueInMs(): number {
    return Math.max(0, this.nextAt_ - this.agenda_.now)
  }
}

/** Each box in `members` has an equal part of the rate, and other boxes have none. */
class PartitionedRate implements RateStrategy {
  readonly messages = 0
  private readonly buckets_ = new Map<number, TokenBucket>()

  constructor(
    private readonly options_: RateStrategyOptions,
    private readonly members_: ReadonlySet<number>
  ) {}

  recordSend(): void {}

  applyRate(box: number): void {
    const {agenda, perSecond, draw} = this.options_
    if (!this.members_.has(box)) return
    const intervalMs = (1_000 * this.members_.size) / perSecond
    this.buckets_.set(box, new TokenBucket(agenda, intervalMs, draw()))
  }

  send(box: number): boolean {
    return this.buckets_.get(box)?.take() ?? false
  }

  fullForMs(box: number): number {
    return this.buckets_.get(box)?.dueInMs ?? Infinity
  }

  requestAllowance(): void {}

  kill(box: number): void {
    this.buckets_.delete(box)
  }

  changeLeader(): void {}
}

/** Each box has an equal part of the rate. */
export class FixedParts extends PartitionedRate {
  constructor(options: RateStrategyOptions) {
    super(options, new Set(Array.from({length: options.boxes}, (_, box) => box)))
  }
}

/** Smallest part of the rate that a box receives (requests per second). */
const MIN_PART_PER_SECOND = 2

/**
 * Few boxes may send to the server. Rendezvous hashing selects the same ones on every
 * box.
 */
export class FewBoxes extends PartitionedRate {
  constructor(options: RateStrategyOptions) {
    const {boxes, perSecond} = options
    const names = Array.from({length: boxes}, (_, box) => String(box))
    const few = Math.min(boxes, Math.max(1, Math.floor(perSecond / MIN_PART_PER_SECOND)))
    super(options, new Set(rankMembers("server", names).slice(0, few).map(Number)))
  }
}

const SERVER = "server"

/** The strategy that boxes use, on their real core. */
export class Allowances implements RateStrategy {
  messages = 0
  private readonly boxes_: SendAllowances[]
  private readonly sent_: RecentSends[]
  private pacer_: RatePacer
  private term_ = 0

  constructor(private readonly options_: RateStrategyOptions) {
    const length = options_.boxes
    this.boxes_ = Array.from({length}, () => new SendAllowances())
    this.sent_ = Array.from({length}, () => new RecentSends())
    this.pacer_ = this.createPacer()
  }

  recordSend(box: number): void {
    this.sent_[box]?.record(SERVER, this.options_.agenda.now)
  }

  applyRate(box: number): void {
    this.reportSends(box)
  }

  send(box: number): boolean {
    const {now} = this.options_.agenda
    const allowances = this.boxes_[box]
    allowances?.recordDemand(SERVER, now)
    if (!allowances?.holds(SERVER, now)) return false
    allowances.use(SERVER, now)
    this.recordSend(box)
    return true
  }

  fullForMs(box: number): number {
    return this.boxes_[box]?.fullForMs(SERVER, this.options_.agenda.now) ?? 0
  }

  requestAllowance(box: number, need: SendDemand, changed: () => void): void {
    const {agenda, reaches, draw, boxes, perSecond} = this.options_
    const allowances = this.boxes_[box] as SendAllowances
    if (allowances.isLeaderSilent(SERVER, agenda.now) && need.count > 0) {
      const fallback = {perSecond, boxes, draw: draw()}
      if (!allowances.holds(SERVER, agenda.now)) {
        allowances.addFallback(SERVER, fallback, agenda.now, agenda.now)
        if (allowances.holds(SERVER, agenda.now)) changed()
      }
      return
    }
    const ask = allowances.buildRequest(SERVER, need, false, agenda.now)
    if (!ask || !reaches(box)) return
    this.messages++
    const term = this.term_
    agenda.schedule(LINK_MS, () => {
      if (term !== this.term_) return
      const grant = this.pacer_.handleRequest(String(box), ask, agenda.now)
      this.messages++
      agenda.schedule(LINK_MS, () => {
        if (!reaches(box) || allowances !== this.boxes_[box]) return
        if (allowances.handleGrant(grant, agenda.now)) changed()
      })
    })
  }

  kill(box: number): void {
    this.boxes_[box] = new SendAllowances()
    this.sent_[box] = new RecentSends()
    this.pacer_.forgetBox(String(box))
  }

  changeLeader(): void {
    this.term_++
    this.pacer_ = this.createPacer()
    for (const [box, allowances] of this.boxes_.entries()) {
      allowances.beginTerm()
      this.reportSends(box)
    }
  }

  private reportSends(box: number): void {
    const {agenda, reaches} = this.options_
    const counts = this.sent_[box]?.list(SERVER, agenda.now) ?? []
    if (counts.length === 0 || !reaches(box)) return
    this.messages++
    agenda.schedule(LINK_MS, () =>
      this.pacer_.recordSent({server: SERVER, counts}, agenda.now)
    )
  }

  private createPacer(): RatePacer {
    return new RatePacer(() => this.options_.perSecond)
  }
}
