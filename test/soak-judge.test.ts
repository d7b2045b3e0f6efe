/** The soak's judge: each version counts from its own acknowledgement, and so does each departure. */
import t from "tap"
import {Judge} from "./stand-ins/platform-judge.js"
import {judgeRound} from "./support/soak-judge.js"
import {SoakRecord} from "./support/soak-record.js"

/** A record with versions of one adapter named at some times, milliseconds. */
function recordOf(named: Readonly<Record<number, number>>): SoakRecord {
  const record = new SoakRecord()
  for (const [version, at] of Object.entries(named)) {
    record.versions.push({adapter: "a1", version: Number(version), at})
  }
  return record
}

/** A judge that saw one run, which waited in the queue of its server. */
function judgeOf(version: number, at: number, adapter = "a1"): Judge {
  const judge = new Judge()
  const run = {id: "r-1", worker: "i-1", adapter, version, from: "", reached: at - 900}
  judge.runs.push({...run, at, ended: "whole"})
  return judge
}

/** The versions that a run is found to be older than in spite of the rule. */
function found(record: SoakRecord, judge: Judge): number[] {
  return judgeRound(judge, record).map(text =>
    Number(/after version (\d+)/.exec(text)?.[1])
  )
}

t.test("a run counts as it begins, not as it reaches its server", async t => {
  const record = recordOf({2: 1_000})
  t.same(found(record, judgeOf(1, 5_999)), [])
  t.same(found(record, judgeOf(1, 6_001)), [2])
  t.same(found(record, judgeOf(2, 6_001)), [])
  t.same(found(record, judgeOf(1, 6_001, "a2")), [])
})

t.test("a newer version does not put off the time of the one before", async t => {
  const record = recordOf({2: 1_000, 3: 1_400, 4: 5_500})
  t.same(found(record, judgeOf(1, 6_100)), [2])
  t.same(found(record, judgeOf(1, 6_500)), [2, 3])
  t.same(found(record, judgeOf(2, 6_500)), [3])
  t.same(found(record, judgeOf(3, 6_500)), [])
  t.same(found(record, judgeOf(3, 10_501)), [4])
})

t.test("the time counts anew after trouble of the store", async t => {
  const record = recordOf({2: 1_000})
  record.trouble.add(2_000, 4_000)
  t.same(found(record, judgeOf(1, 3_000)), [])
  t.same(found(record, judgeOf(1, 11_999)), [])
  t.same(found(record, judgeOf(1, 12_001)), [2])
})

t.test("trouble before a naming or after a run changes nothing", async t => {
  const record = recordOf({2: 1_000})
  record.trouble.add(0, 999)
  record.trouble.add(7_000, Infinity)
  t.same(found(record, judgeOf(1, 6_001)), [2])
  t.same(found(record, judgeOf(1, 7_001)), [])
})

/** Whether a request that reached an engine at a time, and waited there, came after the engine had left. */
function cameLate(record: SoakRecord, reached: number): boolean {
  const judge = judgeOf(1, reached + 900)
  record.gone.push({id: "i-1", drainedAt: 1_000})
  return judgeRound(judge, record).length > 0
}

t.test("a server that left is reached no more, however the round goes on", async t => {
  t.notOk(cameLate(recordOf({}), 3_499))
  t.ok(cameLate(recordOf({}), 3_501))
  const later = recordOf({})
  later.trouble.add(3_600, 9_000)
  t.ok(cameLate(later, 3_550))
  t.ok(cameLate(later, 5_000))
})

t.test("after trouble of the store a departure is heard anew", async t => {
  const record = recordOf({})
  record.trouble.add(500, 2_000)
  record.trouble.add(3_000, 4_000)
  t.notOk(cameLate(record, 6_499))
  t.ok(cameLate(record, 6_501))
})
