/** Rare event orders, applied directly to the core of a keeper. */
import t from "tap"
import {
  createKeeper,
  DEFAULT_TIMING,
  BUILT_IN_POLICY,
  findPolicy,
  stepKeeper
} from "../src/index.js"
import type {KeeperEffect, KeeperEvent, KeeperState} from "../src/index.js"
import {restoreSnapshot} from "../src/core/configuration.js"
import type {SnapshotRecord} from "../src/types/config.js"

const OPTIONS = {
  self: "keeper-0",
  timing: DEFAULT_TIMING,
  registerShards: 1,
  loadsPerSecond: 10,
  loadsAtOnce: 2,
  findPolicy,
  builtInPolicy: BUILT_IN_POLICY
}

const RECORDS: SnapshotRecord[] = [
  {
    kind: "backend",
    id: "engine-0",
    generation: 1,
    value: {
      kind: "model-engine",
      baseModel: "base",
      address: "10.0.0.1:1",
      dataCentre: "a",
      slots: 1,
      maxBatch: 8,
      checksFences: false,
      cell: "cell-1"
    }
  },
  ...["x", "y"].flatMap((adapter): SnapshotRecord[] => [
    {
      kind: "adapter",
      id: adapter,
      generation: 1,
      value: {baseModel: "base", organisation: "t"}
    },
    {
      kind: "version",
      id: `${adapter}@1`,
      generation: 1,
      value: {adapter, version: "1", weights: adapter}
    }
  ])
]

/** A keeper under test, with the effects of its last step. */
class Subject {
  state: KeeperState = createKeeper(OPTIONS)
  now = 1_000
  effects: readonly KeeperEffect[] = []

  apply(event: KeeperEvent): this {
    const step = stepKeeper(this.state, event, this.now, OPTIONS)
    this.state = step.state
    this.effects = step.effects
    return this
  }

  orders(): string[] {
    return this.effects.flatMap(effect =>
      effect.type === "order" ? [effect.order.order] : []
    )
  }

  /** Claims all shares, with adapter x loaded and a linked entry that holds nothing. */
  claimAll(): this {
    const keepers = new Map([["keeper-0", {address: "", ops: "", dataCentre: "a"}]])
    const entries = new Map([["entry-0", {address: "", ops: "", dataCentre: "a"}]])
    this.apply({type: "config", config: restoreSnapshot(RECORDS, 1)})
    this.apply({type: "shares", shares: new Map(), keepers, entries})
    this.apply({type: "lease-renewed", sentAt: this.now})
    this.apply({type: "tick", epochMs: 0})
    for (const effect of this.effects) {
      if (effect.type !== "change-share") continue
      const result = {result: "done", revision: 7} as const
      this.apply({type: "share-changed", change: effect.change, result})
    }
    const hello = {
      t: "hello" as const,
      protocol: 1,
      role: "entry" as const,
      incarnation: "entry-0",
      dataCentre: "a",
      generation: 1
    }
    this.apply({type: "link-up", hello})
    const message = {
      t: "inventory",
      cell: "cell-1",
      fence: 1,
      running: [],
      held: []
    } as const
    this.apply({type: "message", from: "entry-0", message})
    this.apply({type: "tick", epochMs: 0})
    this.applyList(["base/x@1"])
    return this
  }

  applyList(models: string[]): void {
    const sentAt = this.now
    this.apply({
      type: "order-result",
      cell: "cell-1",
      engine: "engine-0",
      fence: 1,
      order: {order: "list", cacheAfter: 0},
      sentAt,
      result: {ok: true, models}
    })
  }

  ask(model: string): this {
    const message = {
      t: "ask",
      cell: "cell-1",
      request: `r-${model}`,
      organisation: "t",
      class: "till",
      model,
      patienceMs: 60_000
    } as const
    return this.apply({type: "message", from: "entry-0", message})
  }
}

t.test("an adapter without holders is unloaded for a requested one", async t => {
  t.same(new Subject().claimAll().ask("base/y@1").orders(), ["unload"])
})

t.test("nothing is unloaded after the lease expired on the own clock", async t => {
  const subject = new Subject().claimAll()
  subject.now += DEFAULT_TIMING.leaseTtlMs
  t.same(subject.ask("base/y@1").orders(), [])
})

t.test(
  "a new lease alone permits no unload until the cell has been claimed again",
  async t => {
    const subject = new Subject().claimAll()
    subject.apply({type: "lease-lost"})
    subject.apply({type: "lease-renewed", sentAt: subject.now})
    t.same(subject.ask("base/y@1").orders(), [])
    subject.apply({type: "tick", epochMs: 0})
    const claims = subject.effects.filter(effect => effect.type === "change-share")
    t.match(claims, [{change: {share: "cell:cell-1", fence: 2, expectRevision: 7}}, {}])
  }
)

