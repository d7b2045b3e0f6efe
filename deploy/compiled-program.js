/**
 * Loads the bundled program of a box with the code that V8 compiled for it at build time.
 *
 * A cache file holds a digest and V8's data. V8 checks its own version, its flags and the
 * length of the program, but not the bytes of the data: damaged data crashes the process,
 * and data of another program of the same length runs as that program.
 */
import {createRequire} from "node:module"

const require = createRequire(import.meta.url)
// As ES modules, the built-in modules would also load their parts that are not used here.
const {createHash} = require("node:crypto")
const {readFileSync, renameSync, writeFileSync} = require("node:fs")
const {Script} = require("node:vm")

const DIGEST = "sha256"
const DIGEST_BYTES = 32

/**
 * Compiles the program in `file` and runs it. The text of the program is a function
 * expression with the first parameters of a CommonJS module. It is ASCII.
 *
 * Returns the script and whether V8 used the cache in `cacheFile`. Without a usable cache,
 * V8 compiles the program itself.
 */
export function runProgram(file, cacheFile) {
  const program = readFileSync(file)
  const cachedData = readCache(program, cacheFile)
  const script = new Script(program.latin1Slice(), {filename: file, cachedData})
  const module = {exports: {}}
  const run = script.runInThisContext()
  run(module.exports, require, module)
  const cacheUsed = cachedData !== undefined && script.cachedDataRejected === false
  return {script, cacheUsed}
}

/** Returns V8's data if the file is complete and was made for this program. */
function readCache(program, cacheFile) {
  let cache
  try {
    cache = readFileSync(cacheFile)
  } catch {
    return undefined
  }
  const data = cache.subarray(DIGEST_BYTES)
  const expected = cache.subarray(0, DIGEST_BYTES)
  return digestOf(program, data).equals(expected) ? data : undefined
}

/** Writes the code that V8 has compiled so far for the program in `file`. */
export function writeCache(script, file, cacheFile) {
  const data = script.createCachedData()
  const digest = digestOf(readFileSync(file), data)
  const partFile = `${cacheFile}.part`
  writeFileSync(partFile, Buffer.concat([digest, data]))
  renameSync(partFile, cacheFile)
}

function digestOf(program, data) {
  return createHash(DIGEST).update(program).update(data).digest()
}
