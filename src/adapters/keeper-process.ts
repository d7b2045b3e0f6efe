/** The keeper process, with its links to entries, engines and the key-value service. */
import {stepKeeper, createKeeper} from "../core/keeper.js"
import type {
  KeeperEffect,
  KeeperEvent,
  KeeperOptions,
  KeeperState
} from "../core/keeper-state.js"
import type {ShareChange} from "../core/ownership.js"
import {findRecord} from "../core/configuration.js"
import {holdsLease} from "../core/ownership.js"
import {KvUnknown, SedgeError} from "../errors.js"
import {BUILT_IN_POLICY, findPolicy} from "../plugins/policies.js"
import type {EntryMessage} from "../types/messages.js"
import {splitAddress} from "../utils/address.js"
import {clockNow} from "./clock.js"
import {connectBoxList, pollBoxList} from "./box-list.js"
import {ConfigSync} from "./config-sync.js"
import {EngineOrders} from "./engine-orders.js"
import {type Loop, startLoop} from "./loop.js"
import {startOpsServer} from "./ops-server.js"
import {PeerServer} from "./peer-links.js"
import {describeLinks} from "./peer-setup.js"
import {KEYS, PlatformMirror} from "./platform-mirror.js"
import {probeEntry} from "./probe.js"
import type {ProcessContext, RunningProcess} from "./process.js"
import {RegisterLog, RegisterSealed} from "./register-log.js"
import {LeasedKey} from "./registration.js"

const TICK_MS = 50
const REGISTER_RETRY_MS = 300

/** Starts a keeper; resolves when it listens. */
export async function startKeeper(context: ProcessContext): Promise<RunningProcess> {
  const keeper = new KeeperProcess(context)
  await keeper.listen()
  return keeper
}

class KeeperProcess implements RunningProcess {
  readonly ended: Promise<void>
  private readonly settings_
  private readonly options_: KeeperOptions
  private readonly loop_: Loop<KeeperState, KeeperEvent>
  private readonly sync_: ConfigSync
  private readonly mirror_: PlatformMirror
  private readonly lease_: LeasedKey
  private readonly orders_: EngineOrders
  private readonly logs_ = new Map<string, RegisterLog>()
  private server_: PeerServer | undefined
  private finish_: () => void = () => undefined
  private isEnding_ = false

  constructor(private readonly context_: ProcessContext) {
    const {settings, incarnation, kv, log} = context_
    if (!settings.keeper)
      throw new SedgeError(
        "bad-request",
        "settings.keeper is missing: no keeper settings for this box"
      )
    this.settings_ = settings.keeper
    const {timing, registerShards, platform} = settings
    this.options_ = {
      self: incarnation,
      timing,
      registerShards,
      loadsPerSecond: platform.loadsPerSecond,
      loadsAtOnce: platform.loadsAtOnce,
      findPolicy,
      builtInPolicy: BUILT_IN_POLICY
    }
    this.loop_ = startLoop<KeeperState, KeeperEvent, KeeperEffect>({
      initial: createKeeper(this.options_),
      step: (state, event, now) => stepKeeper(state, event, now, this.options_),
      perform: effect => this.perform(effect),
      makeTick: () => ({type: "tick", epochMs: Date.now()}),
      tickMs: () => TICK_MS,
      now: clockNow
    })
    const finished = new Promise<void>(resolve => (this.finish_ = resolve))
    this.ended = Promise.race([finished, this.loop_.ended])
    const {prefix} = settings.kv
    this.sync_ = new ConfigSync(kv, prefix, log, config =>
      this.loop_.post({type: "config", config})
    )
    this.mirror_ = new PlatformMirror(kv, prefix, log, view => {
      this.sync_.want(view.generation)
      this.loop_.post({type: "shares", ...view})
    })
    const record = JSON.stringify({
      address: this.settings_.advertise ?? this.settings_.listen,
      ops: this.settings_.ops,
      dataCentre: settings.dataCentre
    })
    this.lease_ = new LeasedKey(kv, prefix + KEYS.keepers + incarnation, record, timing, {
      renewed: sentAt => this.loop_.post({type: "lease-renewed", sentAt}),
      lost: () => {
        log("lease-lost")
        this.loop_.post({type: "lease-lost"})
      }
    })
    this.orders_ = new EngineOrders({
      orderTimeoutMs: this.settings_.orderTimeoutMs,
      loadTimeoutMs: timing.loadTimeoutMs,
      mayEvict: () => holdsLease(this.loop_.state().ownership, clockNow()),
      onGuarded: () => log("order-guarded")
    })
  }

  async listen(): Promise<void> {
    const {settings, incarnation, metrics, log} = this.context_
    const {host, port} = splitAddress(this.settings_.listen)
    await new Promise<void>(resolve => {
      this.server_ = new PeerServer(host, port, this.describeLinks(), resolve)
    })
    await startOpsServer({
      ...splitAddress(this.settings_.ops),
      incarnation,
      metrics,
      isReady: () => this.sync_.config.generation > 0,
      describe: () => this.describe()
    })
    this.sync_.start()
    void this.sync_.read().catch(() => undefined)
    void this.mirror_.run()
    void this.lease_.run()
    const list = connectBoxList(settings.platform.boxList)
    pollBoxList(list, settings.platform.pollMs, log, leaving =>
      this.loop_.post({type: "box-list", leaving})
    )
    log("started", {listen: this.settings_.listen})
  }

