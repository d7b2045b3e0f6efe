/**
 * Reads what others wrote into the key-value service. An entry that cannot be read hides no other:
 * a backend server's names no server to use, an operator's leaves in force what was read before.
 */
import {hasIncarnationId} from "../core/server-incarnations.js"
import {isSamePosition} from "../core/eras.js"
import {UnreadableEntry} from "../errors.js"
import type {FleetRecords} from "../ports/fleet-ports.js"
import type {KvEntry} from "../ports/ports.js"
import type {BackendRecord, FleetConfig} from "../types/fleet.js"
import type {StorePosition} from "../types/store-position.js"
import type {Log} from "./log.js"

/** Findings remembered, so that lists that repeat do not tell them again. */
const MAX_TOLD = 1_000

/** Of a finding, the characters that are logged: entries of others may be long. */
const MAX_REASON = 300

/** Of the keys whose entries cannot be read, how many are counted for metrics at most. */
const MAX_KEYS = 10_000

/** The newest version of an adapter. */
export type AdapterVersion = readonly [adapter: string, version: number]

/** What a list of backend servers says. */
export interface ReadBackends {
  readonly records: readonly BackendRecord[]
  /** Servers whose entries are there and cannot be read. */
  readonly unreadable: ReadonlySet<string>
}

/** What entries of operators say. */
export interface OperatorEntries {
  readonly configs: readonly FleetConfig[]
  readonly versions: readonly AdapterVersion[]
}

interface ReadEntry {
  readonly place: StorePosition
  /** Undefined: it cannot be read. */
  readonly record: BackendRecord | undefined
}

export class EntryReader {
  /** Servers as they were read last: lists repeat what seldom changes. */
  private readonly read_ = new Map<string, ReadEntry>()
  /** Servers that told which life they are in: an entry that does not is not theirs. */
  private readonly living_ = new Set<string>()
  private readonly told_ = new Set<string>()
  private readonly unreadable_ = new Set<string>()
  /** At which change each key of operators was read: lists tell all of them, again and again. */
  private readonly operators_ = new Map<string, StorePosition>()

  constructor(
    private readonly records_: FleetRecords,
    private readonly log_: Log
  ) {}

  /** Keys whose entries cannot be read. */
  get unreadable(): number {
    return this.unreadable_.size
  }

  /** Reads a whole list of backend servers. */
  readBackends(entries: readonly KvEntry[]): ReadBackends {
    const records: BackendRecord[] = []
    const unreadable = new Set<string>()
    for (const entry of entries) {
      const record = this.readBackend(entry)
      if (record) records.push(record)
      else unreadable.add(this.serverOf(entry.key))
    }
    const listed = new Set(entries.map(({key}) => key))
    for (const key of this.read_.keys()) if (!listed.has(key)) this.forget(key)
    return {records, unreadable}
  }

  /** Reads the entry of a backend server; undefined: it cannot be read. */
  readBackend(entry: KvEntry): BackendRecord | undefined {
    const {key, revision, era} = entry
    const known = this.read_.get(key)
    if (known && isSamePosition(known.place, entry)) return known.record
    const record = this.attempt(entry, () => this.readLiving(entry))
    this.read_.set(key, {place: {revision, era}, record})
    return record
  }

  /** Reads what changed of operators' entries; those that cannot be read are left out. */
  readOperators(entries: readonly KvEntry[]): OperatorEntries {
    const configs: FleetConfig[] = []
    const versions: AdapterVersion[] = []
    for (const entry of entries) {
      const {key, value, revision, era} = entry
      const known = this.operators_.get(key)
      if (known && isSamePosition(known, entry)) continue
      this.operators_.set(key, {revision, era})
      this.attempt(entry, () => {
        const config = this.records_.readConfig(key, value)
        if (config) configs.push(config)
        const version = this.records_.readVersion(key, value)
        if (version) versions.push(version)
        return true
      })
    }
    return {configs, versions}
  }

  /** The name of the server that a key is for. */
  serverOf(key: string): string {
    return key.slice(this.records_.backendPrefix.length)
  }

  private readLiving(entry: KvEntry): BackendRecord {
    const record = this.records_.readBackend(entry)
    const {server} = record
    if (hasIncarnationId(record)) this.living_.add(server)
    else if (this.living_.has(server)) {
      const message = "tells no start, which its server told before"
      throw new UnreadableEntry([{place: "", message}])
    }
    return record
  }

  private attempt<T>(entry: KvEntry, read: () => T): T | undefined {
    try {
      const value = read()
      this.unreadable_.delete(entry.key)
      return value
    } catch (cause) {
      if (!(cause instanceof UnreadableEntry)) throw cause
      this.tell(entry, cause)
      return undefined
    }
  }

  private tell({key, revision, era}: KvEntry, {message}: UnreadableEntry): void {
    if (this.unreadable_.size < MAX_KEYS) this.unreadable_.add(key)
    const content = `${key} ${revision} ${era ?? ""}`
    if (this.told_.has(content) || this.told_.size >= MAX_TOLD) return
    this.told_.add(content)
    this.log_("entry-unreadable", {key, revision, reason: message.slice(0, MAX_REASON)})
  }

  private forget(key: string): void {
    this.read_.delete(key)
    this.unreadable_.delete(key)
    this.living_.delete(this.serverOf(key))
  }
}
