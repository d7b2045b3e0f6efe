/** Requests that crash servers are quarantined soon, and other requests are served. */
import t from "tap"
import {handleAnswerBytes, handleAnswerHead} from "../src/core/box-attempts.js"
import {tickCrashes} from "../src/core/box-crashes.js"
import {createBoxServing} from "../src/core/box-state.js"
import {CrashList, TRIAL_DELAYS_MS} from "../src/core/crash-list.js"
import {
  type CrashingOptions,
  type CrashingResult,
  simulateCrashingRequests
} from "./patterns/crashing-requests.js"
import {ROUTE, STREAM, Subject} from "./support/box-subject.js"

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

/** Most records that a box may hold. */
const MOST_RECORDS = 512

/** Most sends of a guilty request later than 3 s after its third crash. */
const MOST_LATE = 3

/** Share of the other requests that may be refused while servers crash in turn. */
const REFUSED_SHARE = 0.002

function describe(result: CrashingResult): string {
  const {crashes, lateReaches, others, refused, popularRefused} = result
  return (
    `${crashes} crashes, ${lateReaches} late; ` +
    `refused ${refused} of ${others}, ${popularRefused} of the popular`
  )
}

const PATTERNS: Readonly<Record<string, Partial<CrashingOptions>>> = {
  "one guilty request": {},
  "one guilty request ten times per second": {guiltyPerSecond: 10},
  "four guilty requests": {guilty: 4, servers: 12, perSecond: 120},
  "60 boxes before 30 servers": {boxes: 60, servers: 30, perSecond: 300},
  "resets of all connections": {guilty: 0, resetsAt: [5_000, 5_500, 6_000, 6_500]},
  "resets while servers crash": {resetsAt: [5_500, 5_800, 9_000]},
  "a leader that is unreachable for two seconds": {leaderAway: [6_000, 8_000]}
}

for (const [name, options] of Object.entries(PATTERNS)) {
  for (const seed of [1, 2, 3]) {
    t.test(`${name}, seed ${seed}`, async t => {
      const result = simulateCrashingRequests({...LOAD, ...options, seed})
      const {lateReaches, others, refused, popularRefused} = result
      t.comment(describe(result))
      t.ok(lateReaches <= MOST_LATE, `${lateReaches} late`)
      t.equal(popularRefused, 0)
      t.ok(refused <= others * REFUSED_SHARE, `${refused} of ${others} refused`)
    })
  }
}

/** No answer distinguishes the popular request from the guilty one yet. */
for (const seed of [1, 2, 3, 4, 5]) {
  t.test(`servers that crash from the start, seed ${seed}`, async t => {
    const options = {...LOAD, guiltyFromMs: 0, guiltyPerSecond: 10, seed}
    const result = simulateCrashingRequests(options)
    t.comment(describe(result))
    t.ok(result.lateReaches <= MOST_LATE, `${result.lateReaches} late`)
    t.equal(result.refusedAtEnd, 0, "no request is refused any more")
  })
}

t.test("a caller with ever new bodies uses bounded memory", async t => {
  const options = {...LOAD, madeUp: true, guiltyPerSecond: 20, servers: 40, seconds: 60}
  const {records, popularRefused, crashes} = simulateCrashingRequests(options)
  t.comment(`${crashes} crashes, ${records} records`)
  t.ok(records <= MOST_RECORDS)
  t.equal(popularRefused, 0)
})

t.test(
  "three crashed incarnations quarantine a request, and each counts once",
  async t => {
    const crashes = new CrashList()
    t.equal(crashes.add("f", "one", 0), true)
    t.equal(crashes.add("f", "one", 1), false)
    t.equal(crashes.add("f", "two", 2), true)
    t.notOk(crashes.isQuarantined("f"))
    crashes.add("f", "three", 3)
    t.ok(crashes.isQuarantined("f"))
  }
)

t.test("lists are equal in whatever order boxes merge them", async t => {
  const [one, other] = [new CrashList(), new CrashList()]
  one.add("f", "a", 0)
  one.add("f", "b", 0)
  other.add("f", "c", 0)
  const [mine, theirs] = [one.toMessages(5), other.toMessages(5)]
  t.same(one.listMissing(theirs, 5), mine, "the other list lacks two incarnations")
  for (const record of theirs) one.merge(record, 5)
  for (const record of mine) other.merge(record, 5)
  t.ok(one.isQuarantined("f"))
  t.ok(other.isQuarantined("f"))
  t.same(one.listMissing(other.toMessages(5), 5), [])
})

