/**
 * Boxes that start as the store has come back from an older copy: they have no memory of what was
 * acknowledged before, and the copy holds servers that had left. Pattern: all boxes are killed while the
 * store is away, so that nobody who lives remembers.
 */
import {setTimeout as sleep} from "node:timers/promises"
import t from "tap"
import type {StandInWorker} from "./stand-ins/platform-worker.js"
import {type BedBox, PlatformBed} from "./support/platform-bed.js"
import {until} from "./support/wait.js"

/** A server that left gets nothing new after this, with a margin, milliseconds. */
const DRAIN_MS = 2_500

/** Between a server's leaving and the drill: longer than `DRAIN_MS`, so that all of it has been well. */
const WELL_MS = 2_800

/** How old the copy is: it holds the server. */
const COPY_MS = WELL_MS + 1_500

/** The entries that the copy has too much go after this, with a margin, milliseconds. */
const LAPSED_MS = 1_500

/** A new box uses servers again once entries of the copy have gone: five seconds after it started, and some. */
const DOUBT_MS = 6_500

/** Processes may start slowly beside others; without faults all is served again within this, milliseconds. */
const RECOVERY_MS = 20_000

/** Where the settled era stands, and between its removal and the configuration that needs keys, milliseconds. */
const SETTLED_KEY = "sedge/settled-era"
const BEFORE_KEYS_MS = 400

/** The leader stands still for so long: a box that starts is on its own, milliseconds. */
const STILL_MS = 3_000

/** The number of the event with which a box tells that it waits. */
const DOUBTED = 221

/** When the last box began to wait, Unix milliseconds. */
function doubtedAt(bed: PlatformBed): number {
  const lines = bed.logs().split("\n")
  const told = lines.filter(line => line.includes(`"event":${DOUBTED},`))
  const times = told.map(line => (JSON.parse(line) as {time: number}).time)
  return Math.max(0, ...times)
}

async function callFor(bed: PlatformBed, ms: number): Promise<void> {
  const end = performance.now() + ms
  while (performance.now() < end) {
    const calls = bed.boxes.map(box => bed.call(box, "/safe/x"))
    await Promise.race([Promise.all(calls), sleep(50)])
    await sleep(10)
  }
}

async function restartAll(bed: PlatformBed): Promise<void> {
  await Promise.all(bed.boxes.map(({child}) => child.end("SIGKILL")))
  for (const box of bed.boxes) bed.restartBox(box)
}

t.test(
  "a box that starts after a drill sends nothing to a server that had left",
  async t => {
    const bed = await PlatformBed.start({boxes: 2, engines: 1, plain: 3})
    t.teardown(() => bed.stop())
    const [left] = bed.plain as [StandInWorker]
    // The system has run for longer than the copy will be old.
    await callFor(bed, COPY_MS)
    t.ok(bed.judge.runs.some(({worker}) => worker === left.id))
    left.removeEntry()
    const drainedAt = performance.now()
    await sleep(WELL_MS)
    const drill = bed.store.drill({backupAgeMs: COPY_MS, outageMs: 700})
    await restartAll(bed)
    await drill
    await callFor(bed, LAPSED_MS)
    const late = bed.judge.runs
      .filter(({worker, reached}) => worker === left.id && reached > drainedAt + DRAIN_MS)
      .map(({reached}) => Math.round(reached - drainedAt))
    t.same(late.slice(0, 3), [], `${late.length} requests reached it`)
    const [box] = bed.boxes as [BedBox]
    const isServed = async (): Promise<boolean> =>
      (await bed.call(box, "/safe/x")).status === 200
    await until("servers that stayed are used again", isServed, RECOVERY_MS)
    const doubtedMs = Date.now() - doubtedAt(bed)
    t.ok(doubtedMs < DOUBT_MS, `${doubtedMs} ms after the last box began to doubt`)
  }
)

// Seen in a soak: a box that started 2.6 s after a drill served by the copy's configuration, which needed no keys. The
// copy was older than the key that tells which era is settled.
t.test("a box that starts after a drill does not serve by the copy's rules", async t => {
  const bed = await PlatformBed.start({boxes: 2, engines: 1, plain: 2})
  t.teardown(() => bed.stop())
  await until("an era is settled", () => bed.store.read(SETTLED_KEY) !== undefined)
  bed.store.remove(SETTLED_KEY)
  const copiedAt = performance.now()
  await sleep(BEFORE_KEYS_MS)
  bed.tenants = [{name: "org", apiKeys: ["key"]}]
  bed.configure()
  const [first, second] = bed.boxes as [BedBox, BedBox]
  const isRefused = async (box: BedBox): Promise<boolean> =>
    (await bed.call(box, "/safe/x")).status === 401
  for (const box of bed.boxes) await until("keys are needed", () => isRefused(box))
  const leader = bed.leader() ?? first
  const other = leader === first ? second : first
  await other.child.end("SIGKILL")
  leader.child.signal("SIGSTOP")
  const copyAgeMs = performance.now() - copiedAt - BEFORE_KEYS_MS / 2
  await bed.store.drill({backupAgeMs: copyAgeMs, outageMs: 50})
  bed.restartBox(other)
  const statuses = new Set<number>()
  const end = performance.now() + STILL_MS
  while (performance.now() < end) {
    const {status} = await bed.call(other, "/safe/x", {deadlineMs: 500})
    statuses.add(status)
    await sleep(20)
  }
  leader.child.signal("SIGCONT")
  t.notOk(statuses.has(200), [...statuses].join())
  bed.configure()
  const isServed = async (): Promise<boolean> =>
    (await bed.call(other, "/safe/x", {key: "key"})).status === 200
  await until("it serves who holds a key", isServed, RECOVERY_MS)
})
