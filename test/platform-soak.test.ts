/**
 * Seeded rounds of the fault soak: short ones, and ones that once failed. `npm run soak`
 * runs more.
 */
import {playSeeds} from "./support/soak-seeds.js"

playSeeds("seeds.json")
