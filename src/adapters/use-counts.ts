/** What a box has yet to tell its leader of requests begun and ended, summed by engine and adapter. */
import type {EngineUseDelta} from "../types/box-messages.js"

export class UseCounts {
  private counts_ = new Map<string, EngineUseDelta>()

  /** Adds to the counts; true: they were empty. */
  add(change: EngineUseDelta): boolean {
    const {engine, adapter} = change
    const key = `${engine} ${adapter ?? ""}`
    const known = this.counts_.get(key)
    this.counts_.set(
      key,
      known
        ? {
            ...known,
            begun: known.begun + change.begun,
            ended: known.ended + change.ended,
            tokens: known.tokens + change.tokens
          }
        : change
    )
    return this.counts_.size === 1 && known === undefined
  }

  /** Takes all counts out. */
  drain(): EngineUseDelta[] {
    const all = [...this.counts_.values()]
    this.counts_ = new Map()
    return all
  }
}
