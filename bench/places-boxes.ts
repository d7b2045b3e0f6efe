/**
 * Boxes that route requests by the state of one of them, and send weights requests and
 * usage deltas to their leader.
 */
import {packDeflated, packPlain, unpack} from "../src/adapters/link-codec.js"
import {UseCounts} from "../src/adapters/use-counts.js"
import {type BoxServing, createBoxServing} from "../src/core/box-state.js"
import {
  applyEngineDeltas,
  applyEngineLoads,
  applyFullSnapshot
} from "../src/core/box-engines.js"
import {batchIntervalMs} from "../src/core/placement-updates.js"
import type {
  EngineDelta,
  FromLeader,
  WeightsRequest,
  ToLeader
} from "../src/types/box-messages.js"
import {adapterKey} from "../src/types/fleet.js"
import {type BenchLeader, MODEL, SERVICE_NAME} from "./places-leader.js"

/** Upper bound of the unpacked size of a message, as a multiple of its packed size. */
const MAX_UNPACK_RATIO = 1_000

/** Time from sending a request until its prompt is prefilled, and until it has ended. */
const PREFILL_MS = 300
const RUN_MS = 1_000
const PROMPT_TOKENS = 800

export interface BoxesOptions {
  readonly boxes: number
  /** One-way link delay from a box to the leader. */
  readonly linkDelayMs: number
  readonly leader: BenchLeader
  /** Returns random numbers in [0, 1). */
  readonly draw: () => number
  /** Calls back after a delay in simulated time. */
  readonly after: (ms: number, act: () => void) => void
  readonly now: () => number
}

interface Waiting {
  readonly box: number
  readonly request: string
}

export class BenchBoxes {
  weightsRequests = 0
  /** Messages sent to the leader, and their bytes. */
  messages = 0
  bytes = 0
  /** Processor time in which one box applied the leader's messages. */
  applyMs = 0
  /** State that routes all requests. One process can't hold the state of each box. */
  private readonly routingBox_: BoxServing
  private readonly holders_ = new Map<string, Set<string>>()
  private readonly useCounts_: UseCounts[]
  /** Requests waiting for an adapter, by adapter key. */
  private readonly waiting_ = new Map<string, Waiting[]>()
  private weightsRequestCount_ = 0

  constructor(private readonly options_: BoxesOptions) {
    this.useCounts_ = Array.from({length: options_.boxes}, () => new UseCounts())
    this.routingBox_ = createBoxServing({
      dataCentre: "a",
      retry: {ratio: 0, slack: 0, windowMs: 1_000},
      handoverMs: 0,
      random: options_.draw
    })
  }

  resetCounts(): void {
    this.weightsRequests = 0
    this.messages = 0
    this.bytes = 0
    this.applyMs = 0
  }

  /** Applies a message of the leader. */
  apply(packed: Buffer): void {
    const now = this.options_.now()
    const startedAt = performance.now()
    const message = unpack(packed, packed.length * MAX_UNPACK_RATIO) as FromLeader
    if (message.t === "engines") applyFullSnapshot(this.routingBox_, message.engines, now)
    if (message.t === "loads") applyEngineLoads(this.routingBox_, message.loads)
    if (message.t === "places") applyEngineDeltas(this.routingBox_, message.changes, now)
    if (message.t === "places" && message.loads)
      applyEngineLoads(this.routingBox_, message.loads)
    this.applyMs += performance.now() - startedAt
    if (message.t === "engines")
      for (const snapshot of message.engines) this.updateHolders(snapshot)
    if (message.t === "places")
      for (const delta of message.changes) this.updateHolders(delta)
  }

  /** Handles a request for an adapter that arrives at a random box. */
  request(adapter: string): void {
    const box = Math.floor(this.options_.draw() * this.options_.boxes)
    const key = adapterKey(MODEL, adapter)
    const engine = this.leastLoaded(key)
    if (engine === undefined) this.requestWeights(box, adapter)
    else this.send(box, engine, key)
  }

  /** Sends waiting requests to the slots of their adapters as soon as these are ready. */
  serveWaiting({engine, places}: EngineDelta): void {
    const {after, leader, linkDelayMs: wayMs} = this.options_
    for (const {adapter, readyInMs} of places) {
      const waiting = this.waiting_.get(adapter) ?? []
      this.waiting_.delete(adapter)
      for (const {box, request} of waiting) {
        after(wayMs + readyInMs, () => {
          this.count({t: "drop", request})
          leader.removeWeightsRequest(`box-${box}`, request)
          this.send(box, engine, adapter)
        })
      }
    }
  }

  /** Sends usage deltas of the boxes that are due, spread over the batch interval. */
  sendUseDeltas(): void {
    const {boxes, now, leader} = this.options_
    const intervalMs = Math.max(1, batchIntervalMs(boxes))
    for (let box = now() % intervalMs; box < boxes; box += intervalMs) {
      const changes = this.useCounts_[box]?.drain() ?? []
      if (changes.length === 0) continue
      this.count({t: "use", changes})
      leader.applyUseDeltas(`box-${box}`, changes)
    }
  }

  /** Returns the bytes of a weights request and its answer with one slot. */
  weightsRequestBytes(adapter: string): number {
    const request = packPlain({t: "need", need: this.createWeightsRequest(adapter)})
    const places = [{adapter: adapterKey(MODEL, adapter), version: 1, readyInMs: 0}]
    const change = {engine: "i-0000000000", places, gone: []}
    return request.length + packDeflated({t: "places", changes: [change]}).length
  }

  private send(box: number, engine: string, adapter: string): void {
    const counts = this.useCounts_[box]
    const emptyDelta = {engine, adapter, begun: 0, ended: 0, tokens: 0}
    counts?.add({...emptyDelta, begun: 1, tokens: PROMPT_TOKENS})
    this.options_.after(PREFILL_MS, () =>
      counts?.add({...emptyDelta, tokens: -PROMPT_TOKENS})
    )
    this.options_.after(RUN_MS, () => counts?.add({...emptyDelta, ended: 1}))
  }

  private requestWeights(box: number, adapter: string): void {
    this.weightsRequestCount_++
    this.weightsRequests++
    const weightsRequest = this.createWeightsRequest(adapter)
    this.count({t: "need", need: weightsRequest})
    const key = adapterKey(MODEL, adapter)
    const others = this.waiting_.get(key) ?? []
    this.waiting_.set(key, [...others, {box, request: weightsRequest.request}])
    this.options_.leader.addWeightsRequest(`box-${box}`, weightsRequest)
  }

  private createWeightsRequest(adapter: string): WeightsRequest {
    return {
      request: this.weightsRequestCount_.toString(16).padStart(16, "0"),
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
      const load = this.routingBox_.engines.get(engine)?.waitingTokens ?? 0
      if (load >= least) continue
      least = load
      best = engine
    }
    return best
  }

  private updateHolders({
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
