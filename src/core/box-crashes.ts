/**
 * Detects crashes of backend servers from broken attempts, finds the requests and the
 * parts of prompts that may have caused them, and quarantines those that crash servers
 * repeatedly.
 */
import type {CrashUpdate} from "../types/crash-messages.js"
import type {BackendRecord} from "../types/fleet.js"
import {refundCharge} from "./box-charges.js"
import {endAttempt, failRequest} from "./box-ends.js"
import {
  type Attempt,
  type BoxRequest,
  type BoxServing,
  logEvent,
  openAttempts
} from "./box-state.js"
import {SURVIVED_MS} from "./cleared-requests.js"
import {listFingerprints} from "./request-fingerprints.js"

/** Shortest time after which callers of a quarantined request may retry. */
const MIN_RETRY_AFTER_MS = 5_000

/**
 * Longest pause between bytes of an answer that counts as time in which its server ran.
 * After a longer one they may have been sent before it crashed, and arrive late.
 */
const MAX_COUNTED_PAUSE_MS = SURVIVED_MS / 2

/** The source of crash changes. */
export type CrashSource =
  /** The leader's complete list, sent when a link to it starts. */
  | "leader-all"
  | "leader"
  /** A follower of this box. */
  | "box"
  /** The record that an earlier leader stored. */
  | "store"

/** How a request ends that this box sends for another one. */
export type CarriedEnd =
  | "answered"
  /** The server reported that it did not run it. */
  | "refused"
  /** The other box closed it. */
  | "closed"
  /** The connection to the server broke. */
  | "broken"

/** Whether the request is quarantined and this send is not its trial. */
export function isQuarantined(
  box: BoxServing,
  {arrival, isTrial, attempt, attempts}: BoxRequest
): boolean {
  if (box.crashes.quarantined.size === 0) return false
  const isFirstSend = attempts === (attempt ? 1 : 0)
  if (isTrial && isFirstSend) return false
  return listFingerprints(arrival).some(each => box.crashes.isQuarantined(each))
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
  const waitMs = trialInMs(box, request, now)
  // Only the leader starts trials, and it reports a trial before sending the request.
  if (waitMs === 0 && box.isLeader && box.crashes.canTry(now)) {
    startTrial(box, request, now)
    return false
  }
  const reason = request.runs > 0 ? "unknown" : "crashes-servers"
  failRequest(box, request, reason, now, Math.max(MIN_RETRY_AFTER_MS, waitMs))
  return true
}

/** Refuses a request that another box did not send, as it knows it to be quarantined. */
export function refuseUncarried(
  box: BoxServing,
  request: BoxRequest,
  attempt: Attempt,
  now: number
): void {
  refundCharge(box, attempt)
  request.unsent++
  endAttempt(box, request)
  const reason = request.runs > 0 ? "unknown" : "crashes-servers"
  failRequest(box, request, reason, now, MIN_RETRY_AFTER_MS)
}

function startTrial(box: BoxServing, request: BoxRequest, now: number): void {
  const tried = listQuarantined(box, request)
  for (const fingerprint of tried) box.crashes.recordTrial(fingerprint, now)
  request.isTrial = true
  logEvent(box, "request-tried", {
    fingerprint: tried.join(),
    request: request.arrival.name
  })
  reportChanges(box, {records: box.crashes.toMessages(now, tried), cleared: []})
}

/** Returns the time until a trial of the request, whose every suspect must be due. */
function trialInMs(box: BoxServing, request: BoxRequest, now: number): number {
  const waits = listQuarantined(box, request).map(each =>
    box.crashes.trialInMs(each, now)
  )
  return Math.max(0, ...waits)
}

function listQuarantined(box: BoxServing, {arrival}: BoxRequest): string[] {
  return listFingerprints(arrival).filter(each => box.crashes.isQuarantined(each))
}

/**
 * Records that a server answered the request completely. An error shows nothing of what
 * the request does to a server that runs it.
 */
export function recordCompleteAnswer(
  box: BoxServing,
  {arrival}: BoxRequest,
  {backend, isError}: Attempt,
  now: number
): void {
  const fingerprints = listFingerprints(arrival)
  box.crashWatch.recordAnswered(fingerprints, backend, now)
  if (isError) return
  for (const fingerprint of fingerprints) {
    box.clearedRequests.recordAnswered(fingerprint, backend, now)
  }
}

/**
 * Records that a server goes on with its answer. A part of a prompt crashes a server when
 * the answer begins or not at all; the request as a whole may crash it until its end.
 */
export function recordProgress(
  box: BoxServing,
  {arrival: {parts = []}}: BoxRequest,
  attempt: Attempt,
  now: number
): void {
  const {firstByteAt, hasOutlivedParts, isError} = attempt
  if (hasOutlivedParts || isError || firstByteAt === undefined) return
  const pauseMs = now - (attempt.progressedAt ?? firstByteAt)
  attempt.progressedAt = now
  attempt.progressMs += Math.min(pauseMs, MAX_COUNTED_PAUSE_MS)
  if (attempt.progressMs < SURVIVED_MS) return
  attempt.hasOutlivedParts = true
  for (const part of parts) box.clearedRequests.recordSurvived(part, firstByteAt)
}

/**
 * Handles the end of a request that this box sent for another one. The other box may not
 * be able to report that the server crashed.
 */
