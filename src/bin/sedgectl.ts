#!/usr/bin/env node
/** Command line for operators: a client of the administration API. */
import {readFileSync} from "node:fs"
import {cac} from "cac"
import {request} from "undici"
import {VERSION} from "../version.js"
import {readLogs} from "../adapters/log-reader.js"
import {explainRequest} from "../core/explain.js"
import {countLosses} from "../core/losses.js"
import {reportService} from "../core/service-report.js"
import {sumStoreCalls} from "../core/store-calls.js"
import {buildTimeline} from "../core/timeline.js"
import {
  formatDifference,
  formatExplanation,
  formatLosses,
  formatRows,
  formatService,
  formatStatus,
  formatStoreCalls,
  formatTimeline
} from "./sedgectl-tables.js"

const EXIT_REFUSED = 1
const EXIT_USAGE = 2
const WATCH_INTERVAL_MS = 200
const TIMEOUT_MS = 10_000

interface Flags {
  readonly admin: string
  readonly key?: string
  readonly json?: boolean
  readonly dryRun?: boolean
  readonly watch?: boolean
  readonly ifGeneration?: number
  readonly operation?: string
}

interface Answer {
  readonly status: number
  readonly body: Record<string, unknown>
}

async function call(
  flags: Flags,
  method: string,
  path: string,
  body?: unknown
): Promise<Answer> {
  const key = flags.key ?? process.env["SEDGE_KEY"]
  if (key === undefined) fail("no operator's key: use --key or set SEDGE_KEY", EXIT_USAGE)
  const url = new URL(path, flags.admin)
  if (flags.dryRun) url.searchParams.set("dryRun", "true")
  if (flags.ifGeneration !== undefined) {
    url.searchParams.set("ifGeneration", String(flags.ifGeneration))
  }
  if (flags.operation !== undefined) url.searchParams.set("operation", flags.operation)
  const answer = await request(url, {
    method: method as "GET",
    headers: {authorization: `Bearer ${key}`, "content-type": "application/json"},
    ...(body !== undefined && {body: JSON.stringify(body)}),
    signal: AbortSignal.timeout(TIMEOUT_MS)
  })
  const value = (await answer.body.json()) as Record<string, unknown>
  if (answer.statusCode >= 400) failWithProblem(value)
  return {status: answer.statusCode, body: value}
}

/** Prints a problem document with all findings and conflicts, and exits. */
function failWithProblem(problem: Record<string, unknown>): never {
  console.error(`${String(problem["code"])}: ${String(problem["title"])}`)
  if (problem["detail"]) console.error(String(problem["detail"]))
  for (const {place, message} of (problem["findings"] ?? []) as Record<
    string,
    string
  >[]) {
    console.error(`${place}: ${message}`)
  }
  for (const conflict of (problem["conflicts"] ?? []) as object[]) {
    console.error(JSON.stringify(conflict))
  }
  process.exit(EXIT_REFUSED)
}

function fail(message: string, code: number): never {
  console.error(message)
  process.exit(code)
}

function print(flags: Flags, value: unknown, table: () => string): void {
  console.log(flags.json ? JSON.stringify(value, null, 2) : table())
}

/** Reads a JSON document from a file, or from standard input for `-`. */
function readDocument(file: string): unknown {
  try {
    return JSON.parse(readFileSync(file === "-" ? 0 : file, "utf8"))
  } catch (cause) {
    fail(`${file}: ${(cause as Error).message}`, EXIT_USAGE)
  }
}

async function showAccepted(flags: Flags, {body}: Answer): Promise<void> {
  print(
    flags,
    body,
    () =>
      `accepted: generation ${String(body["generation"])}, operation ${String(body["operation"])}`
  )
  if (flags.watch && !flags.dryRun) await watchStatus(flags, Number(body["generation"]))
}

/** Waits until all processes have applied a generation. */
async function watchStatus(flags: Flags, generation: number): Promise<void> {
  for (;;) {
    const {body} = await call({...flags, dryRun: false}, "GET", "/v1/status")
    const processes = body["processes"] as {process: string; generation?: number}[]
    const waiting = processes.filter(
      ({generation: applied}) => (applied ?? 0) < generation
    )
    if (waiting.length === 0) {
      console.log(`in force on ${processes.length} processes`)
      return
    }
    console.log(`waiting for ${waiting.map(({process}) => process).join(", ")}`)
    await new Promise(done => setTimeout(done, WATCH_INTERVAL_MS))
  }
}

const recordPath = (kind: string, id: string) =>
  `/v1/records/${kind}/${encodeURIComponent(id)}`

const cli = cac("sedgectl")
cli.option("--admin <url>", "Administration API", {default: "http://127.0.0.1:7000"})
cli.option("--key <key>", "Operator's key (default: $SEDGE_KEY)")
cli.option("--json", "Print JSON")

cli
  .command("list <kind>", "List records of a kind")
  .action(async (kind: string, flags: Flags) => {
    const {body} = await call(flags, "GET", `/v1/records/${kind}`)
    print(flags, body, () =>
      formatRows(body["records"] as {id: string; generation: number}[])
    )
  })
cli
  .command("show <kind> <id>", "Show one record")
  .action(async (kind: string, id: string, flags: Flags) => {
    const {body} = await call(flags, "GET", recordPath(kind, id))
    console.log(JSON.stringify(body, null, 2))
  })
