/** The entry process: connects callers with keepers and backend servers. */
import {randomInt} from "node:crypto"
import type {IncomingMessage, Server, ServerResponse} from "node:http"
import {Agent} from "undici"
import {createEntry, stepEntry} from "../core/entry.js"
import type {
  EntryEffect,
  EntryEvent,
  EntryOptions,
  EntryState
} from "../core/entry-state.js"
import {SedgeError} from "../errors.js"
import type {KeeperMessage} from "../types/messages.js"
import {splitAddress} from "../utils/address.js"
import {pause} from "../utils/promises.js"
import {clockNow} from "./clock.js"
import {connectBoxList, pollBoxList} from "./box-list.js"
import {cancelAttempt} from "./cancel.js"
import {authenticate, isCallerPath, parseRequest} from "./caller-requests.js"
import {createCallerServer} from "./caller-server.js"
import {ConfigSync} from "./config-sync.js"
import {Exchanges} from "./exchanges.js"
import {type Loop, startLoop} from "./loop.js"
import {OpenAnswers} from "./open-answers.js"
import {startOpsServer} from "./ops-server.js"
import {PeerClient} from "./peer-links.js"
import {createLinkOptions} from "./peer-setup.js"
import {KEYS, PlatformMirror} from "./platform-mirror.js"
import type {ProcessContext, RunningProcess} from "./process.js"
import {registerKey} from "./registration.js"
import {UNREAD_PATIENCE_MS} from "./unread-answers.js"

const TICK_MS = 50

/** How often a stopping entry checks whether its answers have been sent. */
const SEND_CHECK_MS = 50

const SEED_LIMIT = 0x7fff_ffff

/** Starts an entry; resolves when it listens. */
export async function startEntry(context: ProcessContext): Promise<RunningProcess> {
  const entry = new EntryProcess(context)
  await entry.listen()
  return entry
}

class EntryProcess implements RunningProcess {
  readonly ended: Promise<void>
  private readonly settings_
  private readonly loop_: Loop<EntryState, EntryEvent>
  private readonly sync_: ConfigSync
  private readonly mirror_: PlatformMirror
  private readonly peers_: PeerClient
  private readonly cancelAgent_ = new Agent({connections: 8, keepAliveTimeout: 4_000})
  private readonly exchanges_: Exchanges
  private readonly server_: Server
  private readonly answers_ = new OpenAnswers(() => this.context_.log("answer-unsent"))
  private readonly registration_ = new AbortController()
  private isStopping_ = false
  private isDraining_ = false
  private isEnding_ = false
  private nextRequest_ = 1
  private finish_: () => void = () => undefined

  constructor(private readonly context_: ProcessContext) {
    const {settings, incarnation, kv, log} = context_
    if (!settings.entry)
      throw new SedgeError(
        "bad-request",
        "settings.entry is missing: no entry settings for this box"
      )
    this.settings_ = settings.entry
    const options: EntryOptions = {
      self: incarnation,
      dataCentre: settings.dataCentre,
      timing: settings.timing,
      registerShards: settings.registerShards,
      maxInProgress: this.settings_.maxInProgress,
      patienceMs: this.settings_.patienceMs
    }
    this.loop_ = startLoop<EntryState, EntryEvent, EntryEffect>({
      initial: createEntry(randomInt(SEED_LIMIT)),
      step: (state, event, now) => stepEntry(state, event, now, options),
      perform: effect => this.perform(effect),
      makeTick: () => ({type: "tick"}),
      tickMs: () => TICK_MS,
      now: clockNow
    })
    const finished = new Promise<void>(resolve => (this.finish_ = resolve))
    this.ended = Promise.race([finished, this.loop_.ended])
    const {prefix} = settings.kv
    this.sync_ = new ConfigSync(kv, prefix, log, config =>
      this.loop_.post({type: "config", config})
    )
    this.peers_ = new PeerClient(
      createLinkOptions(context_, this.sync_, {
        up: ({incarnation: keeper}) => this.loop_.post({type: "link-up", keeper}),
        down: keeper => this.loop_.post({type: "link-down", keeper}),
        message: (from, message) =>
          this.loop_.post({type: "message", from, message: message as KeeperMessage}),
        send: (to, message) => this.peers_.send(to, message)
      })
    )
    this.mirror_ = new PlatformMirror(kv, prefix, log, view => {
      this.sync_.catchUpTo(view.generation)
      this.linkKeepers([...view.keepers.values()].map(keeper => keeper.address))
      this.loop_.post({type: "shares", shares: view.shares})
    })
    this.exchanges_ = new Exchanges({
      incarnation,
      metrics: context_.metrics,
      log,
      streamIdleMs: this.settings_.streamIdleMs,
      config: () => this.sync_.config,
      post: event => this.loop_.post(event)
    })
    this.server_ = createCallerServer({
      ...this.settings_,
      check: req => this.checkRequest(req),
      handle: (req, res, body) => this.handleRequest(req, res, body)
    })
    this.answers_.watch(this.server_)
  }

