/**
 * Seeded rounds in which requests were once started on a version that had been replaced.
 * They have a file of their own because they take two minutes.
 */
import {playSeeds} from "./support/soak-seeds.js"

playSeeds("version-seeds.json")