cli
  .command(
    "put <kind> <id> <file>",
    "Create or change a record from a JSON file, - for stdin"
  )
  .option("--dry-run", "Check only")
  .option("--watch", "Wait until it is in force everywhere")
  .option("--if-generation <n>", "Only if the record was last changed in this generation")
  .option("--operation <id>", "Operation id, to retry a change with an unknown outcome")
  .action(async (kind: string, id: string, file: string, flags: Flags) => {
    const answer = await call(flags, "PUT", recordPath(kind, id), readDocument(file))
    await showAccepted(flags, answer)
  })
cli
  .command("retire <kind> <id>", "Retire a record")
  .option("--dry-run", "Check only")
  .option("--watch", "Wait until it is in force everywhere")
  .option("--if-generation <n>", "Only if the record was last changed in this generation")
  .option("--operation <id>", "Operation id, to retry a change with an unknown outcome")
  .action(async (kind: string, id: string, flags: Flags) => {
    await showAccepted(flags, await call(flags, "DELETE", recordPath(kind, id)))
  })
cli
  .command("apply <file>", "Make a change of many records, all or none, from a JSON file")
  .option("--dry-run", "Check only")
  .option("--watch", "Wait until it is in force everywhere")
  .action(async (file: string, flags: Flags) => {
    await showAccepted(
      flags,
      await call(flags, "POST", "/v1/changes", readDocument(file))
    )
  })
cli.command("history", "Show the latest changes").action(async (flags: Flags) => {
  const {body} = await call(flags, "GET", "/v1/changes")
  const changes = body["changes"] as {
    generation: number
    operator: string
    records: object[]
  }[]
  print(flags, body, () =>
    changes
      .map(
        change =>
          `${change.generation}\t${change.operator}\t${JSON.stringify(change.records)}`
      )
      .join("\n")
  )
})
cli
  .command("diff <from> [to]", "Show what changed after one generation, up to another")
  .action(async (from: string, to: string | undefined, flags: Flags) => {
    const query = new URLSearchParams({from, ...(to !== undefined && {to})})
    const {body} = await call(flags, "GET", `/v1/difference?${query.toString()}`)
    print(flags, body, () => formatDifference(body))
  })
cli
  .command("operation <id>", "Show whether an operation was accepted")
  .action(async (id: string, flags: Flags) => {
    const {body} = await call(flags, "GET", `/v1/operations/${encodeURIComponent(id)}`)
    print(flags, body, () => `accepted in generation ${String(body["generation"])}`)
  })
cli
  .command("status", "Show what is in force on each process")
  .action(async (flags: Flags) => {
    const {body} = await call(flags, "GET", "/v1/status")
    print(flags, body, () => formatStatus(body))
  })
cli
  .command("explain <request>", "Explain from logs how a routed request was handled")
  .option("--logs <place>", "A file, a folder of files, or - for standard input", {
    default: "-"
  })
  .action((request: string, flags: Flags & {readonly logs: string}) => {
    const explanation = explainRequest(readLogs(flags.logs), request)
    if (!explanation) fail(`no log line contains the request ${request}`, EXIT_REFUSED)
    print(flags, explanation, () => formatExplanation(explanation))
  })
cli
  .command("losses", "Count from logs the outcomes of routed requests")
  .option("--logs <place>", "A file, a folder of files, or - for standard input", {
    default: "-"
  })
  .option("--span <seconds>", "Length of the time spans of the table; 0 means one span", {
    default: 0
  })
  .action((flags: Flags & {readonly logs: string; readonly span: number}) => {
    const rows = countLosses(readLogs(flags.logs), flags.span)
    print(flags, {rows}, () => formatLosses(rows))
  })
cli
  .command(
    "calls",
    "Count from logs calls to the key-value service by caller, reason and outcome"
  )
  .option("--logs <place>", "A file, a folder of files, or - for standard input", {
    default: "-"
  })
  .option("--span <seconds>", "Length of the time spans of the table; 0 means one span", {
    default: 0
  })
  .action((flags: Flags & {readonly logs: string; readonly span: number}) => {
    const rows = sumStoreCalls(readLogs(flags.logs), flags.span)
    print(flags, {rows}, () => formatStoreCalls(rows))
  })
cli
  .command("service <name>", "Show from logs the load of a service with engines")
  .option("--logs <place>", "A file, a folder of files, or - for standard input", {
    default: "-"
  })
  .action((name: string, flags: Flags & {readonly logs: string}) => {
    const report = reportService(readLogs(flags.logs), name)
    if (!report) fail(`no log line names the service ${name}`, EXIT_REFUSED)
    print(flags, report, () => formatService(report))
  })
cli
  .command("timeline", "Show from logs the events of a deployment in order")
  .option("--logs <place>", "A file, a folder of files, or - for standard input", {
    default: "-"
  })
  .action((flags: Flags & {readonly logs: string}) => {
    const entries = buildTimeline(readLogs(flags.logs))
    print(flags, {entries}, () => formatTimeline(entries))
  })
cli.help()
cli.version(VERSION)

try {
  cli.parse(process.argv, {run: false})
  if (!cli.matchedCommand && !cli.options["help"] && !cli.options["version"]) {
    cli.outputHelp()
    process.exit(EXIT_USAGE)
  }
  await cli.runMatchedCommand()
} catch (cause) {
  fail((cause as Error).message, EXIT_REFUSED)
}
