/** Seeded rounds of the fault soak: short ones, and those that failed once; `npm run soak` runs more. */
import {readFileSync} from "node:fs"
import t from "tap"
import {runSoakRound, type SoakOptions} from "./support/platform-soak.js"

interface SoakSeed extends SoakOptions {
  /** What the round is played for. */
  readonly for: string
}

const SEEDS = new URL("../../test/soak/seeds.json", import.meta.url)

for (const seed of JSON.parse(readFileSync(SEEDS, "utf8")) as SoakSeed[]) {
  t.test(`what must hold is kept under the faults of seed ${seed.seed}`, async t => {
    t.comment(seed.for)
    const {violations, calls, served, faults} = await runSoakRound(seed)
    t.same(violations, [])
    t.ok(served > calls / 4, `${served} of ${calls}`)
    t.comment(faults.join(" "))
  })
}
