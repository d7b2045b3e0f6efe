/**
 * The leader's communication with the boxes that follow it. It sends configuration,
 * backend servers, versions, slots and loads of engines, and receives weights requests
 * and usage deltas.
 */
import type {RequestListener} from "node:http"
import {newestVersionOf} from "../core/adapter-versions.js"
import type {BoxServing} from "../core/box-state.js"
import type {Leadership} from "../core/leadership.js"
import {
  batchIntervalMs,
  describeFleet,
  describeLoads,
  sendsUnbatched
} from "../core/placement-updates.js"
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
import type {PressureLevel} from "../types/load-messages.js"
import type {CrashUpdate} from "../types/crash-messages.js"
import type {AllowanceGrant} from "../types/usage-messages.js"
import {clockNow} from "./clock.js"
import {BackendUpdates, listUnlisted, withoutModels} from "./backend-updates.js"
import {LinkHub} from "./box-links.js"
import {LeaseHelp} from "./lease-help.js"
import {SharedMessage} from "./link-codec.js"
import type {KvPutOptions, KvPutResult} from "../ports/ports.js"
import {WriteHelp} from "./write-help.js"
import type {Log} from "./log.js"
import type {SnapshotSource} from "./snapshot-source.js"
import type {StoreEras} from "./era-source.js"
import type {SettledEra} from "./settled-era.js"

const PING_MS = 250

/** With many boxes the ping interval grows by this for each box, up to `MAX_PING_MS`. */
const PING_MS_PER_BOX = 8
const MAX_PING_MS = 800

/**
 * Addresses of other boxes in a ping. After some pings a box has enough addresses to
 * request a store snapshot if it loses its leader.
 */
const ADDRESSES_PER_PING = 3

/** The link to a box that has been silent for longer than this is closed. */
const FOLLOWER_SILENCE_MS = 2_500

/**
 * Least interval between two preparations of the full state, and so the longest time
 * that a box waits for it.
 */
const MAX_STATE_INTERVAL_MS = 100

export interface BoxHubOptions {
  /** The address at which this box accepts links, IP address and port. */
  readonly address: string
  readonly state: () => RoutedState
  readonly post: (event: RoutedEvent) => void
  readonly snapshotSource: SnapshotSource
  /** Processor capacity of this box, in cores. */
  readonly capacity: number
  readonly leadership: Leadership
  readonly eras: StoreEras
  readonly settled: SettledEra
  /** The leader that this box follows, or this box if it is the leader itself. */
  readonly leader: () => LeaderRecord | undefined
  /** Called with addresses at which other boxes accept links. */
  readonly addressesLearned: (addresses: readonly string[]) => void
  /** Handles requests of other boxes that are no links. */
  readonly request: RequestListener
  readonly log: Log
}

type EngineEffect = Extract<RoutedEffect, {type: "places" | "loads"}>

/** The leader's end of the links to all boxes. */
export class BoxHub {
  /** Median start time of the boxes' processes, by the clock of this box. */
  medianStartAt = clockNow()
  private readonly links_: LinkHub
  private readonly backendUpdates_: BackendUpdates
  private readonly leaseHelp_ = new LeaseHelp(
    count => this.links_.drawBoxes(count),
    (box, ask, lease) => this.links_.send(box, {t: "renew", ask, lease})
  )
  private readonly writeHelp_ = new WriteHelp(
    count => this.links_.drawBoxes(count),
    (box, request) => this.links_.send(box, {t: "write", ...request})
  )
  private pingAt_ = 0
  /** Boxes that wait for the full state, with the versions of their configurations. */
  private readonly stateRequests_ = new Map<string, number>()
  private stateSentAt_ = -Infinity
  private stateTimer_: NodeJS.Timeout | undefined

  constructor(
    private readonly options_: BoxHubOptions,
    listening: () => void,
    failed: (cause: Error) => void
  ) {
    this.links_ = new LinkHub(options_.address, this.linkEvents(), listening, failed)
    this.backendUpdates_ = new BackendUpdates(message => this.links_.broadcast(message))
  }

  /** Sends an update of engines to the boxes that the effect names, or to all. */
  sendEngineUpdate(effect: EngineEffect): void {
    if (effect.type === "loads") {
      return this.links_.broadcast({t: "loads", loads: effect.loads})
    }
    const {changes, loads, boxes} = effect
    const message = {t: "places" as const, changes, loads}
    if (boxes) for (const box of boxes) this.links_.send(box, message)
    else this.links_.broadcast(message)
  }

  /** Forwards an update that this box read from the store to all boxes. */
  broadcastUpdate(message: FromLeader): void {
    this.links_.broadcast(this.shorten(message))
  }

