/**
 * Entry point of the bundled box, as platform/start.ts is that of the separate files.
 * Ignores SIGHUP while the program loads, because the signal ends a process without a
 * handler. No reload is lost, because the settings are read afterwards.
 */
import {fileURLToPath} from "node:url"
import {runProgram} from "./compiled-program.js"

process.on("SIGHUP", () => undefined)
const directory = fileURLToPath(new URL(".", import.meta.url))
runProgram(`${directory}main.cjs`, `${directory}main.cache`)
