/**
 * How likely an engine has read the shared beginning of a prompt. A box sees only its own part of
 * the requests, so it reckons: requests of all boxes for an adapter are as many times its own as
 * there are boxes, and each fell on one of the beginnings that the box has met on the route.
 * Work that was believed to be kept though it was not made engines look idle that were not.
 */

/** An engine keeps what it read for long; requests count half after this, milliseconds. */
const HALF_LIFE_MS = 10_000

/** Adapters that are remembered: those asked for last. */
const MAX_ADAPTERS = 2_000

/** Beginnings that are remembered for each route; more are taken for too many to be kept. */
const MAX_PREFIXES = 256

interface Count {
  readonly score: number
  readonly at: number
}

export class PrefixMemory {
  private readonly counts_ = new Map<string, Count>()
  private readonly prefixes_ = new Map<string, Set<string>>()

  /** Notes a request that was sent. */
  note(route: string, adapter: string, prefix: string, now: number): void {
    const key = `${route} ${adapter}`
    const score = this.score(key, now) + 1
    this.counts_.delete(key)
    this.counts_.set(key, {score, at: now})
    dropOldest(this.counts_, MAX_ADAPTERS)
    const prefixes = this.prefixes_.get(route) ?? new Set<string>()
    this.prefixes_.set(route, prefixes)
    prefixes.delete(prefix)
    prefixes.add(prefix)
    dropOldest(prefixes, MAX_PREFIXES)
  }

  /** The likelihood that some request of any box came before with this adapter and beginning. */
  keptShare(route: string, adapter: string, boxes: number, now: number): number {
    const requests = this.score(`${route} ${adapter}`, now) * Math.max(1, boxes)
    const kinds = Math.max(1, this.prefixes_.get(route)?.size ?? 1)
    return 1 - Math.exp(-requests / kinds)
  }

  private score(key: string, now: number): number {
    const count = this.counts_.get(key)
    return count ? count.score * 2 ** ((count.at - now) / HALF_LIFE_MS) : 0
  }
}

function dropOldest(kept: Map<string, unknown> | Set<string>, most: number): void {
  for (const oldest of kept.keys()) {
    if (kept.size <= most) return
    kept.delete(oldest)
  }
}
