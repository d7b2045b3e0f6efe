/** Operators' policy programs: checks, bounds, fallback, and activation under traffic. */
import t from "tap"
import {decide, MAX_POLICY_FAULTS} from "../src/core/cell-policy.js"
import type {CellDraft} from "../src/core/cell-state.js"
import type {Policy} from "../src/core/policy.js"
import {BUILT_IN_POLICY, checkPolicy} from "../src/index.js"
import {createRulePolicy} from "../src/plugins/rule-policy.js"
import type {RuleTexts} from "../src/types/config.js"
import {Calls} from "./support/calls.js"
import {TestCell} from "./support/cell.js"
import {Deployment, getJson} from "./support/deployment.js"
import {until} from "./support/wait.js"

const findings = (rules: RuleTexts) => checkPolicy({program: "rules", rules})
const rulePolicy = (rules: RuleTexts): Policy => ({
  ...createRulePolicy(rules, BUILT_IN_POLICY),
  name: "mine@7"
})

/** A cell with a policy and two engines that both have the adapter. */
function createSubject(policy: Policy): TestCell {
  const engines = ["engine-0", "engine-1"]
  return new TestCell({engines, slots: 2, models: ["base/x@1"], policy})
}

const countEvents = (cell: CellDraft, event: string) =>
  cell.effects.filter(effect => effect.type === "note" && effect.event === event).length

t.test("the check reports all findings at once, with line and column", async t => {
  t.match(
    findings({
      serve: "engine.running +\n  engine.runing",
      load: "engine.running +",
      evict: "true",
      slackMs: "request.class == 'till' ? 0.0 : 30000.0"
    }),
    [
      {place: /^\/rules\/serve:2:\d+$/, message: /runing/},
      {place: /^\/rules\/load:1:\d+$/},
      {place: "/rules/evict:1:1", message: "answers bool, not double"}
    ]
  )
  t.same(findings({limit: "request.organisation == 'cotejo' ? 8 : 100"}), [])
  t.match(checkPolicy({program: "rules"}), [{place: "/rules"}])
  t.match(checkPolicy({program: "warm-first", rules: {}}), [{place: "/rules"}])
  t.match(checkPolicy({program: "nothing"}), [{place: "/program"}])
})

t.test("the check rejects rules with unbounded time or memory", async t => {
  const bad = [
    "[1, 2].map(x, x)[0]",
    "request.organisation.matches('(a+)+$') ? 1.0 : 0.0",
    "size(request.organisation) * 1.0",
    "{'a': 1.0}.a",
    Array.from({length: 300}, () => "engine.running").join(" + "),
    `${"(".repeat(60)}1.0${")".repeat(60)}`
  ]
  for (const serve of bad) t.ok(findings({serve}).length > 0, serve.slice(0, 40))
})

t.test("a policy ranks engines by their current state", async t => {
  const fullest = createSubject(rulePolicy({serve: "-engine.running"}))
  t.equal(fullest.scheduleRequest("r0"), "engine-0")
  t.equal(fullest.scheduleRequest("r1"), "engine-0", "fills one batch after the other")
  const limited = createSubject(
    rulePolicy({limit: "request.organisation == 'cotejo' ? 1 : 9"})
  )
  t.ok(limited.scheduleRequest("r0", {organisation: "cotejo"}))
  t.equal(
    limited.scheduleRequest("r1", {organisation: "cotejo"}),
    undefined,
    "the limit of the policy is reached"
  )
  t.ok(
    limited.scheduleRequest("r2", {organisation: "other"}),
    "the limit does not apply to others"
  )
})

t.test(
  "a policy that throws or ranks by NaN is replaced by the built-in one and suspended",
  async t => {
    const throwing: Policy = {
      ...BUILT_IN_POLICY,
      name: "bad@1",
      rankServing: () => {
        throw new Error("no")
      }
    }
    for (const policy of [throwing, rulePolicy({serve: "0.0 / 0.0"})]) {
      const subject = createSubject(policy)
      const {cell} = subject
      for (let count = 0; count < 16; count++)
        t.ok(subject.scheduleRequest(`r${count}`), "served by the built-in policy")
      t.equal(countEvents(cell, "policy-fault"), 16)
      for (let count = 16; count < 2 * MAX_POLICY_FAULTS; count++) {
        cell.running.clear()
        t.ok(subject.scheduleRequest(`r${count}`))
      }
      t.equal(countEvents(cell, "policy-fault"), MAX_POLICY_FAULTS)
      t.equal(countEvents(cell, "policy-suspended"), 1)
      const next = {...policy, name: "fixed@2", rankServing: () => ["engine-1"]}
      const policies = {policy: next, builtIn: BUILT_IN_POLICY}
      const deciding = decide(cell, policies, ({name}) => name)
      t.equal(deciding, "fixed@2", "a new version is not suspended")
    }
  }
)

t.test(
  "a policy that omits the engines and ranks unknown ones still gets requests served",
  async t => {
    const odd = {...BUILT_IN_POLICY, name: "odd@1", rankServing: () => ["engine-9"]}
    t.match(createSubject(odd).scheduleRequest("r0"), /^engine-[01]$/)
  }
)

t.test("a policy is proposed, checked, activated and replaced under traffic", async t => {
  const deployment = await Deployment.start({engines: [{slots: 1}], adapters: 3})
  t.teardown(() => deployment.stop())
  const calls = new Calls(deployment)
  const [box] = deployment.boxes
  if (!box) return
  const long = calls.send(box, {tokens: 400, tag: "long"})
  await until("the request runs", async () => (await calls.startsOf("long")).length > 0)
  const put = (id: string, rules: RuleTexts) =>
    deployment.change([{kind: "policy", id, value: {program: "rules", rules}}])
  const activate = (policy: string) =>
    deployment.change([{kind: "activation", id: "active", value: {policy}}])
  const activeName = () =>
    until("a policy is active", async () => {
      const {cells} = await getJson(`http://${box.keeperOps}/state`)
      return cells[0]?.policy as string | undefined
    })
  await t.rejects(put("fresh", {evict: "adapter.idle"}), {
    code: "invalid-change",
    findings: [{place: /^\/records\/0\/value\/rules\/evict:1:\d+$/}]
  })
  const {generation} = await put("fresh", {evict: "-adapter.idleMs"})
  await activate("fresh")
  const name = `fresh@${generation}`
  await until("the keeper applies it", async () => (await activeName()) === name)
  await t.rejects(put("fresh", {evict: "adapter.idleMs"}), {
    code: "invalid-change",
    findings: [{message: /is in force/}]
  })
  t.match(await long, {kind: "answered", tokens: 400}, "requests in progress continue")
  for (const model of deployment.models) {
    t.match(await calls.send(box, {model}), {kind: "answered"})
  }
  t.ok(box.keeper.output.includes(`"policy":"${name}"`), "decisions name the version")
  await put("old", {})
  await activate("old")
  await until("replaced", async () => (await activeName()).startsWith("old@"))
  t.equal(await calls.violations(), "")
})
