/** One round of random faults from a seed, two at a time, under load. */
import {createDraws, runWorkload} from "../../bench/workload.js"
import {command, Deployment} from "./deployment.js"
import {countViolations, judge, readEngines} from "./oracle.js"

export interface ChaosResult {
  readonly calls: number
  readonly faults: readonly string[]
  readonly violations: number
  readonly evidence: string
  readonly outcomes: ReadonlyMap<string, number>
}

const FAULTS = 6
const REQUESTS = 400
const PER_SECOND = 40

type Pick = <T>(items: readonly T[]) => T

interface Fault {
  readonly name: string
  /** Begins the fault and resolves with what ends it. */
  readonly begin: (
    deployment: Deployment,
    pick: Pick
  ) => Promise<() => Promise<void> | void>
  readonly lastsMs: number
}

/** Longer than a lease and its takeover, with the times of tests. */
const LONG_MS = 4_000
const SHORT_MS = 1_200

const CATALOGUE: readonly Fault[] = [
  {name: "kill-keeper", lastsMs: SHORT_MS, begin: killOf("keeper")},
  {name: "kill-entry", lastsMs: SHORT_MS, begin: killOf("entry")},
  {name: "stop-keeper", lastsMs: LONG_MS, begin: pauseOf("keeper")},
  {name: "stop-entry", lastsMs: LONG_MS, begin: pauseOf("entry")},
  {
    name: "kv-outage",
    lastsMs: LONG_MS,
    begin: async ({kv}) => {
      kv.proxy.set({blockUp: true, blockDown: true})
      return () => kv.proxy.set()
    }
  },
  {
    name: "kv-one-way",
    lastsMs: SHORT_MS,
    begin: async ({kv}) => {
      kv.proxy.set({blockDown: true})
      return () => kv.proxy.set()
    }
  },
  {name: "kv-lost-answers", lastsMs: SHORT_MS, begin: kvFault({loseAnswers: 5})},
  {name: "kv-throttled", lastsMs: SHORT_MS, begin: kvFault({rate: 5})},
  {name: "kv-slow", lastsMs: SHORT_MS, begin: kvFault({delayMs: 300})},
  {
    name: "leases-lapse",
    lastsMs: SHORT_MS,
    begin: async ({kv}) => {
      await command(kv, "lapse")
      return () => undefined
    }
  },
  {
    name: "keeper-cut",
    lastsMs: LONG_MS,
    begin: async ({boxes}, pick) => {
      const {keeperProxy} = pick(boxes)
      keeperProxy.set(pick([{blockUp: true}, {blockDown: true}, {delayMs: 100}]))
      return () => keeperProxy.set()
    }
  },
  {
    name: "engine-cut",
    lastsMs: SHORT_MS,
    begin: async ({engines}, pick) => {
      const {proxy} = pick(engines)
      if (pick([true, false])) proxy.cut()
      else proxy.set(pick([{blockUp: true}, {blockDown: true}]))
      return () => proxy.set()
    }
  },
  {
    name: "resume-refused",
    lastsMs: SHORT_MS,
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
    lastsMs: SHORT_MS,
    begin: async ({engines}, pick) => {
      const engine = pick(engines)
      engine.proxy.cut()
      await command(engine, "restart")
      return () => undefined
    }
  },
  {
    name: "loads-fail",
    lastsMs: SHORT_MS,
    begin: async ({engines}, pick) => {
      const engine = pick(engines)
      await command(engine, "fault", {failLoads: 3, loseLoadAnswers: 1})
      return () => command(engine, "fault", {})
    }
  },
  {
    name: "engine-leaves",
    lastsMs: LONG_MS,
    begin: async ({engines, platform}, pick) => {
      await command(platform, "leaving", [pick(engines).name])
      return () => command(platform, "leaving", [])
    }
  }
]

/** Runs one round; everything it draws comes from the seed. */
export async function runChaosRound(seed: number): Promise<ChaosResult> {
  const draw = createDraws(seed)
  const pick: Pick = items => items[Math.floor(draw() * items.length)] as never
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
      requests: REQUESTS,
      perSecond: PER_SECOND,
      exponent: 1.1,
      seed,
      oncePart: 0.3,
      repeatPart: 0.5,
      maxTokens: 60
    })
    const faults = await disturb(deployment, pick)
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

/** Faults in two overlapping rows. */
async function disturb(deployment: Deployment, pick: Pick): Promise<string[]> {
  const names: string[] = []
  const plan = Array.from({length: FAULTS}, () => pick(CATALOGUE))
  const run = async (faults: readonly Fault[]) => {
    for (const fault of faults) {
      names.push(fault.name)
      const end = await fault.begin(deployment, pick)
      await new Promise(done => setTimeout(done, fault.lastsMs))
      await end()
    }
  }
  await Promise.all([run(plan.slice(0, FAULTS / 2)), run(plan.slice(FAULTS / 2))])
  return names
}

function killOf(role: "entry" | "keeper"): Fault["begin"] {
  return async (deployment, pick) => {
    const box = pick(deployment.boxes)
    await box[role].end("SIGKILL")
    return () => {
      box[role] = deployment.startProcess(role, box.settingsFile)
    }
  }
}

function pauseOf(role: "entry" | "keeper"): Fault["begin"] {
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