export function handleCarriedEnd(
  box: BoxServing,
  id: string,
  end: CarriedEnd,
  now: number
): void {
  const carried = box.carried.get(id)
  if (!carried) return
  box.carried.delete(id)
  const {backend, fingerprints} = carried
  if (end === "answered") box.crashWatch.recordAnswered(fingerprints, backend, now)
  if (end === "closed" || end === "broken") {
    box.crashWatch.recordClosed(fingerprints, backend, now)
  }
  if (end === "broken") suspectCrash(box, backend, now)
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
  {records, cleared, crashed = []}: CrashUpdate,
  source: CrashSource,
  now: number
): void {
  if (source === "leader-all") {
    const missing = box.crashes.listMissing(records, now)
    if (missing.length > 0) reportChanges(box, {records: missing, cleared: []})
  }
  const survived = records
    .filter(({fingerprint, ageMs, firstAgeMs = ageMs}) =>
      hasSurvivedSince(box, fingerprint, now - firstAgeMs)
    )
    .map(({fingerprint}) => fingerprint)
  const changed = logQuarantined(box, () =>
    records
      .filter(({fingerprint}) => !survived.includes(fingerprint))
      .filter(record => box.crashes.merge(record, now))
  )
  const answered = records
    .map(({fingerprint}) => fingerprint)
    .filter(each => box.clearedRequests.survivedAt(each) !== undefined)
    .filter(each => box.crashes.recordAnswered(each))
  if (survived.length > 0 || answered.length > 0) {
    reportChanges(box, {
      records: box.crashes.toMessages(now, answered),
      cleared: survived
    })
  }
  const clearedHere = cleared.filter(fingerprint => box.crashes.clear(fingerprint))
  // Reports that crossed this one are then dropped without asking all boxes again.
  for (const each of cleared) box.clearedRequests.recordSurvived(each, now - SURVIVED_MS)
  // Requests of this box that were in progress at these servers are suspects, too.
  const incarnations = [...crashed, ...changed.flatMap(({lives}) => lives)]
  for (const incarnation of new Set(incarnations)) confirmCrash(box, incarnation, now)
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
 * Periodic work: probes servers that may have crashed, and clears suspects that servers
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
    hasSurvivedSince(box, fingerprint, box.crashes.firstCrashAt(fingerprint) ?? Infinity)
  )
  // Other boxes clear suspects of a single crash themselves, once they learn of another.
  const reported = cleared.filter(each => box.crashes.countCrashes(each) > 1)
  for (const fingerprint of cleared) {
    if (box.crashes.isQuarantined(fingerprint)) {
      logEvent(box, "request-cleared", {fingerprint})
    }
    box.crashes.clear(fingerprint)
  }
  // An answer from before the first crash may be confirmed only now.
  const answered = suspects
    .filter(each => box.clearedRequests.survivedAt(each) !== undefined)
    .filter(each => box.crashes.recordAnswered(each))
  if (reported.length === 0 && answered.length === 0) return
  reportChanges(box, {
    records: box.crashes.toMessages(now, answered),
    cleared: reported
  })
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
  const reason = mayHaveRun ? "unknown" : "crashes-servers"
  const retryAfterMs = Math.max(MIN_RETRY_AFTER_MS, trialInMs(box, request, now))
  failRequest(box, request, reason, now, retryAfterMs)
  return true
}

function confirmCrash(box: BoxServing, backend: string, now: number): void {
  const inProgress = [...box.requests.values()]
    .filter(request =>
      openAttempts(request).some(each => each.started && each.backend === backend)
    )
    .flatMap(({arrival}) => listFingerprints(arrival))
  const carried = [...box.carried.values()]
    .filter(each => each.backend === backend)
    .flatMap(({fingerprints}) => fingerprints)
  const ended = box.crashWatch.handleCrash(backend, now)
  const answered = box.clearedRequests.handleCrash(backend, now)
  const suspects = new Set([...inProgress, ...carried, ...ended, ...answered])
  const added = logQuarantined(box, () =>
    [...suspects].filter(fingerprint => addCrash(box, fingerprint, backend, now))
  )
  if (added.length === 0) return
  logEvent(box, "server-crashed", {backend, suspects: added.length})
  reportChanges(box, {records: box.crashes.toMessages(now, added), cleared: []})
}

/** Whether a server answered a request with the fingerprint since then and kept running. */
function hasSurvivedSince(box: BoxServing, fingerprint: string, since: number): boolean {
  return (box.clearedRequests.survivedAt(fingerprint) ?? -Infinity) > since
}

function addCrash(
  box: BoxServing,
  fingerprint: string,
  backend: string,
  now: number
): boolean {
  const hasAnswers = box.clearedRequests.survivedAt(fingerprint) !== undefined
  return box.crashes.add(fingerprint, backend, now, hasAnswers)
}

/** Makes changes to the list, and logs what is quarantined because of them. */
function logQuarantined<T>(box: BoxServing, change: () => T): T {
  const before = box.crashes.quarantined
  const result = change()
  for (const fingerprint of box.crashes.quarantined) {
    if (!before.has(fingerprint)) logEvent(box, "request-stopped", {fingerprint})
  }
  return result
}

function reportChanges(box: BoxServing, changes: CrashUpdate): void {
  box.effects.push({
    type: "crashes",
    changes: box.isLeader ? omitSingleCrashes(changes) : changes
  })
}

/**
 * Shortens an update from the leader to all boxes. A crash has many suspects, and most of
 * them have no other one; boxes only have to know which server crashed.
 */
function omitSingleCrashes({records, cleared}: CrashUpdate): CrashUpdate {
  const [single, several] = [
    records.filter(({lives, trials}) => lives.length < 2 && trials === 0),
    records.filter(({lives, trials}) => lives.length >= 2 || trials > 0)
  ]
  const crashed = [...new Set(single.flatMap(({lives}) => lives))]
  return {records: several, cleared, ...(crashed.length > 0 && {crashed})}
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
