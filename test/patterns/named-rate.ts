/**
 * A load pattern in one process, without a network: a server is asked for more than it can do and names the rate
 * that it takes from all boxes together, while boxes are cut off from their leader, killed or suspended, and leaders
 * change. Others serve what it does not take; what counts here is what the server gets.
 *
 * Grounds for the figures: a busy engine of the smaller deployments gets some 4 to 10 requests a second and names
 * about a quarter of that; the rest of the rates are a tenth and a hundred times as much, for larger ones.
 */
import {Agenda} from "./agenda.js"
import {drawFrom, LINK_MS} from "./fleet.js"
import {Allowances, FewBoxes, FixedParts, type RateWay, TICK_MS} from "./rate-ways.js"

export type RateWayName = "fixed parts" | "allowances" | "few boxes"

export interface NamedRateOptions {
  readonly seed: number
  readonly way: RateWayName
  readonly boxes: number
  /** Requests a second that the server takes. */
  readonly perSecond: number
  /** Of all requests, the part that one box gets; the others are spread. */
  readonly oneBoxShare?: number
  /** What is asked for, as a multiple of the rate. */
  readonly demand?: number
  /** Times, seconds; the rate is named at `NAMED_S`. */
  readonly leaderLostAt?: readonly number[]
  /** A third of the boxes is cut off from the leader from then until then, seconds. */
  readonly cut?: readonly [from: number, until: number]
  /** A third of the boxes is killed, or stands still for two seconds, seconds. */
  readonly killedAt?: number
  readonly suspendedAt?: number
}

export interface NamedRateResult {
  /** The most requests in any span of 4 s that begins after the rate was named, and what the rate allows in one. */
  readonly most: number
  readonly word: number
  /** The same for spans that end later than 3 s after the naming, whenever they begin. */
  readonly mostAfterContact: number
  /** Of the rate, what the server got from then on until the end. */
  readonly used: number
  /** Of 100 requests that were sent, 95 had waited for no longer, milliseconds. */
  readonly waitMs: number
  /** Between boxes, a box and second. */
  readonly messages: number
}

export const NAMED_S = 2
const END_S = 22
const CONTACT_S = 3
const SPAN_S = 4

/** A request waits so long for an allowance, milliseconds. */
const HOLD_MS = 250

/** Until a box hears the answer that names the rate, and without a leader, milliseconds. */
const ANSWER_MS = 30
const TAKEOVER_MS = 1_500

const STILL_MS = 2_000
const STRUCK_SHARE = 1 / 3

/** Plays the pattern. */
export function playNamedRate(options: NamedRateOptions): NamedRateResult {
  return new NamedRate(options).play()
}

interface Waiting {
  readonly since: number
}

class NamedRate {
  private readonly agenda_ = new Agenda()
  private readonly draw_: () => number
  private readonly way_: RateWay
  private readonly waiting_: Waiting[][]
  private readonly knows_: boolean[]
  private readonly stillUntil_: number[]
  /** Requests that reached the server, and how long each had waited, milliseconds. */
  private readonly sent_: {readonly at: number; readonly waitMs: number}[] = []
  private leaderFrom_ = 0
  private spread_ = false

  constructor(private readonly options_: NamedRateOptions) {
    const {boxes, seed, perSecond} = options_
    this.draw_ = drawFrom(seed)
    this.waiting_ = Array.from({length: boxes}, () => [])
    this.knows_ = Array.from({length: boxes}, () => false)
    this.stillUntil_ = Array.from({length: boxes}, () => 0)
    this.way_ = createWay(options_.way, {
      agenda: this.agenda_,
      boxes,
      perSecond,
      draw: this.draw_,
      reaches: box => this.reaches(box)
    })
  }

  play(): NamedRateResult {
    const {agenda_, options_} = this
    const {leaderLostAt = [], killedAt, suspendedAt, boxes} = options_
    this.arrive()
    for (let box = 0; box < boxes; box++) {
      agenda_.later((box * TICK_MS) / boxes, () => this.tick(box))
    }
    for (const at of leaderLostAt) agenda_.later(at * 1_000, () => this.loseLeader())
    if (killedAt) agenda_.later(killedAt * 1_000, () => this.kill())
    if (suspendedAt) agenda_.later(suspendedAt * 1_000, () => this.suspend())
    agenda_.runUntil(END_S * 1_000)
    return this.judge()
  }

