/** Summarises the log lines of boxes for the output of a test that failed. */
import type {LogLine} from "../../src/core/explain.js"
import {EVENTS, type EventName} from "../../src/events.js"

/** Events that tell who led, and why, and what a new leader counted. */
const LEADERSHIP: readonly EventName[] = [
  "leading",
  "lead-over",
  "box-linked",
  "box-unlinked",
  "lease-helped",
  "lease-own",
  "usage-helped",
  "usage-own",
  "usage-taken-over"
]

const LEADERSHIP_FIELDS = [
  "reason",
  "overdueMs",
  "gapMs",
  "organisation",
  "counted",
  "limit",
  "awaited",
  "unknownMs"
]

const REFUSALS: readonly EventName[] = ["route-refused", "route-none"]

const REFUSAL_FIELDS = ["reason", "waitedFor", "limit", "hasLeader"]

/**
 * Returns the changes of the leadership, and the requests that boxes refused in each
 * second, by box and reason. Times are in seconds after the first line.
 */
export function summarizeRefusals(logs: string): string[] {
  const lines = parseLines(logs).sort((a, b) => a.time - b.time)
  const from = lines[0]?.time ?? 0
  const changes: string[] = []
  const counts = new Map<string, number>()
  for (const line of lines) {
    const atS = (line.time - from) / 1000
    const change = nameOf(line, LEADERSHIP)
    if (change !== undefined) {
      changes.push(describe(`${atS.toFixed(3)} s`, line, change, LEADERSHIP_FIELDS))
    }
    const refusal = nameOf(line, REFUSALS)
    if (refusal === undefined) continue
    const text = describe(`second ${Math.floor(atS)}`, line, refusal, REFUSAL_FIELDS)
    counts.set(text, (counts.get(text) ?? 0) + 1)
  }
  return [...changes, ...[...counts].map(([text, count]) => `${text}: ${count}`)]
}

function nameOf({event}: LogLine, names: readonly EventName[]): EventName | undefined {
  return names.find(name => EVENTS[name].number === event)
}

function describe(
  when: string,
  line: LogLine,
  name: EventName,
  fields: readonly string[]
): string {
  const known = fields.filter(field => line[field] !== undefined && line[field] !== "")
  const values = known.map(field => `${field} ${String(line[field])}`)
  return `${when}, ${line.box}, ${[name, ...values].join(", ")}`
}

function parseLines(logs: string): LogLine[] {
  return logs.split("\n").flatMap(line => {
    try {
      return [JSON.parse(line) as LogLine]
    } catch {
      // Not a log line.
      return []
    }
  })
}
