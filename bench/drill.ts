/**
 * `node dist/bench/drill.js --boxes N`: measures the effect on callers, the store and
 * engines when the store is restored from an older backup, with real boxes on the
 * platform's stand-in. Compares ten seconds before and after.
 */
import {cac} from "cac"
import {type Outcome, PlatformBed} from "../test/support/platform-bed.js"

const cli = cac("drill")
cli.option("--boxes <n>", "Boxes", {default: 3})
cli.option("--copy-age <ms>", "Age of the backup", {default: 3_000})
cli.option("--away <ms>", "Length of the store's outage", {default: 300})
cli.option("--rewrite <ms>", "Time until operators repeat lost writes", {default: 500})
const {options} = cli.parse()

const SPAN_MS = 10_000
const SETTLE_MS = 4_000
const CALL_MS = 25
const ADAPTERS = 60

/** Target latency of the called routes. Answers that take longer are late. */
const LATE_MS = 400

interface Sample {
  readonly outcome: Outcome
  readonly tookMs: number
}

const pause = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms))

/** Calls boxes and adapters in turn. Half of the streams use the first adapter. */
async function callFor(bed: PlatformBed, spanMs: number): Promise<Sample[]> {
  const samples: Promise<Sample>[] = []
  const end = performance.now() + spanMs
  for (let i = 0; performance.now() < end; i++) {
    const box = bed.boxes[i % bed.boxes.length]
    if (!box) break
    // Half of the calls need adapters that engines have to be ordered to load.
    const adapter = `a${i % 2 === 0 ? 0 : (7 * i) % ADAPTERS}`
    const sentAt = performance.now()
    const call =
      i % 3 === 0
        ? bed.call(box, "/safe/x")
        : bed.call(box, "/stream/x", {adapter, body: "{}"})
    samples.push(call.then(outcome => ({outcome, tookMs: performance.now() - sentAt})))
    await pause(CALL_MS)
  }
  return Promise.all(samples)
}

function printSummary(name: string, samples: readonly Sample[], calls: number): void {
  const count = (test: (sample: Sample) => boolean): number => samples.filter(test).length
  const served = count(({outcome}) => outcome.status === 200 && !outcome.broken)
  const refused = count(({outcome}) => outcome.status === 503)
  const late = count(({outcome, tookMs}) => outcome.status === 200 && tookMs > LATE_MS)
  const lost = samples.length - served - refused
  const perBox = (calls / Number(options["boxes"])).toFixed(1)
  console.log(
    `${name}: ${samples.length} requests, ${served} served, ${late} late, ${refused} refused, ` +
      `${lost} lost; ${perBox} calls to the store a box`
  )
}

const bed = await PlatformBed.start({
  boxes: Number(options["boxes"]),
  engines: 3,
  plain: 2
})
try {
  await callFor(bed, SETTLE_MS)
  const callsBefore = bed.store.calls
  const before = await callFor(bed, SPAN_MS)
  printSummary("before", before, bed.store.calls - callsBefore)
  const callsAfter = bed.store.calls
  const ordersBefore = bed.judge.orders.length
  let returnedAt = 0
  const drill = bed.store.drill({
    backupAgeMs: Number(options["copyAge"]),
    outageMs: Number(options["away"]),
    rewriteMs: Number(options["rewrite"]),
    onRestored: () => (returnedAt = performance.now())
  })
  const after = await callFor(bed, SPAN_MS)
  await drill
  printSummary("after", after, bed.store.calls - callsAfter)
  const orders = bed.judge.orders.slice(ordersBefore)
  const first = orders.find(({at}) => at > returnedAt)
  const firstMs = first ? Math.round(first.at - returnedAt) : -1
  console.log(`first order ${firstMs} ms after the return; ${orders.length} orders`)
} finally {
  await bed.stop()
}
process.exit(0)
