/** The tables that sedgectl prints. */
import type {ExplainedStep, Explanation} from "../core/explain.js"
import {type LossRow, OUTCOMES} from "../core/losses.js"
import type {ServiceReport} from "../core/service-report.js"
import type {StoreCallRow} from "../core/store-calls.js"
import type {TimelineEntry} from "../core/timeline.js"
import {EVENTS} from "../events.js"

/** Limit for the boxes listed in a row of a timeline. */
const MAX_LISTED_BOXES = 4

/** Formats records, one per line. */
export function formatRows(records: readonly {id: string; generation: number}[]): string {
  const width = Math.max(2, ...records.map(({id}) => id.length))
  const lines = records.map(({id, generation}) => `${id.padEnd(width)}  ${generation}`)
  return [`${"ID".padEnd(width)}  GENERATION`, ...lines].join("\n")
}

/** Formats the status of all processes, one per line. */
export function formatStatus(body: Record<string, unknown>): string {
  const processes = body["processes"] as Record<string, unknown>[]
  const lines = processes.map(
    ({process, dataCentre, generation}) =>
      `${String(process)}\t${String(dataCentre)}\t${String(generation ?? "no answer")}`
  )
  const head = `generation ${String(body["generation"])}, in force everywhere: ${String(body["inForceEverywhere"])}`
  return [head, "PROCESS\tDATA CENTRE\tGENERATION", ...lines].join("\n")
}

/** Formats changed records, each with its operator, old and new value. */
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

/**
 * Formats the steps of a request, the orders for its weights, and changes in the boxes'
 * view of the system.
 */
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

/** Formats a row for each route and time span, and a column for each outcome found. */
export function formatLosses(rows: readonly LossRow[]): string {
  const occurred = OUTCOMES.filter(outcome => rows.some(({counts}) => counts[outcome]))
  const lines = rows.map(({fromS, route, total, counts}) =>
    [fromS, route, total, ...occurred.map(outcome => counts[outcome] ?? 0)].join("\t")
  )
  return [["FROM S", "ROUTE", "TOTAL", ...occurred].join("\t"), ...lines].join("\n")
}

/**
 * Formats calls to the key-value service, with a row for each time span, caller, reason
 * and outcome, and the total.
 */
export function formatStoreCalls(rows: readonly StoreCallRow[]): string {
  const lines = rows.map(({fromS, caller, reason, outcome, calls, processes}) =>
    [fromS, caller, reason, outcome, calls, processes].join("\t")
  )
  const total = rows.reduce((sum, {calls}) => sum + calls, 0)
  const head = ["FROM S", "CALLER", "REASON", "OUTCOME", "CALLS", "PROCESSES"].join("\t")
  return [head, ...lines, `all\t\t\t\t${total}`].join("\n")
}

/** Formats a row for each event, with the times of its first and its last log line. */
export function formatTimeline(entries: readonly TimelineEntry[]): string {
  const names = new Map<number, string>(
    Object.entries(EVENTS).map(([name, {number}]) => [number, name])
  )
  const lines = entries.map(({fromS, toS, event, subject, boxes}) => {
    const boxText =
      boxes.length <= MAX_LISTED_BOXES
        ? boxes.join(" ")
        : `${boxes.length} boxes, ${boxes[0]} first`
    const eventName = names.get(event) ?? String(event)
    return [fromS.toFixed(3), toS.toFixed(3), eventName, subject, boxText].join("\t")
  })
  return [["FROM S", "TO S", "EVENT", "ABOUT", "BOXES"].join("\t"), ...lines].join("\n")
}

/** Formats the level of a service, and tables of refusals, engines and held requests. */
export function formatService(report: ServiceReport): string {
  const {service, level, levelCount, refusals, engines, held} = report
  const organisations = level?.organisations.join(" ") || "none"
  const levelText = level
    ? `rank ${level.rank} (${level.fraction} of it) and less urgent ones are refused since ${level.fromS} s by ${level.leader}; ` +
      `a request would wait for ${level.waitMs} ms, capacity in ${level.roomInMs} ms; beyond their shares: ${organisations}`
    : "no level of pressure in force"
  return [
    `${service}: ${levelText}; levels so far: ${levelCount}`,
    ...table("REFUSALS", ["ROUTE", "ORGANISATION", "CAUSE", "REQUESTS"], refusals),
    ...table(
      enginesTitle(report),
      ["ENGINE", "RUNNING", "PLACES", "SPEED %", "QUEUED TOKENS"],
      engines
    ),
    ...table("HELD BACK", ["REASON", "REQUESTS", "LONGEST MS"], held)
  ].join("\n")
}

function enginesTitle({enginesAtS, unlistedEngines}: ServiceReport): string {
  const at = enginesAtS === undefined ? "no line" : `at ${enginesAtS} s`
  return `ENGINES (${at}${unlistedEngines > 0 ? `, ${unlistedEngines} more` : ""})`
}

/** Formats rows whose fields are in the order of the heads. Empty without rows. */
function table(
  title: string,
  heads: readonly string[],
  rows: readonly object[]
): string[] {
  if (rows.length === 0) return []
  return [title, heads.join("\t"), ...rows.map(row => Object.values(row).join("\t"))]
}
