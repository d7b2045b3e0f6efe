/** The bundled program of a box, as the platform builds and starts it. */
import {execFileSync} from "node:child_process"
import {readdirSync, readFileSync} from "node:fs"
import {fileURLToPath} from "node:url"
import t from "tap"
import {type BedBox, PlatformBed} from "./support/platform-bed.js"
import {wholeStream} from "./support/whole-stream.js"

const ROOT = fileURLToPath(new URL("../..", import.meta.url))
const TARGET = `${ROOT}target`

t.before(() => {
  execFileSync(process.execPath, ["deploy/bundle.js"], {cwd: ROOT})
})

t.test("the bundle serves engines and plain services, and reads the store", async t => {
  const bed = await PlatformBed.start({boxes: 2, engines: 1, plain: 1, bundled: true})
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
  const text = readdirSync(TARGET)
    .filter(name => name.endsWith(".mjs"))
    .map(name => readFileSync(`${TARGET}/${name}`, "utf8"))
    .join("")
  t.match(text, "undici/lib/dispatcher/pool.js")
  t.notMatch(text, "undici/lib/web/fetch/index.js")
})
