/**
 * Distributes the capacity of rate-limited servers: each send of a box needs an allowance
 * of the leader.
 *
 * Each server has a token bucket that fills slightly below its rate, so that allowances
 * that are used late stay within the rate, too. What boxes sent before they learned of
 * the rate also counts. A new leader starts with empty buckets. Since the leader before
 * it granted no more than the rate, no state has to be handed over. Until it has heard of
 * a rate itself, the one that a box names in its request applies.
 */
import type {
  SendAllowanceRequest,
  SendAllowanceGrant,
  SentCounts
} from "../types/rate-messages.js"
import {SENT_STEP_MS, RATE_WINDOW_MS} from "./recent-sends.js"
import {SEND_ALLOWANCE_LIFETIME_MS} from "./send-allowances.js"

/**
 * Granted share of the rate; the bucket size, in seconds of the rate, and its minimum.
 */
const GRANTED_SHARE = 0.92
const BUCKET_S = 0.14
const MIN_BUCKET = 2

/**
 * Lowest rate that is applied. A server with a lower one still gets requests, since only
 * an answer can end its rate limit.
 */
const MIN_PER_SECOND = 0.1

/**
 * Refused boxes that may come back for the same allowance, since some of them have
 * nothing to send by then.
 */
const BOXES_PER_ALLOWANCE = 20

/** Longest wait that a refused box is told. */
const MAX_WAIT_MS = 5_000

/** Allowances and sends within this time share an entry of the history. */
const HISTORY_STEP_MS = 100

/**
 * Retention of a history entry: a rate window after the last use of its allowances, which
 * can be granted up to a step after the entry's time.
 */
const HISTORY_MS = RATE_WINDOW_MS + SEND_ALLOWANCE_LIFETIME_MS + HISTORY_STEP_MS

/**
 * Requests of this rank or a higher one get nothing in advance. Future capacity goes to
 * more urgent ones.
 */
const ADVANCE_RANKS = 10

interface Bucket {
  /** Negative if allowances were granted in advance. */
  tokens: number
  filledAt: number
  /** History of sends and usable allowances within the last rate window, oldest first. */
  history: {at: number; count: number}[]
  /** Boxes that were refused since the last grant. */
  readonly refused: Set<string>
}

interface ReportedRate {
  readonly perSecond: number
  readonly at: number
}

export class RatePacer {
  /** Granted and refused allowances since this box became the leader. */
  granted = 0
  refused = 0
  private readonly buckets_ = new Map<string, Bucket>()
  /** Rates that boxes know and this box does not. */
  private readonly reported_ = new Map<string, ReportedRate>()

  /**
   * `rateOf_` returns the rate (requests per second) that a server advertises, if any;
   * `hasEnded_` whether it no longer advertises one. Neither holds if this box has heard
   * nothing of the server.
   */
  constructor(
    private readonly rateOf_: (server: string) => number | undefined,
    private readonly hasEnded_: (server: string) => boolean = () => false
  ) {}

  /** Answers a request of a box. */
  handleRequest(
    box: string,
    {server, ask, count, rank, waitMs, perSecond: reported}: SendAllowanceRequest,
    now: number
  ): SendAllowanceGrant {
    const advertised = this.rateFor(server, reported, now)
    if (advertised === undefined) return {server, ask, count}
    const perSecond = Math.max(MIN_PER_SECOND, advertised)
    const bucket = this.fill(server, perSecond, now)
    const tokens = Math.floor(bucket.tokens)
    const amount = Math.max(0, Math.min(count, tokens, this.room(bucket, perSecond)))
    if (amount > 0) this.grant(bucket, amount, now)
    if (amount === count) return {server, ask, count}
    const roomInMs = this.msUntilRoom(bucket, perSecond, now)
    if (amount > 0) return {server, ask, count: amount, roomInMs}
    if (roomInMs <= waitMs * (1 - rank / ADVANCE_RANKS)) {
      this.grant(bucket, 1, now + roomInMs)
      return {server, ask, count: 1, inMs: roomInMs, roomInMs}
    }
    this.refused++
    bucket.refused.add(box)
    const intervals = bucket.refused.size / BOXES_PER_ALLOWANCE
    const intervalMs = 1_000 / (GRANTED_SHARE * perSecond)
    const retryInMs = Math.min(MAX_WAIT_MS, Math.max(roomInMs, intervals * intervalMs))
    return {server, ask, count: 0, roomInMs: Math.round(retryInMs)}
  }

