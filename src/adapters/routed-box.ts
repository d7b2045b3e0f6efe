/**
 * A routed box: one process that serves callers and, while it leads, places weights on engines.
 * Composition only: what happens becomes an event of the core, its effects are performed here.
 */
import {randomUUID} from "node:crypto"
import type {Server} from "node:http"
import {
  handoverMs,
  type LeadershipOptions,
  isLeader,
  canOrder,
  takeoverMs
} from "../core/leadership.js"
import {type BoxEffect, createBoxServing} from "../core/box-state.js"
import {nextTickMs, stepRouted} from "../core/serving.js"
import type {RoutedState} from "../core/serving-fleet.js"
import type {RoutedEffect, RoutedEvent} from "../core/serving-events.js"
import {PROCESS_PAUSE_MS} from "../core/snapshot-age.js"
import {KvUnavailable} from "../errors.js"
import type {Dialect, FleetRecords} from "../ports/fleet-ports.js"
import type {KvStore} from "../ports/ports.js"
import type {
  StoreSnapshotRequest,
  LeaderRecord,
  StoreSnapshot
} from "../types/box-messages.js"
import type {BackendRecord} from "../types/fleet.js"
import type {RoutedSettings} from "../types/routed-settings.js"
import {createRandom, uniformFloat64} from "../utils/random.js"
import {clockNow, clockSuspendedMs} from "./clock.js"
import {BoxHub} from "./box-hub.js"
import {BoxStrength} from "./box-strength.js"
import {CrashStore} from "./crash-store.js"
import {EngineDriver, orderPool} from "./engine-driver.js"
import {LeaderElection} from "./leader-election.js"
import {LeaderSession} from "./leader-session.js"
import {LeaderWay} from "./leader-way.js"
import type {Log} from "./log.js"
import {startLoop} from "./loop.js"
import type {Metrics} from "./metrics.js"
import {NewsHelp} from "./news-help.js"
import {NewsSource} from "./news-source.js"
import type {RunningProcess} from "./process.js"
import {measureBox, measureNote} from "./routed-metrics.js"
import {RoutedRelay} from "./routed-relay.js"
import {countStoreCalls} from "./store-counter.js"
import {UsageStore} from "./usage-store.js"
import type {StoreEras} from "./era-source.js"
import {SettledEra} from "./settled-era.js"
import {probeServer} from "./server-probe.js"
import {limitCallers, listenAt, serveText} from "./routed-server.js"

/** A turn of the clock that comes later by so much means that the process stood still, milliseconds. */
const PAUSED_MS = 1_200
/** Off the lease of the leader: clock rates, and an order's way. */
const LEASE_MARGIN_MS = 200
/** After a stop was asked for, new requests are still taken for this long. */
const STOP_LISTEN_MS = 2_600

/** A leader that stops waits so long at most for what it leaves to the next one, milliseconds. */
const CLOSE_USAGE_MS = 150

/** How often a box that stops looks whether it is done, milliseconds. */
const STOP_TURN_MS = 50

export interface RoutedContext {
  readonly settings: RoutedSettings
  readonly kv: KvStore
  /** As the answers of the key-value service tell it. */
  readonly eras: StoreEras
  readonly dialect: Dialect
  readonly records: FleetRecords
  readonly log: Log
  readonly metrics: Metrics
}

/** Starts a routed box. */
export async function startRoutedBox(context: RoutedContext): Promise<RunningProcess> {
  const calls = countStoreCalls(context)
  const box = new RoutedBox({...context, kv: calls.kv})
  await box.listen()
  return {stop: () => void box.stop(), ended: box.ended.finally(calls.stop)}
}

class RoutedBox {
  readonly ended: Promise<void>
  private readonly incarnation_ = randomUUID()
  private readonly loop_
  private readonly relay_: RoutedRelay
  private readonly news_: NewsSource
  private readonly settled_: SettledEra
  private readonly driver_: EngineDriver
  private readonly election_: LeaderElection
  private readonly leadershipOptions_: LeadershipOptions
  private readonly self_: LeaderRecord
  private readonly session_: LeaderSession
  private readonly leaderWay_: LeaderWay
  private readonly help_: NewsHelp
  private readonly usageStore_: UsageStore
  private readonly crashStore_: CrashStore
  private hub_: BoxHub | undefined
  private callers_: Server | undefined
  private readonly servers_: Server[] = []
  private readonly startedAt_ = clockNow()
  private readonly strength_: BoxStrength
  /** When the processes of half of the boxes had started. */
  private medianStartAt_ = clockNow()
  /** The servers for which pools were kept last. */
  private pooledFor_: unknown
  /** What the clock had counted for suspensions at the last look. */
  private suspendedMs_ = clockSuspendedMs()
  private lastTickAt_ = clockNow()
  private stopping_ = false
  private random_ = createRandom(Date.now() & 0x7fffffff)
  private finish_: () => void = () => undefined
  private readonly stopped_ = new Promise<void>(resolve => (this.finish_ = resolve))

