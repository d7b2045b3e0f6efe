/** The newest configuration and versions that a box knows, from wherever it learned them. */
import type {ServingEvent} from "../core/serving-events.js"
import type {FleetRecords} from "../ports/fleet-ports.js"
import type {KvEntry, KvStore} from "../ports/ports.js"
import type {FromLeader} from "../types/box-messages.js"
import type {FleetConfig} from "../types/fleet.js"
import {pause} from "../utils/promises.js"
import type {AdapterVersion, EntryReader} from "./entry-reader.js"
import type {Log} from "./log.js"
import {callAs} from "./store-counter.js"

/** A configuration that was named is read within this time, by each box at another moment. */
const READ_SCATTER_MS = 250

/** Who told: the leader has told all other boxes, too. */
type Teller = "store" | "box" | "leader"

export interface OperatorNewsOptions {
  readonly kv: KvStore
  readonly records: FleetRecords
  readonly post: (event: ServingEvent) => void
  readonly log: Log
  /** What this box learned, for a leader to pass on. */
  readonly learned: (message: FromLeader) => void
  /** Asks the leader for the configuration that it named. */
  readonly askLeader: () => void
}

export class OperatorNews {
  private config_: FleetConfig | undefined
  /** The newest configuration that the leader named. */
  private named_ = -1
  private readonly versions_ = new Map<string, number>()

  constructor(
    private readonly options_: OperatorNewsOptions,
    private readonly reader_: EntryReader
  ) {}

  get config(): FleetConfig | undefined {
    return this.config_
  }

  /** Version of the configuration; -1: none is known. */
  get configVersion(): number {
    return this.config_?.version ?? -1
  }

  /** Whether a newer configuration than this box has is known to be there. */
  get isBehind(): boolean {
    return this.named_ > this.configVersion
  }

  /** Takes records of the store. */
  takeEntries(entries: readonly KvEntry[]): void {
    const {configs, versions} = this.reader_.readOperators(entries)
    for (const config of configs) this.takeConfig(config, "store")
    this.takeVersions(versions)
  }

  /** Takes and passes on what is newer than what this box knows: lists tell all, again and again. */
  takeVersions(versions: readonly AdapterVersion[]): void {
    const newer = versions.filter(
      ([adapter, version]) => version > (this.versions_.get(adapter) ?? -1)
    )
    if (newer.length === 0) return
    for (const [adapter, version] of newer) this.versions_.set(adapter, version)
    this.options_.post({type: "versions", versions: newer})
    this.options_.learned({t: "versions", versions: newer})
  }

  /** Takes a configuration; a version never goes down. */
  takeConfig(config: FleetConfig, from: Teller): void {
    if (config.version <= this.configVersion) return
    // A box of an earlier program leaves out who holds which key.
    if (!Array.isArray(config.organisations)) return void this.readNamed(config.version)
    const {post, learned, log} = this.options_
    this.config_ = config
    log("config-applied", {version: config.version, routes: config.routes.length, from})
    post({type: "config", config})
    if (from !== "leader") learned({t: "config", config})
  }

  /** Reads a configuration that the leader named; a box that cannot asks the leader for it. */
  async readNamed(version: number): Promise<void> {
    this.named_ = Math.max(this.named_, version)
    if (version <= this.configVersion) return
    await pause(Math.random() * READ_SCATTER_MS)
    const {kv, records, log, askLeader} = this.options_
    try {
      const entry = await callAs(kv, {caller: "config-read"}).get(records.configKey)
      if (entry) this.takeEntries([entry])
    } catch (cause) {
      log("kv-trouble", {prefix: records.configKey, reason: (cause as Error).message})
    }
    if (version > this.configVersion) askLeader()
  }
}
