/** Reading of organisations as operators write them, including malformed entries. */
import t from "tap"
import {platformDialect} from "../platform/dialect.js"
import {platformRecords} from "../platform/records.js"
import {UnreadableEntry} from "../src/errors.js"
import type {RoutedOrganisation} from "../src/types/organisations.js"
import {createRandom, uniformFloat64} from "../src/utils/random.js"

const CONFIG = {
  version: 1,
  routes: [],
  services: [],
  limits: {maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1}
}
const TENANT = {
  name: "one",
  apiKeys: ["k1", "k2"],
  priority: 1,
  unit: "tokens",
  plainTokens: 200,
  ratePerS: 1_000,
  burst: 500
}

function read(tenants: unknown): readonly RoutedOrganisation[] {
  const text = JSON.stringify({...CONFIG, tenants})
  return platformRecords.readConfig("op/config", text)?.organisations ?? []
}

/** Returns the JSON pointers of the findings. */
function findingPointers(tenants: unknown): string[] {
  try {
    read(tenants)
    return []
  } catch (cause) {
    if (!(cause instanceof UnreadableEntry)) throw cause
    return cause.findings.map(({place}) => place)
  }
}

t.test("keys are stored as digests, limits with their unit", async t => {
  const [one] = read([TENANT]) as [RoutedOrganisation]
  t.match(one, {
    name: "one",
    priority: 1,
    limit: {unit: "tokens", perSecond: 1_000, burst: 500, plainTokens: 200}
  })
  t.notOk(JSON.stringify(one).includes("k1"))
  t.equal(one.keys[0], platformDialect.readRequest({"x-api-key": "k1"}).key)
  t.same(read(undefined), [])
})

t.test("a missing rate or a rate of 0 means no limit", async t => {
  const unlimited = {...TENANT, ratePerS: undefined}
  t.equal(read([unlimited])[0]?.limit, undefined)
  t.equal(read([{...TENANT, ratePerS: 0}])[0]?.limit, undefined)
})

t.test("an organisation may have no keys", async t => {
  t.same(read([{...TENANT, apiKeys: []}])[0]?.keys, [])
})

t.test("an invalid organisation gives a finding with its position", async t => {
  const keyless = {...TENANT, apiKeys: undefined}
  t.same(findingPointers([keyless]), ["/tenants/0/apiKeys"])
  t.same(findingPointers([TENANT, {...TENANT, name: "two"}]), [
    "/tenants/1/apiKeys/0",
    "/tenants/1/apiKeys/1"
  ])
  t.same(findingPointers([TENANT, {...TENANT, apiKeys: ["k3"]}]), ["/tenants/1/name"])
  t.same(findingPointers([{...TENANT, ratePerS: -1}]), ["/tenants/0/ratePerS"])
  t.same(findingPointers([{...TENANT, unit: "bytes"}]), ["/tenants/0/unit"])
  t.same(findingPointers([{...TENANT, apiKeys: [""]}]), ["/tenants/0/apiKeys/0"])
  t.same(findingPointers([{...TENANT, name: "a\r\nb: c"}]), ["/tenants/0/name"])
})

t.test("ten thousand keys are read", async t => {
  const apiKeys = Array.from({length: 10_000}, (_, i) => `key-${i}`)
  t.equal(read([{...TENANT, apiKeys}])[0]?.keys.length, 10_000)
})

t.test(
  "a random value in an organisation is either read or rejected with findings",
  async t => {
    let state = createRandom(7)
    const draw = (limit: number): number => {
      const [value, next] = uniformFloat64(state)
      state = next
      return Math.floor(value * limit)
    }
    const values = [null, -1, 0, 1e300, "", "k1", [], [""], {}, true, [null], NaN]
    for (let i = 0; i < 500; i++) {
      const names = Object.keys(TENANT)
      const malformed = {
        ...TENANT,
        [names[draw(names.length)] as string]: values[draw(12)]
      }
      t.doesNotThrow(() => findingPointers([malformed]))
    }
  }
)

t.test("two keys, an empty key or a long key don't match a key", async t => {
  const keys = read([TENANT])[0]?.keys
  const isMatch = (value: string): boolean =>
    keys?.includes(platformDialect.readRequest({"x-api-key": value}).key ?? "") === true
  t.ok(isMatch("k1"))
  // Node.js joins the values of a repeated header.
  for (const value of ["k1, k2", "", " ", "k1 ", "x".repeat(9_000)])
    t.notOk(isMatch(value))
})

t.test(
  "input and output tokens are added up, and the usage is undefined without the header",
  async t => {
    const usage = (text: string): number | undefined =>
      platformDialect.readRequest({"x-token-usage": text}).usage
    t.equal(usage("1460,80"), 1_540)
    t.equal(usage("1460"), 1_460)
    t.equal(usage("-5,80"), 80)
    t.equal(usage("x,80"), 80)
    t.equal(platformDialect.readRequest({}).usage, undefined)
  }
)

// The parser's message quotes the text around a syntax error, and findings are logged.
t.test(
  "the error of a configuration that can't be parsed contains none of its keys",
  async t => {
    for (const text of ['{"apiKeys":[secret-1]}', '{"apiKeys":["secret-1"],x}']) {
      try {
        platformRecords.readConfig("op/config", text)
        t.fail("an invalid configuration was read")
      } catch (cause) {
        t.notMatch((cause as Error).message, /secret/)
      }
    }
  }
)
