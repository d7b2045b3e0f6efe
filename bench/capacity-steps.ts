/** Measures message sizes, and transition times by the amount in progress. */
import {Packr} from "msgpackr"
import {createEntry, stepEntry} from "../src/core/entry.js"
import type {EntryOptions} from "../src/core/entry-state.js"
import {stepKeeper} from "../src/core/keeper.js"
import type {KeeperOptions, KeeperState} from "../src/core/keeper-state.js"
import {DEFAULT_TIMING} from "../src/core/timing.js"
import {BUILT_IN_POLICY, findPolicy} from "../src/plugins/policies.js"
import {makeConfig} from "./capacity-config.js"
import {fitLine, type Line} from "./fit.js"
import {measureMedianUs} from "./measure.js"
import {BenchKeeper} from "./owned-keeper.js"

const KEEPER_OPTIONS: KeeperOptions = {
  self: "keeper-0",
  timing: DEFAULT_TIMING,
  registerShards: 2,
  loadsPerSecond: 1_000,
  loadsAtOnce: 64,
  findPolicy,
  builtInPolicy: BUILT_IN_POLICY
}

/** Creates a keeper with one cell, a linked entry and adapters loaded on every engine. */
function makeKeeper(engines: number): KeeperState {
  const keeper = new BenchKeeper(KEEPER_OPTIONS, makeConfig(64, engines))
  const models = ["base-a/adapter-0@1", "base-a/adapter-1@1"]
  for (const effect of keeper.step({type: "tick", epochMs: 0})) {
    if (effect.type !== "order" || effect.order.order !== "list") continue
    const {cell, engine, fence, order} = effect
    const result = {ok: true, models} as const
    const sentAt = keeper.now
    keeper.step({type: "order-result", cell, engine, fence, order, sentAt, result})
  }
  return keeper.state
}

function createAsk(request: string) {
  return {
    type: "message" as const,
    from: "entry-0",
    message: {
      t: "ask" as const,
      cell: "cell-1",
      request,
      organisation: "cotejo",
      class: "till" as const,
      model: "base-a/adapter-0@1",
      patienceMs: 10_000
    }
  }
}

export function measureCellTime(): Line {
  const points = [50, 100, 200, 400, 800].map(running => {
    let state = makeKeeper(16)
    for (let index = 0; index < running; index++) {
      state = stepKeeper(state, createAsk(`warm-${index}`), 1_000, KEEPER_OPTIONS).state
    }
    const value = measureMedianUs(200, index => {
      stepKeeper(state, createAsk(`ask-${index}`), 1_000, KEEPER_OPTIONS)
    })
    return {size: running, value}
  })
  return fitLine(points)
}

export function measureTickTime(): Line {
  const points = [4, 8, 16, 32].map(engines => {
    const state = makeKeeper(engines)
    const value = measureMedianUs(500, index => {
      stepKeeper(state, {type: "tick", epochMs: index}, 1_001, KEEPER_OPTIONS)
    })
    return {size: engines, value}
  })
  return fitLine(points)
}

export function measureSharesTime(): Line {
  const points = [100, 200, 400, 800].map(count => {
    const state = makeKeeper(16)
    const names = Array.from({length: count}, (_, index) => `keeper-${index}`)
    const record = {address: "10.0.0.1:7000", ops: "10.0.0.1:7001", dataCentre: "a"}
    const keepers = new Map(names.map(name => [name, record]))
    const shares = new Map(
      names.map((owner, index) => [
        `cell:cell-${index + 2}`,
        {owner, fence: 1, revision: 1}
      ])
    )
    const event = {type: "shares" as const, shares, keepers, entries: keepers}
    const value = measureMedianUs(50, () => {
      stepKeeper(state, event, 1_000, KEEPER_OPTIONS)
    })
    return {size: count, value}
  })
  return fitLine(points)
}

export function measureEntryTime(): Line {
  const options: EntryOptions = {
    self: "entry-0",
    dataCentre: "a",
    timing: DEFAULT_TIMING,
    registerShards: 2,
    maxInProgress: 100_000,
    patienceMs: {till: 60_000, merchant: 60_000, overnight: 60_000}
  }
  const arrive = (request: string) => ({
    type: "arrive" as const,
    arrival: {
      request,
      organisation: "cotejo",
      class: "till" as const,
      target: {kind: "model" as const, model: "base-a/adapter-0@1"},
      streamed: true,
      repeatable: true,
      body: ""
    }
  })
  const points = [50, 100, 200, 400, 800].map(inProgress => {
    let state = createEntry(1)
    const config = makeConfig(64, 16)
    state = stepEntry(state, {type: "config", config}, 1, options).state
    for (let index = 0; index < inProgress; index++) {
      state = stepEntry(state, arrive(`warm-${index}`), 1, options).state
    }
    const value = measureMedianUs(500, index => {
      stepEntry(state, arrive(`new-${index}`), 1, options)
    })
    return {size: inProgress, value}
  })
  return fitLine(points)
}

/** Returns message sizes on a link, with frame and headers of one packet per message. */
export function measureMessageBytes(): Record<string, number> {
  const packr = new Packr({structuredClone: false})
  const overheadBytes = 66 + 6
  const id = "box-123-entry-0a1b2c3d-123456.0"
  const model = "base-a/adapter-12345@1"
  const size = (message: object) => packr.pack(message).length + overheadBytes
  return {
    ping: size({t: "ping", generation: 123_456}),
    ask: size({...createAsk(id).message, model}),
    grant: size({
      t: "grant",
      cell: "cell-123",
      fence: 12,
      request: id,
      engine: "engine-1234",
      model,
      grant: 123_456,
      stallMs: 0,
      fillPercent: 50
    }),
    done: size({
      t: "done",
      cell: "cell-123",
      request: id,
      engine: "engine-1234",
      result: "ok"
    })
  }
}
