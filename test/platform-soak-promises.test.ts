/**
 * Seeded rounds with workers in processes of their own, which are stopped by signals, and
 * starved boxes. Guards against promises (503, 429, 408, 421, a connection closed unread)
 * that a request did not run although it did or will, and against second runs.
 */
import {runSoakSeeds} from "./support/soak-seeds.js"

runSoakSeeds("promise-seeds.json")
