/**
 * A seeded round in which all boxes start on one processor. Guards against service that
 * doesn't come back because boxes repeat what they gave up.
 */
import {runSoakSeeds} from "./support/soak-seeds.js"

runSoakSeeds("processor-seeds.json")
