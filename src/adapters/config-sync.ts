/** Synchronises the accepted configuration from the key-value service or from peers. */
import type {ConfigPage} from "../types/messages.js"
import type {ConfigChange, Configuration, SnapshotRecord} from "../types/config.js"
import type {KvStore} from "../ports/ports.js"
import {
  applyChanges,
  emptyConfiguration,
  listRecords,
  restoreSnapshot
} from "../core/configuration.js"
import {backoffMs} from "../utils/backoff.js"
import type {Log} from "./log.js"
import {KEYS} from "./platform-mirror.js"

/** Changes kept for peers; a peer further behind gets a full snapshot. */
const RECENT_CHANGES = 256
const GENERATION_DIGITS = 12
/** How often the log is read without a notification of a new generation. */
const POLL_MS = 5_000
const FIRST_RETRY_MS = 250
const LONGEST_RETRY_MS = 4_000

/** The pointer to a snapshot in the key-value service. */
export interface SnapshotPointer {
  readonly generation: number
  readonly parts: number
}

/** Returns the key of a generation's log entry, relative to the deployment's prefix. */
export function configLogKey(generation: number): string {
  return KEYS.configLog + String(generation).padStart(GENERATION_DIGITS, "0")
}

export function snapshotPartKey(generation: number, part: number): string {
  return `${KEYS.snapshotParts}${generation}/${part}`
}

export class ConfigSync {
  private config_: Configuration = emptyConfiguration()
  private recent_: readonly ConfigChange[] = []
  private targetGeneration_ = 0
  private pendingRead_: Promise<void> | undefined
  private timer_: NodeJS.Timeout | undefined

  constructor(
    private readonly kv_: KvStore,
    private readonly prefix_: string,
    private readonly log_: Log,
    private readonly onConfig_: (config: Configuration) => void
  ) {}

  get config(): Configuration {
    return this.config_
  }

  /** Recent changes, oldest first. */
  get recent(): readonly ConfigChange[] {
    return this.recent_
  }

  start(): void {
    this.timer_ = setInterval(() => void this.read().catch(() => undefined), POLL_MS)
  }

  stop(): void {
    clearInterval(this.timer_)
  }

  /** Reads the log until the given generation is in force. */
  want(generation: number): void {
    if (generation <= this.config_.generation || generation <= this.targetGeneration_)
      return
    this.targetGeneration_ = generation
    void this.readUntilTarget()
  }

  /** Reads and applies new log entries; concurrent calls share one read. */
  read(): Promise<void> {
    this.pendingRead_ ??= this.readLog().finally(() => (this.pendingRead_ = undefined))
    return this.pendingRead_
  }

  /** Applies a peer's answer, up to the first gap in its generations. */
  takePage({changes, snapshot}: ConfigPage): void {
    if (snapshot && snapshot.generation > this.config_.generation) {
      this.recent_ = []
      this.setConfig(restoreSnapshot(snapshot.records, snapshot.generation))
    }
    this.applyNewChanges(changes)
  }

  /** Returns the changes after a generation, or a full snapshot if they are not kept. */
  pageAfter(after: number): ConfigPage {
    if (after >= this.config_.generation) return {t: "config-page", changes: []}
    const changes = this.recent_.filter(change => change.generation > after)
    if (changes[0]?.generation === after + 1) return {t: "config-page", changes}
    const {generation} = this.config_
    return {
      t: "config-page",
      changes: [],
      snapshot: {generation, records: listRecords(this.config_)}
    }
  }

  private async readUntilTarget(): Promise<void> {
    for (let failures = 1; this.config_.generation < this.targetGeneration_; failures++) {
      try {
        const before = this.config_.generation
        await this.read()
        if (this.config_.generation === before) break
      } catch {
        const pauseMs = backoffMs(failures, FIRST_RETRY_MS, LONGEST_RETRY_MS)
        await new Promise(done => setTimeout(done, pauseMs))
      }
    }
    this.targetGeneration_ = 0
  }

  private async readLog(): Promise<void> {
    const changes = await this.listAfter(this.config_.generation)
    const first = changes[0]
    const hasGap = first !== undefined && first.generation > this.config_.generation + 1
    const isEmpty = this.config_.generation === 0
    if (hasGap || isEmpty) await this.readSnapshot()
    this.applyNewChanges(changes)
  }

  private async listAfter(generation: number): Promise<ConfigChange[]> {
    const {entries} = await this.kv_.list(
      this.prefix_ + KEYS.configLog,
      this.prefix_ + configLogKey(generation)
    )
    return entries.map(({value}) => JSON.parse(value) as ConfigChange)
  }

  private async readSnapshot(): Promise<void> {
    const pointer = await this.kv_.get(this.prefix_ + KEYS.snapshot)
    if (!pointer) return
    const {generation, parts} = JSON.parse(pointer.value) as SnapshotPointer
    if (generation <= this.config_.generation) return
    const records: SnapshotRecord[] = []
    for (let part = 0; part < parts; part++) {
      const entry = await this.kv_.get(this.prefix_ + snapshotPartKey(generation, part))
      // A newer snapshot has replaced this one; the next read finds it.
      if (!entry) return
      records.push(...(JSON.parse(entry.value) as SnapshotRecord[]))
    }
    this.recent_ = []
    this.setConfig(restoreSnapshot(records, generation))
  }

  private applyNewChanges(changes: readonly ConfigChange[]): void {
    const before = this.config_
    const next = applyChanges(before, changes)
    if (next === before) return
    const applied = changes.filter(
      ({generation}) => generation > before.generation && generation <= next.generation
    )
    const byGeneration = [...applied].sort((a, b) => a.generation - b.generation)
    this.recent_ = [...this.recent_, ...byGeneration].slice(-RECENT_CHANGES)
    this.setConfig(next)
  }

  private setConfig(config: Configuration): void {
    if (config.generation <= this.config_.generation) return
    this.config_ = config
    this.log_("config-applied", {generation: config.generation})
    this.onConfig_(config)
  }
}
