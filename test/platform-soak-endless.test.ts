/**
 * A seeded round in which workers answer many calls at once without end. Guards against
 * boxes that are held by such answers, so that other callers lose theirs.
 */
import {runSoakSeeds} from "./support/soak-seeds.js"

runSoakSeeds("endless-seeds.json")
