/** The log of a box never blocks it, and tells how many lines it has dropped. */
import {spawn} from "node:child_process"
import {once} from "node:events"
import {fileURLToPath} from "node:url"
import t from "tap"

const MODULE = fileURLToPath(new URL("../src/adapters/bounded-log.js", import.meta.url))

const LINES = 6_000

/** Writes more than the buffer holds while nobody reads, and some lines later. */
const PROGRAM = `
  import {createBoundedLog} from ${JSON.stringify(MODULE)}
  let now = 0
  const {log, flush} = createBoundedLog("test", "info", {}, () => (now += 1_000))
  const reason = "x".repeat(1_000)
  for (let i = 0; i < ${LINES}; i++) log("route-none", {request: String(i), reason})
  process.stderr.write("written")
  process.stdin.once("data", () => {
    log("route-none", {request: "last"})
    flush()
    process.exit(0)
  })
`

interface Line {
  readonly event: number
  readonly lines?: number
}

// Lines for which a slow reader left no room were dropped without a trace: an answer could
// end with no line that named it, and no line told that some were missing.
t.test("lines that a slow reader leaves no room for are counted", async t => {
  const child = spawn(process.execPath, ["--input-type=module", "-e", PROGRAM])
  t.teardown(() => child.kill("SIGKILL"))
  await once(child.stderr, "data")
  let text = ""
  child.stdout.on("data", (chunk: Buffer) => (text += chunk.toString()))
  // All that the buffer held has been read before the last line is written.
  let size = -1
  while (size !== text.length || size === 0) {
    size = text.length
    await new Promise(resolve => setTimeout(resolve, 300))
  }
  child.stdin.write("go")
  await once(child, "close")
  const lines = text
    .trim()
    .split("\n")
    .map(line => JSON.parse(line) as Line)
  const written = lines.filter(({event}) => event === 197).length
  const omitted = lines
    .filter(({event}) => event === 106)
    .reduce((sum, line) => sum + (line.lines ?? 0), 0)
  t.ok(written < LINES, `${written} lines written`)
  t.equal(written + omitted, LINES + 1)
})
