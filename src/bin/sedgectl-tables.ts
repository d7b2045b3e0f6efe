/** The tables that sedgectl prints. */
import type {ExplainedStep, Explanation} from "../core/explain.js"
import {type LossRow, OUTCOMES} from "../core/losses.js"
import type {StoreCallRow} from "../core/store-calls.js"
import type {TimelineEntry} from "../core/timeline.js"
import {EVENTS} from "../events.js"

/** Boxes that a row of a timeline names at most. */
const NAMED_BOXES = 4

/** Rows of records, one a line. */
export function formatRows(records: readonly {id: string; generation: number}[]): string {
  const width = Math.max(2, ...records.map(({id}) => id.length))
  const lines = records.map(({id, generation}) => `${id.padEnd(width)}  ${generation}`)
  return [`${"ID".padEnd(width)}  GENERATION`, ...lines].join("\n")
}

/** The status of all processes, one a line. */
export function formatStatus(body: Record<string, unknown>): string {
  const processes = body["processes"] as Record<string, unknown>[]
  const lines = processes.map(
    ({process, dataCentre, generation}) =>
      `${String(process)}\t${String(dataCentre)}\t${String(generation ?? "no answer")}`
  )
  const head = `generation ${String(body["generation"])}, in force everywhere: ${String(body["inForceEverywhere"])}`
  return [head, "PROCESS\tDATA CENTRE\tGENERATION", ...lines].join("\n")
}

/** Differences: what a record was and is, and whose change it was. */
export function formatDifference(body: Record<string, unknown>): string {
  const records = body["records"] as Record<string, unknown>[]
  const show = (value: unknown) =>
    value === undefined ? "nothing" : JSON.stringify(value)
  return records
    .flatMap(({kind, id, generation, operator, before, after}) => [
      `${String(kind)} ${String(id)}\tgeneration ${String(generation)} by ${String(operator)}`,
      `- ${show(before)}`,
      `+ ${show(after)}`
    ])
    .join("\n")
}

/** A request's story: its steps, its weights' way, and what its boxes believed. */
export function formatExplanation(explanation: Explanation): string {
  const {request, verdict, steps, placement, beliefs} = explanation
  return [
    `${request}: ${verdict}`,
    ...section("STEPS", steps),
    ...section("WEIGHTS", placement),
    ...section("BELIEFS", beliefs)
  ].join("\n")
}

function section(title: string, steps: readonly ExplainedStep[]): string[] {
  if (steps.length === 0) return []
  const rows = steps.map(
    ({box, afterMs, event, text}) => `${box}\t+${afterMs} ms\t${event}\t${text}`
  )
  return [title, ...rows]
}

/** What became of requests: a row for each route and span, a column for each outcome met. */
export function formatLosses(rows: readonly LossRow[]): string {
  const met = OUTCOMES.filter(outcome => rows.some(({counts}) => counts[outcome]))
  const lines = rows.map(({fromS, route, total, counts}) =>
    [fromS, route, total, ...met.map(outcome => counts[outcome] ?? 0)].join("\t")
  )
  return [["FROM S", "ROUTE", "TOTAL", ...met].join("\t"), ...lines].join("\n")
}

/** Who called the key-value service: a row for each caller, reason and outcome of a span, then the sum. */
export function formatStoreCalls(rows: readonly StoreCallRow[]): string {
  const lines = rows.map(({fromS, caller, reason, outcome, calls, processes}) =>
    [fromS, caller, reason, outcome, calls, processes].join("\t")
  )
  const sum = rows.reduce((total, {calls}) => total + calls, 0)
  const head = ["FROM S", "CALLER", "REASON", "OUTCOME", "CALLS", "PROCESSES"].join("\t")
  return [head, ...lines, `all\t\t\t\t${sum}`].join("\n")
}

/** What the boxes went through: when the first and the last wrote of it, what it was, and who they are. */
export function formatTimeline(entries: readonly TimelineEntry[]): string {
  const names = new Map<number, string>(
    Object.entries(EVENTS).map(([name, {number}]) => [number, name])
  )
  const lines = entries.map(({fromS, toS, event, subject, boxes}) => {
    const who =
      boxes.length <= NAMED_BOXES
        ? boxes.join(" ")
        : `${boxes.length} boxes, ${boxes[0]} first`
    const what = names.get(event) ?? String(event)
    return [fromS.toFixed(3), toS.toFixed(3), what, subject, who].join("\t")
  })
  return [["FROM S", "TO S", "EVENT", "ABOUT", "BOXES"].join("\t"), ...lines].join("\n")
}
