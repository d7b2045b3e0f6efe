/** Where a box learns of the world: from its leader, or from the store. */
import t from "tap"
import {isUsable} from "../src/core/backend-list.js"
import {createBoxServing} from "../src/core/box-state.js"
import {stepRouted} from "../src/core/serving.js"
import type {RoutedState} from "../src/core/serving-fleet.js"
import {clockNow} from "../src/adapters/clock.js"
import {type NewsOptions, NewsSource} from "../src/adapters/news-source.js"
import {StoreEras} from "../src/adapters/era-source.js"
import {SettledEra} from "../src/adapters/settled-era.js"
import {StoreFollower} from "../src/adapters/store-follower.js"
import {KvRefused} from "../src/errors.js"
import type {FleetRecords} from "../src/ports/fleet-ports.js"
import type {KvStore} from "../src/ports/ports.js"
import type {FromLeader} from "../src/types/box-messages.js"
import type {BackendRecord} from "../src/types/fleet.js"

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

const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms))

/** A source on the given store; whatever else it asks or tells goes nowhere but where `more` says. */
function createSource(kv: unknown, more: Partial<NewsOptions> = {}): NewsSource {
  const eras = new StoreEras(() => undefined)
  const settled = new SettledEra({
    kv: kv as KvStore,
    key: "settled",
    eras,
    post: () => undefined,
    log: () => undefined
  })
  return new NewsSource({
    kv: kv as KvStore,
    records: RECORDS,
    post: () => undefined,
    log: () => undefined,
    learned: () => undefined,
    startedAt: -10_000,
    renewed: () => undefined,
    askBoxes: () => Promise.resolve(undefined),
    askLeader: () => undefined,
    askAll: () => undefined,
    eras,
    settled,
    ...more
  })
}

/** A store that never answers. */
const SILENT = {list: () => new Promise(() => undefined)}

// Seen in soaks: a server that lapsed for the box alone was never told of again.
t.test("a box that goes back to its leader's news asks for all of it", async t => {
  let asked = 0
  const news = createSource(SILENT, {startedAt: 0, askAll: () => asked++})
  news.choose(false, 1_000)
  t.equal(asked, 0, "nobody leads: it follows the store")
  news.heardLeader(100, 100, 2_000)
  news.choose(false, 2_010)
  t.equal(asked, 1)
  news.choose(false, 2_100)
  t.equal(asked, 1, "once is enough")
  news.choose(false, 9_000)
  news.heardLeader(100, 100, 9_100)
  news.choose(false, 9_110)
  t.equal(asked, 2, "and again after the next time")
})

/** A source whose calls of the store are counted and never answered. */
function countLists(): {readonly news: NewsSource; readonly listed: () => number} {
  let listed = 0
  const kv = {list: () => (listed++, new Promise(() => undefined))}
  const news = createSource(kv, {startedAt: 0})
  return {news, listed: () => listed}
}

t.test("a box that starts gives itself a moment to find its leader", async t => {
  const {news, listed} = countLists()
  news.choose(false, 500)
  t.equal(listed(), 0)
  news.choose(false, 700)
  t.equal(listed(), 2, "both prefixes")
  news.stopFollowing()
})

/** From here on a box has to read the store itself, to know within two seconds, milliseconds. */
const OLDEST_MS = 1_300

// Waits of single hops added up to more than the two seconds within which a departure must be known.
t.test("what a box hears of its leader grows old from when that read it", async t => {
  const {news, listed} = countLists()
  t.teardown(() => news.stopFollowing())
  news.heardLeader(1_000, 1_000, 10_000)
  news.choose(false, 10_000)
  t.equal(listed(), 0, "still new enough")
  news.choose(false, 10_000 + OLDEST_MS - 1_000)
  t.equal(listed(), 2)
})

t.test(
  "a box among many waits no longer for a silent leader than one of few",
  async t => {
    const {news, listed} = countLists()
    t.teardown(() => news.stopFollowing())
    news.heardLeader(0, 0, 10_000)
    news.choose(false, 10_000 + OLDEST_MS)
    t.equal(listed(), 2)
  }
)

