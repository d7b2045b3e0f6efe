/**
 * Detects crashes of backend servers from broken attempts, finds the requests that may
 * have caused them, and quarantines requests that crash servers repeatedly.
 */
import type {CrashUpdate, CrashReport} from "../types/crash-messages.js"
import type {BackendRecord} from "../types/fleet.js"
import {failRequest} from "./box-ends.js"
import {
  type Attempt,
  type BoxRequest,
  type BoxServing,
  logEvent,
  openAttempts
} from "./box-state.js"

/** Shortest time after which callers of a quarantined request may retry. */
const MIN_RETRY_AFTER_MS = 5_000

/** The source of crash changes. */
export type CrashSource =
  /** The leader's complete list, sent when a link to it starts. */
  | "leader-all"
  | "leader"
  /** A follower of this box. */
  | "box"
  /** The record that an earlier leader stored. */
  | "store"

/** Whether the request is quarantined and this send is not its trial. */
export function isQuarantined(
  box: BoxServing,
  {arrival: {fingerprint}, isTrial, attempt, attempts}: BoxRequest
): boolean {
  const isFirstSend = attempts === (attempt ? 1 : 0)
  if (fingerprint === undefined || (isTrial && isFirstSend)) return false
  return box.crashes.isQuarantined(fingerprint)
}

/**
 * Refuses a quarantined request, unless it can be sent as a trial now. Returns whether it
 * did.
 */
export function refuseIfQuarantined(
  box: BoxServing,
  request: BoxRequest,
  now: number
): boolean {
  if (!isQuarantined(box, request)) return false
  const {fingerprint = ""} = request.arrival
  const waitMs = box.crashes.trialInMs(fingerprint, now)
  // Only the leader starts trials, and it reports a trial before sending the request.
  if (waitMs === 0 && box.isLeader && box.crashes.canTry(now)) {
    box.crashes.recordTrial(fingerprint, now)
    request.isTrial = true
    logEvent(box, "request-tried", {fingerprint, request: request.arrival.name})
    reportChanges(box, {records: box.crashes.toMessages(now, [fingerprint]), cleared: []})
    return false
  }
  const reason = request.runs > 0 ? "unknown" : "crashes-servers"
  failRequest(box, request, reason, now, Math.max(MIN_RETRY_AFTER_MS, waitMs))
  return true
}

/** Records that a server answered the request completely. */
export function recordCompleteAnswer(
  box: BoxServing,
  {arrival: {fingerprint}}: BoxRequest,
  {backend}: Attempt,
  now: number
): void {
  if (fingerprint === undefined) return
  box.crashWatch.recordAnswered(fingerprint, backend, now)
  box.clearedRequests.recordAnswered(fingerprint, backend, now)
}

/**
 * Handles a connection that broke or could not be opened. If the server crashed, its
 * address refuses a new connection, unlike after a cut link or a connection reset; a
 * probe tells these apart.
 */
export function suspectCrash(box: BoxServing, backend: string, now: number): void {
  const record = findIfNotLeaving(box, backend)
  if (!record || !box.crashWatch.hasRecentlyEnded(backend, now)) return
  if (box.crashWatch.recordBroken(backend, now)) probe(box, record)
}

/**
 * Handles the result of a probe. Undefined if the connection was neither accepted nor
 * refused.
 */
export function handleProbeResult(
  box: BoxServing,
  backend: string,
  up: boolean | undefined,
  now: number
): void {
  if (up === false) return confirmCrash(box, backend, now)
  if (!up) return
  box.crashWatch.recordReachable(backend, now)
  box.clearedRequests.recordAlive(backend, now)
}

/** Handles the end of a server's incarnation, shown by its next incarnation. */
export function handleEndedIncarnation(
  box: BoxServing,
  backend: string,
  now: number
): void {
  if (findIfNotLeaving(box, backend)) confirmCrash(box, backend, now)
}

