/** A box's session with its leader: keeps the link and handles the leader's messages. */
import {
  createLinkDelay,
  type LinkDelay,
  recordMessage,
  transitMs
} from "../core/link-delay.js"
import {LinkPatience} from "../core/link-patience.js"
import type {RoutedEvent} from "../core/serving-events.js"
import type {KvStore} from "../ports/ports.js"
import type {
  FromLeader,
  LeaderRecord,
  ToLeader,
  WriteRequest
} from "../types/box-messages.js"
import {clockNow} from "./clock.js"
import {pingMs} from "./box-hub.js"
import {LeaderLink} from "./box-links.js"
import type {Log} from "./log.js"
import {writeForLeader} from "./write-help.js"
import type {PeerSnapshots} from "./peer-snapshots.js"
import type {SnapshotSource} from "./snapshot-source.js"
import {callAs} from "./store-counter.js"
import type {StoreEras} from "./era-source.js"

/** A link on which the leader has been silent for this time is closed. */
const LINK_SILENCE_MS = 1_200

/**
 * The same limit in ping intervals, where these are long. By then the lease of a leader
 * whose process is paused has expired.
 */
const MAX_SILENT_PINGS = 2

export interface LeaderSessionOptions {
  /** The record under which other boxes know this box. */
  readonly self: LeaderRecord
  /** Processor capacity of this box, in cores. */
  readonly capacity: number
  /** When the process of this box started. */
  readonly startedAt: number
  readonly kv: KvStore
  /** Prefix of the keys that boxes may write. */
  readonly writePrefix: string
  readonly snapshotSource: SnapshotSource
  readonly peerSnapshots: PeerSnapshots
  readonly eras: StoreEras
  readonly post: (event: RoutedEvent) => void
  readonly boxCount: () => number
  /** Whether the box is stopping and follows no new leader. */
  readonly isStopping: () => boolean
  /** Called when the leader has sent a configuration. */
  readonly configReceived: () => void
  /** Called when the link to a leader that had answered is down. */
  readonly leaderLost: () => void
  /** Called before a message of the leader is handled. */
  readonly beforeMessage: () => void
  /** Called with the highest processor capacity of all boxes, in cores. */
  readonly topCapacityReported: (capacity: number) => void
  /** Called with the median age of the boxes' processes. */
  readonly medianAgeReported: (medianAgeMs: number) => void
  readonly log: Log
}

export class LeaderSession {
  private link_: LeaderLink | undefined
  private leader_: LeaderRecord | undefined
  private linked_ = false
  private readonly patience_ = new LinkPatience()
  /** Delay of the link. Undefined until a message with a timestamp has arrived. */
  private delay_: LinkDelay | undefined
  private nextPongAt_ = 0
  /** Whether the leader accepts reports of demand. */
  private acceptsDemand_ = false

  constructor(private readonly options_: LeaderSessionOptions) {}

  /** The leader that this box follows or tries to link to. */
  get leader(): LeaderRecord | undefined {
    return this.leader_
  }

  /** Whether the leader has answered on the link. */
  get linked(): boolean {
    return this.linked_
  }

  send(message: ToLeader): void {
    if (message.t === "demand" && !this.acceptsDemand_) return
    this.link_?.send(message)
  }

  close(): void {
    this.link_?.close()
  }

  /** Closes a silent link, and sends a heartbeat if one is due. */
  tick(now: number, leading: boolean): void {
    const intervalMs = pingMs(this.options_.boxCount())
    const maxSilenceMs = Math.max(LINK_SILENCE_MS, MAX_SILENT_PINGS * intervalMs)
    if (this.linked_) this.link_?.closeIfSilent(maxSilenceMs)
    if (leading || now < this.nextPongAt_) return
    this.nextPongAt_ = now + intervalMs
    this.send({t: "pong"})
  }

  /**
   * Links to the leader that the store names, unless there is a link to a leader already.
   * Another leader that has not answered yet is given up.
   */
  followNamed(leader: LeaderRecord): void {
    const isOther = this.leader_?.incarnation !== leader.incarnation
    if (isOther && !this.linked_) this.link_?.close()
    this.follow(leader)
  }

  /** Links to a leader, unless this box links to one already. */
  follow(leader: LeaderRecord): void {
    const {isStopping, peerSnapshots, log, leaderLost, post} = this.options_
    if (this.link_ || isStopping()) return
    this.leader_ = leader
    peerSnapshots.addAddresses([leader.address])
    const startedAt = clockNow()
    const {incarnation} = leader
    const answerMs = this.patience_.waitMs(incarnation)
    const link = new LeaderLink(leader.address, this.hello(), answerMs, {
      down: () => {
        if (this.link_ === link) this.link_ = undefined
        if (this.leader_ === leader) this.leader_ = undefined
        const wasLinked = this.linked_
        this.linked_ = false
        if (!wasLinked) {
          this.patience_.recordFailure(incarnation)
          return log("leader-unreached", {
            leader: leader.box,
            afterMs: Math.round(clockNow() - startedAt),
            opened: link.greetedAt !== Infinity
          })
        }
        log("leader-lost", {leader: leader.box})
        leaderLost()
      },
      message: message => {
        this.options_.beforeMessage()
        if (this.link_ !== link) return
        if (!this.linked_) {
          this.linked_ = true
          this.patience_.recordAnswer()
          log("leader-linked", {leader: leader.box})
          post({type: "leader-new"})
        }
        this.handleMessage(this.addTransitTime(message, link.greetedAt))
      }
    })
    this.link_ = link
    this.delay_ = undefined
    this.acceptsDemand_ = false
  }

