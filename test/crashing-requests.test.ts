/** Whom boxes blame as servers crash: guilty requests are stopped soon, and others go on. */
import t from "tap"
import {CrashList, TRIALS_MS} from "../src/core/crash-list.js"
import {
  type CrashingOptions,
  type CrashingResult,
  playCrashing
} from "./patterns/crashing-requests.js"

const LOAD: CrashingOptions = {
  seed: 1,
  boxes: 9,
  servers: 6,
  perSecond: 60,
  seconds: 40,
  guilty: 1,
  guiltyPerSecond: 3,
  guiltyFromMs: 5_000
}

/** Records that a box may hold. */
const MOST_RECORDS = 512

/** A guilty request reaches servers so often at most, later than 3 s after its third crash. */
const MOST_LATE = 3

/** Of the other requests, the part that may be refused as guilty while servers crash one after another. */
const REFUSED_SHARE = 0.002

function tell(result: CrashingResult): string {
  const {crashes, lateReaches, others, refused, popularRefused} = result
  return (
    `${crashes} crashes, ${lateReaches} late; ` +
    `refused ${refused} of ${others}, ${popularRefused} of the popular`
  )
}

const PATTERNS: Readonly<Record<string, Partial<CrashingOptions>>> = {
  "one guilty request": {},
  "one that comes ten times a second": {guiltyPerSecond: 10},
  "four guilty requests": {guilty: 4, servers: 12, perSecond: 120},
  "60 boxes before 30 servers": {boxes: 60, servers: 30, perSecond: 300},
  "resets of all connections": {guilty: 0, resetsAt: [5_000, 5_500, 6_000, 6_500]},
  "resets while servers crash": {resetsAt: [5_500, 5_800, 9_000]},
  "a leader out of reach for two seconds": {leaderAway: [6_000, 8_000]}
}

for (const [name, options] of Object.entries(PATTERNS)) {
  for (const seed of [1, 2, 3]) {
    t.test(`${name}, seed ${seed}`, async t => {
      const result = playCrashing({...LOAD, ...options, seed})
      const {lateReaches, others, refused, popularRefused} = result
      t.comment(tell(result))
      t.ok(lateReaches <= MOST_LATE, `${lateReaches} late`)
      t.equal(popularRefused, 0)
      t.ok(refused <= others * REFUSED_SHARE, `${refused} of ${others} refused`)
    })
  }
}

/** Nothing has been answered yet that would tell the popular request from the guilty one. */
for (const seed of [1, 2, 3, 4, 5]) {
  t.test(`servers that crash from the first moment on, seed ${seed}`, async t => {
    const options = {...LOAD, guiltyFromMs: 0, guiltyPerSecond: 10, seed}
    const result = playCrashing(options)
    t.comment(tell(result))
    t.ok(result.lateReaches <= MOST_LATE, `${result.lateReaches} late`)
    t.equal(result.refusedAtEnd, 0, "none is refused any more")
  })
}

t.test("a caller that makes up bodies takes a bounded memory", async t => {
  const options = {...LOAD, madeUp: true, guiltyPerSecond: 20, servers: 40, seconds: 60}
  const {records, popularRefused, crashes} = playCrashing(options)
  t.comment(`${crashes} crashes, ${records} records`)
  t.ok(records <= MOST_RECORDS)
  t.equal(popularRefused, 0)
})

t.test(
  "a request is stopped by crashes of three lives, and a life counts once",
  async t => {
    const crashes = new CrashList()
    t.equal(crashes.add("f", "one", 0), true)
    t.equal(crashes.add("f", "one", 1), false)
    t.equal(crashes.add("f", "two", 2), true)
    t.notOk(crashes.isStopped("f"))
    crashes.add("f", "three", 3)
    t.ok(crashes.isStopped("f"))
  }
)

t.test("lists are alike whatever the order in which boxes merge them", async t => {
  const [one, other] = [new CrashList(), new CrashList()]
  one.add("f", "a", 0)
  one.add("f", "b", 0)
  other.add("f", "c", 0)
  const [mine, theirs] = [one.tell(5), other.tell(5)]
  t.same(one.tellMissing(theirs, 5), mine, "the other lacks two lives")
  for (const record of theirs) one.merge(record, 5)
  for (const record of mine) other.merge(record, 5)
  t.ok(one.isStopped("f"))
  t.ok(other.isStopped("f"))
  t.same(one.tellMissing(other.tell(5), 5), [])
})

t.test("a stopped request is tried twice at most, whoever leads", async t => {
  const [first, next] = [new CrashList(), new CrashList()]
  for (const life of ["a", "b", "c"]) first.add("f", life, 0)
  t.equal(first.trialInMs("f", 1_000), TRIALS_MS[0] - 1_000)
  t.equal(first.trialInMs("f", TRIALS_MS[0]), 0)
  first.noteTrial("f", TRIALS_MS[0])
  for (const record of first.tell(TRIALS_MS[0])) next.merge(record, TRIALS_MS[0])
  t.ok(next.trialInMs("f", TRIALS_MS[0]) > 0, "its trial counts at other boxes")
  next.noteTrial("f", 100_000)
  t.ok(next.trialInMs("f", 3_600_000) > 0)
  t.ok(next.isStopped("f"))
})

// A new leader that did not hear of a trial would begin it again.
t.test("a leader that has not heard of a trial is told of it", async t => {
  const [follower, leader] = [new CrashList(), new CrashList()]
  for (const crashes of [follower, leader]) {
    for (const life of ["a", "b", "c"]) crashes.add("f", life, 0)
  }
  follower.noteTrial("f", TRIALS_MS[0])
  for (const record of follower.tellMissing(leader.tell(6_000), 6_000)) {
    leader.merge(record, 6_000)
  }
  t.ok(leader.trialInMs("f", 6_000) > 0)
})

t.test("what has the fewest crashes makes way", async t => {
  const crashes = new CrashList()
  for (const life of ["a", "b", "c"]) crashes.add("stopped", life, 0)
  for (let i = 0; i < 2_000; i++) crashes.add(`f-${i}`, "a", i)
  t.ok(crashes.size <= MOST_RECORDS)
  t.ok(crashes.isStopped("stopped"))
})
