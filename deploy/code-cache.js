/**
 * Writes the code cache of the bundled program. deploy/bundle.js runs it with the flags of
 * a box, because V8 rejects a cache that was made with other flags.
 */
import {fileURLToPath} from "node:url"
import {runProgram, writeCache} from "./compiled-program.js"

const target = fileURLToPath(new URL("../target/", import.meta.url))

// The program runs a command that ends by itself. The cache contains the functions that
// have run by then.
process.argv = [process.execPath, `${target}box.mjs`, "--version"]
console.log = () => undefined
const {script} = runProgram(`${target}main.cjs`, `${target}main.cache`)
writeCache(script, `${target}main.cjs`, `${target}main.cache`)
