/**
 * Calls that a box repeats while it waits for a processor (RECOVER): they keep those from
 * running whose answers it waits for.
 */
import {setTimeout as sleep} from "node:timers/promises"
import t, {type Test} from "tap"
import {LeaderElection} from "../src/adapters/leader-election.js"
import {StoreEras} from "../src/adapters/era-source.js"
import {StoreFollower} from "../src/adapters/store-follower.js"
import {KvUnavailable} from "../src/errors.js"
import type {KvStore} from "../src/ports/ports.js"
import {passIfKnownRed} from "./support/known-red.js"

/** How late the event loop is in each turn. */
const LAG_MS = 100

const OBSERVED_MS = 5_000

/** Calls of one kind that a starved box may repeat in a second. */
const MAX_CALLS_PER_S = 1

/** A store that rejects all calls, and counts them. */
function rejectAll(): {kv: KvStore; calls: () => number} {
  let calls = 0
  const reject = (): Promise<never> => {
    calls++
    return Promise.reject(new KvUnavailable("no"))
  }
  return {kv: {get: reject, list: reject} as unknown as KvStore, calls: () => calls}
}

/** Keeps the processor busy until the end of the test, as other processes do. */
async function starve(t: Test): Promise<void> {
  const timer = setInterval(() => {
    const until = performance.now() + LAG_MS
    while (performance.now() < until);
  })
  t.teardown(() => clearInterval(timer))
  await sleep(10 * LAG_MS)
}

async function countCalls(t: Test, calls: () => number): Promise<void> {
  const before = calls()
  await sleep(OBSERVED_MS)
  const count = calls() - before
  const most = MAX_CALLS_PER_S * (OBSERVED_MS / 1000)
  t.ok(count > 0 && count <= most, `${count} calls in ${OBSERVED_MS} ms`)
}

// RECOVER: lists that failed were repeated twice a second, by boxes that had no processor.
if (!passIfKnownRed("starved-repeats 1")) {
  t.test("a starved box repeats failed lists seldom", async t => {
    const {kv, calls} = rejectAll()
    await starve(t)
    const events = {
      list: () => undefined,
      change: () => undefined,
      listFailed: () => undefined,
      watchFailed: () => undefined
    }
    const follower = new StoreFollower(kv, ["a/"], false, events)
    t.teardown(() => follower.stop())
    await sleep(1_000)
    await countCalls(t, calls)
  })
}

// RECOVER: boxes that had no processor looked for a leader four times a second.
if (!passIfKnownRed("starved-repeats 2")) {
  t.test("a starved box looks for a leader seldom", async t => {
    const {kv, calls} = rejectAll()
    await starve(t)
    const self = {box: "a", incarnation: "a", address: "127.0.0.1:1"}
    const election = new LeaderElection(
      kv,
      {
        key: "leader",
        self,
        eras: new StoreEras(() => undefined),
        ttlMs: 1_200,
        marginMs: 200,
        checksFences: true,
        orderGapMs: 3_000
      },
      {
        won: () => undefined,
        lost: () => undefined,
        suspended: () => undefined,
        confirmed: () => undefined,
        leaderFound: () => undefined,
        unreadable: () => undefined,
        noLeaderFound: () => undefined,
        boxCount: () => 1,
        medianAgeMs: () => 0,
        isWeak: () => false,
        renewByOthers: () => Promise.resolve(false),
        renewedByOthers: () => undefined
      }
    )
    t.teardown(() => election.stop())
    await sleep(1_000)
    await countCalls(t, calls)
  })
}
