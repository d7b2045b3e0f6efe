/** Boxes that send requests by what one of them believes, and tell their leader of needs and uses. */
import {packDeflated, packPlain, unpack} from "../src/adapters/link-codec.js"
import {UseCounts} from "../src/adapters/use-counts.js"
import {type BoxServing, createBoxServing} from "../src/core/box-state.js"
import {
  applyEngineDeltas,
  applyEngineLoads,
  applyFullSnapshot
} from "../src/core/box-engines.js"
import {gatherMs} from "../src/core/placement-news.js"
import type {
  EngineDelta,
  FromLeader,
  WeightsRequest,
  ToLeader
} from "../src/types/box-messages.js"
import {adapterKey} from "../src/types/fleet.js"
import {type BenchLeader, MODEL, SERVICE_NAME} from "./places-leader.js"

/** A message unfolds to so many times its bytes at most. */
const MOST_UNFOLDED = 1_000

/** From the send of a request until it is read, and until it has ended, milliseconds. */
const READ_MS = 300
const RUN_MS = 1_000
const PROMPT_TOKENS = 800

export interface BoxesOptions {
  readonly boxes: number
  /** One way from a box to the leader, milliseconds. */
  readonly wayMs: number
  readonly leader: BenchLeader
  /** Numbers in [0, 1). */
  readonly draw: () => number
  /** Calls back after so many milliseconds of simulated time. */
  readonly after: (ms: number, act: () => void) => void
  readonly now: () => number
}

interface Waiting {
  readonly box: number
  readonly request: string
}

export class BenchBoxes {
  needs = 0
  /** What the leader was told. */
  messages = 0
  bytes = 0
  /** Processor time in which one box took what it was told, milliseconds. */
  applyMs = 0
  /** The box whose belief all requests are sent by: in one process there is no room for the belief of each. */
  private readonly box_: BoxServing
  private readonly holders_ = new Map<string, Set<string>>()
  private readonly uses_: UseCounts[]
  /** Requests that wait for an adapter, by its key. */
  private readonly waiting_ = new Map<string, Waiting[]>()
  private asked_ = 0

  constructor(private readonly options_: BoxesOptions) {
    this.uses_ = Array.from({length: options_.boxes}, () => new UseCounts())
    this.box_ = createBoxServing({
      dataCentre: "a",
      retry: {ratio: 0, slack: 0, windowMs: 1_000},
      handoverMs: 0,
      random: options_.draw
    })
  }

  resetCounts(): void {
    this.needs = 0
    this.messages = 0
    this.bytes = 0
    this.applyMs = 0
  }

  /** Takes a message of the leader. */
  apply(packed: Buffer): void {
    const now = this.options_.now()
    const begun = performance.now()
    const message = unpack(packed, packed.length * MOST_UNFOLDED) as FromLeader
    if (message.t === "engines") applyFullSnapshot(this.box_, message.engines, now)
    if (message.t === "loads") applyEngineLoads(this.box_, message.loads)
    if (message.t === "places") applyEngineDeltas(this.box_, message.changes, now)
    if (message.t === "places" && message.loads)
      applyEngineLoads(this.box_, message.loads)
    this.applyMs += performance.now() - begun
    if (message.t === "engines")
      for (const each of message.engines) this.noteHolders(each)
    if (message.t === "places") for (const each of message.changes) this.noteHolders(each)
  }

  /** A request for an adapter comes to some box. */
  request(adapter: string): void {
    const box = Math.floor(this.options_.draw() * this.options_.boxes)
    const key = adapterKey(MODEL, adapter)
    const engine = this.leastLoaded(key)
    if (engine === undefined) this.wait(box, adapter)
    else this.send(box, engine, key)
  }

  /** Requests that waited go to the places they were told of, once these are ready. */
  serveWaiting({engine, places}: EngineDelta): void {
    const {after, leader, wayMs} = this.options_
    for (const {adapter, readyInMs} of places) {
      const waiting = this.waiting_.get(adapter) ?? []
      this.waiting_.delete(adapter)
      for (const {box, request} of waiting) {
        after(wayMs + readyInMs, () => {
          this.count({t: "drop", request})
          leader.dropNeed(`box-${box}`, request)
          this.send(box, engine, adapter)
        })
      }
    }
  }

  /** Each box tells its uses once in the time that they are gathered, each at a moment of its own. */
  flushUses(): void {
    const {boxes, now, leader} = this.options_
    const gap = Math.max(1, gatherMs(boxes))
    for (let box = now() % gap; box < boxes; box += gap) {
      const changes = this.uses_[box]?.drain() ?? []
      if (changes.length === 0) continue
      this.count({t: "use", changes})
      leader.takeUses(`box-${box}`, changes)
    }
  }

  /** What a request costs that is asked for by its adapter, and answered with one place, bytes. */
  askedBytes(adapter: string): number {
    const need = packPlain({t: "need", need: this.needFor(adapter)})
    const places = [{adapter: adapterKey(MODEL, adapter), version: 1, readyInMs: 0}]
    const change = {engine: "i-0000000000", places, gone: []}
    return need.length + packDeflated({t: "places", changes: [change]}).length
  }

  private send(box: number, engine: string, adapter: string): void {
    const uses = this.uses_[box]
    const idle = {engine, adapter, begun: 0, ended: 0, tokens: 0}
    uses?.add({...idle, begun: 1, tokens: PROMPT_TOKENS})
    this.options_.after(READ_MS, () => uses?.add({...idle, tokens: -PROMPT_TOKENS}))
    this.options_.after(RUN_MS, () => uses?.add({...idle, ended: 1}))
  }

  private wait(box: number, adapter: string): void {
    this.asked_++
    this.needs++
    const need = this.needFor(adapter)
    this.count({t: "need", need})
    const key = adapterKey(MODEL, adapter)
    const others = this.waiting_.get(key) ?? []
    this.waiting_.set(key, [...others, {box, request: need.request}])
    this.options_.leader.takeNeed(`box-${box}`, need)
  }

  private needFor(adapter: string): WeightsRequest {
    return {
      request: this.asked_.toString(16).padStart(16, "0"),
      service: SERVICE_NAME,
      model: MODEL,
      adapter,
      priority: 1,
      inTimeMs: 800,
      waitMs: 2_000,
      tokens: PROMPT_TOKENS,
      failedAt: []
    }
  }

  private leastLoaded(key: string): string | undefined {
    let best: string | undefined
    let least = Infinity
    for (const engine of this.holders_.get(key) ?? []) {
      const load = this.box_.engines.get(engine)?.waitingTokens ?? 0
      if (load >= least) continue
      least = load
      best = engine
    }
    return best
  }

  private noteHolders({
    engine,
    places,
    gone = []
  }: Omit<EngineDelta, "gone"> & {gone?: readonly string[]}): void {
    for (const {adapter} of places) {
      const holders = this.holders_.get(adapter) ?? new Set<string>()
      this.holders_.set(adapter, holders.add(engine))
    }
    for (const adapter of gone) this.holders_.get(adapter)?.delete(engine)
  }

  private count(message: ToLeader): void {
    this.messages++
    this.bytes += packPlain(message).length
  }
}
