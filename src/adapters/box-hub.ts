/**
 * What a leader tells the boxes that follow it, and what it hears from them: configuration, backend
 * servers, versions, places and loads of engines one way, needs and uses the other.
 */
import {newestVersionOf} from "../core/adapter-versions.js"
import type {BoxServing} from "../core/box-state.js"
import type {Leadership} from "../core/leadership.js"
import {describeFleet, describeLoads, sendsUnbatched} from "../core/placement-updates.js"
import type {RoutedState} from "../core/serving-fleet.js"
import type {RoutedEffect, RoutedEvent} from "../core/serving-events.js"
import type {
  StoreSnapshotRequest,
  FromLeader,
  LeaderRecord,
  StoreSnapshot,
  ToLeader
} from "../types/box-messages.js"
import type {BackendRecord} from "../types/fleet.js"
import type {RateReport, SendAllowanceGrant} from "../types/rate-messages.js"
import type {CrashUpdate} from "../types/crash-messages.js"
import type {AllowanceGrant} from "../types/usage-messages.js"
import {clockNow} from "./clock.js"
import {BackendNews, withoutModels} from "./backend-news.js"
import {LinkHub} from "./box-links.js"
import {LeaseHelp} from "./lease-help.js"
import type {Log} from "./log.js"
import type {NewsSource} from "./news-source.js"
import type {StoreEras} from "./era-source.js"
import type {SettledEra} from "./settled-era.js"

const PING_MS = 250

/** The leader pings less often where it has many boxes: so much for each, up to a most. */
const PING_BOX_MS = 8
const MAX_PING_MS = 800

/** Addresses of boxes that a ping tells: after some pings a box knows enough to ask, should it lose its leader. */
const TOLD_ADDRESSES = 3

/** A box from which nothing came for so long is cut off. */
const FOLLOWER_SILENCE_MS = 2_500

export interface BoxHubOptions {
  /** Where boxes link to this one, IP number and port. */
  readonly address: string
  readonly state: () => RoutedState
  readonly post: (event: RoutedEvent) => void
  readonly news: NewsSource
  /** What the processor of this box can do, in cores. */
  readonly capacity: number
  readonly leadership: Leadership
  readonly eras: StoreEras
  readonly settled: SettledEra
  /** Whom this box follows, or itself. */
  readonly leader: () => LeaderRecord | undefined
  /** Other boxes take links there. */
  readonly met: (addresses: readonly string[]) => void
  readonly log: Log
}

type EngineEffect = Extract<RoutedEffect, {type: "places" | "loads"}>

/** The leader's end of all links. */
export class BoxHub {
  /** When the processes of half of the boxes had started, by the clock of this one. */
  medianStartAt = clockNow()
  private readonly links_: LinkHub
  private readonly backendNews_: BackendNews
  private readonly help_ = new LeaseHelp(
    count => this.links_.draw(count),
    (box, ask, lease) => this.links_.send(box, {t: "renew", ask, lease})
  )
  private pingAt_ = 0

  constructor(
    private readonly options_: BoxHubOptions,
    listening: () => void,
    failed: (cause: Error) => void
  ) {
    this.links_ = new LinkHub(options_.address, this.linkEvents(), listening, failed)
    this.backendNews_ = new BackendNews(message => this.links_.broadcast(message))
  }

  /** Tells of engines what the effect says, to whom it says. */
  tell(effect: EngineEffect): void {
    if (effect.type === "loads") {
      return this.links_.broadcast({t: "loads", loads: effect.loads})
    }
    const {changes, loads, boxes} = effect
    const message = {t: "places" as const, changes, loads}
    if (boxes) for (const box of boxes) this.links_.send(box, message)
    else this.links_.broadcast(message)
  }

  /** Passes on what this box learned from the store. */
  tellLearned(message: FromLeader): void {
    this.links_.broadcast(this.shorten(message))
  }

  /** Tells a box that its request cannot be served in time. */
  refuse(box: string, request: string, retryAfterMs: number): void {
    this.links_.send(box, {t: "refuse", request, retryAfterMs})
  }

