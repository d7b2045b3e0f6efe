/** Unsent usage deltas of a box, summed by engine and adapter. */
import type {EngineUseDelta} from "../types/box-messages.js"

export class UseCounts {
  private deltas_ = new Map<string, EngineUseDelta>()

  /** Adds a delta. Returns whether there were none before. */
  add(delta: EngineUseDelta): boolean {
    const {engine, adapter} = delta
    const key = `${engine} ${adapter ?? ""}`
    const existing = this.deltas_.get(key)
    this.deltas_.set(
      key,
      existing
        ? {
            ...existing,
            begun: existing.begun + delta.begun,
            ended: existing.ended + delta.ended,
            tokens: existing.tokens + delta.tokens
          }
        : delta
    )
    return this.deltas_.size === 1 && existing === undefined
  }

  /** Removes and returns all deltas. */
  drain(): EngineUseDelta[] {
    const all = [...this.deltas_.values()]
    this.deltas_ = new Map()
    return all
  }
}
