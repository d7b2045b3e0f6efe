/** Follows prefixes of the key-value service: lists in a fixed rhythm, watches between them. */
import {LATE_ANSWER_MS, LIST_INTERVAL_MS} from "../core/snapshot-age.js"
import {KvUnavailable} from "../errors.js"
import type {KvChange, KvEntry, KvStore} from "../ports/ports.js"
import type {CallPurpose, StoreCaller, StoreReason} from "../types/store-calls.js"
import type {StorePosition} from "../types/store-position.js"
import {backoffMs} from "../utils/backoff.js"
import {hedgeAfter, pause} from "../utils/promises.js"
import {limitTime} from "../utils/time-limit.js"
import {clockNow} from "./clock.js"
import {callAs} from "./store-counter.js"

const FIRST_PAUSE_MS = 60
const LONGEST_PAUSE_MS = 500
const PAGE_LIMIT = 1_000

/** Between a watch that was cut and the list that follows it, milliseconds: watches may all be refused. */
const CUT_PAUSE_MS = 120

/**
 * After changes a watch waits so long, so that it returns once for what comes together: engines
 * change their entries with every load, and each return of a watch is a call that is paid for.
 * What changes meanwhile is heard by so much later, of the two seconds and more that it may take.
 */
const GATHER_MS = 350

/** A watch for less time is not worth its call, milliseconds. */
const SHORTEST_WATCH_MS = 100

/** All keys of a prefix, and when they were asked for, by the clock of the process. */
export interface Listing extends StorePosition {
  readonly entries: readonly KvEntry[]
  readonly askedAt: number
}

export interface FollowerEvents {
  readonly list: (prefix: string, listing: Listing) => void
  readonly change: (prefix: string, change: KvChange) => void
  /** A list failed. */
  readonly trouble: (prefix: string, reason: string) => void
  /** A watch failed: a list follows soon, and nothing is lost but time. */
  readonly cut: (prefix: string, reason: string) => void
}

/** One following of some prefixes; ends with `stop`. */
export class StoreFollower {
  private readonly abort_ = new AbortController()
  /** When a list was asked for that is not answered yet, by prefix. */
  private readonly asking_ = new Map<string, number>()
  private readonly failed_ = new Set<string>()

  /** `watches`: whether it also hears of changes between two lists, at the price of more calls. */
  constructor(
    private readonly kv_: KvStore,
    prefixes: readonly string[],
    private readonly watches_: boolean,
    private readonly events_: FollowerEvents
  ) {
    for (const prefix of prefixes) void this.follow(prefix)
  }

  stop(): void {
    this.abort_.abort()
  }

  /** Whether a list is late, or the last one of a prefix failed. */
  isFailing(now: number): boolean {
    for (const askedAt of this.asking_.values())
      if (now - askedAt > LATE_ANSWER_MS) return true
    return this.failed_.size > 0
  }

  private async follow(prefix: string): Promise<void> {
    const {signal} = this.abort_
    let failures = 0
    let reason: StoreReason = "first"
    while (!signal.aborted) {
      const end = clockNow() + LIST_INTERVAL_MS
      try {
        const listing = await this.list(prefix, failures === 0, reason)
        failures = 0
        reason = "regular"
        if (!this.watches_) await pause(end - clockNow())
        else if (!(await this.watchUntil(prefix, listing, end))) reason = "after-cut"
      } catch (cause) {
        if (signal.aborted) return
        this.failed_.add(prefix)
        this.events_.trouble(prefix, (cause as Error).message)
        failures++
        reason = "after-failure"
        await pause(backoffMs(failures, FIRST_PAUSE_MS, LONGEST_PAUSE_MS))
      }
    }
  }

  private async list(
    prefix: string,
    again: boolean,
    reason: StoreReason
  ): Promise<StorePosition> {
    const caller: StoreCaller = this.watches_ ? "leader-list" : "box-list"
    this.asking_.set(prefix, clockNow())
    try {
      const listing = await listAll(this.kv_, prefix, again, {caller, reason})
      this.failed_.delete(prefix)
      if (!this.abort_.signal.aborted) this.events_.list(prefix, listing)
      return {revision: listing.revision, era: listing.era}
    } finally {
      this.asking_.delete(prefix)
    }
  }

  /**
   * Watches until the next list is due; a watch that is cut may have missed something: it is due
   * then, and the answer is false.
   */
  private async watchUntil(
    prefix: string,
    from: StorePosition,
    end: number
  ): Promise<boolean> {
    const {signal} = this.abort_
    let position = from
    let reason: StoreReason = "regular"
    const take = (change: KvChange): void => {
      if (!signal.aborted) this.events_.change(prefix, change)
    }
    for (;;) {
      const waitMs = Math.round(end - clockNow())
      if (signal.aborted) return true
      if (waitMs < SHORTEST_WATCH_MS) {
        await pause(waitMs)
        return true
      }
      const seen = position.revision
      // A watch that does not end in time has gone silent: the list that follows tells what it missed.
      const limit = limitTime(waitMs + LATE_ANSWER_MS, signal)
      try {
        const kv = callAs(this.kv_, {caller: "leader-watch", reason})
        position = await kv.watch(prefix, position, take, limit.signal, waitMs)
      } catch (cause) {
        if (signal.aborted) return true
        this.events_.cut(prefix, (cause as Error).message)
        await pause(Math.min(CUT_PAUSE_MS, end - clockNow()))
        return false
      } finally {
        limit.clear()
      }
      const changed = position.revision > seen
      reason = changed ? "after-changes" : "regular"
      if (changed) await pause(Math.min(GATHER_MS, end - clockNow()))
    }
  }
}

/**
 * All keys of a prefix. `again`: a page whose answer is late is asked for once more; where calls fail
 * already that would only add to them.
 */
export async function listAll(
  kv: KvStore,
  prefix: string,
  again: boolean,
  purpose: CallPurpose
): Promise<Listing> {
  const askedAt = clockNow()
  const entries: KvEntry[] = []
  let first: StorePosition | undefined
  let after: string | undefined
  for (let page = 0; page < PAGE_LIMIT; page++) {
    const from = after
    let named: CallPurpose = page === 0 ? purpose : {...purpose, reason: "next-page"}
    const ask = (): ReturnType<KvStore["list"]> => {
      const store = callAs(kv, named)
      named = {...purpose, reason: "repeated"}
      return store.list(prefix, from)
    }
    const answer = await (again ? hedgeAfter(LATE_ANSWER_MS, ask) : ask())
    // Pages are no snapshot: what changed since the first is told by the watch once more.
    first ??= {revision: answer.revision, era: answer.era}
    // Pages of two eras are no list: the first ones may hold what the copy lacks.
    if (answer.era !== first.era) throw new KvUnavailable("pages of two eras")
    entries.push(...answer.entries)
    after = answer.entries.at(-1)?.key
    if (answer.more !== true || after === undefined) break
  }
  return {entries, revision: first?.revision ?? 0, era: first?.era, askedAt}
}

/** Lists prefixes for boxes that asked: one whose answer is late is asked for once more. */
export function listForOthers(
  kv: KvStore,
  prefixes: readonly string[]
): Promise<Listing[]> {
  const purpose: CallPurpose = {caller: "help-list"}
  return Promise.all(prefixes.map(prefix => listAll(kv, prefix, true, purpose)))
}