  /** Gives a box allowances of organisations' limits. */
  allow(box: string, ask: number, grants: readonly AllowanceGrant[]): void {
    this.links_.send(box, {t: "allowances", ask, grants})
  }

  /** Tells all boxes of requests that crash servers. */
  tellCrashes(changes: CrashUpdate): void {
    this.links_.broadcast({t: "crashes", changes, whole: false})
  }

  /** Tells all boxes what servers take from all of them together. */
  tellRates(news: readonly RateReport[]): void {
    this.links_.broadcast({t: "rates", news})
  }

  /** Answers the asks of a box for sends to servers that named rates. */
  grantSends(box: string, grants: readonly SendAllowanceGrant[]): void {
    this.links_.send(box, {t: "send-grants", grants})
  }

  /** Answers a box whether a request may be sent once more. */
  answerRetry(box: string, request: string, allowed: boolean): void {
    this.links_.send(box, {t: "may-retry", request, allowed})
  }

  /** Tells of servers what changed, and from time to time that the leader lives. */
  pingIfDue(now: number): void {
    this.tellBackends()
    if (now >= this.pingAt_) this.pingAll(now)
  }

  /** Tells at once what a reading of the store brought, and that all news is as new as that. */
  tellReading(now: number): void {
    if (this.options_.leadership.fence === undefined) return
    this.tellBackends()
    this.pingAll(now)
  }

  private tellBackends(): void {
    const {state, settled} = this.options_
    const {serving} = state()
    // Boxes that remember more than this one must not drop what it leaves out.
    if (settled.isDoubted(clockNow())) return
    this.backendNews_.tell(serving.backends.known)
  }

  private pingAll(now: number): void {
    this.pingAt_ = now + pingMs(this.boxes)
    this.links_.cutSilent(FOLLOWER_SILENCE_MS)
    this.links_.broadcast(this.ping(now))
    this.options_.post({type: "boxes", boxes: this.boxes})
  }

  /** Has the lease renewed by boxes that the key-value service may still serve. */
  renewLease(lease: string): Promise<boolean> {
    return this.help_.renew(lease)
  }

  /** Cuts all links: this box leads no longer. */
  cutAll(): void {
    this.links_.cutAll()
  }

  close(): void {
    this.links_.close()
  }

  /** All boxes, this one included. */
  private get boxes(): number {
    return this.links_.size + 1
  }

  private linkEvents(): ConstructorParameters<typeof LinkHub>[1] {
    const {log, post, leadership} = this.options_
    return {
      accepts: () => leadership.fence !== undefined,
      asked: ask => this.newsFor(ask),
      up: (box, configVersion, follower) => {
        log("box-linked", {box})
        this.options_.met(this.links_.drawAddresses(TOLD_ADDRESSES))
        for (const message of this.tellAll(configVersion)) follower.send(message)
      },
      down: box => {
        log("box-unlinked", {box})
        post({type: "box-gone", box})
      },
      message: (box, message) => this.take(box, message)
    }
  }

  /** The most that the processor of any box can do, this one's included, in cores. */
  get topCapacity(): number {
    return Math.max(this.options_.capacity, this.links_.topCapacity)
  }

  private ping(now: number): FromLeader {
    const {news, leadership, eras} = this.options_
    const medianAgeMs = this.links_.medianAgeMs(now)
    this.medianStartAt = now - medianAgeMs
    return {
      t: "ping",
      newsAgeMs: news.ownAgeMs(now),
      configAgeMs: news.configAgeMs(now),
      sentAt: now,
      boxes: this.boxes,
      ordersInMs: Math.max(0, Math.round(leadership.orderFrom - now)),
      medianAgeMs,
      others: this.links_.drawAddresses(TOLD_ADDRESSES),
      topCapacity: this.topCapacity,
      storeEra: eras.tell(now)
    }
  }

