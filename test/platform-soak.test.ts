/** Seeded rounds of the fault soak: short ones, and those that failed once; `npm run soak` runs more. */
import {playSeeds} from "./support/soak-seeds.js"

playSeeds("seeds.json")
