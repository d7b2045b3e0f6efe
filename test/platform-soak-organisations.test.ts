/**
 * A seeded round in which keys of callers are revoked and limits of organisations
 * lowered.
 */
import {playSeeds} from "./support/soak-seeds.js"

playSeeds("organisation-seeds.json")
