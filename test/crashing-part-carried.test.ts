/**
 * A box that reaches neither servers nor the leader can't know which shared parts of
 * prompts crash servers. The boxes that send its requests do, and don't send them.
 *
 * The box that sent a request for another one checked all but this, so that requests with
 * a guilty part went on crashing servers.
 */
import t from "tap"
import {
  GUILTY,
  isPromptRefusal,
  saveLogs,
  sleep,
  startPlay,
  STREAM
} from "./support/crashing-part-play.js"
import {judgeCrashingParts} from "./support/judge-crashing-parts.js"
import {passIfKnownRed} from "./support/known-red.js"

/** Until a box notices that its leader is gone. */
const NOTICED_MS = 1_500

/** Long enough for five crashes, and for requests that come later than all boxes know. */
const PLAYED_MS = 10_000

/** Fewest refusals at the box that is cut off. */
const LEAST_REFUSALS = 3

/** The log line of a box that refuses to send a request which crashes servers. */
const NOT_CARRIED = /"event":242.*"reason":"quarantined"/

if (!passIfKnownRed("crashing-part-carried")) defineTests()

function defineTests(): void {
  t.test("a part is kept from servers by the boxes that send for others", async t => {
    const play = await startPlay([STREAM], {cuttable: true})
    const {bed, callers} = play
    t.teardown(() => bed.stop())
    const [leader, port] = [bed.leader(), bed.leaderPort()]
    const cutBox = bed.boxes.find(box => box !== leader)
    if (!cutBox || port === undefined) return t.fail("there is no leader")
    bed.cut(cutBox, [...bed.engines, ...bed.plain], "reset", [port])
    await sleep(NOTICED_MS)
    bed.judge.parts.spoil(GUILTY, "in-stream")
    callers.sendGuilty(GUILTY, STREAM)
    await sleep(PLAYED_MS)
    await callers.stop()
    const {crashes} = bed.judge.parts
    t.ok(crashes.length > 0, `${crashes.length} crashed`)
    t.same(judgeCrashingParts(bed.judge, callers.calls), [])
    t.same(bed.judge.violations, [])
    const atCutBox = callers.calls.filter(({box}) => box === cutBox.name)
    const begun = atCutBox.filter(({hasBegun}) => hasBegun)
    t.comment(`${begun.length} of ${atCutBox.length} begin at the box that is cut off`)
    const refused = atCutBox.filter(
      call => call.parts.includes(GUILTY) && isPromptRefusal(call)
    )
    t.ok(refused.length >= LEAST_REFUSALS, `${refused.length} refused there`)
    t.ok(NOT_CARRIED.test(bed.logs()), "others refuse to send them")
    if (!t.passing()) saveLogs(t, bed)
  })
}
