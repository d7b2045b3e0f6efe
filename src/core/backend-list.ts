/**
 * What a box believes of backend servers. An entry that vanished while the store was away may have
 * lapsed though its server lives: it stays in doubt until the store has been back for a while.
 */
import type {BackendRecord} from "../types/fleet.js"
import {isCopiedLife, isWithheld} from "./copied-entries.js"
import {isOf, succeeds, tellsLife} from "./server-lives.js"
import {isLater, mayBeCopied} from "./eras.js"

/** How long after the store's return a vanished entry may still come back, milliseconds. */
export const RETURN_MS = 2_000

/** The time in which trouble of the store may have made an entry lapse, milliseconds. */
export const LAPSE_WINDOW_MS = 6_000

/** Servers that left which are remembered: more than leave while older news is about. */
const MAX_LEFT = 2_000

/** What news of servers rests on. */
export interface Reading {
  /**
   * Who read the store. Another box's word is final: it has waited out its own doubts, and what
   * this box itself had of trouble with the store says nothing of it.
   */
  readonly source: "store" | "box"
  /** When the store was read, or before, by the clock of this box. */
  readonly at: number
}

/** An entry that is in the list, or vanished at a time when that proves nothing. */
export interface KnownBackend {
  readonly record: BackendRecord
  /** Undefined: listed. Otherwise the time at which it counts as gone. */
  readonly goneAt: number | undefined
}

/** The list, with the store's recent trouble. */
export interface BackendList {
  readonly known: ReadonlyMap<string, KnownBackend>
  /** When the store last failed a call; -Infinity: never. */
  readonly troubleAt: number
  /** When the store first answered after that. */
  readonly backAt: number
  /** Servers that said that they leave: none comes back under its id, whatever older news says. */
  readonly left: ReadonlySet<string>
  /** Servers whose entries were gone, and at which reading: an older one does not bring them back. */
  readonly gone: ReadonlyMap<string, number>
  /** Lives that others followed: none comes back, also where a copy of the store is older than its end. */
  readonly ended: ReadonlySet<string>
  /** When the store last came back from an older copy, or before; -Infinity: never. */
  readonly risenAt: number
  /**
   * Until then this box, which started after the store came back, cannot tell entries that it reads from
   * those of the copy; -Infinity: it can.
   */
  readonly copiedUntil: number
  /** Servers whose entries are there and may be the copy's: they had left, or another life had followed, or may have. */
  readonly withheld: ReadonlyMap<string, BackendRecord>
}

/** A list of nothing. */
export function createBackendList(): BackendList {
  return {
    known: new Map(),
    troubleAt: -Infinity,
    backAt: -Infinity,
    left: new Set(),
    gone: new Map(),
    ended: new Set(),
    risenAt: -Infinity,
    copiedUntil: -Infinity,
    withheld: new Map()
  }
}

/** This box remembers nothing of before the store came back: what it reads may be the copy's until then. */
export function noteCopy(list: BackendList, copiedUntil: number): BackendList {
  return {...list, copiedUntil}
}

/**
 * The store came back from a copy that is some seconds old. Servers that it lacks may have written their entries
 * since: they have as long to come back as after an outage.
 */
export function noteRise(list: BackendList, risenAt: number, now: number): BackendList {
  const known = giveTimeToReturn(list, now)
  return {...list, known, risenAt, troubleAt: now, backAt: now, withheld: new Map()}
}

/** The store failed a call: what vanishes from now on proves nothing. */
export function noteStoreTrouble(list: BackendList, now: number): BackendList {
  return {...list, troubleAt: now, backAt: Infinity}
}

/** The store answers: vanished entries have a while from here to come back. */
export function noteStoreBack(list: BackendList, now: number): BackendList {
  if (list.backAt !== Infinity) return list
  return {...list, known: giveTimeToReturn(list, now), backAt: now}
}

/** What is in doubt has a while from now to come back. */
function giveTimeToReturn(list: BackendList, now: number): Map<string, KnownBackend> {
  const known = new Map(list.known)
  for (const [id, backend] of known) {
    if (backend.goneAt !== undefined) {
      known.set(id, {...backend, goneAt: now + RETURN_MS})
    }
  }
  return known
}

/**
 * The store served other boxes while it failed this one: what vanished did not lapse. Taking its own
 * trouble for the store's, a leader would send all boxes to servers that left.
 */
