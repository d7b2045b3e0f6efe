/**
 * Where a box learns of configuration and backend servers: from its leader while that hears the
 * store itself, and otherwise by following the store on its own. Every read is paid for, so that
 * few boxes follow the store and pass on what they learn.
 */
import type {ServingEvent} from "../core/serving.js"
import type {FleetRecords} from "../ports/fleet-ports.js"
import type {KvStore} from "../ports/ports.js"
import type {FleetConfig} from "../types/fleet.js"
import type {FromLeader} from "../types/box-messages.js"
import type {Log} from "./log.js"
import {StoreFollower} from "./store-follower.js"

/** A leader that heard from the store longer ago is no source. */
const MAX_STORE_AGE_MS = 1_400

/** Trouble of the store that lasts longer is told at once, milliseconds. */
const TROUBLE_GRACE_MS = 150

/**
 * A leader that was silent for so many of its pings is no source. By its lease and the looks of others a new one is
 * found about 1.9 s after the last ping of the one before; where pings are 600 ms apart, following the store
 * sooner would have all boxes read all of it for nothing.
 */
const MAX_SILENT_PINGS = 3.5

/** A box that starts gives itself so long to find a leader that tells it the news, milliseconds. */
const START_MS = 600

/** A configuration that was named is read within this time, by each box at another moment. */
const READ_SCATTER_MS = 250

export interface NewsOptions {
  readonly kv: KvStore
  readonly records: FleetRecords
  readonly post: (event: ServingEvent) => void
  readonly log: Log
  /** Configuration and versions learned from the store, for a leader to pass on. */
  readonly learned: (message: FromLeader) => void
  /** Asks the leader for the configuration that it named. */
  readonly askLeader: () => void
  /** When the process started, by the clock of `choose`. */
  readonly startedAt: number
  /** Asks the leader for all it knows. */
  readonly askAll: () => void
}

export class NewsSource {
  private follower_: StoreFollower | undefined
  /** Whether it watches, and does not only list. */
  private watches_ = false
  private readonly troubled_ = new Set<string>()
  private troubledAt_ = Infinity
  private leaderHeardAt_ = -Infinity
  private pingMs_ = 0
  private leaderStoreAgeMs_ = Infinity
  private config_: FleetConfig | undefined

  constructor(private readonly options_: NewsOptions) {}

  get config(): FleetConfig | undefined {
    return this.config_
  }

  /** How long ago the store last answered this box, milliseconds; Infinity: it has trouble. */
  storeAgeMs(now: number): number {
    if (now - this.troubledAt_ > TROUBLE_GRACE_MS) return Infinity
    return this.follower_?.ageMs(now) ?? Infinity
  }

  /** The leader's ping. */
  heardLeader(storeAgeMs: number, pingMs: number, now: number): void {
    this.leaderHeardAt_ = now
    this.pingMs_ = pingMs
    this.leaderStoreAgeMs_ = storeAgeMs
  }

  /** Follows the store if nobody else can tell the news; `leading` boxes always do. */
  choose(leading: boolean, now: number): void {
    const fresh =
      now - this.leaderHeardAt_ < MAX_SILENT_PINGS * this.pingMs_ &&
      this.leaderStoreAgeMs_ < MAX_STORE_AGE_MS
    if (leading) return this.startFollowing(true)
    if (!fresh) return this.seeksLeader(now) ? undefined : this.startFollowing(false)
    if (!this.follower_) return
    this.stopFollowing()
    // The leader tells differences to what it told before, of which this box may have undone some.
    this.options_.askAll()
  }

  /** It has just started: a leader that it finds makes following needless. */
  private seeksLeader(now: number): boolean {
    return this.leaderHeardAt_ === -Infinity && now - this.options_.startedAt < START_MS
  }

  stopFollowing(): void {
    if (!this.follower_) return
    this.follower_.stop()
    this.follower_ = undefined
    this.options_.log("news-from-leader")
  }

