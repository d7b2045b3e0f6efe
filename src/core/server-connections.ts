/** How many connections a box may open to a backend server. */
import type {BoxServing} from "./box-state.js"

/** Part of a server's connections that all boxes together use. */
const USED_SHARE = 0.8

const MIN_CONNECTIONS = 2

/**
 * How long fewer boxes must be reported until they share the connections. A new leader
 * counts the boxes from one on, as they link to it.
 */
const FEWER_BOXES_MS = 10_000

/** The number of boxes that share the connections to servers. */
export interface SharingBoxes {
  readonly count: number
  /** When that many were last reported. */
  readonly reportedAt: number
}

/** Records the number of boxes that the leader reports. */
export function recordBoxCount(
  sharing: SharingBoxes,
  boxes: number,
  now: number
): SharingBoxes {
  const isKept = boxes < sharing.count && now - sharing.reportedAt < FEWER_BOXES_MS
  return isKept ? sharing : {count: boxes, reportedAt: now}
}

/** Returns this box's share of the connections that a server of the service accepts. */
export function serverConnections(
  {table, sharingBoxes}: BoxServing,
  service: string
): number {
  const accepted = table?.services.get(service)?.maxConnections ?? 1
  const share = Math.floor((accepted * USED_SHARE) / Math.max(1, sharingBoxes.count))
  return Math.max(MIN_CONNECTIONS, share)
}
