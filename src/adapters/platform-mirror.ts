/** Mirrors the watched part of the key-value service, with one watch per process. */
import type {KvChange, KvEntry, KvStore} from "../ports/ports.js"
import type {ProcessRecord, ShareRecord} from "../core/ownership.js"
import {backoffMs} from "../utils/backoff.js"
import type {Log} from "./log.js"

/** Keys, relative to the deployment's prefix. All watched keys start with `watched`. */
export const KEYS = {
  watched: "w/",
  head: "w/head",
  shares: "w/shares/",
  keepers: "w/keepers/",
  entries: "w/entries/",
  configLog: "config/log/",
  snapshot: "config/snapshot",
  snapshotParts: "config/parts/",
  register: "once/"
} as const

const FIRST_RETRY_MS = 250
const LONGEST_RETRY_MS = 4_000

/** The mirrored records. */
export interface PlatformView {
  readonly generation: number
  readonly shares: ReadonlyMap<string, ShareRecord>
  readonly keepers: ReadonlyMap<string, ProcessRecord>
  readonly entries: ReadonlyMap<string, ProcessRecord>
}

export class PlatformMirror {
  private readonly rows_ = new Map<string, KvEntry>()
  private revision_ = 0
  private isScheduled_ = false
  private readonly abort_ = new AbortController()
  private isFailing_ = false

  constructor(
    private readonly kv_: KvStore,
    private readonly prefix_: string,
    private readonly log_: Log,
    private readonly onView_: (view: PlatformView) => void
  ) {}

  /** Watches the key-value service until `stop`. */
  async run(): Promise<void> {
    let listed = false
    let failures = 0
    while (!this.abort_.signal.aborted) {
      try {
        if (!listed) await this.list()
        listed = true
        await this.watch()
        failures = 0
        this.recordRecovery()
      } catch (cause) {
        failures++
        this.recordFailure(cause as Error)
        // Changes missed by a broken watch may be compacted, which requires a full list.
        listed = false
        const pauseMs = backoffMs(failures, FIRST_RETRY_MS, LONGEST_RETRY_MS)
        await new Promise(done => setTimeout(done, pauseMs))
      }
    }
  }

  stop(): void {
    this.abort_.abort()
  }

  /** Reads all watched keys at once, independent of the watch. */
  async list(): Promise<void> {
    const watched = this.prefix_ + KEYS.watched
    const {entries, revision} = await this.kv_.list(watched)
    const present = new Set(entries.map(entry => entry.key))
    for (const [key, row] of this.rows_) {
      if (!present.has(key) && row.revision <= revision) this.rows_.delete(key)
    }
    for (const entry of entries) this.storeRow(entry)
    this.revision_ = Math.max(this.revision_, revision)
    this.publishView()
    this.recordRecovery()
  }

  private async watch(): Promise<void> {
    await this.kv_.watch(
      this.prefix_ + KEYS.watched,
      {revision: this.revision_},
      change => this.applyChange(change),
      this.abort_.signal
    )
  }

  private applyChange(change: KvChange): void {
    if (change.value === undefined) {
      const previous = this.rows_.get(change.key)
      if (previous && previous.revision <= change.revision) this.rows_.delete(change.key)
    } else {
      this.storeRow({key: change.key, value: change.value, revision: change.revision})
    }
    this.revision_ = Math.max(this.revision_, change.revision)
    this.schedulePublish()
  }

  private storeRow(entry: KvEntry): void {
    const previous = this.rows_.get(entry.key)
    if (!previous || entry.revision >= previous.revision) this.rows_.set(entry.key, entry)
  }

  /** Publishes one view for all changes of the same turn. */
  private schedulePublish(): void {
    if (this.isScheduled_) return
    this.isScheduled_ = true
    setImmediate(() => {
      this.isScheduled_ = false
      this.publishView()
    })
  }

  private publishView(): void {
    this.onView_({
      generation: Number(this.rows_.get(this.prefix_ + KEYS.head)?.value ?? 0),
      shares: this.parse(KEYS.shares, (value, revision) => ({
        ...(JSON.parse(value) as {owner: string; fence: number}),
        revision
      })),
      keepers: this.parse(KEYS.keepers, value => JSON.parse(value) as ProcessRecord),
      entries: this.parse(KEYS.entries, value => JSON.parse(value) as ProcessRecord)
    })
  }

  private parse<T>(
    group: string,
    read: (value: string, revision: number) => T
  ): ReadonlyMap<string, T> {
    const prefix = this.prefix_ + group
    const records = new Map<string, T>()
    for (const {key, value, revision} of this.rows_.values()) {
      if (key.startsWith(prefix))
        records.set(key.slice(prefix.length), read(value, revision))
    }
    return records
  }

  private recordFailure(cause: Error): void {
    if (!this.isFailing_) this.log_("kv-trouble", {reason: cause.message})
    this.isFailing_ = true
  }

  private recordRecovery(): void {
    if (this.isFailing_) this.log_("kv-back")
    this.isFailing_ = false
  }
}
