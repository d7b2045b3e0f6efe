/**
 * Calls to the key-value service over all boxes, from their log lines. Each line tells the sums since
 * its process started, so that a line that was left out is made up for by the next one; what a process
 * did after its last line is missing.
 */
import type {LogLine} from "./explain.js"

/** Counts of one caller, reason and outcome in one span of time. */
export interface StoreCallRow {
  /** Start of the span, seconds after the first line; boxes' clocks are taken for alike. */
  readonly fromS: number
  readonly caller: string
  readonly reason: string
  readonly outcome: string
  readonly calls: number
  /** Processes that made some of them. */
  readonly processes: number
}

const STORE_CALLS_EVENT = 214

interface Row {
  calls: number
  readonly processes: Set<string>
}

/** Sums by spans of so many seconds, the most calls of a span first; 0: one span. */
export function tellStoreCalls(lines: readonly LogLine[], spanS: number): StoreCallRow[] {
  let begin = Infinity
  for (const {time} of lines) begin = Math.min(begin, time)
  const rows = new Map<string, Row>()
  const told = new Map<string, number>()
  for (const line of lines) {
    if (line.event !== STORE_CALLS_EVENT) continue
    const process = `${line.box} ${String(line["process"])}`
    const afterS = (line.time - begin) / 1000
    const fromS = spanS > 0 ? Math.floor(afterS / spanS) * spanS : 0
    for (const [kind, sum] of readCounts(line["calls"])) {
      const calls = sum - (told.get(`${process} ${kind}`) ?? 0)
      if (calls <= 0) continue
      told.set(`${process} ${kind}`, sum)
      addTo(rows, `${fromS} ${kind}`, calls, process)
    }
  }
  return [...rows].map(toRow).sort((a, b) => a.fromS - b.fromS || b.calls - a.calls)
}

/** What is no count is passed over: lines come from files that others may have touched. */
function readCounts(calls: unknown): [kind: string, sum: number][] {
  if (typeof calls !== "object" || calls === null) return []
  return Object.entries(calls).filter(
    (entry): entry is [string, number] =>
      typeof entry[1] === "number" && entry[0].split(" ").length === 3
  )
}

function addTo(
  rows: Map<string, Row>,
  key: string,
  calls: number,
  process: string
): void {
  const row = rows.get(key) ?? {calls: 0, processes: new Set<string>()}
  rows.set(key, row)
  row.calls += calls
  row.processes.add(process)
}

function toRow([key, {calls, processes}]: [string, Row]): StoreCallRow {
  const [fromS, caller = "", reason = "", outcome = ""] = key.split(" ")
  return {
    fromS: Number(fromS),
    caller,
    reason,
    outcome,
    calls,
    processes: processes.size
  }
}
