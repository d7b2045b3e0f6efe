/** The pages that are made from the code are those of the code. */
import {readFileSync} from "node:fs"
import t from "tap"
import {EVENTS} from "../src/events.js"
import {checkPolicy} from "../src/index.js"
import {renderEventsPage, renderErrorsPage, renderSettingsPage} from "./support/pages.js"

const read = (name: string) =>
  readFileSync(new URL(`../../docs/${name}`, import.meta.url), "utf8")

t.test("the catalogue of events is that of the code", async t => {
  t.equal(read("EVENTS.md"), renderEventsPage())
})

// Two events had the same number for a while, and logs did not tell them apart.
t.test("each event has a number of its own", async t => {
  const numbers = Object.values(EVENTS).map(({number}) => number)
  t.equal(new Set(numbers).size, numbers.length)
})

t.test("the table of errors is that of the code", async t => {
  t.equal(read("protocols/errors.md"), renderErrorsPage())
})

t.test("the settings reference is that of the schema", async t => {
  t.equal(read("operators/settings.md"), renderSettingsPage())
})

t.test("the policy of the operators' page passes the check", async t => {
  const page = read("operators/policies.md")
  const policy = /```json\n([\s\S]*?)```/.exec(page)?.[1] ?? ""
  t.same(checkPolicy(JSON.parse(policy)), [])
})
