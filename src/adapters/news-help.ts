/**
 * Asks other boxes to read the key-value service for this one, which it turns away or does not answer.
 * A box that the service turns away cannot even find out who leads.
 */
import type {StoreSnapshotRequest, StoreSnapshot} from "../types/box-messages.js"
import {firstSuccess} from "../utils/promises.js"
import {askNews} from "./box-links.js"

/** Boxes that are asked at once: some may be turned away, too. */
const BOXES = 3

/** Their connections, a list of theirs, a late one included, and the ways, milliseconds. */
const ANSWER_MS = 400

/** Addresses of other boxes that are remembered: enough that some still stand after many were replaced. */
const MAX_KNOWN = 24

export class NewsHelp {
  /** Where other boxes take links, the one that was heard of last at the end. */
  private readonly known_ = new Set<string>()

  constructor(
    private readonly self_: string,
    private readonly ask_: typeof askNews = askNews
  ) {}

  /** Other boxes take links there. */
  learn(addresses: readonly string[]): void {
    for (const address of addresses) {
      if (address === this.self_) continue
      this.known_.delete(address)
      this.known_.add(address)
    }
    for (const oldest of this.known_) {
      if (this.known_.size <= MAX_KNOWN) return
      this.known_.delete(oldest)
    }
  }

  /** The news of the first box that can read the service; undefined: none can. */
  async ask(ask: StoreSnapshotRequest): Promise<StoreSnapshot | undefined> {
    const asked = this.draw().map(async address => {
      const news = await this.ask_(address, ask, ANSWER_MS)
      if (!news) throw new Error(`${address} has no news`)
      return news
    })
    // That no box answers is no error: whoever asked notes that it has no news.
    return asked.length === 0 ? undefined : firstSuccess(asked).catch(() => undefined)
  }

  /** Some of the boxes, by chance. */
  private draw(): string[] {
    const all = [...this.known_]
    const first = Math.floor(Math.random() * all.length)
    return [...all.slice(first), ...all.slice(0, first)].slice(0, BOXES)
  }
}
