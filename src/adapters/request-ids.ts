/** Ids of the latest requests, as hashes of fixed size: callers choose ids of any length. */
import {hashMember} from "../utils/rendezvous.js"

/**
 * Ids that are remembered. A server repeats an answer where the next one is due, so that
 * older ones no longer matter.
 */
const MAX_IDS = 64

export class RequestIds {
  /** Oldest first. */
  private readonly hashes_ = new Set<number>()

  add(id: string): void {
    const hash = hashMember(id)
    this.hashes_.delete(hash)
    this.hashes_.add(hash)
    if (this.hashes_.size <= MAX_IDS) return
    const [oldest] = this.hashes_
    if (oldest !== undefined) this.hashes_.delete(oldest)
  }

  /** Whether the id is remembered. May be true for another id with the same hash. */
  has(id: string): boolean {
    return this.hashes_.has(hashMember(id))
  }

  clear(): void {
    this.hashes_.clear()
  }
}
