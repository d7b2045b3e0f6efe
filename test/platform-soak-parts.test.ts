/**
 * Seeded rounds in which shared parts of prompts crash the engines that answer requests
 * with them. Guards against requests with such a part that go on crashing servers, and
 * against sound requests beside them that are no longer served.
 */
import {runSoakSeeds} from "./support/soak-seeds.js"

runSoakSeeds("part-seeds.json")
