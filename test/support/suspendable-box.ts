/**
 * The program of a box on a machine that can be suspended and whose wall clock can be
 * set. While a test stops the process, the monotonic clock continues. Before the test
 * resumes the process, it writes the length of the pause to a file, and the monotonic
 * clock subtracts it. The wall clock continues, as it does on a suspended machine.
 */
import {openSync, readSync} from "node:fs"
import {installServerCuts} from "./server-cuts.js"

const file = openSync(process.env["CLOCKS_FILE"] ?? "", "r")
const bytes = Buffer.alloc(64)
const monotonicNow = performance.now.bind(performance)
const wallClockNow = Date.now.bind(Date)

/** Returns the time to subtract from the monotonic clock and to add to the wall clock. */
function readOffsets(): [suspendedMs: number, steppedMs: number] {
  const length = readSync(file, bytes, 0, bytes.length, 0)
  const [suspended, stepped] = bytes.toString("latin1", 0, length).split(" ")
  return [Number(suspended) || 0, Number(stepped) || 0]
}

Object.defineProperty(performance, "now", {
  value: () => monotonicNow() - readOffsets()[0]
})
Object.defineProperty(Date, "now", {value: () => wallClockNow() + readOffsets()[1]})

installServerCuts()
await import("../../platform/start.js")
