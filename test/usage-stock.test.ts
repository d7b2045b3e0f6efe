/** A box's allowance pool: what it holds, requests and reports. */
import t from "tap"
import {ALLOWANCE_LIFETIME_MS} from "../src/core/usage-limits.js"
import {AllowancePool} from "../src/core/allowance-pool.js"

const need = (amount: number): Map<string, {need: number; least: number}> =>
  new Map([["one", {need: amount, least: 0}]])
const NOTHING = new Map<string, never>()

/** Creates a pool with an amount that was requested at time 0. */
function createPool(amount: number): AllowancePool {
  const pool = new AllowancePool()
  const ask = pool.buildRequest(need(amount), 0)?.ask ?? 0
  pool.handleGrants(ask, [{organisation: "one", amount}], 5)
  return pool
}

t.test("an allowance is used once, and not after its expiry", async t => {
  const pool = createPool(100)
  t.ok(pool.charge("one", 60, 10))
  t.equal(pool.charge("one", 60, 10), undefined, "all or nothing")
  t.ok(pool.charge("one", 40, ALLOWANCE_LIFETIME_MS - 1))
  const late = createPool(100)
  t.equal(
    late.charge("one", 1, ALLOWANCE_LIFETIME_MS),
    undefined,
    "counted from the request on"
  )
})

t.test("a charge that was not executed is refunded, unless it was reported", async t => {
  const pool = createPool(100)
  const charge = pool.charge("one", 60, 10)
  if (!charge) return t.fail("charge refused")
  pool.refund(charge)
  t.ok(pool.holds("one", 100, 20))
  const reported = pool.charge("one", 60, 30)
  if (!reported) return t.fail("charge refused")
  t.match(pool.buildRequest(NOTHING, 700)?.entries, [{used: 60, returned: 0}])
  pool.refund(reported)
  t.notOk(pool.holds("one", 41, 710), "the leader no longer counts it as held")
  t.match(pool.buildRequest(NOTHING, ALLOWANCE_LIFETIME_MS + 10)?.entries, [
    {used: 0, returned: 40}
  ])
})

t.test("allowances of an earlier leader are not reported", async t => {
  const pool = createPool(100)
  pool.beginTerm()
  t.ok(pool.charge("one", 60, 10), "it may be used until its expiry")
  const reported = pool.buildRequest(NOTHING, 700)?.entries ?? []
  t.ok(reported.every(({used, returned}) => used === 0 && returned === 0))
})

// Repeated requests for late answers would slow an overloaded leader further.
t.test("a leader that does not answer gets fewer and fewer requests", async t => {
  const pool = new AllowancePool()
  const asks: number[] = []
  for (let now = 0; now < 10_000; now += 20) {
    if (pool.buildRequest(need(now + 100), now)) asks.push(now)
  }
  t.ok(asks.length <= 9, `${asks.length} requests in 10 s: ${asks.join(" ")}`)
  const answered = new AllowancePool()
  let count = 0
  for (let now = 0; now < 10_000; now += 20) {
    const asked = answered.buildRequest(need(100), now)
    if (!asked) continue
    count++
    answered.handleGrants(
      asked.ask,
      [{organisation: "one", amount: 0, roomInMs: 500}],
      now
    )
  }
  t.ok(count <= 21, `${count} requests while there is no room`)
})

t.test("an allowance from a late answer can be used", async t => {
  const pool = new AllowancePool()
  const first = pool.buildRequest(need(50), 0)?.ask ?? 0
  pool.buildRequest(need(50), 300)
  pool.handleGrants(first, [{organisation: "one", amount: 50}], 400)
  t.ok(pool.charge("one", 50, 400))
})
