/** Which box leads where some can do much less than others. */
import t from "tap"
import {type BedBox, PlatformBed} from "./support/platform-bed.js"
import {until} from "./support/wait.js"

const WEAK = 0.3
const STRONG = 1.3

// Pattern: most boxes are weak, and a leader of many that can't keep up is late with everything.
t.test("a strong box leads, and leads again after it was lost", async t => {
  const bed = await PlatformBed.start({
    boxes: 4,
    engines: 1,
    plain: 1,
    processors: [WEAK, WEAK, STRONG, WEAK]
  })
  t.teardown(() => bed.stop())
  const strong = bed.boxes[2] as BedBox
  const leads = (): boolean => bed.leader() === strong
  await until("the strong box leads", leads, 10_000)
  await strong.child.end("SIGKILL")
  await until("a weak box leads meanwhile", () => {
    const leader = bed.leader()
    return leader !== undefined && leader !== strong
  })
  bed.restartBox(strong)
  await until("the strong box leads again", leads, 10_000)
  t.equal((await bed.call(strong, "/safe/x")).status, 200)
})

t.test("boxes that are alike, or do not tell, lead as they come", async t => {
  const bed = await PlatformBed.start({boxes: 2, engines: 1, plain: 1})
  t.teardown(() => bed.stop())
  t.ok(bed.leader())
})
