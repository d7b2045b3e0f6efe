/**
 * Measures the slopes used in docs/CAPACITY.md: the cost of one unit of each kind in
 * memory, processor time, bytes and calls, at four sizes or more. Writes raw numbers to
 * docs/capacity.json.
 */
import {writeFileSync} from "node:fs"
import {fileURLToPath} from "node:url"
import {
  measureChangeTime,
  measureConfigMemory,
  measureSnapshotBytes
} from "./capacity-config.js"
import {measureProcesses} from "./capacity-processes.js"
import {
  measureCellTime,
  measureEntryTime,
  measureMessageBytes,
  measureSharesTime,
  measureTickTime
} from "./capacity-steps.js"
import type {Line} from "./fit.js"

const OUTPUT = fileURLToPath(new URL("../../docs/capacity.json", import.meta.url))

/** Measures every slope, prints the fits and saves the raw numbers. */
export async function benchCapacity(): Promise<void> {
  const lines: Record<string, Line> = {
    "configuration memory, bytes a record": measureConfigMemory(),
    "configuration snapshot, bytes a record": measureSnapshotBytes(),
    "configuration change, microseconds at that many records": measureChangeTime(),
    "cell scheduling, microseconds an ask at that many running": measureCellTime(),
    "cell tick, microseconds at that many engines": measureTickTime(),
    "keeper shares event, microseconds at that many keepers": measureSharesTime(),
    "entry request, microseconds at that many in progress": measureEntryTime()
  }
  const messages = measureMessageBytes()
  const processes = await measureProcesses()
  const report = {lines, messages, ...processes}
  for (const [name, line] of Object.entries(lines)) {
    console.log(
      `${name}: slope ${line.slope.toPrecision(3)}, floor ${line.floor.toPrecision(3)}, ` +
        `residual ${(line.residual * 100).toFixed(1)}%`
    )
  }
  console.log("message bytes", messages)
  console.log("processes", JSON.stringify(processes, null, 2))
  writeFileSync(OUTPUT, `${JSON.stringify(report, null, 2)}\n`)
}
