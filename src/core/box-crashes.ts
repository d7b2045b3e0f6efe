/**
 * What a box concludes from broken attempts: which server crashed, which requests may have been the cause, and
 * which of these are sent to no server any more.
 */
import type {CrashChanges, CrashNews} from "../types/crash-messages.js"
import type {BackendRecord} from "../types/fleet.js"
import {giveUp} from "./box-ends.js"
import {type Attempt, type BoxRequest, type BoxServing, note} from "./box-state.js"

/** Callers of a request that is stopped may come back after this at the earliest, milliseconds. */
const LEAST_RETRY_MS = 5_000

/** Where news of crashes comes from. */
export type CrashSource =
  /** The leader's whole list, as a link to it begins. */
  | "leader-all"
  | "leader"
  /** A box that follows this one. */
  | "box"
  /** What an earlier leader stored. */
  | "store"

/** Whether the request is to be sent to no server. */
export function isStopped(
  box: BoxServing,
  {arrival: {fingerprint}, trial, attempt, attempts}: BoxRequest
): boolean {
  const isFirstSend = attempts === (attempt ? 1 : 0)
  if (fingerprint === undefined || (trial && isFirstSend)) return false
  return box.crashes.isStopped(fingerprint)
}

/** Ends a request that is stopped, unless it is the one to be tried now; true: it did. */
export function refuseIfStopped(
  box: BoxServing,
  request: BoxRequest,
  now: number
): boolean {
  if (!isStopped(box, request)) return false
  const {fingerprint = ""} = request.arrival
  const waitMs = box.crashes.trialInMs(fingerprint, now)
  // One box alone tries, and what it begins is told before it is sent.
  if (waitMs === 0 && box.leads && box.crashes.mayTry(now)) {
    box.crashes.noteTrial(fingerprint, now)
    request.trial = true
    note(box, "request-tried", {fingerprint, request: request.arrival.name})
    tellChanges(box, {records: box.crashes.tell(now, [fingerprint]), cleared: []})
    return false
  }
  const reason = request.runs > 0 ? "unknown" : "crashes-servers"
  giveUp(box, request, reason, now, Math.max(LEAST_RETRY_MS, waitMs))
  return true
}

/** A server answered the request whole. */
export function noteAnswered(
  box: BoxServing,
  {arrival: {fingerprint}}: BoxRequest,
  {backend}: Attempt,
  now: number
): void {
  if (fingerprint === undefined) return
  box.crashWatch.noteAnswered(fingerprint, backend, now)
  box.survivors.noteAnswered(fingerprint, backend, now)
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
  if (!up) return
  box.crashWatch.noteReached(backend, now)
  box.survivors.noteHeard(backend, now)
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
  const survived = records
    .map(({fingerprint}) => fingerprint)
    .filter(fingerprint => box.survivors.has(fingerprint))
  if (survived.length > 0) tellChanges(box, {records: [], cleared: survived})
  const changed = records
    .filter(({fingerprint}) => !survived.includes(fingerprint))
    .filter(record => mergeRecord(box, record, now))
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
  box.crashes.expire(now)
  const suspects = box.crashes.fingerprints()
  const looks = suspects.flatMap(each => box.survivors.takeLook(each, now) ?? [])
  for (const backend of new Set([...looks, ...box.crashWatch.takeLooks(now)])) {
    const record = findUnannounced(box, backend)
    if (record) askWhetherUp(box, record)
  }
  const cleared = suspects.filter(fingerprint => box.survivors.has(fingerprint))
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
  if (attempt.headed || !isStopped(box, request)) return false
  const ran = attempt.started || request.runs > 0
  const waitMs = box.crashes.trialInMs(request.arrival.fingerprint ?? "", now)
  giveUp(box, request, ran ? "unknown" : "crashes-servers", now, waitMs)
  return true
}

function confirmCrash(box: BoxServing, backend: string, now: number): void {
  const inProgress = [...box.requests.values()]
    .filter(({attempt}) => attempt?.started === true && attempt.backend === backend)
    .flatMap(({arrival: {fingerprint}}) => fingerprint ?? [])
  const ended = box.crashWatch.takeCrash(backend, now)
  const answered = box.survivors.takeCrash(backend, now)
  const suspects = [...new Set([...inProgress, ...ended, ...answered])].filter(
    fingerprint => !box.survivors.has(fingerprint)
  )
  const added = suspects.filter(fingerprint => addCrash(box, fingerprint, backend, now))
  if (added.length === 0) return
  note(box, "server-crashed", {backend, suspects: added.length})
  tellChanges(box, {records: box.crashes.tell(now, added), cleared: []})
}

function mergeRecord(box: BoxServing, record: CrashNews, now: number): boolean {
  return noteIfStopped(box, record.fingerprint, () => box.crashes.merge(record, now))
}

function addCrash(
  box: BoxServing,
  fingerprint: string,
  backend: string,
  now: number
): boolean {
  const add = (): boolean => box.crashes.add(fingerprint, backend, now)
  return noteIfStopped(box, fingerprint, add)
}

function noteIfStopped(
  box: BoxServing,
  fingerprint: string,
  change: () => boolean
): boolean {
  const wasStopped = box.crashes.isStopped(fingerprint)
  const isNews = change()
  if (!wasStopped && box.crashes.isStopped(fingerprint)) {
    note(box, "request-stopped", {fingerprint})
  }
  return isNews
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
