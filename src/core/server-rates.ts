/**
 * The rates that backend servers take from all boxes together, as their answers name them. Answers overtake each
 * other, and come to different boxes: of two that may have been given in either order the lower rate counts, and
 * only an answer to a request that was sent after the rate was last heard ends it.
 */
import type {RateNews} from "../types/rate-messages.js"

/** A server's word, by the clock of the box. */
export interface RateWord {
  /** Requests a second; undefined: it names none any more. */
  readonly perSecond: number | undefined
  /** When the request was sent whose answer says so, and when that answer came. */
  readonly sentAt: number
  readonly heardAt: number
}

/** Words that are remembered, of servers and of lives of servers. */
const MAX_WORDS = 2_000

/** A word that ended a rate is remembered for so long: older ones may still come, milliseconds. */
const ENDED_MS = 10_000

/** What a word of another box may have spent on its way, milliseconds. */
const WAY_MS = 300

export class ServerRates {
  private readonly words_ = new Map<string, RateWord>()

  /** Requests a second that a server takes; undefined: it names none. */
  of(server: string): number | undefined {
    return this.words_.get(server)?.perSecond
  }

  /** When a server last named its rate, as far as this box heard. */
  heardAt(server: string): number {
    return this.words_.get(server)?.heardAt ?? -Infinity
  }

  /** The servers that name a rate now. */
  list(): string[] {
    return [...this.words_].flatMap(([server, {perSecond}]) =>
      perSecond === undefined ? [] : [server]
    )
  }

  /** Takes a word; true: what is in force has changed. */
  take(server: string, word: RateWord): boolean {
    const known = this.words_.get(server)
    const next = merge(known, word)
    if (next === known || !next) return false
    this.words_.delete(server)
    this.words_.set(server, next)
    this.forgetOld(word.heardAt)
    return next.perSecond !== known?.perSecond
  }

  /** Takes what another box heard; `stands`: what this one knows goes before it, and differs. */
  takeNews(news: RateNews, now: number): "changed" | "known" | "stands" {
    const heardAt = now - news.heardAgoMs
    const sentAt = now - news.sentAgoMs - WAY_MS
    const {server, perSecond} = news
    if (this.take(server, {perSecond, sentAt, heardAt})) return "changed"
    return this.of(server) === perSecond ? "known" : "stands"
  }

  /** What another box is told of a server; undefined: nothing is known. */
  tell(server: string, now: number): RateNews | undefined {
    const word = this.words_.get(server)
    if (!word) return undefined
    const {perSecond, sentAt, heardAt} = word
    return {
      server,
      ...(perSecond === undefined ? {} : {perSecond}),
      sentAgoMs: Math.round(now - sentAt),
      heardAgoMs: Math.round(now - heardAt)
    }
  }

  /** The life of a server is over. */
  forget(server: string): void {
    this.words_.delete(server)
  }

  private forgetOld(now: number): void {
    for (const [server, {perSecond, heardAt}] of this.words_) {
      const isOver = perSecond === undefined && now - heardAt > ENDED_MS
      if (isOver || this.words_.size > MAX_WORDS) this.words_.delete(server)
      else return
    }
  }
}

/** What counts after a word, of what was known before and the word itself. */
function merge(known: RateWord | undefined, word: RateWord): RateWord | undefined {
  if (!known) return word.perSecond === undefined ? undefined : word
  // It was given before what is known.
  if (word.heardAt <= known.sentAt) return known
  const isNewer = word.sentAt > known.heardAt
  if (word.perSecond === undefined) {
    return isNewer || known.perSecond === undefined ? word : known
  }
  if (isNewer || known.perSecond === undefined) return word
  const perSecond = Math.min(known.perSecond, word.perSecond)
  const heardAt = Math.max(known.heardAt, word.heardAt)
  return {perSecond, sentAt: Math.max(known.sentAt, word.sentAt), heardAt}
}
