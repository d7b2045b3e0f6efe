/**
 * Seeded rounds in which sound servers stand still inside streams and go on. Guards against
 * answers that had begun and are cut because their servers were silent.
 */
import {runSoakSeeds} from "./support/soak-seeds.js"

runSoakSeeds("pause-seeds.json")
