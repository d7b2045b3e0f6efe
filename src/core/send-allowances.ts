/**
 * Allowances that a box holds for sends to servers that named the rate they take, and when it asks its leader for
 * more. Without a leader the box keeps to its own part of a rate.
 */
import type {SendAsk, SendGrant} from "../types/rate-messages.js"

/** An allowance is of use for so long after it was asked for, milliseconds. */
export const USE_MS = 250

/** The leader's answer takes no longer than this, milliseconds. */
const ANSWER_MS = 150

/** Without an answer the leader is not asked again for so long, milliseconds. */
const SILENT_MS = 600

/** Allowances are kept in stock for what was sent, or could have been, in this time, milliseconds. */
const STOCK_MS = 250

/** The time over which that is averaged, milliseconds, and what there is of it where some is. */
const DEMAND_MS = 1_000
const LEAST_DEMAND = 0.1

/**
 * Of its part of a rate, what a box uses that reaches no leader: other boxes may have one, which gives out the
 * whole rate.
 */
const OWN_SHARE = 0.5

/** Where its own part is less, a box sends a request as often as this, milliseconds. */
const MAX_TURN_MS = 300_000

interface Held {
  left: number
  readonly from: number
  readonly until: number
}

interface OpenAsk {
  readonly ask: number
  readonly at: number
  readonly waitMs: number
}

interface Holding {
  held: Held[]
  open: OpenAsk | undefined
  /** There is no room before. */
  fullUntil: number
  /** The leader did not answer; until then it is not asked. */
  silentUntil: number
  /** When the box may send the next request without a leader; undefined: it has not had to yet. */
  ownNextAt: number | undefined
  /** Sends that were made or could have been, a millisecond. */
  demand: number
  demandAt: number
}

/** What requests that wait need of one server. */
export interface SendNeed {
  readonly count: number
  readonly rank: number
  readonly waitMs: number
}

/** What a box's own part of a rate rests on. */
export interface OwnPart {
  readonly perSecond: number
  readonly boxes: number
  /** A random number in [0, 1). */
  readonly draw: number
}

export class SendAllowances {
  private readonly holdings_ = new Map<string, Holding>()
  private asks_ = 0

  /** Whether a request may be sent to the server now. */
  holds(server: string, now: number): boolean {
    return this.holdings_.get(server)?.held.some(each => isLive(each, now)) ?? false
  }

  /** Uses an allowance, which is there; until when its request must have left. */
  use(server: string, now: number): number {
    const held = this.holdings_.get(server)?.held.find(each => isLive(each, now))
    if (!held) return now
    held.left--
    return held.until
  }

  /** In how long there may be room, milliseconds; 0: there may be now. */
  fullForMs(server: string, now: number): number {
    return Math.max(0, (this.holdings_.get(server)?.fullUntil ?? 0) - now)
  }

  /** In how long one that was given in advance can be used, milliseconds; Infinity: there is none. */
  comesInMs(server: string, now: number): number {
    const held = this.holdings_.get(server)?.held ?? []
    const coming = held.filter(({left, until}) => left > 0 && until > now)
    return Math.min(...coming.map(({from}) => Math.max(0, from - now)))
  }

  /** A request goes to the server, or would if the box held an allowance. */
  noteDemand(server: string, now: number): void {
    const holding = this.open(server, now)
    fade(holding, now)
    holding.demand += 1 / DEMAND_MS
  }

  /**
   * What is to be asked for now; undefined: nothing, or an answer is still to come. `isDue`: the server is to be
   * sent one request at least, if there are any.
   */
  collect(
    server: string,
    {count, rank, waitMs}: SendNeed,
    isDue: boolean,
    now: number
  ): SendAsk | undefined {
    const holding = this.open(server, now)
    this.noteSilence(holding, now)
    if (holding.open || Math.max(holding.fullUntil, holding.silentUntil) > now) {
      return undefined
    }
    fade(holding, now)
    const live = holding.held.filter(({until}) => until > now)
    const stock = live.reduce((sum, {left}) => sum + left, 0)
    const least = isDue && holding.demand * DEMAND_MS > LEAST_DEMAND ? 1 : 0
    const wanted = Math.max(least, Math.floor(holding.demand * STOCK_MS)) + count
    if (wanted <= stock) return undefined
    const ask = ++this.asks_
    holding.open = {ask, at: now, waitMs}
    return {server, ask, count: wanted - stock, rank, waitMs: Math.round(waitMs)}
  }

  /** Takes the leader's answer; true: something can be sent, or waits in vain. */
  take({server, ask, count, inMs = 0, roomInMs}: SendGrant, now: number): boolean {
    const holding = this.holdings_.get(server)
    const open = holding?.open
    if (!holding || open?.ask !== ask) return false
    holding.open = undefined
    dropSpent(holding, now)
    if (count > 0) {
      const until = open.at + inMs + USE_MS
      holding.held.push({left: count, from: now + inMs, until})
    }
    if (roomInMs !== undefined) holding.fullUntil = now + roomInMs
    return true
  }

  /** Whether the leader does not answer. */
  isSilent(server: string, now: number): boolean {
    const holding = this.holdings_.get(server)
    if (!holding) return false
    this.noteSilence(holding, now)
    return holding.silentUntil > now
  }

  /**
   * Gives the box one of its own part of a rate if it is due; `draw` spreads the first of the boxes. Times are
   * those in which the process ran.
   */
  takeOwn(
    server: string,
    {perSecond, boxes, draw}: OwnPart,
    running: number,
    now: number
  ): void {
    const holding = this.open(server, now)
    const turnMs = Math.min(MAX_TURN_MS, (boxes * 1_000) / (OWN_SHARE * perSecond))
    holding.ownNextAt ??= running + turnMs * draw
    const dueInMs = holding.ownNextAt - running
    if (dueInMs > 0) {
      holding.fullUntil = now + dueInMs
      return
    }
    holding.ownNextAt = running + turnMs
    dropSpent(holding, now)
    holding.held.push({left: 1, from: now, until: now + USE_MS})
  }

  /** Another box leads, or this one: what the last leader said of room holds no more. */
  beginTerm(): void {
    for (const holding of this.holdings_.values()) {
      Object.assign(holding, {open: undefined, fullUntil: 0, silentUntil: 0})
    }
  }

  /** The server names no rate any more, or is gone. */
  forget(server: string): void {
    this.holdings_.delete(server)
  }

  private noteSilence(holding: Holding, now: number): void {
    const {open} = holding
    if (!open || now - open.at < ANSWER_MS) return
    holding.open = undefined
    holding.silentUntil = now + SILENT_MS
  }

  private open(server: string, now: number): Holding {
    const known = this.holdings_.get(server)
    if (known) return known
    const holding: Holding = {
      held: [],
      open: undefined,
      fullUntil: 0,
      silentUntil: 0,
      ownNextAt: undefined,
      demand: 0,
      demandAt: now
    }
    this.holdings_.set(server, holding)
    return holding
  }
}

function dropSpent(holding: Holding, now: number): void {
  holding.held = holding.held.filter(({left, until}) => left > 0 && until > now)
}

function isLive({left, from, until}: Held, now: number): boolean {
  return left > 0 && from <= now && until > now
}

function fade(holding: Holding, now: number): void {
  holding.demand *= Math.exp(-(now - holding.demandAt) / DEMAND_MS)
  holding.demandAt = now
}
