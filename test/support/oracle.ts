/** Test oracle. Uses only the responses of callers and the logs of backend servers. */
import type {LogLine} from "../stand-ins/engine.js"
import type {CallResult} from "./caller.js"
import {type Deployment, getJson} from "./deployment.js"

/** A call and its result. */
export interface Call {
  /** The prompt, unique per request. Calls with the same idempotency key share it. */
  readonly tag: string
  readonly organisation: string
  readonly model: string
  readonly tokens: number
  /** Whether engines may run the request only once. */
  readonly once: boolean
  readonly sentAt: number
  readonly result: CallResult
  /** Whether the entry that received the call was killed, which broke the connection. */
  readonly entryDied?: boolean
}

export interface EngineReport {
  readonly name: string
  readonly log: readonly LogLine[]
  readonly steps: {readonly count: number; readonly filled: number}
  readonly maxBatch: number
  readonly fills: readonly [string, {readonly tokens: number; readonly fill: number}][]
}

/** Evidence of violations. Each list is empty if the property holds. */
export interface Violations {
  readonly wrongAdapter: string[]
  readonly wrongAnswer: string[]
  readonly lost: string[]
  readonly duplicated: string[]
  readonly falseNotRun: string[]
  readonly unloadedInUse: string[]
}

/** Reads the logs of all engines. */
export async function readEngines(deployment: Deployment): Promise<EngineReport[]> {
  return Promise.all(
    deployment.engines.map(async engine => ({
      name: engine.name,
      ...(await getJson(`${engine.url}/stand-in/log`))
    }))
  )
}

/** Checks all calls against the logs of the engines. */
export function judge(
  calls: readonly Call[],
  engines: readonly EngineReport[]
): Violations {
  const violations: Violations = {
    wrongAdapter: [],
    wrongAnswer: [],
    lost: [],
    duplicated: [],
    falseNotRun: [],
    unloadedInUse: []
  }
  const starts = startsByTag(engines)
  const servedIds = new Set<string>()
  const notRun = new Map<string, boolean>()
  for (const call of calls) {
    judgeAnswer(call, starts, servedIds, violations)
    const isReportedNotRun = notRun.get(call.tag) ?? true
    notRun.set(call.tag, isReportedNotRun && call.result.outcome === "not-run")
  }
  for (const [tag, isReportedNotRun] of notRun) {
    if (isReportedNotRun && starts.has(tag)) violations.falseNotRun.push(tag)
  }
  judgeOnce(calls, starts, violations)
  judgeUnloads(engines, violations)
  return violations
}

/** Returns the total number of violations. */
export function countViolations(violations: Violations): number {
  return Object.values(violations).reduce((sum, list: string[]) => sum + list.length, 0)
}

function startsByTag(engines: readonly EngineReport[]): Map<string, LogLine[]> {
  const starts = new Map<string, LogLine[]>()
  for (const {log} of engines) {
    for (const line of log) {
      if (line.kind !== "start") continue
      starts.set(line.tag, [...(starts.get(line.tag) ?? []), line])
    }
  }
  return starts
}

function judgeAnswer(
  {tag, model, tokens, result, entryDied}: Call,
  starts: ReadonlyMap<string, LogLine[]>,
  servedIds: Set<string>,
  violations: Violations
): void {
  const ran = starts.get(tag) ?? []
  if (ran.some(line => line.model !== model)) violations.wrongAdapter.push(tag)
  if (result.kind === "cut" && !entryDied) violations.lost.push(tag)
  if (result.kind !== "answered") return
  if (result.model !== model) violations.wrongAdapter.push(tag)
  const isOwn = ran.some(line => line.id === result.servedId)
  const isDuplicate = servedIds.has(result.servedId)
  servedIds.add(result.servedId)
  if (!isOwn || isDuplicate || result.tokens !== tokens) violations.wrongAnswer.push(tag)
}

function judgeOnce(
  calls: readonly Call[],
  starts: ReadonlyMap<string, LogLine[]>,
  violations: Violations
): void {
  for (const tag of new Set(calls.filter(call => call.once).map(call => call.tag))) {
    if ((starts.get(tag)?.length ?? 0) > 1) violations.duplicated.push(tag)
  }
}

function judgeUnloads(engines: readonly EngineReport[], violations: Violations): void {
  for (const {name, log} of engines) {
    for (const line of log) {
      if (line.kind === "unload" && line.running > 0) {
        violations.unloadedInUse.push(`${name} ${line.model} at ${line.at}`)
      }
    }
  }
}

/** Returns how long each call waited for its adapter to load (ms), by tag. */
export function measureStalls(
  calls: readonly Call[],
  engines: readonly EngineReport[]
): Map<string, number> {
  const stalls = new Map<string, number>()
  const sent = new Map(calls.map(call => [call.tag, call.sentAt]))
  for (const {log} of engines) {
    const loadedAt = new Map<string, number>()
    for (const line of log) {
      if (line.kind === "load") loadedAt.set(line.model, line.at)
      const sentAt = sent.get(line.tag)
      if (line.kind !== "start" || sentAt === undefined) continue
      stalls.set(line.tag, Math.max(0, (loadedAt.get(line.model) ?? 0) - sentAt))
    }
  }
  return stalls
}
