/** The lease under which one box sends orders to engines. */
import t from "tap"
import {
  createLeadership,
  endLead,
  type LeadershipOptions,
  leads,
  mayOrder,
  renewLead,
  takeLead
} from "../src/core/leadership.js"

const OPTIONS: LeadershipOptions = {
  ttlMs: 1_200,
  marginMs: 200,
  checksFences: true,
  orderGapMs: 3_000
}
const CLAIM = {fence: 7, lease: "l", sentAt: 1_000}

t.test("a lease counts from the time its call was sent, less a margin", async t => {
  const leadership = createLeadership()
  takeLead(leadership, CLAIM, 1_400, OPTIONS)
  t.ok(mayOrder(leadership, 1_999))
  t.notOk(mayOrder(leadership, 2_000), "a late answer does not extend it")
  renewLead(leadership, 1_500, OPTIONS)
  t.ok(mayOrder(leadership, 2_499))
  renewLead(leadership, 1_200, OPTIONS)
  t.ok(mayOrder(leadership, 2_499), "an older renewal does not shorten it")
})

t.test("a box sends no order after a process pause", async t => {
  const leadership = createLeadership()
  takeLead(leadership, CLAIM, 1_010, OPTIONS)
  t.notOk(leads(leadership, 9_000))
  t.notOk(mayOrder(leadership, 9_000))
})

t.test(
  "without fencing by engines, a new leader waits until the previous one can't order",
  async t => {
    const options = {...OPTIONS, checksFences: false}
    const leadership = createLeadership()
    takeLead(leadership, CLAIM, 1_010, options)
    renewLead(leadership, 5_000, options)
    t.notOk(mayOrder(leadership, 1_010 + 3_199))
    t.ok(mayOrder(leadership, 1_010 + 3_200))
  }
)

// A leads, B leads without being able to order, A leads and orders, B leads again.
t.test(
  "a leadership in which no order was possible does not shorten the wait",
  async t => {
    const options = {...OPTIONS, checksFences: false}
    const leadership = createLeadership()
    takeLead(leadership, CLAIM, 1_010, options)
    endLead(leadership, 1_500)
    takeLead(leadership, {fence: 9, lease: "m", sentAt: 1_600}, 1_610, options)
    t.notOk(mayOrder(leadership, 1_620))
    t.notOk(mayOrder(leadership, 1_610 + 900))
  }
)

t.test("a leader that becomes leader again at once does not wait for itself", async t => {
  const options = {...OPTIONS, checksFences: false}
  const leadership = createLeadership()
  takeLead(leadership, CLAIM, 1_010, options)
  renewLead(leadership, 4_000, options)
  endLead(leadership, 4_500)
  takeLead(leadership, {fence: 9, lease: "m", sentAt: 4_600}, 4_610, options)
  t.ok(mayOrder(leadership, 4_620))
})
