/** How many connections a box may open to a backend server. */
import type {BoxServing} from "../core/box-state.js"

/** Part of a server's connections that all boxes together use. */
const USED_SHARE = 0.8

const MIN_CONNECTIONS = 2

/** Returns this box's share of the connections that a server of the service accepts. */
export function serverConnections(
  {table, boxCount}: BoxServing,
  service: string
): number {
  const accepted = table?.services.get(service)?.maxConnections ?? 1
  const share = Math.floor((accepted * USED_SHARE) / Math.max(1, boxCount))
  return Math.max(MIN_CONNECTIONS, share)
}
