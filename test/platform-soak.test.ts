/**
 * Seeded rounds of the fault soak: short ones, and ones that once failed. `npm run soak`
 * runs more.
 */
import {runSoakSeeds} from "./support/soak-seeds.js"

runSoakSeeds("seeds.json")
