/**
 * Chooses where a box gets its store snapshot (configuration and backend servers): from
 * its leader while that reads the key-value service, else by reading the service itself,
 * else from other boxes that can. Every read is paid for, so few boxes read the service
 * and pass on what they read. `core/snapshot-age.ts` limits the age of a snapshot.
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
import {
  type LeaderBackendsMessage,
  toBackendEvents,
  toStoreRead,
  LeaderBackendList
} from "./leader-backends.js"
import {OperatorState, type OperatorStateOptions} from "./operator-state.js"
import type {StoreEras} from "./era-source.js"
import type {SettledEra} from "./settled-era.js"
import {listForPeers, type Listing, StoreFollower} from "./store-follower.js"
import {pause} from "../utils/promises.js"
import type {StorePosition} from "../types/store-position.js"

/** For how long a request waits for a list of servers that is newer than itself. */
const MAX_READ_MS = 300

/** Time for a starting box to find a leader before it reads the store itself. */
const LEADER_SEARCH_MS = 600

export interface SnapshotSourceOptions extends OperatorStateOptions {
  /** Called when a read by this box or by one that it asked renewed the snapshot. */
  readonly onRenewed: () => void
  /** When the process started, by the clock of `selectSource`. */
  readonly startedAt: number
  /** Requests a full update from the leader. */
  readonly requestFullUpdate: () => void
  /** Asks other boxes to read the store. Undefined if none could. */
  readonly fetchFromPeers: (
    request: StoreSnapshotRequest
  ) => Promise<StoreSnapshot | undefined>
  readonly eras: StoreEras
  readonly settled: SettledEra
  /** Number of boxes, as far as this one knows. */
  readonly boxCount?: () => number
}

export class SnapshotSource {
  private follower_: StoreFollower | undefined
  /** Whether the follower also watches the store between two lists. */
  private watches_ = false
  private snapshotAge_ = createSnapshotAge()
  /** Position of the last list of each prefix. */
  private readonly listedPositions_ = new Map<string, StorePosition>()
  /** When the newest list of each prefix was requested. */
  private readonly listedAt_ = new Map<string, number>()
  /** Lower bound of the time of the store read behind this box's configuration. */
  private configReadAt_ = -Infinity
  private trouble_: StoreTrouble = "none"
  private nextPeerReadAt_ = -Infinity
  /** Requests to other boxes in a row that brought no snapshot. */
  private failedPeerReads_ = 0
  private hasLeaderUpdate_ = false
  /**
   * After a process pause: received updates may have waited meanwhile, so the box reads
   * the store itself first.
   */
  private mustReread_ = false
  private pendingRead_: Promise<void> | undefined
  private readonly leaderBackends_ = new LeaderBackendList()
  private readonly operatorState_: OperatorState
  private readonly reader_: EntryReader

  constructor(private readonly options_: SnapshotSourceOptions) {
    this.reader_ = new EntryReader(options_.records, options_.log)
    this.operatorState_ = new OperatorState(options_, this.reader_)
  }

  /** Number of keys whose entries could not be parsed at the last read. */
  get unreadable(): number {
    return this.reader_.unreadable
  }

  get config(): FleetConfig | undefined {
    return this.operatorState_.config
  }

  /** Age of this box's snapshot. Infinity if there is none. */
  ageMs(now: number): number {
    return snapshotAgeMs(this.snapshotAge_, now)
  }

  /**
   * Age of the newest read by this box, or by another at its request. Infinity if that
   * may have returned restored entries.
   */
  readAgeMs(now: number): number {
    if (this.options_.settled.mayReadRestoredEntries(now)) return Infinity
    return now - this.snapshotAge_.readAt
  }

  /** Age of the configuration, whichever box read it. Infinity as for `readAgeMs`. */
  configAgeMs(now: number): number {
    return this.options_.settled.mayReadRestoredEntries(now)
      ? Infinity
      : now - this.configReadAt_
  }

  /** Handles the ages of the leader's snapshot and configuration. */
  handleLeaderAges(ageMs: number, configAgeMs: number, now: number): void {
    this.hasLeaderUpdate_ = true
    if (this.mustReread_) return
    // If a newer configuration was announced but is not read yet, the age is not that of
    // this box's configuration.
    if (!this.operatorState_.isBehind) this.recordConfigRead(now - configAgeMs)
    this.snapshotAge_ = recordLeaderRead(this.snapshotAge_, now - ageMs)
    this.options_.post({type: "news", at: now - ageMs, read: true})
  }

  /**
   * Handles the end of a process pause. If the snapshot is too old, pending requests and
   * their answers no longer count.
   */
  resume(now: number): void {
    const ageMs = this.ageMs(now)
    if (ageMs === Infinity || ageMs < REFRESH_AGE_MS) return
    this.mustReread_ = true
    this.follower_?.stop()
    this.follower_ = undefined
  }

