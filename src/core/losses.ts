/**
 * Where requests are lost, from the log lines of all boxes: for each route, how many were answered
 * in time, and for each of the others the one cause that says most. Every request counts once, so
 * that a row adds up to its total.
 */
import type {LogLine} from "./explain.js"

/** What became of a request; the first is the only one without a loss. */
export const OUTCOMES = [
  "in-time",
  /** Late, and it waited for its weights longer than for the engine. */
  "late-weights",
  /** Late, and it was sent more than once. */
  "late-repeated",
  /** Late, and most of the time passed at the backend server. */
  "late-server",
  /** Refused unrun within a quarter of its target. */
  "refused-soon",
  /** Refused unrun later than that. */
  "refused-held",
  /** Refused unrun: its organisation had used its limit. */
  "over-limit",
  /** Refused unrun: its key was taken away while it waited. */
  "denied",
  /** It may have run: its server broke, or its time was over. */
  "failed",
  "cut",
  /** The caller left first. */
  "left",
  /** Answered by the box itself: no route, or no configuration. */
  "own"
] as const

export type Outcome = (typeof OUTCOMES)[number]

/** Counts of one route in one span of time. */
export interface LossRow {
  readonly route: string
  /** Start of the span, seconds after the first line; boxes' clocks are taken for alike. */
  readonly fromS: number
  readonly total: number
  readonly counts: Readonly<Partial<Record<Outcome, number>>>
}

/** A refusal within this part of the target leaves its caller time to come back. */
const SOON_SHARE = 0.25

const EVENT = {again: 191, refused: 192, cut: 193, ended: 194, left: 196, none: 197}

interface Row {
  readonly route: string
  readonly fromS: number
  total: number
  readonly counts: Partial<Record<Outcome, number>>
}

/** Counts outcomes by route and by spans of so many seconds; 0: one span. */
export function tellLosses(lines: readonly LogLine[], spanS: number): LossRow[] {
  let begin = Infinity
  for (const {time} of lines) begin = Math.min(begin, time)
  const rows = new Map<string, Row>()
  for (const line of lines) {
    const outcome = judgeLine(line)
    if (!outcome) continue
    const route = String(line["route"] ?? "(none)")
    const afterS = (line.time - begin) / 1000
    const fromS = spanS > 0 ? Math.floor(afterS / spanS) * spanS : 0
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

/** The outcome that a line tells; undefined: it ends no request. */
function judgeLine(line: LogLine): Outcome | undefined {
  switch (line.event) {
    case EVENT.ended:
      return judgeAnswer(line)
    case EVENT.refused: {
      const {reason} = line as {reason?: unknown}
      if (reason === "over-limit" || reason === "denied") return reason
      if (reason !== "not-run") return "failed"
      const soonMs = Number(line["targetMs"]) * SOON_SHARE
      return Number(line["heldMs"]) <= soonMs ? "refused-soon" : "refused-held"
    }
    case EVENT.cut:
      return "cut"
    case EVENT.left:
      return "left"
    case EVENT.none:
      return "own"
    default:
      return undefined
  }
}

function judgeAnswer(line: LogLine): Outcome {
  const firstMs = Number(line["firstMs"])
  const sentMs = Number(line["sentMs"])
  if (firstMs <= Number(line["targetMs"])) return "in-time"
  if (Number(line["attempts"]) > 1) return "late-repeated"
  return sentMs > firstMs - sentMs ? "late-weights" : "late-server"
}
