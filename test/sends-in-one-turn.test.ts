/**
 * A request whose bytes were written is not refused as not run (REFUSED, TWICE), also if an
 * event that ends it was queued before the start of its attempt was reported.
 */
import t from "tap"
import {startLoop} from "../src/adapters/loop.js"
import type {BoxEffect} from "../src/core/box-state.js"
import {stepRouted} from "../src/core/serving.js"
import type {RoutedState} from "../src/core/serving-fleet.js"
import type {RoutedEffect, RoutedEvent} from "../src/core/serving-events.js"
import {ROUTE, Subject} from "./support/box-subject.js"

const UNSAFE = {...ROUTE, kind: "unsafe", maxAttempts: 1} as const

/** A box whose sends leave in the turn in which the core decides on them. */
class SendingBox {
  now = 1_000
  readonly ended = new Map<string, string>()
  readonly sent: string[] = []
  readonly loop
  /** Called while the effects of an event are performed. */
  beforeSend: (id: string) => void = () => undefined

  constructor() {
    const serving = new Subject().box
    this.loop = startLoop<RoutedState, RoutedEvent, RoutedEffect>({
      initial: {serving, fleet: undefined},
      step: (state, event, now) => stepRouted(state, event, now),
      perform: effect => this.perform(effect as BoxEffect),
      makeTick: () => ({type: "tick", mayOrder: false}),
      tickMs: () => Infinity,
      now: () => this.now
    })
  }

  arrive(id: string, deadlineMs: number, fingerprint = id): void {
    const arrival = {id, name: id, fingerprint, route: UNSAFE, service: "s"}
    const all = {...arrival, tokens: 10, rank: 1, deadlineMs}
    this.loop.post({type: "arrive", arrival: all})
  }

  private perform(effect: BoxEffect): void {
    if (effect.type === "end") this.ended.set(effect.id, effect.reason)
    if (effect.type !== "send") return
    const {id, attempt} = effect
    this.beforeSend(id)
    this.sent.push(id)
    this.loop.postFirst({type: "started", id, attempt})
  }
}

t.test("a deadline that passes in the turn of the send", async t => {
  const box = new SendingBox()
  box.beforeSend = id => {
    if (id !== "first") return
    // These come while the box is busy with another request.
    box.arrive("second", 5)
    box.beforeSend = () => {
      box.now += 10
      box.loop.post({type: "tick", mayOrder: false})
    }
  }
  box.arrive("first", 4_000)
  t.same(box.sent, ["first", "second"])
  t.equal(box.ended.get("second"), "timeout", "it may have run")
})

t.test("news that its request crashes servers, in the turn of the send", async t => {
  const box = new SendingBox()
  const lives = ["i-1", "i-2", "i-3", "i-4"]
  const guilty = {fingerprint: "f", lives, ageMs: 0, trials: 0}
  box.beforeSend = () => {
    const changes = {records: [guilty], cleared: []}
    box.loop.post({type: "crashes", changes, source: "leader"})
  }
  box.arrive("first", 4_000, "f")
  t.same(box.sent, ["first"])
  t.equal(box.ended.get("first"), "unknown", "it may have run")
})
