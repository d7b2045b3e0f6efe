/**
 * A box's list of backend servers. While the key-value service is unavailable, the entry
 * of a live server may lapse. An entry that disappears at such a time is kept until the
 * server has had time to write it again.
 */
import type {BackendRecord} from "../types/fleet.js"
import {mayBeRestoredIncarnation, shouldWithhold} from "./restored-entries.js"
import {matchesName, succeeds, hasIncarnationId} from "./server-incarnations.js"
import {isLaterPosition, mayBeRestored, RESTORED_ENTRY_MS} from "./eras.js"

/** Time that servers have to write their entries again after the store recovers. */
export const RETURN_GRACE_MS = 2_000

/** Time for which a failure of the store may explain a missing entry. */
export const LAPSE_WINDOW_MS = 6_000

/** More than the servers that leave while an older store snapshot may still arrive. */
const MAX_REMEMBERED_SERVERS = 2_000

/** The store read that a list or an update of backend servers comes from. */
export interface StoreRead {
  /**
   * Whether this box or another one read the store. A list from another box is final:
   * that box has waited for missing entries itself, and this box's failures to read the
   * store do not affect it.
   */
  readonly source: "store" | "box"
  /** Lower bound of the time of the read, by the clock of this box. */
  readonly readAt: number
  /**
   * Servers that the other box keeps although its last read lacked their entries, with
   * the time of the last read that had them.
   */
  readonly unlisted?: ReadonlyMap<string, number>
}

/** A listed entry, or a missing one that may have lapsed although its server lives. */
export interface KnownBackend {
  readonly record: BackendRecord
  /** Lower bound of the time of the last read that had the entry. */
  readonly listedAt: number
  /** Time of the first read that lacked the entry. Undefined if it is listed. */
  readonly missingAt: number | undefined
  /** When a missing entry is removed. Undefined if it is listed. */
  readonly expiresAt: number | undefined
}

export interface BackendList {
  readonly known: ReadonlyMap<string, KnownBackend>
  /** When a call to the store last failed. -Infinity if never. */
  readonly storeFailedAt: number
  /** When the store first answered after that. Infinity while it has not. */
  readonly storeRecoveredAt: number
  /** Incarnations that announced that they leave. An older list can't undo this. */
  readonly leavingIds: ReadonlySet<string>
  /** Removed entries, with the time of the read that lacked them. */
  readonly removals: ReadonlyMap<string, number>
  /** Incarnations that a later one replaced. They never return, even with a backup. */
  readonly endedIncarnations: ReadonlySet<string>
  /** Upper bound of the time of the last restore from a backup. -Infinity if none. */
  readonly restoredAt: number
  /**
   * Set if this box started after a restore: until then every entry that it reads may be
   * a restored one. -Infinity otherwise.
   */
  readonly restoredEntriesUntil: number
  /** Entries that may be stale, of servers that left or restarted since the backup. */
  readonly withheld: ReadonlyMap<string, BackendRecord>
}

export function createBackendList(): BackendList {
  return {
    known: new Map(),
    storeFailedAt: -Infinity,
    storeRecoveredAt: -Infinity,
    leavingIds: new Set(),
    removals: new Map(),
    endedIncarnations: new Set(),
    restoredAt: -Infinity,
    restoredEntriesUntil: -Infinity,
    withheld: new Map()
  }
}

/** Sets until when every entry that this box reads may be a restored one. */
export function setRestoredEntriesUntil(
  list: BackendList,
  restoredEntriesUntil: number
): BackendList {
  return {...list, restoredEntriesUntil}
}

/**
 * Records a restore of the store from a backup that is some seconds old. Servers may have
 * written their entries after the backup, and get as much time to write them again as
 * after an outage.
 */
export function recordRestore(
  list: BackendList,
  restoredAt: number,
  now: number
): BackendList {
  const known = restartGracePeriods(list, now)
  return {
    ...list,
    known,
    restoredAt,
    storeFailedAt: now,
    storeRecoveredAt: now,
    withheld: new Map()
  }
}

/** Records a failed call to the store. Entries missing from now on may have lapsed. */
export function recordStoreFailure(list: BackendList, now: number): BackendList {
  return {...list, storeFailedAt: now, storeRecoveredAt: Infinity}
}