  private describeLinks() {
    return describeLinks(this.context_, this.sync_, {
      up: hello => this.loop_.post({type: "link-up", hello}),
      down: entry => this.loop_.post({type: "link-down", entry}),
      message: (from, message) =>
        this.loop_.post({type: "message", from, message: message as EntryMessage}),
      send: (to, message) => this.server_?.send(to, message)
    })
  }

  stop = (): void => {
    this.context_.log("stopping")
    this.loop_.post({type: "stop"})
  }

  private describe(): object {
    const {ownership, cells, links} = this.loop_.state()
    return {
      generation: this.sync_.config.generation,
      owned: Object.fromEntries(ownership.owned),
      holdsLease: holdsLease(ownership, clockNow()),
      links: [...links],
      cells: [...cells.values()].map(cell => ({
        id: cell.id,
        fence: cell.fence,
        policy: findPolicy(this.sync_.config).name,
        policyFaults: cell.policyFaults,
        waiting: cell.waiting.size,
        running: cell.running.size,
        awaited: [...cell.awaitedInventories],
        engines: [...cell.engines].map(([id, engine]) => ({
          id,
          listed: engine.listed,
          leaving: engine.leaving,
          foreign: engine.foreign,
          prefixes: engine.prefixes.size,
          models: Object.fromEntries(
            [...engine.adapters].map(([model, adapter]) => [model, adapter.phase])
          )
        }))
      }))
    }
  }

  // Effects

  private perform(effect: KeeperEffect): void {
    switch (effect.type) {
      case "send":
        return this.server_?.send(effect.to, effect.message)
      case "order":
        return void this.sendOrder(effect)
      case "probe":
        return void this.probe(effect.entry)
      case "note":
        this.context_.metrics.count("sedge_cell_events_total", {event: effect.event})
        return this.context_.log(effect.event, effect.fields)
      case "change-share":
        return void this.changeShare(effect.change)
      case "open-register":
        return void this.openRegister(effect.shard, effect.fence)
      case "write-register":
        return void this.writeRegister(effect)
      case "forget-entry":
        return void this.forgetEntry(effect.entry)
      case "took-share":
      case "lost-share":
        return this.context_.log(effect.type, {share: effect.share, fence: effect.fence})
      case "stopped":
        return void this.end()
    }
  }

  private async sendOrder(effect: Extract<KeeperEffect, {type: "order"}>): Promise<void> {
    const {cell, engine, fence, order} = effect
    const sentAt = clockNow()
    const server = findRecord(this.sync_.config, "backend", engine)?.value
    const result = server
      ? await this.orders_.give({address: server.address, fence}, order)
      : ({ok: false, reason: "refused"} as const)
    this.loop_.post({type: "order-result", cell, engine, fence, order, sentAt, result})
  }

  private async probe(entry: string): Promise<void> {
    const record = this.loop_.state().entries.get(entry)
    const verdict = await probeEntry(record?.ops, entry)
    this.loop_.post({type: "probed", entry, verdict})
  }

  private async forgetEntry(entry: string): Promise<void> {
    const key = this.context_.settings.kv.prefix + KEYS.entries + entry
    await this.context_.kv.remove(key).catch(() => undefined)
  }

  private async changeShare(change: ShareChange): Promise<void> {
    const {share, owner, fence, expectRevision} = change
    const key = this.context_.settings.kv.prefix + KEYS.shares + share
    const value = JSON.stringify({owner, fence})
    try {
      const result = await this.context_.kv.put(key, value, {expectRevision})
      if (!result.ok) this.context_.log("claim-conflict", {share})
      this.loop_.post({
        type: "share-changed",
        change,
        result: result.ok
          ? {result: "done", revision: result.revision}
          : {result: "conflict"}
      })
    } catch (cause) {
      const result = cause instanceof KvUnknown ? "unknown" : "conflict"
      this.loop_.post({type: "share-changed", change, result: {result}})
    }
    // The watch may lag, so the present owners are read at once.
    await this.mirror_.list().catch(() => undefined)
  }

  private async openRegister(shard: string, fence: number): Promise<void> {
    const {kv, settings, log} = this.context_
    const retentionMs = settings.timing.keyRetentionMs
    const register = new RegisterLog(kv, settings.kv.prefix, shard, fence, retentionMs)
    this.logs_.set(shard, register)
    while (this.logs_.get(shard) === register) {
      try {
        const lines = await register.open()
        return this.loop_.post({type: "register-opened", shard, fence, lines})
      } catch (cause) {
        if (cause instanceof RegisterSealed) return log("register-stale", {shard})
        await new Promise(done => setTimeout(done, REGISTER_RETRY_MS))
      }
    }
  }

  private async writeRegister(
    effect: Extract<KeeperEffect, {type: "write-register"}>
  ): Promise<void> {
    const {shard, fence, lines} = effect
    const register = this.logs_.get(shard)
    // The shard was lost and claimed again in the meantime. The lines have the old fence.
    if (!register || register.fence !== fence) return
    try {
      await register.append(lines)
      this.loop_.post({type: "register-written", shard, fence, result: "done"})
    } catch (cause) {
      const stale = cause instanceof RegisterSealed
      if (stale) this.context_.log("register-stale", {shard})
      this.loop_.post({
        type: "register-written",
        shard,
        fence,
        result: stale ? "stale" : "unwritten"
      })
    }
  }

  private async end(): Promise<void> {
    if (this.isEnding_) return
    this.isEnding_ = true
    this.context_.log("stopped")
    this.mirror_.stop()
    this.sync_.stop()
    await this.lease_.stop().catch(() => undefined)
    this.server_?.close()
    this.finish_()
  }
}
