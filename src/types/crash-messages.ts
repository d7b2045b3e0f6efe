/** Messages between boxes about requests that crash backend servers. */

/** Servers that crashed while a request with the fingerprint was in progress. */
export interface CrashReport {
  /** Hash that identifies a request, or a part of prompts. */
  readonly fingerprint: string
  /** Incarnations of the crashed servers, oldest first. */
  readonly lives: readonly string[]
  /** Time since the last of these crashes was detected. */
  readonly ageMs: number
  /** Time since the first of them was detected. */
  readonly firstAgeMs?: number | undefined
  /** How often it was sent on trial since it was quarantined. */
  readonly trials: number
  /** Whether a server had answered a request with it before these crashes. */
  readonly answered?: boolean | undefined
}

/** New and changed reports. Merging them gives the same result in any order. */
export interface CrashUpdate {
  readonly records: readonly CrashReport[]
  /**
   * Fingerprints of requests that a server answered completely, so they cause no crash.
   */
  readonly cleared: readonly string[]
  /** Incarnations of further crashed servers, whose suspects are not in the records. */
  readonly crashed?: readonly string[] | undefined
}