  /** Counts what a box sent to a server before it learned of the rate. */
  recordSent({server, counts, perSecond: reported}: SentCounts, now: number): void {
    const perSecond = this.rateFor(server, reported, now)
    if (perSecond === undefined) return
    const bucket = this.fill(server, Math.max(MIN_PER_SECOND, perSecond), now)
    const step = Math.ceil(now / SENT_STEP_MS)
    counts.forEach((count, age) => {
      if (count > 0) addToHistory(bucket.history, (step - age) * SENT_STEP_MS, count)
    })
    bucket.history.sort((a, b) => a.at - b.at)
  }

  /** Returns the number of history entries of a server. */
  historySize(server: string): number {
    return this.buckets_.get(server)?.history.length ?? 0
  }

  /** Removes servers that no longer advertise a rate. */
  removeUnlimited(now: number): void {
    for (const [server, {at}] of this.reported_) {
      if (now - at > HISTORY_MS) this.reported_.delete(server)
    }
    for (const server of this.buckets_.keys()) {
      if (this.rateFor(server, undefined, now) === undefined) this.buckets_.delete(server)
    }
  }

  forgetBox(box: string): void {
    for (const {refused} of this.buckets_.values()) refused.delete(box)
  }

  /** Returns the rate that binds a server: the one known here, or else a box's. */
  private rateFor(
    server: string,
    reported: number | undefined,
    now: number
  ): number | undefined {
    const known = this.rateOf_(server)
    if (known !== undefined || this.hasEnded_(server)) {
      this.reported_.delete(server)
      return known
    }
    if (reported !== undefined) this.reported_.set(server, {perSecond: reported, at: now})
    return this.reported_.get(server)?.perSecond
  }

  private fill(server: string, perSecond: number, now: number): Bucket {
    const known = this.buckets_.get(server)
    const bucket = known ?? createBucket(now)
    this.buckets_.set(server, bucket)
    const gained = ((now - bucket.filledAt) / 1_000) * GRANTED_SHARE * perSecond
    const capacity = Math.max(MIN_BUCKET, BUCKET_S * perSecond)
    bucket.tokens = Math.min(capacity, bucket.tokens + gained)
    bucket.filledAt = now
    const {history} = bucket
    while (history[0] && history[0].at <= now - HISTORY_MS) history.shift()
    return bucket
  }

  /**
   * Returns how many requests the server can still get within the rate window that ends
   * now.
   */
  private room({history}: Bucket, perSecond: number): number {
    return maxPerWindow(perSecond) - countAll(history)
  }

  /** Returns the time until there is room for one more request. */
  private msUntilRoom(bucket: Bucket, perSecond: number, now: number): number {
    const byTokens = ((1 - bucket.tokens) * 1_000) / (GRANTED_SHARE * perSecond)
    let excess = 1 - this.room(bucket, perSecond)
    let byWindow = 0
    for (const {at, count} of bucket.history) {
      if (excess <= 0) break
      excess -= count
      byWindow = at + HISTORY_MS - now
    }
    return Math.ceil(Math.max(1, byTokens, byWindow))
  }

  private grant(bucket: Bucket, amount: number, at: number): void {
    this.granted += amount
    bucket.tokens -= amount
    bucket.refused.clear()
    const last = bucket.history.at(-1)
    if (last && at - last.at < HISTORY_STEP_MS) last.count += amount
    else bucket.history.push({at, count: amount})
  }
}

/** Returns the number of requests that a rate allows in a rate window. */
function maxPerWindow(perSecond: number): number {
  return Math.ceil((perSecond * RATE_WINDOW_MS) / 1_000)
}

function countAll(history: Bucket["history"]): number {
  return history.reduce((total, {count}) => total + count, 0)
}

function addToHistory(history: Bucket["history"], at: number, count: number): void {
  const known = history.find(each => each.at === at)
  if (known) known.count += count
  else history.push({at, count})
}

function createBucket(now: number): Bucket {
  return {tokens: 0, filledAt: now, history: [], refused: new Set()}
}
