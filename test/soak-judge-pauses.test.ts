/**
 * Judge of answers at workers that stood still and went on: it reports those that were cut
 * though their workers were sound, and excuses only what ended by a fact.
 */
import t from "tap"
import {Judge, type Run} from "./stand-ins/platform-judge.js"
import type {Outcome} from "./support/platform-bed.js"
import {describePauses, judgePauses} from "./support/soak-judge-pauses.js"
import {type SoakCall, SoakRecord} from "./support/soak-record.js"
import type {StreamTry} from "./support/stream-caller.js"
import {wholeStream} from "./support/whole-stream.js"

/** A worker stands still in this time. Calls are sent at 10,000 and are cut at 11,600. */
const PAUSE = {worker: "i-1", from: 10_200, to: 11_700}
const CLOSED_AT = 11_500
const CUT_AT = 11_600

class PauseFixture {
  readonly judge = new Judge()
  readonly record = new SoakRecord()

  constructor() {
    this.record.pauses.push({...PAUSE})
  }

  addRun(id: string, run: Partial<Run> = {}): void {
    this.judge.runs.push({
      id,
      worker: "i-1",
      adapter: "a1",
      version: 1,
      from: "",
      reached: 10_050,
      at: 10_050,
      hasAnswered: true,
      ended: "cut",
      endedAt: CLOSED_AT,
      isClosedByPeer: true,
      ...run
    })
  }

  addCall(call: Partial<SoakCall> = {}, outcome: Partial<Outcome> = {}): void {
    const all: Outcome = {
      id: "r-1",
      status: 200,
      headers: {},
      body: "id: 1\ndata: r-1-1\n\n",
      broken: true,
      ...outcome
    }
    const times = {sentAt: 10_000, answeredAt: CUT_AT}
    this.record.calls.push({
      kind: "stream",
      box: "box-0",
      outcome: all,
      ...times,
      ...call
    })
  }

  addStream(changes: Partial<StreamTry> = {}): void {
    const first: StreamTry = {
      id: "s-1-1",
      box: "box-0",
      from: undefined,
      status: 200,
      events: ["id: 1\ndata: s-1-1-1 i-1 v1\n\n"],
      rest: "",
      broken: true,
      gaveUp: false,
      sentAt: 10_000,
      endedAt: CUT_AT,
      ...changes
    }
    const tries = [first]
    this.record.streams.push({length: {events: 4, gapMs: 30}, tries, serving: []})
  }

  get violations(): string[] {
    return judgePauses(this.judge, this.record)
  }
}

/** Returns what is found for a call that was cut, after a change of the fixture. */
function judgeCut(change: (fixture: PauseFixture) => void, run: Partial<Run> = {}) {
  const fixture = new PauseFixture()
  fixture.addRun("r-1", run)
  fixture.addCall()
  change(fixture)
  return fixture.violations
}

const nothing = (): void => undefined

// Incident answers-ended-by-silence.
t.test("an answer that was cut while its sound worker stood still is found", async t => {
  t.match(judgeCut(nothing), [
    /^r-1 at box-0, .* was cut after 1600 ms, while i-1 stood still and went on \(from 200 ms to 1700 ms, its connection closed at 1500 ms\)/
  ])
})

t.test("an answer that its caller takes up elsewhere counts as cut", async t => {
  const fixture = new PauseFixture()
  fixture.addRun("s-1-1")
  fixture.addStream()
  t.match(fixture.violations, [/^s-1-1 at box-0/])
  t.match(
    describePauses(fixture.judge, fixture.record),
    /stood still 1, cut or given up 1, excuse none: 1$/
  )
})

t.test("a retry elsewhere that brought nothing doesn't excuse the cut", async t => {
  const refused = {worker: "i-2", hasAnswered: false, at: 11_510, endedAt: 11_550}
  t.equal(
    judgeCut(fixture =>
      fixture.addRun("r-1", {...refused, ended: "cut", isClosedByPeer: false})
    ).length,
    1
  )
})

