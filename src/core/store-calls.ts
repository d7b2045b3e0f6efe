/**
 * Sums up calls to the key-value service over all boxes from their log lines. Each line
 * contains the sums since the start of its process, so that the next line makes up for a
 * missing one. Calls after the last line of a process are not counted.
 */
import type {LogLine} from "./explain.js"

/** Count for one caller, reason and outcome in one time span. */
export interface StoreCallRow {
  /**
   * Start of the span, in seconds after the first line. Boxes' clocks are assumed to
   * agree.
   */
  readonly fromS: number
  readonly caller: string
  readonly reason: string
  readonly outcome: string
  readonly calls: number
  /** Number of processes that made the calls. */
  readonly processes: number
}

const STORE_CALLS_EVENT = 214

interface Row {
  calls: number
  readonly processes: Set<string>
}

/**
 * Returns the counts by spans of `spanS` seconds, most frequent calls first. 0 means one
 * span.
 */
export function sumStoreCalls(lines: readonly LogLine[], spanS: number): StoreCallRow[] {
  let firstTime = Infinity
  for (const {time} of lines) firstTime = Math.min(firstTime, time)
  const rows = new Map<string, Row>()
  const lastSums = new Map<string, number>()
  for (const line of lines) {
    if (line.event !== STORE_CALLS_EVENT) continue
    const process = `${line.box} ${String(line["process"])}`
    const afterS = (line.time - firstTime) / 1000
    const fromS = spanS > 0 ? Math.floor(afterS / spanS) * spanS : 0
    for (const [kind, sum] of readCounts(line["calls"])) {
      const calls = sum - (lastSums.get(`${process} ${kind}`) ?? 0)
      if (calls <= 0) continue
      lastSums.set(`${process} ${kind}`, sum)
      addTo(rows, `${fromS} ${kind}`, calls, process)
    }
  }
  return [...rows].map(toRow).sort((a, b) => a.fromS - b.fromS || b.calls - a.calls)
}

/** Ignores everything that is not a count, since log files may have been edited. */
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
