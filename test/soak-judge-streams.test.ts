/**
 * Judge of streams in the soak: over all tries of a caller, events are whole, in order and
 * of one software version, and streams that are taken up go on.
 */
import t from "tap"
import {Judge, type Run} from "./stand-ins/platform-judge.js"
import {signedEvent} from "./stand-ins/platform-worker.js"
import {
  describeStreams,
  isWholeStream,
  judgeStreams
} from "./support/soak-judge-streams.js"
import {SoakRecord, type SoakStream} from "./support/soak-record.js"
import type {StreamTry} from "./support/stream-caller.js"

const LENGTH = {events: 4, gapMs: 30}

/** A part of an answer: the events that one run wrote. */
interface Part {
  readonly worker?: string
  readonly software?: string
  readonly from: number
  readonly to: number
}

/** Records a stream. Each try is given by the parts of its answer. */
class StreamFixture {
  readonly judge = new Judge()
  readonly record = new SoakRecord()
  private count_ = 0

  add(
    tries: readonly (Partial<StreamTry> & {readonly parts?: readonly Part[]})[],
    serving: ReadonlyMap<string, number> = new Map([["v1", 2]])
  ): SoakStream {
    const name = `s-${++this.count_}`
    const all = tries.map((each, i) => this.createTry(`${name}-${i + 1}`, each))
    const counts = all.map(({id}) => ({id, engines: serving}))
    const stream = {length: LENGTH, tries: all, serving: counts}
    this.record.streams.push(stream)
    return stream
  }

  private createTry(
    id: string,
    {parts = [], ...others}: Partial<StreamTry> & {readonly parts?: readonly Part[]}
  ): StreamTry {
    const events = parts.flatMap(part => {
      const run = this.addRun(id, part)
      const numbers = Array.from(
        {length: part.to - part.from},
        (_, i) => part.from + 1 + i
      )
      return numbers.map(number => signedEvent(number, run))
    })
    return {
      id,
      box: "box-0",
      from: undefined,
      status: 200,
      events,
      rest: "",
      broken: false,
      gaveUp: false,
      sentAt: 10_000,
      endedAt: 10_200,
      ...others
    }
  }

  private addRun(id: string, {worker = "i-1", software = "v1", from}: Part): Run {
    const run: Run = {
      id,
      worker,
      software,
      adapter: "a1",
      version: 1,
      from: from === 0 ? "" : String(from),
      reached: 10_000,
      at: 10_000,
      ended: "whole"
    }
    this.judge.runs.push(run)
    return run
  }

  get violations(): string[] {
    return judgeStreams(this.judge, this.record)
  }
}

t.test("a whole stream is accepted, also over two runs and two tries", async t => {
  const streams = new StreamFixture()
  t.ok(isWholeStream(streams.add([{parts: [{from: 0, to: 4}]}])))
  streams.add([
    {
      parts: [
        {from: 0, to: 1},
        {worker: "i-2", from: 1, to: 4}
      ]
    }
  ])
  const cut = {parts: [{from: 0, to: 2}], rest: "id: 3\nda", broken: true}
  t.ok(isWholeStream(streams.add([cut, {from: 2, parts: [{from: 2, to: 4}]}])))
  t.ok(
    isWholeStream(streams.add([{parts: [{from: 0, to: 4}], broken: true}, {from: 4}])),
    "only the end of the framing was missing"
  )
  t.same(streams.violations, [])
})

// Incident streams-ended-by-their-connection.
t.test("an answer that looks complete must hold the last event and no part", async t => {
  const short = new StreamFixture()
  t.notOk(isWholeStream(short.add([{parts: [{from: 0, to: 3}]}])))
  t.match(short.violations, [/looks complete with event 3 of 4$/])
  const part = new StreamFixture()
  part.add([{parts: [{from: 0, to: 3}], rest: "id: 4\n"}])
  t.match(part.violations, [/looks complete with event 3 of 4 and part of an event/])
  const empty = new StreamFixture()
  empty.add([{}])
  t.match(empty.violations, [/looks complete with event 0 of 4/])
})