  /** Informs a box that its request cannot be served in time. */
  sendRefusal(box: string, request: string, retryAfterMs: number): void {
    this.links_.send(box, {t: "refuse", request, retryAfterMs})
  }

  /** Sends a box its allowances of organisations' limits. */
  sendAllowances(box: string, ask: number, grants: readonly AllowanceGrant[]): void {
    this.links_.send(box, {t: "allowances", ask, grants})
  }

  /** Informs all boxes of changes in the requests that crash servers. */
  broadcastCrashes(changes: CrashUpdate): void {
    this.links_.broadcast({t: "crashes", changes, whole: false})
  }

  /** Informs all boxes of the rates that servers accept from all boxes together. */
  broadcastRates(news: readonly RateReport[]): void {
    this.links_.broadcast({t: "rates", news})
  }

  /** Informs all boxes of what they have to refuse. */
  broadcastPressure(services: readonly PressureLevel[]): void {
    this.links_.broadcast({t: "pressure", services})
  }

  /** Answers a box's requests for sends to servers with an advertised rate limit. */
  grantSends(box: string, grants: readonly SendAllowanceGrant[]): void {
    this.links_.send(box, {t: "send-grants", grants})
  }

  /** Answers a box whether a request may be retried. */
  answerRetry(box: string, request: string, allowed: boolean): void {
    this.links_.send(box, {t: "may-retry", request, allowed})
  }

  /** Sends changes of backend servers, and a ping if one is due. */
  pingIfDue(now: number): void {
    this.sendBackendChanges()
    if (now >= this.pingAt_) this.pingAll(now)
  }

  /** Sends the result of a store read at once, and a ping with the new snapshot age. */
  sendStoreRead(now: number): void {
    if (this.options_.leadership.fence === undefined) return
    this.sendBackendChanges()
    this.pingAll(now)
  }

  private sendBackendChanges(): void {
    const {state, settled} = this.options_
    const {serving} = state()
    // After a restore this list may be incomplete. Other boxes may hold more servers and
    // must not drop those that are missing here.
    if (settled.mayReadRestoredEntries(clockNow())) return
    this.backendUpdates_.sendChanges(serving.backends.known)
  }

  private pingAll(now: number): void {
    this.pingAt_ = now + pingMs(this.boxCount)
    this.links_.closeSilent(FOLLOWER_SILENCE_MS)
    this.links_.broadcast(this.createPing(now))
    this.options_.addressesLearned(this.links_.drawAddresses(ADDRESSES_PER_PING))
    this.options_.post({type: "boxes", boxes: this.boxCount})
  }

  /**
   * Has the leader's lease renewed by other boxes, which may still reach the key-value
   * service.
   */
  renewLease(lease: string): Promise<boolean> {
    return this.leaseHelp_.renew(lease)
  }

  /** Has another box write a value of the leader. See `WriteHelp`. */
  writeElsewhere(
    key: string,
    value: string,
    options: KvPutOptions
  ): Promise<KvPutResult> {
    return this.writeHelp_.put(key, value, options)
  }

  /** Closes all links because the leadership of this box ended. */
  closeLinks(): void {
    this.links_.closeLinks()
  }

  close(): void {
    clearTimeout(this.stateTimer_)
    this.links_.close()
  }

  /** The number of boxes, including this one. */
  private get boxCount(): number {
    return this.links_.size + 1
  }

  private linkEvents(): ConstructorParameters<typeof LinkHub>[1] {
    const {log, post, leadership, request} = this.options_
    return {
      request,
      acceptsFollowers: () => leadership.fence !== undefined,
      readSnapshot: ask => this.readSnapshot(ask),
      up: (box, configVersion) => {
        log("box-linked", {box})
        this.requestState(box, configVersion)
      },
      down: box => {
        this.stateRequests_.delete(box)
        log("box-unlinked", {box})
        post({type: "box-gone", box})
      },
      message: (box, message) => this.handleMessage(box, message)
    }
  }

  /** The highest processor capacity of all boxes, including this one, in cores. */
  get topCapacity(): number {
    return Math.max(this.options_.capacity, this.links_.topCapacity)
  }

  private createPing(now: number): FromLeader {
    const {snapshotSource, leadership, eras} = this.options_
    const medianAgeMs = this.links_.medianAgeMs(now)
    this.medianStartAt = now - medianAgeMs
    return {
      t: "ping",
      newsAgeMs: snapshotSource.readAgeMs(now),
      configAgeMs: snapshotSource.configAgeMs(now),
      sentAt: now,
      boxes: this.boxCount,
      ordersInMs: Math.max(0, Math.round(leadership.orderFrom - now)),
      medianAgeMs,
      others: this.links_.drawAddresses(ADDRESSES_PER_PING),
      topCapacity: this.topCapacity,
      storeEra: eras.report(now),
      acceptsDemand: true
    }
  }

