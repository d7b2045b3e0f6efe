/**
 * A routed box: one process that serves callers and, while it is the leader, places
 * weights on engines. This file only connects the parts: it posts events to the core and
 * performs the effects that the core returns.
 */
import {randomUUID} from "node:crypto"
import type {Server, ServerResponse} from "node:http"
import {
  handoverMs,
  type LeadershipOptions,
  isLeader,
  canOrder,
  takeoverMs
} from "../core/leadership.js"
import {isCutFromEngines, listUnreachedEngines} from "../core/box-paths.js"
import {type BoxEffect, createBoxServing} from "../core/box-state.js"
import {nextTickMs, stepRouted} from "../core/serving.js"
import {computeStopTimes} from "../core/stop-times.js"
import type {RoutedState} from "../core/serving-fleet.js"
import type {RoutedEffect, RoutedEvent} from "../core/serving-events.js"
import {PROCESS_PAUSE_MS} from "../core/snapshot-age.js"
import {DEFAULT_USAGE} from "../core/usage-limits.js"
import {KvUnavailable} from "../errors.js"
import type {Dialect, FleetRecords} from "../ports/fleet-ports.js"
import type {KvPutOptions, KvPutResult, KvStore} from "../ports/ports.js"
import type {
  StoreSnapshotRequest,
  LeaderRecord,
  StoreSnapshot
} from "../types/box-messages.js"
import type {BackendRecord} from "../types/fleet.js"
import type {RoutedSettings} from "../types/routed-settings.js"
import {pause, pauseAndRead} from "../utils/promises.js"
import {createRandom, uniformFloat64} from "../utils/random.js"
import {clockNow, clockSuspendedMs} from "./clock.js"
import {Carrier} from "./carrier.js"
import {askServerState, type ServerState} from "./peer-probe.js"
import {BoxHub, type BoxHubOptions} from "./box-hub.js"
import {BoxOverload} from "./box-overload.js"
import {BoxStrength} from "./box-strength.js"
import {type CrashStore, createCrashStore} from "./crash-store.js"
import {EngineDriver, orderPool} from "./engine-driver.js"
import {LeaderElection} from "./leader-election.js"
import {LeaderSession} from "./leader-session.js"
import {LeaderChannel} from "./leader-channel.js"
import type {Log} from "./log.js"
import {startLoop} from "./loop.js"
import type {Metrics} from "./metrics.js"
import {OpenAnswers} from "./open-answers.js"
import {PeerSnapshots} from "./peer-snapshots.js"
import {SnapshotSource} from "./snapshot-source.js"
import type {RunningProcess} from "./process.js"
import {
  registerGauges,
  registerLoadGauges,
  registerSurplusGauges,
  recordLogEvent
} from "./routed-metrics.js"
import {RoutedRelay} from "./routed-relay.js"
import {StreamPeers} from "./stream-peers.js"
import {countStoreCalls} from "./store-counter.js"
import {VersionStore} from "./version-store.js"
import {SurplusAnswers} from "./surplus-answers.js"
import {boxBoundBytes, UnreadAnswers} from "./unread-answers.js"
import {UsageMarks} from "./usage-marks.js"
import {UsageStore} from "./usage-store.js"
import type {StoreEras} from "./era-source.js"
import {SettledEra} from "./settled-era.js"
import {probeServer} from "./server-probe.js"
import {applyCallerLimits, listenAt, serveText} from "./routed-server.js"

/** A tick that is later than this is logged as a process pause. */
const LOGGED_PAUSE_MS = 1_200
/**
 * Subtracted from the leader's lease for clock drift and for the transit time of an
 * order.
 */
const LEASE_MARGIN_MS = 200

/**
 * How long a stopping leader waits at most for the usage it saves for the next leader.
 */
const MAX_USAGE_SAVE_MS = 150

/** Interval at which a leader that reaches few engines asks whether others do. */
const RESIGN_CHECK_INTERVAL_MS = 500

