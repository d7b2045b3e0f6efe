/** Measures the cost of idle processes by the number of boxes. */
import {readFileSync} from "node:fs"
import {DEFAULT_TIMING} from "../src/core/timing.js"
import {Child} from "../test/support/child.js"
import {Deployment, getJson} from "../test/support/deployment.js"
import {until} from "../test/support/wait.js"
import {cpuOf} from "./relay.js"

const IDLE_SECONDS = 20

export async function measureProcesses(): Promise<object> {
  const floor = await measureIdleProcess()
  const sizes: object[] = []
  for (const boxes of [1, 2, 4, 8]) {
    const deployment = await Deployment.start({
      boxes,
      calm: true,
      timing: {...DEFAULT_TIMING}
    })
    try {
      sizes.push(await measureIdleBox(deployment, boxes))
    } finally {
      await deployment.stop()
    }
  }
  return {nodeFloor: floor, idleProcesses: sizes}
}

/** Measures an idle Node.js process. */
async function measureIdleProcess(): Promise<object> {
  const child = new Child("bench/idle.js", [])
  await until("the idle process runs", () => child.output.includes("running"))
  const before = cpuOf(child.pid)
  await new Promise(done => setTimeout(done, IDLE_SECONDS * 1000))
  const cpu = (cpuOf(child.pid) - before) / (IDLE_SECONDS * 10)
  const rssMb = memoryOf(child.pid)
  await child.end()
  return {cpuPercent: cpu, rssMb}
}

async function measureIdleBox(deployment: Deployment, boxes: number): Promise<object> {
  const [box] = deployment.boxes
  if (!box) return {}
  const counts = async () => getJson(`${deployment.kv.url}/stand-in/counts`)
  const pids: Record<string, number> = {
    entry: box.entry.pid,
    keeper: box.keeper.pid,
    admin: box.admin.pid
  }
  const cpuBefore = Object.entries(pids).map(([role, pid]) => [role, cpuOf(pid)] as const)
  const before = await counts()
  await new Promise(done => setTimeout(done, IDLE_SECONDS * 1000))
  const after = await counts()
  const perSecond = (name: string) => (after[name] - before[name]) / IDLE_SECONDS
  return {
    boxes,
    cpuPercent: Object.fromEntries(
      cpuBefore.map(([role, cpu]) => [
        role,
        (cpuOf(pids[role] ?? 0) - cpu) / (IDLE_SECONDS * 10)
      ])
    ),
    rssMb: Object.fromEntries(
      Object.entries(pids).map(([role, pid]) => [role, memoryOf(pid)])
    ),
    kvPerSecond: {
      reads: perSecond("reads"),
      writes: perSecond("writes"),
      watches: perSecond("watches")
    }
  }
}

function memoryOf(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8")
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1024
}
