/** `npm run soak -- --seed N --minutes M`: random faults on the platform's stand-in. */
import {writeFileSync} from "node:fs"
import {cac} from "cac"
import {runSoakRound} from "../test/support/platform-soak.js"

const cli = cac("soak")
cli.option("--seed <n>", "First seed", {default: 1})
cli.option("--rounds <n>", "Rounds, one seed each", {default: 1000})
cli.option("--minutes <m>", "Start no round after this time", {default: 1})
cli.option("--seconds <s>", "Length of the faults of a round", {default: 12})
cli.option("--boxes <n>", "Boxes in each round", {default: 3})
cli.option("--no-lives", "Servers do not restart under the same id")
cli.option(
  "--no-versions",
  "No version series, queues, delayed orders or silent connections"
)
cli.option("--no-drills", "The store is never restored from an older backup")
cli.option("--no-leads", "No versions are named while the leadership changes")
cli.option("--no-organisations", "Callers have no keys, and there are no limits")
cli.option("--sparse", "Other faults than cuts come seldom", {default: false})
cli.option("--no-cuts", "No box is cut off from backend servers")
cli.option(
  "--no-streams",
  "Workers serve one software version, answers break in one way, no stream is taken up"
)
cli.option(
  "--no-load",
  "Engines have many places and one speed, and callers don't overload them"
)
cli.option("--no-pauses", "No worker stands still inside a stream and goes on")
cli.option("--no-parts", "No shared part of prompts crashes engines")
cli.option("--no-repeats", "No worker repeats answers")
cli.option("--no-mass-kills", "All boxes are never killed at once")
cli.option("--no-starts", "No slow starts of all boxes, odd entries or heads cut midway")
cli.option("--no-starved", "No starts of all boxes on few processors")
cli.option("--no-few-processors", "Boxes never start on one processor")
cli.option("--no-endless", "No worker answers without end")
cli.option("--no-short-grace", "Boxes have the usual grace period, without long requests")
cli.option("--no-promises", "No promise to callers of requests to real worker processes")
cli.help()
const {options} = cli.parse()
// The library prints the help and goes on.
if (options["help"]) process.exit(0)

const end = Date.now() + Number(options["minutes"]) * 60_000
const first = Number(options["seed"])
let failedRounds = 0
let cleanRounds = 0
let rounds = 0
for (let seed = first; seed < first + Number(options["rounds"]); seed++) {
  if (Date.now() > end) break
  const result = await runSoakRound({
    seed,
    seconds: Number(options["seconds"]),
    boxes: Number(options["boxes"]),
    lives: options["lives"] !== false,
    versions: options["versions"] !== false,
    drills: options["drills"] !== false,
    leads: options["leads"] !== false,
    organisations: options["organisations"] !== false,
    sparse: options["sparse"] === true,
    cuts: options["cuts"] !== false,
    streams: options["streams"] !== false,
    load: options["load"] !== false,
    pauses: options["pauses"] !== false,
    parts: options["parts"] !== false,
    repeats: options["repeats"] !== false,
    massKills: options["massKills"] !== false,
    starts: options["starts"] !== false,
    starved: options["starved"] !== false,
    fewProcessors: options["fewProcessors"] !== false,
    endless: options["endless"] !== false,
    shortGrace: options["shortGrace"] !== false,
    promises: options["promises"] !== false
  })
  rounds++
  if (result.violations.length > 0) failedRounds++
  const isServedByHalf = result.served >= result.calls / 2
  if (result.violations.length === 0 && isServedByHalf) cleanRounds++
  console.log(
    `seed ${seed}: ${result.calls} calls, ${result.served} served, ` +
      (isServedByHalf ? "" : "under half of its calls, so it doesn't count as clean, ") +
      `violations ${result.violations.length}, ${result.faults.join(" ")}`
  )
  for (const violation of result.violations) console.log(`  ${violation}`)
  if (result.violations.length > 0 || !isServedByHalf) {
    // Keeps the logs, because the same seed may take another course next time.
    const file = `soak-seed-${seed}.log`
    writeFileSync(file, result.logs)
    console.log(`  logs: ${file}`)
  }
}
console.log(`${rounds} rounds, ${failedRounds} with violations, ${cleanRounds} clean`)
process.exit(failedRounds === 0 && cleanRounds > 0 ? 0 : 1)