  /** Starts or stops reading the store. A leader always reads it. */
  selectSource(leading: boolean, now: number): void {
    if (leading) this.startFollowing(true, now)
    else if (!this.mustReread_ && hasFreshLeaderRead(this.snapshotAge_, now))
      this.trustLeader()
    else if (!this.isSeekingLeader(now)) this.startFollowing(false, now)
    if (this.follower_?.isFailing(now)) this.requestPeerSnapshot(now)
  }

  /** Whether this box has just started and may still find a leader, which saves reads. */
  private isSeekingLeader(now: number): boolean {
    return !this.hasLeaderUpdate_ && now - this.options_.startedAt < LEADER_SEARCH_MS
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
    // The leader reads the store, so the store works even if this box's calls failed.
    if (this.trouble_ === "store") this.options_.post({type: "store-served"})
    // The leader sends deltas to its earlier updates, some of which this box's own reads
    // may have undone.
    if (this.leaderBackends_.hasDiverged || this.trouble_ !== "none")
      this.options_.requestFullUpdate()
    this.trouble_ = "none"
  }

  /** Only a leader also watches, since all boxes depend on its updates. */
  private startFollowing(leading: boolean, now: number): void {
    if (this.follower_ && leading === this.watches_) return
    this.follower_?.stop()
    this.watches_ = leading
    const {kv, records, log} = this.options_
    log("news-from-store", {
      leading,
      ageMs: Math.round(this.ageMs(now)),
      leaderAgeMs: Math.round(now - this.snapshotAge_.leaderReadAt)
    })
    this.listedAt_.clear()
    this.follower_ = new StoreFollower(
      kv,
      [records.operatorPrefix, records.backendPrefix],
      leading,
      {
        list: (prefix, listing) => this.applyListing(prefix, listing),
        change: (prefix, change) => this.applyChange(prefix, change),
        listFailed: (prefix, reason) => this.recordFailure(prefix, reason),
        watchFailed: (prefix, reason) => log("kv-watch-cut", {prefix, reason})
      },
      this.options_.boxCount
    )
  }

  private applyListing(prefix: string, listing: Listing): void {
    const {records, post, log, settled} = this.options_
    if (!settled.isChecked) return this.applyOnceChecked(prefix, listing)
    const {entries, askedAt} = listing
    this.recordPosition(prefix, listing)
    if (askedAt < (this.listedAt_.get(prefix) ?? -Infinity)) return
    if (prefix === records.backendPrefix) {
      const listed = this.reader_.readBackends(entries)
      this.leaderBackends_.compareWith(listed.records)
      post({type: "backends", ...listed, reading: {source: "store", readAt: askedAt}})
      // This read was for another box. The leader sends deltas only, so it would not
      // resend the servers that this list removed.
      if (!this.follower_ && this.leaderBackends_.hasDiverged)
        this.options_.requestFullUpdate()
    } else {
      this.operatorState_.applyEntries(entries)
      this.recordConfigRead(askedAt)
    }
    this.listedAt_.set(prefix, askedAt)
    if (this.listedAt_.size < 2) return
    const readAt = Math.min(...this.listedAt_.values())
    if (readAt <= this.snapshotAge_.readAt) return
    this.failedPeerReads_ = 0
    if (this.trouble_ !== "none") log("kv-back")
    if (this.trouble_ === "store") post({type: "store-back"})
    this.trouble_ = "none"
    this.recordStoreRead(readAt)
  }

  private applyOnceChecked(prefix: string, listing: Listing): void {
    void this.options_.settled.check().then(checked => {
      if (checked) this.applyListing(prefix, listing)
    })
  }

  /** Records the position of a list. Logs how far the store went back in a new era. */
  private recordPosition(prefix: string, {entries, revision, era}: Listing): void {
    const last = this.listedPositions_.get(prefix)
    this.listedPositions_.set(prefix, {revision, era})
    if (!last || last.era === era) return
    const fields = {prefix, era: era ?? -1, keys: entries.length}
    this.options_.log("era-read", {...fields, revision, before: last.revision})
  }

  private recordConfigRead(at: number): void {
    if (at <= this.configReadAt_) return
    this.configReadAt_ = at
    this.options_.post({type: "config-read", at})
  }

  /** Records a store read by this box, or by one that it asked. */
  private recordStoreRead(at: number): void {
    this.snapshotAge_ = recordRead(this.snapshotAge_, at)
    this.mustReread_ = false
    this.options_.post({type: "news", at, read: true})
    this.options_.onRenewed()
  }

  private recordFailure(prefix: string, reason: string): void {
    if (this.trouble_ !== "none") return
    this.options_.log("kv-trouble", {prefix, reason})
    this.trouble_ = "own"
    this.recordOutage(clockNow())
  }

  /** Reports an outage of the store if no box has read it for too long. */
  private recordOutage(now: number): void {
    if (this.trouble_ === "store" || this.ageMs(now) < REFRESH_AGE_MS) return
    this.trouble_ = "store"
    this.options_.post({type: "store-trouble"})
  }

