/**
 * A seeded round in which all boxes start and take turns at running. Guards against leaders
 * that no box reaches and that lose their leases, so that service comes back late.
 */
import {runSoakSeeds} from "./support/soak-seeds.js"

runSoakSeeds("starved-seeds.json")
