/** Whether a box may send a request on behalf of another box, checked right before it. */
import {isTooOldToSend} from "./adapter-versions.js"
import {isUsable} from "./backend-list.js"
import {isSnapshotStale} from "./box-snapshot-age.js"
import type {BoxServing} from "./box-state.js"
import {backoffRemainingMs} from "./server-notices.js"
import {softwareOf} from "./service-versions.js"

/** Properties of the request that the box which received it decided on. */
export interface CarriedSend {
  /** Id of the server's incarnation. */
  readonly server: string
  /** Key of the adapter. Undefined if none is requested. */
  readonly adapter?: string | undefined
  readonly expectedVersion?: number | undefined
  /** Software version of the server that it needs. Undefined if any will do. */
  readonly software?: string | undefined
  /** Whether that box holds an allowance for a rate-limited server. */
  readonly isAllowed: boolean
  /** Fingerprints of the request and of the shared parts of its prompt. */
  readonly fingerprints?: readonly string[] | undefined
  /** Whether it is sent to find out if it crashes another server. */
  readonly isTrial?: boolean | undefined
}

export type CarryObstacle =
  /** This box reaches the server no more than the other one. */
  | "unreached"
  /** The server is unknown here, leaves, or must get no request now. */
  | "unusable"
  | "old-version"
  /** The server runs another software version than the one that began the stream. */
  | "other-software"
  | "stale-snapshot"
  /** The request crashes servers, as only this box knows yet. */
  | "quarantined"

/**
 * Returns why the request must not be sent now, or undefined if it may be. What only the
 * other box knows (the key, its limits, the retry budget) was checked there.
 */
export function findCarryObstacle(
  box: BoxServing,
  carried: CarriedSend,
  now: number
): CarryObstacle | undefined {
  const {server, adapter, expectedVersion, software, isAllowed} = carried
  const {fingerprints = [], isTrial = false} = carried
  if (!isTrial && fingerprints.some(each => box.crashes.isQuarantined(each))) {
    return "quarantined"
  }
  if (!isUsable(box.backends, server)) return "unusable"
  const record = box.backends.known.get(server)?.record
  if (software !== undefined && record && softwareOf(record) !== software) {
    return "other-software"
  }
  if (isSnapshotStale(box, now)) return "stale-snapshot"
  if (!box.reach.reaches(server)) return "unreached"
  if (backoffRemainingMs(box, server, now) > 0) return "unusable"
  if (box.advertisedRates.of(server) !== undefined && !isAllowed) return "unusable"
  if (adapter === undefined || !expectedVersion) return undefined
  const announced = box.versions.get(adapter) ?? []
  return isTooOldToSend(announced, expectedVersion, now) ? "old-version" : undefined
}
