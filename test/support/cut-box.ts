/** The program of a box that can be cut off from backend servers. */
import {installServerCuts} from "./server-cuts.js"

installServerCuts()
await import("../../platform/start.js")
