/**
 * A seeded round of planned stops with a short grace period. Guards against requests that
 * a stopping box takes late, passes on and leaves without an answer.
 */
import {runSoakSeeds} from "./support/soak-seeds.js"

runSoakSeeds("stop-seeds.json")
