/** The bundled program of a box, as the platform builds and starts it. */
import {execFileSync} from "node:child_process"
import {createHash} from "node:crypto"
import {cpSync, mkdtempSync, readFileSync, rmSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import {fileURLToPath} from "node:url"
import t, {type Test} from "tap"
import {VERSION} from "../src/version.js"
import {type BedBox, PlatformBed} from "./support/platform-bed.js"
import {wholeStream} from "./support/whole-stream.js"

const ROOT = fileURLToPath(new URL("../..", import.meta.url))
const TARGET = `${ROOT}target`

/** A version of the same length as the program's. */
const OTHER_VERSION = VERSION.replace(/\d$/, "x")

/** Length of the digest at the start of a code cache. */
const DIGEST_BYTES = 32

/** More than V8 lets a function of WebAssembly run before it optimizes it. */
const PARSED_ANSWERS = 500

let flags: readonly string[] = []

t.before(async () => {
  execFileSync(process.execPath, ["deploy/bundle.js"], {cwd: ROOT})
  const module = (await import(`${ROOT}deploy/box-flags.js`)) as {
    boxFlags: () => readonly string[]
  }
  flags = module.boxFlags()
})

/** Copies the bundle. Returns the paths of its files. */
function copyBundle(t: Test): {entry: string; program: string; cache: string} {
  const directory = mkdtempSync(join(tmpdir(), "sedge-bundle-"))
  t.teardown(() => rmSync(directory, {recursive: true}))
  cpSync(TARGET, directory, {recursive: true})
  const [entry, program, cache] = ["box.mjs", "main.cjs", "main.cache"].map(name =>
    join(directory, name)
  ) as [string, string, string]
  return {entry, program, cache}
}

function printedVersion(entry: string, nodeFlags: readonly string[]): string {
  return execFileSync(process.execPath, [...nodeFlags, entry, "--version"]).toString()
}

t.test("the bundle serves engines and plain services, and reads the store", async t => {
  const bundle = {entry: `${TARGET}/box.mjs`, flags}
  const bed = await PlatformBed.start({boxes: 2, engines: 1, plain: 1, bundle})
  t.teardown(() => bed.stop())
  for (const box of bed.boxes as BedBox[]) {
    const {id, status, body} = await bed.call(box, "/stream/x", {adapter: "a1"})
    t.equal(status, 200)
    t.equal(body, wholeStream(id))
    t.equal((await bed.call(box, "/unsafe/x", {body: "{}"})).status, 200)
  }
  t.same(bed.judge.violations, [])
})

// Loading the whole package takes a fifth of the CPU time of a start.
t.test("the bundle excludes the browser-only parts of its HTTP library", async t => {
  const text = readFileSync(`${TARGET}/main.cjs`, "utf8")
  t.match(text, "undici/lib/dispatcher/pool.js")
  t.notMatch(text, "undici/lib/web/fetch/index.js")
})

// A rejected cache costs a start a quarter of its CPU time and shows in nothing else.
t.test("a box with the flags of deploy/system.toml uses the code cache", async t => {
  const {entry, program, cache} = copyBundle(t)
  t.match(printedVersion(entry, flags), VERSION)
  // V8 compares only the lengths of programs, so that the cache of the original program
  // is valid for a program with another version and still contains the original one.
  const text = readFileSync(program, "latin1").replace(
    `"${VERSION}"`,
    `"${OTHER_VERSION}"`
  )
  writeFileSync(program, text, "latin1")
  const data = readFileSync(cache).subarray(DIGEST_BYTES)
  const digest = createHash("sha256").update(text, "latin1").update(data).digest()
  writeFileSync(cache, Buffer.concat([digest, data]))
  t.match(printedVersion(entry, flags), VERSION, "the cache is used")
  t.match(printedVersion(entry, []), OTHER_VERSION, "other flags: the cache is rejected")
})

// RECOVER: V8 optimized the parser of HTTP answers in the first seconds of each process,
// which took a third of the processor time of a start and held up the event loop.
t.test("a box serves without compiling its HTTP parser a second time", async t => {
  const trace = "--trace-wasm-compilation-times"
  const bundle = {entry: `${TARGET}/box.mjs`, flags: [...flags, trace]}
  const bed = await PlatformBed.start({boxes: 1, engines: 1, plain: 1, bundle})
  t.teardown(() => bed.stop())
  const [box] = bed.boxes as [BedBox]
  for (let i = 0; i < PARSED_ANSWERS; i++) await bed.call(box, "/safe/x")
  t.match(box.child.output, "using Liftoff")
  t.notMatch(box.child.output, "using TurboFan")
})

// V8 runs the code of another program of the same length, and crashes on damaged code.
t.test("a box does not use a code cache that was made for another program", async t => {
  const {entry, program} = copyBundle(t)
  const text = readFileSync(program, "latin1").replace(
    `"${VERSION}"`,
    `"${OTHER_VERSION}"`
  )
  writeFileSync(program, text, "latin1")
  t.match(printedVersion(entry, flags), OTHER_VERSION)
})

const damages: Readonly<Record<string, (cache: string) => void>> = {
  missing: cache => rmSync(cache),
  empty: cache => writeFileSync(cache, ""),
  truncated: cache => {
    const data = readFileSync(cache)
    writeFileSync(cache, data.subarray(0, data.length / 2))
  },
  damaged: cache => {
    const data = readFileSync(cache)
    writeFileSync(cache, data.fill(0x5a, data.length / 2, data.length / 2 + 100))
  }
}

for (const [name, damage] of Object.entries(damages)) {
  t.test(`a box whose code cache is ${name} serves requests`, async t => {
    const {entry, cache} = copyBundle(t)
    damage(cache)
    const bed = await PlatformBed.start({
      boxes: 1,
      engines: 1,
      plain: 1,
      bundle: {entry, flags}
    })
    t.teardown(() => bed.stop())
    const {id, status, body} = await bed.call(bed.boxes[0] as BedBox, "/stream/x", {
      adapter: "a1"
    })
    t.equal(status, 200)
    t.equal(body, wholeStream(id))
  })
}

/** Replaces the call that runs the program's command line. Returns its line number. */
function replaceCall(program: string, replacement: string): number {
  const lines = readFileSync(program, "latin1").split("\n")
  const index = lines.findIndex(line => line.includes("cli.parse();"))
  lines.splice(index, 1, replacement)
  writeFileSync(program, lines.join("\n"), "latin1")
  return index + 1
}

// The signal ends a process that has no handler for it.
t.test("a SIGHUP while the bundle is being loaded does not end a box", async t => {
  const {entry, program} = copyBundle(t)
  replaceCall(program, 'process.kill(process.pid, "SIGHUP"); cli.parse();')
  t.match(printedVersion(entry, flags), VERSION)
})

t.test("a stack trace names the bundle's lines", async t => {
  const {entry, program} = copyBundle(t)
  const line = replaceCall(program, 'console.log(new Error("trace").stack);')
  t.match(printedVersion(entry, flags), `${program}:${line}:`)
})