  /** A leader watches, since all boxes hear of the world through it; any other box lists. */
  private startFollowing(leading: boolean): void {
    if (this.follower_ && leading === this.watches_) return
    this.follower_?.stop()
    this.watches_ = leading
    const {kv, records, log} = this.options_
    log("news-from-store", {
      leaderSilentMs: Math.round(performance.now() - this.leaderHeardAt_),
      leaderStoreAgeMs: this.leaderStoreAgeMs_
    })
    this.troubled_.clear()
    this.troubledAt_ = Infinity
    this.follower_ = new StoreFollower(
      kv,
      [records.operatorPrefix, records.backendPrefix],
      leading,
      {
        list: (prefix, entries) => {
          if (prefix === records.backendPrefix) {
            const all = entries.map(({key, value}) =>
              records.readBackend(key.slice(prefix.length), value)
            )
            this.options_.post({type: "backends", records: all, source: "store"})
          } else {
            for (const {key, value} of entries) this.takeOperator(key, value)
          }
        },
        change: (prefix, {key, value}) => {
          if (prefix === records.backendPrefix) {
            this.takeBackend(key.slice(prefix.length), value)
          } else if (value !== undefined) this.takeOperator(key, value)
        },
        trouble: (prefix, reason) => this.noteTrouble(prefix, reason),
        answered: prefix => this.noteAnswer(prefix)
      }
    )
  }

  /** Reads a configuration that the leader named; a box that cannot asks the leader for it. */
  private async readNamed(version: number): Promise<void> {
    const {kv, records, askLeader} = this.options_
    if (version <= (this.config_?.version ?? -1)) return
    await new Promise(resolve => setTimeout(resolve, Math.random() * READ_SCATTER_MS))
    try {
      const entry = await kv.get(records.configKey)
      if (entry) this.takeOperator(entry.key, entry.value)
    } catch (cause) {
      this.options_.log("kv-trouble", {
        prefix: records.configKey,
        reason: (cause as Error).message
      })
    }
    if (version > (this.config_?.version ?? -1)) askLeader()
  }

  private takeBackend(id: string, value: string | undefined): void {
    const record =
      value === undefined ? undefined : this.options_.records.readBackend(id, value)
    this.options_.post({type: "backend", id, record, source: "store"})
  }

  private takeOperator(key: string, value: string): void {
    const {records, post, learned, log} = this.options_
    const config = records.readConfig(key, value)
    if (config) {
      if (config.version <= (this.config_?.version ?? -1)) return
      this.config_ = config
      log("config-applied", {version: config.version, routes: config.routes.length})
      post({type: "config", config})
      return learned({t: "config", config})
    }
    const version = records.readVersion(key, value)
    if (!version) return
    post({type: "versions", versions: [version]})
    learned({t: "versions", versions: [version]})
  }

  private noteTrouble(prefix: string, reason: string): void {
    if (this.troubled_.size === 0) {
      this.options_.log("kv-trouble", {prefix, reason})
      this.options_.post({type: "store-trouble"})
      this.troubledAt_ = performance.now()
    }
    this.troubled_.add(prefix)
  }

  private noteAnswer(prefix: string): void {
    if (!this.troubled_.delete(prefix) || this.troubled_.size > 0) return
    this.troubledAt_ = Infinity
    this.options_.log("kv-back")
    this.options_.post({type: "store-back"})
  }

  /** Takes news of the leader; true when the message was such. */
  takeNews(message: FromLeader): boolean {
    const {post, log} = this.options_
    const source = "leader"
    switch (message.t) {
      case "config":
        if (message.config.version <= (this.config_?.version ?? -1)) return true
        this.config_ = message.config
        log("config-applied", {version: message.config.version, from: "leader"})
        post({type: "config", config: message.config})
        return true
      case "config-named":
        void this.readNamed(message.version)
        return true
      case "versions":
        post({type: "versions", versions: message.versions})
        return true
      case "backends":
        // A list of the leader's is whole: what it holds in doubt is among it.
        if (message.whole) post({type: "backends", records: message.records, source})
        else {
          for (const record of message.records) {
            post({type: "backend", id: record.id, record, source})
          }
          for (const id of message.gone) {
            post({type: "backend", id, record: undefined, source})
          }
        }
        return true
      default:
        return false
    }
  }
}
