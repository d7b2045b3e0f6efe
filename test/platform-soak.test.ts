/** Short seeded rounds of the fault soak; `npm run soak` runs more and longer ones. */
import t from "tap"
import {runSoakRound} from "./support/platform-soak.js"

for (const seed of [1, 2]) {
  t.test(`what must hold is kept under the faults of seed ${seed}`, async t => {
    const {violations, calls, served, faults} = await runSoakRound({seed, seconds: 6})
    t.same(violations, [])
    t.ok(served > calls / 4, `${served} of ${calls}`)
    t.comment(faults.join(" "))
  })
}