/** Records that the store answers again. Missing entries get a new grace period. */
export function recordStoreRecovery(list: BackendList, now: number): BackendList {
  if (list.storeRecoveredAt !== Infinity) return list
  return {...list, known: restartGracePeriods(list, now), storeRecoveredAt: now}
}

/** Gives all missing entries a new grace period. */
function restartGracePeriods(list: BackendList, now: number): Map<string, KnownBackend> {
  const known = new Map(list.known)
  for (const [id, backend] of known) {
    if (backend.expiresAt !== undefined) {
      known.set(id, {...backend, expiresAt: now + RETURN_GRACE_MS})
    }
  }
  return known
}

/**
 * Records that the store served other boxes while calls of this one failed, so that
 * missing entries did not lapse. Otherwise a leader with a faulty link to the store would
 * list servers that have left, and all boxes would send them requests.
 */
export function recordStoreServedOthers(list: BackendList): BackendList {
  // Entries that a backup lacks stay uncertain, even if the store served other boxes.
  const graceEndsAt = list.restoredAt + RETURN_GRACE_MS
  const next = removeMissing(
    list,
    ({expiresAt}) => expiresAt !== undefined && expiresAt > graceEndsAt
  )
  return {...next, storeFailedAt: -Infinity, storeRecoveredAt: -Infinity}
}

/** Removes the chosen missing entries, as of the first read that lacked them. */
function removeMissing(
  list: BackendList,
  isChosen: (backend: KnownBackend) => boolean
): BackendList {
  const known = new Map(list.known)
  const removals = new Map(list.removals)
  for (const [id, backend] of list.known) {
    if (backend.missingAt === undefined || !isChosen(backend)) continue
    known.delete(id)
    recordRemoval(removals, id, backend.missingAt)
  }
  return {...list, known, removals}
}

/**
 * Applies a whole list. Servers whose entries are `unreadable` are removed at once, since
 * their entries did not lapse.
 */
export function applyBackendList(
  list: BackendList,
  records: readonly BackendRecord[],
  storeRead: StoreRead,
  now: number,
  unreadable: ReadonlySet<string> = NONE
): BackendList {
  const leavingIds = addLeaving(list, records)
  const removals = new Map(list.removals)
  const known = new Map<string, KnownBackend>()
  const withheld = new Map<string, BackendRecord>()
  const previousByServer = indexByServer(list)
  const ended: string[] = []
  for (const record of records) {
    const previous = previousByServer.get(record.server)
    // The list is older than a known one: this incarnation has ended since.
    if (isEnded(list, previous, record)) {
      if (previous) known.set(previous.record.id, previous)
      continue
    }
    const listedAt = listedAtOf(storeRead, record)
    if (wasRemovedSince(removals, record, listedAt)) continue
    if (previous && mayBeRestoredIncarnation(list, record, previous, now)) {
      withheld.set(record.id, record)
      known.set(previous.record.id, previous)
      continue
    }
    if (shouldWithhold(list, record, previous !== undefined, storeRead, now)) {
      withheld.set(record.id, record)
      continue
    }
    if (previous) ended.push(...listSuperseded(record, previous))
    clearRemoval(removals, record)
    known.set(record.id, createKnownBackend(record, leavingIds, listedAt))
  }
  const listed = new Set(records.map(({server}) => server))
  for (const [id, backend] of list.known) {
    if (known.has(id)) continue
    const {server} = backend.record
    const mayHaveLapsed = !listed.has(server) && !unreadable.has(server)
    const retained =
      mayHaveLapsed && storeRead.source === "store"
        ? retainMissing(list, backend, storeRead.readAt, now)
        : undefined
    if (retained) known.set(id, retained)
    else recordRemoval(removals, id, storeRead.readAt)
  }
  return {
    ...list,
    known,
    leavingIds,
    removals,
    withheld,
    endedIncarnations: addEnded(list, ended)
  }
}

/** Whether a later incarnation has replaced that of the record. */
function isEnded(
  {endedIncarnations}: BackendList,
  previous: KnownBackend | undefined,
  record: BackendRecord
): boolean {
  if (endedIncarnations.has(record.id)) return true
  return previous !== undefined && succeeds(previous.record, record)
}