export function noteStoreServed(list: BackendList): BackendList {
  // What a copy lacks is in doubt whomever the store served.
  const untilReturn = list.risenAt + RETURN_MS
  const known = new Map(
    [...list.known].filter(
      ([, {goneAt}]) => goneAt === undefined || goneAt <= untilReturn
    )
  )
  return {...list, known, troubleAt: -Infinity, backAt: -Infinity}
}

/**
 * Takes the whole list as it was at the reading. Servers whose entries are there and `unreadable`
 * are not used: that is no lapse.
 */
export function takeBackends(
  list: BackendList,
  records: readonly BackendRecord[],
  reading: Reading,
  now: number,
  unreadable: ReadonlySet<string> = NONE
): BackendList {
  const left = noteLeaving(list, records)
  const gone = new Map(list.gone)
  const known = new Map<string, KnownBackend>()
  const withheld = new Map<string, BackendRecord>()
  const before = indexServers(list)
  const ended: string[] = []
  for (const record of records) {
    const last = before.get(record.server)
    // The list is older than what is known: its entry is that of a life that is over.
    if (isOver(list, last, record)) {
      if (last) known.set(last.record.id, last)
      continue
    }
    if (wasGone(gone, record, reading.at)) continue
    if (last && isCopiedLife(list, record, last, now)) {
      withheld.set(record.id, record)
      known.set(last.record.id, last)
      continue
    }
    if (isWithheld(list, record, last !== undefined, reading, now)) {
      withheld.set(record.id, record)
      continue
    }
    if (last) ended.push(...endedBy(record, last))
    forgetGone(gone, record)
    known.set(record.id, toKnown(record, left))
  }
  const listed = new Set(records.map(({server}) => server))
  for (const [id, backend] of list.known) {
    if (known.has(id)) continue
    const {server} = backend.record
    const lapsed = !listed.has(server) && !unreadable.has(server)
    const doubtful =
      lapsed && reading.source === "store" ? vanish(list, backend, now) : undefined
    if (doubtful) known.set(id, doubtful)
    else noteGone(gone, id, reading.at)
  }
  return {...list, known, left, gone, withheld, ended: addEnded(list, ended)}
}

/** Whether the record is of a life that another has followed. */
function isOver(
  {ended}: BackendList,
  last: KnownBackend | undefined,
  record: BackendRecord
): boolean {
  if (ended.has(record.id)) return true
  return last !== undefined && succeeds(last.record, record)
}

/** The life that ends as the record is taken, if it can be told from others of its server. */
function endedBy(record: BackendRecord, {record: last}: KnownBackend): string[] {
  return last.id !== record.id && tellsLife(last) ? [last.id] : []
}

function addEnded({ended}: BackendList, ids: readonly string[]): ReadonlySet<string> {
  return ids.length === 0 ? ended : new Set([...ended, ...ids].slice(-MAX_LEFT))
}

const NONE: ReadonlySet<string> = new Set()

/** The servers of a list, by name. */
export function indexServers({known}: BackendList): Map<string, KnownBackend> {
  return new Map([...known.values()].map(each => [each.record.server, each]))
}

/**
 * Takes one change, heard now. Without a record the entry is gone, of the life that is named, or of
 * whichever life where the server is.
 */
export function takeBackend(
  list: BackendList,
  id: string,
  record: BackendRecord | "unreadable" | undefined,
  reading: Reading,
  now: number
): BackendList {
  if (typeof record === "object") return takeRecord(list, record, reading, now)
  const withheld = new Map([...list.withheld].filter(([, each]) => !isOf(each, id)))
  const known = new Map(list.known)
  const gone = new Map(list.gone)
  const named = [...list.known.values()].filter(each => isOf(each.record, id))
  const lapses = record === undefined && reading.source === "store"
  for (const backend of named) {
    const life = backend.record.id
    const doubtful = lapses ? vanish(list, backend, now) : undefined
    if (doubtful) known.set(life, doubtful)
    else known.delete(life)
    if (!doubtful) noteGone(gone, life, reading.at)
  }
  if (named.length === 0) noteGone(gone, id, reading.at)
  return {...list, known, gone, withheld}
}

