/**
 * Judges answers that had begun at sound workers that stood still and went on (LOST): they
 * reach their callers whole, and without an event that is missing or comes twice. Only
 * facts excuse an answer that was cut: its worker broke off, crashed, restarted or ended,
 * the link to it was struck, its box was killed or reached its grace period, or the
 * caller's deadline was reached.
 */
import type {Judge, Run} from "../stand-ins/platform-judge.js"
import type {SoakCall, SoakRecord} from "./soak-record.js"
import type {StreamTry} from "./stream-caller.js"
import {wholeStream} from "./whole-stream.js"

/** Time that callers allow for a request that names no other. */
const DEADLINE_MS = 4_000

/** A box ends an answer within this time of the caller's deadline or of its own end. */
const MARGIN_MS = 150

/** A connection closes within this time of the restart of its worker. */
const RESTART_MS = 1_000

/** Faults of links to workers, and their longest effect. */
const LINK_FAULTS: ReadonlySet<string> = new Set([
  "reset-workers",
  "silence-worker",
  "silent-worker-links",
  "silent-links"
])
const LINK_FAULT_MS = 2_500

/** Calls whose answers are events. */
const STREAMED_KINDS: ReadonlySet<SoakCall["kind"]> = new Set([
  "stream",
  "once",
  "urgent",
  "bulk"
])

/** An answer with status 200 and events that did not reach its caller whole. */
interface CutAnswer {
  readonly id: string
  readonly box: string
  readonly sentAt: number
  readonly endedAt: number
  readonly deadlineMs: number
  /** Whether the caller stopped waiting for it. */
  readonly gaveUp: boolean
}

/** A cut answer and the run that gave the last part of it. */
interface Cut {
  readonly answer: CutAnswer
  readonly run: Run
  readonly closedAt: number
}

/** Returns the violations found in a round. */
export function judgePauses(judge: Judge, record: SoakRecord): string[] {
  return [
    ...record.calls.flatMap(judgeEvents),
    ...listCuts(judge, record).map(cut => describeCut(judge, record, cut))
  ]
}

/** Describes how many answers met workers that stood still, and how they went. */
export function describePauses(judge: Judge, record: SoakRecord): string {
  const met = new Set(
    judge.runs
      .filter(run => run.hasAnswered === true && findPause(record, run) !== undefined)
      .map(({id}) => id)
  )
  const excuses = new Map<string, number>()
  for (const cut of listAllCuts(judge, record)) {
    if (!met.has(cut.answer.id)) continue
    const excuse = findExcuse(judge, record, cut) ?? "none"
    excuses.set(excuse, (excuses.get(excuse) ?? 0) + 1)
  }
  const listed = [...excuses].map(([excuse, count]) => `, excuse ${excuse}: ${count}`)
  return (
    `answers that had begun as their workers stood still ${met.size}, ` +
    `cut or given up ${[...excuses.values()].reduce((a, b) => a + b, 0)}${listed.join("")}`
  )
}

/** Judges what a call received of its answer, which may have been cut. */
function judgeEvents({kind, outcome}: SoakCall): string[] {
  const {id, status, body, broken} = outcome
  if (!STREAMED_KINDS.has(kind) || status !== 200 || !broken) return []
  if (wholeStream(id).startsWith(body)) return []
  return [`${id} (${kind}): its cut answer is no begin of it: ${JSON.stringify(body)}`]
}

/** Returns the answers that were cut without an excuse. */
function listCuts(judge: Judge, record: SoakRecord): Cut[] {
  return listAllCuts(judge, record).filter(
    cut => findExcuse(judge, record, cut) === undefined
  )
}

/** Returns the answers that were cut and whose last run has ended. */
function listAllCuts(judge: Judge, record: SoakRecord): Cut[] {
  return listCutAnswers(record).flatMap(answer => {
    const run = findLastRun(judge, answer.id)
    const closedAt = run?.endedAt
    return run === undefined || closedAt === undefined ? [] : [{answer, run, closedAt}]
  })
}

function listCutAnswers({calls, streams}: SoakRecord): CutAnswer[] {
  const ofCalls = calls.flatMap(call => {
    const {kind, box, outcome, sentAt, answeredAt = Infinity} = call
    const {id, status, body, broken} = outcome
    if (!STREAMED_KINDS.has(kind) || status !== 200 || !broken || body === "") return []
    const {deadlineMs = DEADLINE_MS} = call
    return [{id, box, sentAt, endedAt: answeredAt, deadlineMs, gaveUp: false}]
  })
  const ofStreams = streams.flatMap(({tries}) =>
    tries.filter(hasBegunAndBroke).map(({id, box, sentAt, endedAt, gaveUp}) => {
      const deadlineMs = DEADLINE_MS - (sentAt - (tries[0]?.sentAt ?? sentAt))
      return {id, box, sentAt, endedAt, deadlineMs, gaveUp}
    })
  )
  return [...ofCalls, ...ofStreams]
}

