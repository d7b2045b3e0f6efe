/**
 * A seeded round in which all boxes start while the store answers slowly, another writer
 * stores odd entries, and heads of answers stop midway. Guards against service that comes
 * back late, and against processes that end by themselves.
 */
import {runSoakSeeds} from "./support/soak-seeds.js"

runSoakSeeds("start-seeds.json")