  private hello(): ToLeader {
    const {self, snapshotSource, startedAt, capacity} = this.options_
    return {
      t: "hello",
      box: self.box,
      incarnation: self.incarnation,
      configVersion: snapshotSource.config?.version ?? -1,
      ageMs: Math.round(clockNow() - startedAt),
      address: self.address,
      deflates: true,
      capacity
    }
  }

  /** Returns the message with its transit time added to the ages that it carries. */
  private addTransitTime(message: FromLeader, greetedAt: number): FromLeader {
    if (!("sentAt" in message) || message.sentAt === undefined) return message
    const {sentAt} = message
    const now = clockNow()
    const delay = this.delay_ ?? createLinkDelay(greetedAt, sentAt)
    this.delay_ = recordMessage(delay, sentAt, now)
    const delayMs = transitMs(this.delay_, sentAt, now)
    if (message.t !== "ping") return {...message, ageMs: message.ageMs + delayMs}
    const {newsAgeMs, configAgeMs = Infinity} = message
    return {
      ...message,
      newsAgeMs: newsAgeMs + delayMs,
      configAgeMs: configAgeMs + delayMs
    }
  }

  private handleMessage(message: FromLeader): void {
    const {snapshotSource, post, configReceived} = this.options_
    if (snapshotSource.applyLeaderMessage(message)) {
      if (message.t === "config") configReceived()
      return
    }
    switch (message.t) {
      case "renew":
        return void this.renewLease(message.ask, message.lease)
      case "write":
        return void this.writeForLeader(message)
      case "engines":
        return post({type: "engines", engines: message.engines})
      case "places":
        return post({type: "places", changes: message.changes, loads: message.loads})
      case "loads":
        return post({type: "loads", loads: message.loads})
      case "refuse": {
        const {request, retryAfterMs} = message
        return post({type: "refuse", request, retryAfterMs})
      }
      case "allowances": {
        const {ask, grants} = message
        return post({type: "allowances", ask, grants})
      }
      case "crashes": {
        const {changes, whole} = message
        return post({type: "crashes", changes, source: whole ? "leader-all" : "leader"})
      }
      case "rates":
        return post({type: "rates", news: message.news, source: "leader"})
      case "send-grants":
        return post({type: "send-grants", grants: message.grants})
      case "pressure":
        return post({type: "pressure", services: message.services})
      case "may-retry":
        return post({type: "may-retry", id: message.request, allowed: message.allowed})
      case "boxes":
        return this.options_.peerSnapshots.addAddresses(message.addresses)
      case "ping":
        return this.handlePing(message)
    }
  }

  private handlePing(ping: Extract<FromLeader, {t: "ping"}>): void {
    const {
      snapshotSource,
      peerSnapshots,
      eras,
      post,
      medianAgeReported,
      topCapacityReported
    } = this.options_
    medianAgeReported(ping.medianAgeMs)
    this.acceptsDemand_ = ping.acceptsDemand === true
    if (ping.topCapacity !== undefined) topCapacityReported(ping.topCapacity)
    // Before the snapshot age, as a store read in a new era is weaker evidence.
    if (ping.storeEra) eras.handleReport(ping.storeEra)
    post({type: "orders", hasLeader: true, inMs: ping.ordersInMs})
    const {newsAgeMs, configAgeMs = Infinity} = ping
    snapshotSource.handleLeaderAges(newsAgeMs, configAgeMs, clockNow())
    peerSnapshots.addAddresses(ping.others)
    post({type: "boxes", boxes: ping.boxes})
  }

  /** Writes a value of a leader that cannot reach the store itself. */
  private async writeForLeader(request: WriteRequest): Promise<void> {
    const {kv, writePrefix} = this.options_
    // Boxes write only keys of their own.
    if (!request.key.startsWith(writePrefix)) return
    const answer = await writeForLeader(callAs(kv, {caller: "usage-save"}), request)
    this.send({t: "written", ...answer})
  }

  /** Renews the lease of a leader that cannot reach the store itself. */
  private async renewLease(ask: number, lease: string): Promise<void> {
    const {kv, log} = this.options_
    try {
      const known = await callAs(kv, {caller: "lease-help"}).keepAlive(lease)
      this.send({t: "renewed", ask, known})
    } catch (cause) {
      log("lease-not-helped", {reason: (cause as Error).message})
    }
  }
}
