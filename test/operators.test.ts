/** An operator adds, serves and retires an adapter in an empty deployment. */
import {mkdtempSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import t from "tap"
import {sha256} from "../src/utils/hash.js"
import {Calls} from "./support/calls.js"
import {Child} from "./support/child.js"
import {Deployment, OPERATOR_KEY} from "./support/deployment.js"
import {until} from "./support/wait.js"

t.test("an operator adds, serves and retires an adapter with sedgectl", async t => {
  const deployment = await Deployment.start({adapters: 0})
  t.teardown(() => deployment.stop())
  const [box] = deployment.boxes
  if (!box) return
  const dir = mkdtempSync(join(tmpdir(), "sedgeglade-"))

  const ctl = async (args: readonly string[], key = OPERATOR_KEY) => {
    const child = new Child("src/bin/sedgectl.js", ["--admin", box.adminUrl, ...args], {
      SEDGE_KEY: key
    })
    await until(`sedgectl ${args.join(" ")}`, () => child.ended)
    return {code: child.exitCode, output: child.output}
  }
  const put = async (kind: string, id: string, value: object, ...flags: string[]) => {
    const file = join(dir, `${kind}-${id}.json`)
    writeFileSync(file, JSON.stringify(value))
    return ctl(["put", kind, id, file, ...flags])
  }

  const adapter = {baseModel: "base-a", organisation: "cotejo"}
  t.match(await put("adapter", "thesis", {...adapter, baseModel: "none"}), {
    code: 1,
    output: /\/records\/0\/value\/baseModel: no baseModel is named none/
  })
  t.match(await put("adapter", "thesis", adapter, "--dry-run"), {code: 0})
  t.match(await ctl(["show", "adapter", "thesis"]), {code: 1, output: /not-found/})
  t.match(await put("adapter", "thesis", adapter), {code: 0, output: /generation 2/})
  const version = {adapter: "thesis", version: "7", weights: "thesis-7"}
  t.match(await put("version", "thesis@7", version, "--watch"), {
    code: 0,
    output: /in force on 2 processes/
  })
  const calls = new Calls(deployment)
  const model = "base-a/thesis@7"
  t.match(await calls.send(box, {model}), {kind: "answered", model})
  t.match(await ctl(["list", "adapter"]), {code: 0, output: /thesis +2/})
  t.match(await ctl(["history", "--json"]), {code: 0, output: /"operator": "bootstrap"/})
  t.match(await ctl(["diff", "2"]), {
    code: 0,
    output: /^version thesis@7\tgeneration 3 by bootstrap\n- nothing\n\+ .*thesis-7/
  })
  t.match(await ctl(["diff", "3", "--json"]), {code: 0, output: /"records": \[\]/})
  t.match(await ctl(["diff", "x"]), {code: 1, output: /bad-request/})
  t.match(await ctl(["retire", "adapter", "thesis"]), {
    code: 1,
    output: /is named by version thesis@7/
  })

  t.match(await put("policy", "lru", {program: "least-loaded-lru", parameters: {}}), {
    code: 0
  })
  t.match(await put("activation", "active", {policy: "lru"}, "--watch"), {code: 0})
  t.match(
    await calls.send(box, {model}),
    {kind: "answered"},
    "served under the new policy"
  )

  const reader = {keyHash: sha256("reader-key"), roles: ["read"]}
  const lead = {keyHash: sha256("lead-key"), roles: ["read", "change", "approve"]}
  t.match(await put("operator", "lead", lead), {code: 0})
  t.match(await ctl(["list", "adapter"]), {code: 1, output: /unauthorized/})
  const readerFile = join(dir, "reader.json")
  writeFileSync(readerFile, JSON.stringify(reader))
  t.match(await ctl(["put", "operator", "reader", readerFile], "lead-key"), {code: 0})
  t.match(await ctl(["list", "adapter"], "reader-key"), {code: 0})
  t.match(await ctl(["retire", "version", "thesis@7"], "reader-key"), {
    code: 1,
    output: /forbidden/
  })
  t.match(await ctl(["retire", "version", "thesis@7"], "lead-key"), {
    code: 1,
    output: /is in use by an engine/
  })
  const next = join(dir, "next.json")
  writeFileSync(next, JSON.stringify({...version, version: "8"}))
  t.match(await ctl(["put", "version", "thesis@8", next], "lead-key"), {code: 0})
  t.match(await ctl(["retire", "version", "thesis@8", "--watch"], "lead-key"), {code: 0})
  t.match(await calls.send(box, {model: "base-a/thesis@8"}), {code: "unknown-model"})
  t.match(await ctl(["status"], "reader-key"), {
    code: 0,
    output: /in force everywhere: true/
  })
  t.match(await ctl(["nonsense"]), {code: 2})
})
