/** Soak rounds that every run of the tests plays, with the seeds of a file. */
import {mkdtempSync, readFileSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import t from "tap"
import {passIfKnownRed} from "./known-red.js"
import {runSoakRound, type SoakOptions} from "./platform-soak.js"

interface SoakSeed extends SoakOptions {
  /** Reason for the seed: what the round covers. */
  readonly for: string
  /** Least number of calls that no fault excuses from being served. */
  readonly guaranteed?: number
}

/** Saves the boxes' output, as a failure that doesn't recur can be traced only by it. */
function saveLogs(seed: number, logs: string): string {
  const file = join(mkdtempSync(join(tmpdir(), "sedge-soak-")), `soak-seed-${seed}.log`)
  writeFileSync(file, logs)
  return file
}

/** Runs each seed of a file in `test/soak` as a test of its own. */
export function runSoakSeeds(file: string): void {
  const seeds = new URL(`../../../test/soak/${file}`, import.meta.url)
  for (const seed of JSON.parse(readFileSync(seeds, "utf8")) as SoakSeed[]) {
    if (passIfKnownRed(`soak seed ${seed.seed}`)) continue
    t.test(`invariants hold under the faults of seed ${seed.seed}`, async t => {
      t.comment(seed.for)
      const {violations, calls, served, guaranteed, faults, logs} =
        await runSoakRound(seed)
      if (violations.length > 0) t.comment(`logs: ${saveLogs(seed.seed, logs)}`)
      t.same(violations, [])
      const leastShare = seed.streams ? 1 / 2 : 1 / 4
      t.ok(served > calls * leastShare, `${served} of ${calls}`)
      const {guaranteed: least = 0} = seed
      t.ok(guaranteed >= least, `${guaranteed} guaranteed, of ${least} at least`)
      t.comment(faults.join(" "))
    })
  }
}
