/** Pages that are generated from the code are up to date. */
import {readFileSync} from "node:fs"
import t from "tap"
import {EVENTS} from "../src/events.js"
import {checkPolicy} from "../src/index.js"
import {renderEventsPage, renderErrorsPage, renderSettingsPage} from "./support/pages.js"

const read = (name: string) =>
  readFileSync(new URL(`../../docs/${name}`, import.meta.url), "utf8")

t.test("the catalogue of events matches the code", async t => {
  t.equal(read("EVENTS.md"), renderEventsPage())
})

// Two events had the same number, so that logs did not distinguish them.
t.test("each event has a unique number", async t => {
  const numbers = Object.values(EVENTS).map(({number}) => number)
  t.equal(new Set(numbers).size, numbers.length)
})

t.test("the table of errors matches the code", async t => {
  t.equal(read("protocols/errors.md"), renderErrorsPage())
})

t.test("the settings reference matches the schema", async t => {
  t.equal(read("operators/settings.md"), renderSettingsPage())
})

t.test("the example policy of the operators' page is valid", async t => {
  const page = read("operators/policies.md")
  const policy = /```json\n([\s\S]*?)```/.exec(page)?.[1] ?? ""
  t.same(checkPolicy(JSON.parse(policy)), [])
})
