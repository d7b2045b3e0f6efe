/**
 * Which backend servers this box reaches over its own links, and since when. A failed
 * connection is evidence about the path from this box to a server; other boxes may reach
 * the same server.
 */

/** Why a path is considered down. */
export type PathEvidence =
  /** Connections for requests could not be opened. */
  | "connect-failed"
  /** A test connection was refused or reset. */
  | "probe-refused"
  /** A test connection was not answered. */
  | "probe-silent"

/** Connection failures in a row that show that a path is down, without a test. */
const CONNECT_FAILURES = 2

/** Interval of the test connections to a server that cannot be reached. */
const PROBE_INTERVAL_MS = 500

/** Accepted test connections in a row after which a path is up again. */
const MIN_SUCCESSES = 2
/** The same for a path that keeps going down. */
const MAX_SUCCESSES = 8

/** A path that goes down again within this time after it was up needs more successes. */
const FLAP_WINDOW_MS = 10_000

/** Other servers that are tested when a path turns out to be down. */
const FURTHER_CHECKS = 3

/** Shortest interval of the tests of a path on which nothing arrives. */
const QUIET_CHECK_INTERVAL_MS = 2_000

/** A server heard from within this time needs no test. */
const RECENTLY_HEARD_MS = 300

interface Path {
  /** When bytes last arrived from the server or a connection was last accepted. */
  reachedAt: number
  connectFailures: number
  /** Since when the path is down. Undefined if it is not. */
  downSince: number | undefined
  /** When the path was last up again. */
  upAgainAt: number
  successes: number
  neededSuccesses: number
  /** When the next test connection is due. Infinity if none is. */
  probeAt: number
  /** When a test connection was last opened. */
  testedAt: number
  isProbing: boolean
  /** Whether the last test connection was not accepted. */
  hasTestFailed: boolean
}

/** A change of a path. */
export interface PathChange {
  readonly isDown: boolean
  /**
   * How long the server had not been heard from, or for how long the path was down.
   * Infinity if the server was never heard from.
   */
  readonly forMs: number
}

export class ServerReach {
  private readonly paths_ = new Map<string, Path>()

  /** Whether the path to the server is not known to be down. */
  reaches(server: string): boolean {
    return this.paths_.get(server)?.downSince === undefined
  }

  /** Whether the last test connection to the server was not accepted. */
  hasTestFailed(server: string): boolean {
    return this.paths_.get(server)?.hasTestFailed === true
  }

  /** Records bytes from the server. On open connections they don't show a path is up. */
  recordHeard(server: string, now: number): void {
    const path = this.pathOf(server)
    path.reachedAt = now
    if (path.downSince === undefined) path.connectFailures = 0
  }

  /** Records a connection for a request that could not be opened. */
  recordConnectFailure(server: string, now: number): PathChange | undefined {
    const path = this.pathOf(server)
    path.connectFailures++
    path.successes = 0
    if (path.connectFailures >= CONNECT_FAILURES) return markDown(path, now)
    this.requestCheck(server, now)
    return undefined
  }

  /** Has the path tested, unless the server was heard from just now. */
  requestCheck(server: string, now: number): void {
    const path = this.pathOf(server)
    if (path.probeAt === Infinity && !path.isProbing) path.probeAt = now
  }

  /** Whether nothing was heard from the server recently and no test is recent. */
  isQuiet(server: string, now: number): boolean {
    const {reachedAt, testedAt} = this.pathOf(server)
    return now - reachedAt > RECENTLY_HEARD_MS && now - testedAt > QUIET_CHECK_INTERVAL_MS
  }

  /** Has some of the servers tested that were not heard from recently. */
  requestFurtherChecks(servers: readonly string[], now: number): void {
    const unknown = servers.filter(server => {
      const path = this.paths_.get(server)
      if (!path) return true
      const isTested = path.isProbing || path.probeAt !== Infinity
      return !isTested && now - path.reachedAt > RECENTLY_HEARD_MS
    })
    for (const server of unknown.slice(0, FURTHER_CHECKS)) this.requestCheck(server, now)
  }

  /** Returns the servers to test now. */
  takeDueProbes(now: number): string[] {
    const due: string[] = []
    for (const [server, path] of this.paths_) {
      if (path.isProbing || now < path.probeAt) continue
      path.isProbing = true
      path.probeAt = Infinity
      path.testedAt = now
      due.push(server)
    }
    return due
  }

  /** Records the result of a test connection. */
  recordProbe(server: string, accepted: boolean, now: number): PathChange | undefined {
    const path = this.paths_.get(server)
    if (!path) return undefined
    path.isProbing = false
    path.hasTestFailed = !accepted
    if (!accepted) {
      path.successes = 0
      return markDown(path, now)
    }
    path.reachedAt = now
    path.connectFailures = 0
    if (path.downSince === undefined) return undefined
    path.successes++
    if (path.successes < path.neededSuccesses) {
      path.probeAt = now + PROBE_INTERVAL_MS
      return undefined
    }
    const forMs = now - path.downSince
    path.downSince = undefined
    path.upAgainAt = now
    return {isDown: false, forMs}
  }

  /** Removes the servers that are no longer listed. */
  retainOnly(listed: {has(server: string): boolean}): void {
    for (const server of this.paths_.keys()) {
      if (!listed.has(server)) this.paths_.delete(server)
    }
  }

  private pathOf(server: string): Path {
    const known = this.paths_.get(server)
    if (known) return known
    const path: Path = {
      reachedAt: -Infinity,
      connectFailures: 0,
      downSince: undefined,
      upAgainAt: -Infinity,
      successes: 0,
      neededSuccesses: MIN_SUCCESSES,
      probeAt: Infinity,
      testedAt: -Infinity,
      isProbing: false,
      hasTestFailed: false
    }
    this.paths_.set(server, path)
    return path
  }
}

function markDown(path: Path, now: number): PathChange | undefined {
  path.probeAt = now + PROBE_INTERVAL_MS
  if (path.downSince !== undefined) return undefined
  path.downSince = now
  const flaps = now - path.upAgainAt < FLAP_WINDOW_MS
  path.neededSuccesses = flaps
    ? Math.min(MAX_SUCCESSES, path.neededSuccesses * 2)
    : MIN_SUCCESSES
  return {isDown: true, forMs: now - path.reachedAt}
}
