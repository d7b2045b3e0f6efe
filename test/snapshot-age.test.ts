/**
 * Age of a box's store snapshot, and requests to other boxes if it can't read the store.
 */
import t from "tap"
import {PeerSnapshots, type RequestLink} from "../src/adapters/peer-snapshots.js"
import {
  createSnapshotAge,
  hasFreshLeaderRead,
  isNewerSnapshot,
  LATE_ANSWER_MS,
  LIST_INTERVAL_MS,
  peerReadPauseMs,
  snapshotAgeMs,
  recordLeaderRead,
  recordRead,
  REFRESH_AGE_MS
} from "../src/core/snapshot-age.js"
import {IDLE_TICK_MS} from "../src/core/serving.js"
import {parseToLeader} from "../src/types/box-frames.js"
import type {StoreSnapshotRequest, StoreSnapshot} from "../src/types/box-messages.js"

/** Time within which a box must know that a server leaves. */
const BOUND_MS = 2_000

/**
 * A store read over a new connection between data centres, with processing at both ends.
 */
const ROUND_TRIP_MS = 50

const ASK: StoreSnapshotRequest = {t: "ask-news", configVersion: -1, ageMs: Infinity}

const NEWS: StoreSnapshot = {t: "news", ageMs: 0, records: [], versions: []}

t.test(
  "the delays from a write in the store to the last send stay within the bound",
  async t => {
    const ofLeader = LIST_INTERVAL_MS + LATE_ANSWER_MS + IDLE_TICK_MS + ROUND_TRIP_MS
    t.ok(
      ofLeader <= REFRESH_AGE_MS,
      "updates of a leader that reads in time arrive before boxes read the store"
    )
    const ofBox = REFRESH_AGE_MS + IDLE_TICK_MS + LATE_ANSWER_MS + ROUND_TRIP_MS
    const throughOther = ofBox + IDLE_TICK_MS + LATE_ANSWER_MS + ROUND_TRIP_MS
    t.ok(throughOther < BOUND_MS, `${throughOther} ms`)
  }
)

t.test("a snapshot is as old as the newest store read, whichever box read", async t => {
  const own = recordRead(createSnapshotAge(), 1_000)
  t.equal(snapshotAgeMs(createSnapshotAge(), 5_000), Infinity)
  t.equal(snapshotAgeMs(own, 5_000), 4_000)
  const both = recordLeaderRead(own, 4_500)
  t.equal(snapshotAgeMs(both, 5_000), 500)
  t.equal(
    snapshotAgeMs(recordLeaderRead(both, 2_000), 5_000),
    500,
    "an older read changes nothing"
  )
  t.ok(hasFreshLeaderRead(both, 4_500 + REFRESH_AGE_MS - 1))
  t.notOk(hasFreshLeaderRead(both, 4_500 + REFRESH_AGE_MS))
  t.notOk(hasFreshLeaderRead(own, 1_000), "its own read does not count for the leader")
})

// A leader that the store rejected received its own snapshot back from its boxes.
t.test("a box passes on only a snapshot newer than the requester's", async t => {
  t.notOk(isNewerSnapshot(1_000, 1_010), "the leader's own snapshot")
  t.ok(isNewerSnapshot(300, 1_010))
  t.ok(isNewerSnapshot(5_000, Infinity), "the requester has none")
})

t.test("a box without a snapshot may request one", async t => {
  t.same(parseToLeader(ASK), ASK)
  t.same(parseToLeader({...ASK, keepsLink: true}), {...ASK, keepsLink: true})
})

// RECOVER: in an outage the requests of many boxes to each other took the processors that
// the store's calls waited for.
t.test("pauses between requests grow with the number of boxes", async t => {
  const pauses = (boxes: number): number[] =>
    [0, 1, 2, 3, 4, 20].map(failures => peerReadPauseMs(failures, boxes))
  t.same(pauses(1), [250, 500, 1_000, 1_000, 1_000, 1_000])
  t.same(pauses(86), [250, 500, 1_000, 1_720, 1_720, 1_720])
  t.same(pauses(1_000), [250, 500, 1_000, 2_000, 2_000, 2_000])
})

// Others may read the store while it rejects this box.
t.test("with many boxes three requests fit into the bound", async t => {
  const thirdAt =
    LIST_INTERVAL_MS +
    IDLE_TICK_MS +
    peerReadPauseMs(0, 1_000) +
    peerReadPauseMs(1, 1_000)
  t.ok(thirdAt + IDLE_TICK_MS + ROUND_TRIP_MS < BOUND_MS, `${thirdAt} ms`)
})

/** Links to boxes that answer at once. Collects the address of each request. */
function connectWith(
  answer: (address: string) => StoreSnapshot | undefined,
  asked: string[] = []
): (address: string) => RequestLink {
  return address => ({
    address,
    isAsked: false,
    request: () => {
      asked.push(address)
      return Promise.resolve(answer(address))
    },
    close: () => undefined
  })
}

const nothing = (): undefined => undefined

t.test("a box asks a few others and takes the first snapshot", async t => {
  const asked: string[] = []
  const connect = connectWith(address => (address === "c:1" ? NEWS : undefined), asked)
  const help = new PeerSnapshots("self:1", nothing, connect)
  t.equal(await help.fetch(ASK), undefined, "no address is known")
  help.addAddresses(["self:1", "a:1", "b:1", "c:1"])
  t.same(await help.fetch(ASK), NEWS)
  t.same([...asked].sort(), ["a:1", "b:1", "c:1"], "not its own address")
})

t.test("without an answer there is no snapshot and no error", async t => {
  const help = new PeerSnapshots("self:1", nothing, connectWith(nothing))
  help.addAddresses(["a:1", "b:1"])
  t.equal(await help.fetch(ASK), undefined)
})

t.test("of many boxes the latest addresses are remembered", async t => {
  const asked = new Set<string>()
  const help = new PeerSnapshots("self:1", nothing, (address, down) => ({
    address,
    isAsked: false,
    request: () => {
      asked.add(address)
      return Promise.resolve(undefined)
    },
    close: down
  }))
  for (let i = 0; i < 500; i++) help.addAddresses([`box-${i}:1`])
  for (let i = 0; i < 200; i++) await help.fetch(ASK)
  t.ok(asked.size <= 24)
  t.ok(asked.size > 12, `${asked.size} boxes: those of no help make room for others`)
  t.ok([...asked].every(address => Number(/\d+/.exec(address)?.[0]) >= 476))
})

t.test("boxes that helped are asked again, before others", async t => {
  const asked: string[] = []
  const connect = connectWith(
    address => (/[abc]/.test(address) ? NEWS : undefined),
    asked
  )
  const help = new PeerSnapshots("self:1", nothing, connect)
  help.addAddresses(["a:1", "b:1", "c:1", "d:1", "e:1", "f:1"])
  for (let i = 0; i < 2; i++) await help.fetch(ASK)
  asked.splice(0)
  for (let i = 0; i < 5; i++) await help.fetch(ASK)
  t.same([...new Set(asked)].sort(), ["a:1", "b:1", "c:1"])
})

// Others may read the store while it rejects this box and the boxes that it asked first.
t.test("while none helps, three requests ask nine boxes", async t => {
  const asked: string[] = []
  const help = new PeerSnapshots("self:1", nothing, connectWith(nothing, asked))
  for (let i = 0; i < 24; i++) help.addAddresses([`box-${i}:1`])
  for (let i = 0; i < 3; i++) await help.fetch(ASK)
  t.equal(new Set(asked).size, 9)
})
