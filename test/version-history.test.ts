/**
 * What a box may conclude from the software versions that it has seen. Guards against a
 * stream that goes on at another version, because a history with a gap, or one that is too
 * short or out of date, was taken for whole.
 */
import t from "tap"
import {createBoxServing} from "../src/core/box-state.js"
import {observedVersionsMs, type VersionHistory} from "../src/core/box-streams.js"
import type {RoutedEffect, RoutedEvent} from "../src/core/serving-events.js"
import type {RoutedState} from "../src/core/serving-fleet.js"
import {WHOLE_HISTORY_MS} from "../src/core/service-versions.js"
import {stepRouted} from "../src/core/serving.js"
import type {FleetConfig, Route} from "../src/types/fleet.js"
import {record, STREAM} from "./support/box-subject.js"

const NO_HISTORY: VersionHistory = {recent: [], observedMs: 0}

/** Longer than a box may go without reading the store. */
const GAP_MS = 3_000

/** Longer than streams of the route may last. */
const LONG_MS = 20_000

/** Between two reads of the store. */
const READ_MS = 1_000

/** A box, and take-ups of streams whose begin nobody knows. */
class Subject {
  now = 1_000
  effects: readonly RoutedEffect[] = []
  readonly state: RoutedState
  private revision_ = 0
  private requests_ = 0

  constructor() {
    const retry = {ratio: 0, slack: 100, windowMs: 10_000}
    const options = {dataCentre: "a", retry, handoverMs: 3_200, random: () => 0}
    this.state = {serving: createBoxServing(options), fleet: undefined}
  }

  step(event: RoutedEvent): readonly RoutedEffect[] {
    this.effects = stepRouted(this.state, event, this.now).effects
    return this.effects
  }

  /** Reads the store, where a server of each of these versions is listed. */
  read(...versions: readonly string[]): void {
    const revision = ++this.revision_
    const records = versions.map(software => ({...record(software), software, revision}))
    const reading = {source: "store", readAt: this.now} as const
    this.step({type: "backends", records, reading})
    this.step({type: "news", at: this.now, read: true})
  }

  /** Reads the store for some time, again and again. */
  observe(ms: number, ...versions: readonly string[]): void {
    for (let passed = 0; passed < ms; passed += READ_MS) {
      this.read(...versions)
      this.now += READ_MS
    }
  }

  /**
   * Takes a stream up. Returns where it is sent, or why it is refused. A box reads the store
   * before the other boxes' answer counts, if the store answers it.
   */
  takeUp(
    begunBy: string | undefined,
    others = NO_HISTORY,
    route: Route = STREAM,
    reads = true
  ): string {
    const id = `take-up-${++this.requests_}`
    const request = {id, name: id, route, service: "s", tokens: 0, rank: 1}
    const named = begunBy === undefined ? {} : {begunBy}
    const arrival = {...request, ...named, lastEventId: "3", deadlineMs: 4_000}
    this.step({type: "arrive", arrival})
    if (reads) this.step({type: "news", at: this.now, read: true})
    const answer = {origin: undefined, ...others}
    for (const effect of this.step({type: "origin-answer", id, answer})) {
      if (effect.type === "send") return effect.backend.id
      if (effect.type === "note" && effect.event === "stream-refused") {
        return String(effect.fields["reason"])
      }
    }
    return ""
  }
}

