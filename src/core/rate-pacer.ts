/**
 * The leader shares out what backend servers take that named a rate: each send of a box needs an allowance.
 *
 * A token bucket for each server fills a little below its rate, so that allowances that are used late stay within
 * the rate too. What boxes sent before they knew of the rate counts as well. A leader begins with an empty bucket:
 * the one before it gave no more than the rate, so that nothing has to be handed over.
 */
import type {SendAsk, SendGrant, SentLately} from "../types/rate-messages.js"
import {SENT_STEP_MS, SPAN_MS} from "./recent-sends.js"
import {USE_MS} from "./send-allowances.js"

/** Of the rate, the part that is given out; the time over which it may be saved up, seconds, and how much at least. */
const GIVEN_SHARE = 0.92
const SAVED_S = 0.14
const LEAST_SAVED = 2

/** A server that takes less is sent a request as often as this all the same: its answer ends the rate. */
const LEAST_PER_SECOND = 0.1

/** Boxes that are told to come back for one allowance: some have nothing to send by then. */
const BOXES_A_TURN = 20

/** No box is told to wait for longer, milliseconds. */
const MAX_ROOM_MS = 5_000

/** Allowances and sends are counted together in steps of this length, milliseconds. */
const STEP_MS = 100

/** An allowance that is used late, and counted with one a step before, still counts for a span after its use. */
const COUNTED_MS = SPAN_MS + USE_MS + STEP_MS

/** Requests of this rank and beyond are given nothing in advance: what comes belongs to more urgent ones. */
const RANKS = 10

interface Bucket {
  /** Below 0: as many were given in advance. */
  tokens: number
  filledAt: number
  /** What reached the server, or may, within the last span; oldest first. */
  counted: {at: number; count: number}[]
  /** Boxes that got nothing since the last allowance was given. */
  readonly refused: Set<string>
}

export class RatePacer {
  /** Allowances given and not given since this box leads. */
  given = 0
  refused = 0
  private readonly buckets_ = new Map<string, Bucket>()

  /** `rateOf`: requests a second that a server takes; undefined: it names no rate. */
  constructor(private readonly rateOf_: (server: string) => number | undefined) {}

  /** Answers the ask of a box. */
  ask(box: string, {server, ask, count, rank, waitMs}: SendAsk, now: number): SendGrant {
    const named = this.rateOf_(server)
    if (named === undefined) return {server, ask, count}
    const perSecond = Math.max(LEAST_PER_SECOND, named)
    const bucket = this.fill(server, perSecond, now)
    const tokens = Math.floor(bucket.tokens)
    const amount = Math.max(0, Math.min(count, tokens, this.room(bucket, perSecond)))
    if (amount > 0) this.give(bucket, amount, now)
    if (amount === count) return {server, ask, count}
    const roomInMs = this.roomIn(bucket, perSecond, now)
    if (amount > 0) return {server, ask, count: amount, roomInMs}
    if (roomInMs <= waitMs * (1 - rank / RANKS)) {
      this.give(bucket, 1, now + roomInMs)
      return {server, ask, count: 1, inMs: roomInMs, roomInMs}
    }
    this.refused++
    bucket.refused.add(box)
    const turns = bucket.refused.size / BOXES_A_TURN
    const turnMs = 1_000 / (GIVEN_SHARE * perSecond)
    const later = Math.min(MAX_ROOM_MS, Math.max(roomInMs, turns * turnMs))
    return {server, ask, count: 0, roomInMs: Math.round(later)}
  }

  /** Counts what a box sent to a server before it was bound by the rate. */
  noteSent({server, counts}: SentLately, now: number): void {
    const perSecond = this.rateOf_(server)
    if (perSecond === undefined) return
    const bucket = this.fill(server, Math.max(LEAST_PER_SECOND, perSecond), now)
    const step = Math.ceil(now / SENT_STEP_MS)
    counts.forEach((count, age) => {
      if (count > 0) addTo(bucket.counted, (step - age) * SENT_STEP_MS, count)
    })
    bucket.counted.sort((a, b) => a.at - b.at)
  }

  /** How many times are told apart of what a server got. */
  stepsOf(server: string): number {
    return this.buckets_.get(server)?.counted.length ?? 0
  }

  /** Forgets servers that name no rate any more. */
  forget(): void {
    for (const server of this.buckets_.keys()) {
      if (this.rateOf_(server) === undefined) this.buckets_.delete(server)
    }
  }

  /** A box is gone. */
  forgetBox(box: string): void {
    for (const {refused} of this.buckets_.values()) refused.delete(box)
  }

  private fill(server: string, perSecond: number, now: number): Bucket {
    const known = this.buckets_.get(server)
    const bucket = known ?? createBucket(now)
    this.buckets_.set(server, bucket)
    const gained = ((now - bucket.filledAt) / 1_000) * GIVEN_SHARE * perSecond
    const most = Math.max(LEAST_SAVED, SAVED_S * perSecond)
    bucket.tokens = Math.min(most, bucket.tokens + gained)
    bucket.filledAt = now
    const {counted} = bucket
    while (counted[0] && counted[0].at <= now - COUNTED_MS) counted.shift()
    return bucket
  }

  /** What the server may still get within the span that ends now. */
  private room({counted}: Bucket, perSecond: number): number {
    return mostInSpan(perSecond) - sum(counted)
  }

  /** In how long there is room for one more, milliseconds. */
  private roomIn(bucket: Bucket, perSecond: number, now: number): number {
    const byTokens = ((1 - bucket.tokens) * 1_000) / (GIVEN_SHARE * perSecond)
    let over = 1 - this.room(bucket, perSecond)
    let bySpan = 0
    for (const {at, count} of bucket.counted) {
      if (over <= 0) break
      over -= count
      bySpan = at + COUNTED_MS - now
    }
    return Math.ceil(Math.max(1, byTokens, bySpan))
  }

  private give(bucket: Bucket, amount: number, at: number): void {
    this.given += amount
    bucket.tokens -= amount
    bucket.refused.clear()
    const last = bucket.counted.at(-1)
    if (last && at - last.at < STEP_MS) last.count += amount
    else bucket.counted.push({at, count: amount})
  }
}

/** The whole requests that a rate allows in a span. */
function mostInSpan(perSecond: number): number {
  return Math.ceil((perSecond * SPAN_MS) / 1_000)
}

function sum(counted: Bucket["counted"]): number {
  return counted.reduce((total, {count}) => total + count, 0)
}

function addTo(counted: Bucket["counted"], at: number, count: number): void {
  const known = counted.find(each => each.at === at)
  if (known) known.count += count
  else counted.push({at, count})
}

function createBucket(now: number): Bucket {
  return {tokens: 0, filledAt: now, counted: [], refused: new Set()}
}
