/**
 * Follows prefixes of the key-value service: lists them at intervals, with watches
 * between.
 */
import {LATE_ANSWER_MS, LIST_INTERVAL_MS} from "../core/snapshot-age.js"
import {KvUnavailable} from "../errors.js"
import type {KvChange, KvEntry, KvStore} from "../ports/ports.js"
import type {CallPurpose, StoreCaller, StoreReason} from "../types/store-calls.js"
import type {StorePosition} from "../types/store-position.js"
import {backoffMs} from "../utils/backoff.js"
import {hedgeAfter, pause} from "../utils/promises.js"
import {limitTime} from "../utils/time-limit.js"
import {clockNow} from "./clock.js"
import {callAs, slownessOf} from "./store-counter.js"

const MIN_RETRY_PAUSE_MS = 60
const MAX_RETRY_PAUSE_MS = 500

/**
 * Longest pause per box where many boxes list, so that they make some 300 calls a second
 * together while the service is away: those that it rejects count, too.
 */
const RETRY_PAUSE_PER_BOX_MS = 10

/** Longest pause with any number of boxes; a box learns this late of the service's return. */
const MAX_LONG_PAUSE_MS = 1_500
const MAX_PAGES = 1_000

/**
 * Pause between a failed watch and the next list, since the service may reject all
 * watches.
 */
const WATCH_FAILURE_PAUSE_MS = 120

/**
 * Pause before the next watch after changes, so that one call returns several changes.
 * Engines change their entries with every load, and each return of a watch is a paid
 * call. Changes are received later by up to this time, out of an allowed delay of at
 * least 2 s.
 */
const CHANGE_BATCH_MS = 350

/** A shorter watch is not worth its call. */
const MIN_WATCH_MS = 100

/** All entries of a prefix. */
export interface Listing extends StorePosition {
  readonly entries: readonly KvEntry[]
  /** When the list was requested, by the clock of the process. */
  readonly askedAt: number
}

export interface FollowerEvents {
  readonly list: (prefix: string, listing: Listing) => void
  readonly change: (prefix: string, change: KvChange) => void
  readonly listFailed: (prefix: string, reason: string) => void
  /**
   * Called when a watch failed. The list that follows soon includes any missed changes.
   */
  readonly watchFailed: (prefix: string, reason: string) => void
}

/** Follows prefixes from its creation until `stop`. */
export class StoreFollower {
  private readonly abort_ = new AbortController()
  /** When the pending list of each prefix was requested. */
  private readonly pendingSince_ = new Map<string, number>()
  private readonly failedPrefixes_ = new Set<string>()

  /**
   * `watches_`: whether to watch for changes between two lists, which costs more calls.
   */
  constructor(
    private readonly kv_: KvStore,
    prefixes: readonly string[],
    private readonly watches_: boolean,
    private readonly events_: FollowerEvents,
    /** Number of boxes that may list at the same time. */
    private readonly boxCount_: () => number = () => 1
  ) {
    for (const prefix of prefixes) void this.follow(prefix)
  }

  stop(): void {
    this.abort_.abort()
  }

  /** Whether the answer to a list is late, or the last list of a prefix failed. */
  isFailing(now: number): boolean {
    const lateAfterMs = LATE_ANSWER_MS * slownessOf(this.kv_)
    for (const askedAt of this.pendingSince_.values())
      if (now - askedAt > lateAfterMs) return true
    return this.failedPrefixes_.size > 0
  }

  private async follow(prefix: string): Promise<void> {
    const {signal} = this.abort_
    let failures = 0
    let reason: StoreReason = "first"
    while (!signal.aborted) {
      const nextListAt = clockNow() + LIST_INTERVAL_MS
      try {
        const position = await this.list(prefix, failures === 0, reason)
        failures = 0
        reason = "regular"
        if (!this.watches_) await pause(nextListAt - clockNow())
        else if (!(await this.watchUntil(prefix, position, nextListAt)))
          reason = "after-cut"
      } catch (cause) {
        if (signal.aborted) return
        this.failedPrefixes_.add(prefix)
        this.events_.listFailed(prefix, (cause as Error).message)
        failures++
        reason = "after-failure"
        const minPauseMs = MIN_RETRY_PAUSE_MS * slownessOf(this.kv_)
        await pause(backoffMs(failures, minPauseMs, this.maxRetryPauseMs()))
      }
    }
  }

