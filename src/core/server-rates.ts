/**
 * Rate limits over all boxes that backend servers advertise in their answers.
 *
 * Answers can arrive out of order and at different boxes. If the order of two answers is
 * unknown, the lower rate applies. Only an answer to a request that was sent after the
 * rate was last received ends it.
 */
import type {RateReport} from "../types/rate-messages.js"

/** Rate limit that a server advertised. Times are of the box's clock. */
export interface AdvertisedRate {
  /** Undefined if the server no longer advertises a rate. */
  readonly perSecond: number | undefined
  /** When the request was sent, and when its answer arrived. */
  readonly sentAt: number
  readonly heardAt: number
}

/** Entries that are kept, of servers and of incarnations of servers. */
const MAX_ENTRIES = 2_000

/** Retention of an entry that ended a rate, since older answers may still arrive. */
const ENDED_RETENTION_MS = 10_000

/** Longest delay of a message from another box. */
const MAX_DELAY_MS = 300

export class ServerRates {
  private readonly rates_ = new Map<string, AdvertisedRate>()

  /** Returns the rate (requests per second) that a server advertises, if any. */
  of(server: string): number | undefined {
    return this.rates_.get(server)?.perSecond
  }

  /** Whether the server advertised a rate before and is known to have ended it. */
  hasEnded(server: string): boolean {
    const rate = this.rates_.get(server)
    return rate !== undefined && rate.perSecond === undefined
  }

  /** Returns when the last answer with a rate arrived, as far as this box knows. */
  heardAt(server: string): number {
    return this.rates_.get(server)?.heardAt ?? -Infinity
  }

  /** Returns the servers that advertise a rate. */
  list(): string[] {
    return [...this.rates_].flatMap(([server, {perSecond}]) =>
      perSecond === undefined ? [] : [server]
    )
  }

  /** Applies an advertised rate. Returns whether the rate in force has changed. */
  apply(server: string, update: AdvertisedRate): boolean {
    const known = this.rates_.get(server)
    const next = merge(known, update)
    if (next === known || !next) return false
    this.rates_.delete(server)
    this.rates_.set(server, next)
    this.removeExpired(update.heardAt)
    return next.perSecond !== known?.perSecond
  }

  /**
   * Applies a rate that another box received. Returns `stands` if the rate known here
   * takes precedence and differs.
   */
  applyRemote(news: RateReport, now: number): "changed" | "known" | "stands" {
    const heardAt = now - news.heardAgoMs
    const sentAt = now - news.sentAgoMs - MAX_DELAY_MS
    const {server, perSecond} = news
    if (this.apply(server, {perSecond, sentAt, heardAt})) return "changed"
    return this.of(server) === perSecond ? "known" : "stands"
  }

  /**
   * Returns the message about a server for other boxes. Undefined if nothing is known.
   */
  toMessage(server: string, now: number): RateReport | undefined {
    const rate = this.rates_.get(server)
    if (!rate) return undefined
    const {perSecond, sentAt, heardAt} = rate
    return {
      server,
      ...(perSecond === undefined ? {} : {perSecond}),
      sentAgoMs: Math.round(now - sentAt),
      heardAgoMs: Math.round(now - heardAt)
    }
  }

  forget(server: string): void {
    this.rates_.delete(server)
  }

  private removeExpired(now: number): void {
    for (const [server, {perSecond, heardAt}] of this.rates_) {
      const isExpired = perSecond === undefined && now - heardAt > ENDED_RETENTION_MS
      if (isExpired || this.rates_.size > MAX_ENTRIES) this.rates_.delete(server)
      else return
    }
  }
}

/** Returns the entry that applies after an update. */
function merge(
  known: AdvertisedRate | undefined,
  update: AdvertisedRate
): AdvertisedRate | undefined {
  if (!known) return update.perSecond === undefined ? undefined : update
  // The update is older than the known entry.
  if (update.heardAt <= known.sentAt) return known
  const isNewer = update.sentAt > known.heardAt
  if (update.perSecond === undefined) {
    return isNewer || known.perSecond === undefined ? update : known
  }
  if (isNewer || known.perSecond === undefined) return update
  const perSecond = Math.min(known.perSecond, update.perSecond)
  const heardAt = Math.max(known.heardAt, update.heardAt)
  return {perSecond, sentAt: Math.max(known.sentAt, update.sentAt), heardAt}
}
