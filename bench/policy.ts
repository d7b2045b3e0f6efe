/**
 * `npm run bench -- policy`: compares the built-in policies on the same loads, one per
 * deployment size and seed, with a clairvoyant eviction in the same queue.
 */
import type {EngineView, Policy} from "../src/core/policy.js"
import {BUILT_IN_POLICY, POLICY_PROGRAMS} from "../src/index.js"
import {type Arrival, type Deployment, drawArrivals, runLoad} from "./policy-load.js"

const DEPLOYMENTS: readonly Deployment[] = [
  {
    name: "cotejo",
    engines: 6,
    loadsPerSecond: 2,
    loadsAtOnce: 2,
    requestsPerSecond: 5
  },
  {
    name: "tatrapay",
    engines: 13,
    loadsPerSecond: 4,
    loadsAtOnce: 6,
    requestsPerSecond: 12
  }
]
const SEEDS = [1, 2, 3]

export function benchPolicy(): void {
  for (const deployment of DEPLOYMENTS) {
    for (const seed of SEEDS) {
      const arrivals = drawArrivals(seed, deployment)
      console.log(`${deployment.name}, seed ${seed}: ${arrivals.length} requests`)
      const policies = [...createPrograms(), clairvoyant(arrivals)]
      console.table(
        Object.fromEntries(
          policies.map(policy => [
            policy.name,
            runRow(arrivals, deployment, policy, seed)
          ])
        )
      )
    }
  }
}

function createPrograms(): Policy[] {
  const reserving = POLICY_PROGRAMS["warm-first"]?.({reservedLoads: 1})
  return [
    ...Object.values(POLICY_PROGRAMS).map(create => create({})),
    ...(reserving ? [{...reserving, name: "warm-first, reserving"}] : [])
  ]
}

function runRow(
  arrivals: readonly Arrival[],
  deployment: Deployment,
  policy: Policy,
  seed: number
): object {
  const report = runLoad(arrivals, deployment, policy, seed)
  return {
    "stall mean ms": Math.round(report.stalls.mean),
    "till p95 ms": report.urgentStalls.getValueAtPercentile(95),
    "p95 ms": report.stalls.getValueAtPercentile(95),
    "p99 ms": report.stalls.getValueAtPercentile(99),
    "p95 after shift ms": report.shiftStalls.getValueAtPercentile(95),
    "batch fill": report.batchFill.toFixed(4),
    answered: report.answered,
    refused: report.refused,
    loads: report.loads
  }
}

/** Returns the bound for other policies: evicts the model with the latest next use. */
function clairvoyant(arrivals: readonly Arrival[]): Policy {
  const times = new Map<string, number[]>()
  for (const {model, at} of arrivals) times.set(model, [...(times.get(model) ?? []), at])
  const nextUse = (model: string, now: number) =>
    times.get(model)?.find(at => at > now) ?? Infinity
  const rankVictims = ({models}: EngineView, now: number) =>
    [...models.keys()].sort((a, b) => nextUse(b, now) - nextUse(a, now))
  return {...BUILT_IN_POLICY, name: "clairvoyant (bound)", rankVictims}
}
