/**
 * Allowances of a box for sends to rate-limited servers, and its requests for more of
 * them. Without a leader a box sends within its fallback share of the rate.
 */
import type {SendAllowanceRequest, SendAllowanceGrant} from "../types/rate-messages.js"

/** An allowance can be used until this time after it was requested. */
export const SEND_ALLOWANCE_LIFETIME_MS = 250

/** Timeout of a request to the leader. */
const ANSWER_TIMEOUT_MS = 150

/** Pause after a request without an answer. */
const TIMEOUT_PAUSE_MS = 600

/** Allowances are held in reserve for the demand of this time. */
const RESERVE_MS = 250

/**
 * Time constant of the demand average, and the average (requests in that time) above
 * which a server counts as in demand.
 */
const DEMAND_AVERAGE_MS = 1_000
const MIN_DEMAND = 0.1

/**
 * Part of its fallback share that a box without a leader uses. Other boxes may still
 * reach a leader, which grants the whole rate.
 */
const FALLBACK_PART = 0.5

/**
 * Longest interval between sends without a leader, however small the fallback share is.
 */
const MAX_FALLBACK_INTERVAL_MS = 300_000

interface HeldAllowance {
  left: number
  readonly from: number
  readonly until: number
}

interface OpenRequest {
  readonly ask: number
  readonly at: number
  readonly waitMs: number
}

interface Holding {
  held: HeldAllowance[]
  open: OpenRequest | undefined
  /** The server has no room before then. */
  fullUntil: number
  /** The leader did not answer and gets no request before then. */
  silentUntil: number
  /** Next send within the fallback share. Undefined if there was none yet. */
  fallbackNextAt: number | undefined
  /** Average demand: requests per millisecond that were sent or could have been. */
  demand: number
  demandAt: number
}

/** Demand of waiting requests for one server. */
export interface SendDemand {
  readonly count: number
  readonly rank: number
  readonly waitMs: number
}

/** Parameters of a box's fallback share of a rate. */
export interface FallbackShare {
  readonly perSecond: number
  readonly boxes: number
  /** A random number in [0, 1). */
  readonly draw: number
}

export class SendAllowances {
  private readonly holdings_ = new Map<string, Holding>()
  private requestCount_ = 0

  holds(server: string, now: number): boolean {
    return this.holdings_.get(server)?.held.some(each => isLive(each, now)) ?? false
  }

  /**
   * Uses an allowance and returns the time by which its request must have left. Returns
   * `now` if there is no allowance.
   */
  use(server: string, now: number): number {
    const held = this.holdings_.get(server)?.held.find(each => isLive(each, now))
    if (!held) return now
    held.left--
    return held.until
  }

  /** Returns the time until the server may have room; 0 if it may have room now. */
  fullForMs(server: string, now: number): number {
    return Math.max(0, (this.holdings_.get(server)?.fullUntil ?? 0) - now)
  }

  /**
   * Returns the time until an allowance that was granted in advance can be used; Infinity
   * if there is none.
   */
  msUntilUsable(server: string, now: number): number {
    const held = this.holdings_.get(server)?.held ?? []
    const usable = held.filter(({left, until}) => left > 0 && until > now)
    return Math.min(...usable.map(({from}) => Math.max(0, from - now)))
  }

  /**
   * Counts a request that is sent to the server, or would be if the box held an
   * allowance.
   */
  recordDemand(server: string, now: number): void {
    const holding = this.holdingOf(server, now)
    decayDemand(holding, now)
    holding.demand += 1 / DEMAND_AVERAGE_MS
  }

