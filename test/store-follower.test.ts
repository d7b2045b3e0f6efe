/** Lists and watches of a box that follows the store, with a store that fails in one of them. */
import t from "tap"
import {type FollowerEvents, StoreFollower} from "../src/adapters/store-follower.js"
import {LIST_INTERVAL_MS} from "../src/core/snapshot-age.js"
import {KvUnavailable, KvUnknown} from "../src/errors.js"
import type {KvStore} from "../src/ports/ports.js"
import {until} from "./support/wait.js"

const PREFIX = "a/"

/** When each list was asked for, and what the follower told. */
interface Seen {
  readonly lists: number[]
  readonly troubles: string[]
  readonly cuts: string[]
}

/** A store of which only lists and watches are asked; it cuts all watches. */
function createStore(seen: Seen, refuses: () => boolean): KvStore {
  const list: KvStore["list"] = () => {
    seen.lists.push(performance.now())
    if (refuses()) return Promise.reject(new KvUnavailable("refused"))
    return Promise.resolve({entries: [], revision: 1, more: false})
  }
  const watch: KvStore["watch"] = () => Promise.reject(new KvUnknown("reset"))
  return {list, watch} as Partial<KvStore> as KvStore
}

function follow(store: KvStore, seen: Seen, watches: boolean): StoreFollower {
  const events: FollowerEvents = {
    list: () => undefined,
    change: () => undefined,
    trouble: (_, reason) => seen.troubles.push(reason),
    cut: (_, reason) => seen.cuts.push(reason)
  }
  return new StoreFollower(store, [PREFIX], watches, events)
}

const createSeen = (): Seen => ({lists: [], troubles: [], cuts: []})

// A leader whose watch was reset took that for trouble with the store, and kept servers that had left.
t.test("a watch that is cut is no trouble: a list follows soon", async t => {
  const seen = createSeen()
  const follower = follow(
    createStore(seen, () => false),
    seen,
    true
  )
  t.teardown(() => follower.stop())
  await until("a third list", () => seen.lists.length >= 3)
  t.ok(seen.cuts.length >= 2)
  t.same(seen.troubles, [])
  t.notOk(follower.isFailing(performance.now()))
  const [first = 0, second = Infinity] = seen.lists
  t.ok(
    second - first < LIST_INTERVAL_MS,
    `the next list after ${Math.round(second - first)} ms`
  )
})

t.test("a list that fails is trouble until one is answered", async t => {
  const seen = createSeen()
  let refuses = true
  const follower = follow(
    createStore(seen, () => refuses),
    seen,
    false
  )
  t.teardown(() => follower.stop())
  await until("a list failed", () => seen.troubles.length > 0)
  t.ok(follower.isFailing(performance.now()))
  refuses = false
  await until("a list is answered", () => !follower.isFailing(performance.now()))
  t.same(seen.cuts, [])
})
