/**
 * A seeded round in which keys of callers are revoked and limits of organisations
 * lowered.
 */
import {runSoakSeeds} from "./support/soak-seeds.js"

runSoakSeeds("organisation-seeds.json")
