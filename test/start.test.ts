/** A box that is asked to reload while it still starts goes on starting. */
import {spawn} from "node:child_process"
import {readFileSync} from "node:fs"
import {fileURLToPath} from "node:url"
import t from "tap"
import {until} from "./support/wait.js"

const PROGRAM = fileURLToPath(new URL("../platform/start.js", import.meta.url))

/** Runs the program without what the test runner loads into each process: it handles signals, too. */
const RUN_ALONE = 'NODE_OPTIONS= exec "$0" "$@"'

/**
 * Whether a process has a handler for SIGHUP, by the kernel's mask of caught signals. Until it
 * runs node, a new process shows the mask of the shell.
 */
function catchesHangUp(pid: number): boolean {
  try {
    const runs = readFileSync(`/proc/${pid}/cmdline`, "utf8").startsWith(process.execPath)
    const status = readFileSync(`/proc/${pid}/status`, "utf8")
    const mask = /^SigCgt:\s*([0-9a-f]+)$/m.exec(status)?.[1] ?? "0"
    return runs && (BigInt(`0x${mask}`) & 1n) === 1n
  } catch {
    return false
  }
}

// Seen in soaks and days: a SIGHUP in the first 300 ms of a process ended it.
t.test("a SIGHUP while its program is still loaded does not end a box", async t => {
  const child = spawn("/bin/sh", [
    "-c",
    RUN_ALONE,
    process.execPath,
    PROGRAM,
    "--version"
  ])
  let output = ""
  child.stdout.on("data", chunk => (output += String(chunk)))
  const ended = (): boolean => child.exitCode !== null || child.signalCode !== null
  await until("the signal is handled", () => ended() || catchesHangUp(child.pid ?? 0))
  t.notOk(ended(), "before the program has run")
  child.kill("SIGHUP")
  await until("the program has run", ended)
  t.equal(child.signalCode, null)
  // Its output may be read after its end is seen.
  await until("what it wrote is read", () => output.includes("sedge-box"))
})
