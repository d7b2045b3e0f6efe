/**
 * Requests store snapshots from other boxes, for a box that the key-value service rejects
 * or does not answer. Such a box cannot even find out which box leads.
 */
import type {StoreSnapshotRequest, StoreSnapshot} from "../types/box-messages.js"
import {firstSuccess} from "../utils/promises.js"
import {startAnswerTimer} from "../utils/timers.js"
import {SnapshotLink} from "./box-links.js"
import {clockNow} from "./clock.js"

/** Number of boxes asked at once, since the service may reject some of them, too. */
const BOXES_PER_REQUEST = 3

/** Allows for the link delays, connecting, and a list that includes a late answer. */
const ANSWER_TIMEOUT_MS = 400

/**
 * Limits the addresses kept. Enough for some to be valid after many boxes were
 * replaced.
 */
const MAX_ADDRESSES = 24

/**
 * Limits the open links. Three requests in a row, which is what the age of a snapshot
 * leaves time for, ask other boxes each.
 */
const MAX_LINKS = 3 * BOXES_PER_REQUEST

/** A box that was of no help as often in a row makes room for another one. */
const MAX_FAILURES = 5

export type RequestLink = Pick<SnapshotLink, "address" | "close" | "isAsked" | "request">

/** An open link to another box. */
interface OpenLink {
  readonly link: RequestLink
  /** Answers in a row that were late or without a snapshot. */
  failures: number
}

export class PeerSnapshots {
  /** Addresses at which other boxes accept links, the most recently reported last. */
  private readonly addresses_ = new Set<string>()
  private readonly links_ = new Set<OpenLink>()
  private isClosed_ = false

  constructor(
    private readonly ownAddress_: string,
    /** Called with addresses of other boxes. */
    private readonly added_: (addresses: readonly string[]) => void = () => undefined,
    private readonly connect_: (address: string, down: () => void) => RequestLink = (
      address,
      down
    ) => new SnapshotLink(address, down)
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

  /** Returns the first snapshot that another box sends. Undefined if none does in time. */
  async fetch(request: StoreSnapshotRequest): Promise<StoreSnapshot | undefined> {
    const answers = this.selectLinks().map(open => this.ask(open, request))
    if (answers.length === 0) return undefined
    return new Promise(resolve => {
      const timer = startAnswerTimer(ANSWER_TIMEOUT_MS, () => resolve(undefined))
      // No answer is not an error: the caller handles a missing snapshot.
      void firstSuccess(answers)
        .catch(() => undefined)
        .then(resolve)
        .finally(timer.clear)
    })
  }

  /** Closes all links, and opens no others. */
  close(): void {
    this.isClosed_ = true
    for (const {link} of this.links_) link.close()
  }

  private async ask(
    open: OpenLink,
    request: StoreSnapshotRequest
  ): Promise<StoreSnapshot> {
    const askedAt = clockNow()
    const snapshot = await open.link.request(request)
    const isLate = clockNow() - askedAt > ANSWER_TIMEOUT_MS
    open.failures = snapshot && !isLate ? 0 : open.failures + 1
    if (open.failures === MAX_FAILURES) open.link.close()
    if (!snapshot) throw new Error(`box ${open.link.address} sent no store snapshot`)
    return snapshot
  }

  /**
   * Returns the links to ask: those whose boxes helped last time, then new ones, then those
   * with the fewest failures. A link that still waits for an answer is not asked again: the
   * other box may wait for a processor, or the link may be dead.
   */
  private selectLinks(): OpenLink[] {
    if (this.isClosed_) return []
    const ready = [...this.links_].filter(({link}) => !link.isAsked)
    const helpful = ready.filter(({failures}) => failures === 0)
    const others = ready.filter(({failures}) => failures > 0)
    others.sort((a, b) => a.failures - b.failures)
    const selected = helpful.slice(0, BOXES_PER_REQUEST)
    const room = MAX_LINKS - this.links_.size
    const opened = this.selectAddresses(ready)
      .slice(0, Math.min(BOXES_PER_REQUEST - selected.length, room))
      .flatMap(address => this.open(address))
    return [...selected, ...opened, ...others].slice(0, BOXES_PER_REQUEST)
  }

  /**
   * Returns the addresses without a ready link from a random position on. Those with a link
   * that waits for an answer come last.
   */
  private selectAddresses(ready: readonly OpenLink[]): string[] {
    const linked = new Set([...this.links_].map(({link}) => link.address))
    const excluded = new Set(ready.map(({link}) => link.address))
    const all = [...this.addresses_].filter(address => !excluded.has(address))
    const first = Math.floor(Math.random() * all.length)
    const turned = [...all.slice(first), ...all.slice(0, first)]
    const isLinked = (address: string): boolean => linked.has(address)
    return [...turned.filter(a => !isLinked(a)), ...turned.filter(isLinked)]
  }

  /** Returns no link if the address, which another box reported, is none. */
  private open(address: string): [OpenLink] | [] {
    try {
      const link = this.connect_(address, () => this.links_.delete(open))
      const open: OpenLink = {link, failures: 0}
      this.links_.add(open)
      return [open]
    } catch {
      this.addresses_.delete(address)
      return []
    }
  }
}
