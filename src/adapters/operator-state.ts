/**
 * Holds the newest configuration and adapter versions of a box, whatever their source.
 */
import type {ServingEvent} from "../core/serving-events.js"
import type {FleetRecords} from "../ports/fleet-ports.js"
import type {KvEntry, KvStore} from "../ports/ports.js"
import type {FromLeader} from "../types/box-messages.js"
import type {FleetConfig} from "../types/fleet.js"
import {pause} from "../utils/promises.js"
import type {AdapterVersion, EntryReader} from "./entry-reader.js"
import type {Log} from "./log.js"
import {callAs} from "./store-counter.js"

/** Spreads the boxes' reads of an announced configuration over this time. */
const READ_JITTER_MS = 250

/** Source of an update. The leader sends its updates to all other boxes, too. */
type UpdateSource = "store" | "box" | "leader"

export interface OperatorStateOptions {
  readonly kv: KvStore
  readonly records: FleetRecords
  readonly post: (event: ServingEvent) => void
  readonly log: Log
  /** Called with each newer configuration or version, for a leader to pass on. */
  readonly onUpdate: (message: FromLeader) => void
  /** Requests the announced configuration from the leader. */
  readonly requestConfig: () => void
}

export class OperatorState {
  private config_: FleetConfig | undefined
  /** Version of the newest configuration that the leader announced. */
  private announcedVersion_ = -1
  private readonly versions_ = new Map<string, number>()

  constructor(
    private readonly options_: OperatorStateOptions,
    private readonly reader_: EntryReader
  ) {}

  get config(): FleetConfig | undefined {
    return this.config_
  }

  /** Version of the configuration. -1 if there is none. */
  get configVersion(): number {
    return this.config_?.version ?? -1
  }

  /** Whether a newer configuration than this box's was announced. */
  get isBehind(): boolean {
    return this.announcedVersion_ > this.configVersion
  }

  applyEntries(entries: readonly KvEntry[]): void {
    const {configs, versions} = this.reader_.readOperators(entries)
    for (const config of configs) this.applyConfig(config, "store")
    this.applyVersions(versions)
  }

  /** Applies and passes on only newer versions, since each list repeats all of them. */
  applyVersions(versions: readonly AdapterVersion[]): void {
    const newer = versions.filter(
      ([adapter, version]) => version > (this.versions_.get(adapter) ?? -1)
    )
    if (newer.length === 0) return
    for (const [adapter, version] of newer) this.versions_.set(adapter, version)
    this.options_.post({type: "versions", versions: newer})
    this.options_.onUpdate({t: "versions", versions: newer})
  }

  /** Applies a configuration unless its version is older or the same. */
  applyConfig(config: FleetConfig, from: UpdateSource): void {
    if (config.version <= this.configVersion) return
    // A box that runs an earlier release omits which organisation holds which key.
    if (!Array.isArray(config.organisations))
      return void this.readAnnounced(config.version)
    const {post, onUpdate: learned, log} = this.options_
    this.config_ = config
    log("config-applied", {version: config.version, routes: config.routes.length, from})
    post({type: "config", config})
    if (from !== "leader") learned({t: "config", config})
  }

  /** Reads an announced configuration, or requests it from the leader if that fails. */
  async readAnnounced(version: number): Promise<void> {
    this.announcedVersion_ = Math.max(this.announcedVersion_, version)
    if (version <= this.configVersion) return
    await pause(Math.random() * READ_JITTER_MS)
    const {kv, records, log, requestConfig: askLeader} = this.options_
    try {
      const entry = await callAs(kv, {caller: "config-read"}).get(records.configKey)
      if (entry) this.applyEntries([entry])
    } catch (cause) {
      log("kv-trouble", {prefix: records.configKey, reason: (cause as Error).message})
    }
    if (version > this.configVersion) askLeader()
  }
}
