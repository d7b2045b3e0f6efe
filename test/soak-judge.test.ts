/**
 * Judge of the soak: the deadline of each version and departure starts at its own
 * acknowledgement.
 */
import t from "tap"
import {Judge} from "./stand-ins/platform-judge.js"
import type {Outcome} from "./support/platform-bed.js"
import {judgeRound} from "./support/soak-judge.js"
import {judgeService} from "./support/soak-judge-service.js"
import {judgeKeyedService} from "./support/soak-judge-keyed-service.js"
import {judgeOrganisations} from "./support/soak-judge-organisations.js"
import {SoakOrganisations} from "./support/soak-organisations.js"
import {SoakDraws, SoakRecord} from "./support/soak-record.js"

/**
 * Returns a record with versions of one adapter and the times (ms) of their publication.
 */
function createRecord(publishedAt: Readonly<Record<number, number>>): SoakRecord {
  const record = new SoakRecord()
  for (const [version, at] of Object.entries(publishedAt)) {
    record.versions.push({adapter: "a1", version: Number(version), at})
  }
  return record
}

/** Returns a judge with one run, which waited in the queue of its server. */
function createJudge(version: number, at: number, adapter = "a1"): Judge {
  const judge = new Judge()
  const run = {id: "r-1", worker: "i-1", adapter, version, from: "", reached: at - 900}
  judge.runs.push({...run, at, ended: "whole"})
  return judge
}

/**
 * Returns the versions that the judge reports as replacing the run's version too long
 * ago.
 */
function reportedVersions(record: SoakRecord, judge: Judge): number[] {
  return judgeRound(judge, record).map(text =>
    Number(/after version (\d+)/.exec(text)?.[1])
  )
}

t.test("a run is judged by its start, not by its arrival at the server", async t => {
  const record = createRecord({2: 1_000})
  t.same(reportedVersions(record, createJudge(1, 5_999)), [])
  t.same(reportedVersions(record, createJudge(1, 6_001)), [2])
  t.same(reportedVersions(record, createJudge(2, 6_001)), [])
  t.same(reportedVersions(record, createJudge(1, 6_001, "a2")), [])
})

t.test("a newer version doesn't extend the deadline of the previous one", async t => {
  const record = createRecord({2: 1_000, 3: 1_400, 4: 5_500})
  t.same(reportedVersions(record, createJudge(1, 6_100)), [2])
  t.same(reportedVersions(record, createJudge(1, 6_500)), [2, 3])
  t.same(reportedVersions(record, createJudge(2, 6_500)), [3])
  t.same(reportedVersions(record, createJudge(3, 6_500)), [])
  t.same(reportedVersions(record, createJudge(3, 10_501)), [4])
})

t.test("the deadline restarts after a fault of the store", async t => {
  const record = createRecord({2: 1_000})
  record.storeFaults.add(2_000, 4_000)
  t.same(reportedVersions(record, createJudge(1, 3_000)), [])
  t.same(reportedVersions(record, createJudge(1, 11_999)), [])
  t.same(reportedVersions(record, createJudge(1, 12_001)), [2])
})

t.test(
  "faults of the store before a publication or after a run have no effect",
  async t => {
    const record = createRecord({2: 1_000})
    record.storeFaults.add(0, 999)
    record.storeFaults.add(7_000, Infinity)
    t.same(reportedVersions(record, createJudge(1, 6_001)), [2])
    t.same(reportedVersions(record, createJudge(1, 7_001)), [])
  }
)

/**
 * Whether the judge reports a request that reached an engine, and waited there, as too
 * late.
 */
function isReportedLate(record: SoakRecord, reached: number): boolean {
  const judge = createJudge(1, reached + 900)
  record.replacedEngines.push({id: "i-1", drainedAt: 1_000})
  return judgeRound(judge, record).length > 0
}

