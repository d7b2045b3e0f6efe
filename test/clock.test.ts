/**
 * Tests that the clock of a process counts suspensions and ignores other clock errors.
 */
import t from "tap"
import {ProcessClock} from "../src/adapters/clock.js"

/**
 * Two clocks set by a test. `between` runs once between the readings of the two clocks.
 */
class FakeClocks {
  monotonicMs = 1_000
  timeOfDayMs = 1_700_000_000_000
  between: (() => void) | undefined

  readonly clock: ProcessClock

  constructor() {
    this.clock = new ProcessClock({
      monotonic: () => this.monotonicMs,
      timeOfDay: () => {
        this.between?.()
        this.between = undefined
        return this.timeOfDayMs
      }
    })
  }

  pass(ms: number): void {
    this.monotonicMs += ms
    this.timeOfDayMs += ms
  }

  suspend(ms: number): void {
    this.timeOfDayMs += ms
  }
}

t.test("time counted only by the time of day is a suspension", async t => {
  const clocks = new FakeClocks()
  const from = clocks.clock.now()
  clocks.pass(100)
  clocks.suspend(3_000)
  t.equal(clocks.clock.now() - from, 3_100)
  t.equal(clocks.clock.suspendedMs(), 3_000)
  clocks.suspend(500)
  clocks.pass(10)
  t.equal(clocks.clock.now() - from, 3_610)
})

t.test("the clock never goes back", async t => {
  const clocks = new FakeClocks()
  const from = clocks.clock.now()
  clocks.suspend(-5_000)
  t.equal(clocks.clock.now(), from)
  clocks.pass(10)
  t.equal(clocks.clock.now() - from, 10)
  t.equal(clocks.clock.suspendedMs(), 0)
})

t.test("small differences between the clocks are not suspensions", async t => {
  const clocks = new FakeClocks()
  for (let i = 0; i < 1_000; i++) {
    clocks.pass(100)
    clocks.suspend(i % 2 ? 2 : -1)
    clocks.clock.now()
  }
  t.equal(clocks.clock.suspendedMs(), 0)
})

t.test("a process pause between the two readings is not a suspension", async t => {
  const clocks = new FakeClocks()
  const from = clocks.clock.now()
  clocks.between = () => clocks.pass(400)
  t.equal(clocks.clock.now() - from, 400)
  t.equal(clocks.clock.suspendedMs(), 0)
})

t.test("a suspension between the two readings counts", async t => {
  const clocks = new FakeClocks()
  const from = clocks.clock.now()
  clocks.between = () => clocks.suspend(2_000)
  clocks.clock.now()
  t.equal(clocks.clock.now() - from, 2_000)
})
