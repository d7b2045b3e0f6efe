/** What boxes tell each other of requests that crash backend servers. */

/** Servers that crashed while a request was in progress there. */
export interface CrashNews {
  /** Of the request. */
  readonly fingerprint: string
  /** Lives of servers, oldest first. */
  readonly lives: readonly string[]
  /** Since the last of them was seen to end, milliseconds. */
  readonly ageMs: number
  /** How often the request was let through after it was stopped. */
  readonly trials: number
}

/** What changed; records are merged, in whatever order they come. */
export interface CrashChanges {
  readonly records: readonly CrashNews[]
  /** Fingerprints of requests that a server has answered whole: they crash none. */
  readonly cleared: readonly string[]
}
