/** Entries of the key-value service as other writers may leave them. */
import t from "tap"
import {readReport} from "../platform/backends.js"
import {platformRecords} from "../platform/records.js"
import {EntryReader} from "../src/adapters/entry-reader.js"
import {UnreadableEntry} from "../src/errors.js"
import type {KvEntry} from "../src/ports/ports.js"
import {createRandom, uniformFloat64} from "../src/utils/random.js"

const ROUNDS = 400

const GOOD = {
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
  models: GOOD.models,
  pending: ["base/a2@1"],
  born: 7
}

function entryOf(value: unknown, revision: number, id = "w"): KvEntry {
  const text = typeof value === "string" ? value : JSON.stringify(value)
  return {key: `servers/${id}`, value: text, revision}
}

function createReader(): {reader: EntryReader; told: string[]} {
  const told: string[] = []
  const log = (event: string, fields = {}): void => {
    told.push(`${event} ${(fields as {key: string}).key}`)
  }
  return {reader: new EntryReader(platformRecords, log), told}
}

t.test("a good entry is read, and a life is told by its start", async t => {
  const {reader} = createReader()
  const record = reader.readBackend(entryOf(GOOD, 5))
  t.match(record, {server: "w", revision: 5, service: "s", leaving: false})
  t.not(record?.id, "w")
  t.not(reader.readBackend(entryOf({...GOOD, born: GOOD.born + 1}, 6))?.id, record?.id)
  t.equal(reader.readBackend(entryOf({...GOOD, born: undefined}, 1, "v"))?.id, "v")
})

t.test("an entry that tells no start is not of a server that told one", async t => {
  const {reader, told} = createReader()
  t.ok(reader.readBackend(entryOf(GOOD, 5)))
  t.notOk(reader.readBackend(entryOf({...GOOD, born: undefined}, 6)))
  t.same(told, ["entry-unreadable servers/w"])
  t.ok(reader.readBackend(entryOf(GOOD, 7)), "a good one that follows counts")
  t.equal(reader.unreadable, 0)
})

t.test("each content that cannot be read is told once, and counted by key", async t => {
  const {reader, told} = createReader()
  const list = [entryOf("{", 5, "x"), entryOf(GOOD, 6), entryOf({}, 7, "y")]
  for (let i = 0; i < 5; i++) {
    const {records, unreadable} = reader.readBackends(list)
    t.same(
      records.map(({server}) => server),
      ["w"]
    )
    t.same([...unreadable].sort(), ["x", "y"])
  }
  t.same(told, ["entry-unreadable servers/x", "entry-unreadable servers/y"])
  t.equal(reader.unreadable, 2)
  reader.readBackends([entryOf(GOOD, 6)])
  t.equal(reader.unreadable, 0, "and not when it is gone")
})

/** One field of a value is left out, or becomes another. */
function spoil(value: object, below: (limit: number) => number): unknown {
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

function draw(seed: number): (limit: number) => number {
  let state = createRandom(seed)
  return limit => {
    const [value, next] = uniformFloat64(state)
    state = next
    return Math.floor(value * limit)
  }
}

function cut(text: string, below: (limit: number) => number): string {
  return text.slice(0, below(text.length)) + String.fromCharCode(below(256))
}

t.test(
  "whatever an entry or report holds, it is read whole or found unreadable",
  async t => {
    let read = 0
    for (let seed = 1; seed <= ROUNDS; seed++) {
      const below = draw(seed)
      const spoilt = spoil(below(2) === 0 ? GOOD : REPORT, below)
      const text = JSON.stringify(spoilt)
      const value = below(3) === 0 ? cut(text, below) : text
      try {
        const record = platformRecords.readBackend(entryOf(value, seed))
        read++
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
    t.ok(read > 0, "some fields may be missing")
  }
)

t.test(
  "operators' entries are read once for each change, and the good ones count",
  async t => {
    const {reader, told} = createReader()
    const version = {model: "m", adapter: "a", version: 4}
    const entries = [
      {key: "op/version/m.a", value: JSON.stringify(version), revision: 3},
      {key: "op/version/m.b", value: '{"version":"4"}', revision: 4},
      {key: "op/config", value: "[]", revision: 5}
    ]
    t.same(reader.readOperators(entries), {configs: [], versions: [["m/a", 4]]})
    t.same(reader.readOperators(entries), {configs: [], versions: []})
    t.equal(told.length, 2)
  }
)
