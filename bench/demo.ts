/**
 * Demonstrates the main use with the stand-ins: two organisations with 500 adapters on 24
 * slots. During the run an engine restarts empty and an owner is killed. The table is
 * computed from the callers' results and the engines' logs.
 */
import {build} from "hdr-histogram-js"
import {command, Deployment, getJson} from "../test/support/deployment.js"
import {
  type Call,
  countViolations,
  type EngineReport,
  judge,
  measureStalls,
  readEngines
} from "../test/support/oracle.js"
import {runWorkload} from "./workload.js"

const REQUESTS = 2_000
const PER_SECOND = 90
const RESTART_AT = 700
const KILL_AT = 1_200
const PROGRESS_EVERY = 200

async function main(): Promise<number> {
  console.log("starting 3 boxes, 6 engines of 4 slots, 500 adapters of 2 base models ...")
  const deployment = await Deployment.start({
    boxes: 3,
    engines: ["base-a", "base-a", "base-a", "base-b", "base-b", "base-b"].map(base => ({
      base,
      slots: 4,
      loadMs: 60
    })),
    adapters: 250,
    organisations: ["cotejo", "tatrapay"],
    loadsPerSecond: 40,
    loadsAtOnce: 8
  })
  try {
    const calls = await runWorkload(deployment, {
      requests: REQUESTS,
      requestsPerSecond: PER_SECOND,
      zipfExponent: 1.3,
      seed: 7,
      onceFraction: 0.2,
      repeatFraction: 0.3,
      maxTokens: 24,
      onSent: count => void injectFaults(deployment, count)
    })
    const engines = await readEngines(deployment)
    return printReport(calls, engines)
  } finally {
    await deployment.stop()
  }
}

async function injectFaults(deployment: Deployment, count: number): Promise<void> {
  if (count % PROGRESS_EVERY === 0) console.log(`${count} of ${REQUESTS} requests sent`)
  if (count === RESTART_AT) {
    console.log("restarting engine-0 empty")
    const [engine] = deployment.engines
    if (engine) await command(engine, "restart")
  }
  if (count === KILL_AT) await killOwner(deployment)
}

async function killOwner(deployment: Deployment): Promise<void> {
  for (const box of deployment.boxes) {
    const state = await getJson(`http://${box.keeperOps}/state`)
    if (!("cell:cell-1" in state.owned)) continue
    console.log(`killing the keeper of ${box.name}, which owns the engines`)
    await box.keeper.end("SIGKILL")
    box.keeper = deployment.startProcess("keeper", box.settingsFile)
    return
  }
}

function printReport(calls: readonly Call[], engines: readonly EngineReport[]): number {
  const violations = judge(calls, engines)
  const stalls = measureStalls(calls, engines)
  const organisations = [...new Set(calls.map(call => call.organisation))].sort()
  const rows = organisations.map(organisation => {
    const ownCalls = calls.filter(call => call.organisation === organisation)
    return describeOrganisation(organisation, ownCalls, stalls, engines)
  })
  console.table(rows)
  const violationCounts = Object.fromEntries(
    Object.entries(violations).map(([name, list]) => [name, (list as string[]).length])
  )
  console.log("must be 0:")
  console.table([violationCounts])
  for (const [name, list] of Object.entries(violations)) {
    for (const evidence of (list as string[]).slice(0, 5))
      console.log(`${name}: ${evidence}`)
  }
  return countViolations(violations) === 0 ? 0 : 1
}

function describeOrganisation(
  organisation: string,
  calls: readonly Call[],
  stalls: ReadonlyMap<string, number>,
  engines: readonly EngineReport[]
): object {
  const histogram = build()
  const answered = calls.filter(({result}) => result.kind === "answered")
  for (const {tag} of answered) histogram.recordValue(stalls.get(tag) ?? 0)
  const count = (test: (call: Call) => boolean) => calls.filter(test).length
  return {
    organisation,
    requests: calls.length,
    answered: answered.length,
    "refused not run": count(({result}) => result.outcome === "not-run"),
    "key known": count(({result}) => result.code.startsWith("key-")),
    "outcome unknown": count(
      ({result}) =>
        result.kind === "broken" ||
        (result.outcome === "unknown" && !result.code.startsWith("key-"))
    ),
    failed: count(({result}) => result.outcome === "failed"),
    "stall p50 ms": histogram.getValueAtPercentile(50),
    "stall p95 ms": histogram.getValueAtPercentile(95),
    "stall p99 ms": histogram.getValueAtPercentile(99),
    "batch efficiency": batchEfficiency(organisation, calls, engines).toFixed(3)
  }
}

/** Returns the mean batch fill of the steps that generated the organisation's tokens. */
function batchEfficiency(
  _organisation: string,
  calls: readonly Call[],
  engines: readonly EngineReport[]
): number {
  const models = new Set(calls.map(call => call.model))
  let tokens = 0
  let fill = 0
  for (const engine of engines) {
    for (const [model, sums] of engine.fills) {
      if (!models.has(model)) continue
      tokens += sums.tokens
      fill += sums.fill
    }
  }
  return tokens === 0 ? 0 : fill / tokens
}

process.exitCode = await main()