/** Applies crash changes from other boxes or the store. */
export function applyCrashChanges(
  box: BoxServing,
  {records, cleared}: CrashUpdate,
  source: CrashSource,
  now: number
): void {
  if (source === "leader-all") {
    const missing = box.crashes.listMissing(records, now)
    if (missing.length > 0) reportChanges(box, {records: missing, cleared: []})
  }
  const survived = records
    .map(({fingerprint}) => fingerprint)
    .filter(fingerprint => box.clearedRequests.isCleared(fingerprint))
  if (survived.length > 0) reportChanges(box, {records: [], cleared: survived})
  const changed = records
    .filter(({fingerprint}) => !survived.includes(fingerprint))
    .filter(record => mergeRecord(box, record, now))
  const clearedHere = cleared.filter(fingerprint => box.crashes.clear(fingerprint))
  // Requests of this box that were in progress at these servers are suspects, too.
  for (const incarnation of new Set(changed.flatMap(({lives}) => lives))) {
    confirmCrash(box, incarnation, now)
  }
  const hasChanged = changed.length > 0 || clearedHere.length > 0
  if (hasChanged && (source === "box" || source === "store")) {
    reportChanges(box, {
      records: box.crashes.toMessages(
        now,
        changed.map(({fingerprint}) => fingerprint)
      ),
      cleared: clearedHere
    })
  }
}

/**
 * Periodic work: probes servers that may have crashed, and clears requests that servers
 * have outlived.
 */
export function tickCrashes(box: BoxServing, now: number): void {
  box.crashes.expire(now)
  const suspects = box.crashes.fingerprints()
  const toProbe = suspects.flatMap(
    each => box.clearedRequests.takeDueProbe(each, now) ?? []
  )
  for (const backend of new Set([...toProbe, ...box.crashWatch.takeDueProbes(now)])) {
    const record = findIfNotLeaving(box, backend)
    if (record) probe(box, record)
  }
  const cleared = suspects.filter(fingerprint =>
    box.clearedRequests.isCleared(fingerprint)
  )
  if (cleared.length === 0) return
  for (const fingerprint of cleared) {
    box.crashes.clear(fingerprint)
    logEvent(box, "request-cleared", {fingerprint})
  }
  reportChanges(box, {records: [], cleared})
}

/**
 * Fails a quarantined request whose attempt has no answer yet. Returns whether it did.
 */
export function endIfQuarantined(
  box: BoxServing,
  request: BoxRequest,
  attempt: Attempt,
  now: number
): boolean {
  if (attempt.headReceived || !isQuarantined(box, request)) return false
  const mayHaveRun = attempt.started || request.runs > 0
  const waitMs = box.crashes.trialInMs(request.arrival.fingerprint ?? "", now)
  failRequest(box, request, mayHaveRun ? "unknown" : "crashes-servers", now, waitMs)
  return true
}

function confirmCrash(box: BoxServing, backend: string, now: number): void {
  const inProgress = [...box.requests.values()]
    .filter(request =>
      openAttempts(request).some(each => each.started && each.backend === backend)
    )
    .flatMap(({arrival: {fingerprint}}) => fingerprint ?? [])
  const ended = box.crashWatch.handleCrash(backend, now)
  const answered = box.clearedRequests.handleCrash(backend, now)
  const suspects = [...new Set([...inProgress, ...ended, ...answered])].filter(
    fingerprint => !box.clearedRequests.isCleared(fingerprint)
  )
  const added = suspects.filter(fingerprint => addCrash(box, fingerprint, backend, now))
  if (added.length === 0) return
  logEvent(box, "server-crashed", {backend, suspects: added.length})
  reportChanges(box, {records: box.crashes.toMessages(now, added), cleared: []})
}

function mergeRecord(box: BoxServing, record: CrashReport, now: number): boolean {
  return logIfQuarantined(box, record.fingerprint, () => box.crashes.merge(record, now))
}

function addCrash(
  box: BoxServing,
  fingerprint: string,
  backend: string,
  now: number
): boolean {
  const add = (): boolean => box.crashes.add(fingerprint, backend, now)
  return logIfQuarantined(box, fingerprint, add)
}

function logIfQuarantined(
  box: BoxServing,
  fingerprint: string,
  change: () => boolean
): boolean {
  const wasQuarantined = box.crashes.isQuarantined(fingerprint)
  const hasChanged = change()
  if (!wasQuarantined && box.crashes.isQuarantined(fingerprint)) {
    logEvent(box, "request-stopped", {fingerprint})
  }
  return hasChanged
}

function reportChanges(box: BoxServing, changes: CrashUpdate): void {
  box.effects.push({type: "crashes", changes})
}

function probe(box: BoxServing, backend: BackendRecord): void {
  box.effects.push({type: "probe", backend})
}

/**
 * Returns the server if it is listed and has not announced that it leaves: a planned stop
 * is no crash.
 */
function findIfNotLeaving(box: BoxServing, id: string): BackendRecord | undefined {
  const record = box.backends.known.get(id)?.record
  return record?.leaving === false ? record : undefined
}
