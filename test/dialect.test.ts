/** Reads and writes the platform's headers, including forged ones of callers. */
import t from "tap"
import {platformDialect} from "../platform/dialect.js"
import {HEADER} from "../platform/words.js"
import {createRandom, uniformFloat64} from "../src/utils/random.js"

const ROUNDS = 300

const FACTS = {
  server: "i-1",
  deadlineMs: 900,
  priority: 2,
  expectedVersion: 3,
  lastEventId: undefined,
  organisation: undefined
}

/** Headers that only boxes may set. */
const RESERVED = [
  HEADER.deadline,
  HEADER.target,
  HEADER.priority,
  HEADER.expectedVersion,
  HEADER.pin,
  HEADER.hold,
  HEADER.backup,
  HEADER.fetchFrom,
  HEADER.continueFrom,
  HEADER.key,
  HEADER.organisation
]

const PASSED = [HEADER.request, HEADER.model, HEADER.usage, HEADER.prompt, "x-other"]

function createDraw(seed: number): (limit: number) => number {
  let state = createRandom(seed)
  return limit => {
    const [value, next] = uniformFloat64(state)
    state = next
    return Math.floor(value * limit)
  }
}

function mixCase(name: string, below: (limit: number) => number): string {
  return [...name].map(char => (below(2) === 0 ? char.toUpperCase() : char)).join("")
}

t.test("headers that only boxes may set are not forwarded from callers", async t => {
  for (let seed = 1; seed <= ROUNDS; seed++) {
    const below = createDraw(seed)
    const sent: string[] = []
    for (let i = below(12) + 1; i > 0; i--) {
      const names = below(2) === 0 ? RESERVED : PASSED
      const name = names[below(names.length)] as string
      sent.push(mixCase(name, below), `forged-${i}`)
    }
    const written = platformDialect.writeRequest(sent, FACTS)
    const passed = sent.filter(
      (_, i) => i % 2 === 1 && PASSED.includes((sent[i - 1] as string).toLowerCase())
    )
    const kept = written.filter(value => value.startsWith("forged-"))
    t.same(kept, passed, `seed ${seed}: ${sent.join(" ")}`)
  }
})

t.test("a box's own headers are each written once, with the box's value", async t => {
  const sent = RESERVED.flatMap(name => [name, "forged", name.toUpperCase(), "forged"])
  const written = platformDialect.writeRequest(sent, FACTS)
  const names = written.filter((_, i) => i % 2 === 0).map(name => name.toLowerCase())
  t.same(
    names.sort(),
    [HEADER.deadline, HEADER.expectedVersion, HEADER.priority, HEADER.target].sort()
  )
})

t.test("all parts of a prompt but the last are shared", async t => {
  const prefixOf = (text: string) =>
    platformDialect.readRequest({[HEADER.prompt]: text}).prefix
  t.same(prefixOf("5c1e:800,91bd:410,e440:250"), {key: "5c1e:800,91bd:410", tokens: 1210})
  t.equal(prefixOf("e440:250"), undefined)
  t.equal(prefixOf(""), undefined)
  t.same(
    prefixOf("x,y:z,q:7,w:1"),
    {key: "x,y:z,q:7", tokens: 7},
    "a part without a valid count adds no tokens"
  )
})

// A part that crashes servers was not recognised in requests that share nothing else.
t.test("the shared parts of a prompt are read by their identifiers", async t => {
  const partsOf = (text: string) =>
    platformDialect.readRequest({[HEADER.prompt]: text}).parts
  t.same(partsOf("5c1e:800,91bd:410,e440:250"), ["5c1e", "91bd"])
  t.same(partsOf("5c1e:800, 91bd:0 ,e440:250"), ["5c1e", "91bd"])
  t.equal(partsOf("e440:250"), undefined, "the last part is the request's own")
  t.equal(partsOf(""), undefined)
})

const NO_NOTICE = {
  leaving: false,
  restMs: undefined,
  perSecond: undefined,
  unreadable: undefined
}

t.test("a worker's notice is only read from its own answers", async t => {
  const read = (status: number, headers: Record<string, string>): unknown =>
    platformDialect.readNotice(status, new Map(Object.entries(headers)))
  t.same(read(200, {"server-leaving": "1"}), {...NO_NOTICE, leaving: true})
  t.same(read(200, {"server-leaving": "0"}), NO_NOTICE)
  t.same(read(200, {"server-leaving": "1, 1"}), NO_NOTICE)
  t.equal(read(421, {"server-leaving": "1"}), undefined, "another worker answered")
  t.equal(read(421, {"server-limit": "1"}), undefined, "another worker answered")
  const backoff = (text: string): unknown => read(503, {"retry-after": text})
  t.same(backoff("2.5"), {...NO_NOTICE, restMs: 2_500})
  t.match(
    backoff("99999999999"),
    {restMs: 99_999_999_999_000},
    "the limit is applied later"
  )
  t.same(read(200, {"retry-after": "2"}), NO_NOTICE, "only a refusal requests a back-off")
  for (const text of ["-1", "soon", "1e3", "", "Thu, 03 Dec 2026 10:00:00 GMT"]) {
    t.same(backoff(text), {...NO_NOTICE, unreadable: {of: "rest", text}}, text)
  }
})

t.test("a rate is a decimal number, and the smallest of several counts", async t => {
  const rate = (text: string): unknown =>
    platformDialect.readNotice(200, new Map([["server-limit", text]]))
  t.same(rate("1.2"), {...NO_NOTICE, perSecond: 1.2})
  t.same(rate("0"), {...NO_NOTICE, perSecond: 0})
  t.same(rate("400, 0.5"), {...NO_NOTICE, perSecond: 0.5})
  for (const text of ["-1", "NaN", "1e9", "", "1,", "Infinity", "99999999"]) {
    t.same(rate(text), {...NO_NOTICE, unreadable: {of: "rate", text}}, text)
  }
  const both = new Map([
    ["server-limit", "some"],
    ["retry-after", "soon"]
  ])
  t.match(
    platformDialect.readNotice(503, both),
    {unreadable: {of: "rate"}},
    "an invalid rate is reported before an invalid back-off"
  )
  const long = rate("9".repeat(400)) as {unreadable: {text: string}}
  t.equal(long.unreadable.text.length, 40)
})
