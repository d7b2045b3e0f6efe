/**
 * What a box concludes from broken attempts: which server crashed, which requests may have been the cause, and
 * which of these are sent to no server any more.
 */
import type {CrashChanges, CrashNews} from "../types/crash-messages.js"
import type {BackendRecord} from "../types/fleet.js"
import {giveUp} from "./box-ends.js"
import {type Attempt, type BoxRequest, type BoxServing, note} from "./box-state.js"

/** Where news of crashes comes from. */
export type CrashSource =
  /** The leader's whole list, as a link to it begins. */
  | "leader-all"
  | "leader"
  /** A box that follows this one. */
  | "box"
  /** What an earlier leader stored. */
  | "store"

/** How long the request is to be sent to no server, milliseconds; 0: it may be sent. */
export function stoppedForMs(
  box: BoxServing,
  {arrival: {fingerprint}}: BoxRequest,
  now: number
): number {
  return fingerprint === undefined ? 0 : box.crashes.stoppedForMs(fingerprint, now)
}

/** A server answered the request whole. */
export function noteAnswered(
  box: BoxServing,
  {arrival: {fingerprint}}: BoxRequest,
  {backend}: Attempt,
  now: number
): void {
  if (fingerprint) box.crashWatch.noteAnswered(fingerprint, backend, now)
}

/**
 * The connection of an attempt broke, or none came up. Whether the server crashed shows by a new one: its
 * address refuses it. A cut link or a reset of connections does not look so.
 */
export function suspectCrash(box: BoxServing, backend: string, now: number): void {
  const record = findUnannounced(box, backend)
  if (!record || !box.crashWatch.endedLately(backend, now)) return
  if (box.crashWatch.noteBroken(backend, now)) askWhetherUp(box, record)
}

/** What a new connection to the server showed; undefined: it neither came up nor was refused. */
export function takeProbe(
  box: BoxServing,
  backend: string,
  up: boolean | undefined,
  now: number
): void {
  if (up === false) return confirmCrash(box, backend, now)
  if (up) box.crashWatch.noteReached(backend, now)
}

/** A server is known to have ended, since it is in its next life. */
export function noteEndedLife(box: BoxServing, backend: string, now: number): void {
  if (findUnannounced(box, backend)) confirmCrash(box, backend, now)
}

/** Takes what other boxes concluded. */
export function takeCrashes(
  box: BoxServing,
  {records, cleared}: CrashChanges,
  source: CrashSource,
  now: number
): void {
  if (source === "leader-all") {
    const missing = box.crashes.tellMissing(records, now)
    if (missing.length > 0) tellChanges(box, {records: missing, cleared: []})
  }
  const changed = records.filter(record => mergeRecord(box, record, now))
  const clearedHere = cleared.filter(fingerprint => box.crashes.clear(fingerprint))
  // Requests that were in progress here as these servers crashed count, too.
  for (const life of new Set(changed.flatMap(({lives}) => lives))) {
    confirmCrash(box, life, now)
  }
  const isNews = changed.length > 0 || clearedHere.length > 0
  if (isNews && (source === "box" || source === "store")) {
    tellChanges(box, {
      records: box.crashes.tell(
        now,
        changed.map(({fingerprint}) => fingerprint)
      ),
      cleared: clearedHere
    })
  }
}

/** What time alone brings: servers to look at again, and requests that are known to crash none. */
export function tickCrashes(box: BoxServing, now: number): void {
  for (const backend of box.crashWatch.takeLooks(now)) {
    const record = findUnannounced(box, backend)
    if (record) askWhetherUp(box, record)
  }
  if (box.crashes.size === 0) return
  box.crashes.expire(now)
  const cleared = box.crashes
    .fingerprints()
    .filter(fingerprint => box.crashWatch.hasSurvivor(fingerprint, now))
  if (cleared.length === 0) return
  for (const fingerprint of cleared) {
    box.crashes.clear(fingerprint)
    note(box, "request-cleared", {fingerprint})
  }
  tellChanges(box, {records: [], cleared})
}

/** Ends an attempt of a request that is stopped, unless its answer has begun; true: it did. */
export function endIfStopped(
  box: BoxServing,
  request: BoxRequest,
  attempt: Attempt,
  now: number
): boolean {
  const forMs = stoppedForMs(box, request, now)
  if (attempt.headed || forMs === 0) return false
  const ran = attempt.started || request.runs > 0
  giveUp(box, request, ran ? "unknown" : "crashes-servers", now, forMs)
  return true
}

function confirmCrash(box: BoxServing, backend: string, now: number): void {
  const inProgress = [...box.requests.values()]
    .filter(({attempt}) => attempt?.started === true && attempt.backend === backend)
    .flatMap(({arrival: {fingerprint}}) => fingerprint ?? [])
  const ended = box.crashWatch.takeCrash(backend, now)
  const suspects = [...new Set([...inProgress, ...ended])].filter(
    fingerprint => !box.crashWatch.hasSurvivor(fingerprint, now)
  )
  const added = suspects.filter(fingerprint => addCrash(box, fingerprint, backend, now))
  if (added.length === 0) return
  note(box, "server-crashed", {backend, suspects: added.length})
  tellChanges(box, {records: box.crashes.tell(now, added), cleared: []})
}

function mergeRecord(box: BoxServing, record: CrashNews, now: number): boolean {
  const wasStopped = box.crashes.stoppedForMs(record.fingerprint, now) > 0
  const isNews = box.crashes.merge(record, now)
  if (!wasStopped) noteIfStopped(box, record.fingerprint, now)
  return isNews
}

function addCrash(
  box: BoxServing,
  fingerprint: string,
  backend: string,
  now: number
): boolean {
  const wasStopped = box.crashes.stoppedForMs(fingerprint, now) > 0
  const isNews = box.crashes.add(fingerprint, backend, now)
  if (!wasStopped) noteIfStopped(box, fingerprint, now)
  return isNews
}

function noteIfStopped(box: BoxServing, fingerprint: string, now: number): void {
  const forMs = box.crashes.stoppedForMs(fingerprint, now)
  if (forMs === 0) return
  note(box, "request-stopped", {fingerprint, forMs: Math.round(forMs)})
}

function tellChanges(box: BoxServing, changes: CrashChanges): void {
  box.effects.push({type: "crashes", changes})
}

function askWhetherUp(box: BoxServing, backend: BackendRecord): void {
  box.effects.push({type: "probe", backend})
}

/** The server, if it is listed and has not said that it leaves: a planned end is no crash. */
function findUnannounced(box: BoxServing, id: string): BackendRecord | undefined {
  const record = box.backends.known.get(id)?.record
  return record?.leaving === false ? record : undefined
}