  /**
   * Returns the request to send to the leader now. Undefined if the box has enough
   * allowances, or has to wait. `isDue` means that a server in demand should get at least
   * one request, since its answer may change the rate.
   */
  buildRequest(
    server: string,
    {count, rank, waitMs}: SendDemand,
    isDue: boolean,
    now: number
  ): SendAllowanceRequest | undefined {
    const holding = this.holdingOf(server, now)
    this.checkTimeout(holding, now)
    if (holding.open || Math.max(holding.fullUntil, holding.silentUntil) > now) {
      return undefined
    }
    decayDemand(holding, now)
    const valid = holding.held.filter(({until}) => until > now)
    const available = valid.reduce((sum, {left}) => sum + left, 0)
    const minimum = isDue && holding.demand * DEMAND_AVERAGE_MS > MIN_DEMAND ? 1 : 0
    const wanted = Math.max(minimum, Math.floor(holding.demand * RESERVE_MS)) + count
    if (wanted <= available) return undefined
    const ask = ++this.requestCount_
    holding.open = {ask, at: now, waitMs}
    return {server, ask, count: wanted - available, rank, waitMs: Math.round(waitMs)}
  }

  /**
   * Handles the leader's answer. Returns false if it does not belong to the open request;
   * otherwise waiting requests have to be evaluated again.
   */
  handleGrant(
    {server, ask, count, inMs = 0, roomInMs}: SendAllowanceGrant,
    now: number
  ): boolean {
    const holding = this.holdings_.get(server)
    const open = holding?.open
    if (!holding || open?.ask !== ask) return false
    holding.open = undefined
    removeUsed(holding, now)
    if (count > 0) {
      const until = open.at + inMs + SEND_ALLOWANCE_LIFETIME_MS
      holding.held.push({left: count, from: now + inMs, until})
    }
    if (roomInMs !== undefined) holding.fullUntil = now + roomInMs
    return true
  }

  /**
   * Whether the last request to the leader timed out and the pause after it is not over.
   */
  isLeaderSilent(server: string, now: number): boolean {
    const holding = this.holdings_.get(server)
    if (!holding) return false
    this.checkTimeout(holding, now)
    return holding.silentUntil > now
  }

  /**
   * Adds an allowance of the fallback share if one is due. `draw` spreads the first sends
   * of the boxes. `running` is the time without suspensions of the process.
   */
  addFallback(
    server: string,
    {perSecond, boxes, draw}: FallbackShare,
    running: number,
    now: number
  ): void {
    const holding = this.holdingOf(server, now)
    const intervalMs = Math.min(
      MAX_FALLBACK_INTERVAL_MS,
      (boxes * 1_000) / (FALLBACK_PART * perSecond)
    )
    holding.fallbackNextAt ??= running + intervalMs * draw
    const dueInMs = holding.fallbackNextAt - running
    if (dueInMs > 0) {
      holding.fullUntil = now + dueInMs
      return
    }
    holding.fallbackNextAt = running + intervalMs
    removeUsed(holding, now)
    holding.held.push({left: 1, from: now, until: now + SEND_ALLOWANCE_LIFETIME_MS})
  }

  /** Handles a change of leader: answers and room of the last leader no longer apply. */
  beginTerm(): void {
    for (const holding of this.holdings_.values()) {
      Object.assign(holding, {open: undefined, fullUntil: 0, silentUntil: 0})
    }
  }

  /** Removes a server that is gone or no longer advertises a rate. */
  forget(server: string): void {
    this.holdings_.delete(server)
  }

  private checkTimeout(holding: Holding, now: number): void {
    const {open} = holding
    if (!open || now - open.at < ANSWER_TIMEOUT_MS) return
    holding.open = undefined
    holding.silentUntil = now + TIMEOUT_PAUSE_MS
  }

  private holdingOf(server: string, now: number): Holding {
    const known = this.holdings_.get(server)
    if (known) return known
    const holding: Holding = {
      held: [],
      open: undefined,
      fullUntil: 0,
      silentUntil: 0,
      fallbackNextAt: undefined,
      demand: 0,
      demandAt: now
    }
    this.holdings_.set(server, holding)
    return holding
  }
}

function removeUsed(holding: Holding, now: number): void {
  holding.held = holding.held.filter(({left, until}) => left > 0 && until > now)
}

function isLive({left, from, until}: HeldAllowance, now: number): boolean {
  return left > 0 && from <= now && until > now
}

function decayDemand(holding: Holding, now: number): void {
  holding.demand *= Math.exp(-(now - holding.demandAt) / DEMAND_AVERAGE_MS)
  holding.demandAt = now
}
