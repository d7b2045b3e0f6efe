/**
 * Compares ways of knowing which software version began a stream that a caller takes up
 * at another box, and checks the way in use: two boxes are told.
 */
import t from "tap"
import {measureOriginTraffic} from "./patterns/stream-origin-traffic.js"
import {
  ORIGIN_FAULTS,
  ORIGIN_WAYS,
  type OriginFault,
  type OriginResult,
  type OriginWay,
  simulateStreamOrigins
} from "./patterns/stream-origins.js"

const SEEDS = [1, 2, 3, 4, 5]
const BOXES = [9, 83, 550]
const UNKNOWN_MEMBERS = [0, 0.05, 0.2]
const WAY_IN_USE: OriginWay = "told-2"

/** Share of the streams taken up whose version must be known. */
const MIN_KNOWN_SHARE = 0.5

type ResultsByWay = ReadonlyMap<OriginWay, OriginResult>

function percentile(values: readonly number[], share: number): string {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.floor(share * (sorted.length - 1))]?.toFixed(0) ?? "-"
}

function sum(results: readonly OriginResult[], of: (result: OriginResult) => number) {
  return results.reduce((total, result) => total + of(result), 0)
}

const percent = (part: number, whole: number): string =>
  ((100 * part) / Math.max(1, whole)).toFixed(0)

/** Returns a row of a Markdown table. */
function describe(boxes: number, way: OriginWay, columns: OriginResult[][]): string {
  const shares = columns.map(results => {
    const takenUp = sum(results, r => r.takenUp)
    const first = percent(
      sum(results, r => r.knownAtFirst),
      takenUp
    )
    const any = percent(
      sum(results, r => r.known),
      takenUp
    )
    return `${first}, ${any}`
  })
  const all = columns.flat()
  const known = all.flatMap(r => r.knownAfterMs)
  const refused = all.flatMap(r => r.refusedAfterMs)
  const times = [known, refused].map(
    values => `${percentile(values, 0.5)}, ${percentile(values, 0.95)}`
  )
  const asked = sum(all, r => r.askedPerTry) / all.length
  return `| ${[boxes, way, ...shares, ...times, asked.toFixed(1)].join(" | ")} |`
}

for (const unknownMembers of UNKNOWN_MEMBERS) {
  t.test(
    `streams go on at the version that began them: each box lacks ${unknownMembers} of the others`,
    async t => {
      const rows: string[] = []
      for (const boxes of BOXES) {
        const byFault = new Map<OriginFault, ResultsByWay[]>()
        for (const fault of ORIGIN_FAULTS) {
          const runs = SEEDS.map(seed =>
            simulateStreamOrigins({seed, boxes, fault, unknownMembers})
          )
          byFault.set(fault, runs)
          runs.forEach((run, i) => {
            const result = run.get(WAY_IN_USE) as OriginResult
            const name = `${boxes} boxes, ${fault}, seed ${SEEDS[i]}`
            t.ok(result.takenUp > 0, `${name}: streams are taken up`)
            t.ok(
              result.known >= MIN_KNOWN_SHARE * result.takenUp,
              `${name}: ${result.known} of ${result.takenUp} known`
            )
            t.equal(result.wrong, 0, `${name}: no wrong version`)
          })
        }
        for (const way of ORIGIN_WAYS) {
          const columns = [...byFault.values()].map(runs =>
            runs.map(run => run.get(way) as OriginResult)
          )
          rows.push(describe(boxes, way, columns))
        }
      }
      t.comment(
        `| boxes | way | ${ORIGIN_FAULTS.join(" | ")} | known after ms | refused after ms | asked |`
      )
      for (const row of rows) t.comment(row)
    }
  )
}

t.test("messages, bytes and entries per box", async t => {
  t.comment(
    "| boxes | way | messages, KB a second | at the busiest | in the second after a third is lost | entries, most |"
  )
  for (const boxes of BOXES) {
    for (const way of ORIGIN_WAYS.filter(way => way !== "told-2-apart")) {
      for (const linked of way === WAY_IN_USE ? [false, true] : [false]) {
        const runs = SEEDS.map(seed => measureOriginTraffic({seed, boxes, way, linked}))
        const mean = (of: (run: (typeof runs)[number]) => number): number =>
          runs.reduce((total, run) => total + of(run), 0) / runs.length
        const traffic = (["mean", "busiest", "busiestAfterLoss"] as const).map(
          key =>
            `${mean(run => run[key].messages).toFixed(0)}, ${(mean(run => run[key].bytes) / 1_000).toFixed(1)}`
        )
        const entries = `${mean(run => run.meanEntries).toFixed(0)}, ${mean(run => run.mostEntries).toFixed(0)}`
        const name = linked ? `${way}, links` : way
        t.comment(`| ${[boxes, name, ...traffic, entries].join(" | ")} |`)
        t.ok(runs.every(run => run.meanEntries > 0))
      }
    }
  }
})
