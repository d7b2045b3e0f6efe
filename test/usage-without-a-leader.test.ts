/**
 * Limits while nobody leads: usage of earlier leaders' time must not count anew with each
 * leader, or organisations are refused long after all boxes are back (RECOVER).
 */
import {setTimeout as sleep} from "node:timers/promises"
import t from "tap"
import {StoreEras} from "../src/adapters/era-source.js"
import {UsageStore} from "../src/adapters/usage-store.js"
import type {FleetEvent} from "../src/core/serving-events.js"
import {type LedgerEffect, UsageLedger} from "../src/core/usage-ledger.js"
import {ALLOWANCE_LIFETIME_MS, usageLifetimeMs} from "../src/core/usage-limits.js"
import type {KvEntry, KvStore} from "../src/ports/ports.js"
import {clockNow} from "../src/adapters/clock.js"

const USAGE = {windowMs: 8_000, overage: 0, slack: 0}
const LIMIT = 800
const LIMITS = new Map([["org", LIMIT]])

/** Time after a leader's end in which its grants can count. */
const COUNTS_MS = ALLOWANCE_LIFETIME_MS + usageLifetimeMs(USAGE)

type Save = Extract<LedgerEffect, {type: "save-usage"}>

function createLedger(box: string): {ledger: UsageLedger; effects: LedgerEffect[]} {
  const effects: LedgerEffect[] = []
  const ledger = new UsageLedger(
    USAGE,
    () => LIMITS,
    effect => void effects.push(effect),
    box
  )
  ledger.startReading()
  return {ledger, effects}
}

function lastSave(effects: readonly LedgerEffect[]): Save {
  return effects.filter(effect => effect.type === "save-usage").at(-1) as Save
}

/** Returns what a leader stores that has granted the whole limit at 0. */
function storedByFirst(): Save {
  const {ledger, effects} = createLedger("one")
  ledger.handleStored({}, 0)
  const ask = {organisation: "org", used: 0, returned: 0, need: LIMIT, want: LIMIT}
  ledger.handleUsage("two", 1, [ask], 1)
  for (let i = 0; i < 3; i++)
    ledger.handleSaved(lastSave(effects).save, true, 40 + 40 * i)
  t.ok(effects.some(effect => effect.type === "allow"))
  return lastSave(effects)
}

t.test("usage counts from the time at which there was no leader any more", async t => {
  const {outlooks, claims} = storedByFirst()
  const now = 100_000
  const {ledger} = createLedger("three")
  ledger.handleStored(outlooks, now, claims, 6_000)
  t.ok(ledger.totalOf("org", now) > 0)
  t.equal(ledger.totalOf("org", now + COUNTS_MS - 6_000 + 1_000), 0)
})

t.test("usage that is older than it can count is not counted", async t => {
  const {outlooks, claims} = storedByFirst()
  const {ledger} = createLedger("three")
  ledger.handleStored(outlooks, 100_000, claims, COUNTS_MS + 1_000)
  t.equal(ledger.totalOf("org", 100_000), 0)
})

/** A key of the key-value service, and what its reader posts. */
class Bed {
  entry: KvEntry | undefined
  readonly posts: FleetEvent[] = []
  readonly store: UsageStore

  constructor() {
    const kv = {get: () => Promise.resolve(this.entry)} as unknown as KvStore
    this.store = new UsageStore({
      kv,
      key: "usage",
      post: event => void this.posts.push(event),
      leading: () => true,
      fence: () => 1,
      marks: {names: [], takeOver: () => Promise.resolve(0)},
      eras: new StoreEras(() => undefined),
      leaseTtlMs: 1_200,
      writeElsewhere: () => Promise.reject(new Error("unused")),
      log: () => undefined
    })
    this.write(1)
  }

  write(revision: number): void {
    const {outlooks, claims} = storedByFirst()
    const value = JSON.stringify({outlooks, claims})
    this.entry = {key: "usage", value, revision} as KvEntry
  }

  /** Answers at once that there is no leader. */
  noLeader(): void {
    this.store.noteNoLeader(clockNow(), clockNow())
  }

  async read(): Promise<number> {
    await this.store.read()
    const read = this.posts.at(-1) as Extract<FleetEvent, {type: "usage-read"}>
    return read.endedForMs ?? 0
  }
}

t.test("the time without a leader counts if nobody has stored usage since", async t => {
  const bed = new Bed()
  bed.noLeader()
  await sleep(20)
  bed.noLeader()
  await sleep(200)
  const ms = await bed.read()
  t.ok(ms >= 199 && ms < 1_000, `${ms} ms`)
  t.equal(await bed.read(), 0, "there has been a leader since")
})

t.test("it does not count if a leader has stored usage since", async t => {
  const bed = new Bed()
  bed.noLeader()
  await sleep(20)
  bed.noLeader()
  bed.write(2)
  await sleep(100)
  t.equal(await bed.read(), 0)
})

t.test(
  "an absence that was asked for before the key was read proves nothing",
  async t => {
    const bed = new Bed()
    const askedAt = clockNow()
    bed.noLeader()
    await sleep(20)
    bed.store.noteNoLeader(askedAt, clockNow())
    await sleep(100)
    t.equal(await bed.read(), 0)
  }
)

t.test("it counts anew after a leader was found", async t => {
  const bed = new Bed()
  bed.noLeader()
  await sleep(20)
  bed.noLeader()
  await sleep(200)
  bed.store.noteLeader()
  bed.noLeader()
  await sleep(20)
  bed.noLeader()
  await sleep(50)
  const ms = await bed.read()
  t.ok(ms >= 49 && ms < 200, `${ms} ms`)
})