  constructor(private readonly context_: RoutedContext) {
    const {settings, kv, eras, dialect, records, log} = context_
    const {share = 0, cores = 0} = settings.processor ?? {}
    this.strength_ = new BoxStrength(share * cores)
    this.self_ = {
      box: settings.box,
      incarnation: this.incarnation_,
      address: settings.boxes
    }
    this.help_ = new NewsHelp(settings.boxes)
    const draw = (): number => {
      const [value, next] = uniformFloat64(this.random_)
      this.random_ = next
      return value
    }
    const leadershipOptions: LeadershipOptions = {
      ttlMs: settings.store.leaseTtlMs,
      marginMs: LEASE_MARGIN_MS,
      checksFences: settings.orders.checksFences,
      orderGapMs: settings.orders.leaseMs
    }
    this.leadershipOptions_ = leadershipOptions
    const serving = createBoxServing({
      dataCentre: settings.dataCentre,
      retry: {
        ratio: settings.retry.ratio,
        slack: settings.retry.slack,
        windowMs: settings.retry.windowS * 1000
      },
      handoverMs: handoverMs(leadershipOptions),
      takenAwayMs: settings.keys?.takenAwayMs,
      usage: settings.usage && {
        windowMs: settings.usage.windowS * 1000,
        overage: settings.usage.overage,
        slack: settings.usage.slack
      },
      random: draw
    })
    const initial: RoutedState = {serving, fleet: undefined}
    this.loop_ = startLoop<RoutedState, RoutedEvent, RoutedEffect>({
      initial,
      step: (state, event, now) => stepRouted(state, event, now, clockSuspendedMs()),
      perform: effect => this.perform(effect),
      makeTick: () => ({type: "tick", mayOrder: this.tick()}),
      tickMs: nextTickMs,
      now: clockNow
    })
    this.ended = Promise.race([this.stopped_, this.loop_.ended])
    const {post} = this.loop_
    this.relay_ = new RoutedRelay({
      dialect,
      post,
      serving: () => serving,
      random: draw,
      log,
      closing: () => this.stopping_
    })
    this.settled_ = new SettledEra({
      kv,
      key: `${settings.store.prefix}settled-era`,
      eras,
      post,
      log
    })
    this.news_ = new NewsSource({
      kv,
      records,
      post,
      log,
      learned: message => {
        if (message.t === "config") this.applyLimits()
        this.hub_?.tellLearned(message)
      },
      startedAt: clockNow(),
      askLeader: () => this.session_.send({t: "ask-config"}),
      askAll: () => {
        const configVersion = this.news_.config?.version ?? -1
        this.session_.send({t: "ask-all", configVersion})
      },
      renewed: () => this.hub_?.tellReading(clockNow()),
      askBoxes: ask => this.askBoxes(ask),
      eras,
      settled: this.settled_
    })
    this.session_ = new LeaderSession({
      self: this.self_,
      capacity: this.strength_.capacity,
      strongest: capacity => (this.strength_.top = capacity),
      startedAt: this.startedAt_,
      kv,
      news: this.news_,
      help: this.help_,
      eras,
      post,
      boxes: () => serving.boxCount,
      closed: () => this.stopping_,
      configured: () => this.applyLimits(),
      lost: () => {
        if (!this.leading) this.expectTakeover()
      },
      hearing: () => this.noteStandstill(clockNow()),
      pinged: medianAgeMs => (this.medianStartAt_ = clockNow() - medianAgeMs),
      log
    })
    this.leaderWay_ = new LeaderWay({
      box: this.incarnation_,
      post,
      send: message => this.session_.send(message),
      hub: () => this.hub_,
      leading: () => this.leading,
      mayGive: () => this.mayGive,
      boxes: () => serving.boxCount
    })
    this.usageStore_ = new UsageStore({
      kv,
      key: `${settings.store.prefix}usage`,
      post,
      leading: () => this.leading,
      fence: () => (this.mayGive ? this.election_.leadership.fence : undefined),
      eras,
      log
    })
    this.crashStore_ = new CrashStore({
      kv,
      key: `${settings.store.prefix}crashes`,
      leads: () => this.mayGive,
      list: () => serving.crashes.toMessages(clockNow()),
      learned: records =>
        post({type: "crashes", changes: {records, cleared: []}, source: "store"}),
      log
    })
    this.driver_ = new EngineDriver({
      dialect,
      pools: this.relay_.pools,
      post,
      find: id => serving.backends.known.get(id)?.record,
      holder: settings.box,
      fence: () => this.fence(),
      log
    })
    this.election_ = new LeaderElection(
      kv,
      {
        key: `${settings.store.prefix}leader`,
        self: this.self_,
        eras,
        ...leadershipOptions
      },
      {
        won: fence => this.lead(fence),
        lost: reason => this.leadOver(reason),
        doubted: () => log("lead-unconfirmed", {era: eras.era ?? -1}),
        confirmed: fence => {
          log("lead-confirmed", {fence, era: eras.era ?? -1})
          this.crashStore_.begin()
        },
        found: leader => this.session_.follow(leader),
        boxes: () => serving.boxCount,
        medianAgeMs: now => now - this.medianStartAt_,
        isWeak: () => this.strength_.isWeak,
        renewElsewhere: lease => this.renewElsewhere(lease),
        helped: helped => log(helped ? "lease-helped" : "lease-own")
      }
    )
    eras.listen((known, rose) => {
      post({type: "era", known, restored: rose})
      if (!rose) return
      this.election_.doubt()
      this.crashStore_.begin()
    })
  }

