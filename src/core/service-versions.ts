/** Software versions that the servers of each service run, or ran recently. */
import type {BackendRecord} from "../types/fleet.js"

/** For how long a version counts as recent after its last server has gone. */
const RECENT_MS = 60_000

/** Version of a server that reports none. */
const UNKNOWN_VERSION = ""

export function softwareOf({software}: Pick<BackendRecord, "software">): string {
  return software ?? UNKNOWN_VERSION
}

export class ServiceVersions {
  /** By service and version: when the last server of it was gone; Infinity if one is there. */
  private readonly goneAt_ = new Map<string, Map<string, number>>()
  private observedSince_ = Infinity

  /** Applies a list of servers. Returns services that have begun to run several versions. */
  update(records: Iterable<BackendRecord>, now: number): string[] {
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
      const versions = this.goneAt_.get(record.service) ?? new Map<string, number>()
      versions.set(softwareOf(record), Infinity)
      this.goneAt_.set(record.service, versions)
    }
    return [...this.goneAt_.keys()].filter(
      service => this.isMixed(service, now) && before.get(service) !== true
    )
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

  /** Returns for how long this box has observed the servers. */
  observedMs(now: number): number {
    return Math.max(0, now - this.observedSince_)
  }
}