for (const [begunBy, name] of [
  [undefined, "unnamed"],
  ["begin", "named"]
] as const) {
  t.test(`a short history binds no stream, ${name}`, async t => {
    const box = new Subject()
    box.read("v2")
    t.equal(box.takeUp(begunBy), "short-history")
    box.observe(LONG_MS, "v2")
    t.equal(box.takeUp(begunBy), "v2")
  })

  t.test(`a box that was cut off from the store does not, ${name}`, async t => {
    const box = new Subject()
    box.observe(LONG_MS, "v2")
    box.now += GAP_MS
    t.equal(observedVersionsMs(box.state.serving, box.now), 0, "asked by another box")
    box.read("v2")
    t.equal(box.takeUp(begunBy), "short-history")
    box.observe(LONG_MS, "v2")
    t.equal(box.takeUp(begunBy), "v2")
  })

  t.test(`a version that a leader stored may have begun the stream, ${name}`, async t => {
    const box = new Subject()
    box.read("v2")
    const services = [["s", ["v1", "v2"]]] as const
    const recorded = {services, observedMs: WHOLE_HISTORY_MS}
    box.step({type: "versions-recorded", recorded})
    t.equal(box.takeUp(begunBy), "unknown-begin")
    box.observe(LONG_MS, "v2")
    t.equal(box.takeUp(begunBy), "unknown-begin")
  })

  t.test(`a version that another box has seen may have, ${name}`, async t => {
    const box = new Subject()
    box.observe(LONG_MS, "v2")
    const others = {recent: ["v1"], observedMs: 0}
    t.equal(box.takeUp(begunBy, others), "unknown-begin")
  })

  t.test(`what a leader stored is a whole history, ${name}`, async t => {
    const box = new Subject()
    const services = [["s", ["v2"]]] as const
    const recorded = {services, observedMs: WHOLE_HISTORY_MS}
    box.step({type: "versions-recorded", recorded})
    t.equal(observedVersionsMs(box.state.serving, box.now), 0, "without a list")
    box.read("v2")
    t.equal(box.takeUp(begunBy), "v2")
  })

  t.test(`unless the store lost writes, ${name}`, async t => {
    const box = new Subject()
    const known = {era: 2, begunBy: box.now, restored: true}
    box.step({type: "era", known, restored: true})
    box.read("v2")
    const services = [["s", ["v2"]]] as const
    const recorded = {services, observedMs: WHOLE_HISTORY_MS}
    box.step({type: "versions-recorded", recorded})
    t.equal(box.takeUp(begunBy), "short-history")
  })

  t.test(`a lowered time limit does not shorten what is asked for, ${name}`, async t => {
    const box = new Subject()
    const configure = (version: number, timeoutMs: number): void => {
      const routes = [{...STREAM, timeoutMs}]
      const limits = {maxBodyBytes: 1}
      const config = {version, routes, services: [], organisations: [], limits}
      box.step({type: "config", config: config as unknown as FleetConfig})
    }
    configure(1, 15_000)
    configure(2, 500)
    box.observe(5_000, "v2")
    const lowered = {...STREAM, timeoutMs: 500}
    t.equal(box.takeUp(begunBy, NO_HISTORY, lowered), "short-history")
    box.observe(30_000, "v2")
    t.equal(box.takeUp(begunBy, NO_HISTORY, lowered), "v2")
  })
}

// ORDER: a version that joined since the list was read may have begun the stream.
t.test("a list that is older than the request binds no stream", async t => {
  const box = new Subject()
  box.observe(LONG_MS, "v2")
  for (const begunBy of [undefined, "begin"]) {
    box.now += 100
    t.equal(box.takeUp(begunBy, NO_HISTORY, STREAM, false), "old-list")
    t.equal(box.takeUp(begunBy), "v2")
  }
})

t.test("after a gap a box reads what the leader stored", async t => {
  const box = new Subject()
  box.observe(LONG_MS, "v1")
  box.now += GAP_MS
  const effects = box.step({type: "news", at: box.now, read: true})
  t.ok(effects.some(({type}) => type === "read-versions"))
})

t.test("a leader stores each version until a minute after its last server", async t => {
  const box = new Subject()
  const {serviceVersions} = box.state.serving
  box.observe(LONG_MS, "v1")
  box.observe(LONG_MS, "v2")
  const stored = serviceVersions.toRecord(box.now)
  t.same(stored.services, [["s", ["v1", "v2"]]])
  t.ok(stored.observedMs <= 2 * LONG_MS && stored.observedMs > LONG_MS)
  box.observe(61_000, "v2")
  t.same(serviceVersions.toRecord(box.now), {
    services: [["s", ["v2"]]],
    observedMs: WHOLE_HISTORY_MS
  })
})

t.test("a refusal for a short history tells when the stream may go on", async t => {
  const box = new Subject()
  box.observe(STREAM.timeoutMs, "v2")
  const id = "q"
  const request = {id, name: id, route: STREAM, service: "s", tokens: 0, rank: 1}
  const arrival = {...request, lastEventId: "3", deadlineMs: 60_000}
  box.step({type: "arrive", arrival})
  box.step({type: "news", at: box.now, read: true})
  const answer = {origin: undefined, ...NO_HISTORY}
  const effects = box.step({type: "origin-answer", id, answer})
  t.match(
    effects.find(({type}) => type === "end"),
    {reason: "not-run", retryAfterMs: STREAM.timeoutMs}
  )
})