  async listen(): Promise<void> {
    const {settings, log, metrics} = this.context_
    this.callers_ = await listenAt(settings.callers, (req, res) => {
      this.relay_.take(req, res).catch((cause: Error) => {
        log("crashed", {reason: cause.stack ?? String(cause)})
        res.destroy()
      })
    })
    this.servers_.push(this.callers_)
    this.servers_.push(
      await serveText(settings.ready, "/ready", () => {
        const ready = !this.stopping_ && this.news_.config !== undefined
        return {status: ready ? 200 : 503, text: ready ? "ready\n" : "not ready\n"}
      })
    )
    measureBox(metrics, {
      state: this.loop_.state,
      news: this.news_,
      era: () => this.context_.eras.era,
      openRequests: () => this.relay_.open
    })
    if (settings.metrics !== undefined) {
      this.servers_.push(
        await serveText(settings.metrics, "/metrics", () => ({
          status: 200,
          text: metrics.render()
        }))
      )
    }
    await new Promise<void>((resolve, reject) => {
      const options = {
        address: settings.boxes,
        state: this.loop_.state,
        post: this.loop_.post,
        news: this.news_,
        capacity: this.strength_.capacity,
        leadership: this.election_.leadership,
        eras: this.context_.eras,
        settled: this.settled_,
        leader: () => (this.leading ? this.self_ : this.session_.leader),
        met: (addresses: readonly string[]) => this.help_.learn(addresses),
        log
      }
      this.hub_ = new BoxHub(options, resolve, reject)
    })
    log("started", {callers: settings.callers, boxes: settings.boxes})
  }

  /** Ends in order: not ready at once, the lead handed over, what is in progress ended. */
  async stop(): Promise<void> {
    if (this.stopping_) return
    this.stopping_ = true
    const {log, settings} = this.context_
    const deadline = clockNow() + settings.graceS * 900
    log("stopping", {open: this.relay_.open})
    this.loop_.post({type: "stop"})
    const listenUntil = clockNow() + Math.min(STOP_LISTEN_MS, settings.graceS * 500)
    // It leads on for as long as it takes requests: the next one waits before it orders anyway, and
    // where boxes are restarted in turn each wait that comes later is one in which loads go on.
    while (this.leading && clockNow() < listenUntil) {
      await new Promise(resolve => setTimeout(resolve, STOP_TURN_MS))
    }
    this.loop_.post({type: "usage-close"})
    await this.usageStore_.settle(CLOSE_USAGE_MS)
    await this.election_.stop()
    while (clockNow() < deadline) {
      const idle = this.relay_.open === 0 && clockNow() >= listenUntil
      if (clockNow() >= listenUntil) this.closeIdle()
      if (idle) break
      await new Promise(resolve => setTimeout(resolve, STOP_TURN_MS))
    }
    this.news_.stopFollowing()
    this.session_.close()
    this.hub_?.close()
    log("stopped", {open: this.relay_.open})
    this.finish_()
  }

  private closeIdle(): void {
    this.callers_?.close()
    this.callers_?.closeIdleConnections()
  }

