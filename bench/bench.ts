/** `npm run bench -- NAME`: runs one of the benchmarks. */
import {benchCapacity} from "./capacity.js"
import {benchLoad} from "./load.js"
import {benchPlaces} from "./places.js"
import {benchPolicy} from "./policy.js"
import {benchRelay} from "./relay.js"
import {benchRules} from "./rules.js"
import {benchStarts} from "./starts.js"

const BENCHMARKS: Readonly<Record<string, () => Promise<void> | void>> = {
  capacity: benchCapacity,
  load: benchLoad,
  places: benchPlaces,
  policy: benchPolicy,
  relay: benchRelay,
  rules: benchRules,
  starts: benchStarts
}

const name = process.argv[2] ?? ""
const run = BENCHMARKS[name]
if (!run) {
  console.error(
    `usage: npm run bench -- NAME, one of ${Object.keys(BENCHMARKS).join(", ")}`
  )
  process.exit(2)
}
await run()
process.exit(0)
