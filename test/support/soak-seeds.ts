/** Rounds of the soak that each run of the tests plays, from a file of seeds. */
import {mkdtempSync, readFileSync, writeFileSync} from "node:fs"
import {tmpdir} from "node:os"
import {join} from "node:path"
import t from "tap"
import {passOverIfRed} from "./known-red.js"
import {runSoakRound, type SoakOptions} from "./platform-soak.js"

interface SoakSeed extends SoakOptions {
  /** What the round is played for. */
  readonly for: string
}

/** A failure that shows once has to be traced by what the boxes wrote. */
function keepLogs(seed: number, logs: string): string {
  const file = join(mkdtempSync(join(tmpdir(), "sedge-soak-")), `soak-seed-${seed}.log`)
  writeFileSync(file, logs)
  return file
}

/** Plays each seed of a file in the folder of seeds as a test of its own. */
export function playSeeds(file: string): void {
  const seeds = new URL(`../../../test/soak/${file}`, import.meta.url)
  for (const seed of JSON.parse(readFileSync(seeds, "utf8")) as SoakSeed[]) {
    if (passOverIfRed(`soak seed ${seed.seed}`)) continue
    t.test(`what must hold is kept under the faults of seed ${seed.seed}`, async t => {
      t.comment(seed.for)
      const {violations, calls, served, faults, logs} = await runSoakRound(seed)
      if (violations.length > 0) t.comment(`logs: ${keepLogs(seed.seed, logs)}`)
      t.same(violations, [])
      t.ok(served > calls / 4, `${served} of ${calls}`)
      t.comment(faults.join(" "))
    })
  }
}
