/**
 * Lives of backend servers. A server may end and start again under its name, empty: whatever was
 * believed of it before belongs to another server. Each life has a name of its own, so that beliefs,
 * connections and requests are kept apart without a check in each place. Which of two lives is newer
 * is told by the revision of their entries: the clocks of servers step, and a life may say that it
 * started before the one that it follows.
 */
import type {BackendRecord} from "../types/fleet.js"
import {isLater} from "./eras.js"

/** Stands in no name of a server. */
const SEPARATOR = "~"
const RADIX = 36

/** The name of one life; without a start the server is known by one life only. */
export function nameLife(server: string, startedAt: number | undefined): string {
  if (startedAt === undefined) return server
  return `${server}${SEPARATOR}${startedAt.toString(RADIX)}`
}

/** Whether the record tells its life apart from others of its server. */
export function tellsLife({id, server}: BackendRecord): boolean {
  return id !== server
}

/** Whether the record is of the life, or of any life where only the server is named. */
export function isOf({id, server}: BackendRecord, name: string): boolean {
  return id === name || server === name
}

/** When a life started by its server's clock; undefined: it does not tell. */
function startOf({id, server}: BackendRecord): number | undefined {
  if (id === server) return undefined
  return Number.parseInt(id.slice(server.length + SEPARATOR.length), RADIX)
}

/**
 * Whether `next` is of a life that says that it started before the known one, from a later era. Revisions tell
 * nothing then: it may be the life before, which a copy of the service brought back.
 */
export function mayPrecede(next: BackendRecord, known: BackendRecord): boolean {
  if (next.server !== known.server || (next.era ?? 0) <= (known.era ?? 0)) return false
  const [start, knownStart] = [startOf(next), startOf(known)]
  return start !== undefined && knownStart !== undefined && start < knownStart
}

/** Whether `next` is of another life of the same server, and newer. */
export function succeeds(next: BackendRecord, known: BackendRecord): boolean {
  return next.server === known.server && next.id !== known.id && isLater(next, known)
}