  /** What a box is told that has no other way to learn; undefined: this one cannot read the store either. */
  private async newsFor({
    configVersion,
    ageMs
  }: StoreSnapshotRequest): Promise<StoreSnapshot | undefined> {
    const {news, state, leader, eras, log} = this.options_
    try {
      await news.refresh(ageMs)
    } catch (cause) {
      log("news-not-passed", {reason: (cause as Error).message})
      return undefined
    }
    const {serving} = state()
    const {config} = news
    const now = clockNow()
    return {
      t: "news",
      storeEra: eras.tell(now),
      ageMs: news.ageMs(now),
      configAgeMs: news.configAgeMs(now),
      config: config && config.version > configVersion ? config : undefined,
      records: listRecords(serving),
      versions: listVersions(serving),
      leader: leader()
    }
  }

  /** Where there are many boxes each reads a configuration itself: the leader's link is narrow. */
  private shorten(message: FromLeader): FromLeader {
    if (message.t !== "config" || sendsUnbatched(this.links_.size)) return message
    return {t: "config-named", version: message.config.version}
  }

  /** All that a new follower has to know. */
  private tellAll(configVersion: number): FromLeader[] {
    const now = clockNow()
    const {serving, fleet} = this.options_.state()
    const {config} = this.options_.news
    const records = this.options_.settled.isDoubted(now) ? [] : listRecords(serving)
    const versions = listVersions(serving)
    const engines = fleet ? describeFleet(fleet, now) : []
    const loads = fleet ? describeLoads(fleet) : {order: [], hundreds: []}
    const newer = config && config.version > configVersion
    return [
      ...(newer ? [this.shorten({t: "config", config})] : []),
      ...(records.length > 0
        ? [
            {
              t: "backends" as const,
              records,
              whole: true,
              gone: [],
              // A leader that has not read the store yet knows what the last one told it.
              ageMs: this.options_.news.ageMs(now),
              sentAt: now
            }
          ]
        : []),
      {
        t: "crashes",
        changes: {records: serving.crashes.toMessages(now), cleared: []},
        whole: true
      },
      {t: "rates", news: listRates(serving, now)},
      {t: "versions", versions},
      {t: "engines", engines},
      {t: "loads", loads},
      this.ping(now)
    ]
  }

  private take(box: string, message: ToLeader): void {
    const {post, news} = this.options_
    switch (message.t) {
      case "need":
        return post({type: "need", box, need: message.need})
      case "drop":
        return post({type: "drop", box, request: message.request})
      case "use":
        return post({type: "uses", box, changes: message.changes})
      case "missing": {
        const {engine, adapter, late} = message
        return post({type: "missing", engine, adapter, late})
      }
      case "usage": {
        const {ask, entries} = message
        return post({type: "usage", box, ask, entries})
      }
      case "ask-retry":
        return post({
          type: "ask-retry",
          box,
          id: message.request,
          service: message.service
        })
      case "crashes":
        return post({type: "crashes", changes: message.changes, source: "box"})
      case "rate":
        return post({type: "rates", news: [message.news], source: "box"})
      case "sent-lately":
        return post({type: "sent-lately", box, sent: message.sent})
      case "send-asks":
        return post({type: "send-asks", box, asks: message.asks})
      case "ask-config":
        if (news.config) this.links_.send(box, {t: "config", config: news.config})
        return
      case "ask-all":
        for (const each of this.tellAll(message.configVersion)) {
          this.links_.send(box, each)
        }
        return
      case "renewed":
        return this.help_.answered(message.ask, message.known)
      case "hello":
      case "ask-news":
      case "pong":
        return
    }
  }
}

function listRecords({backends}: BoxServing): BackendRecord[] {
  return [...backends.known.values()].map(({record}) => withoutModels(record))
}

function listRates({advertisedRates: rates}: BoxServing, now: number): RateReport[] {
  return rates.list().flatMap(server => rates.toMessage(server, now) ?? [])
}

function listVersions({versions}: BoxServing): (readonly [string, number])[] {
  return [...versions].map(
    ([adapter, named]) => [adapter, newestVersionOf(named)] as const
  )
}

/** How often a leader of so many boxes, and each of them, says that it lives, milliseconds. */
export function pingMs(boxes: number): number {
  return Math.min(MAX_PING_MS, Math.max(PING_MS, boxes * PING_BOX_MS))
}
