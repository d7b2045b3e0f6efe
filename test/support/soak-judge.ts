/** What must hold in a round of the soak, judged from what callers and workers saw. */
import type {Judge, Run} from "../stand-ins/platform-judge.js"
import {wholeStream} from "./whole-stream.js"
import type {LeftEngine, SoakCall, SoakRecord, SoakVersion} from "./soak-record.js"

/** A server that leaves gets no new work after this, while the store is well; with a margin. */
const DRAIN_MS = 2_500

/** A named version is in force after this. */
const VERSION_MS = 5_000

/** The store counts as stable again after this time without trouble. */
const STABLE_MS = 3_000

/** Returns what did not hold. */
export function judgeRound(judge: Judge, record: SoakRecord): string[] {
  return [
    ...record.calls.flatMap(call => judgeCall(judge.runsOf(call.outcome.id), call)),
    ...record.gone.flatMap(worker => judgeLeaving(judge, record, worker)),
    ...record.versions.flatMap(named => judgeVersion(judge, record, named)),
    ...judge.violations
  ]
}

function judgeCall(runs: readonly Run[], {kind, outcome}: SoakCall): string[] {
  const {id, status, body, broken} = outcome
  const found: string[] = []
  const bad = (what: string): void => {
    found.push(`${id} (${kind}, ${status}): ${what}`)
  }
  if ((kind === "once" || kind === "unsafe") && runs.length > 1) bad("ran twice")
  if (status === 503 && runs.length > 0) bad("refused as not run, and ran")
  if (status !== 200 || broken) return found
  if (kind === "safe" && body !== `plain:${id}:`) bad(`wrong answer ${body}`)
  if (kind === "unsafe" && body !== `plain:${id}:{}`) bad(`wrong answer ${body}`)
  if (kind !== "stream" && kind !== "once") return found
  if (body !== wholeStream(id)) bad("a stream that looks whole and is not")
  return found
}

function judgeLeaving(judge: Judge, record: SoakRecord, worker: LeftEngine): string[] {
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

/** What counts is when a request reaches the server, not how long it waits there. */
function isLate({trouble}: SoakRecord, reached: number, drainedAt: number): boolean {
  return trouble.longestWell(drainedAt, reached) > DRAIN_MS
}

/** Every version that was named is judged for itself: a newer one does not put off its time. */
function judgeVersion(judge: Judge, record: SoakRecord, named: SoakVersion): string[] {
  const late = judge.runs.filter(run => isOutdated(record, run, named))
  const [first] = late
  return first ? [tellOutdated(record, first, named, late.length)] : []
}

function isOutdated(record: SoakRecord, run: Run, named: SoakVersion): boolean {
  const {adapter, version, at} = named
  if (run.adapter !== adapter || run.version >= version || run.at < at) return false
  const since = record.trouble.wellSince(run.at)
  if (since === undefined) return false
  // Trouble of the store after the naming: the time counts anew from its being stable again.
  const from = since > at ? since + STABLE_MS : at
  return run.at > from + VERSION_MS
}

function tellOutdated(
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
