/** How soon a box without a leader finds one that another box has become meanwhile. */
import t, {type Test} from "tap"
import {clockNow} from "../src/adapters/clock.js"
import {StoreEras} from "../src/adapters/era-source.js"
import {LeaderElection} from "../src/adapters/leader-election.js"
import type {KvEntry, KvStore} from "../src/ports/ports.js"
import {until} from "./support/wait.js"

/** Interval at which a box without a leader looks for one. */
const LOOK_INTERVAL_MS = 250

/** Longest time until a box that found no leader claims, if it is not weak. */
const SCATTER_MS = 200

/** For timers and turns of the event loop on a busy machine. */
const MARGIN_MS = 100

const OTHER = {box: "other", incarnation: "other", address: "127.0.0.1:1"}

/**
 * Returns how long a box takes to find a leader that claims after `claimedMs`, from then
 * on.
 */
async function timeToFindLeader(
  t: Test,
  claimedMs: number,
  isWeak: boolean
): Promise<number> {
  const claimedAt = clockNow() + claimedMs
  const entry = {key: "leader", value: JSON.stringify(OTHER), revision: 1} as KvEntry
  const kv = {
    get: () => Promise.resolve(clockNow() < claimedAt ? undefined : entry),
    grantLease: () => Promise.resolve("lease"),
    revokeLease: () => Promise.resolve(),
    put: () => Promise.resolve({ok: false})
  } as unknown as KvStore
  let election: LeaderElection | undefined
  const foundAt = await new Promise<number>(resolve => {
    election = new LeaderElection(
      kv,
      {
        key: "leader",
        self: {box: "own", incarnation: "own", address: "127.0.0.1:2"},
        eras: new StoreEras(() => undefined),
        ttlMs: 1_200,
        marginMs: 200,
        checksFences: true,
        orderGapMs: 0
      },
      {
        won: () => t.fail("the claim of the other box stands"),
        lost: () => undefined,
        suspended: () => undefined,
        confirmed: () => undefined,
        leaderFound: () => resolve(clockNow()),
        boxCount: () => 3,
        medianAgeMs: () => 0,
        isWeak: () => isWeak,
        renewByOthers: () => Promise.reject(new Error("unused")),
        renewedByOthers: () => undefined
      }
    )
  })
  await election?.stop()
  return foundAt - claimedAt
}

// Soak round 99001: a box that was cut off from engines resigned, and linked to its
// successor 770 ms after that began to lead. Meanwhile it refused calls for lack of a
// leader.
t.test("a weak box that waits before it claims still looks for a leader", async t => {
  for (let i = 0; i < 3; i++) {
    const ms = await timeToFindLeader(t, 50, true)
    t.ok(ms <= LOOK_INTERVAL_MS + MARGIN_MS, `${Math.round(ms)} ms`)
  }
})

t.test("a box whose claim comes second looks for the leader at once", async t => {
  for (let i = 0; i < 3; i++) {
    const ms = await timeToFindLeader(t, 5, false)
    t.ok(ms <= SCATTER_MS + MARGIN_MS, `${Math.round(ms)} ms`)
  }
})

// Guards against a leader that resigns in favour of a stronger box and claims again at once,
// by the time at which it had found no leader before its own lead.
t.test("a weak box that led before waits anew before it claims", async t => {
  let claims = 0
  const kv = {
    get: () => Promise.resolve(undefined),
    grantLease: () => Promise.resolve(`lease-${claims}`),
    revokeLease: () => Promise.resolve(),
    keepAlive: () => Promise.resolve(true),
    put: () => Promise.resolve({ok: true, revision: ++claims})
  } as unknown as KvStore
  const wonAt: number[] = []
  const election = new LeaderElection(
    kv,
    {
      key: "leader",
      self: {box: "own", incarnation: "own", address: "127.0.0.1:2"},
      eras: new StoreEras(() => undefined),
      ttlMs: 1_200,
      marginMs: 200,
      checksFences: true,
      orderGapMs: 0
    },
    {
      won: () => void wonAt.push(clockNow()),
      lost: () => undefined,
      suspended: () => undefined,
      confirmed: () => undefined,
      leaderFound: () => undefined,
      boxCount: () => 3,
      medianAgeMs: () => 0,
      isWeak: () => true,
      renewByOthers: () => Promise.reject(new Error("unused")),
      renewedByOthers: () => undefined
    }
  )
  await until("it leads", () => wonAt.length === 1)
  await new Promise(resolve => setTimeout(resolve, LOOK_INTERVAL_MS))
  const resignedAt = clockNow()
  election.resign("a stronger box is there")
  await until("it leads again", () => wonAt.length === 2)
  const waitedMs = (wonAt[1] ?? 0) - resignedAt
  await election.stop()
  t.ok(waitedMs >= LOOK_INTERVAL_MS + 150, `${Math.round(waitedMs)} ms`)
})
