/**
 * Counts, from the log lines of all boxes, how many requests of each route were answered
 * in time, and the others by their main cause. Each request counts once, so a row adds up
 * to its total.
 */
import type {LogLine} from "./explain.js"

/** The outcomes of a request; all but the first are losses. */
export const OUTCOMES = [
  "in-time",
  /** Answered late; the wait for the weights was longer than the time at the engine. */
  "late-weights",
  /** Answered late after a retry. */
  "late-repeated",
  /** Answered late; most of the time passed at the backend server. */
  "late-server",
  /** Begun in time, but a pause between its events was longer than the route allows. */
  "paused",
  /** Refused without having run, as it came. */
  "refused-at-once",
  /** Refused without having run, after it had waited in the box. */
  "refused-held",
  /** Refused without having run, for lack of capacity at engines. */
  "refused-overload",
  /** Refused without having run, as its organisation was beyond its share of places. */
  "refused-share",
  /** Refused without having run: the organisation had reached its usage limit. */
  "over-limit",
  /** Refused without having run: the API key was revoked while the request waited. */
  "denied",
  /** May have run: the backend server failed, or the deadline passed. */
  "failed",
  "cut",
  /** The caller disconnected first. */
  "left",
  /** Answered by the box itself, for lack of a route or a configuration. */
  "own"
] as const

export type Outcome = (typeof OUTCOMES)[number]

/** Outcomes of one route in one time span. */
export interface LossRow {
  readonly route: string
  /**
   * Start of the span in seconds after the first line, assuming that the boxes' clocks
   * agree.
   */
  readonly fromS: number
  readonly total: number
  readonly counts: Readonly<Partial<Record<Outcome, number>>>
}

/**
 * A refusal within this time was decided as the request came (ms): it has waited for no
 * more than two ticks of its box.
 */
const AT_ONCE_MS = 50

const EVENT = {
  retry: 191,
  refused: 192,
  cut: 193,
  ended: 194,
  callerDisconnected: 196,
  answeredByBox: 197,
  overloaded: 247
}

interface MutableRow {
  readonly route: string
  readonly fromS: number
  total: number
  readonly counts: Partial<Record<Outcome, number>>
}

/** Counts outcomes by route and by spans of `spanS` seconds. 0 means one span. */
export function countLosses(lines: readonly LogLine[], spanS: number): LossRow[] {
  let firstTime = Infinity
  for (const {time} of lines) firstTime = Math.min(firstTime, time)
  const rows = new Map<string, MutableRow>()
  /** Why requests that end with the next line of their box were refused. */
  const overloads = new Map<string, Outcome>()
  for (const line of lines) {
    const overload = takeOverload(overloads, line)
    const outcome = overload ?? outcomeOfLine(line)
    if (!outcome) continue
    const route = String(line["route"] ?? "(none)")
    const sinceFirstS = (line.time - firstTime) / 1000
    const fromS = spanS > 0 ? Math.floor(sinceFirstS / spanS) * spanS : 0
    const key = `${fromS} ${route}`
    const row = rows.get(key) ?? {route, fromS, total: 0, counts: {}}
    rows.set(key, row)
    row.total++
    row.counts[outcome] = (row.counts[outcome] ?? 0) + 1
  }
  return [...rows.values()].sort(
    (a, b) => a.fromS - b.fromS || (a.route < b.route ? -1 : 1)
  )
}

/**
 * Remembers a refusal for overload, which a box logs right before the end of the request,
 * and returns it for that end.
 */
function takeOverload(
  overloads: Map<string, Outcome>,
  line: LogLine
): Outcome | undefined {
  const key = `${line.box} ${String(line["request"])}`
  if (line.event === EVENT.overloaded) {
    overloads.set(key, line["cause"] === "share" ? "refused-share" : "refused-overload")
  }
  if (line.event !== EVENT.refused) return undefined
  const overload = overloads.get(key)
  overloads.delete(key)
  return overload
}

/** Returns the outcome that a line reports. Undefined if the line ends no request. */
function outcomeOfLine(line: LogLine): Outcome | undefined {
  switch (line.event) {
    case EVENT.ended:
      return outcomeOfAnswer(line)
    case EVENT.refused: {
      const {reason} = line as {reason?: unknown}
      if (reason === "over-limit" || reason === "denied") return reason
      if (reason !== "not-run") return "failed"
      return Number(line["heldMs"]) <= AT_ONCE_MS ? "refused-at-once" : "refused-held"
    }
    case EVENT.cut:
      return "cut"
    case EVENT.callerDisconnected:
      return "left"
    case EVENT.answeredByBox:
      return "own"
    default:
      return undefined
  }
}

function outcomeOfAnswer(line: LogLine): Outcome {
  const firstMs = Number(line["firstMs"])
  const sentMs = Number(line["sentMs"])
  if (firstMs <= Number(line["targetMs"])) return hasPaused(line) ? "paused" : "in-time"
  if (Number(line["attempts"]) > 1) return "late-repeated"
  return sentMs > firstMs - sentMs ? "late-weights" : "late-server"
}

/** Whether the events of an answer paused for longer than its route allows. */
function hasPaused(line: LogLine): boolean {
  const gapTargetMs = Number(line["gapTargetMs"] ?? 0)
  return gapTargetMs > 0 && Number(line["gapMs"]) > gapTargetMs
}
