/**
 * A shared part of prompts under which five backend servers crashed reaches servers at
 * most three times more, in whichever requests, at whichever box, and sound requests that
 * share their first part with it are still served.
 *
 * Boxes counted crashes by whole requests. Requests that shared a part were all different,
 * and went on crashing one server after the other.
 */
import t from "tap"
import type {PartCrashMoment} from "./stand-ins/crashing-parts.js"
import {
  check,
  GUILTY,
  GUILTY_TOO,
  ONCE,
  PLAIN,
  playOut,
  startPlay,
  STREAM,
  WHOLE,
  WHOLE_ONCE
} from "./support/crashing-part-play.js"
import {passIfKnownRed} from "./support/known-red.js"

if (!passIfKnownRed("crashing-part-boxes")) defineTests()

function defineTests(): void {
  const MOMENTS: readonly PartCrashMoment[] = ["before-head", "in-stream"]
  const GROUPS = [
    {name: "streams", kinds: [STREAM, ONCE]},
    {name: "whole answers", kinds: [WHOLE, WHOLE_ONCE]}
  ]

  for (const {name, kinds} of GROUPS) {
    for (const moment of MOMENTS) {
      t.test(`a part that crashes ${moment} of ${name} is kept from servers`, async t => {
        const play = await startPlay(kinds)
        t.teardown(() => play.bed.stop())
        play.bed.judge.parts.spoil(GUILTY, moment)
        for (const kind of kinds) play.callers.sendGuilty(GUILTY, kind)
        await playOut(play)
        check(t, play, kinds)
      })
    }
  }

  t.test("a part is kept from servers for all callers, routes and services", async t => {
    const tenants = ["one", "two", "three"].map(name => ({
      name,
      apiKeys: [`key-${name}`]
    }))
    const kinds = [
      {...STREAM, key: "key-one"},
      {...ONCE, key: "key-two"},
      {...WHOLE, key: "key-three"},
      {...PLAIN, key: "key-one"}
    ]
    const play = await startPlay(kinds, {tenants})
    t.teardown(() => play.bed.stop())
    play.bed.judge.parts.spoil(GUILTY, "in-stream")
    for (const kind of kinds) play.callers.sendGuilty(GUILTY, kind)
    await playOut(play)
    check(t, play, kinds)
  })

  t.test("two parts that crash servers at once are kept from them", async t => {
    const kinds = [STREAM, ONCE]
    const play = await startPlay(kinds)
    t.teardown(() => play.bed.stop())
    play.bed.judge.parts.spoil(GUILTY, "in-stream")
    play.bed.judge.parts.spoil(GUILTY_TOO, "before-head")
    play.callers.sendGuilty(GUILTY, STREAM)
    play.callers.sendGuilty(GUILTY_TOO, ONCE)
    await playOut(play, [GUILTY, GUILTY_TOO])
    check(t, play, kinds, [GUILTY, GUILTY_TOO])
  })
}
