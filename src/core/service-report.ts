/**
 * Reports the load of one service from the log lines of all boxes: the level of pressure in
 * force, refused requests, engines, and what is held back. Assumes that the boxes' clocks
 * agree.
 */
import type {LogLine} from "./explain.js"

/** A level of pressure that was in force at the last line. */
export interface ReportedLevel {
  readonly leader: string
  /** When it began, in seconds after the first line. */
  readonly fromS: number
  /** Lowest refused rank, and the part of it that is refused. */
  readonly rank: number
  readonly fraction: number
  readonly roomInMs: number
  readonly waitMs: number
  /** Organisations beyond their shares. */
  readonly organisations: readonly string[]
}

/** Refused requests that did not run, of one kind and organisation. */
export interface RefusalRow {
  readonly route: string
  /** Empty if it has none. */
  readonly organisation: string
  readonly cause: string
  readonly requests: number
}

/** An engine by the last line about it. */
export interface ReportedEngine {
  readonly engine: string
  /** Requests in progress, which can be more than it has places. */
  readonly running: number
  readonly places: number
  /** Speed in percent of the median engine's. */
  readonly speedPercent: number
  /** Prompt tokens that wait for prefill. */
  readonly queuedTokens: number
}

/** Requests that had to wait or still do, by reason. */
export interface HeldRow {
  readonly reason: string
  readonly requests: number
  /** Longest time known that one of them waited, in milliseconds. */
  readonly longestMs: number
}

export interface ServiceReport {
  readonly service: string
  /** Undefined if no level was in force at the last line. */
  readonly level: ReportedLevel | undefined
  /** Levels that began or changed their rank. */
  readonly levelCount: number
  readonly refusals: readonly RefusalRow[]
  readonly engines: readonly ReportedEngine[]
  /** When a leader logged the engines, in seconds after the first line. */
  readonly enginesAtS: number | undefined
  /** Engines that the line left out. */
  readonly unlistedEngines: number
  readonly held: readonly HeldRow[]
}

const EVENT = {
  leading: 184,
  leadOver: 185,
  refused: 192,
  overloaded: 247,
  short: 248,
  relieved: 249,
  engines: 270
}

/** Reasons of an end after which the request may have run. */
const MAY_HAVE_RUN: ReadonlySet<unknown> = new Set(["unknown", "timeout"])

/** Returns the report of a service. Undefined if no line names it. */
export function reportService(
  lines: readonly LogLine[],
  service: string
): ServiceReport | undefined {
  const sorted = [...lines].sort((a, b) => a.time - b.time)
  const own = sorted.filter(line => line["service"] === service)
  if (own.length === 0) return undefined
  const firstTime = sorted[0]?.time ?? 0
  const refused = listRefusals(own)
  const enginesLine = own.filter(({event}) => event === EVENT.engines).at(-1)
  const engines = enginesLine ? parseEngines(enginesLine) : []
  return {
    service,
    level: findLevel(sorted, service, firstTime),
    levelCount: own.filter(({event}) => event === EVENT.short).length,
    refusals: countRefusals(refused),
    engines,
    enginesAtS: enginesLine && (enginesLine.time - firstTime) / 1000,
    unlistedEngines: Number(enginesLine?.["of"] ?? 0) - engines.length,
    held: [...listHeldNow(enginesLine, engines), ...listHeldBefore(refused)]
  }
}

/** Boxes drop a level soon after its leader has gone; a new leader starts without one. */
function findLevel(
  sorted: readonly LogLine[],
  service: string,
  firstTime: number
): ReportedLevel | undefined {
  let current: LogLine | undefined
  for (const line of sorted) {
    if (line.event === EVENT.leading) current = undefined
    if (line.event === EVENT.leadOver && line.box === current?.box) current = undefined
    if (line["service"] !== service) continue
    if (line.event === EVENT.short) current = line
    if (line.event === EVENT.relieved) current = undefined
  }
  return (
    current && {
      leader: current.box,
      fromS: (current.time - firstTime) / 1000,
      rank: Number(current["rank"]),
      fraction: Number(current["fraction"]),
      roomInMs: Number(current["roomInMs"]),
      waitMs: Number(current["waitMs"]),
      organisations: splitList(current["organisations"])
    }
  )
}

interface Refusal {
  readonly route: string
  readonly organisation: string
  readonly cause: string
  /** What it waited for when it was refused; may be empty. */
  readonly waitedFor: string
  readonly heldMs: number
}

/** A box logs why it refuses for overload right before the end of the request. */
function listRefusals(own: readonly LogLine[]): Refusal[] {
  const overloads = new Map<string, string>()
  const refusals: Refusal[] = []
  for (const line of own) {
    const key = `${line.box} ${String(line["request"])}`
    if (line.event === EVENT.overloaded) overloads.set(key, String(line["cause"]))
    if (line.event !== EVENT.refused || MAY_HAVE_RUN.has(line["reason"])) continue
    refusals.push({
      route: String(line["route"]),
      organisation: String(line["organisation"] ?? ""),
      cause: overloads.get(key) ?? String(line["reason"]),
      waitedFor: String(line["waitedFor"] ?? ""),
      heldMs: Number(line["heldMs"] ?? 0)
    })
    overloads.delete(key)
  }
  return refusals
}

function countRefusals(refusals: readonly Refusal[]): RefusalRow[] {
  const rows = new Map<string, RefusalRow>()
  for (const {route, organisation, cause, waitedFor} of refusals) {
    const fullCause = waitedFor === "" ? cause : `${cause}, waited for ${waitedFor}`
    const key = JSON.stringify([route, organisation, fullCause])
    const requests = (rows.get(key)?.requests ?? 0) + 1
    rows.set(key, {route, organisation, cause: fullCause, requests})
  }
  return [...rows].sort(([a], [b]) => (a < b ? -1 : 1)).map(([, row]) => row)
}

/** Reads the engines of a line: identifier, requests, speed and tokens, by spaces. */
function parseEngines(line: LogLine): ReportedEngine[] {
  const places = Number(line["places"])
  return splitList(line["engines"]).map(text => {
    const [engine = "", running, speedPercent, queuedTokens] = text.split(" ")
    return {
      engine,
      running: Number(running),
      places,
      speedPercent: Number(speedPercent),
      queuedTokens: Number(queuedTokens)
    }
  })
}

/** Requests that wait at the last line about engines, for weights or for a place. */
function listHeldNow(
  line: LogLine | undefined,
  engines: readonly ReportedEngine[]
): HeldRow[] {
  const queued = engines.reduce(
    (sum, {running, places}) => sum + Math.max(0, running - places),
    0
  )
  return [
    {reason: "waiting for a place", requests: queued, longestMs: 0},
    {
      reason: "waiting for weights",
      requests: Number(line?.["waiting"] ?? 0),
      longestMs: 0
    }
  ].filter(({requests}) => requests > 0)
}

/** Requests that waited in a box and were refused. */
function listHeldBefore(refusals: readonly Refusal[]): HeldRow[] {
  const rows = new Map<string, HeldRow>()
  for (const {waitedFor, heldMs} of refusals) {
    if (waitedFor === "") continue
    const reason = `refused after waiting for ${waitedFor}`
    const {requests, longestMs} = rows.get(reason) ?? {requests: 0, longestMs: 0}
    rows.set(reason, {
      reason,
      requests: requests + 1,
      longestMs: Math.max(longestMs, heldMs)
    })
  }
  return [...rows.values()].sort((a, b) => (a.reason < b.reason ? -1 : 1))
}

function splitList(value: unknown): string[] {
  return typeof value === "string" && value !== "" ? value.split(",") : []
}
