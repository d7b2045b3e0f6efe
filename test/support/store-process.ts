/** The program of a store that is a process of its own. See `ProcessStore`. */
import {monitorEventLoopDelay} from "node:perf_hooks"
import {type FromStore, REPORTED_KEY, type ToStore} from "../stand-ins/process-store.js"
import {StandInStore} from "../stand-ins/platform-store.js"

const REPORT_INTERVAL_MS = 100

const tell = (message: FromStore): void => void process.send?.(message)
const store = await StandInStore.start()
const delay = monitorEventLoopDelay({resolution: 5})
delay.enable()
let leader: string | undefined

function report(): void {
  const value = store.read(REPORTED_KEY)
  if (value !== leader) tell({t: "leader", value})
  leader = value
  const {user, system} = process.cpuUsage()
  const statistics = {
    connections: store.connections,
    ended: Object.fromEntries(store.ended),
    processorS: (user + system) / 1e6,
    delayMs: Math.round(delay.max / 1e6)
  }
  delay.reset()
  tell({t: "statistics", statistics})
}

process.on("message", (message: ToStore) => {
  if (message.t === "faults") store.faults = message.faults
  else if (message.t === "write") store.write(message.key, message.value)
  else store.remove(message.key)
})
process.on("disconnect", () => process.exit(0))
setInterval(report, REPORT_INTERVAL_MS)
tell({t: "started", address: store.address})