t.test("what a worker ended itself is excused", async t => {
  t.same(judgeCut(nothing, {isClosedByPeer: false}), [], "it broke off")
  const restart = ({judge}: PauseFixture): void =>
    void judge.restarts.push({worker: "i-1", at: CLOSED_AT + 20})
  t.same(judgeCut(restart), [], "it restarted")
  const otherRestart = ({judge}: PauseFixture): void =>
    void judge.restarts.push({worker: "i-2", at: CLOSED_AT + 20})
  t.equal(judgeCut(otherRestart).length, 1)
  const next = {worker: "i-2", at: 11_400, endedAt: 11_580, isClosedByPeer: false}
  const goOnElsewhere = (fixture: PauseFixture): void => fixture.addRun("r-1", next)
  t.same(judgeCut(goOnElsewhere), [], "another worker went on and broke off")
})

t.test("a cut at a worker that stood still after a break-off is found", async t => {
  const first = {worker: "i-2", at: 10_010, endedAt: 10_040, isClosedByPeer: false}
  t.equal(judgeCut(fixture => fixture.addRun("r-1", first)).length, 1)
})

t.test("only a pause of the run's own worker in the run counts", async t => {
  t.same(judgeCut(nothing, {worker: "i-2"}), [])
  t.same(judgeCut(nothing, {endedAt: 10_150}), [])
  t.same(judgeCut(nothing, {at: 11_750, endedAt: 11_800}), [])
})

t.test("the end of a box is excused from its kill or grace period on", async t => {
  const end =
    (signal: NodeJS.Signals, at: number, box = "box-0") =>
    ({record}: PauseFixture): void =>
      void record.boxEnds.push({box, signal, at})
  t.same(judgeCut(end("SIGKILL", CUT_AT)), [])
  t.equal(judgeCut(end("SIGKILL", CUT_AT, "box-1")).length, 1)
  t.equal(judgeCut(end("SIGKILL", 9_900)).length, 1)
  t.equal(judgeCut(end("SIGTERM", 10_500)).length, 1)
  t.same(judgeCut(end("SIGTERM", CUT_AT - 8_000)), [])
})

t.test("the caller's deadline and its patience excuse, not its taking up", async t => {
  const judgeDeadline = (deadlineMs: number): string[] => {
    const fixture = new PauseFixture()
    fixture.addRun("r-1")
    fixture.addCall({deadlineMs})
    return fixture.violations
  }
  t.same(judgeDeadline(1_500), [])
  t.equal(judgeDeadline(2_000).length, 1)
  const judgeGivenUp = (endedAt: number): string[] => {
    const fixture = new PauseFixture()
    fixture.addRun("s-1-1")
    fixture.addStream({gaveUp: true, endedAt})
    return fixture.violations
  }
  t.same(judgeGivenUp(CLOSED_AT - 5), [])
  t.match(judgeGivenUp(CLOSED_AT + 700), [/given up by its caller/])
})

t.test("a struck link is excused, at its box and near in time", async t => {
  const cutOff =
    (box: string, from: number) =>
    ({record}: PauseFixture): void =>
      void record.cuts.push({boxes: [box], isFromAll: true, from, to: Infinity})
  t.same(judgeCut(cutOff("box-0", 11_000)), [])
  t.equal(judgeCut(cutOff("box-1", 11_000)).length, 1)
  t.equal(judgeCut(cutOff("box-0", 11_550)).length, 1)
  const fault =
    (name: string, at: number) =>
    ({record}: PauseFixture): void =>
      void record.faults.push({name, at})
  t.same(judgeCut(fault("reset-workers", 11_490)), [])
  t.equal(judgeCut(fault("reset-workers", 7_000)).length, 1)
  t.equal(judgeCut(fault("config-in-pause", 11_490)).length, 1)
})

t.test("whole answers and ones without events are not cut", async t => {
  const whole = new PauseFixture()
  whole.addRun("r-1")
  whole.addCall({}, {broken: false, body: wholeStream("r-1")})
  t.same(whole.violations, [])
  const empty = new PauseFixture()
  empty.addRun("r-1")
  empty.addCall({}, {body: ""})
  empty.addCall({kind: "unsafe"})
  t.same(empty.violations, [])
})

t.test("a cut answer with an event that is missing or doubled is found", async t => {
  const judgeBody = (body: string): string[] => {
    const fixture = new PauseFixture()
    fixture.addCall({}, {body})
    return fixture.violations
  }
  const event = (number: number): string => `id: ${number}\ndata: r-1-${number}\n\n`
  t.same(judgeBody(event(1) + event(2) + "id: 3\nda"), [])
  t.match(judgeBody(event(1) + event(3)), [/its cut answer is no begin of it/])
  t.match(judgeBody(event(1) + event(1)), [/its cut answer is no begin of it/])
})