t.test(
  "a request to a server that left too long ago is reported, also if the store fails later",
  async t => {
    t.notOk(isReportedLate(createRecord({}), 3_499))
    t.ok(isReportedLate(createRecord({}), 3_501))
    const later = createRecord({})
    later.storeFaults.add(3_600, 9_000)
    t.ok(isReportedLate(later, 3_550))
    t.ok(isReportedLate(later, 5_000))
  }
)

t.test("the deadline of a departure restarts after a fault of the store", async t => {
  const record = createRecord({})
  record.storeFaults.add(500, 2_000)
  record.storeFaults.add(3_000, 4_000)
  t.notOk(isReportedLate(record, 6_499))
  t.ok(isReportedLate(record, 6_501))
})

/** Whether the judge of service reports a plain call that ended like this. */
function isReportedUnserved(
  record: SoakRecord,
  sentAt: number,
  end: Pick<Outcome, "status" | "error">
): boolean {
  const outcome = {id: "r-1", headers: {}, body: "", broken: end.status === 0, ...end}
  record.calls.splice(0)
  record.calls.push({kind: "safe", box: "box-0", outcome, sentAt, answeredAt: sentAt + 5})
  return judgeService(record).length > 0
}

// Soak seeds 1 and 9103: a started process took 3 to 5 s until it listened, beside load.
t.test("only a refused connection to a starting box is excused", async t => {
  const record = new SoakRecord()
  record.starts.push({box: "box-0", from: 1_000, until: 6_000})
  record.starts.push({box: "box-1", from: 0, until: 9_000})
  t.notOk(isReportedUnserved(record, 5_500, {status: 0}))
  t.ok(isReportedUnserved(record, 5_500, {status: 503}), "it listened, and refused")
  t.ok(isReportedUnserved(record, 999, {status: 0}), "the process had not ended yet")
  t.ok(isReportedUnserved(record, 6_000, {status: 0}), "it listened")
})

/** Connections that an ending box or its system closes. */
const REFUSED = {status: 0, error: "ECONNREFUSED"}
const RESET = {status: 0, error: "ECONNRESET"}
const CLOSED = {status: 0, error: "UND_ERR_SOCKET"}

// Soak seeds 1 and 74002: a box stops listening 2.6 s after SIGTERM and waits for its
// answers, for up to its grace period.
t.test("only a refused connection to a stopping box is excused", async t => {
  const record = new SoakRecord()
  record.stops.push({box: "box-0", from: 1_000, until: 7_000})
  record.stops.push({box: "box-1", from: 0, until: 9_000})
  record.starts.push({box: "box-0", from: 7_000, until: 8_000})
  t.notOk(isReportedUnserved(record, 1_000, REFUSED))
  t.notOk(isReportedUnserved(record, 6_999, REFUSED), "its process has not ended")
  t.notOk(isReportedUnserved(record, 7_999, REFUSED), "the next one does not listen")
  t.ok(isReportedUnserved(record, 999, REFUSED), "no SIGTERM yet")
  t.ok(isReportedUnserved(record, 8_000, REFUSED), "the next process listened")
  t.ok(isReportedUnserved(record, 5_000, RESET))
  t.ok(isReportedUnserved(record, 5_000, CLOSED))
  t.ok(isReportedUnserved(record, 5_000, {status: 0}), "no error is known")
  t.ok(isReportedUnserved(record, 5_000, {status: 503}))
})

t.test("a box that is still stopping after its grace period is not excused", async t => {
  const record = new SoakRecord()
  record.stops.push({box: "box-0", from: 1_000, until: Infinity})
  t.notOk(isReportedUnserved(record, 9_999, REFUSED))
  t.ok(isReportedUnserved(record, 10_000, REFUSED))
})

t.test("a refused connection to a box that was not stopped is reported", async t => {
  const record = new SoakRecord()
  record.boxEnds.push({box: "box-0", signal: "SIGKILL", at: 1_000})
  record.stops.push({box: "box-1", from: 1_000, until: 7_000})
  t.ok(isReportedUnserved(record, 5_000, REFUSED))
})

