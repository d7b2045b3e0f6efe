/**
 * Estimates the probability that an engine has a prompt's shared prefix in its cache. A
 * box sees only its own requests. It therefore assumes that each box sends as many
 * requests for an adapter as it does itself, spread over the prefixes that it has seen on
 * the route. If uncached prefixes are counted as cached, busy engines look idle.
 */

/** Half-life of the weight of a request. Engines keep prefixes for a long time. */
const HALF_LIFE_MS = 10_000

/** Limit on remembered adapters; the least recently requested are removed. */
const MAX_ADAPTERS = 2_000

/** Limit on remembered prefixes of a route. More are taken to be too many for a cache. */
const MAX_PREFIXES = 256

interface Count {
  readonly score: number
  readonly at: number
}

export class PrefixHistory {
  private readonly counts_ = new Map<string, Count>()
  private readonly prefixes_ = new Map<string, Set<string>>()

  /** Records a request that was sent. */
  recordRequest(route: string, adapter: string, prefix: string, now: number): void {
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

  /**
   * Returns the probability that a box has sent a request with this adapter and prefix
   * before.
   */
  cacheProbability(route: string, adapter: string, boxes: number, now: number): number {
    const requests = this.score(`${route} ${adapter}`, now) * Math.max(1, boxes)
    const prefixCount = Math.max(1, this.prefixes_.get(route)?.size ?? 1)
    return 1 - Math.exp(-requests / prefixCount)
  }

  private score(key: string, now: number): number {
    const count = this.counts_.get(key)
    return count ? count.score * 2 ** ((count.at - now) / HALF_LIFE_MS) : 0
  }
}

function dropOldest(entries: Map<string, unknown> | Set<string>, most: number): void {
  for (const oldest of entries.keys()) {
    if (entries.size <= most) return
    entries.delete(oldest)
  }
}
