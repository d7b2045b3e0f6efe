/**
 * Guards against two test files that get the same port. Files run at the same time, and
 * a box listens on its port only some time after the port was assigned. Two files with
 * nearby first ports got the same one, so one of two boxes exited and a test timed out.
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
      // Ends after the test, so that its ports stay taken while the others take theirs.
      t.teardown(() => taker.kill())
    })
  })
}

t.test("processes that run at the same time get different ports", async t => {
  const taken = (await Promise.all(Array.from({length: PROCESSES}, takePorts))).flat()
  t.equal(taken.length, PROCESSES * PORTS)
  t.ok(
    takers.every(({exitCode}) => exitCode === null),
    "all processes still hold their ports"
  )
  t.equal(new Set(taken).size, taken.length)
})
