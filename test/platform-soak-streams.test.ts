/**
 * A seeded round in which answers break off in several ways, two software versions serve
 * side by side, and callers take streams up. Guards against streams that were broken off
 * and look complete, and against streams of two software versions.
 */
import {passIfKnownRed} from "./support/known-red.js"
import {runSoakSeeds} from "./support/soak-seeds.js"

if (!passIfKnownRed("platform-soak-streams")) runSoakSeeds("stream-seeds.json")
