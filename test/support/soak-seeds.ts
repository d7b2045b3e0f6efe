/** Rounds of the soak that each run of the tests plays, from a file of seeds. */
import {readFileSync} from "node:fs"
import t from "tap"
import {passOverIfRed} from "./known-red.js"
import {runSoakRound, type SoakOptions} from "./platform-soak.js"

interface SoakSeed extends SoakOptions {
  /** What the round is played for. */
  readonly for: string
}

/** Plays each seed of a file in the folder of seeds as a test of its own. */
export function playSeeds(file: string): void {
  const seeds = new URL(`../../../test/soak/${file}`, import.meta.url)
  for (const seed of JSON.parse(readFileSync(seeds, "utf8")) as SoakSeed[]) {
    if (passOverIfRed(`soak seed ${seed.seed}`)) continue
    t.test(`what must hold is kept under the faults of seed ${seed.seed}`, async t => {
      t.comment(seed.for)
      const {violations, calls, served, faults} = await runSoakRound(seed)
      t.same(violations, [])
      t.ok(served > calls / 4, `${served} of ${calls}`)
      t.comment(faults.join(" "))
    })
  }
}
