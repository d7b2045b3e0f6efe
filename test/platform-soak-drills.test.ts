/**
 * Seeded rounds with a store that is restored from older backups, and with versions
 * published while the leader changes.
 */
import {runSoakSeeds} from "./support/soak-seeds.js"

runSoakSeeds("drill-seeds.json")
