/**
 * Requests store snapshots from other boxes, for a box that the key-value service rejects
 * or does not answer. Such a box cannot even find out which box leads.
 */
import type {StoreSnapshotRequest, StoreSnapshot} from "../types/box-messages.js"
import {firstSuccess} from "../utils/promises.js"
import {requestStoreSnapshot} from "./box-links.js"

/** Number of boxes asked at once, since the service may reject some of them, too. */
const BOXES_PER_REQUEST = 3

/** Allows for the link delays, connecting, and a list that includes a late answer. */
const ANSWER_TIMEOUT_MS = 400

/**
 * Limits the addresses kept. Enough for some to be valid after many boxes were
 * replaced.
 */
const MAX_ADDRESSES = 24

export class PeerSnapshots {
  /** Addresses at which other boxes accept links, the most recently reported last. */
  private readonly addresses_ = new Set<string>()

  constructor(
    private readonly ownAddress_: string,
    private readonly request_: typeof requestStoreSnapshot = requestStoreSnapshot,
    /** Called with addresses of other boxes. */
    private readonly added_: (addresses: readonly string[]) => void = () => undefined
  ) {}

  /** Adds addresses at which other boxes accept links. */
  addAddresses(addresses: readonly string[]): void {
    const others = addresses.filter(address => address !== this.ownAddress_)
    if (others.length > 0) this.added_(others)
    for (const address of others) {
      this.addresses_.delete(address)
      this.addresses_.add(address)
    }
    for (const oldest of this.addresses_) {
      if (this.addresses_.size <= MAX_ADDRESSES) return
      this.addresses_.delete(oldest)
    }
  }

  /** Returns the first snapshot that another box sends. Undefined if none does. */
  async fetch(request: StoreSnapshotRequest): Promise<StoreSnapshot | undefined> {
    const answers = this.selectBoxes().map(async address => {
      const snapshot = await this.request_(address, request, ANSWER_TIMEOUT_MS)
      if (!snapshot) throw new Error(`box ${address} sent no store snapshot`)
      return snapshot
    })
    // No answer is not an error: the caller handles a missing snapshot.
    return answers.length === 0 ? undefined : firstSuccess(answers).catch(() => undefined)
  }

  /** Returns addresses from a random position on. */
  private selectBoxes(): string[] {
    const all = [...this.addresses_]
    const first = Math.floor(Math.random() * all.length)
    return [...all.slice(first), ...all.slice(0, first)].slice(0, BOXES_PER_REQUEST)
  }
}