  private judge(): NamedRateResult {
    const {perSecond, boxes} = this.options_
    const from = NAMED_S * 1_000
    const contact = from + CONTACT_S * 1_000
    const waits = this.sent_.map(({waitMs}) => waitMs).sort((a, b) => a - b)
    const after = this.sent_.filter(({at}) => at >= contact).length
    return {
      most: this.mostIn(({at}) => at >= from + ANSWER_MS + 10, 0),
      mostAfterContact: this.mostIn(() => true, contact),
      word: perSecond * SPAN_S,
      used: after / (perSecond * (END_S - NAMED_S - CONTACT_S)),
      waitMs: waits[Math.floor(waits.length * 0.95)] ?? 0,
      messages: this.way_.messages / boxes / END_S
    }
  }

  /** The most in any span, of the requests that count, that ends at that time or later. */
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

  private isStruck(box: number): boolean {
    return box < this.options_.boxes * STRUCK_SHARE
  }

  private reaches(box: number): boolean {
    const {now} = this.agenda_
    const {cut} = this.options_
    const isCut = cut && now >= cut[0] * 1_000 && now < cut[1] * 1_000
    return !(isCut && this.isStruck(box)) && now >= this.leaderFrom_
  }

  private arrive(): void {
    const {perSecond, demand = 2.5, oneBoxShare = 0, boxes} = this.options_
    const perMs = Math.max(2, perSecond * demand) / 1_000
    this.agenda_.later(-Math.log(1 - this.draw_()) / perMs, () => {
      const isOne = this.draw_() < oneBoxShare
      this.request(isOne ? boxes - 1 : Math.floor(this.draw_() * boxes))
      this.arrive()
    })
  }

  private request(box: number): void {
    const {now} = this.agenda_
    if (now < (this.stillUntil_[box] ?? 0)) return
    if (!this.knows_[box]) {
      this.way_.noteFree(box)
      this.sent_.push({at: now, waitMs: 0})
      if (now >= NAMED_S * 1_000) this.agenda_.later(ANSWER_MS, () => this.spread(box))
      return
    }
    if (this.waiting_[box]?.length === 0 && this.way_.send(box)) {
      this.sent_.push({at: now, waitMs: 0})
      return
    }
    if (this.way_.fullForMs(box) > HOLD_MS) return
    this.waiting_[box]?.push({since: now})
    this.look(box)
  }

  /** One box heard: by its leader all others do. */
  private spread(box: number): void {
    this.bind(box)
    if (this.spread_ || !this.reaches(box)) return
    this.spread_ = true
    this.agenda_.later(2 * LINK_MS, () => {
      for (let other = 0; other < this.options_.boxes; other++) this.bind(other)
    })
  }

  private bind(box: number): void {
    if (this.knows_[box]) return
    this.knows_[box] = true
    this.way_.bind(box)
  }

  private look(box: number): void {
    const {now} = this.agenda_
    if (now < (this.stillUntil_[box] ?? 0)) return
    const waiting = this.waiting_[box] ?? []
    while (waiting.length > 0 && this.way_.send(box)) {
      this.sent_.push({at: now, waitMs: now - (waiting.shift() as Waiting).since})
    }
    const fullMs = this.way_.fullForMs(box)
    this.waiting_[box] = waiting.filter(({since}) => now + fullMs < since + HOLD_MS)
    const newest = this.waiting_[box]?.at(-1)
    const waitMs = newest ? newest.since + HOLD_MS - now : 0
    const need = {count: this.waiting_[box]?.length ?? 0, rank: 1, waitMs}
    this.way_.ask(box, need, () => this.agenda_.later(0.01, () => this.look(box)))
  }

  private tick(box: number): void {
    if (this.knows_[box]) this.look(box)
    this.agenda_.later(TICK_MS, () => this.tick(box))
  }

  private loseLeader(): void {
    this.leaderFrom_ = this.agenda_.now + TAKEOVER_MS
    this.agenda_.later(TAKEOVER_MS, () => this.way_.changeLeader())
  }

  private kill(): void {
    this.strike(box => {
      this.way_.kill(box)
      this.waiting_[box] = []
      // Its leader tells it as it links.
      this.way_.bind(box)
    })
  }

  private suspend(): void {
    this.strike(box => (this.stillUntil_[box] = this.agenda_.now + STILL_MS))
  }

  private strike(act: (box: number) => void): void {
    for (let box = 0; this.isStruck(box); box++) act(box)
  }
}

function createWay(
  name: RateWayName,
  options: ConstructorParameters<typeof Allowances>[0]
): RateWay {
  switch (name) {
    case "fixed parts":
      return new FixedParts(options)
    case "few boxes":
      return new FewBoxes(options)
    case "allowances":
      return new Allowances(options)
  }
}
