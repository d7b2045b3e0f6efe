/** What the leader counts of organisations' limits, and what it leaves to the next one. */
import t from "tap"
import {ALLOWANCE_MS, countedMs, type UsageOptions} from "../src/core/usage-limits.js"
import {type LedgerEffect, UsageLedger} from "../src/core/usage-ledger.js"
import type {AllowanceAsk, UsageOutlooks} from "../src/types/usage-messages.js"

const OPTIONS: UsageOptions = {windowMs: 8_000, overage: 0, slack: 0}
const LIMIT = 1_000
const SPAN_MS = countedMs(OPTIONS)

class Subject {
  readonly effects: LedgerEffect[] = []
  limit = LIMIT
  readonly ledger = new UsageLedger(
    OPTIONS,
    () => new Map([["one", this.limit]]),
    effect => this.effects.push(effect)
  )

  /** Knows what earlier leaders left, and has stored its own. */
  open(left: UsageOutlooks | undefined, now = 0): this {
    this.ledger.begin()
    this.ledger.takeStored(left, now)
    return this.store(now)
  }

  /** What was to be stored last is. */
  store(now: number): this {
    const save = this.effects.filter(effect => effect.type === "save-usage").at(-1)
    if (save?.type === "save-usage") this.ledger.noteSaved(save.save, true, now)
    return this
  }

  /** What a box is given; undefined: it has no answer yet. */
  ask(need: number, now: number, more: Partial<AllowanceAsk> = {}): number | undefined {
    const entry = {
      organisation: "one",
      used: 0,
      returned: 0,
      restored: 0,
      need,
      want: need
    }
    this.effects.length = 0
    this.ledger.take("b", 1, [{...entry, ...more}], now)
    return this.given()
  }

  given(): number | undefined {
    const allow = this.effects.find(effect => effect.type === "allow")
    return allow?.type === "allow" ? allow.grants[0]?.amount : undefined
  }

  saved(): UsageOutlooks {
    const save = this.effects.filter(effect => effect.type === "save-usage").at(-1)
    return save?.type === "save-usage" ? save.outlooks : {}
  }
}

t.test("nothing is given before it is known what others gave, and is stored", async t => {
  const subject = new Subject()
  t.equal(subject.ask(10, 0), undefined)
  t.match(subject.effects, [{type: "read-usage"}])
  subject.ledger.takeStored({}, 10)
  t.equal(subject.given(), undefined)
  subject.store(20)
  t.equal(subject.given(), 10, "the ask that waited is answered")
})

t.test("what was given counts until a window after its last use", async t => {
  const subject = new Subject().open({})
  t.equal(subject.ask(100, 0), 100)
  t.equal(subject.ledger.totalOf("one", ALLOWANCE_MS + SPAN_MS - 1), 100)
  t.equal(subject.ledger.totalOf("one", ALLOWANCE_MS + SPAN_MS + 500), 0)
  const used = new Subject().open({})
  used.ask(100, 0)
  used.ask(0, 1_000, {used: 100})
  t.equal(used.ledger.totalOf("one", 1_000 + SPAN_MS - 1), 100)
  t.equal(used.ledger.totalOf("one", 1_000 + SPAN_MS + 500), 0)
})

t.test("what is given back counts no more", async t => {
  const subject = new Subject().open({})
  subject.ask(100, 0)
  subject.ask(0, 1_000, {used: 40, returned: 60})
  t.equal(subject.ledger.totalOf("one", 1_000), 40)
})

t.test("use of a newer allowance is not taken for use of one that ran out", async t => {
  const subject = new Subject().open({})
  subject.ask(100, 0)
  subject.ask(100, 2_000)
  // At 5,000: nothing of the first was used, and all of the second just now.
  subject.ask(0, 5_000, {used: 100, returned: 100})
  t.equal(subject.ledger.totalOf("one", 5_000 + SPAN_MS - 1), 100)
})

t.test(
  "an answer to what was stored before the service came back says nothing",
  async t => {
    const subject = new Subject().open({})
    subject.ask(100, 0)
    subject.ledger.forgetStored()
    subject.ledger.noteSaved(1, true, 50)
    t.equal(subject.ask(10, 100), undefined)
    subject.store(110)
    t.equal(subject.given(), 10)
  }
)

t.test("beyond the limit a box is told when there is room", async t => {
  const subject = new Subject().open({})
  for (let now = 0; now < 2_000; now += 100) {
    subject.ask(100, now)
    subject.store(now)
  }
  t.ok(subject.ledger.totalOf("one", 2_000) <= LIMIT)
  t.equal(subject.ask(100, 2_000), 0)
  const allow = subject.effects.find(({type}) => type === "allow")
  t.match(allow, {grants: [{roomInMs: Number}]})
})

// Pattern: leaders are lost one after the other, and none knows what the last one gave.
t.test("the next leader takes for used what this one may have given", async t => {
  const first = new Subject().open({})
  first.ask(100, 0)
  const left = first.saved()["one"] ?? []
  const outlook = left.length > 0 ? left : [220, 220]
  const next = new Subject().open({one: outlook}, 500)
  t.ok(next.ledger.totalOf("one", 500) >= 100)
  const blind = new Subject().open(undefined, 500)
  t.equal(blind.ask(1, 500), 0, "where the store came back without it, all may be used")
  t.equal(blind.ask(1, 500 + ALLOWANCE_MS + SPAN_MS - 1), 0)
  blind.store(500 + ALLOWANCE_MS + SPAN_MS)
  t.equal(blind.ask(1, 500 + ALLOWANCE_MS + SPAN_MS + 100), 1)
})

t.test("a leader that stops gives no more, and leaves no room for growth", async t => {
  const subject = new Subject().open({})
  subject.ask(100, 0)
  subject.ledger.close(1_000)
  t.equal(subject.saved()["one"]?.[0], 100)
  t.equal(subject.ask(10, 1_000), undefined)
})

t.test("what is not stored for sure is not given", async t => {
  const subject = new Subject().open({})
  t.equal(subject.ask(100, 0), 100)
  subject.ledger.forgetStored()
  t.equal(subject.ask(10, 100), undefined, "the store may hold an older outlook")
})
