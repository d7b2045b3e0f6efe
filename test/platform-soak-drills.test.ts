/** Seeded rounds with a store that comes back from older copies, and with versions named as the lead changes. */
import {playSeeds} from "./support/soak-seeds.js"

playSeeds("drill-seeds.json")
