/** Chaos round: injects random faults drawn from a seed, two at a time, under load. */
import {createRandomSource, runWorkload} from "../../bench/workload.js"
import {command, Deployment} from "./deployment.js"
import {countViolations, judge, readEngines} from "./oracle.js"

export interface ChaosResult {
  readonly calls: number
  readonly faults: readonly string[]
  readonly violations: number
  readonly evidence: string
  readonly outcomes: ReadonlyMap<string, number>
}

const FAULT_COUNT = 6
const REQUEST_COUNT = 400
const REQUESTS_PER_SECOND = 40

type PickRandom = <T>(items: readonly T[]) => T

interface Fault {
  readonly name: string
  /** Starts the fault and resolves with a function that ends it. */
  readonly begin: (
    deployment: Deployment,
    pick: PickRandom
  ) => Promise<() => Promise<void> | void>
  readonly lastsMs: number
}

/** Longer than the expiry and takeover of a lease with `TEST_TIMING`. */
const LONG_FAULT_MS = 4_000
const SHORT_FAULT_MS = 1_200

const FAULTS: readonly Fault[] = [
  {name: "kill-keeper", lastsMs: SHORT_FAULT_MS, begin: kill("keeper")},
  {name: "kill-entry", lastsMs: SHORT_FAULT_MS, begin: kill("entry")},
  {name: "stop-keeper", lastsMs: LONG_FAULT_MS, begin: pause("keeper")},
  {name: "stop-entry", lastsMs: LONG_FAULT_MS, begin: pause("entry")},
  {
    name: "kv-outage",
    lastsMs: LONG_FAULT_MS,
    begin: async ({kv}) => {
      kv.proxy.setFaults({blockUp: true, blockDown: true})
      return () => kv.proxy.setFaults()
    }
  },
  {
    name: "kv-one-way",
    lastsMs: SHORT_FAULT_MS,
    begin: async ({kv}) => {
      kv.proxy.setFaults({blockDown: true})
      return () => kv.proxy.setFaults()
    }
  },
  {name: "kv-lost-answers", lastsMs: SHORT_FAULT_MS, begin: kvFault({loseAnswers: 5})},
  {name: "kv-throttled", lastsMs: SHORT_FAULT_MS, begin: kvFault({rate: 5})},
  {name: "kv-slow", lastsMs: SHORT_FAULT_MS, begin: kvFault({delayMs: 300})},
  {
    name: "leases-lapse",
    lastsMs: SHORT_FAULT_MS,
    begin: async ({kv}) => {
      await command(kv, "lapse")
      return () => undefined
    }
  },
  {
    name: "keeper-cut",
    lastsMs: LONG_FAULT_MS,
    begin: async ({boxes}, pick) => {
      const {keeperProxy} = pick(boxes)
      keeperProxy.setFaults(pick([{blockUp: true}, {blockDown: true}, {delayMs: 100}]))
      return () => keeperProxy.setFaults()
    }
  },
  {
    name: "engine-cut",
    lastsMs: SHORT_FAULT_MS,
    begin: async ({engines}, pick) => {
      const {proxy} = pick(engines)
      if (pick([true, false])) proxy.cut()
      else proxy.setFaults(pick([{blockUp: true}, {blockDown: true}]))
      return () => proxy.setFaults()
    }
  },
  {
    name: "resume-refused",
    lastsMs: SHORT_FAULT_MS,
    begin: async ({engines}, pick) => {
      const engine = pick(engines)
      const refusal = pick([{status: 412, notRun: "stale-grant"}, {status: 429}])
      await command(engine, "fault", {refuseResume: refusal})
      engine.proxy.cut()
      return () => command(engine, "fault", {})
    }
  },
  {
    name: "engine-restart",
    lastsMs: SHORT_FAULT_MS,
    begin: async ({engines}, pick) => {
      const engine = pick(engines)
      engine.proxy.cut()
      await command(engine, "restart")
      return () => undefined
    }
  },
  {
    name: "loads-fail",
    lastsMs: SHORT_FAULT_MS,
    begin: async ({engines}, pick) => {
      const engine = pick(engines)
      await command(engine, "fault", {failLoads: 3, loseLoadAnswers: 1})
      return () => command(engine, "fault", {})
    }
  },
  {
    name: "engine-leaves",
    lastsMs: LONG_FAULT_MS,
    begin: async ({engines, platform}, pick) => {
      await command(platform, "leaving", [pick(engines).name])
      return () => command(platform, "leaving", [])
    }
  }
]

/** Runs one round. All random choices come from the seed. */
export async function runChaosRound(seed: number): Promise<ChaosResult> {
  const draw = createRandomSource(seed)
  const pick: PickRandom = items => items[Math.floor(draw() * items.length)] as never
  const deployment = await Deployment.start({
    boxes: 3,
    engines: [
      {slots: 2, fences: true, resumes: true},
      {slots: 2, fences: false, resumes: true},
      {slots: 3, fences: true}
    ],
    adapters: 16,
    organisations: ["cotejo", "tatrapay"]
  })
  try {
    const load = runWorkload(deployment, {
      requests: REQUEST_COUNT,
      requestsPerSecond: REQUESTS_PER_SECOND,
      zipfExponent: 1.1,
      seed,
      onceFraction: 0.3,
      repeatFraction: 0.5,
      maxTokens: 60
    })
    const faults = await injectFaults(deployment, pick)
    const calls = await load
    const violations = judge(calls, await readEngines(deployment))
    const count = countViolations(violations)
    const outcomes = new Map<string, number>()
    for (const {result} of calls) {
      const name = result.code || result.kind
      outcomes.set(name, (outcomes.get(name) ?? 0) + 1)
    }
    const evidence = count === 0 ? "" : ` ${JSON.stringify(violations)}`
    return {calls: calls.length, faults, violations: count, evidence, outcomes}
  } finally {
    await deployment.stop()
  }
}

/** Runs the faults in two concurrent sequences and returns their names. */
async function injectFaults(deployment: Deployment, pick: PickRandom): Promise<string[]> {
  const names: string[] = []
  const plan = Array.from({length: FAULT_COUNT}, () => pick(FAULTS))
  const run = async (faults: readonly Fault[]) => {
    for (const fault of faults) {
      names.push(fault.name)
      const end = await fault.begin(deployment, pick)
      await new Promise(done => setTimeout(done, fault.lastsMs))
      await end()
    }
  }
  await Promise.all([
    run(plan.slice(0, FAULT_COUNT / 2)),
    run(plan.slice(FAULT_COUNT / 2))
  ])
  return names
}

function kill(role: "entry" | "keeper"): Fault["begin"] {
  return async (deployment, pick) => {
    const box = pick(deployment.boxes)
    await box[role].end("SIGKILL")
    return () => {
      box[role] = deployment.startProcess(role, box.settingsFile)
    }
  }
}

function pause(role: "entry" | "keeper"): Fault["begin"] {
  return async ({boxes}, pick) => {
    const child = pick(boxes)[role]
    child.signal("SIGSTOP")
    return () => child.signal("SIGCONT")
  }
}

function kvFault(fault: object): Fault["begin"] {
  return async ({kv}) => {
    await command(kv, "fault", fault)
    return () => command(kv, "fault", {})
  }
}
