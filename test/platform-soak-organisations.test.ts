/** A seeded round in which callers have keys that are taken away, and organisations limits that fall. */
import {playSeeds} from "./support/soak-seeds.js"

playSeeds("organisation-seeds.json")
