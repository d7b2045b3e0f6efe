/**
 * Where a box learns of configuration and backend servers: from its leader while that reads the
 * store, else by reading it itself, else from other boxes that can. Every read is paid for, so that
 * few boxes read the store and pass on what they learn; `news-age.ts` says how old news may be.
 */
import type {StoreRead} from "../core/backend-list.js"
import {
  peerReadPauseMs,
  createSnapshotAge,
  hasFreshLeaderRead,
  isNewerSnapshot,
  LIST_INTERVAL_MS,
  snapshotAgeMs,
  recordLeaderRead,
  recordRead,
  REFRESH_AGE_MS,
  type StoreTrouble
} from "../core/snapshot-age.js"
import {KvUnavailable} from "../errors.js"
import type {FleetConfig} from "../types/fleet.js"
import type {KvChange} from "../ports/ports.js"
import type {
  StoreSnapshotRequest,
  FromLeader,
  StoreSnapshot
} from "../types/box-messages.js"
import {clockNow} from "./clock.js"
import {EntryReader} from "./entry-reader.js"
import {type LeaderBackends, toBackendEvents, ToldBackends} from "./leader-backends.js"
import {OperatorNews, type OperatorNewsOptions} from "./operator-news.js"
import type {StoreEras} from "./era-source.js"
import type {SettledEra} from "./settled-era.js"
import {listForOthers, type Listing, StoreFollower} from "./store-follower.js"
import type {StorePosition} from "../types/store-position.js"

/** A box that starts gives itself so long to find a leader that tells it the news, milliseconds. */
const START_MS = 600

export interface NewsOptions extends OperatorNewsOptions {
  /** The news of this box is newer than before, by its own reading or another box's. */
  readonly renewed: () => void
  /** When the process started, by the clock of `choose`. */
  readonly startedAt: number
  /** Asks the leader for all it knows. */
  readonly askAll: () => void
  /** Asks other boxes to read the store; undefined: none of them could. */
  readonly askBoxes: (ask: StoreSnapshotRequest) => Promise<StoreSnapshot | undefined>
  readonly eras: StoreEras
  readonly settled: SettledEra
}

export class NewsSource {
  private follower_: StoreFollower | undefined
  /** Whether it watches, and does not only list. */
  private watches_ = false
  private age_ = createSnapshotAge()
  /** Where the store stood at the last list of each prefix. */
  private readonly listedTo_ = new Map<string, StorePosition>()
  /** When the newest list of each prefix was asked for. */
  private readonly listedAt_ = new Map<string, number>()
  /** When the store was read for the configuration that this box has, or before. */
  private configReadAt_ = -Infinity
  private trouble_: StoreTrouble = "none"
  private askAt_ = -Infinity
  /** Asks in turn that brought no news. */
  private failedAsks_ = 0
  private heardLeader_ = false
  /** What it hears may have waited while the process stood still: it reads for itself first. */
  private rereads_ = false
  private reading_: Promise<void> | undefined
  private readonly told_ = new ToldBackends()
  private readonly operator_: OperatorNews
  private readonly reader_: EntryReader

  constructor(private readonly options_: NewsOptions) {
    this.reader_ = new EntryReader(options_.records, options_.log)
    this.operator_ = new OperatorNews(options_, this.reader_)
  }

  /** Keys whose entries cannot be read, as this box last read them. */
  get unreadable(): number {
    return this.reader_.unreadable
  }

  get config(): FleetConfig | undefined {
    return this.operator_.config
  }

  /** Since the store was read for what this box knows, milliseconds; Infinity: it never was. */
  ageMs(now: number): number {
    return snapshotAgeMs(this.age_, now)
  }

  /** The same of what it read itself or had read: what a leader may vouch for. */
  ownAgeMs(now: number): number {
    if (this.options_.settled.isDoubted(now)) return Infinity
    return now - this.age_.readAt
  }

  /** The same for the configuration that this box has, by whomever read it. */
  configAgeMs(now: number): number {
    return this.options_.settled.isDoubted(now) ? Infinity : now - this.configReadAt_
  }

  /** The leader's news rests on a reading that is so old, and its configuration on one as old as that. */
  heardLeader(ageMs: number, configAgeMs: number, now: number): void {
    this.heardLeader_ = true
    if (this.rereads_) return
    // A configuration that was named and not read yet is newer than what this box has.
    if (!this.operator_.isBehind) this.noteConfigRead(now - configAgeMs)
    this.age_ = recordLeaderRead(this.age_, now - ageMs)
    this.options_.post({type: "news", at: now - ageMs, read: true})
  }