t.test("a second SIGTERM does not prolong the excuse of a stopping box", async t => {
  const record = new SoakRecord()
  const end = record.beginStop("box-0")
  const endAgain = record.beginStop("box-0")
  t.equal(record.stops.length, 1)
  t.equal(record.stops[0]?.until, Infinity)
  end()
  const until = record.stops[0]?.until
  t.not(until, Infinity)
  endAgain()
  t.equal(record.stops[0]?.until, until)
  record.beginStop("box-0")
  t.equal(record.stops.length, 2, "the next process")
})

/** Whether the judge reports that many runs of an organisation within a second. */
function isReportedOverLimit(organisations: SoakOrganisations, runs: number): boolean {
  const judge = new Judge()
  const {organisation = ""} = organisations.limits.at(-1) ?? {}
  const at = performance.now() + LONG_AFTER_MS
  for (let i = 0; i < runs; i++) {
    const run = {id: `r-${i}`, worker: "i-1", adapter: "", version: 0, from: ""}
    const ran = {reached: at + i, at: at + i, ended: "whole" as const}
    judge.runs.push({...run, ...ran, tenant: organisation, tokens: 120})
  }
  return judgeOrganisations(judge, new SoakRecord(), organisations).length > 0
}

/** Longer than a limit counts after it has changed. */
const LONG_AFTER_MS = 20_000

// Soak seeds 60010, 73003 and 503: the end of a round restored the limits, and the judge
// went on counting by the lowered ones.
t.test("usage is judged by the limits that were restored last", async t => {
  const organisations = new SoakOrganisations(new SoakDraws(1), () => undefined)
  organisations.changeLimit()
  t.ok(isReportedOverLimit(organisations, 23), "22 are allowed by the lowered limit")
  t.notOk(isReportedOverLimit(organisations, 22))
  organisations.restoreLimits()
  t.notOk(isReportedOverLimit(organisations, 165))
  t.ok(isReportedOverLimit(organisations, 166), "165 are allowed by the usual limit")
})

t.test("a held key below its limit must be served where nothing was struck", async t => {
  const organisations = new SoakOrganisations(new SoakDraws(1), () => undefined)
  organisations.enable()
  const sentAt = performance.now() + LONG_AFTER_MS
  const isReported = (
    change: (record: SoakRecord) => void = () => undefined,
    {calls = 1, key = organisations.validKey} = {}
  ): boolean => {
    const record = new SoakRecord()
    const outcome = {id: "r-1", status: 503, headers: {}, body: "", broken: false}
    const call = {kind: "safe" as const, box: "box-0", outcome, key, answeredAt: sentAt}
    record.calls.push({...call, sentAt})
    const served = {...call, outcome: {...outcome, status: 200}}
    for (let i = 1; i < calls; i++) record.calls.push({...served, sentAt: sentAt - i})
    change(record)
    return judgeKeyedService(record, organisations).length > 0
  }
  const strike = (box: string, agoMs: number, mayLead: boolean) => (record: SoakRecord) =>
    void record.exemptions.push({box, at: sentAt - agoMs, mayLead})
  t.ok(isReported())
  t.notOk(isReported(undefined, {key: "never-held"}))
  t.ok(isReported(undefined, {calls: 164}), "half of its limit")
  t.notOk(isReported(undefined, {calls: 166}))
  t.notOk(isReported(strike("box-0", 2_900, false)))
  t.ok(isReported(strike("box-1", 2_900, false)))
  t.notOk(isReported(strike("box-1", 5_900, true)), "allowances need a leader")
  t.ok(isReported(strike("box-1", 6_100, true)))
  t.notOk(isReported(({restores}) => void restores.push(sentAt - 9_900)))
  t.ok(isReported(({restores}) => void restores.push(sentAt - 19_100)))
})