  /** The leader, which watches, is one box alone. */
  private maxRetryPauseMs(): number {
    const forAllMs = this.watches_ ? 0 : this.boxCount_() * RETRY_PAUSE_PER_BOX_MS
    return Math.min(MAX_LONG_PAUSE_MS, Math.max(MAX_RETRY_PAUSE_MS, forAllMs))
  }

  private async list(
    prefix: string,
    retryLate: boolean,
    reason: StoreReason
  ): Promise<StorePosition> {
    const caller: StoreCaller = this.watches_ ? "leader-list" : "box-list"
    this.pendingSince_.set(prefix, clockNow())
    try {
      const listing = await listAll(this.kv_, prefix, retryLate, {caller, reason})
      this.failedPrefixes_.delete(prefix)
      if (!this.abort_.signal.aborted) this.events_.list(prefix, listing)
      return {revision: listing.revision, era: listing.era}
    } finally {
      this.pendingSince_.delete(prefix)
    }
  }

  /**
   * Watches until the next list is due. Returns false if a watch failed: it may have
   * missed changes, so a list is due at once.
   */
  private async watchUntil(
    prefix: string,
    from: StorePosition,
    end: number
  ): Promise<boolean> {
    const {signal} = this.abort_
    let position = from
    let reason: StoreReason = "regular"
    const handleChange = (change: KvChange): void => {
      if (!signal.aborted) this.events_.change(prefix, change)
    }
    for (;;) {
      const waitMs = Math.round(end - clockNow())
      if (signal.aborted) return true
      if (waitMs < MIN_WATCH_MS) {
        await pause(waitMs)
        return true
      }
      const lastRevision = position.revision
      // A watch that does not end in time is silent. The next list includes what it
      // missed.
      const limit = limitTime(waitMs + LATE_ANSWER_MS * slownessOf(this.kv_), signal)
      try {
        const kv = callAs(this.kv_, {caller: "leader-watch", reason})
        position = await kv.watch(prefix, position, handleChange, limit.signal, waitMs)
      } catch (cause) {
        if (signal.aborted) return true
        this.events_.watchFailed(prefix, (cause as Error).message)
        await pause(Math.min(WATCH_FAILURE_PAUSE_MS, end - clockNow()))
        return false
      } finally {
        limit.clear()
      }
      const changed = position.revision > lastRevision
      reason = changed ? "after-changes" : "regular"
      if (changed) await pause(Math.min(CHANGE_BATCH_MS, end - clockNow()))
    }
  }
}

/**
 * Lists all entries of a prefix. With `retryLate`, a page whose answer is late is
 * requested once more. While calls fail, such retries would only add to the load.
 */
export async function listAll(
  kv: KvStore,
  prefix: string,
  retryLate: boolean,
  purpose: CallPurpose
): Promise<Listing> {
  const askedAt = clockNow()
  const entries: KvEntry[] = []
  let first: StorePosition | undefined
  let after: string | undefined
  for (let page = 0; page < MAX_PAGES; page++) {
    const from = after
    let pagePurpose: CallPurpose =
      page === 0 ? purpose : {...purpose, reason: "next-page"}
    const requestPage = (): ReturnType<KvStore["list"]> => {
      const store = callAs(kv, pagePurpose)
      pagePurpose = {...purpose, reason: "repeated"}
      return store.list(prefix, from)
    }
    const answer = await (retryLate
      ? hedgeAfter(LATE_ANSWER_MS * slownessOf(kv), requestPage)
      : requestPage())
    // Pages aren't a consistent snapshot. A watch from the first page's position repeats
    // what changed since.
    first ??= {revision: answer.revision, era: answer.era}
    // Pages of two eras don't form a list: the first may have entries the backup lacks.
    if (answer.era !== first.era)
      throw new KvUnavailable("the pages of a list are from two eras")
    entries.push(...answer.entries)
    after = answer.entries.at(-1)?.key
    if (answer.more !== true || after === undefined) break
  }
  return {entries, revision: first?.revision ?? 0, era: first?.era, askedAt}
}

/** Lists prefixes at the request of other boxes. Late pages are requested once more. */
export function listForPeers(
  kv: KvStore,
  prefixes: readonly string[]
): Promise<Listing[]> {
  const purpose: CallPurpose = {caller: "help-list"}
  return Promise.all(prefixes.map(prefix => listAll(kv, prefix, true, purpose)))
}
