/**
 * Incarnations of backend servers. A server that stops and starts again under its name
 * holds nothing, and no earlier state applies to it. Each incarnation has an id of its
 * own, which keeps state, connections and requests apart without further checks. The
 * revision of the entries decides which of two incarnations is newer. Their start times
 * do not: a server's clock may be set back, so that an incarnation may report an earlier
 * start than the one before.
 */
import type {BackendRecord} from "../types/fleet.js"
import {isLaterPosition} from "./eras.js"

/** Not allowed in names of servers. */
const SEPARATOR = "~"
const RADIX = 36

/** Returns the id of an incarnation. Without a start time it is the server's name. */
export function incarnationId(server: string, startedAt: number | undefined): string {
  if (startedAt === undefined) return server
  return `${server}${SEPARATOR}${startedAt.toString(RADIX)}`
}

/** Whether the record's id tells its incarnation from others of the server. */
export function hasIncarnationId({id, server}: BackendRecord): boolean {
  return id !== server
}

/** Whether `name` is the id of the record's incarnation or the name of its server. */
export function matchesName({id, server}: BackendRecord, name: string): boolean {
  return id === name || server === name
}

/** Start of an incarnation by its server's clock. Undefined if not reported. */
function startedAtOf({id, server}: BackendRecord): number | undefined {
  if (id === server) return undefined
  return Number.parseInt(id.slice(server.length + SEPARATOR.length), RADIX)
}

/**
 * Whether `next` has a later era but an earlier start time than the known record.
 * Revisions decide nothing across eras: it may be an earlier incarnation that came back
 * with a backup.
 */
export function mayPrecede(next: BackendRecord, known: BackendRecord): boolean {
  if (next.server !== known.server || (next.era ?? 0) <= (known.era ?? 0)) return false
  const [nextStart, knownStart] = [startedAtOf(next), startedAtOf(known)]
  return nextStart !== undefined && knownStart !== undefined && nextStart < knownStart
}

/** Whether `next` is a newer incarnation of the same server. */
export function succeeds(next: BackendRecord, known: BackendRecord): boolean {
  return (
    next.server === known.server && next.id !== known.id && isLaterPosition(next, known)
  )
}
