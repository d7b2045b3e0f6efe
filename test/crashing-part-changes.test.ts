/**
 * What boxes know of a shared part of prompts that crashes backend servers outlives the
 * leader and all boxes, ends when the part is repaired, and follows from no other crashes.
 */
import t from "tap"
import {
  check,
  crashed,
  describe,
  GUILTY,
  isRefused,
  LEAST_REFUSALS,
  ONCE,
  playOut,
  restart,
  saveLogs,
  sleep,
  startPlay,
  STREAM
} from "./support/crashing-part-play.js"
import {passIfKnownRed} from "./support/known-red.js"
import {until} from "./support/wait.js"

/** A part is tried this long after the last crash, and served soon after. */
const TRIAL_MS = 5_000
const TRIAL_MARGIN_MS = 4_000

/** All engines are back and serve again this long after the last crash. */
const BACK_MS = 3_000

if (!passIfKnownRed("crashing-part-changes")) defineTests()

function defineTests(): void {
  t.test("what is known of a part outlives the leader's death", async t => {
    const play = await startPlay([STREAM])
    const {bed, callers} = play
    t.teardown(() => bed.stop())
    bed.judge.parts.spoil(GUILTY, "in-stream")
    callers.sendGuilty(GUILTY, STREAM)
    await crashed(bed, 2)
    const leader = bed.leader()
    if (!leader) return t.fail("there is no leader")
    const downs = await restart(bed, [leader])
    await playOut(play)
    check(t, {...play, downs}, [STREAM])
  })

  t.test("a part is kept from servers after all boxes were restarted", async t => {
    const play = await startPlay([STREAM])
    const {bed, callers} = play
    t.teardown(() => bed.stop())
    bed.judge.parts.spoil(GUILTY, "in-stream")
    callers.sendGuilty(GUILTY, STREAM)
    await crashed(bed, 1)
    await sleep(5_000)
    const restartedAt = performance.now()
    const before = bed.judge.parts.crashes.length
    const downs = await restart(bed, bed.boxes)
    await playOut(play)
    const after = bed.judge.parts.crashes.filter(({at}) => at > restartedAt)
    t.ok(
      after.length <= 3,
      `${before} crashed before the restart, ${after.length} after it`
    )
    check(t, {...play, downs}, [STREAM])
  })

  t.test("a repaired part is served again after its trial", async t => {
    const play = await startPlay([STREAM])
    const {bed, callers} = play
    t.teardown(() => bed.stop())
    bed.judge.parts.spoil(GUILTY, "in-stream")
    callers.sendGuilty(GUILTY, STREAM)
    await crashed(bed, 1)
    await until("the part is refused", () => isRefused(callers, GUILTY), 10_000)
    bed.judge.parts.repair(GUILTY)
    const lastCrashAt = bed.judge.parts.crashes.at(-1)?.at ?? 0
    await sleep(lastCrashAt + TRIAL_MS + TRIAL_MARGIN_MS - performance.now())
    const from = performance.now()
    await sleep(2_000)
    await callers.stop()
    const later = callers.calls.filter(
      ({parts, sentAt}) => parts.includes(GUILTY) && sentAt > from
    )
    t.ok(later.length >= LEAST_REFUSALS, `${later.length} requests with the part`)
    const refused = later.filter(({hasBegun}) => !hasBegun)
    if (refused.length > 0) saveLogs(t, bed)
    t.same(refused.map(describe), [])
  })
}

if (!passIfKnownRed("crashing-part-causes")) defineCauseTests()

function defineCauseTests(): void {
  // All sound requests share their first part, which is in progress at each crash.
  const CAUSES = [
    {name: "one after the other", atOnce: 1, rounds: 8, gapMs: 700},
    {name: "all at once", atOnce: 4, rounds: 3, gapMs: 2_500}
  ]
  for (const {name, atOnce, rounds, gapMs} of CAUSES) {
    t.test(
      `engines that crash ${name} of another cause make no part refused`,
      async t => {
        const {bed, callers} = await startPlay([STREAM, ONCE])
        t.teardown(() => bed.stop())
        for (let round = 0; round < rounds; round++) {
          for (let i = 0; i < atOnce; i++) {
            void bed.engines[(round + i) % bed.engines.length]?.goDown()
          }
          await sleep(gapMs)
        }
        await sleep(BACK_MS)
        const from = performance.now()
        await sleep(2_000)
        await callers.stop()
        const later = callers.calls.filter(({sentAt}) => sentAt > from)
        t.ok(later.length >= LEAST_REFUSALS, `${later.length} requests`)
        const refused = later.filter(({hasBegun}) => !hasBegun)
        if (refused.length > 0) saveLogs(t, bed)
        t.same(refused.map(describe), [])
      }
    )
  }
}