  /** Asks other boxes to read the store while this one cannot. */
  private requestPeerSnapshot(now: number): void {
    this.recordOutage(now)
    if (this.trouble_ === "store") this.releaseRequests(now)
    if (now < this.nextPeerReadAt_ || this.readAgeMs(now) < LIST_INTERVAL_MS) return
    const boxCount = this.options_.boxCount?.() ?? 1
    this.nextPeerReadAt_ = now + peerReadPauseMs(this.failedPeerReads_, boxCount)
    this.failedPeerReads_++
    void this.fetchPeerSnapshot(now)
  }

  /** Lets requests continue with the stale snapshot, since no newer one can be had. */
  private releaseRequests(now: number): void {
    this.mustReread_ = false
    this.options_.post({type: "news", at: now, read: false})
  }

  private async fetchPeerSnapshot(askedAt: number): Promise<void> {
    const {fetchFromPeers: askBoxes, eras, post, log} = this.options_
    const snapshot = await askBoxes({
      t: "ask-news",
      configVersion: this.operatorState_.configVersion,
      ageMs: this.ageMs(askedAt)
    })
    if (!this.follower_ || !snapshot) return
    this.failedPeerReads_ = 0
    if (snapshot.storeEra) eras.handleReport(snapshot.storeEra)
    const {ageMs, records, unlisted = [], config, versions} = snapshot
    const at = askedAt - ageMs
    if (at <= this.snapshotAge_.readAt) return
    log("news-from-box", {ageMs: Math.round(clockNow() - at)})
    if (this.trouble_ === "store") {
      post({type: "store-served"})
      this.trouble_ = "own"
    }
    this.leaderBackends_.compareWith(records)
    const reading = toStoreRead(at, unlisted)
    post({type: "backends", records, reading})
    if (config) this.operatorState_.applyConfig(config, "box")
    this.recordConfigRead(askedAt - (snapshot.configAgeMs ?? Infinity))
    this.operatorState_.applyVersions(versions)
    this.recordStoreRead(at)
  }

  /**
   * Makes the snapshot newer than a requester's, by a store read if needed.
   * @throws KvUnavailable if this box may read restored entries, or if its own calls
   * fail: in an outage, more calls on behalf of others would only add to the load.
   */
  async refresh(requesterAgeMs: number): Promise<void> {
    const now = clockNow()
    if (this.options_.settled.mayReadRestoredEntries(now))
      throw new KvUnavailable("this box may read restored entries")
    if (isNewerSnapshot(this.ageMs(now), requesterAgeMs)) return
    if (this.follower_?.isFailing(now))
      throw new KvUnavailable("this box's own calls fail")
    this.pendingRead_ ??= this.readOnce().finally(() => (this.pendingRead_ = undefined))
    await this.pendingRead_
  }

  /** Waits for a read of the store that begins from now on, at most for `MAX_READ_MS`. */
  async readNow(): Promise<void> {
    const now = clockNow()
    await Promise.race([this.readSince(now), pause(MAX_READ_MS)])
  }

  private async readSince(at: number): Promise<void> {
    // A read that is pending began earlier.
    await this.pendingRead_?.catch(() => undefined)
    if (this.snapshotAge_.readAt >= at) return
    this.pendingRead_ ??= this.readOnce().finally(() => (this.pendingRead_ = undefined))
    await this.pendingRead_.catch((cause: Error) =>
      this.options_.log("kv-trouble", {prefix: "", reason: cause.message})
    )
  }

  private async readOnce(): Promise<void> {
    const {kv, records} = this.options_
    const prefixes = [records.operatorPrefix, records.backendPrefix]
    const listings = await listForPeers(kv, prefixes)
    listings.forEach((listing, i) => this.applyListing(prefixes[i] ?? "", listing))
  }

  private applyChange(prefix: string, {key, value, revision, era}: KvChange): void {
    if (!this.options_.settled.isChecked) return
    const entry = value === undefined ? undefined : {key, value, revision, era}
    if (prefix !== this.options_.records.backendPrefix) {
      if (entry) this.operatorState_.applyEntries([entry])
      return
    }
    this.leaderBackends_.markDiverged()
    const record = entry && (this.reader_.readBackend(entry) ?? "unreadable")
    const reading: StoreRead = {source: "store", readAt: clockNow()}
    this.options_.post({type: "backend", id: this.reader_.serverOf(key), record, reading})
  }

  /** Applies a store update of the leader. False for any other message. */
  applyLeaderMessage(message: FromLeader): boolean {
    switch (message.t) {
      case "config":
        this.operatorState_.applyConfig(message.config, "leader")
        return true
      case "config-named":
        void this.operatorState_.readAnnounced(message.version)
        return true
      case "versions":
        this.operatorState_.applyVersions(message.versions)
        return true
      case "backends":
        this.applyLeaderBackends(message)
        return true
      default:
        return false
    }
  }

  private applyLeaderBackends(message: LeaderBackendsMessage): void {
    if (this.mustReread_) return this.leaderBackends_.markDiverged()
    this.leaderBackends_.applyMessage(message)
    const now = clockNow()
    for (const event of toBackendEvents(message, now)) this.options_.post(event)
  }
}
