/** How old a box's news may become, and whom it asks where it cannot read the store. */
import t from "tap"
import {NewsHelp} from "../src/adapters/news-help.js"
import {
  createNewsAge,
  hearsOfLeader,
  isNewer,
  LATE_MS,
  LIST_MS,
  newsAgeMs,
  noteLeaderReading,
  noteReading,
  OLDEST_MS
} from "../src/core/news-age.js"
import {IDLE_TICK_MS} from "../src/core/serving.js"
import {parseToLeader} from "../src/types/box-frames.js"
import type {StoreSnapshotRequest, StoreSnapshot} from "../src/types/box-messages.js"

/** Within this a box must know that a server leaves, milliseconds. */
const BOUND_MS = 2_000

/** A list over a new connection between data centres, with the work of both ends, milliseconds. */
const ROUND_TRIP_MS = 50

const ASK: StoreSnapshotRequest = {t: "ask-news", configVersion: -1, ageMs: Infinity}

const NEWS: StoreSnapshot = {t: "news", ageMs: 0, records: [], versions: []}

t.test(
  "the waits from the store's word to the last send add up to less than the bound",
  async t => {
    const ofLeader = LIST_MS + LATE_MS + IDLE_TICK_MS + ROUND_TRIP_MS
    t.ok(
      ofLeader <= OLDEST_MS,
      "a leader that reads in time is heard before boxes read themselves"
    )
    const ofBox = OLDEST_MS + IDLE_TICK_MS + LATE_MS + ROUND_TRIP_MS
    const throughOther = ofBox + IDLE_TICK_MS + LATE_MS + ROUND_TRIP_MS
    t.ok(throughOther < BOUND_MS, `${throughOther} ms`)
  }
)

t.test("news is as old as the newest reading it rests on, whoever read", async t => {
  const own = noteReading(createNewsAge(), 1_000)
  t.equal(newsAgeMs(createNewsAge(), 5_000), Infinity)
  t.equal(newsAgeMs(own, 5_000), 4_000)
  const both = noteLeaderReading(own, 4_500)
  t.equal(newsAgeMs(both, 5_000), 500)
  t.equal(
    newsAgeMs(noteLeaderReading(both, 2_000), 5_000),
    500,
    "an older one is nothing new"
  )
  t.ok(hearsOfLeader(both, 4_500 + OLDEST_MS - 1))
  t.notOk(hearsOfLeader(both, 4_500 + OLDEST_MS))
  t.notOk(hearsOfLeader(own, 1_000), "its own reading says nothing of the leader")
})

// A leader that was turned away got its own news back from boxes that had it of this leader.
t.test("a box passes on only what is newer than the asker's own", async t => {
  t.notOk(isNewer(1_000, 1_010), "the leader's own, on its way back")
  t.ok(isNewer(300, 1_010))
  t.ok(isNewer(5_000, Infinity), "it had none")
})

t.test("a box that knows nothing may ask, too", async t => {
  t.same(parseToLeader(ASK), ASK)
})

t.test("a box asks a few others, and takes the first that can read", async t => {
  const asked: string[] = []
  const help = new NewsHelp("self:1", address => {
    asked.push(address)
    return Promise.resolve(address === "c:1" ? NEWS : undefined)
  })
  t.equal(await help.ask(ASK), undefined, "it knows nobody")
  help.learn(["self:1", "a:1", "b:1", "c:1"])
  t.same(await help.ask(ASK), NEWS)
  t.same([...asked].sort(), ["a:1", "b:1", "c:1"], "not itself")
})

t.test("where nobody can read there is no news, and no error", async t => {
  const help = new NewsHelp("self:1", () => Promise.resolve(undefined))
  help.learn(["a:1", "b:1"])
  t.equal(await help.ask(ASK), undefined)
})

t.test("of many boxes it remembers those that it heard of last", async t => {
  const asked = new Set<string>()
  const help = new NewsHelp("self:1", address => {
    asked.add(address)
    return Promise.resolve(undefined)
  })
  for (let i = 0; i < 500; i++) help.learn([`box-${i}:1`])
  for (let i = 0; i < 200; i++) await help.ask(ASK)
  t.ok(asked.size <= 24)
  t.ok([...asked].every(address => Number(/\d+/.exec(address)?.[0]) >= 476))
})