  async listen(): Promise<void> {
    const {settings, incarnation, metrics, kv, log} = this.context_
    const {host, port} = splitAddress(this.settings_.listen)
    await startOpsServer({
      ...splitAddress(this.settings_.ops),
      incarnation,
      metrics,
      isReady: () => this.isReady(),
      describe: () => this.describe()
    })
    this.sync_.start()
    void this.sync_.read().catch(() => undefined)
    this.linkKeepers([])
    void this.mirror_.run()
    const record = {address: "", ops: this.settings_.ops, dataCentre: settings.dataCentre}
    const key = settings.kv.prefix + KEYS.entries + incarnation
    void registerKey(kv, key, JSON.stringify(record), this.registration_.signal)
    const list = connectBoxList(settings.platform.boxList)
    pollBoxList(list, settings.platform.pollMs, log, leaving =>
      this.loop_.post({type: "box-list", leaving})
    )
    metrics.gauge(
      "sedge_requests_in_progress",
      {},
      () => this.loop_.state().requests.size
    )
    await new Promise<void>((resolve, reject) => {
      this.server_.once("error", reject)
      this.server_.listen(port, host, resolve)
    })
    log("started", {listen: this.settings_.listen})
  }

  /** Reports "not ready" to the balancer, then stops accepting requests, then ends. */
  stop = (): void => {
    if (this.isDraining_) return
    this.isDraining_ = true
    this.context_.log("stopping")
    setTimeout(() => {
      this.isStopping_ = true
      this.answers_.closeIdle(this.server_)
      this.loop_.post({type: "stop"})
    }, this.settings_.drainMs)
  }

  private isReady(): boolean {
    return this.server_.listening && !this.isDraining_ && this.sync_.config.generation > 0
  }

  // Callers

  private checkRequest(req: IncomingMessage): void {
    const path = (req.url ?? "").split("?")[0] ?? ""
    if (!isCallerPath(path)) throw new SedgeError("not-found", path)
    authenticate(req, this.sync_.config)
  }

  private handleRequest(req: IncomingMessage, res: ServerResponse, body: Buffer): void {
    const id = `${this.context_.incarnation}-${this.nextRequest_++}`
    const caller = authenticate(req, this.sync_.config)
    const parsed = parseRequest(req, body, caller, id, this.sync_.config)
    if (this.isDraining_) res.setHeader("connection", "close")
    this.exchanges_.open(id, {...parsed, method: req.method ?? "POST"}, res)
    this.loop_.post({type: "arrive", arrival: parsed.arrival})
  }

  // Effects

  private perform(effect: EntryEffect): void {
    switch (effect.type) {
      case "send":
        return this.peers_.send(effect.to, effect.message)
      case "dispatch":
        return this.exchanges_.dispatch(effect)
      case "resume":
        return this.exchanges_.resume(effect)
      case "break-off":
        return this.exchanges_.breakOff(effect.request, effect.code)
      case "cancel":
        return void this.cancel(effect.attempt, effect.address)
      case "abort":
        return this.exchanges_.abort(effect.request, effect.timedOut)
      case "answer":
        return this.exchanges_.answer(effect)
      case "reset-links":
        return this.peers_.reset()
      case "note":
        this.context_.metrics.count("sedge_entry_events_total", {event: effect.event})
        return this.context_.log(effect.event, effect.fields)
      case "stopped":
        return void this.end()
    }
  }

  private async cancel(attempt: string, address: string): Promise<void> {
    const confirmed = await cancelAttempt(this.cancelAgent_, address, attempt)
    this.loop_.post({type: "cancelled", attempt, confirmed})
  }

  // Peers and shutdown

  /** Links to the listed keepers, or to those in the settings if the list is empty. */
  private linkKeepers(listed: readonly string[]): void {
    this.peers_.setAddresses(
      new Set(listed.length > 0 ? listed : this.context_.settings.peers)
    )
  }

  private describe(): object {
    const {
      links,
      requests,
      heldGrants: held,
      pendingCancels: endings,
      fences
    } = this.loop_.state()
    return {
      generation: this.sync_.config.generation,
      links: [...links].map(([keeper, link]) => ({
        keeper,
        owned: [...link.owned.keys()]
      })),
      requests: requests.size,
      endings: endings.size,
      held: [...held.keys()],
      fences: Object.fromEntries(fences)
    }
  }

  /** Waits until answers are sent, or callers have read nothing of them for too long. */
  private async waitForCallers(): Promise<void> {
    let readBytes = -1
    let readAt = clockNow()
    while (this.answers_.count > 0 && clockNow() - readAt < UNREAD_PATIENCE_MS) {
      const {acceptedBytes} = this.answers_
      const inProgress = this.loop_.state().requests.size > 0
      if (inProgress || acceptedBytes !== readBytes) readAt = clockNow()
      readBytes = acceptedBytes
      await pause(SEND_CHECK_MS)
    }
  }

  private async end(): Promise<void> {
    if (this.isEnding_ || !this.isStopping_) return
    this.isEnding_ = true
    await this.waitForCallers()
    const {kv, settings, incarnation, log} = this.context_
    log("stopped")
    this.registration_.abort()
    // No request is in progress, so keepers need not wait for this entry to time out.
    await kv
      .remove(settings.kv.prefix + KEYS.entries + incarnation)
      .catch(() => undefined)
    this.mirror_.stop()
    this.sync_.stop()
    this.peers_.close()
    this.exchanges_.close()
    this.server_.closeAllConnections()
    this.finish_()
  }
}
