/** Unsent usage deltas of a box, summed by engine and adapter. */
import type {EngineUseDelta, StreamPace} from "../types/box-messages.js"

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
            tokens: existing.tokens + delta.tokens,
            ...sumPaces(existing.pace, delta.pace)
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

function sumPaces(
  a: StreamPace | undefined,
  b: StreamPace | undefined
): {readonly pace?: StreamPace} {
  if (!a && !b) return {}
  const events = (a?.events ?? 0) + (b?.events ?? 0)
  return {pace: {events, ms: (a?.ms ?? 0) + (b?.ms ?? 0)}}
}
