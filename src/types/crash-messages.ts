/** Messages between boxes about requests that crash backend servers. */

/** Servers that crashed while a request was in progress there. */
export interface CrashReport {
  /** Hash that identifies the request. */
  readonly fingerprint: string
  /** Incarnations of the crashed servers, oldest first. */
  readonly lives: readonly string[]
  /** Time since the last of these crashes was detected. */
  readonly ageMs: number
  /** How often the request was sent on trial since it was quarantined. */
  readonly trials: number
}

/** New and changed reports. Merging them gives the same result in any order. */
export interface CrashUpdate {
  readonly records: readonly CrashReport[]
  /**
   * Fingerprints of requests that a server answered completely, so they cause no crash.
   */
  readonly cleared: readonly string[]
}
