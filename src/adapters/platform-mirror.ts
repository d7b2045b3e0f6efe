/** A mirror of the watched part of the key-value service: one watch a process, on one prefix. */
import type {KvChange, KvEntry, KvStore} from "../ports/ports.js"
import type {ProcessRecord, ShareRecord} from "../core/ownership.js"
import {backoffMs} from "../utils/backoff.js"
import type {Log} from "./log.js"

/** The keys, below the deployment's prefix. What is watched has one prefix of its own. */
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

/** What the mirror shows. */
export interface PlatformView {
  readonly generation: number
  readonly shares: ReadonlyMap<string, ShareRecord>
  readonly keepers: ReadonlyMap<string, ProcessRecord>
  readonly entries: ReadonlyMap<string, ProcessRecord>
}

export class PlatformMirror {
  private readonly rows_ = new Map<string, KvEntry>()
  private revision_ = 0
  private scheduled_ = false
  private readonly abort_ = new AbortController()
  private troubled_ = false

  constructor(
    private readonly kv_: KvStore,
    private readonly prefix_: string,
    private readonly log_: Log,
    private readonly show_: (view: PlatformView) => void
  ) {}

  /** Follows the service until `stop`. */
  async run(): Promise<void> {
    let listed = false
    let failures = 0
    while (!this.abort_.signal.aborted) {
      try {
        if (!listed) await this.list()
        listed = true
        await this.follow()
        failures = 0
        this.settle()
      } catch (cause) {
        failures++
        this.trouble(cause as Error)
        // A broken watch may have missed what was compacted since.
        listed = false
        const pauseMs = backoffMs(failures, FIRST_RETRY_MS, LONGEST_RETRY_MS)
        await new Promise(done => setTimeout(done, pauseMs))
      }
    }
  }

  stop(): void {
    this.abort_.abort()
  }

  /** A fresh read, besides the watch. */
  async list(): Promise<void> {
    const watched = this.prefix_ + KEYS.watched
    const {entries, revision} = await this.kv_.list(watched)
    const present = new Set(entries.map(entry => entry.key))
    for (const [key, row] of this.rows_) {
      if (!present.has(key) && row.revision <= revision) this.rows_.delete(key)
    }
    for (const entry of entries) this.keep(entry)
    this.revision_ = Math.max(this.revision_, revision)
    this.showNow()
    this.settle()
  }

  private async follow(): Promise<void> {
    await this.kv_.watch(
      this.prefix_ + KEYS.watched,
      {revision: this.revision_},
      change => this.take(change),
      this.abort_.signal
    )
  }

  private take(change: KvChange): void {
    if (change.value === undefined) {
      const known = this.rows_.get(change.key)
      if (known && known.revision <= change.revision) this.rows_.delete(change.key)
    } else {
      this.keep({key: change.key, value: change.value, revision: change.revision})
    }
    this.revision_ = Math.max(this.revision_, change.revision)
    this.showSoon()
  }

  private keep(entry: KvEntry): void {
    const known = this.rows_.get(entry.key)
    if (!known || entry.revision >= known.revision) this.rows_.set(entry.key, entry)
  }

  /** Shows once for the changes that came together. */
  private showSoon(): void {
    if (this.scheduled_) return
    this.scheduled_ = true
    setImmediate(() => {
      this.scheduled_ = false
      this.showNow()
    })
  }

  private showNow(): void {
    this.show_({
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
    const found = new Map<string, T>()
    for (const {key, value, revision} of this.rows_.values()) {
      if (key.startsWith(prefix))
        found.set(key.slice(prefix.length), read(value, revision))
    }
    return found
  }

  private trouble(cause: Error): void {
    if (!this.troubled_) this.log_("kv-trouble", {reason: cause.message})
    this.troubled_ = true
  }

  private settle(): void {
    if (this.troubled_) this.log_("kv-back")
    this.troubled_ = false
  }
}
