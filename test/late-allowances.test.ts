/**
 * Requests that wait for a leader's allowance (RECOVER): a leader that has just begun, or has
 * hardly any processor, answers later than a request used to wait.
 */
import t from "tap"
import {buildRouteTable} from "../src/core/route-table.js"
import {CONFIG} from "./patterns/fleet.js"
import {passIfKnownRed} from "./support/known-red.js"
import {ROUTE, Subject} from "./support/box-subject.js"

const ORGANISATION = "o"
const LIMIT = {unit: "requests", perSecond: 10, burst: 0, plainTokens: 200} as const

const TABLE = buildRouteTable({
  ...CONFIG,
  routes: [ROUTE],
  services: [{name: "s", maxConnections: 10}],
  organisations: [{name: ORGANISATION, keys: [], limit: LIMIT}]
})

const DEADLINE_MS = 2_000
const TICK_MS = 20

/** What a box without a leader, or with a silent one, lets a request wait (ms). */
const SHORT_WAIT_MS = ROUTE.targetMs / 4

/** A box that keeps the last request for allowances that it sent. */
class LimitedBox extends Subject {
  lastAsk = 0

  constructor() {
    super()
    this.box.table = TABLE
  }

  call(): this {
    this.arrive(ROUTE, {organisation: ORGANISATION, deadlineMs: DEADLINE_MS})
    return this.noteAsk()
  }

  /** Ticks for a while. Returns the effects that left the box. */
  wait(ms: number): string[] {
    const left: string[] = []
    for (let passed = 0; passed < ms; passed += TICK_MS) {
      this.advanceTime(TICK_MS).noteAsk()
      left.push(...this.summarizeEffects())
    }
    return left
  }

  grant(amount: number): void {
    const grants = [{organisation: ORGANISATION, amount}]
    this.box.usageAllowances.handleGrants(this.lastAsk, grants, this.now)
  }

  private noteAsk(): this {
    for (const effect of this.effects)
      if (effect.type === "usage") this.lastAsk = effect.ask
    return this
  }
}

// RECOVER: each call with a key was refused after a quarter of its target time, for as long
// as the leader took longer than that to answer.
if (!passIfKnownRed("late-allowances 1")) {
  t.test("a request waits for an allowance while its box has a leader", async t => {
    const box = new LimitedBox().call()
    t.same(box.wait(700), [])
    box.grant(1)
    t.same(box.wait(TICK_MS), ["send 1"])
  })
}

t.test("a request does not wait long for a leader that stays silent", async t => {
  const box = new LimitedBox().call()
  t.same(box.wait(DEADLINE_MS / 2), ["end not-run"])
  t.same(box.call().wait(SHORT_WAIT_MS + TICK_MS), ["end not-run"])
})

t.test("a box without a leader refuses soon", async t => {
  const box = new LimitedBox()
  box.box.hasLeader = false
  box.box.ordersFrom = 0
  box.call()
  const first = box.summarizeEffects()
  t.same([...first, ...box.wait(SHORT_WAIT_MS + TICK_MS)], ["end not-run"])
})

t.test("a leader that answers again is waited for again", async t => {
  const box = new LimitedBox().call()
  box.wait(DEADLINE_MS)
  box.grant(1)
  box.call()
  t.same(box.summarizeEffects(), ["send 1"])
  const next = new LimitedBox().call()
  next.wait(DEADLINE_MS)
  next.box.usageAllowances.beginTerm()
  next.call()
  t.same(next.wait(700), [])
})