t.test("a leader whose watch is deaf reads a change within a second", async t => {
  const silent = {
    watch: (_prefix: string, _after: number, _take: unknown, signal: AbortSignal) =>
      new Promise((_resolve, reject) => {
        const timer = setTimeout(() => reject(new Error("no answer")), 1_250)
        signal.addEventListener("abort", () => {
          clearTimeout(timer)
          reject(new Error("aborted"))
        })
      }),
    list: () => {
      lists.push(performance.now())
      return Promise.resolve({entries: [], revision: 1, more: false})
    }
  }
  const lists: number[] = []
  const follower = new StoreFollower(silent as unknown as KvStore, ["servers/"], true, {
    list: () => undefined,
    change: () => undefined,
    trouble: () => undefined,
    cut: () => undefined
  })
  await new Promise(resolve => setTimeout(resolve, 3_600))
  follower.stop()
  const gaps = lists.slice(1).map((at, i) => at - (lists[i] ?? at))
  t.ok(lists.length >= 3)
  t.ok(Math.max(...gaps) < 1_200, `${gaps.map(Math.round).join(", ")} ms`)
})

// The report: a leader kept a server that had left for good, and told nobody, since the store had once turned its box away.
t.test("trouble that a box had before it led keeps no server that leaves", async t => {
  const serving = createBoxServing({
    dataCentre: "a",
    retry: {ratio: 0.2, slack: 60, windowMs: 10_000},
    handoverMs: 0,
    random: () => 0
  })
  let state: RoutedState = {serving, fleet: undefined}
  let refuses = true
  let servers = ["servers/a", "servers/b"]
  const answer = (prefix: string): object => ({
    entries:
      prefix === RECORDS.backendPrefix
        ? servers.map(key => ({key, value: "", revision: 1}))
        : [],
    revision: 1,
    more: false
  })
  const kv = {
    list: (prefix: string) =>
      refuses
        ? Promise.reject(new Error("turned away"))
        : Promise.resolve(answer(prefix)),
    watch: () =>
      new Promise((_resolve, reject) => setTimeout(reject, 100, new Error("cut")))
  } as unknown as KvStore
  const news = createSource(kv, {
    records: {
      ...RECORDS,
      readBackend: ({key, revision}) => ({
        id: key.slice(RECORDS.backendPrefix.length),
        server: key.slice(RECORDS.backendPrefix.length),
        revision,
        service: "s",
        address: "10.0.0.1:80",
        dataCentre: "a",
        leaving: false,
        models: []
      })
    },
    post: event => (state = stepRouted(state, event, performance.now()).state)
  })
  t.teardown(() => news.stopFollowing())
  news.choose(false, performance.now())
  await sleep(50)
  news.heardLeader(0, 0, performance.now())
  news.choose(false, performance.now())
  refuses = false
  news.choose(true, performance.now())
  await sleep(50)
  t.ok(isUsable(serving.backends, "b"))
  servers = ["servers/a"]
  await sleep(1_500)
  t.notOk(isUsable(serving.backends, "b"))
})

/** A source whose calls of the store are answered by hand, with what it told the box of its news. */
function followByHand() {
  const answers: ((answer: object) => void)[] = []
  const news: number[] = []
  const list = () => new Promise(resolve => answers.push(resolve))
  const source = createSource(
    {list},
    {
      post: event => {
        if (event.type === "news") news.push(event.at)
      }
    }
  )
  const answerAll = async (): Promise<void> => {
    for (const answer of answers.splice(0)) {
      answer({entries: [], revision: 1, more: false})
    }
    await sleep(5)
  }
  return {source, news, answers, answerAll}
}

t.test("after a standstill a box believes its leader once it has read", async t => {
  const {source, news, answers, answerAll} = followByHand()
  t.teardown(() => source.stopFollowing())
  const now = performance.now()
  source.heardLeader(0, 0, now - 3_000)
  source.resume(now)
  // It may have lain in the link's buffer for all the time.
  source.heardLeader(100, 100, now)
  t.same(news, [now - 3_000])
  source.choose(false, now)
  t.equal(answers.length, 2, "it reads both prefixes")
  await answerAll()
  t.equal(news.length, 2)
  t.ok((news[1] ?? 0) >= now)
  source.heardLeader(0, 0, now + 50)
  t.equal(news[2], now + 50)
})

t.test("a short standstill costs no call", async t => {
  const {source, answers} = followByHand()
  const now = performance.now()
  source.heardLeader(0, 0, now - 800)
  source.resume(now)
  source.choose(false, now)
  t.equal(answers.length, 0)
})

t.test("requests do not wait for news that is not to be had", async t => {
  const {source, news} = followByHand()
  t.teardown(() => source.stopFollowing())
  const now = performance.now()
  source.heardLeader(0, 0, now - 3_000)
  source.resume(now)
  source.choose(false, now)
  t.same(news, [now - 3_000], "its lists are asked for, and not late")
  source.choose(false, now + 200)
  t.equal(news.at(-1), now + 200)
})

