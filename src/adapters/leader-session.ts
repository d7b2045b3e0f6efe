/** A box's session with its leader: the link, and what the leader tells over it. */
import {
  createLinkDelay,
  type LinkDelay,
  recordMessage,
  transitMs
} from "../core/link-delay.js"
import type {RoutedEvent} from "../core/serving-events.js"
import type {KvStore} from "../ports/ports.js"
import type {FromLeader, LeaderRecord, ToLeader} from "../types/box-messages.js"
import {clockNow} from "./clock.js"
import {pingMs} from "./box-hub.js"
import {LeaderLink} from "./box-links.js"
import type {Log} from "./log.js"
import type {NewsHelp} from "./news-help.js"
import type {NewsSource} from "./news-source.js"
import {callAs} from "./store-counter.js"
import type {StoreEras} from "./era-source.js"

/** A link on which the leader says nothing for so long is given up, milliseconds. */
const LINK_SILENCE_MS = 1_200

/** The same where pings are far between, in pings: by then the lease of a leader that stands still has ended. */
const SILENT_PINGS = 2

export interface LeaderSessionOptions {
  /** This box, as other boxes know it. */
  readonly self: LeaderRecord
  /** What its processor can do, in cores. */
  readonly capacity: number
  /** When its process started. */
  readonly startedAt: number
  readonly kv: KvStore
  readonly news: NewsSource
  readonly help: NewsHelp
  readonly eras: StoreEras
  readonly post: (event: RoutedEvent) => void
  readonly boxes: () => number
  /** The box stops: it follows nobody new. */
  readonly closed: () => boolean
  /** The leader told a configuration. */
  readonly configured: () => void
  /** The link to a leader that had answered is down. */
  readonly lost: () => void
  /** A message of the leader's is about to be taken. */
  readonly hearing: () => void
  /** The most that the processor of any box can do, in cores. */
  readonly strongest: (capacity: number) => void
  /** So long ago the processes of half of the boxes had started, milliseconds. */
  readonly pinged: (medianAgeMs: number) => void
  readonly log: Log
}

export class LeaderSession {
  private link_: LeaderLink | undefined
  private leader_: LeaderRecord | undefined
  private linked_ = false
  /** Of the link; undefined: no message that tells its time has come. */
  private delay_: LinkDelay | undefined
  private pongAt_ = 0

  constructor(private readonly options_: LeaderSessionOptions) {}

  /** Whom this box follows, or tries to. */
  get leader(): LeaderRecord | undefined {
    return this.leader_
  }

  /** Whether the leader has answered on the link. */
  get linked(): boolean {
    return this.linked_
  }

  send(message: ToLeader): void {
    this.link_?.send(message)
  }

  close(): void {
    this.link_?.close()
  }

  /** Gives a silent link up, and says from time to time that this box lives. */
  tick(now: number, leading: boolean): void {
    const every = pingMs(this.options_.boxes())
    const silence = Math.max(LINK_SILENCE_MS, SILENT_PINGS * every)
    if (this.link_ && this.link_.silentMs > silence) this.link_.close()
    if (leading || now < this.pongAt_) return
    this.pongAt_ = now + every
    this.send({t: "pong"})
  }

  /** Links to a leader, unless there is a link already. */
  follow(leader: LeaderRecord): void {
    const {closed, help, log, lost, post} = this.options_
    if (this.link_ || closed()) return
    this.leader_ = leader
    help.learn([leader.address])
    const link = new LeaderLink(leader.address, this.hello(), {
      down: () => {
        if (this.link_ === link) this.link_ = undefined
        if (this.leader_ === leader) this.leader_ = undefined
        const wasLinked = this.linked_
        this.linked_ = false
        if (!wasLinked) return
        log("leader-lost", {leader: leader.box})
        lost()
      },
      message: message => {
        this.options_.hearing()
        if (this.link_ !== link) return
        if (!this.linked_) {
          this.linked_ = true
          log("leader-linked", {leader: leader.box})
          post({type: "leader-new"})
        }
        this.take(this.addWay(message, link.greetedAt))
      }
    })
    this.link_ = link
    this.delay_ = undefined
  }

  private hello(): ToLeader {
    const {self, news, startedAt, capacity} = this.options_
    return {
      t: "hello",
      box: self.box,
      incarnation: self.incarnation,
      configVersion: news.config?.version ?? -1,
      ageMs: Math.round(clockNow() - startedAt),
      address: self.address,
      deflates: true,
      capacity
    }
  }

  /** The message, with ages as they are now: what it spent on its way is added. */
  private addWay(message: FromLeader, greetedAt: number): FromLeader {
    if (!("sentAt" in message) || message.sentAt === undefined) return message
    const {sentAt} = message
    const now = clockNow()
    const delay = this.delay_ ?? createLinkDelay(greetedAt, sentAt)
    this.delay_ = recordMessage(delay, sentAt, now)
    const wayMs = transitMs(this.delay_, sentAt, now)
    if (message.t !== "ping") return {...message, ageMs: message.ageMs + wayMs}
    const {newsAgeMs, configAgeMs = Infinity} = message
    return {
      ...message,
      newsAgeMs: newsAgeMs + wayMs,
      configAgeMs: configAgeMs + wayMs
    }
  }

  private take(message: FromLeader): void {
    const {news, post, configured} = this.options_
    if (news.takeNews(message)) {
      if (message.t === "config") configured()
      return
    }
    switch (message.t) {
      case "renew":
        return void this.renew(message.ask, message.lease)
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
      case "may-retry":
        return post({type: "may-retry", id: message.request, allowed: message.allowed})
      case "ping":
        return this.takePing(message)
    }
  }

  private takePing(ping: Extract<FromLeader, {t: "ping"}>): void {
    const {news, help, eras, post, pinged, strongest} = this.options_
    pinged(ping.medianAgeMs)
    if (ping.topCapacity !== undefined) strongest(ping.topCapacity)
    // Before the age of the leader's news: a reading of a new era proves less.
    if (ping.storeEra) eras.hear(ping.storeEra)
    post({type: "orders", hasLeader: true, inMs: ping.ordersInMs})
    const {newsAgeMs, configAgeMs = Infinity} = ping
    news.heardLeader(newsAgeMs, configAgeMs, clockNow())
    help.learn(ping.others)
    post({type: "boxes", boxes: ping.boxes})
  }

  /** Renews the leader's lease, which the store does not let it renew itself. */
  private async renew(ask: number, lease: string): Promise<void> {
    const {kv, log} = this.options_
    try {
      const known = await callAs(kv, {caller: "lease-help"}).keepAlive(lease)
      this.send({t: "renewed", ask, known})
    } catch (cause) {
      log("lease-not-helped", {reason: (cause as Error).message})
    }
  }
}