/** Boxes asked whether a server is up; some may be cut off from it, too. */
const PEERS_PER_QUESTION = 5

/** How often a stopping box checks whether its requests have ended. */
const STOP_CHECK_MS = 50

/** How often a box that exits checks whether its last answers have been sent. */
const EXIT_CHECK_MS = 5

export interface RoutedContext {
  readonly settings: RoutedSettings
  readonly kv: KvStore
  /** The era that the answers of the key-value service carry. */
  readonly eras: StoreEras
  readonly dialect: Dialect
  readonly records: FleetRecords
  readonly log: Log
  readonly metrics: Metrics
}

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
  private readonly carrier_: Carrier
  private readonly unread_: UnreadAnswers
  private readonly surplus_: SurplusAnswers
  private readonly overload_: BoxOverload
  private readonly streamPeers_: StreamPeers
  private readonly snapshotSource_: SnapshotSource
  private readonly settledEra_: SettledEra
  private readonly driver_: EngineDriver
  private readonly election_: LeaderElection
  private readonly leadershipOptions_: LeadershipOptions
  private readonly self_: LeaderRecord
  private readonly session_: LeaderSession
  private readonly leaderChannel_: LeaderChannel
  private readonly peerSnapshots_: PeerSnapshots
  private readonly usageMarks_: UsageMarks
  private readonly usageStore_: UsageStore
  private readonly crashStore_: CrashStore
  private readonly versionStore_: VersionStore
  private hub_: BoxHub | undefined
  private callers_: Server | undefined
  private readonly callerAnswers_ = new OpenAnswers(res => this.logUnsent(res))
  /** Answers to other boxes. */
  private readonly peerAnswers_ = new OpenAnswers(res => this.logUnsent(res))
  private readonly servers_: Server[] = []
  private readonly startedAt_ = clockNow()
  private readonly strength_: BoxStrength
  /** When the processes of half of the boxes had started. */
  private medianStartAt_ = clockNow()
  /** The list of backend servers for which pools were last kept. */
  private pooledFor_: unknown
  /** Total time of suspensions of the machine at the last check. */
  private suspendedMs_ = clockSuspendedMs()
  private lastTickAt_ = clockNow()
  /** Time between the last two ticks. */
  private tickGapMs_ = 0
  private resignCheckAt_ = -Infinity
  private stopping_ = false
  private random_ = createRandom(Date.now() & 0x7fffffff)
  private resolveStopped_: () => void = () => undefined
  private readonly stopped_ = new Promise<void>(
    resolve => (this.resolveStopped_ = resolve)
  )

  constructor(private readonly context_: RoutedContext) {
    const {settings, kv, eras, dialect, records, log} = context_
    const {share = 0, cores = 0} = settings.processor ?? {}
    this.strength_ = new BoxStrength(share * cores)
    this.self_ = {
      box: settings.box,
      incarnation: this.incarnation_,
      address: settings.boxes
    }
    this.peerSnapshots_ = new PeerSnapshots(settings.boxes, addresses => {
      this.loop_.post({type: "peers", addresses})
      this.streamPeers_.addAddresses(addresses)
    })
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
    const usage = settings.usage && {
      windowMs: settings.usage.windowS * 1000,
      overage: settings.usage.overage,
      slack: settings.usage.slack
    }
    const serving = createBoxServing({
      incarnation: this.incarnation_,
      dataCentre: settings.dataCentre,
      retry: {
        ratio: settings.retry.ratio,
        slack: settings.retry.slack,
        windowMs: settings.retry.windowS * 1000
      },
      handoverMs: handoverMs(leadershipOptions),
      takenAwayMs: settings.keys?.takenAwayMs,
      usage,
      graceMs: settings.graceS * 1000,
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
    const {post, postFirst} = this.loop_
    const {limits} = settings
    this.unread_ = new UnreadAnswers({boundBytes: boxBoundBytes(limits?.memoryMb), log})
    this.overload_ = new BoxOverload({limits, log})
    const surplus = new SurplusAnswers(log)
    this.surplus_ = surplus
    this.relay_ = new RoutedRelay({
      box: settings.box,
      dialect,
      post,
      postFirst,
      serving: () => serving,
      random: draw,
      log,
      isStopping: () => this.stopping_,
      unread: this.unread_,
      surplus
    })
    this.streamPeers_ = new StreamPeers({
      ownAddress: settings.boxes,
      post,
      serving: () => serving,
      readServers: () => this.snapshotSource_.readNow(),
      log
    })
    this.carrier_ = new Carrier({
      dialect,
      pools: this.relay_.pools,
      post,
      serving: () => serving,
      isStopping: () => this.stopping_,
      log,
      unread: this.unread_,
      surplus
    })
    this.settledEra_ = new SettledEra({
      kv,
      key: `${settings.store.prefix}settled-era`,
      eras,
      post,
      log
    })
    this.snapshotSource_ = new SnapshotSource({
      kv,
      records,
      post,
      log,
      onUpdate: message => {
        if (message.t === "config") this.applyLimits()
        this.hub_?.broadcastUpdate(message)
      },
      boxCount: () => this.loop_.state().serving.boxCount,
      startedAt: clockNow(),
      requestConfig: () => this.session_.send({t: "ask-config"}),
      requestFullUpdate: () => {
        const configVersion = this.snapshotSource_.config?.version ?? -1
        this.session_.send({t: "ask-all", configVersion})
      },
      onRenewed: () => this.hub_?.sendStoreRead(clockNow()),
      fetchFromPeers: ask => this.requestSnapshot(ask),
      eras,
      settled: this.settledEra_
    })
    this.session_ = new LeaderSession({
      self: this.self_,
      capacity: this.strength_.capacity,
      writePrefix: settings.store.prefix,
      topCapacityReported: capacity => (this.strength_.topCapacity = capacity),
      startedAt: this.startedAt_,
      kv,
      snapshotSource: this.snapshotSource_,
      peerSnapshots: this.peerSnapshots_,
      eras,
      post,
      boxCount: () => serving.boxCount,
      isStopping: () => this.stopping_,
      configReceived: () => this.applyLimits(),
      leaderLost: () => {
        if (!this.isLeading) this.expectTakeover()
      },
      beforeMessage: () => this.detectPause(clockNow()),
      medianAgeReported: medianAgeMs => (this.medianStartAt_ = clockNow() - medianAgeMs),
      log
    })
    this.leaderChannel_ = new LeaderChannel({
      box: this.incarnation_,
      post,
      send: message => this.session_.send(message),
      hub: () => this.hub_,
      isLeading: () => this.isLeading,
      mayGrant: () => this.mayGrant,
      mayAllow: () => this.mayGrant && this.usageMarks_.isHeld(clockNow()),
      boxCount: () => serving.boxCount
    })
    this.usageMarks_ = new UsageMarks({
      kv,
      prefix: `${settings.store.prefix}usage-marks/`,
      usage: usage ?? DEFAULT_USAGE,
      leading: () => this.isLeading,
      renewElsewhere: lease => this.renewElsewhere(lease),
      log
    })
    this.usageStore_ = new UsageStore({
      kv,
      key: `${settings.store.prefix}usage`,
      post,
      leading: () => this.isLeading,
      fence: () => (this.mayGrant ? this.election_.leadership.fence : undefined),
      eras,
      leaseTtlMs: settings.store.leaseTtlMs,
      marks: this.usageMarks_,
      writeElsewhere: (key, value, options) => this.writeElsewhere(key, value, options),
      log
    })
    this.crashStore_ = createCrashStore({
      kv,
      key: `${settings.store.prefix}crashes`,
      leads: () => this.mayGrant,
      list: () => serving.crashes.toMessages(clockNow()),
      onRead: records =>
        post({type: "crashes", changes: {records, cleared: []}, source: "store"}),
      log
    })
    this.versionStore_ = new VersionStore({
      kv,
      key: `${settings.store.prefix}versions`,
      leads: () => this.mayGrant && serving.serviceVersions.hasList,
      checkEra: () => this.settledEra_.check(),
      current: () => serving.serviceVersions.toRecord(clockNow()),
      onRead: recorded => post({type: "versions-recorded", recorded}),
      isFirstStart: settings.firstStart === true,
      log
    })
    this.driver_ = new EngineDriver({
      dialect,
      pools: this.relay_.pools,
      post,
      find: id => serving.backends.known.get(id)?.record,
      holder: settings.box,
      fence: () => this.fence(),
      log,
      surplus
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
        won: fence => this.handleElected(fence),
        lost: reason => this.handleLeadershipEnded(reason),
        suspended: () => log("lead-unconfirmed", {era: eras.era ?? -1}),
        confirmed: fence => {
          log("lead-confirmed", {fence, era: eras.era ?? -1})
          this.crashStore_.resync()
          this.versionStore_.resync()
        },
        leaderFound: leader => {
          this.usageStore_.noteLeader()
          this.session_.followNamed(leader)
        },
        unreadable: (key, revision) =>
          log("entry-unreadable", {key, revision, reason: "is no record of a leader"}),
        noLeaderFound: (askedAt, at) => {
          if (settings.usage) this.usageStore_.noteNoLeader(askedAt, at)
        },
        boxCount: () => serving.boxCount,
        medianAgeMs: now => now - this.medianStartAt_,
        isWeak: () => this.strength_.isWeak || isCutFromEngines(serving),
        renewByOthers: lease => this.renewElsewhere(lease),
        renewedByOthers: helped => log(helped ? "lease-helped" : "lease-own")
      }
    )
    eras.onChange((known, rose) => {
      post({type: "era", known, restored: rose})
      if (!rose) return
      this.election_.suspend()
      this.crashStore_.resync()
      this.versionStore_.resync()
    })
  }

  async listen(): Promise<void> {
    const {settings, log, metrics} = this.context_
    this.callers_ = await listenAt(settings.callers, (req, res) => {
      this.relay_.handleRequest(req, res).catch((cause: Error) => {
        log("crashed", {reason: cause.stack ?? String(cause)})
        res.destroy()
      })
    })
    this.callerAnswers_.watch(this.callers_)
    this.servers_.push(this.callers_)
    this.overload_.start(this.callers_)
    this.servers_.push(
      await serveText(settings.ready, "/ready", () => {
        const ready = !this.stopping_ && !this.overload_.isOver && this.hasConfig
        return {status: ready ? 200 : 503, text: ready ? "ready\n" : "not ready\n"}
      })
    )
    registerGauges(metrics, {
      state: this.loop_.state,
      snapshotSource: this.snapshotSource_,
      era: () => this.context_.eras.era,
      openRequests: () => this.openRequests
    })
    registerLoadGauges(metrics, this.unread_, this.overload_)
    registerSurplusGauges(metrics, this.surplus_)
    if (settings.metrics !== undefined) {
      this.servers_.push(
        await serveText(settings.metrics, "/metrics", () => ({
          status: 200,
          text: metrics.render()
        }))
      )
    }
    await new Promise<void>((resolve, reject) => {
      const options: BoxHubOptions = {
        address: settings.boxes,
        state: this.loop_.state,
        post: this.loop_.post,
        snapshotSource: this.snapshotSource_,
        capacity: this.strength_.capacity,
        leadership: this.election_.leadership,
        eras: this.context_.eras,
        settled: this.settledEra_,
        leader: () => (this.isLeading ? this.self_ : this.session_.leader),
        addressesLearned: (addresses: readonly string[]) =>
          this.peerSnapshots_.addAddresses(addresses),
        request: (req, res) => {
          this.peerAnswers_.add(res)
          if (!this.streamPeers_.handle(req, res)) void this.carrier_.handle(req, res)
        },
        log
      }
      this.hub_ = new BoxHub(options, resolve, reject)
    })
    log("started", {callers: settings.callers, boxes: settings.boxes})
    void this.versionStore_.read()
  }

  /**
   * Stops gracefully: reports not ready at once, hands over the leadership, and waits
   * until the requests in progress have ended or the grace period is over.
   */
  async stop(): Promise<void> {
    if (this.stopping_) return
    this.stopping_ = true
    const {log, settings} = this.context_
    const {listenUntil, endAt, exitAt} = computeStopTimes(
      clockNow(),
      settings.graceS * 1000
    )
    log("stopping", {open: this.openRequests})
    this.loop_.post({type: "stop"})
    let hasHandedOver = false
    void this.handOver(listenUntil).then(() => (hasHandedOver = true))
    while (clockNow() < endAt) {
      const isListening = clockNow() < listenUntil
      if (!isListening) this.closeIdle()
      if (!isListening && hasHandedOver && this.openAnswers === 0) break
      await pauseAndRead(Math.min(STOP_CHECK_MS, endAt - clockNow()))
    }
    await this.answerOpenRequests(exitAt)
    this.logLeftOpen(this.callerAnswers_, false)
    this.logLeftOpen(this.peerAnswers_, true)
    log("stopped", {open: this.openAnswers})
    this.snapshotSource_.stopFollowing()
    this.session_.close()
    this.peerSnapshots_.close()
    this.hub_?.close()
    this.streamPeers_.close()
    this.overload_.stop()
    this.resolveStopped_()
  }

  /** Hands over the leadership once this box accepts no more requests. */
  private async handOver(listenUntil: number): Promise<void> {
    // Stays leader while it accepts requests, so that loads go on: the next leader has to
    // wait before its first order anyway, and in a rolling restart each handover costs
    // such a wait.
    while (this.isLeading && clockNow() < listenUntil) await pause(STOP_CHECK_MS)
    this.loop_.post({type: "usage-close"})
    await this.usageStore_.waitForSaves(MAX_USAGE_SAVE_MS)
    await this.election_.stop()
  }

  /**
   * Ends requests whose answers have not begun with an error, and waits until the system has
   * accepted these answers.
   */
  private async answerOpenRequests(until: number): Promise<void> {
    this.relay_.refuseUnread()
    this.loop_.post({type: "exit"})
    while (this.callerAnswers_.hasUnsent && clockNow() < until) {
      await pause(EXIT_CHECK_MS)
    }
  }

  private logLeftOpen(answers: OpenAnswers, carried: boolean): void {
    for (const res of answers.list()) {
      const {headersSent: begun, writableEnded: ended} = res
      this.context_.log("answer-left-open", {
        request: this.requestIdOf(res),
        begun,
        ended,
        carried
      })
    }
  }

  private logUnsent(res: ServerResponse): void {
    this.context_.log("answer-unsent", {request: this.requestIdOf(res)})
  }

  private requestIdOf({req}: ServerResponse): string {
    return this.context_.dialect.readRequest(req.headers).requestId
  }

  private closeIdle(): void {
    if (this.callers_) this.callerAnswers_.closeIdle(this.callers_)
  }

  /** Does the periodic work of a tick. Returns whether orders may be sent. */
  private tick(): boolean {
    const now = clockNow()
    this.tickGapMs_ = now - this.lastTickAt_
    this.detectPause(now)
    this.lastTickAt_ = now
    this.election_.endIfExpired()
    const leading = this.election_.leadership.fence !== undefined
    this.session_.tick(now, leading)
    this.election_.setLinked(this.session_.linked)
    if (this.session_.linked) this.usageStore_.noteLeader()
    this.snapshotSource_.selectSource(leading, now)
    this.closeUnusedPools()
    if (leading) {
      this.settledEra_.settleIfDue(now)
      this.versionStore_.saveSoon()
      this.hub_?.pingIfDue(now)
      this.medianStartAt_ = this.hub_?.medianStartAt ?? this.medianStartAt_
      this.strength_.topCapacity = this.hub_?.topCapacity ?? 0
      if (this.strength_.shouldResign(now)) {
        this.election_.resign("a stronger box is there")
      }
      this.resignIfCutOff(now)
    }
    return canOrder(this.election_.leadership, now)
  }

  /**
   * Resigns as the leader if this box reaches few engines and another box reaches an
   * engine that this one does not.
   */
  private resignIfCutOff(now: number): void {
    const {serving} = this.loop_.state()
    if (now < this.resignCheckAt_ || !isCutFromEngines(serving)) return
    this.resignCheckAt_ = now + RESIGN_CHECK_INTERVAL_MS
    const [engine] = listUnreachedEngines(serving)
    if (engine === undefined) return
    void this.askPeers(engine).then(answer => {
      if (answer !== "up" || !this.isLeading || !isCutFromEngines(serving)) return
      this.election_.resign("another box reaches the engines")
    })
  }

  /** Asks other boxes whether the server accepts connections. */
  private askPeers(server: string): Promise<ServerState> {
    const {serving} = this.loop_.state()
    const {random} = serving.options
    const peers = serving.peers.draw(PEERS_PER_QUESTION, clockNow(), random)
    return askServerState(peers, server)
  }

  /**
   * Detects a pause of the process or a suspension of the machine. Runs before messages
   * that arrived in the meantime are applied, as their ages may be wrong.
   */
  private detectPause(now: number): void {
    const suspendedMs = clockSuspendedMs()
    if (suspendedMs > this.suspendedMs_) {
      this.context_.log("suspended", {
        suspendedMs: Math.round(suspendedMs - this.suspendedMs_)
      })
      this.suspendedMs_ = suspendedMs
      // The clock has stepped relative to the leader's, so ages of its messages would be
      // wrong.
      this.session_.close()
      this.election_.recheckLease()
    }
    const gap = now - this.lastTickAt_
    if (gap < PROCESS_PAUSE_MS) return
    if (gap > LOGGED_PAUSE_MS) this.context_.log("paused", {gapMs: Math.round(gap)})
    this.lastTickAt_ = now
    this.snapshotSource_.resume(now)
  }

  /** Closes connections to removed servers once their requests have ended. */
  private closeUnusedPools(): void {
    const {known} = this.loop_.state().serving.backends
    if (known === this.pooledFor_) return
    this.pooledFor_ = known
    const ids = [...known.keys()]
    this.relay_.retainPeers(this.loop_.state().serving.peers.addresses)
    this.relay_.pools.retainOnly(new Set([...ids, ...ids.map(orderPool)]))
  }

  private fence(): number | undefined {
    const {leadership} = this.election_
    return canOrder(leadership, clockNow()) ? leadership.fence : undefined
  }

  private handleElected(fence: number): void {
    const {orderFrom} = this.election_.leadership
    const waitMs = Math.round(orderFrom - clockNow())
    this.context_.log("leading", {fence, waitMs})
    this.strength_.recordElected(clockNow())
    this.session_.close()
    this.loop_.post({type: "lead"})
    this.loop_.post({type: "orders", hasLeader: true, inMs: Math.max(0, waitMs)})
    this.loop_.post({type: "leader-new"})
    this.crashStore_.resync()
    this.versionStore_.resync()
    this.applyLimits()
  }

  private handleLeadershipEnded(reason: string): void {
    this.context_.log("lead-over", {
      reason,
      overdueMs: Math.round(clockNow() - this.election_.leadership.heldUntil),
      gapMs: Math.round(this.tickGapMs_)
    })
    this.hub_?.closeLinks()
    this.loop_.post({type: "lead-over"})
    this.expectTakeover()
  }

  private async renewElsewhere(lease: string): Promise<boolean> {
    if (!this.hub_) throw new KvUnavailable("the hub of this box is not listening yet")
    return this.hub_.renewLease(lease)
  }

  private async writeElsewhere(
    key: string,
    value: string,
    options: KvPutOptions
  ): Promise<KvPutResult> {
    if (!this.hub_) throw new KvUnavailable("the hub of this box is not listening yet")
    return this.hub_.writeElsewhere(key, value, options)
  }

  /** Requests a store snapshot from another box, and follows the leader that it names. */
  private async requestSnapshot(
    request: StoreSnapshotRequest
  ): Promise<StoreSnapshot | undefined> {
    const snapshot = await this.peerSnapshots_.fetch(request)
    if (
      snapshot?.leader &&
      snapshot.leader.incarnation !== this.incarnation_ &&
      !this.isLeading
    ) {
      this.session_.follow(snapshot.leader)
    }
    return snapshot
  }

  /**
   * Reports to the core that there is no leader, and when the next one may order loads.
   */
  private expectTakeover(): void {
    const inMs = takeoverMs(this.leadershipOptions_)
    this.loop_.post({type: "orders", hasLeader: false, inMs})
  }

  private perform(effect: RoutedEffect): void {
    switch (effect.type) {
      case "note":
        recordLogEvent(this.context_.metrics, effect.event, effect.fields)
        return this.context_.log(effect.event, effect.fields)
      case "read-usage":
        return void this.usageStore_.read()
      case "save-usage":
        return void this.usageStore_.save(effect.save, effect.outlooks, effect.claims)
      case "crashes":
        this.crashStore_.saveSoon()
        return void this.leaderChannel_.perform(effect)
      case "read-versions":
        // A leader that saw nothing for a while can't learn that from its own record.
        if (!this.isLeading) void this.versionStore_.read()
        return
      case "probe":
        return void this.probe(effect.backend)
      case "check-path":
        return void this.checkPath(effect.backend)
      case "ask-origin":
        return void this.streamPeers_.ask(effect.id, effect.stream, effect.service)
      case "tell-origins":
        return this.streamPeers_.tell(effect.origins)
      case "order":
      case "ask":
        return this.driver_.perform(effect)
      default:
        if (!this.leaderChannel_.perform(effect)) this.relay_.perform(effect as BoxEffect)
    }
  }

  /** Tests a server. If this box does not reach it, other boxes may. */
  private async probe({id, address}: BackendRecord): Promise<void> {
    const own = await probeServer(address)
    const others = own === true ? "up" : await this.askPeers(id)
    const up = others === "up" ? true : others === "refused" ? false : own
    this.loop_.post({type: "probed", backend: id, up})
  }

  private async checkPath({id, address}: BackendRecord): Promise<void> {
    const accepted = await probeServer(address)
    this.loop_.post({type: "path-checked", backend: id, accepted})
  }

  /** Requests of callers and of other boxes. */
  private get openRequests(): number {
    return this.relay_.openRequests + this.carrier_.openRequests
  }

  /** Answers to callers and to other boxes that have not been sent to their end. */
  private get openAnswers(): number {
    return this.callerAnswers_.count + this.peerAnswers_.count
  }

  private get hasConfig(): boolean {
    return this.snapshotSource_.config !== undefined
  }

  private get isLeading(): boolean {
    return this.loop_.state().fleet !== undefined
  }

  /**
   * Whether this box is the confirmed leader by its own clock, so that the next leader
   * counts the allowances it grants.
   */
  private get mayGrant(): boolean {
    const {leadership} = this.election_
    return this.isLeading && isLeader(leadership, clockNow()) && leadership.confirmed
  }

  /** Applies the callers' limits of the current configuration, if there is one. */
  private applyLimits(): void {
    const {config} = this.snapshotSource_
    if (config && this.callers_) applyCallerLimits(this.callers_, config.limits)
  }
}
