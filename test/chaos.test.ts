/** A few fixed seeds of the random fault schedule. `npm run chaos` runs more. */
import t from "tap"
import {runChaosRound} from "./support/chaos-round.js"

for (const seed of [101, 102, 103]) {
  t.test(`no invariant is violated under the faults of seed ${seed}`, async t => {
    const {violations, evidence, calls, faults} = await runChaosRound(seed)
    t.equal(violations, 0, evidence)
    t.ok(calls > 300)
    t.comment(`${calls} calls, ${faults.join(" ")}`)
  })
}
