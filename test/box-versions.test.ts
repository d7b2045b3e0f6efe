/** What a box logs about the versions that its requests run on. */
import t from "tap"
import {recordSnapshotTime} from "../src/core/box-snapshot-age.js"
import {applyFullSnapshot} from "../src/core/box-engines.js"
import {handleAnswerHead} from "../src/core/box-attempts.js"
import type {BoxLogEvent, LogFields} from "../src/core/box-state.js"
import {applyVersions} from "../src/core/box-versions.js"
import {engines, STREAM, Subject, WEIGHTS} from "./support/box-subject.js"

/** Returns a box whose snapshot is 700 ms old as it receives a newer version. */
function hearingLate(): Subject {
  const subject = new Subject()
  applyFullSnapshot(subject.box, engines(), subject.now)
  recordSnapshotTime(subject.box, subject.now)
  subject.now += 700
  applyVersions(subject.box, [["m/x", 2]], subject.now)
  return subject.drain()
}

function noted({effects}: Subject, event: BoxLogEvent): LogFields[] {
  return effects.flatMap(effect =>
    effect.type === "note" && effect.event === event ? [effect.fields] : []
  )
}

t.test("the log shows the highest possible age of an announced version", async t => {
  const named = {count: 1, versions: "m/x@2", ageMs: 700}
  t.same(noted(hearingLate(), "versions-named"), [named])
  const started = new Subject()
  applyVersions(started.box, [["m/x", 2]], started.now)
  t.match(noted(started.drain(), "versions-named"), [{ageMs: -1}], "unknown")
  applyVersions(started.box, [["m/x", 2]], started.now)
  t.same(noted(started.drain(), "versions-named"), [], "logged once")
})

t.test(
  "the log shows the age of a replaced version at the send and at the start of the answer",
  async t => {
    const subject = hearingLate()
    subject.now += 400
    subject.arrive(STREAM, {weights: WEIGHTS})
    t.match(noted(subject, "route-sent"), [{version: 1, oldForMs: 1_100}])
    subject.start().now += 300
    handleAnswerHead(subject.box, "q", 1, {failed: false, streamed: true}, subject.now)
    const begun = {version: 1, queuedMs: 300, oldForMs: 1_400}
    t.match(noted(subject.drain(), "old-version-begun"), [begun])
  }
)