/** Returns the incarnation that the record replaces, if it has an id of its own. */
function listSuperseded(record: BackendRecord, {record: last}: KnownBackend): string[] {
  return last.id !== record.id && hasIncarnationId(last) ? [last.id] : []
}

function addEnded(
  {endedIncarnations}: BackendList,
  ids: readonly string[]
): ReadonlySet<string> {
  return ids.length === 0
    ? endedIncarnations
    : new Set([...endedIncarnations, ...ids].slice(-MAX_REMEMBERED_SERVERS))
}

const NONE: ReadonlySet<string> = new Set()

/** The backend servers of a list by server name. */
export function indexByServer({known}: BackendList): Map<string, KnownBackend> {
  return new Map([...known.values()].map(backend => [backend.record.server, backend]))
}

/**
 * Applies a change of one entry. Without a record the entry is removed: that of
 * incarnation `id`, or of any incarnation if `id` names a server.
 */
export function applyBackendUpdate(
  list: BackendList,
  id: string,
  record: BackendRecord | "unreadable" | undefined,
  storeRead: StoreRead,
  now: number
): BackendList {
  if (typeof record === "object") return applyRecord(list, record, storeRead, now)
  const withheld = new Map(
    [...list.withheld].filter(([, held]) => !matchesName(held, id))
  )
  const known = new Map(list.known)
  const removals = new Map(list.removals)
  const matching = [...list.known.values()].filter(backend =>
    matchesName(backend.record, id)
  )
  const mayHaveLapsed = record === undefined && storeRead.source === "store"
  for (const backend of matching) {
    const incarnation = backend.record.id
    const retained = mayHaveLapsed
      ? retainMissing(list, backend, storeRead.readAt, now)
      : undefined
    if (retained) known.set(incarnation, retained)
    else known.delete(incarnation)
    if (!retained) recordRemoval(removals, incarnation, storeRead.readAt)
  }
  if (matching.length === 0) recordRemoval(removals, id, storeRead.readAt)
  return {...list, known, removals, withheld}
}

function applyRecord(
  list: BackendList,
  record: BackendRecord,
  storeRead: StoreRead,
  now: number
): BackendList {
  const {server} = record
  if (list.endedIncarnations.has(record.id)) return list
  const listedAt = listedAtOf(storeRead, record)
  const isFromBox = storeRead.source === "box"
  if (isFromBox && wasRemovedSince(list.removals, record, listedAt)) return list
  const isKnown = [...list.known.values()].some(
    backend => backend.record.server === server
  )
  if (shouldWithhold(list, record, isKnown, storeRead, now)) {
    return {...list, withheld: new Map(list.withheld).set(record.id, record)}
  }
  const known = new Map(list.known)
  const removals = new Map(list.removals)
  const leavingIds = addLeaving(list, [record])
  const ended: string[] = []
  for (const other of list.known.values()) {
    const {id} = other.record
    if (other.record.server !== server || id === record.id) continue
    if (mayBeRestoredIncarnation(list, record, other, now)) {
      return {...list, withheld: new Map(list.withheld).set(record.id, record)}
    }
    if (succeeds(other.record, record)) return list
    ended.push(...listSuperseded(record, other))
    known.delete(id)
    recordRemoval(removals, id, storeRead.readAt)
  }
  known.set(record.id, createKnownBackend(record, leavingIds, listedAt))
  clearRemoval(removals, record)
  // An entry written later in the same era is not from the backup. Drop older ones.
  const withheld = new Map(
    [...list.withheld].filter(
      ([, held]) => held.server !== record.server || isLaterPosition(held, record)
    )
  )
  return {
    ...list,
    known,
    leavingIds,
    removals,
    withheld,
    endedIncarnations: addEnded(list, ended)
  }
}

function recordRemoval(removals: Map<string, number>, id: string, at: number): void {
  removals.set(id, Math.max(at, removals.get(id) ?? -Infinity))
  if (removals.size <= MAX_REMEMBERED_SERVERS) return
  const [oldest] = removals.keys()
  if (oldest !== undefined) removals.delete(oldest)
}

/** Returns when the entry of a record was last listed, at the earliest. */
function listedAtOf({readAt, unlisted}: StoreRead, {id}: BackendRecord): number {
  return Math.min(readAt, unlisted?.get(id) ?? readAt)
}

