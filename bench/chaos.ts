/**
 * `npm run chaos -- --seed N --minutes M`: injects random faults from a seed into real
 * processes under load and judges them by the oracle. Each round starts one deployment.
 */
import {cac} from "cac"
import {runChaosRound} from "../test/support/chaos-round.js"

const cli = cac("chaos")
cli.option("--seed <n>", "First seed", {default: 1})
cli.option("--rounds <n>", "Rounds, one seed each", {default: 1000})
cli.option("--minutes <m>", "Stop after this time", {default: 1})
const {options} = cli.parse()

const end = Date.now() + Number(options["minutes"]) * 60_000
let violations = 0
let calls = 0
let rounds = 0
const outcomes = new Map<string, number>()
for (let seed = Number(options["seed"]); rounds < Number(options["rounds"]); seed++) {
  if (Date.now() > end) break
  const result = await runChaosRound(seed)
  rounds++
  calls += result.calls
  violations += result.violations
  for (const [outcome, count] of result.outcomes) {
    outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + count)
  }
  console.log(
    `seed ${seed}: ${result.calls} calls, faults ${result.faults.join(" ")}, ` +
      `violations ${result.violations}${result.evidence}`
  )
}
console.log(`${rounds} rounds, ${calls} calls, ${violations} violations`)
console.log(JSON.stringify(Object.fromEntries([...outcomes].sort())))
process.exit(violations === 0 && rounds > 0 ? 0 : 1)
