/**
 * Parses the entries that other programs write to the key-value service. An unreadable
 * entry does not affect others: its backend server is not used, and an operator's last
 * valid value stays in force.
 */
import {hasIncarnationId} from "../core/server-incarnations.js"
import {isSamePosition} from "../core/eras.js"
import {UnreadableEntry} from "../errors.js"
import type {FleetRecords} from "../ports/fleet-ports.js"
import type {KvEntry} from "../ports/ports.js"
import type {BackendRecord, FleetConfig} from "../types/fleet.js"
import type {StorePosition} from "../types/store-position.js"
import type {Log} from "./log.js"

/** Logged findings that are remembered, so that repeated lists do not log them again. */
const MAX_LOGGED_FINDINGS = 1_000

/** Limits the length of logged findings, as entries of other programs may be long. */
const MAX_REASON_CHARS = 300

/** Limits the unreadable keys that are counted for metrics. */
const MAX_UNREADABLE_KEYS = 10_000

/** An adapter and its newest version. */
export type AdapterVersion = readonly [adapter: string, version: number]

/** The parsed entries of backend servers. */
export interface BackendEntries {
  readonly records: readonly BackendRecord[]
  /** Servers whose entries exist but cannot be parsed. */
  readonly unreadable: ReadonlySet<string>
}

/** The parsed entries of operators. */
export interface OperatorEntries {
  readonly configs: readonly FleetConfig[]
  readonly versions: readonly AdapterVersion[]
}

interface ReadEntry {
  readonly position: StorePosition
  /** Undefined if the entry cannot be parsed. */
  readonly record: BackendRecord | undefined
}

export class EntryReader {
  /** The last parsed entry by key, as lists mostly repeat unchanged entries. */
  private readonly parsed_ = new Map<string, ReadEntry>()
  /**
   * Servers whose earlier entry had a start time. A later entry without one cannot be
   * theirs and is rejected.
   */
  private readonly serversWithStartTime_ = new Set<string>()
  private readonly loggedFindings_ = new Set<string>()
  private readonly unreadable_ = new Set<string>()
  /** Positions of the parsed operators' entries, as each list contains all of them. */
  private readonly operatorPositions_ = new Map<string, StorePosition>()

  constructor(
    private readonly records_: FleetRecords,
    private readonly log_: Log
  ) {}

  /** The number of keys whose entries cannot be parsed. */
  get unreadable(): number {
    return this.unreadable_.size
  }

  /** Parses a full list of backend servers. */
  readBackends(entries: readonly KvEntry[]): BackendEntries {
    const records: BackendRecord[] = []
    const unreadable = new Set<string>()
    for (const entry of entries) {
      const record = this.readBackend(entry)
      if (record) records.push(record)
      else unreadable.add(this.serverOf(entry.key))
    }
    const listed = new Set(entries.map(({key}) => key))
    for (const key of this.parsed_.keys()) if (!listed.has(key)) this.removeBackend(key)
    return {records, unreadable}
  }

  /** Parses the entry of a backend server. Returns undefined if it cannot be parsed. */
  readBackend(entry: KvEntry): BackendRecord | undefined {
    const {key, revision, era} = entry
    const previous = this.parsed_.get(key)
    if (previous && isSamePosition(previous.position, entry)) return previous.record
    const record = this.tryParse(entry, () => this.parseBackend(entry))
    this.parsed_.set(key, {position: {revision, era}, record})
    return record
  }

  /** Parses operators' entries that have changed. Unreadable ones are left out. */
  readOperators(entries: readonly KvEntry[]): OperatorEntries {
    const configs: FleetConfig[] = []
    const versions: AdapterVersion[] = []
    for (const entry of entries) {
      const {key, value, revision, era} = entry
      const previous = this.operatorPositions_.get(key)
      if (previous && isSamePosition(previous, entry)) continue
      this.operatorPositions_.set(key, {revision, era})
      this.tryParse(entry, () => {
        const config = this.records_.readConfig(key, value)
        if (config) configs.push(config)
        const version = this.records_.readVersion(key, value)
        if (version) versions.push(version)
        return true
      })
    }
    return {configs, versions}
  }

  /** Returns the name of the server that a key belongs to. */
  serverOf(key: string): string {
    return key.slice(this.records_.backendPrefix.length)
  }

  private parseBackend(entry: KvEntry): BackendRecord {
    const record = this.records_.readBackend(entry)
    const {server} = record
    if (hasIncarnationId(record)) this.serversWithStartTime_.add(server)
    else if (this.serversWithStartTime_.has(server)) {
      const message =
        "has no start time, although an earlier entry of this server had one"
      throw new UnreadableEntry([{place: "", message}])
    }
    return record
  }

  private tryParse<T>(entry: KvEntry, read: () => T): T | undefined {
    try {
      const value = read()
      this.unreadable_.delete(entry.key)
      return value
    } catch (cause) {
      if (!(cause instanceof UnreadableEntry)) throw cause
      this.recordUnreadable(entry, cause)
      return undefined
    }
  }

  private recordUnreadable(
    {key, revision, era}: KvEntry,
    {message}: UnreadableEntry
  ): void {
    if (this.unreadable_.size < MAX_UNREADABLE_KEYS) this.unreadable_.add(key)
    const content = `${key} ${revision} ${era ?? ""}`
    if (
      this.loggedFindings_.has(content) ||
      this.loggedFindings_.size >= MAX_LOGGED_FINDINGS
    )
      return
    this.loggedFindings_.add(content)
    this.log_("entry-unreadable", {
      key,
      revision,
      reason: message.slice(0, MAX_REASON_CHARS)
    })
  }

  private removeBackend(key: string): void {
    this.parsed_.delete(key)
    this.unreadable_.delete(key)
    this.serversWithStartTime_.delete(this.serverOf(key))
  }
}