  /**
   * Returns a store snapshot for a box that has no other source. Undefined if this box
   * cannot read the store either.
   */
  private async readSnapshot({
    configVersion,
    ageMs
  }: StoreSnapshotRequest): Promise<StoreSnapshot | undefined> {
    const {snapshotSource, state, leader, eras, log} = this.options_
    try {
      await snapshotSource.refresh(ageMs)
    } catch (cause) {
      log("news-not-passed", {reason: (cause as Error).message})
      return undefined
    }
    const {serving} = state()
    const {config} = snapshotSource
    const now = clockNow()
    const ownAgeMs = snapshotSource.ageMs(now)
    return {
      t: "news",
      storeEra: eras.report(now),
      ageMs: ownAgeMs,
      configAgeMs: snapshotSource.configAgeMs(now),
      config: config && config.version > configVersion ? config : undefined,
      records: listRecords(serving),
      unlisted: listUnlisted(serving.backends.known, now - ownAgeMs),
      versions: listVersions(serving),
      leader: leader()
    }
  }

  /**
   * Replaces a configuration by its version if there are many boxes. Each box then reads
   * the configuration from the store, which saves the leader's bandwidth.
   */
  private shorten(message: FromLeader): FromLeader {
    if (message.t !== "config" || sendsUnbatched(this.links_.size)) return message
    return {t: "config-named", version: message.config.version}
  }

  /**
   * Sends a box the full state soon. Boxes that ask at about the same time get the same
   * messages, as all boxes link at once to a new leader.
   */
  private requestState(box: string, configVersion: number): void {
    this.stateRequests_.set(box, configVersion)
    const intervalMs = Math.min(MAX_STATE_INTERVAL_MS, batchIntervalMs(this.boxCount))
    const waitMs = Math.max(0, this.stateSentAt_ + intervalMs - clockNow())
    this.stateTimer_ ??= setTimeout(() => this.sendState(), waitMs)
  }

  /** Sends the full state to the boxes that wait for it. */
  private sendState(): void {
    this.stateTimer_ = undefined
    if (this.stateRequests_.size === 0) return
    this.stateSentAt_ = clockNow()
    this.options_.addressesLearned(this.links_.drawAddresses(Infinity))
    const {config} = this.options_.snapshotSource
    const newConfig = config
      ? [new SharedMessage(this.shorten({t: "config", config}))]
      : []
    const state = this.listFullState().map(message => new SharedMessage(message))
    for (const [box, configVersion] of this.stateRequests_) {
      const isBehind = config !== undefined && config.version > configVersion
      this.links_.sendState(box, isBehind ? [...newConfig, ...state] : state)
    }
    this.stateRequests_.clear()
  }

  /** Returns the messages that, after the configuration, bring any box up to date. */
  private listFullState(): FromLeader[] {
    const now = clockNow()
    const {serving, fleet} = this.options_.state()
    const ageMs = this.options_.snapshotSource.ageMs(now)
    const records = this.options_.settled.mayReadRestoredEntries(now)
      ? []
      : listRecords(serving)
    const versions = listVersions(serving)
    const engines = fleet ? describeFleet(fleet, now) : []
    const loads = fleet ? describeLoads(fleet) : {order: [], hundreds: []}
    return [
      ...(records.length > 0
        ? [
            {
              t: "backends" as const,
              records,
              whole: true,
              gone: [],
              unlisted: listUnlisted(serving.backends.known, now - ageMs),
              // A leader that has not read the store yet passes on what the last leader
              // sent.
              ageMs,
              sentAt: now
            }
          ]
        : []),
      {
        t: "crashes",
        changes: {records: serving.crashes.toMessages(now), cleared: []},
        whole: true
      },
      {t: "boxes", addresses: this.links_.drawAddresses(Infinity)},
      {t: "rates", news: listRates(serving, now)},
      {t: "versions", versions},
      {t: "engines", engines},
      {t: "loads", loads},
      this.createPing(now)
    ]
  }

  private handleMessage(box: string, message: ToLeader): void {
    const {post, snapshotSource} = this.options_
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
      case "demand":
        return post({type: "demand", box, rows: message.rows})
      case "ask-config":
        if (snapshotSource.config)
          this.links_.send(box, {t: "config", config: snapshotSource.config})
        return
      case "ask-all":
        return this.requestState(box, message.configVersion)
      case "renewed":
        return this.leaseHelp_.handleAnswer(message.ask, message.known)
      case "written":
        return this.writeHelp_.handleAnswer(message)
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

/**
 * Returns the interval at which a leader of `boxes` boxes, and each of these, sends a
 * heartbeat.
 */
export function pingMs(boxes: number): number {
  return Math.min(MAX_PING_MS, Math.max(PING_MS, boxes * PING_MS_PER_BOX))
}
