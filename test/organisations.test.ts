/** Organisations as operators write them, with whatever else may stand there. */
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

/** Where findings are told. */
function placesOf(tenants: unknown): string[] {
  try {
    read(tenants)
    return []
  } catch (cause) {
    if (!(cause instanceof UnreadableEntry)) throw cause
    return cause.findings.map(({place}) => place)
  }
}

t.test("keys are kept as digests, limits with their unit", async t => {
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

t.test("no limit is told by none, or by a rate of 0", async t => {
  const unlimited = {...TENANT, ratePerS: undefined}
  t.equal(read([unlimited])[0]?.limit, undefined)
  t.equal(read([{...TENANT, ratePerS: 0}])[0]?.limit, undefined)
})

t.test("an organisation may have lost all its keys", async t => {
  t.same(read([{...TENANT, apiKeys: []}])[0]?.keys, [])
})

t.test("what is no organisation is a finding with its place", async t => {
  const keyless = {...TENANT, apiKeys: undefined}
  t.same(placesOf([keyless]), ["/tenants/0/apiKeys"])
  t.same(placesOf([TENANT, {...TENANT, name: "two"}]), [
    "/tenants/1/apiKeys/0",
    "/tenants/1/apiKeys/1"
  ])
  t.same(placesOf([TENANT, {...TENANT, apiKeys: ["k3"]}]), ["/tenants/1/name"])
  t.same(placesOf([{...TENANT, ratePerS: -1}]), ["/tenants/0/ratePerS"])
  t.same(placesOf([{...TENANT, unit: "bytes"}]), ["/tenants/0/unit"])
  t.same(placesOf([{...TENANT, apiKeys: [""]}]), ["/tenants/0/apiKeys/0"])
  t.same(placesOf([{...TENANT, name: "a\r\nb: c"}]), ["/tenants/0/name"])
})

t.test("ten thousand keys are read", async t => {
  const apiKeys = Array.from({length: 10_000}, (_, i) => `key-${i}`)
  t.equal(read([{...TENANT, apiKeys}])[0]?.keys.length, 10_000)
})

t.test("whatever stands in place of an organisation, it is read or refused", async t => {
  let state = createRandom(7)
  const draw = (limit: number): number => {
    const [value, next] = uniformFloat64(state)
    state = next
    return Math.floor(value * limit)
  }
  const values = [null, -1, 0, 1e300, "", "k1", [], [""], {}, true, [null], NaN]
  for (let i = 0; i < 500; i++) {
    const names = Object.keys(TENANT)
    const spoilt = {...TENANT, [names[draw(names.length)] as string]: values[draw(12)]}
    t.doesNotThrow(() => placesOf([spoilt]))
  }
})

t.test("a request with two keys, an empty or a long one holds no key", async t => {
  const known = read([TENANT])[0]?.keys
  const held = (value: string): boolean =>
    known?.includes(platformDialect.readRequest({"x-api-key": value}).key ?? "") === true
  t.ok(held("k1"))
  // Node joins a header that stands twice.
  for (const value of ["k1, k2", "", " ", "k1 ", "x".repeat(9_000)]) t.notOk(held(value))
})

t.test("tokens in and out count together; who tells none counts as told", async t => {
  const usage = (text: string): number | undefined =>
    platformDialect.readRequest({"x-token-usage": text}).usage
  t.equal(usage("1460,80"), 1_540)
  t.equal(usage("1460"), 1_460)
  t.equal(usage("-5,80"), 80)
  t.equal(usage("x,80"), 80)
  t.equal(platformDialect.readRequest({}).usage, undefined)
})

// The parser's own words quote what stands around a fault, and findings go into logs.
t.test("a configuration that cannot be parsed tells none of its keys", async t => {
  for (const text of ['{"apiKeys":[secret-1]}', '{"apiKeys":["secret-1"],x}']) {
    try {
      platformRecords.readConfig("op/config", text)
      t.fail("it cannot be read")
    } catch (cause) {
      t.notMatch((cause as Error).message, /secret/)
    }
  }
})
