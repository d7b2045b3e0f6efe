/** Leader election among boxes with very different processor capacities. */
import t from "tap"
import {type BedBox, PlatformBed} from "./support/platform-bed.js"
import {until} from "./support/wait.js"

const WEAK = 0.3
const STRONG = 1.3

// Guards against a weak leader: with many boxes it cannot keep up and delays everything.
t.test("a strong box is elected, and again after its restart", async t => {
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
  await until("a weak box leads in the meantime", () => {
    const leader = bed.leader()
    return leader !== undefined && leader !== strong
  })
  bed.restartBox(strong)
  await until("the strong box leads again", leads, 10_000)
  t.equal((await bed.call(strong, "/safe/x")).status, 200)
})

t.test("among boxes of equal or unknown capacity any one is elected", async t => {
  const bed = await PlatformBed.start({boxes: 2, engines: 1, plain: 1})
  t.teardown(() => bed.stop())
  t.ok(bed.leader())
})
