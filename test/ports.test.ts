/**
 * A whole run of the tests failed once: a box never came up, and its test file ran into its limit.
 * Test files run at the same time, and a port is handed out some time before the box listens on it.
 * Two files whose ports began near each other were handed the same one, and one of two boxes ended.
 */
import {type ChildProcess, fork} from "node:child_process"
import {fileURLToPath} from "node:url"
import t from "tap"

const TAKER = fileURLToPath(new URL("support/take-ports.js", import.meta.url))
const PROCESSES = 6
const PORTS = 400

const takers: ChildProcess[] = []

function takePorts(): Promise<number[]> {
  return new Promise((resolve, reject) => {
    const taker = fork(TAKER, [String(PORTS)])
    takers.push(taker)
    taker.once("error", reject)
    taker.once("message", ports => {
      resolve(ports as number[])
      // Ends only now: what it holds is held while all the others take theirs.
      t.teardown(() => taker.kill())
    })
  })
}

t.test("processes at the same time are never handed the same port", async t => {
  const taken = (await Promise.all(Array.from({length: PROCESSES}, takePorts))).flat()
  t.equal(taken.length, PROCESSES * PORTS)
  t.ok(
    takers.every(({exitCode}) => exitCode === null),
    "all still hold theirs"
  )
  t.equal(new Set(taken).size, taken.length)
})