t.test("a quarantined request is tried at most twice, by any leader", async t => {
  const [first, next] = [new CrashList(), new CrashList()]
  for (const incarnation of ["a", "b", "c"]) first.add("f", incarnation, 0)
  t.equal(first.trialInMs("f", 1_000), TRIAL_DELAYS_MS[0] - 1_000)
  t.equal(first.trialInMs("f", TRIAL_DELAYS_MS[0]), 0)
  first.recordTrial("f", TRIAL_DELAYS_MS[0])
  for (const record of first.toMessages(TRIAL_DELAYS_MS[0]))
    next.merge(record, TRIAL_DELAYS_MS[0])
  t.ok(next.trialInMs("f", TRIAL_DELAYS_MS[0]) > 0, "a trial counts on other boxes, too")
  next.recordTrial("f", 100_000)
  t.ok(next.trialInMs("f", 3_600_000) > 0)
  t.ok(next.isQuarantined("f"))
})

// A new leader that missed a trial would repeat it.
t.test("a leader that missed a trial is informed of it", async t => {
  const [follower, leader] = [new CrashList(), new CrashList()]
  for (const crashes of [follower, leader]) {
    for (const incarnation of ["a", "b", "c"]) crashes.add("f", incarnation, 0)
  }
  follower.recordTrial("f", TRIAL_DELAYS_MS[0])
  for (const record of follower.listMissing(leader.toMessages(6_000), 6_000)) {
    leader.merge(record, 6_000)
  }
  t.ok(leader.trialInMs("f", 6_000) > 0)
})

// A wait of 0 has callers come back at once.
t.test("a request that is ended because of old crashes has to wait, too", async t => {
  const subject = new Subject()
  subject.arrive(ROUTE, {fingerprint: "f"})
  const crashedAt = subject.now - 2 * TRIAL_DELAYS_MS[0]
  for (const incarnation of ["a", "b", "c"]) {
    subject.box.crashes.add("f", incarnation, crashedAt)
  }
  subject.advanceTime(20)
  const end = subject.effects.find(effect => effect.type === "end")
  t.match(end, {reason: "crashes-servers", retryAfterMs: 5_000})
})

// Either attempt of a hedged request could begin at its server later.
t.test(
  "a hedged request is ended at both servers once a part is quarantined",
  async t => {
    const subject = hedgeStream()
    quarantine(subject)
    t.same(subject.advanceTime(20).summarizeEffects(), ["abort"])
    t.same(subject.advanceTime(20).summarizeEffects(), ["abort", "end unknown"])
  }
)

// The part would be sent on, and the answer that had begun would be lost.
t.test("a silent stream goes on and is sent nowhere else once it is", async t => {
  const subject = hedgeStream(stream => {
    handleAnswerBytes(stream.box, "q", 1, stream.now)
    const head = {failed: false, streamed: true}
    handleAnswerHead(stream.box, "q", 1, head, stream.now)
  })
  quarantine(subject)
  t.same(subject.advanceTime(20).summarizeEffects(), ["abort"], "the other attempt")
  for (let i = 0; i < 30; i++) t.same(subject.advanceTime(100).summarizeEffects(), [])
})

/** Returns a stream whose silent server is tried beside another one. */
function hedgeStream(answer: (subject: Subject) => void = () => undefined): Subject {
  const subject = new Subject()
  const route = {...STREAM, timeoutMs: 8_000, maxAttempts: 4}
  subject.arrive(route, {parts: ["part:p"], deadlineMs: 8_000}).start()
  answer(subject)
  subject.drain()
  for (let i = 0; i < 20 && !subject.box.requests.get("q")?.silentAttempt; i++) {
    subject.advanceTime(100)
  }
  return subject.start(2)
}

function quarantine({box, now}: Subject): void {
  for (const incarnation of ["a", "b", "c"]) box.crashes.add("part:p", incarnation, now)
}

t.test("requests with the fewest crashes are removed first", async t => {
  const crashes = new CrashList()
  for (const incarnation of ["a", "b", "c"]) crashes.add("stopped", incarnation, 0)
  for (let i = 0; i < 2_000; i++) crashes.add(`f-${i}`, "a", i)
  t.ok(crashes.size <= MOST_RECORDS)
  t.ok(crashes.isQuarantined("stopped"))
})

// A sound request that was answered right before the first crash stayed quarantined.
t.test("an answer that is confirmed after the crashes spares its request", async t => {
  const box = createBoxServing({
    dataCentre: "dc",
    retry: {ratio: 0.2, slack: 10, windowMs: 10_000},
    handoverMs: 0,
    random: () => 0
  })
  box.clearedRequests.recordAnswered("f", "sound", 0)
  for (const [i, incarnation] of ["a", "b", "c"].entries()) {
    box.crashes.add("f", incarnation, 100 + i)
  }
  tickCrashes(box, 200)
  t.ok(box.crashes.isQuarantined("f"), "its server may still crash")
  box.clearedRequests.recordAlive("sound", 600)
  tickCrashes(box, 600)
  t.notOk(box.crashes.isQuarantined("f"))
  t.match(box.effects.at(-1), {
    type: "crashes",
    changes: {records: [{fingerprint: "f", answered: true}]}
  })
})