t.test("an event that is missing, comes twice or was never written is found", async t => {
  const missing = new StreamFixture()
  missing.add([
    {
      parts: [
        {from: 0, to: 1},
        {from: 2, to: 4}
      ]
    }
  ])
  t.match(missing.violations[0], /event 3 follows event 1/)
  const twice = new StreamFixture()
  const cut = {parts: [{from: 0, to: 2}], broken: true}
  twice.add([cut, {from: 2, parts: [{from: 1, to: 4}]}])
  t.match(twice.violations[0], /s-1-2 .*event 2 follows event 2/)
  const strange = new StreamFixture()
  strange.add([{events: ["id: 1\ndata: other\n\n"], broken: true}])
  t.match(strange.violations, [/no worker wrote/])
})

// Incident streams-of-two-versions.
t.test("more than two streams of two software versions are found", async t => {
  const streams = new StreamFixture()
  const cut = {parts: [{from: 0, to: 2}], broken: true}
  const takenUp = {from: 2, parts: [{worker: "i-2", software: "v1.1", from: 2, to: 4}]}
  const parts = [...cut.parts, ...takenUp.parts]
  streams.add([cut, takenUp])
  streams.add([{parts}])
  t.same(streams.violations, [])
  streams.add([{parts}])
  t.match(streams.violations, [
    /^3 streams of two software versions: s-1-1 i-1 v1, s-1-2 i-2 v1\.1; s-2-1.*; s-3-1/
  ])
  t.match(describeStreams(streams.judge, streams.record), /of two versions 3/)
})

t.test("a run of another version that brought no event doesn't mix versions", async t => {
  const streams = new StreamFixture()
  const parts = [
    {from: 0, to: 2},
    {worker: "i-2", software: "v1.1", from: 2, to: 2},
    {from: 2, to: 4}
  ]
  for (let i = 0; i < 3; i++) streams.add([{parts}])
  t.same(streams.violations, [])
})

/** Returns what is found where so many of 12 streams that are taken up go on. */
function judgeTakenUp(
  goOn: number,
  {
    serving = new Map([["v1", 2]]),
    newOnes = 12,
    change = () => undefined
  }: {
    readonly serving?: ReadonlyMap<string, number>
    /** New streams that begin. They are 24. */
    readonly newOnes?: number
    readonly change?: (record: SoakRecord) => void
  } = {}
): string[] {
  const streams = new StreamFixture()
  const cut = {parts: [{from: 0, to: 2}], broken: true}
  const refused = {status: 503, box: "box-1"}
  for (let i = 0; i < 12; i++) {
    const next = i < goOn ? {from: 2, parts: [{from: 2, to: 4}]} : {from: 2, ...refused}
    streams.add([cut, {box: "box-1", ...next}], serving)
  }
  for (let i = 12; i < 24; i++) {
    streams.add([i < newOnes ? {parts: [{from: 0, to: 4}]} : refused], serving)
  }
  change(streams.record)
  return streams.violations
}

t.test("streams that are taken up go on half as often as new ones begin", async t => {
  t.match(judgeTakenUp(5, {newOnes: 24}), [
    /5 of 12 .* went on \(503: 7\), 24 of 24 new ones began/
  ])
  t.same(judgeTakenUp(6, {newOnes: 24}), [])
  t.match(judgeTakenUp(2, {newOnes: 12}), [/2 of 12 .* went on \(503: 10\), 12 of 24/])
  t.same(judgeTakenUp(3, {newOnes: 12}), [])
})

t.test("a take-up counts only at a box in touch, with two servers", async t => {
  const single = new Map([
    ["v1", 1],
    ["v1.1", 2]
  ])
  t.same(judgeTakenUp(0, {serving: single}), [])
  const strike = (record: SoakRecord): void =>
    void record.exemptions.push({box: "box-1", at: 8_000, mayLead: false})
  t.same(judgeTakenUp(0, {change: strike}), [])
  t.same(judgeTakenUp(0, {change: ({storeFaults}) => storeFaults.add(9_000, 9_100)}), [])
  const early = ({storeFaults}: SoakRecord): void => storeFaults.add(5_000, 6_900)
  t.match(judgeTakenUp(0, {change: early}), [/0 of 12/])
})
