/**
 * Seeded rounds with a store that is restored from older backups, and with versions
 * published while the leader changes.
 */
import {playSeeds} from "./support/soak-seeds.js"

playSeeds("drill-seeds.json")
