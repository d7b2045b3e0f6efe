/**
 * Checks the invariants of a soak round against the observations of callers and workers.
 */
import type {Judge, Run} from "../stand-ins/platform-judge.js"
import {isPromise} from "./promise-callers.js"
import {wholeStream} from "./whole-stream.js"
import type {ReplacedEngine, SoakCall, SoakRecord, SoakVersion} from "./soak-record.js"

/**
 * A leaving server gets no new work after this time of a healthy store (margin included).
 */
const DRAIN_DEADLINE_MS = 2_500

/** Time within which boxes must use a published version. */
const VERSION_DEADLINE_MS = 5_000

/** The store counts as stable after this time without a fault. */
const STORE_STABLE_MS = 3_000

/** Returns the violations found in a round. */
export function judgeRound(judge: Judge, record: SoakRecord): string[] {
  return [
    ...record.calls.flatMap(call => judgeCall(judge.runsOf(call.outcome.id), call)),
    ...record.replacedEngines.flatMap(worker => judgeLeaving(judge, record, worker)),
    ...record.versions.flatMap(published => judgeVersion(judge, record, published)),
    ...judge.violations
  ]
}

function judgeCall(runs: readonly Run[], {kind, outcome}: SoakCall): string[] {
  const {id, status, body, broken, error} = outcome
  const violations: string[] = []
  const addViolation = (text: string): void => {
    violations.push(`${id} (${kind}, ${status}): ${text}`)
  }
  if ((kind === "once" || kind === "unsafe") && runs.length > 1) addViolation("ran twice")
  const end = error === "ECONNRESET" ? "closed-unread" : status
  if (isPromise(end) && runs.length > 0) addViolation("refused as not run, and ran")
  if (status !== 200 || broken) return violations
  if (kind === "safe" && body !== `plain:${id}:`) addViolation(`wrong answer ${body}`)
  if (kind === "unsafe" && body !== `plain:${id}:{}`) addViolation(`wrong answer ${body}`)
  if (kind === "safe" || kind === "unsafe") return violations
  if (body !== wholeStream(id)) addViolation("a stream that looks whole and is not")
  return violations
}

function judgeLeaving(
  judge: Judge,
  record: SoakRecord,
  worker: ReplacedEngine
): string[] {
  const {drainedAt} = worker
  if (drainedAt === undefined) return []
  const late = judge.runs.find(
    run => run.worker === worker.id && isLate(record, run.reached, drainedAt)
  )
  if (!late) return []
  const after = Math.round(late.reached - drainedAt)
  const faults = record.faultsBetween(drainedAt, late.reached)
  return [
    `${late.id} reached ${worker.id} ${after} ms after it had left; faults since: ${faults}`
  ]
}

/**
 * Judges when a request reached the server, as it may have waited there before it ran.
 */
function isLate({storeFaults}: SoakRecord, reached: number, drainedAt: number): boolean {
  return storeFaults.longestHealthyMs(drainedAt, reached) > DRAIN_DEADLINE_MS
}

/** Judges each published version separately: a newer one doesn't extend its deadline. */
function judgeVersion(
  judge: Judge,
  record: SoakRecord,
  published: SoakVersion
): string[] {
  const late = judge.runs.filter(run => isOutdated(record, run, published))
  const [first] = late
  return first ? [describeOutdatedRun(record, first, published, late.length)] : []
}

function isOutdated(record: SoakRecord, run: Run, published: SoakVersion): boolean {
  const {adapter, version, at} = published
  if (run.adapter !== adapter || run.version >= version || run.at < at) return false
  const since = record.storeFaults.healthySince(run.at)
  if (since === undefined) return false
  // After a store fault since the publication, the deadline counts from stability on.
  const from = since > at ? since + STORE_STABLE_MS : at
  return run.at > from + VERSION_DEADLINE_MS
}

function describeOutdatedRun(
  record: SoakRecord,
  run: Run,
  {adapter, version, at}: SoakVersion,
  count: number
): string {
  const call = record.calls.find(({outcome}) => outcome.id === run.id)
  const after = (time: number): string => `${Math.round(time - at)} ms`
  return (
    `${run.id} (asked of ${call?.box ?? "no box"}) began on ${adapter}@${run.version} at ${run.worker} ` +
    `${after(run.at)} after version ${version} was named, reached it after ${after(run.reached)}, ` +
    `at ${new Date(performance.timeOrigin + run.at).toISOString()}; ${count} such runs; ` +
    `faults since: ${record.faultsBetween(at, run.at)}`
  )
}
