/** A box that receives SIGHUP while it starts keeps starting. */
import {spawn} from "node:child_process"
import {readFileSync} from "node:fs"
import {fileURLToPath} from "node:url"
import t from "tap"
import {until} from "./support/wait.js"

const PROGRAM = fileURLToPath(new URL("../platform/start.js", import.meta.url))

/** Runs the program without the test runner's hooks, which also handle signals. */
const RUN_ALONE = 'NODE_OPTIONS= exec "$0" "$@"'

/**
 * Whether a process has a handler for SIGHUP, by the kernel's mask of caught signals.
 * Until a new process runs node, the mask is that of the shell.
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

// Guards against a fault: a SIGHUP in the first 300 ms of a process ended it.
t.test("a SIGHUP while the program is being loaded does not end a box", async t => {
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
  // The output may arrive after the exit event.
  await until("the output arrives", () => output.includes("sedge-box"))
})
