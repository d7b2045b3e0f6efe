/** The lease under which one box sends orders to engines. */
import t from "tap"
import {
  createLeadership,
  endLeadership,
  type LeadershipOptions,
  isLeader,
  canOrder,
  extendLease,
  beginLeadership,
  holdsLease,
  leaseMs,
  replaceLease
} from "../src/core/leadership.js"

const OPTIONS: LeadershipOptions = {
  ttlMs: 1_200,
  marginMs: 200,
  checksFences: true,
  orderGapMs: 3_000
}
const CLAIM = {fence: 7, lease: "l", leaseMs: 1_200, sentAt: 1_000}

t.test("a lease counts from the time its call was sent, less a margin", async t => {
  const leadership = createLeadership()
  beginLeadership(leadership, CLAIM, 1_400, OPTIONS)
  t.ok(canOrder(leadership, 1_999))
  t.notOk(canOrder(leadership, 2_000), "a late answer does not extend it")
  extendLease(leadership, 1_500, OPTIONS)
  t.ok(canOrder(leadership, 2_499))
  extendLease(leadership, 1_200, OPTIONS)
  t.ok(canOrder(leadership, 2_499), "an older renewal does not shorten it")
})

t.test("a box sends no order after a process pause", async t => {
  const leadership = createLeadership()
  beginLeadership(leadership, CLAIM, 1_010, OPTIONS)
  t.notOk(isLeader(leadership, 9_000))
  t.notOk(canOrder(leadership, 9_000))
})

t.test(
  "without fencing by engines, a new leader waits until the previous one can't order",
  async t => {
    const options = {...OPTIONS, checksFences: false}
    const leadership = createLeadership()
    beginLeadership(leadership, CLAIM, 1_010, options)
    extendLease(leadership, 5_000, options)
    t.notOk(canOrder(leadership, 1_010 + 3_199))
    t.ok(canOrder(leadership, 1_010 + 3_200))
  }
)

// A leads, B leads without being able to order, A leads and orders, B leads again.
t.test(
  "a leadership in which no order was possible does not shorten the wait",
  async t => {
    const options = {...OPTIONS, checksFences: false}
    const leadership = createLeadership()
    beginLeadership(leadership, CLAIM, 1_010, options)
    endLeadership(leadership, 1_500)
    beginLeadership(
      leadership,
      {fence: 9, lease: "m", leaseMs: 1_200, sentAt: 1_600},
      1_610,
      options
    )
    t.notOk(canOrder(leadership, 1_620))
    t.notOk(canOrder(leadership, 1_610 + 900))
  }
)

t.test("a leader that becomes leader again at once does not wait for itself", async t => {
  const options = {...OPTIONS, checksFences: false}
  const leadership = createLeadership()
  beginLeadership(leadership, CLAIM, 1_010, options)
  extendLease(leadership, 4_000, options)
  endLeadership(leadership, 4_500)
  beginLeadership(
    leadership,
    {fence: 9, lease: "m", leaseMs: 1_200, sentAt: 4_600},
    4_610,
    options
  )
  t.ok(canOrder(leadership, 4_620))
})

t.test("a lease lasts longer in proportion to late answers of the store", async t => {
  t.equal(leaseMs(OPTIONS, 1), 1_200)
  t.equal(leaseMs(OPTIONS, 2), 1_200)
  t.equal(leaseMs(OPTIONS, 6), 3_600)
})

t.test("a leader with a longer lease sends no orders for longer", async t => {
  const leadership = createLeadership()
  beginLeadership(leadership, {...CLAIM, leaseMs: 3_600}, 1_010, OPTIONS)
  t.ok(canOrder(leadership, 1_999))
  t.notOk(canOrder(leadership, 2_000))
  t.ok(holdsLease(leadership, 4_399))
  t.notOk(holdsLease(leadership, 4_400))
  extendLease(leadership, 3_000, OPTIONS)
  t.ok(canOrder(leadership, 3_999), "a renewal that is answered late counts")
  t.ok(holdsLease(leadership, 6_399))
  replaceLease(leadership, {lease: "m", leaseMs: 1_200, sentAt: 5_000}, OPTIONS)
  t.same([leadership.fence, leadership.lease], [CLAIM.fence, "m"])
  t.ok(holdsLease(leadership, 5_999))
  t.notOk(holdsLease(leadership, 6_000))
})
