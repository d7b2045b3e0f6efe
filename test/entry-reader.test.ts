/** Parsing of key-value entries written by other programs, including malformed ones. */
import t from "tap"
import {readReport} from "../platform/backends.js"
import {platformRecords} from "../platform/records.js"
import {EntryReader} from "../src/adapters/entry-reader.js"
import {UnreadableEntry} from "../src/errors.js"
import type {KvEntry} from "../src/ports/ports.js"
import {createRandom, uniformFloat64} from "../src/utils/random.js"

const ROUNDS = 400

const VALID = {
  service: "s",
  address: "10.0.0.1:80",
  zone: "a",
  version: "v1",
  slots: 6,
  state: "ready",
  coldRemainingMs: 0,
  sequence: 3,
  models: [{name: "base", version: 1, adapters: ["a1@2"]}],
  born: 1_790_000_000_000
}

const REPORT = {
  sequence: 3,
  busy: false,
  models: VALID.models,
  pending: ["base/a2@1"],
  born: 7
}

function entryOf(value: unknown, revision: number, id = "w"): KvEntry {
  const text = typeof value === "string" ? value : JSON.stringify(value)
  return {key: `servers/${id}`, value: text, revision}
}

function createReader(): {reader: EntryReader; logged: string[]} {
  const logged: string[] = []
  const log = (event: string, fields = {}): void => {
    logged.push(`${event} ${(fields as {key: string}).key}`)
  }
  return {reader: new EntryReader(platformRecords, log), logged}
}

t.test("a valid entry is parsed; its start time marks the incarnation", async t => {
  const {reader} = createReader()
  const record = reader.readBackend(entryOf(VALID, 5))
  t.match(record, {server: "w", revision: 5, service: "s", leaving: false})
  t.not(record?.id, "w")
  t.not(reader.readBackend(entryOf({...VALID, born: VALID.born + 1}, 6))?.id, record?.id)
  t.equal(reader.readBackend(entryOf({...VALID, born: undefined}, 1, "v"))?.id, "v")
})

t.test("an entry without a start time is rejected if its server had one", async t => {
  const {reader, logged} = createReader()
  t.ok(reader.readBackend(entryOf(VALID, 5)))
  t.notOk(reader.readBackend(entryOf({...VALID, born: undefined}, 6)))
  t.same(logged, ["entry-unreadable servers/w"])
  t.ok(reader.readBackend(entryOf(VALID, 7)), "a later valid entry is accepted")
  t.equal(reader.unreadable, 0)
})

t.test("unreadable entries are logged once per content, counted by key", async t => {
  const {reader, logged} = createReader()
  const list = [entryOf("{", 5, "x"), entryOf(VALID, 6), entryOf({}, 7, "y")]
  for (let i = 0; i < 5; i++) {
    const {records, unreadable} = reader.readBackends(list)
    t.same(
      records.map(({server}) => server),
      ["w"]
    )
    t.same([...unreadable].sort(), ["x", "y"])
  }
  t.same(logged, ["entry-unreadable servers/x", "entry-unreadable servers/y"])
  t.equal(reader.unreadable, 2)
  reader.readBackends([entryOf(VALID, 6)])
  t.equal(reader.unreadable, 0, "removed entries are not counted")
})

/** Removes one field of a value or replaces its value. */
function corrupt(value: object, below: (limit: number) => number): unknown {
  const other = [
    undefined,
    null,
    -1,
    1.5,
    "7",
    "",
    "Ready",
    [],
    {},
    true,
    1e300,
    "x".repeat(70_000)
  ]
  const names = Object.keys(value)
  const name = names[below(names.length)] as string
  return {...value, [name]: other[below(other.length)]}
}

function createRandomBelow(seed: number): (limit: number) => number {
  let state = createRandom(seed)
  return limit => {
    const [value, next] = uniformFloat64(state)
    state = next
    return Math.floor(value * limit)
  }
}

function corruptText(text: string, below: (limit: number) => number): string {
  return text.slice(0, below(text.length)) + String.fromCharCode(below(256))
}

t.test(
  "a corrupted entry or report is parsed completely or rejected as unreadable",
  async t => {
    let parsed = 0
    for (let seed = 1; seed <= ROUNDS; seed++) {
      const below = createRandomBelow(seed)
      const corrupted = corrupt(below(2) === 0 ? VALID : REPORT, below)
      const text = JSON.stringify(corrupted)
      const value = below(3) === 0 ? corruptText(text, below) : text
      try {
        const record = platformRecords.readBackend(entryOf(value, seed))
        parsed++
        t.match(record.address, /^\d+\.\d+\.\d+\.\d+:\d+$/, value)
        t.ok(record.service !== "" && record.dataCentre !== "", value)
      } catch (cause) {
        t.ok(cause instanceof UnreadableEntry, `seed ${seed}: ${String(cause)}`)
      }
      try {
        const {sequence, startedAt = 0} = readReport(value)
        t.ok(Number.isInteger(sequence) && Number.isInteger(startedAt), value)
      } catch (cause) {
        t.ok(cause instanceof UnreadableEntry, `seed ${seed}: ${String(cause)}`)
      }
    }
    t.ok(parsed > 0, "entries without optional fields are accepted")
  }
)

t.test(
  "operators' entries are parsed once for each change, and invalid ones are ignored",
  async t => {
    const {reader, logged} = createReader()
    const version = {model: "m", adapter: "a", version: 4}
    const entries = [
      {key: "op/version/m.a", value: JSON.stringify(version), revision: 3},
      {key: "op/version/m.b", value: '{"version":"4"}', revision: 4},
      {key: "op/config", value: "[]", revision: 5}
    ]
    t.same(reader.readOperators(entries), {configs: [], versions: [["m/a", 4]]})
    t.same(reader.readOperators(entries), {configs: [], versions: []})
    t.equal(logged.length, 2)
  }
)
