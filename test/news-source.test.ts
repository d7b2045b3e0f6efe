/** Where a box learns of the world: from its leader, or from the store. */
import t from "tap"
import {NewsSource} from "../src/adapters/news-source.js"
import type {FleetRecords} from "../src/ports/fleet-ports.js"
import type {KvStore} from "../src/ports/ports.js"

const RECORDS: FleetRecords = {
  configKey: "op/config",
  operatorPrefix: "op/",
  backendPrefix: "servers/",
  readConfig: () => undefined,
  readVersion: () => undefined,
  readBackend: () => {
    throw new Error("there is none")
  }
}

/** A store that never answers. */
const SILENT = {list: () => new Promise(() => undefined)} as unknown as KvStore

// Seen in soaks: a server that lapsed for the box alone was never told of again.
t.test("a box that goes back to its leader's news asks for all of it", async t => {
  let asked = 0
  const news = new NewsSource({
    kv: SILENT,
    records: RECORDS,
    post: () => undefined,
    log: () => undefined,
    learned: () => undefined,
    startedAt: 0,
    askLeader: () => undefined,
    askAll: () => asked++
  })
  news.choose(false, 1_000)
  t.equal(asked, 0, "nobody leads: it follows the store")
  news.heardLeader(100, 250, 2_000)
  news.choose(false, 2_010)
  t.equal(asked, 1)
  news.choose(false, 2_100)
  t.equal(asked, 1, "once is enough")
  news.choose(false, 9_000)
  news.heardLeader(100, 250, 9_100)
  news.choose(false, 9_110)
  t.equal(asked, 2, "and again after the next time")
})

t.test("a box that starts gives itself a moment to find its leader", async t => {
  let listed = 0
  const kv = {list: () => (listed++, new Promise(() => undefined))} as unknown as KvStore
  const news = new NewsSource({
    kv,
    records: RECORDS,
    post: () => undefined,
    log: () => undefined,
    learned: () => undefined,
    startedAt: 0,
    askLeader: () => undefined,
    askAll: () => undefined
  })
  news.choose(false, 500)
  t.equal(listed, 0)
  news.choose(false, 700)
  t.equal(listed, 2, "both prefixes")
  news.stopFollowing()
})
