/** What a box believes of backend servers whose entries vanish. */
import t from "tap"
import {
  type BackendList,
  createBackendList,
  expireBackends,
  noteStoreBack,
  noteStoreTrouble,
  RETURN_MS,
  takeBackend,
  takeBackends
} from "../src/core/backend-list.js"
import type {BackendRecord} from "../src/types/fleet.js"

function record(id: string, leaving = false): BackendRecord {
  const address = "10.0.0.1:80"
  return {id, service: "s", address, dataCentre: "a", leaving, models: []}
}

const ids = ({known}: BackendList): string[] => [...known.keys()].sort()

t.test("an entry that goes while the store is well is gone at once", async t => {
  const list = takeBackends(createBackendList(), [record("a"), record("b")], 0)
  t.same(ids(takeBackend(list, "a", undefined, 10)), ["b"])
  t.same(ids(takeBackends(list, [record("a")], 10)), ["a"])
})

t.test(
  "an entry that lapsed while the store was away has two seconds to return",
  async t => {
    const full = takeBackends(createBackendList(), [record("a"), record("b")], 0)
    const away = noteStoreTrouble(full, 1_000)
    const back = takeBackends(noteStoreBack(away, 5_000), [record("b")], 5_000)
    t.same(ids(expireBackends(back, 5_000 + RETURN_MS - 1)), ["a", "b"])
    t.same(ids(expireBackends(back, 5_000 + RETURN_MS)), ["b"], "then it is gone")
    const returned = takeBackend(back, "a", record("a"), 6_000)
    t.same(ids(expireBackends(returned, 9_000)), ["a", "b"], "or it came back")
  }
)

t.test("without the store nothing is given up, however long it is away", async t => {
  const full = takeBackends(createBackendList(), [record("a")], 0)
  const away = takeBackend(noteStoreTrouble(full, 1_000), "a", undefined, 2_000)
  t.same(ids(expireBackends(away, 600_000)), ["a"])
})

// A box that was turned away by the store and went back to its leader's news kept such servers for good.
t.test("what the leader says is gone is gone, whatever trouble the box had", async t => {
  const full = takeBackends(createBackendList(), [record("a"), record("b")], 0)
  const away = noteStoreTrouble(full, 1_000)
  t.same(ids(takeBackend(away, "a", undefined, 2_000, "leader")), ["b"])
  t.same(ids(takeBackends(away, [record("b")], 2_000, "leader")), ["b"])
  const doubted = takeBackend(away, "a", undefined, 1_500)
  t.same(ids(takeBackends(doubted, [record("b")], 2_000, "leader")), ["b"])
})

t.test("a server that said it leaves is leaving, whoever has older news", async t => {
  const full = takeBackends(createBackendList(), [record("a", true)], 0)
  const older = takeBackends(full, [record("a")], 500, "leader")
  t.ok(older.known.get("a")?.record.leaving)
  t.ok(takeBackend(older, "a", record("a"), 600).known.get("a")?.record.leaving)
  const gone = takeBackend(older, "a", undefined, 700)
  t.ok(takeBackends(gone, [record("a")], 800).known.get("a")?.record.leaving)
})

t.test("a server that said it leaves did not lapse", async t => {
  const full = takeBackends(createBackendList(), [record("a", true)], 0)
  t.same(ids(takeBackend(noteStoreTrouble(full, 1_000), "a", undefined, 2_000)), [])
})