  /** Once a turn of the clock; whether orders may be given. */
  private tick(): boolean {
    const now = clockNow()
    this.noteStandstill(now)
    this.lastTickAt_ = now
    this.election_.check()
    const leading = this.election_.leadership.fence !== undefined
    this.session_.tick(now, leading)
    this.election_.settle(this.session_.linked)
    this.news_.choose(leading, now)
    this.dropPools()
    if (leading) {
      this.settled_.settleIfDue(now)
      this.hub_?.pingIfDue(now)
      this.medianStartAt_ = this.hub_?.medianStartAt ?? this.medianStartAt_
      this.strength_.top = this.hub_?.topCapacity ?? 0
      if (this.strength_.leadsTooLong(now)) this.election_.resign()
    }
    return canOrder(this.election_.leadership, now)
  }

  /** Looked at before anything that came meanwhile is believed. */
  private noteStandstill(now: number): void {
    const suspendedMs = clockSuspendedMs()
    if (suspendedMs > this.suspendedMs_) {
      this.context_.log("suspended", {
        suspendedMs: Math.round(suspendedMs - this.suspendedMs_)
      })
      this.suspendedMs_ = suspendedMs
      // The ages of its messages are told by a clock that has stepped against the leader's.
      this.session_.close()
      this.election_.doubtLease()
    }
    const gap = now - this.lastTickAt_
    if (gap < PROCESS_PAUSE_MS) return
    if (gap > PAUSED_MS) this.context_.log("paused", {gapMs: Math.round(gap)})
    this.lastTickAt_ = now
    this.news_.resume(now)
  }

  /** Connections to servers that are gone are closed once their requests have ended. */
  private dropPools(): void {
    const {known} = this.loop_.state().serving.backends
    if (known === this.pooledFor_) return
    this.pooledFor_ = known
    const ids = [...known.keys()]
    this.relay_.pools.keep(new Set([...ids, ...ids.map(orderPool)]))
  }

  private fence(): number | undefined {
    const {leadership} = this.election_
    return canOrder(leadership, clockNow()) ? leadership.fence : undefined
  }

  private lead(fence: number): void {
    const {orderFrom} = this.election_.leadership
    const waitMs = Math.round(orderFrom - clockNow())
    this.context_.log("leading", {fence, waitMs})
    this.strength_.beginLead(clockNow())
    this.session_.close()
    this.loop_.post({type: "lead"})
    this.loop_.post({type: "orders", hasLeader: true, inMs: Math.max(0, waitMs)})
    this.loop_.post({type: "leader-new"})
    this.crashStore_.begin()
    this.applyLimits()
  }

  private leadOver(reason: string): void {
    this.context_.log("lead-over", {reason})
    this.hub_?.cutAll()
    this.loop_.post({type: "lead-over"})
    this.expectTakeover()
  }

  private async renewElsewhere(lease: string): Promise<boolean> {
    if (!this.hub_) throw new KvUnavailable("no box follows yet")
    return this.hub_.renewLease(lease)
  }

  /** Has another box read the store, and learns from it who leads. */
  private async askBoxes(ask: StoreSnapshotRequest): Promise<StoreSnapshot | undefined> {
    const news = await this.help_.ask(ask)
    if (news?.leader && news.leader.incarnation !== this.incarnation_ && !this.leading) {
      this.session_.follow(news.leader)
    }
    return news
  }

  /** The leader is lost: the next one takes a while to order loads. */
  private expectTakeover(): void {
    const inMs = takeoverMs(this.leadershipOptions_)
    this.loop_.post({type: "orders", hasLeader: false, inMs})
  }

  private perform(effect: RoutedEffect): void {
    switch (effect.type) {
      case "note":
        measureNote(this.context_.metrics, effect.event, effect.fields)
        return this.context_.log(effect.event, effect.fields)
      case "read-usage":
        return void this.usageStore_.read()
      case "save-usage":
        return void this.usageStore_.save(effect.save, effect.outlooks)
      case "crashes":
        this.crashStore_.saveSoon()
        return void this.leaderWay_.perform(effect)
      case "probe":
        return void this.probe(effect.backend)
      case "order":
      case "ask":
        return this.driver_.perform(effect)
      default:
        if (!this.leaderWay_.perform(effect)) this.relay_.perform(effect as BoxEffect)
    }
  }

  private async probe({id, address}: BackendRecord): Promise<void> {
    const up = await probeServer(address)
    this.loop_.post({type: "probed", backend: id, up})
  }

  private get leading(): boolean {
    return this.loop_.state().fleet !== undefined
  }

  /** Whether this box leads for sure: what it gives of limits is in the next leader's count. */
  private get mayGive(): boolean {
    const {leadership} = this.election_
    return this.leading && isLeader(leadership, clockNow()) && leadership.confirmed
  }

  /** Applies the callers' limits of the configuration. */
  private applyLimits(): void {
    const {config} = this.news_
    if (config && this.callers_) limitCallers(this.callers_, config.limits)
  }
}
