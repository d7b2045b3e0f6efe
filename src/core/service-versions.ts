/**
 * Software versions that the servers of each service run, or ran recently, and for how long
 * that is known without a gap.
 */
import type {BackendRecord} from "../types/fleet.js"

/** For how long a version counts as recent after its last server has gone. */
const RECENT_MS = 60_000

/**
 * A history of this length covers every stream that can be resumed. Histories that are
 * longer count as this long.
 */
export const WHOLE_HISTORY_MS = 64_000

/** Limits the services in a record, and the versions of each. */
export const MAX_RECORDED = 200

/** Version of a server that reports none. */
const UNKNOWN_VERSION = ""

/** What a leader stores, in case all boxes restart. */
export interface RecordedVersions {
  readonly services: readonly (readonly [service: string, versions: readonly string[]])[]
  /** For how long the servers had been observed at least. */
  readonly observedMs: number
}

export function softwareOf({software}: Pick<BackendRecord, "software">): string {
  return software ?? UNKNOWN_VERSION
}

export class ServiceVersions {
  /** By service and version: when the last server of it was gone; Infinity if one is there. */
  private readonly goneAt_ = new Map<string, Map<string, number>>()
  private observedSince_ = Infinity
  private hasList_ = false

  get hasList(): boolean {
    return this.hasList_
  }

  /** Applies a list of servers. Returns services that have begun to run several versions. */
  update(records: Iterable<BackendRecord>, now: number): string[] {
    this.hasList_ = true
    this.observedSince_ = Math.min(this.observedSince_, now)
    const before = new Map(
      [...this.goneAt_.keys()].map(service => [service, this.isMixed(service, now)])
    )
    for (const versions of this.goneAt_.values()) {
      for (const [version, goneAt] of versions) {
        versions.set(version, Math.min(goneAt, now))
      }
    }
    for (const record of records) {
      this.versionsOf(record.service).set(softwareOf(record), Infinity)
    }
    return [...this.goneAt_.keys()].filter(
      service => this.isMixed(service, now) && before.get(service) !== true
    )
  }

  /**
   * Records that the servers were not observed until now: a version may have come and gone
   * meanwhile.
   */
  interrupt(now: number): void {
    this.observedSince_ = now
  }

  /**
   * Adds what a leader stored. Its versions may have served until now. `isProof` tells
   * whether the store holds all that was written.
   */
  addRecorded(recorded: RecordedVersions, isProof: boolean, now: number): void {
    for (const [service, versions] of recorded.services) {
      const known = this.versionsOf(service)
      for (const version of versions) {
        if (!known.has(version)) known.set(version, now)
      }
    }
    if (!isProof) return
    this.observedSince_ = Math.min(this.observedSince_, now - recorded.observedMs)
  }

  /** Returns what a leader stores. */
  toRecord(now: number): RecordedVersions {
    const services = [...this.goneAt_.keys()]
      .sort()
      .map(service => [service, this.recent(service, now).sort()] as const)
    const isTooLong =
      services.length > MAX_RECORDED ||
      services.some(([, versions]) => versions.length > MAX_RECORDED)
    if (isTooLong) return {services: [], observedMs: 0}
    return {services, observedMs: roundDown(this.observedMs(now))}
  }

  /** Returns the versions that servers of the service run or ran recently. */
  recent(service: string, now: number): string[] {
    const versions = this.goneAt_.get(service)
    if (!versions) return []
    for (const [version, goneAt] of versions) {
      if (goneAt + RECENT_MS <= now) versions.delete(version)
    }
    return [...versions.keys()]
  }

  isMixed(service: string, now: number): boolean {
    return this.recent(service, now).length > 1
  }

  /** Returns for how long the servers have been observed without a gap. */
  observedMs(now: number): number {
    return this.hasList_ ? Math.max(0, now - this.observedSince_) : 0
  }

  private versionsOf(service: string): Map<string, number> {
    const versions = this.goneAt_.get(service) ?? new Map<string, number>()
    this.goneAt_.set(service, versions)
    return versions
  }
}

/** Rounds a time down to a power of two seconds, so that a record changes seldom. */
function roundDown(ms: number): number {
  if (ms < 1_000) return 0
  return Math.min(WHOLE_HISTORY_MS, 1_000 * 2 ** Math.floor(Math.log2(ms / 1_000)))
}