function takeRecord(
  list: BackendList,
  record: BackendRecord,
  reading: Reading,
  now: number
): BackendList {
  const {server} = record
  if (list.ended.has(record.id)) return list
  const isKnown = [...list.known.values()].some(each => each.record.server === server)
  if (isWithheld(list, record, isKnown, reading, now)) {
    return {...list, withheld: new Map(list.withheld).set(record.id, record)}
  }
  const known = new Map(list.known)
  const gone = new Map(list.gone)
  const left = noteLeaving(list, [record])
  const ended: string[] = []
  for (const other of list.known.values()) {
    const {id} = other.record
    if (other.record.server !== server || id === record.id) continue
    if (isCopiedLife(list, record, other, now)) {
      return {...list, withheld: new Map(list.withheld).set(record.id, record)}
    }
    if (succeeds(other.record, record)) return list
    ended.push(...endedBy(record, other))
    known.delete(id)
    noteGone(gone, id, reading.at)
  }
  known.set(record.id, toKnown(record, left))
  forgetGone(gone, record)
  // What was written after it in the same era is no copy's.
  const withheld = new Map(
    [...list.withheld].filter(
      ([, each]) => each.server !== record.server || isLater(each, record)
    )
  )
  return {...list, known, left, gone, withheld, ended: addEnded(list, ended)}
}

function noteGone(gone: Map<string, number>, id: string, at: number): void {
  gone.set(id, Math.max(at, gone.get(id) ?? -Infinity))
  if (gone.size <= MAX_LEFT) return
  const [oldest] = gone.keys()
  if (oldest !== undefined) gone.delete(oldest)
}

/** Whether the life, or its server whichever life it was in, was known to be gone then or later. */
function wasGone(
  gone: ReadonlyMap<string, number>,
  {id, server}: BackendRecord,
  at: number
): boolean {
  return [gone.get(id), gone.get(server)].some(
    goneAt => goneAt !== undefined && goneAt >= at
  )
}

function forgetGone(gone: Map<string, number>, {id, server}: BackendRecord): void {
  gone.delete(id)
  gone.delete(server)
}

function noteLeaving(
  {left}: BackendList,
  records: readonly BackendRecord[]
): ReadonlySet<string> {
  const leaving = records.filter(each => each.leaving && !left.has(each.id))
  if (leaving.length === 0) return left
  const all = [...left, ...leaving.map(({id}) => id)]
  return new Set(all.slice(-MAX_LEFT))
}

function toKnown(record: BackendRecord, left: ReadonlySet<string>): KnownBackend {
  const leaving = record.leaving || left.has(record.id)
  return {
    record: leaving === record.leaving ? record : {...record, leaving},
    goneAt: undefined
  }
}

/** A server said itself that it leaves: no list that is older than its next life makes it usable again. */
export function noteSaidLeaving(list: BackendList, id: string): BackendList {
  const backend = list.known.get(id)
  if (backend?.record.leaving || (!backend && list.left.has(id))) return list
  const left = new Set([...list.left, id].slice(-MAX_LEFT))
  if (!backend) return {...list, left}
  const record = {...backend.record, leaving: true}
  return {...list, left, known: new Map(list.known).set(id, {...backend, record})}
}

/** Drops what did not come back in time, and takes what has outlasted the time of a copy's entries. */
export function expireBackends(list: BackendList, now: number): BackendList {
  const due = [...list.known].filter(
    ([, {goneAt}]) => goneAt !== undefined && goneAt <= now
  )
  const doubtful = now < list.copiedUntil || mayBeCopied(list.risenAt, now)
  const released = doubtful ? NO_RECORDS : list.withheld
  if (due.length === 0 && released.size === 0) return list
  const known = new Map(list.known)
  for (const [id] of due) known.delete(id)
  const withheld = released.size > 0 ? NO_RECORDS : list.withheld
  let next: BackendList = {...list, known, withheld}
  for (const record of released.values()) {
    next = takeRecord(next, record, {source: "box", at: now}, now)
  }
  return next
}

const NO_RECORDS: ReadonlyMap<string, BackendRecord> = new Map()

function vanish(
  list: BackendList,
  backend: KnownBackend,
  now: number
): KnownBackend | undefined {
  if (backend.goneAt !== undefined) return backend
  // A server that said that it leaves did not lapse.
  if (backend.record.leaving) return undefined
  if (list.backAt === Infinity) return {...backend, goneAt: Infinity}
  const lapsedIn = list.troubleAt < now - LAPSE_WINDOW_MS ? -Infinity : list.backAt
  const until = Math.max(lapsedIn, list.risenAt) + RETURN_MS
  return until > now ? {...backend, goneAt: until} : undefined
}

/** Whether requests may be sent to the backend server. */
export function isUsable({known}: BackendList, id: string): boolean {
  const backend = known.get(id)
  return backend !== undefined && !backend.record.leaving
}
