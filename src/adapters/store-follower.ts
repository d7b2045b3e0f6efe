/** Follows prefixes of the key-value service: a list, then watches; a new list after any trouble. */
import type {KvChange, KvEntry, KvStore} from "../ports/ports.js"
import {backoffMs} from "../utils/backoff.js"

const FIRST_PAUSE_MS = 60
const LONGEST_PAUSE_MS = 500
const PAGE_LIMIT = 1_000

/** How often the list is read again: a watch may be deaf without being cut, milliseconds. */
const RECHECK_MS = 900

/**
 * How often a box that only lists does so, milliseconds: within the two seconds that news may take,
 * with a third of the calls of one that also watches.
 */
const POLL_MS = 1_200

/**
 * After changes a watch waits so long, so that it returns once for what comes together: engines
 * change their entries with every load, and each return of a watch is a call that is paid for.
 * What changes meanwhile is heard by so much later, of the two seconds and more that it may take.
 */
const GATHER_MS = 350

export interface FollowerEvents {
  readonly list: (prefix: string, entries: readonly KvEntry[]) => void
  readonly change: (prefix: string, change: KvChange) => void
  readonly trouble: (prefix: string, reason: string) => void
  /** An answer came. */
  readonly answered: (prefix: string) => void
}

/** One following of some prefixes; ends with `stop`. */
export class StoreFollower {
  private readonly abort_ = new AbortController()
  private readonly answeredAt_ = new Map<string, number>()

  /** `watches`: whether it also hears of changes between two lists, at the price of more calls. */
  constructor(
    private readonly kv_: KvStore,
    private readonly prefixes_: readonly string[],
    private readonly watches_: boolean,
    private readonly events_: FollowerEvents
  ) {
    for (const prefix of prefixes_) void this.follow(prefix)
  }

  stop(): void {
    this.abort_.abort()
  }

  /** How long ago the prefix that was answered last of all was answered, milliseconds. */
  ageMs(now: number): number {
    let age = 0
    for (const prefix of this.prefixes_) {
      age = Math.max(age, now - (this.answeredAt_.get(prefix) ?? -Infinity))
    }
    return age
  }

  private async follow(prefix: string): Promise<void> {
    const {signal} = this.abort_
    let failures = 0
    while (!signal.aborted) {
      try {
        const revision = await this.readAll(prefix)
        failures = 0
        if (this.watches_) {
          await this.watchUntil(prefix, revision, performance.now() + RECHECK_MS)
        } else await pause(POLL_MS)
      } catch (cause) {
        if (signal.aborted) return
        this.events_.trouble(prefix, (cause as Error).message)
        failures++
        await pause(backoffMs(failures, FIRST_PAUSE_MS, LONGEST_PAUSE_MS))
      }
    }
  }

  private async readAll(prefix: string): Promise<number> {
    const all: KvEntry[] = []
    let first: number | undefined
    let after: string | undefined
    for (let page = 0; page < PAGE_LIMIT; page++) {
      const {entries, revision, more} = await this.kv_.list(prefix, after)
      // Pages are no snapshot: what changed since the first is told by the watch once more.
      first ??= revision
      all.push(...entries)
      after = entries.at(-1)?.key
      if (more !== true || after === undefined) break
    }
    if (this.abort_.signal.aborted) return 0
    this.noteAnswer(prefix)
    this.events_.list(prefix, all)
    return first ?? 0
  }

  private async watchUntil(prefix: string, from: number, end: number): Promise<void> {
    const {signal} = this.abort_
    let revision = from
    while (!signal.aborted && performance.now() < end) {
      const seen = revision
      const take = (change: KvChange): void => {
        if (!signal.aborted) this.events_.change(prefix, change)
      }
      revision = await this.kv_.watch(prefix, revision, take, signal)
      if (signal.aborted) return
      this.noteAnswer(prefix)
      if (revision > seen) await pause(GATHER_MS)
    }
  }

  private noteAnswer(prefix: string): void {
    this.answeredAt_.set(prefix, performance.now())
    this.events_.answered(prefix)
  }
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}
