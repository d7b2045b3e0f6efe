/**
 * How long ago allowances were granted, by leases of the store (RECOVER, QUOTA): an absent
 * mark counts for its length, and a leader without marks grants nothing.
 */
import t from "tap"
import {clockNow} from "../src/adapters/clock.js"
import {UsageMarks} from "../src/adapters/usage-marks.js"
import {listMarks, MAX_RENEWAL_AGE_MS, provenIdleMs} from "../src/core/usage-marks.js"
import {ALLOWANCE_LIFETIME_MS, usageLifetimeMs} from "../src/core/usage-limits.js"
import {KvUnavailable} from "../src/errors.js"
import type {KvEntry, KvPutOptions, KvStore} from "../src/ports/ports.js"
import {until} from "./support/wait.js"

const USAGE = {windowMs: 8_000, overage: 0, slack: 0}
const COUNTS_MS = ALLOWANCE_LIFETIME_MS + usageLifetimeMs(USAGE)
const PREFIX = "marks/"

/** A store whose leases end when the test says so. */
class LeaseStore {
  readonly rows = new Map<string, KvEntry>()
  readonly leases = new Set<string>()
  readonly renewed = new Set<string>()
  isAway = false
  private revision_ = 0

  readonly kv = {
    list: () => this.answer(() => ({entries: [...this.rows.values()], revision: 1})),
    grantLease: () =>
      this.answer(() => {
        const lease = `lease-${++this.revision_}`
        this.leases.add(lease)
        return lease
      }),
    keepAlive: (lease: string) =>
      this.answer(() => {
        this.renewed.add(lease)
        return this.leases.has(lease)
      }),
    revokeLease: (lease: string) => this.answer(() => void this.leases.delete(lease)),
    put: (key: string, value: string, {expectRevision = 0}: KvPutOptions = {}) =>
      this.answer(() => {
        const current = this.rows.get(key)
        if ((current?.revision ?? 0) !== expectRevision)
          return {ok: false as const, current}
        const revision = this.write(key, value)
        return {ok: true as const, revision}
      })
  } as unknown as KvStore

  write(key: string, value: string): number {
    const revision = ++this.revision_
    this.rows.set(key, {key, value, revision})
    return revision
  }

  private answer<T>(read: () => T): Promise<T> {
    return this.isAway
      ? Promise.reject(new KvUnavailable("away"))
      : Promise.resolve(read())
  }
}

function createMarks(store: LeaseStore, isLeading = (): boolean => true): UsageMarks {
  return new UsageMarks({
    kv: store.kv,
    prefix: PREFIX,
    usage: USAGE,
    leading: isLeading,
    renewElsewhere: () => Promise.reject(new KvUnavailable("no other box")),
    log: () => undefined
  })
}

t.test("an absent mark proves its length, and a present one nothing", async t => {
  const marks = listMarks(USAGE)
  const names = marks.map(({name}) => name)
  t.equal(provenIdleMs(marks, new Set(names)), 0)
  t.equal(provenIdleMs(marks, new Set()), COUNTS_MS)
  const [shortest, ...longer] = marks
  const proven = provenIdleMs(marks, new Set(longer.map(({name}) => name)))
  t.equal(proven, (shortest?.ttlMs ?? 0) - MAX_RENEWAL_AGE_MS)
  t.ok(proven > 0 && proven < COUNTS_MS)
})

// RECOVER: as nothing proved the time of a loss of all boxes under 7 s, the next leader
// counted all that the last one had stored, and organisations were refused for seconds more.
t.test("a loss of five seconds proves at least two of them", async t => {
  const marks = listMarks(USAGE)
  const present = marks.filter(({ttlMs}) => ttlMs > 5_000).map(({name}) => name)
  t.ok(provenIdleMs(marks, new Set(present)) >= 2_000)
})

// A leader of an earlier version keeps fewer marks.
t.test(
  "the absence of a mark that the last leader did not keep proves nothing",
  async t => {
    const store = new LeaseStore()
    const [, ...kept] = listMarks(USAGE).map(({name}) => name)
    for (const name of kept) store.write(`${PREFIX}${name}`, "lease")
    t.equal(await createMarks(store).takeOver(kept), 0)
  }
)

t.test("the next leader takes marks over, and an ended lease counts", async t => {
  const store = new LeaseStore()
  let isLeading = true
  const first = createMarks(store, () => isLeading)
  t.equal(await first.takeOver(), COUNTS_MS)
  t.ok(first.isHeld(clockNow()))
  isLeading = false
  const second = createMarks(store)
  t.equal(await second.takeOver(), 0)
  t.ok(second.isHeld(clockNow()))
  t.equal(store.leases.size, listMarks(USAGE).length, "no further leases")
  store.rows.clear()
  t.equal(await createMarks(store).takeOver(), COUNTS_MS)
})

t.test("without answers of the store, marks are no longer held", async () => {
  const store = new LeaseStore()
  const marks = createMarks(store)
  await marks.takeOver()
  store.isAway = true
  await until("they are not held", () => !marks.isHeld(clockNow()))
  store.isAway = false
  await until("they are held again", () => marks.isHeld(clockNow()))
})

t.test("a key that a late call of another leader made keeps its lease", async t => {
  const store = new LeaseStore()
  const marks = createMarks(store)
  await marks.takeOver()
  const [lease = ""] = store.leases
  store.leases.delete(lease)
  store.leases.add("late")
  const [key = ""] = store.rows.keys()
  store.write(key, "late")
  await until("the other lease is renewed", () => store.renewed.has("late"))
  t.ok(marks.isHeld(clockNow()))
  t.equal(store.rows.get(key)?.value, "late")
})

t.test("a key that another writer made is replaced", async t => {
  const store = new LeaseStore()
  for (const {name} of listMarks(USAGE)) store.write(`${PREFIX}${name}`, "odd")
  const marks = createMarks(store)
  t.equal(await marks.takeOver(), 0)
  await until("the marks are held", () => marks.isHeld(clockNow()))
  for (const {value} of store.rows.values()) t.ok(store.leases.has(value))
})
