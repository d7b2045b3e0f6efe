/**
 * Compares processor time and latency of the entry with a bare `http` to `undici` relay
 * in one run: a streamed answer of 100 tokens with a loaded adapter, for a fixed number
 * of parallel callers.
 */
import {readFileSync} from "node:fs"
import {Child} from "../test/support/child.js"
import {callModel} from "../test/support/caller.js"
import {Deployment} from "../test/support/deployment.js"
import {freePort} from "../test/support/ports.js"
import {until} from "../test/support/wait.js"

const TOKENS = 100
const ROUNDS = 5
const REQUESTS = 300
const PARALLEL = 8
/** Upper bound of the ratio, from issue 3. */
const GOAL_CPU_RATIO = 1.5
const TICKS_PER_SECOND = 100

interface Sample {
  readonly cpuMs: number
  readonly latencyMs: number
}

/** Measures both in turn for several rounds and compares the medians. */
export async function benchRelay(): Promise<void> {
  const deployment = await Deployment.start({
    direct: true,
    engines: [{batch: 64, stepMs: 1}]
  })
  const engine = deployment.engines[0]?.url ?? ""
  const port = await freePort()
  const bare = new Child("bench/bare-relay.js", [String(port), engine])
  try {
    await until("the bare relay listens", () => bare.output.includes("listening"))
    const [box] = deployment.boxes
    if (!box) return
    const entries: Sample[] = []
    const bares: Sample[] = []
    await measure(deployment, box.entryAddress, box.entry.pid)
    for (let round = 0; round < ROUNDS; round++) {
      bares.push(await measure(deployment, `127.0.0.1:${port}`, bare.pid))
      entries.push(await measure(deployment, box.entryAddress, box.entry.pid))
      console.log(`round ${round + 1}`, {bare: bares.at(-1), entry: entries.at(-1)})
    }
    const cpu = median(entries, "cpuMs") / median(bares, "cpuMs")
    const latency = median(entries, "latencyMs") - median(bares, "latencyMs")
    console.log(`processor time a request: ${cpu.toFixed(2)} times the bare relay's`)
    console.log(`goal ${GOAL_CPU_RATIO}: ${cpu <= GOAL_CPU_RATIO ? "met" : "not met"}`)
    console.log(`added time to the first token: ${latency.toFixed(2)} ms on the median`)
  } finally {
    await bare.end()
    await deployment.stop()
  }
}

async function measure(
  deployment: Deployment,
  entry: string,
  pid: number
): Promise<Sample> {
  const model = deployment.models[0] ?? ""
  const organisation = deployment.organisationOf(model)
  const before = cpuOf(pid)
  const latencies: number[] = []
  const worker = async () => {
    for (let count = 0; count < REQUESTS / PARALLEL; count++) {
      const result = await callModel({entry, model, organisation, tokens: TOKENS})
      if (result.kind !== "answered")
        throw new Error(`call to ${entry} was ${result.kind}: ${result.code}`)
      latencies.push(result.firstTokenMs)
    }
  }
  await Promise.all(Array.from({length: PARALLEL}, worker))
  latencies.sort((a, b) => a - b)
  return {
    cpuMs: (cpuOf(pid) - before) / latencies.length,
    latencyMs: latencies[latencies.length >> 1] ?? 0
  }
}

/** Returns the total processor time of a process in milliseconds, from the kernel. */
export function cpuOf(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8")
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ")
  return ((Number(fields[11]) + Number(fields[12])) * 1000) / TICKS_PER_SECOND
}

function median(samples: readonly Sample[], field: keyof Sample): number {
  const values = samples.map(sample => sample[field]).sort((a, b) => a - b)
  return values[values.length >> 1] ?? 0
}
