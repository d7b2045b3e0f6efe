/** Validation of settings, the check-settings command and the version. */
import {mkdtempSync, readFileSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import t from "tap"
import {checkSettings} from "../src/adapters/settings-file.js"
import {SettingsError} from "../src/errors.js"
import {VERSION} from "../src/version.js"
import {Child} from "./support/child.js"
import {until} from "./support/wait.js"

const VALID = {
  box: "box-1",
  dataCentre: "sala-a",
  kv: {endpoint: "http://127.0.0.1:2379"},
  platform: {boxList: "http://127.0.0.1:2380"},
  entry: {listen: "127.0.0.1:8080", ops: "127.0.0.1:9080"}
}

function findingsOf(settings: unknown): readonly string[] {
  try {
    checkSettings(settings, "entry")
    return []
  } catch (cause) {
    return (cause as SettingsError).findings.map(({place}) => place)
  }
}

t.test("all findings are reported together, each with its JSON pointer", async t => {
  t.same(findingsOf(VALID), [])
  const broken = {
    ...VALID,
    box: 1,
    extra: true,
    kv: {endpoint: "http://example:1", "a/b": 1},
    timing: {leaseTtlMs: -1}
  }
  t.same(findingsOf(broken).slice().sort(), [
    "/box",
    "/extra",
    "/kv/a~1b",
    "/kv/endpoint",
    "/timing/leaseTtlMs"
  ])
  t.same(findingsOf({...VALID, entry: undefined}), ["/entry"])
  t.same(findingsOf({...VALID, timing: {leaseMarginMs: 9_000, entryGoneMs: 1_000}}), [
    "/timing/leaseMarginMs",
    "/timing/renewMs",
    "/timing/entryGoneMs",
    "/timing/requestMaxMs"
  ])
})

t.test("check-settings exits with 2 and prints every finding", async t => {
  const file = join(mkdtempSync(join(tmpdir(), "sedgeglade-")), "settings.json")
  writeFileSync(file, JSON.stringify({...VALID, box: 1, extra: 1}))
  const bad = new Child("src/bin/sedge-entry.js", ["check-settings", "--settings", file])
  await until("it ends", () => bad.ended)
  t.equal(bad.exitCode, 2)
  t.match(bad.output, /\/box: /)
  t.match(bad.output, /\/extra: /)
  writeFileSync(file, JSON.stringify(VALID))
  const good = new Child("src/bin/sedge-entry.js", ["check-settings", "--settings", file])
  await until("it ends", () => good.ended)
  t.equal(good.exitCode, 0)
})

t.test("the version is that of package.json", async t => {
  const manifest = new URL("../../package.json", import.meta.url)
  t.equal(JSON.parse(readFileSync(manifest, "utf8")).version, VERSION)
})