const SERVER: BackendRecord = {
  id: "s1",
  server: "s1",
  revision: 1,
  service: "s",
  address: "127.0.0.1:1",
  dataCentre: "d",
  leaving: false,
  models: []
}

function tellWhole(records: readonly BackendRecord[]): FromLeader {
  return {t: "backends", records, whole: true, gone: [], ageMs: 0}
}

/** A source that lists these servers from its store at once, and how often it asked for all. */
function createListing(servers: () => readonly BackendRecord[]) {
  let asked = 0
  const list = (prefix: string) => {
    const listed = prefix === RECORDS.backendPrefix ? servers() : []
    const entries = listed.map((record, i) => ({
      key: prefix + record.server,
      value: "",
      revision: record.revision + i
    }))
    return Promise.resolve({entries, revision: 1, more: false})
  }
  const readBackend: FleetRecords["readBackend"] = ({key}) => {
    const found = servers().find(each => RECORDS.backendPrefix + each.server === key)
    return found ?? RECORDS.readBackend({key, value: "", revision: 0})
  }
  const records = {...RECORDS, readBackend}
  const news = createSource({list}, {records, startedAt: 0, askAll: () => asked++})
  return {news, asked: () => asked}
}

/** Lists for itself, then hears its leader again. */
async function leaveAndReturn(
  news: NewsSource,
  at: number,
  between: () => void = () => undefined
): Promise<void> {
  news.choose(false, at)
  await sleep(20)
  between()
  news.heardLeader(100, 100, at + 100)
  news.choose(false, at + 110)
}

// All boxes go over to a new leader within half a second. Each had all told twice, as it linked and as
// it asked, and a leader on a narrow link lost its lease behind these messages, and so did the next one.
t.test(
  "a box that was just told all by its leader does not ask for it again",
  async t => {
    const {news, asked} = createListing(() => [SERVER])
    await leaveAndReturn(news, 2_000, () => news.takeNews(tellWhole([SERVER])))
    t.equal(asked(), 0, "it has read nothing since")
  }
)

// Boxes that hear a narrow link's leader late list for themselves, and came back to ask for all at once.
t.test(
  "a box asks for all where its own reading differs from what it was told",
  async t => {
    let servers = [SERVER]
    const {news, asked} = createListing(() => servers)
    news.takeNews(tellWhole(servers))
    await leaveAndReturn(news, 3_000)
    t.equal(asked(), 0, "it read what its leader had told")
    const other = {...SERVER, id: "s2", server: "s2"}
    servers = [SERVER, other]
    await leaveAndReturn(news, 6_000)
    t.equal(asked(), 1, "it read a server that it was not told of")
    news.takeNews(tellWhole(servers))
    await leaveAndReturn(news, 9_000)
    t.equal(asked(), 1)
    servers = [SERVER]
    await leaveAndReturn(news, 12_000)
    t.equal(asked(), 2, "a server that it was told of was not in its list")
    news.takeNews(tellWhole([SERVER, other]))
    news.takeNews({t: "backends", records: [], whole: false, gone: ["s2"], ageMs: 0})
    await leaveAndReturn(news, 15_000)
    t.equal(asked(), 2, "its leader had told that it is gone")
    servers = [{...SERVER, leaving: true, revision: 2}]
    await leaveAndReturn(news, 18_000)
    t.equal(asked(), 3, "it leaves, of which it was not told")
  }
)

t.test("a box that had trouble with the store asks, whatever it was told", async t => {
  let asked = 0
  const failing = {list: () => Promise.reject(new KvRefused("the store answered 503"))}
  const news = createSource(failing, {startedAt: 0, askAll: () => asked++})
  news.choose(false, 1_000)
  await sleep(20)
  news.takeNews(tellWhole([]))
  news.heardLeader(100, 100, 2_000)
  news.choose(false, 2_010)
  t.equal(asked, 1, "what was in doubt may be gone for it alone")
})

// Seen after drills: the reading for another box found no server yet, and what lapsed by it was never told again.
t.test("a box whose reading for another one differs asks its leader for all", async t => {
  let asked = 0
  const list = (): Promise<unknown> => Promise.resolve({entries: [], revision: 1})
  const get = (): Promise<unknown> => Promise.resolve(undefined)
  const news = createSource({list, get}, {startedAt: 0, askAll: () => asked++})
  news.heardLeader(5_000, 5_000, clockNow())
  news.takeNews({
    t: "backends",
    records: [SERVER],
    whole: true,
    gone: [],
    ageMs: 5_000,
    sentAt: 0
  })
  await news.refresh(0)
  t.equal(asked, 1)
})
