/**
 * The program of a box on a machine that can be suspended, and whose time of day can be set. While a test stops the
 * process, the steady clock goes on; the test writes how long that was to a file before it lets the process go
 * on, and the clock leaves that out. The time of day goes on, as it does on a machine that is suspended.
 */
import {openSync, readSync} from "node:fs"

const file = openSync(process.env["CLOCKS_FILE"] ?? "", "r")
const bytes = Buffer.alloc(64)
const steady = performance.now.bind(performance)
const timeOfDay = Date.now.bind(Date)

/** Milliseconds that the steady clock leaves out, and that the time of day was set forward. */
function readOffsets(): [suspendedMs: number, steppedMs: number] {
  const length = readSync(file, bytes, 0, bytes.length, 0)
  const [suspended, stepped] = bytes.toString("latin1", 0, length).split(" ")
  return [Number(suspended) || 0, Number(stepped) || 0]
}

Object.defineProperty(performance, "now", {value: () => steady() - readOffsets()[0]})
Object.defineProperty(Date, "now", {value: () => timeOfDay() + readOffsets()[1]})

await import("../../platform/start.js")