  /** The process stood still: where its news has grown old, neither old asks nor old answers count. */
  resume(now: number): void {
    const ageMs = this.ageMs(now)
    if (ageMs === Infinity || ageMs < REFRESH_AGE_MS) return
    this.rereads_ = true
    this.follower_?.stop()
    this.follower_ = undefined
  }

  /** Reads the store if nobody else can tell the news; `leading` boxes always do. */
  choose(leading: boolean, now: number): void {
    if (leading) this.startFollowing(true, now)
    else if (!this.rereads_ && hasFreshLeaderRead(this.age_, now)) this.trustLeader()
    else if (!this.seeksLeader(now)) this.startFollowing(false, now)
    if (this.follower_?.isFailing(now)) this.seekHelp(now)
  }

  /** It has just started: a leader that it finds makes reading needless. */
  private seeksLeader(now: number): boolean {
    return !this.heardLeader_ && now - this.options_.startedAt < START_MS
  }

  stopFollowing(): void {
    if (!this.follower_) return
    this.follower_.stop()
    this.follower_ = undefined
    this.options_.log("news-from-leader")
  }

  private trustLeader(): void {
    if (!this.follower_) return
    this.stopFollowing()
    // The leader reads the store, whatever this box had of it.
    if (this.trouble_ === "store") this.options_.post({type: "store-served"})
    // The leader tells differences to what it told before, of which this box may have undone some.
    if (this.told_.strayed || this.trouble_ !== "none") this.options_.askAll()
    this.trouble_ = "none"
  }

  /** A leader watches, since all boxes hear of the world through it; any other box lists. */
  private startFollowing(leading: boolean, now: number): void {
    if (this.follower_ && leading === this.watches_) return
    this.follower_?.stop()
    this.watches_ = leading
    const {kv, records, log} = this.options_
    log("news-from-store", {
      leading,
      ageMs: Math.round(this.ageMs(now)),
      leaderAgeMs: Math.round(now - this.age_.leaderReadAt)
    })
    this.listedAt_.clear()
    this.follower_ = new StoreFollower(
      kv,
      [records.operatorPrefix, records.backendPrefix],
      leading,
      {
        list: (prefix, listing) => this.takeListing(prefix, listing),
        change: (prefix, change) => this.takeChange(prefix, change),
        trouble: (prefix, reason) => this.noteFailure(prefix, reason),
        cut: (prefix, reason) => log("kv-watch-cut", {prefix, reason})
      }
    )
  }

  private takeListing(prefix: string, listing: Listing): void {
    const {records, post, log, settled} = this.options_
    if (!settled.isChecked) return this.takeOnceChecked(prefix, listing)
    const {entries, askedAt} = listing
    this.noteListing(prefix, listing)
    if (askedAt < (this.listedAt_.get(prefix) ?? -Infinity)) return
    if (prefix === records.backendPrefix) {
      const listed = this.reader_.readBackends(entries)
      this.told_.compare(listed.records)
      post({type: "backends", ...listed, reading: {source: "store", readAt: askedAt}})
      // Read for another box. The leader tells differences alone: what it took away here is not told again.
      if (!this.follower_ && this.told_.strayed) this.options_.askAll()
    } else {
      this.operator_.takeEntries(entries)
      this.noteConfigRead(askedAt)
    }
    this.listedAt_.set(prefix, askedAt)
    if (this.listedAt_.size < 2) return
    const readAt = Math.min(...this.listedAt_.values())
    if (readAt <= this.age_.readAt) return
    this.failedAsks_ = 0
    if (this.trouble_ !== "none") log("kv-back")
    if (this.trouble_ === "store") post({type: "store-back"})
    this.trouble_ = "none"
    this.noteRead(readAt)
  }

  private takeOnceChecked(prefix: string, listing: Listing): void {
    void this.options_.settled.check().then(checked => {
      if (checked) this.takeListing(prefix, listing)
    })
  }

  /** Tells of the first list in a new era how far the store went back. */
  private noteListing(prefix: string, {entries, revision, era}: Listing): void {
    const last = this.listedTo_.get(prefix)
    this.listedTo_.set(prefix, {revision, era})
    if (!last || last.era === era) return
    const fields = {prefix, era: era ?? -1, keys: entries.length}
    this.options_.log("era-read", {...fields, revision, before: last.revision})
  }

  private noteConfigRead(at: number): void {
    if (at <= this.configReadAt_) return
    this.configReadAt_ = at
    this.options_.post({type: "config-read", at})
  }

