/**
 * Other boxes that can send a request to a backend server that this box does not reach,
 * and what is known of them.
 */

/** Addresses kept. Enough for some to be valid after many boxes were replaced. */
const MAX_PEERS = 24

/** How long a box that did not answer comes last. */
const PEER_FAILURE_MS = 2_000

/** How long a box that does not reach a server is not asked for it again. */
const UNREACHED_MS = 1_000

/** How long such a box comes after others for other servers, too. */
const LESS_PREFERRED_MS = 2_000

interface Peer {
  inProgress: number
  failedUntil: number
  lessPreferredUntil: number
  /** Servers that it does not reach, with the time until which it isn't asked again. */
  readonly unreachedUntil: Map<string, number>
}

export class PeerPaths {
  /** By the address at which the box accepts links, the most recently named last. */
  private readonly peers_ = new Map<string, Peer>()

  /** Adds addresses at which other boxes accept links. */
  add(addresses: readonly string[]): void {
    for (const address of addresses) {
      const peer = this.peers_.get(address) ?? createPeer()
      this.peers_.delete(address)
      this.peers_.set(address, peer)
    }
    for (const oldest of this.peers_.keys()) {
      if (this.peers_.size <= MAX_PEERS) return
      this.peers_.delete(oldest)
    }
  }

  /** Returns a box that may reach the server. Undefined if none is known. */
  choose(server: string, now: number, random: () => number): string | undefined {
    const able = [...this.peers_].filter(
      ([, {unreachedUntil}]) => (unreachedUntil.get(server) ?? 0) <= now
    )
    const answering = able.filter(([, {failedUntil}]) => failedUntil <= now)
    const preferred = answering.filter(([, peer]) => peer.lessPreferredUntil <= now)
    // A box that did not answer is better than none.
    const peers = [preferred, answering, able].find(({length}) => length > 0) ?? []
    const [first, second] = [drawOne(peers, random), drawOne(peers, random)]
    if (!first || !second) return undefined
    return first[1].inProgress <= second[1].inProgress ? first[0] : second[0]
  }

  /** Returns up to `count` boxes that answered recently, from a random one on. */
  draw(count: number, now: number, random: () => number): string[] {
    const addresses = [...this.peers_].flatMap(([address, {failedUntil}]) =>
      failedUntil <= now ? address : []
    )
    const first = Math.floor(random() * addresses.length)
    return [...addresses.slice(first), ...addresses.slice(0, first)].slice(0, count)
  }

  get addresses(): ReadonlySet<string> {
    return new Set(this.peers_.keys())
  }

  /** Counts a request in or out at a box. */
  count(address: string, change: 1 | -1): void {
    const peer = this.peers_.get(address)
    if (peer) peer.inProgress = Math.max(0, peer.inProgress + change)
  }

  /** Records that a box did not answer. */
  recordFailure(address: string, now: number): void {
    const peer = this.peers_.get(address)
    if (peer) peer.failedUntil = now + PEER_FAILURE_MS
  }

  /** Records that a box did not send a request to the server. */
  recordUnreached(address: string, server: string, now: number): void {
    const peer = this.peers_.get(address)
    if (!peer) return
    for (const [each, until] of peer.unreachedUntil) {
      if (until <= now) peer.unreachedUntil.delete(each)
    }
    peer.unreachedUntil.set(server, now + UNREACHED_MS)
    peer.lessPreferredUntil = now + LESS_PREFERRED_MS
  }
}

function createPeer(): Peer {
  return {
    inProgress: 0,
    failedUntil: -Infinity,
    lessPreferredUntil: -Infinity,
    unreachedUntil: new Map()
  }
}

function drawOne<T>(items: readonly T[], random: () => number): T | undefined {
  return items[Math.floor(random() * items.length)]
}
