/**
 * Checks that planned stops end no request that was passed on (LOST): a request that a
 * stopping box passed on to a worker gets a complete answer, or a status.
 */
import type {Judge, Run} from "../stand-ins/platform-judge.js"
import {GRACE_S} from "./platform-bed.js"
import {hasServerFault} from "./soak-judge-service.js"
import type {PlannedStop, SoakRecord} from "./soak-record.js"

/** A stop lasts until so long after its grace period (`LOST`). */
const AFTER_GRACE_MS = 1_000

/**
 * Requests are not judged that were sent up to this time after SIGTERM and whose worker was
 * still at work in this last part of the grace period (`LOST`). The time is that of the
 * usual grace period; of a shorter one it is the same share.
 */
const EARLY_MS = 3_000
const EARLY_SHARE = EARLY_MS / (1_000 * GRACE_S)
const LAST_SHARE = 1 / 6

/** A disruption excuses requests that are sent up to so long after it (`contactMs`). */
const CONTACT_MS = 4_000

/** Exemptions of this age belong to the stop itself. */
const MARGIN_MS = 100

/** Limit of reported findings, as they are alike. */
const MAX_FINDINGS = 3

/** A request as its caller observed it. */
interface Request {
  readonly id: string
  readonly what: string
  readonly box: string
  /** Whether it has a complete answer. */
  readonly isAnswered: boolean
  readonly sentAt: number
  readonly answeredAt: number
  readonly deadlineMs: number
  readonly workMs: number
}

/** Deadline of the usual calls. */
const USUAL_DEADLINE_MS = 4_000

/** Returns the violations found in a round. */
export function judgeStops(judge: Judge, record: SoakRecord): string[] {
  const lost = listLost(judge, record)
  return lost.slice(0, MAX_FINDINGS).map(({request, stop, runs}) => {
    const {id, what, box, sentAt, answeredAt} = request
    const after = (at: number): number => Math.round(at - stop.from)
    const ran = runs.map(({worker, at}) => `${worker} at ${after(at)} ms`).join(", ")
    return (
      `${id} (${what}) was passed on and got no complete answer from ${box}, which stopped with a grace of ${stop.graceMs} ms, as ${lost.length} requests: ` +
      `sent ${after(sentAt)} ms after SIGTERM, ended after ${after(answeredAt)} ms, ran at ${ran}`
    )
  })
}

/** Describes the stops and the ends of long requests, for the line of a round. */
export function describeStops({long, plannedStops}: SoakRecord): string {
  const counts = new Map<string, number>()
  for (const {outcome} of long) {
    const {status, broken, error = "0"} = outcome
    const name = status === 0 ? error : broken ? `${status}-cut` : String(status)
    counts.set(name, (counts.get(name) ?? 0) + 1)
  }
  const ends = [...counts].map(([name, count]) => `${name}:${count}`).join(",")
  const graceMs = plannedStops[0]?.graceMs
  return `stops ${plannedStops.length} with a grace of ${graceMs} ms, long requests ${ends}`
}

interface Lost {
  readonly request: Request
  readonly stop: PlannedStop
  readonly runs: readonly Run[]
}

function listLost(judge: Judge, record: SoakRecord): Lost[] {
  return listRequests(record)
    .filter(({isAnswered}) => !isAnswered)
    .flatMap(request => {
      const runs = judge.runsOf(request.id)
      const stop = record.plannedStops.find(stop => isDuring(stop, request))
      if (runs.length === 0 || !stop) return []
      return isExcused(judge, record, {request, stop, runs})
        ? []
        : [{request, stop, runs}]
    })
}

function listRequests({calls, long}: SoakRecord): Request[] {
  const usual = calls.map(
    ({kind, box, outcome, sentAt, answeredAt = sentAt, ...call}) => {
      const {deadlineMs = USUAL_DEADLINE_MS} = call
      return {what: kind, box, outcome, sentAt, answeredAt, deadlineMs, workMs: 0}
    }
  )
  const all = [...usual, ...long.map(call => ({what: call.path, ...call}))]
  return all.map(({outcome, ...call}) => ({
    ...call,
    id: outcome.id,
    isAnswered: outcome.status !== 0 && !outcome.broken
  }))
}

/** Whether the process that stopped took the request. A later one took what came later. */
function isDuring(
  {box, from, until, graceMs}: PlannedStop,
  {box: asked, sentAt, answeredAt}: Request
): boolean {
  const end = Math.min(until, from + graceMs + AFTER_GRACE_MS)
  return box === asked && answeredAt > from && sentAt < end
}

function isExcused(
  judge: Judge,
  record: SoakRecord,
  {request, stop, runs}: Lost
): boolean {
  const {box, sentAt, answeredAt, deadlineMs, workMs} = request
  if (answeredAt >= sentAt + deadlineMs - MARGIN_MS) return true
  const lastPart = stop.from + stop.graceMs * (1 - LAST_SHARE)
  const isAtWork = runs.some(({at, endedAt = at + workMs}) => endedAt >= lastPart)
  if (sentAt <= stop.from + EARLY_SHARE * stop.graceMs && isAtWork) return true
  const hasBrokenOff = runs.some(
    ({id, worker}) =>
      judge.breakOffs.some(answer => answer.id === id) ||
      judge.restarts.some(
        ({worker: restarted, at}) =>
          restarted === worker && at > sentAt && at < answeredAt + MARGIN_MS
      )
  )
  if (hasBrokenOff || hasServerFault(record, sentAt, answeredAt)) return true
  return isDisrupted(record, box, sentAt, stop)
}

/** Whether anything but planned stops struck the box. */
function isDisrupted(
  {boxEnds, exemptions, plannedStops}: SoakRecord,
  box: string,
  sentAt: number,
  stop: PlannedStop
): boolean {
  const isPlanned = (at: number): boolean =>
    plannedStops.some(
      other =>
        other.box === box &&
        (Math.abs(other.from - at) < MARGIN_MS || Math.abs(other.until - at) < MARGIN_MS)
    )
  // The platform's SIGKILL at the end of a grace period is not among these.
  const isKilled = boxEnds.some(
    ({box: ended, signal, at}) =>
      ended === box && signal === "SIGKILL" && at > stop.from && at < stop.until
  )
  if (isKilled) return true
  return exemptions.some(
    exemption =>
      exemption.box === box &&
      exemption.at > sentAt - CONTACT_MS &&
      exemption.at < stop.until - MARGIN_MS &&
      !isPlanned(exemption.at)
  )
}