t.test("a registered entry without a link blocks evictions until gone", async t => {
  const subject = new Subject().claimAll()
  const entries = new Map([["entry-1", {address: "", ops: "", dataCentre: "a"}]])
  const keepers = new Map([["keeper-0", {address: "", ops: "", dataCentre: "a"}]])
  subject.apply({type: "shares", shares: new Map(), keepers, entries})
  t.same(subject.ask("base/y@1").orders(), [])
  subject.apply({type: "probed", entry: "entry-1", verdict: "silent"})
  t.same(subject.orders(), [])
  subject.apply({type: "probed", entry: "entry-1", verdict: "gone"})
  t.same(subject.orders(), ["unload"])
})

t.test("a stream may outlive its entry on an engine that resumes streams", async t => {
  const resuming = RECORDS.map((record): SnapshotRecord => {
    const {value} = record
    if (!value || !("kind" in value) || value.kind !== "model-engine") return record
    return {...record, value: {...value, resumesStreams: true}} as SnapshotRecord
  })
  const subject = new Subject().claimAll()
  subject.apply({type: "config", config: restoreSnapshot(resuming, 2)})
  const entries = new Map([["entry-1", {address: "", ops: "", dataCentre: "a"}]])
  const keepers = new Map([["keeper-0", {address: "", ops: "", dataCentre: "a"}]])
  subject.apply({type: "shares", shares: new Map(), keepers, entries})
  subject.ask("base/y@1")
  subject.apply({type: "probed", entry: "entry-1", verdict: "gone"})
  t.same(subject.orders(), [], "the engine may still run the entry's streams")
  subject.now += DEFAULT_TIMING.streamLingerMs
  subject.apply({type: "lease-renewed", sentAt: subject.now})
  subject.apply({type: "probed", entry: "entry-1", verdict: "gone"})
  t.same(subject.orders(), ["unload"])
})

t.test("a release that crosses a newer grant has no effect", async t => {
  const subject = new Subject().claimAll().ask("base/x@1")
  t.match(subject.effects, [{message: {t: "grant", grant: 1}}])
  const done = {
    t: "done",
    cell: "cell-1",
    request: "r-base/x@1",
    engine: "engine-0",
    result: "ok"
  } as const
  subject.apply({type: "message", from: "entry-0", message: done})
  const release = {
    t: "release",
    cell: "cell-1",
    fence: 1,
    engine: "engine-0",
    model: "base/x@1",
    grant: 0
  } as const
  subject.apply({type: "message", from: "entry-0", message: release})
  t.notOk(subject.ask("base/y@1").orders().includes("unload"), "still held")
  subject.apply({type: "message", from: "entry-0", message: {...release, grant: 1}})
  t.same(subject.orders(), ["unload"])
})

t.test(
  "a key is granted only after its line is durable, and its attempt fails if the write fails",
  async t => {
    const subject = new Subject().claimAll()
    const opened = {
      type: "register-opened",
      shard: "once:0",
      fence: 1,
      lines: []
    } as const
    subject.apply(opened)
    const reserve = (attempt: string) => {
      const message = {
        t: "reserve",
        shard: "once:0",
        key: "k",
        attempt,
        body: "b"
      } as const
      return subject.apply({type: "message", from: "entry-0", message})
    }
    const written = (result: "done" | "unwritten") =>
      subject.apply({type: "register-written", shard: "once:0", fence: 1, result})
    t.match(reserve("r1").effects, [{type: "write-register", lines: [{key: "k"}]}])
    t.match(reserve("r2").effects, [
      {message: {t: "known", attempt: "r2", state: "running"}}
    ])
    t.match(written("unwritten").effects, [
      {message: {attempt: "r1", state: "no-record"}}
    ])
    subject.now += DEFAULT_TIMING.commitIntervalMs
    t.match(
      reserve("r3").effects,
      [{type: "write-register"}],
      "it did not run, so the key is free"
    )
    t.match(written("done").effects, [{message: {t: "reserved", attempt: "r3"}}])
    t.match(reserve("r4").effects, [{message: {t: "known", state: "running"}}])
  }
)

t.test(
  "a key settled as not run before the log was read is free, and an end is final",
  async t => {
    const subject = new Subject().claimAll()
    const send = (message: Extract<KeeperEvent, {type: "message"}>["message"]) =>
      subject.apply({type: "message", from: "entry-0", message})
    const reserve = {
      t: "reserve",
      shard: "once:0",
      key: "k",
      attempt: "r1",
      body: "b"
    } as const
    const settle = {t: "settle", shard: "once:0", key: "k", attempt: "r1"} as const
    send(reserve)
    send({...settle, state: "not-run"})
    subject.apply({type: "register-opened", shard: "once:0", fence: 1, lines: []})
    subject.apply({type: "register-written", shard: "once:0", fence: 1, result: "done"})
    subject.now += DEFAULT_TIMING.commitIntervalMs
    send({...reserve, attempt: "r2"})
    const written = {
      type: "register-written",
      shard: "once:0",
      fence: 1,
      result: "done"
    } as const
    t.match(subject.apply(written).effects, [{message: {t: "reserved", attempt: "r2"}}])
    send({...settle, attempt: "r2", state: "answered"})
    send({...settle, attempt: "r2", state: "not-run"})
    t.match(send({...reserve, attempt: "r3"}).effects.at(-1), {
      message: {state: "answered"}
    })
  }
)
