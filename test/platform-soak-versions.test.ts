/**
 * Seeded rounds in which requests were once started on a version that had been replaced.
 * They have a file of their own because they take two minutes.
 */
import {runSoakSeeds} from "./support/soak-seeds.js"

runSoakSeeds("version-seeds.json")