function hasBegunAndBroke({status, events, rest, broken}: StreamTry): boolean {
  return status === 200 && broken && (events.length > 0 || rest !== "")
}

/**
 * Returns the run that ended last, of those that sent a part of their answer: if it was
 * closed while its worker would have gone on, nothing was left to continue the answer.
 */
function findLastRun(judge: Judge, id: string): Run | undefined {
  const answered = judge.runsOf(id).filter(({hasAnswered}) => hasAnswered === true)
  return answered.sort((a, b) => (a.endedAt ?? 0) - (b.endedAt ?? 0)).at(-1)
}

/** Returns the fact that ended a cut answer. Undefined if there was none. */
function findExcuse(judge: Judge, record: SoakRecord, cut: Cut): string | undefined {
  const {run, closedAt} = cut
  if (run.isClosedByPeer !== true) return "worker ended it"
  if (findPause(record, run) === undefined) return "worker did not stand still"
  const isRestarted = judge.restarts.some(
    ({worker, at}) => worker === run.worker && Math.abs(at - closedAt) < RESTART_MS
  )
  if (isRestarted) return "worker restarted"
  if (isAtDeadline(cut)) return "deadline"
  if (hasBoxEnded(record, cut)) return "box ended"
  return isLinkStruck(record, cut) ? "link" : undefined
}

/** Returns the pause of its worker that a run met. Undefined if there was none. */
function findPause(
  {pauses}: SoakRecord,
  {worker, at, endedAt = Infinity}: Run
): SoakRecord["pauses"][number] | undefined {
  return pauses.find(
    pause => pause.worker === worker && pause.from < endedAt && pause.to > at
  )
}

/**
 * Whether time had run out, or the caller gave up while its box still waited for the
 * worker.
 */
function isAtDeadline({answer, closedAt}: Cut): boolean {
  const {sentAt, endedAt, deadlineMs, gaveUp} = answer
  if (gaveUp && closedAt > endedAt - MARGIN_MS) return true
  return closedAt >= sentAt + deadlineMs - MARGIN_MS
}

/** Whether the box of the caller was killed, or at the end of its grace period. */
function hasBoxEnded({boxEnds, graceMs}: SoakRecord, {answer}: Cut): boolean {
  const {box, sentAt, endedAt} = answer
  return boxEnds.some(end => {
    if (end.box !== box) return false
    const endsAt = end.signal === "SIGKILL" ? end.at : end.at + graceMs
    return endsAt > sentAt && endsAt < endedAt + MARGIN_MS
  })
}

/** Whether a fault of the links to workers was near, or the box was cut off from them. */
function isLinkStruck({faults, cuts}: SoakRecord, {answer, closedAt}: Cut): boolean {
  const {box, sentAt} = answer
  const isCutOff = cuts.some(
    cut => cut.boxes.includes(box) && cut.from <= closedAt && cut.to > sentAt
  )
  const isFaulty = faults.some(
    ({name, at}) =>
      LINK_FAULTS.has(name) && at > sentAt - LINK_FAULT_MS && at < closedAt + MARGIN_MS
  )
  return isCutOff || isFaulty
}

function describeCut(
  judge: Judge,
  record: SoakRecord,
  {answer, run, closedAt}: Cut
): string {
  const {id, box, sentAt, endedAt, gaveUp} = answer
  const after = (time: number): string => `${Math.round(time - sentAt)} ms`
  const pause = findPause(record, run)
  const runs = judge
    .runsOf(id)
    .map(({worker, at, ended, hasAnswered}) => {
      const how = hasAnswered === true ? (ended ?? "goes on") : "no answer"
      return `${worker} at ${after(at)} (${how})`
    })
    .join(", ")
  return (
    `${id} at ${box}, sent at ${new Date(performance.timeOrigin + sentAt).toISOString()}: ` +
    `its answer had begun and was ${gaveUp ? "given up by its caller" : "cut"} after ${after(endedAt)}, ` +
    `while ${run.worker} stood still and went on ` +
    `(from ${after(pause?.from ?? NaN)} to ${after(pause?.to ?? NaN)}, its connection closed at ${after(closedAt)}); ` +
    `runs: ${runs}; faults since: ${record.faultsBetween(sentAt, endedAt)}`
  )
}
