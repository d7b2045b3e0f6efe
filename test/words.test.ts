/** No source outside `platform/` contains names of the platform. */
import {readdirSync, readFileSync, statSync} from "node:fs"
import {join} from "node:path"
import {fileURLToPath} from "node:url"
import t from "tap"
import {HEADER, KEY, PATH, SETTINGS_VARIABLE} from "../platform/words.js"

const ROOT = fileURLToPath(new URL("../..", import.meta.url))

/** Names that also belong to HTTP or to the product's own interfaces. */
const SHARED: ReadonlySet<string> = new Set([HEADER.lastEvent, HEADER.request])

/** Names that are ordinary words, too. Sources must not contain them as literals. */
const ORDINARY: ReadonlySet<string> = new Set([HEADER.resumes])

const FIELDS = ["fencingToken", "expectedRev", "pathPrefix=", "ttl_ms", "gapTargetMs:"]

function listSources(folder: string): string[] {
  return readdirSync(folder).flatMap(name => {
    const path = join(folder, name)
    if (statSync(path).isDirectory()) return listSources(path)
    return name.endsWith(".ts") ? [path] : []
  })
}

t.test("the product's sources contain no name of the platform", async t => {
  const headers = Object.values(HEADER)
    .filter(name => !SHARED.has(name))
    .map(name => (ORDINARY.has(name) ? `"${name}"` : name))
  const words = [
    ...headers,
    ...Object.values(PATH).slice(0, 7),
    KEY.backends,
    KEY.version
  ]
  const forbidden = [...words, ...FIELDS.slice(0, 4), SETTINGS_VARIABLE].map(word =>
    word.toLowerCase()
  )
  for (const path of listSources(join(ROOT, "src"))) {
    const text = readFileSync(path, "utf8").toLowerCase()
    t.same(
      forbidden.filter(word => text.includes(word)),
      [],
      path.slice(ROOT.length)
    )
  }
})
