/** Updates and logs which backend servers this box reaches. */
import {isUsable} from "./backend-list.js"
import {type Attempt, type BoxRequest, type BoxServing, logEvent} from "./box-state.js"
import type {PathChange, PathEvidence} from "./server-reach.js"

/** Time without any byte after which the path of an attempt is tested. */
const QUIET_MS = 400

/** Other boxes that are asked to send the same request. */
const MAX_PEER_REFUSALS = 5

/**
 * Returns the address of the box that is to send the request to the server. Undefined if
 * this box reaches the server itself, or knows no box that may.
 */
export function choosePeer(
  box: BoxServing,
  {failedPaths, peerRefusals}: BoxRequest,
  server: string,
  now: number
): string | undefined {
  if (box.reach.reaches(server) && !failedPaths.has(server)) return undefined
  if (peerRefusals >= MAX_PEER_REFUSALS) return undefined
  return box.peers.choose(server, now, box.options.random)
}

/** Whether the attempt was sent over a path of this box that is down now. */
export function isOnDownPath(box: BoxServing, {backend, via}: Attempt): boolean {
  return via === undefined && !box.reach.reaches(backend)
}

/**
 * Whether the attempt was sent over a path of this box that a test found down. Requests
 * may fail to connect to a server that goes on answering others.
 */
export function isOnLostPath(box: BoxServing, attempt: Attempt): boolean {
  return isOnDownPath(box, attempt) && box.reach.hasTestFailed(attempt.backend)
}

/** Records a connection for a request that could not be opened. */
export function recordConnectFailure(box: BoxServing, server: string, now: number): void {
  if (!isUsable(box.backends, server)) return
  const change = box.reach.recordConnectFailure(server, now)
  handleChange(box, server, change, "connect-failed", now)
  sendDueProbes(box, now)
}

/** Has the path to a server tested whose connection broke or is silent. */
export function checkPath(box: BoxServing, server: string, now: number): void {
  if (!isUsable(box.backends, server)) return
  box.reach.requestCheck(server, now)
  sendDueProbes(box, now)
}

/** Has the path tested if the attempt and its server have been quiet for some time. */
export function checkQuietPath(
  box: BoxServing,
  {backend, via, started, lastByteAt, sentAt}: Attempt,
  now: number
): void {
  if (!started || via !== undefined || now - (lastByteAt ?? sentAt) < QUIET_MS) return
  if (box.reach.isQuiet(backend, now)) checkPath(box, backend, now)
}

/**
 * Handles the result of a test connection. Undefined if it was neither accepted nor
 * refused in time.
 */
export function handlePathProbe(
  box: BoxServing,
  server: string,
  accepted: boolean | undefined,
  now: number
): void {
  const evidence = accepted === false ? "probe-refused" : "probe-silent"
  const change = box.reach.recordProbe(server, accepted === true, now)
  handleChange(box, server, change, evidence, now)
  sendDueProbes(box, now)
}

/** Periodic work: tests the paths that are due. */
export function tickPaths(box: BoxServing, now: number): void {
  box.reach.retainOnly(box.backends.known)
  sendDueProbes(box, now)
}

function sendDueProbes(box: BoxServing, now: number): void {
  for (const server of box.reach.takeDueProbes(now)) {
    const backend = box.backends.known.get(server)?.record
    if (backend) box.effects.push({type: "check-path", backend})
  }
}

function handleChange(
  box: BoxServing,
  server: string,
  change: PathChange | undefined,
  evidence: PathEvidence,
  now: number
): void {
  if (!change) return
  const service = box.backends.known.get(server)?.record.service ?? ""
  const servers = listServers(box, service)
  const counts = {
    service,
    reached: servers.filter(each => box.reach.reaches(each)).length,
    of: servers.length
  }
  const forMs = Math.round(Math.min(change.forMs, Number.MAX_SAFE_INTEGER))
  if (!change.isDown) {
    return logEvent(box, "server-reached", {backend: server, downMs: forMs, ...counts})
  }
  logEvent(box, "server-unreached", {
    backend: server,
    evidence,
    heardMs: forMs,
    ...counts
  })
  box.reach.requestFurtherChecks([...box.backends.known.keys()], now)
}

function listServers({backends}: BoxServing, service: string): string[] {
  return [...backends.known.values()]
    .filter(({record}) => record.service === service && !record.leaving)
    .map(({record}) => record.id)
}

/**
 * Whether this box reaches less than half of the engines. As the leader it could order
 * most loads nowhere.
 */
export function isCutFromEngines(box: BoxServing): boolean {
  const engines = listEngines(box)
  const reached = engines.filter(each => box.reach.reaches(each))
  return engines.length > 0 && reached.length * 2 < engines.length
}

/** Returns the engines that this box does not reach. */
export function listUnreachedEngines(box: BoxServing): string[] {
  return listEngines(box).filter(each => !box.reach.reaches(each))
}

function listEngines({backends, table}: BoxServing): string[] {
  return [...backends.known.values()]
    .filter(({record}) => !record.leaving)
    .filter(({record}) => table?.services.get(record.service)?.engine !== undefined)
    .map(({record}) => record.id)
}
