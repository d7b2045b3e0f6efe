/**
 * Ways to keep the rate that a server takes from all boxes together, behind one interface: allowances by the leader
 * on demand, which boxes use, on their real core, and two others to compare them with.
 */
import {RatePacer} from "../../src/core/rate-pacer.js"
import {RecentSends} from "../../src/core/recent-sends.js"
import {SendAllowances, type SendDemand} from "../../src/core/send-allowances.js"
import {rankMembers} from "../../src/utils/rendezvous.js"
import type {Agenda} from "./agenda.js"
import {LINK_MS} from "./fleet.js"

/** How often a box looks at what waits, milliseconds. */
export const TICK_MS = 20

export interface RateWayOptions {
  readonly agenda: Agenda
  readonly boxes: number
  /** Requests a second that the server takes. */
  readonly perSecond: number
  readonly draw: () => number
  /** Whether a message passes between the box and the leader now. */
  readonly reaches: (box: number) => boolean
}

export interface RateWay {
  /** Messages between boxes so far. */
  readonly messages: number
  /** A box sends a request, which it needs no allowance for yet. */
  noteFree(box: number): void
  /** From now on the box knows of the rate. */
  bind(box: number): void
  /** Sends a request if it may be sent now. */
  send(box: number): boolean
  /** In how long there may be room, milliseconds; 0: there may be now. */
  fullForMs(box: number): number
  /** Once a tick, and as a request begins to wait. */
  ask(box: number, need: SendDemand, changed: () => void): void
  /** The box forgets all. */
  kill(box: number): void
  changeLeader(): void
}

/** A bucket that gives a part of the rate. */
class Part {
  private nextAt_: number

  constructor(
    private readonly agenda_: Agenda,
    private readonly turnMs_: number,
    draw: number
  ) {
    this.nextAt_ = agenda_.now + turnMs_ * draw
  }

  take(): boolean {
    if (this.agenda_.now < this.nextAt_) return false
    this.nextAt_ = Math.max(this.nextAt_, this.agenda_.now - this.turnMs_) + this.turnMs_
    return true
  }

  get dueInMs(): number {
    return Math.max(0, this.nextAt_ - this.agenda_.now)
  }
}

/** The boxes that `members` counts each have an equal part of the rate, and all others none. */
class Parts implements RateWay {
  readonly messages = 0
  private readonly parts_ = new Map<number, Part>()

  constructor(
    private readonly options_: RateWayOptions,
    private readonly members_: ReadonlySet<number>
  ) {}

  noteFree(): void {}

  bind(box: number): void {
    const {agenda, perSecond, draw} = this.options_
    if (!this.members_.has(box)) return
    const turnMs = (1_000 * this.members_.size) / perSecond
    this.parts_.set(box, new Part(agenda, turnMs, draw()))
  }

  send(box: number): boolean {
    return this.parts_.get(box)?.take() ?? false
  }

  fullForMs(box: number): number {
    return this.parts_.get(box)?.dueInMs ?? Infinity
  }

  ask(): void {}

  kill(box: number): void {
    this.parts_.delete(box)
  }

  changeLeader(): void {}
}

/** Each box has the same part. */
export class FixedParts extends Parts {
  constructor(options: RateWayOptions) {
    super(options, new Set(Array.from({length: options.boxes}, (_, box) => box)))
  }
}

/** So many requests a second are enough for a box to have its own part. */
const PART_PER_SECOND = 2

/** Few boxes may send to the server, chosen by a hash that all compute alike. */
export class FewBoxes extends Parts {
  constructor(options: RateWayOptions) {
    const {boxes, perSecond} = options
    const names = Array.from({length: boxes}, (_, box) => String(box))
    const few = Math.min(boxes, Math.max(1, Math.floor(perSecond / PART_PER_SECOND)))
    super(options, new Set(rankMembers("server", names).slice(0, few).map(Number)))
  }
}

const SERVER = "server"

/** The boxes' own way, on their real core. */
export class Allowances implements RateWay {
  messages = 0
  private readonly boxes_: SendAllowances[]
  private readonly sent_: RecentSends[]
  private pacer_: RatePacer
  private leads_ = 0

  constructor(private readonly options_: RateWayOptions) {
    const length = options_.boxes
    this.boxes_ = Array.from({length}, () => new SendAllowances())
    this.sent_ = Array.from({length}, () => new RecentSends())
    this.pacer_ = this.createPacer()
  }

  noteFree(box: number): void {
    this.sent_[box]?.record(SERVER, this.options_.agenda.now)
  }

  bind(box: number): void {
    this.tellSent(box)
  }

  send(box: number): boolean {
    const {now} = this.options_.agenda
    const allowances = this.boxes_[box]
    allowances?.recordDemand(SERVER, now)
    if (!allowances?.holds(SERVER, now)) return false
    allowances.use(SERVER, now)
    this.noteFree(box)
    return true
  }

  fullForMs(box: number): number {
    return this.boxes_[box]?.fullForMs(SERVER, this.options_.agenda.now) ?? 0
  }

  ask(box: number, need: SendDemand, changed: () => void): void {
    const {agenda, reaches, draw, boxes, perSecond} = this.options_
    const allowances = this.boxes_[box] as SendAllowances
    if (allowances.isLeaderSilent(SERVER, agenda.now) && need.count > 0) {
      const part = {perSecond, boxes, draw: draw()}
      if (!allowances.holds(SERVER, agenda.now)) {
        allowances.addFallback(SERVER, part, agenda.now, agenda.now)
        if (allowances.holds(SERVER, agenda.now)) changed()
      }
      return
    }
    const ask = allowances.buildRequest(SERVER, need, false, agenda.now)
    if (!ask || !reaches(box)) return
    this.messages++
    const lead = this.leads_
    agenda.later(LINK_MS, () => {
      if (lead !== this.leads_) return
      const grant = this.pacer_.handleRequest(String(box), ask, agenda.now)
      this.messages++
      agenda.later(LINK_MS, () => {
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
    this.leads_++
    this.pacer_ = this.createPacer()
    for (const [box, allowances] of this.boxes_.entries()) {
      allowances.beginTerm()
      this.tellSent(box)
    }
  }

  private tellSent(box: number): void {
    const {agenda, reaches} = this.options_
    const counts = this.sent_[box]?.list(SERVER, agenda.now) ?? []
    if (counts.length === 0 || !reaches(box)) return
    this.messages++
    agenda.later(LINK_MS, () =>
      this.pacer_.recordSent({server: SERVER, counts}, agenda.now)
    )
  }

  private createPacer(): RatePacer {
    return new RatePacer(() => this.options_.perSecond)
  }
}
