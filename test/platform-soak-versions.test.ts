/** Seeded rounds in which requests once began on a version that was over. A file of its own: they take two minutes. */
import {playSeeds} from "./support/soak-seeds.js"

playSeeds("version-seeds.json")
