/**
 * Judge of parts of prompts that crash servers: it reports a fourth request with the part
 * that reaches servers too late, and sound requests beside them that begin less than half
 * as often as before, and excuses only boxes out of touch and parts that were repaired.
 */
import t from "tap"
import {Judge} from "./stand-ins/platform-judge.js"
import {SoakRecord} from "./support/soak-record.js"
import {judgeParts} from "./support/soak-judge-parts.js"

const PART = "bad00001"
const FIRST = "f1a50000"

/** Servers crash each second from here on, the fifth one at 14,000. */
const FIRST_CRASH = 10_000
const FIFTH_CRASH = 14_000

/** Requests are counted from here on, and sound ones compared from there on. */
const COUNTED_FROM = 17_000
const COMPARED_FROM = 20_000

class PartsFixture {
  readonly judge = new Judge()
  readonly record = new SoakRecord()
  private next_ = 0

  constructor(crashes = 5) {
    for (let i = 0; i < crashes; i++) {
      const at = FIRST_CRASH + 1_000 * i
      this.judge.parts.crashes.push({
        part: PART,
        moment: "in-stream",
        id: `c-${i}`,
        worker: `i-${i}`,
        at
      })
    }
  }

  /** Adds requests with the part that reach servers one after another. */
  reach(count: number, from: number): this {
    for (let i = 0; i < count; i++) {
      const at = from + 10 * i
      const id = this.addGuilty(at)
      this.judge.parts.arrivals.push({id, worker: "i-9", parts: [FIRST, PART], at})
    }
    return this
  }

  /** Adds a request with the part that reaches no server. */
  addGuilty(sentAt: number): string {
    const id = `g-${this.next_++}`
    const outcome = {id, status: 503, headers: {}, body: "", broken: false}
    this.record.crashing.push({
      path: "/stream/x",
      box: "box-0",
      outcome,
      sentAt,
      parts: [FIRST, PART]
    })
    return id
  }

  /** Adds sound requests of which a number begins. */
  addSound(count: number, begun: number, from: number, first = FIRST): this {
    for (let i = 0; i < count; i++) {
      const status = i < begun ? 200 : 503
      const outcome = {
        id: `s-${this.next_++}`,
        status,
        headers: {},
        body: "",
        broken: false
      }
      this.record.calls.push({
        kind: "stream",
        box: "box-0",
        outcome,
        sentAt: from + 10 * i,
        parts: [first, "ab010000"]
      })
    }
    return this
  }

  violations(): number {
    return judgeParts(this.judge, this.record).length
  }
}

t.test("a fourth request that reaches servers after the fifth crash", async t => {
  const late = COUNTED_FROM + 10
  t.equal(new PartsFixture().reach(3, late).violations(), 0)
  t.equal(new PartsFixture().reach(4, late).violations(), 1)
  t.equal(new PartsFixture().reach(9, FIFTH_CRASH).violations(), 0)
  t.equal(new PartsFixture(4).reach(9, late).violations(), 0)
})

t.test(
  "requests of boxes out of touch, and with repaired parts, do not count",
  async t => {
    const struck = new PartsFixture().reach(9, COUNTED_FROM + 10)
    struck.record.exemptions.push({box: "box-0", at: COUNTED_FROM, mayLead: false})
    t.equal(struck.violations(), 0)
    const repaired = new PartsFixture().reach(9, COUNTED_FROM + 10)
    repaired.judge.parts.repairs.set(PART, COUNTED_FROM)
    t.equal(repaired.violations(), 0)
  }
)

t.test("sound requests that begin less than half as often as before", async t => {
  const play = (crashes: number, begun: number, first = FIRST): PartsFixture => {
    const fixture = new PartsFixture(crashes)
    fixture.addGuilty(COMPARED_FROM + 1_000)
    return fixture
      .addSound(20, 20, FIRST_CRASH - 500, first)
      .addSound(20, begun, COMPARED_FROM + 10, first)
  }
  t.equal(play(5, 10).violations(), 0)
  t.equal(play(5, 9).violations(), 1)
  t.equal(play(2, 9).violations(), 1, "fewer than five crashes")
  t.equal(play(5, 0, "f1a50001").violations(), 0, "another first part")
})

t.test(
  "fewer than 20 sound requests, or none with the part, are not compared",
  async t => {
    const few = new PartsFixture()
    few.addGuilty(COMPARED_FROM + 1_000)
    few.addSound(20, 20, FIRST_CRASH - 500).addSound(19, 0, COMPARED_FROM + 10)
    t.equal(few.violations(), 0)
    const ended = new PartsFixture()
    ended.addGuilty(COMPARED_FROM)
    ended.addSound(20, 20, FIRST_CRASH - 500).addSound(20, 0, COMPARED_FROM + 10)
    t.equal(ended.violations(), 0)
  }
)
