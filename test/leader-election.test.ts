/** How soon a box without a leader finds one that another box has become meanwhile. */
import t, {type Test} from "tap"
import {clockNow} from "../src/adapters/clock.js"
import {StoreEras} from "../src/adapters/era-source.js"
import {type ElectionEvents, LeaderElection} from "../src/adapters/leader-election.js"
import {KvUnknown} from "../src/errors.js"
import type {KvEntry, KvStore} from "../src/ports/ports.js"
import {until} from "./support/wait.js"

/** Interval at which a box without a leader looks for one. */
const LOOK_INTERVAL_MS = 250

/** Longest time until a box that found no leader claims, if it is not weak. */
const SCATTER_MS = 200

/** For timers and turns of the event loop on a busy machine. */
const MARGIN_MS = 100

const OTHER = {box: "other", incarnation: "other", address: "127.0.0.1:1"}

/** Starts the election of a box that expects three boxes. */
function startElection(
  kv: KvStore,
  events: Partial<ElectionEvents>,
  isWeak = false
): LeaderElection {
  return new LeaderElection(
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
      won: () => undefined,
      lost: () => undefined,
      suspended: () => undefined,
      confirmed: () => undefined,
      leaderFound: () => undefined,
      unreadable: () => undefined,
      noLeaderFound: () => undefined,
      boxCount: () => 3,
      medianAgeMs: () => 0,
      isWeak: () => isWeak,
      renewByOthers: () => Promise.reject(new Error("unused")),
      renewedByOthers: () => undefined,
      ...events
    }
  )
}

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
    election = startElection(
      kv,
      {
        won: () => t.fail("the claim of the other box stands"),
        leaderFound: () => resolve(clockNow())
      },
      isWeak
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
  const election = startElection(kv, {won: () => void wonAt.push(clockNow())}, true)
  await until("it leads", () => wonAt.length === 1)
  await new Promise(resolve => setTimeout(resolve, LOOK_INTERVAL_MS))
  const resignedAt = clockNow()
  election.resign("a stronger box is there")
  await until("it leads again", () => wonAt.length === 2)
  const waitedMs = (wonAt[1] ?? 0) - resignedAt
  await election.stop()
  t.ok(waitedMs >= LOOK_INTERVAL_MS + 150, `${Math.round(waitedMs)} ms`)
})

// Guards against a second leader (ONE): a claim that is carried out late, under a lease of
// its own, was taken for the next claim, and the box renewed a lease that held no key.
t.test("a claim that is carried out late is not taken for the next one", async t => {
  const leases: string[] = []
  const revoked: string[] = []
  const claims: {value: string; lease: string | undefined}[] = []
  let won = 0
  let standing: KvEntry | undefined
  const kv = {
    get: () => Promise.resolve(standing),
    grantLease: () => {
      leases.push(`lease-${leases.length + 1}`)
      return Promise.resolve(leases.at(-1))
    },
    revokeLease: (lease: string) => {
      revoked.push(lease)
      if (claims[0]?.lease === lease && standing) standing = undefined
      // The end of the first lease is lost before its claim is carried out.
      return Promise.reject(new KvUnknown("no answer"))
    },
    keepAlive: () => Promise.resolve(true),
    put: (key: string, value: string, {lease}: {lease?: string}) => {
      claims.push({value, lease})
      const [first] = claims
      if (claims.length > 2) return Promise.resolve({ok: true, revision: 3})
      // The first claim is carried out while the second one waits for its answer.
      if (claims.length === 2 && first) {
        standing = {key, value: first.value, revision: 2} as KvEntry
      }
      return Promise.reject(new KvUnknown("no answer"))
    }
  } as unknown as KvStore
  const election = startElection(kv, {
    won: () => void won++,
    leaderFound: () => t.fail("only this box claims")
  })
  await until("the second claim", () => claims.length === 2)
  await until("the box leads or looks again", () => won > 0 || revoked.length >= 2)
  t.equal(won, 0, "it holds no key under its second lease")
  if (won > 0) return election.stop()
  // It gives up what the late claim holds, and claims again.
  await until("the third claim", () => claims.length === 3)
  await until("it leads", () => won === 1)
  t.ok(revoked.includes("lease-1"))
  await election.stop()
})
