/** The clock of a process counts suspensions, whatever the two clocks that it reads do. */
import t from "tap"
import {ProcessClock} from "../src/adapters/clock.js"

/** Two clocks that a test moves; `between` happens once between a reading of the one and of the other. */
class Times {
  steadyMs = 1_000
  timeOfDayMs = 1_700_000_000_000
  between: (() => void) | undefined

  readonly clock: ProcessClock

  constructor() {
    this.clock = new ProcessClock({
      steady: () => this.steadyMs,
      timeOfDay: () => {
        this.between?.()
        this.between = undefined
        return this.timeOfDayMs
      }
    })
  }

  pass(ms: number): void {
    this.steadyMs += ms
    this.timeOfDayMs += ms
  }

  suspend(ms: number): void {
    this.timeOfDayMs += ms
  }
}

t.test("time that only the time of day counts has passed", async t => {
  const times = new Times()
  const from = times.clock.now()
  times.pass(100)
  times.suspend(3_000)
  t.equal(times.clock.now() - from, 3_100)
  t.equal(times.clock.suspendedMs(), 3_000)
  times.suspend(500)
  times.pass(10)
  t.equal(times.clock.now() - from, 3_610)
})

t.test("it never goes back", async t => {
  const times = new Times()
  const from = times.clock.now()
  times.suspend(-5_000)
  t.equal(times.clock.now(), from)
  times.pass(10)
  t.equal(times.clock.now() - from, 10)
  t.equal(times.clock.suspendedMs(), 0)
})

t.test("clocks that run apart by little are none", async t => {
  const times = new Times()
  for (let i = 0; i < 1_000; i++) {
    times.pass(100)
    times.suspend(i % 2 ? 2 : -1)
    times.clock.now()
  }
  t.equal(times.clock.suspendedMs(), 0)
})

t.test(
  "a process that is held up between the two readings was not suspended",
  async t => {
    const times = new Times()
    const from = times.clock.now()
    times.between = () => times.pass(400)
    t.equal(times.clock.now() - from, 400)
    t.equal(times.clock.suspendedMs(), 0)
  }
)

t.test("a suspension between the two readings counts", async t => {
  const times = new Times()
  const from = times.clock.now()
  times.between = () => times.suspend(2_000)
  times.clock.now()
  t.equal(times.clock.now() - from, 2_000)
})