  /** The store was read at that time, by this box or by one that it asked. */
  private noteRead(at: number): void {
    this.age_ = recordRead(this.age_, at)
    this.rereads_ = false
    this.options_.post({type: "news", at, read: true})
    this.options_.renewed()
  }

  private noteFailure(prefix: string, reason: string): void {
    if (this.trouble_ !== "none") return
    this.options_.log("kv-trouble", {prefix, reason})
    this.trouble_ = "own"
    this.noteOutage(clockNow())
  }

  /** Nobody has read the store for longer than news may be old: it may be away for all. */
  private noteOutage(now: number): void {
    if (this.trouble_ === "store" || this.ageMs(now) < REFRESH_AGE_MS) return
    this.trouble_ = "store"
    this.options_.post({type: "store-trouble"})
  }

  /** Has other boxes read the store, where this one cannot. */
  private seekHelp(now: number): void {
    this.noteOutage(now)
    if (this.trouble_ === "store") this.sendOn(now)
    if (now < this.askAt_ || this.ownAgeMs(now) < LIST_INTERVAL_MS) return
    this.askAt_ = now + peerReadPauseMs(this.failedAsks_)
    this.failedAsks_++
    void this.takeHelp(now)
  }

  /** Nothing newer is to be had: requests do not wait for it. */
  private sendOn(now: number): void {
    this.rereads_ = false
    this.options_.post({type: "news", at: now, read: false})
  }

  private async takeHelp(askedAt: number): Promise<void> {
    const {askBoxes, eras, post, log} = this.options_
    const news = await askBoxes({
      t: "ask-news",
      configVersion: this.operator_.configVersion,
      ageMs: this.ageMs(askedAt)
    })
    if (!this.follower_ || !news) return
    this.failedAsks_ = 0
    if (news.storeEra) eras.hear(news.storeEra)
    const {ageMs, records, config, versions} = news
    const at = askedAt - ageMs
    if (at <= this.age_.readAt) return
    log("news-from-box", {ageMs: Math.round(clockNow() - at)})
    if (this.trouble_ === "store") {
      post({type: "store-served"})
      this.trouble_ = "own"
    }
    this.told_.compare(records)
    post({type: "backends", records, reading: {source: "box", readAt: at}})
    if (config) this.operator_.takeConfig(config, "box")
    this.noteConfigRead(askedAt - (news.configAgeMs ?? Infinity))
    this.operator_.takeVersions(versions)
    this.noteRead(at)
  }

  /**
   * Has news that is newer than an asker's; reads the store for it if need be. Rejects where it
   * cannot: a box whose own calls fail does not add to them for others, who are in the same outage.
   */
  async refresh(askerAgeMs: number): Promise<void> {
    const now = clockNow()
    if (this.options_.settled.isDoubted(now))
      throw new KvUnavailable("it may read a copy")
    if (isNewerSnapshot(this.ageMs(now), askerAgeMs)) return
    if (this.follower_?.isFailing(now)) throw new KvUnavailable("its own calls fail")
    this.reading_ ??= this.readOnce().finally(() => (this.reading_ = undefined))
    await this.reading_
  }

  private async readOnce(): Promise<void> {
    const {kv, records} = this.options_
    const prefixes = [records.operatorPrefix, records.backendPrefix]
    const listings = await listForOthers(kv, prefixes)
    listings.forEach((listing, i) => this.takeListing(prefixes[i] ?? "", listing))
  }

  private takeChange(prefix: string, {key, value, revision, era}: KvChange): void {
    if (!this.options_.settled.isChecked) return
    const entry = value === undefined ? undefined : {key, value, revision, era}
    if (prefix !== this.options_.records.backendPrefix) {
      if (entry) this.operator_.takeEntries([entry])
      return
    }
    this.told_.stray()
    const record = entry && (this.reader_.readBackend(entry) ?? "unreadable")
    const reading: StoreRead = {source: "store", readAt: clockNow()}
    this.options_.post({type: "backend", id: this.reader_.serverOf(key), record, reading})
  }

  /** Takes news of the leader; true when the message was such. */
  takeNews(message: FromLeader): boolean {
    switch (message.t) {
      case "config":
        this.operator_.takeConfig(message.config, "leader")
        return true
      case "config-named":
        void this.operator_.readNamed(message.version)
        return true
      case "versions":
        this.operator_.takeVersions(message.versions)
        return true
      case "backends":
        this.takeLeaderBackends(message)
        return true
      default:
        return false
    }
  }

  private takeLeaderBackends(message: LeaderBackends): void {
    if (this.rereads_) return this.told_.stray()
    this.told_.take(message)
    const now = clockNow()
    for (const event of toBackendEvents(message, now)) this.options_.post(event)
  }
}
