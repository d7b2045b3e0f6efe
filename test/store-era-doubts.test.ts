/**
 * What a box that starts after a restore of the store may believe. It did not observe the
 * restore, and neither did others that started after it, so nothing that they report may
 * end its doubts.
 */
import t from "tap"
import {clockNow} from "../src/adapters/clock.js"
import {StoreEras} from "../src/adapters/era-source.js"
import {SettledEra} from "../src/adapters/settled-era.js"
import {configAgeMs, isSnapshotCurrent} from "../src/core/box-snapshot-age.js"
import type {BoxServing} from "../src/core/box-state.js"
import {mayBeRestored, mayLackWrites} from "../src/core/eras.js"
import type {ServingEvent} from "../src/core/serving-events.js"
import type {RoutedState} from "../src/core/serving-fleet.js"
import {stepRouted} from "../src/core/serving.js"
import type {KvStore} from "../src/ports/ports.js"
import {Subject} from "./support/box-subject.js"

/** Longest age of a configuration by which keys count, in these tests. */
const KEYS_MS = 4_500

/** Longer than the time in which a restored store may lack acknowledged writes. */
const WRITES_REPEATED_MS = 11_000

interface StartedBox {
  readonly box: BoxServing
  readonly eras: StoreEras
  readonly settled: SettledEra
  readonly post: (event: ServingEvent) => void
  /** Values that the box wrote for boxes that start later. */
  readonly written: string[]
}

/** A box that starts in era 2 and reads from the store which era is settled. */
function startBox(settledValue: string | undefined): StartedBox {
  const {box} = new Subject()
  const state: RoutedState = {serving: box, fleet: undefined}
  const post = (event: ServingEvent): void => void stepRouted(state, event, clockNow())
  const eras = new StoreEras(() => undefined)
  eras.onChange((known, restored) => post({type: "era", known, restored}))
  const written: string[] = []
  const kv = {
    get: () =>
      Promise.resolve(settledValue === undefined ? undefined : {value: settledValue}),
    put: (_: string, value: string) => {
      written.push(value)
      return Promise.resolve({ok: true, revision: 1})
    }
  } as unknown as KvStore
  const settled = new SettledEra({kv, key: "settled", eras, post, log: () => undefined})
  eras.resolveEra("2", clockNow())
  return {box, eras, settled, post, written}
}

/** Records that the box read all of the store just now. */
function readStore({post}: StartedBox): void {
  post({type: "config-read", at: clockNow()})
  post({type: "news", at: clockNow(), read: true})
}

/** Whether the box refuses keys, and does not take a missing key for one that never was. */
function doubtsWrites({box}: StartedBox): boolean {
  const now = clockNow()
  return configAgeMs(box, now) > KEYS_MS && !isSnapshotCurrent(box, now)
}

t.test(
  "a leader that started after the restore does not end a new box's doubt",
  async t => {
    const started = startBox("1")
    await started.settled.check()
    readStore(started)
    t.ok(doubtsWrites(started), "the era is not settled")
    started.eras.handleReport({era: 2, ageMs: 4_000, risen: false})
    t.ok(doubtsWrites(started), "the leader's report is no proof")
    t.ok(started.eras.report(clockNow())?.risen, "others learn of the restore")
  }
)

t.test("a store read of the restored store never counts as one from before", async t => {
  const started = startBox("1")
  readStore(started)
  await new Promise(resolve => setTimeout(resolve, 5))
  await started.settled.check()
  t.ok(doubtsWrites(started), "the read came before the check")
  const leader = startBox(undefined)
  readStore(leader)
  await new Promise(resolve => setTimeout(resolve, 5))
  leader.eras.handleReport({era: 2, ageMs: 0, risen: true})
  t.ok(doubtsWrites(leader), "the read came before the report")
})

// The entries of servers are settled five seconds after a restore, lost writes only after
// ten.
t.test("a box that starts when only the servers are settled doubts writes", async t => {
  const started = startBox("2")
  await started.settled.check()
  readStore(started)
  t.ok(doubtsWrites(started))
  t.notOk(started.settled.mayReadRestoredEntries(clockNow()), "it vouches for servers")
  const {restoredAt, restoredEntriesUntil} = started.box.backends
  t.ok(restoredEntriesUntil <= clockNow(), "it uses servers at once")
  t.notOk(mayBeRestored(restoredAt, clockNow()))
})

t.test("a box that starts when all is settled doubts nothing", async t => {
  const started = startBox("2 writes")
  await started.settled.check()
  readStore(started)
  t.notOk(mayLackWrites(started.box.era, clockNow()))
  t.notOk(doubtsWrites(started))
})

t.test("a leader stores that servers are settled before that writes are", async t => {
  const observed = startBox("2 writes")
  await observed.settled.check()
  observed.eras.resolveEra("3", clockNow())
  const begun = clockNow()
  const settleAfter = async (ms: number): Promise<void> => {
    observed.settled.settleIfDue(begun + ms)
    await new Promise(resolve => setTimeout(resolve, 1))
  }
  await settleAfter(4_000)
  t.same(observed.written, [])
  await settleAfter(6_000)
  await settleAfter(7_000)
  t.same(observed.written, ["3"], "once")
  await settleAfter(WRITES_REPEATED_MS)
  await settleAfter(WRITES_REPEATED_MS + 100)
  t.same(observed.written, ["3", "3 writes"])
})

t.test("a leader that started after the restore settles no writes too early", async t => {
  const leader = startBox("1")
  await leader.settled.check()
  const begun = clockNow()
  leader.settled.settleIfDue(begun + 6_000)
  await new Promise(resolve => setTimeout(resolve, 1))
  t.same(leader.written, ["2"])
  leader.settled.settleIfDue(begun + WRITES_REPEATED_MS)
  await new Promise(resolve => setTimeout(resolve, 1))
  t.same(leader.written, ["2", "2 writes"])
})