/** Whether a read at `at` or later lacked the incarnation, or every one of its server. */
function wasRemovedSince(
  removals: ReadonlyMap<string, number>,
  {id, server}: BackendRecord,
  at: number
): boolean {
  return [removals.get(id), removals.get(server)].some(
    removedAt => removedAt !== undefined && removedAt >= at
  )
}

function clearRemoval(removals: Map<string, number>, {id, server}: BackendRecord): void {
  removals.delete(id)
  removals.delete(server)
}

function addLeaving(
  {leavingIds}: BackendList,
  records: readonly BackendRecord[]
): ReadonlySet<string> {
  const leaving = records.filter(record => record.leaving && !leavingIds.has(record.id))
  if (leaving.length === 0) return leavingIds
  const all = [...leavingIds, ...leaving.map(({id}) => id)]
  return new Set(all.slice(-MAX_REMEMBERED_SERVERS))
}

function createKnownBackend(
  record: BackendRecord,
  leavingIds: ReadonlySet<string>,
  listedAt: number
): KnownBackend {
  const leaving = record.leaving || leavingIds.has(record.id)
  return {
    record: leaving === record.leaving ? record : {...record, leaving},
    listedAt,
    missingAt: undefined,
    expiresAt: undefined
  }
}

/** Records a server's notice that it leaves. Only its next incarnation can be used. */
export function recordLeaving(list: BackendList, id: string): BackendList {
  const backend = list.known.get(id)
  if (backend?.record.leaving || (!backend && list.leavingIds.has(id))) return list
  const leavingIds = new Set([...list.leavingIds, id].slice(-MAX_REMEMBERED_SERVERS))
  if (!backend) return {...list, leavingIds}
  const record = {...backend.record, leaving: true}
  return {...list, leavingIds, known: new Map(list.known).set(id, {...backend, record})}
}

/** Removes expired missing entries. Applies withheld ones that can no longer be stale. */
export function expireBackends(list: BackendList, now: number): BackendList {
  const isExpired = ({expiresAt}: KnownBackend): boolean =>
    expiresAt !== undefined && expiresAt <= now
  const areUncertain =
    now < list.restoredEntriesUntil || mayBeRestored(list.restoredAt, now)
  const released = areUncertain ? NO_RECORDS : list.withheld
  const hasExpired = [...list.known.values()].some(isExpired)
  if (!hasExpired && released.size === 0) return list
  const withheld = released.size > 0 ? NO_RECORDS : list.withheld
  let next: BackendList = {...removeMissing(list, isExpired), withheld}
  for (const record of released.values()) {
    next = applyRecord(next, record, {source: "box", readAt: now}, now)
  }
  return next
}

const NO_RECORDS: ReadonlyMap<string, BackendRecord> = new Map()

function retainMissing(
  list: BackendList,
  backend: KnownBackend,
  missingAt: number,
  now: number
): KnownBackend | undefined {
  if (backend.expiresAt !== undefined) return backend
  // The entry of a server that announced that it leaves did not lapse.
  if (backend.record.leaving) return undefined
  if (list.storeRecoveredAt === Infinity) {
    return {...backend, missingAt, expiresAt: Infinity}
  }
  const lapseGraceFrom =
    list.storeFailedAt < now - LAPSE_WINDOW_MS ? -Infinity : list.storeRecoveredAt
  const expiresAt = Math.max(lapseGraceFrom, list.restoredAt) + RETURN_GRACE_MS
  return expiresAt > now ? {...backend, missingAt, expiresAt} : undefined
}

/**
 * Returns the time until withheld servers of the service can no longer be stale. Infinity if
 * none is withheld.
 */
export function withheldForMs(
  {withheld, restoredAt, restoredEntriesUntil}: BackendList,
  service: string,
  now: number
): number {
  const isWithheld = [...withheld.values()].some(record => record.service === service)
  if (!isWithheld) return Infinity
  const certainAt = Math.max(restoredAt + RESTORED_ENTRY_MS, restoredEntriesUntil)
  return Math.max(0, certainAt - now)
}

/** Whether requests may be sent to the backend server. */
export function isUsable({known}: BackendList, id: string): boolean {
  const backend = known.get(id)
  return backend !== undefined && !backend.record.leaving
}
