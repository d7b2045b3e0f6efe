/** A leader that stops as planned names the next one: boxes go over to it without looking for it. */
import t from "tap"
import {type BedBox, PlatformBed} from "./support/platform-bed.js"
import {until} from "./support/wait.js"

/** From the end of a lead until all other boxes hear the next leader, milliseconds. */
const HANDOVER_MS = 150

const LEAD_OVER = 185
const LINKED = 182
const LEADING = 184
const FROM_STORE = 181

interface Line {
  readonly box: string
  readonly event: number
  readonly time: number
}

function linesOf(bed: PlatformBed): Line[] {
  return bed
    .logs()
    .split("\n")
    .filter(text => text.startsWith("{"))
    .map(text => JSON.parse(text) as Line)
}

t.test("boxes follow the next leader at once, and need not read the store", async t => {
  const bed = await PlatformBed.start({boxes: 5, engines: 1, plain: 1})
  t.teardown(() => bed.stop())
  // A box is named that has run for a while.
  await new Promise(resolve => setTimeout(resolve, 2_500))
  const first = bed.leader() as BedBox
  const others = bed.boxes.filter(box => box !== first)
  first.child.signal("SIGTERM")
  await until("the lead is over", () =>
    linesOf(bed).some(({box, event}) => box === first.name && event === LEAD_OVER)
  )
  const over = linesOf(bed).find(
    ({box, event}) => box === first.name && event === LEAD_OVER
  ) as Line
  const goOver = (box: BedBox): Line | undefined =>
    linesOf(bed).find(
      ({box: name, event, time}) =>
        name === box.name && time >= over.time && (event === LINKED || event === LEADING)
    )
  for (const box of others) {
    const {time} = await until(`${box.name} goes over`, () => goOver(box))
    t.ok(time - over.time < HANDOVER_MS, `${box.name} after ${time - over.time} ms`)
  }
  const reads = linesOf(bed).filter(
    ({box, event, time}) => event === FROM_STORE && time > over.time && box !== first.name
  )
  // The next leader reads it, as every leader does.
  t.ok(reads.length <= 1, `${reads.length} boxes read the store`)
  for (const box of others) {
    t.equal((await bed.call(box, "/stream/x", {adapter: "a1"})).status, 200)
  }
  t.same(bed.judge.violations, [])
})

t.test("where the box that was named is gone, another leads as ever", async t => {
  const bed = await PlatformBed.start({boxes: 3, engines: 1, plain: 1})
  t.teardown(() => bed.stop())
  await new Promise(resolve => setTimeout(resolve, 2_500))
  const first = bed.leader() as BedBox
  const [named, last] = bed.boxes.filter(box => box !== first) as [BedBox, BedBox]
  first.child.signal("SIGTERM")
  for (const box of [named, last]) box.child.signal("SIGTERM")
  await Promise.all(bed.boxes.map(({child}) => until("it ended", () => child.ended)))
  for (const box of bed.boxes) bed.restartBox(box)
  await bed.ready()
  t.equal((await bed.call(last, "/stream/x", {adapter: "a1"})).status, 200)
})
