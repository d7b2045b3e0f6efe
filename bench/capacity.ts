/**
 * The slopes that docs/CAPACITY.md stands on: what a unit of each kind costs in memory, processor
 * time, bytes and calls, measured at four sizes or more. Raw numbers go to docs/capacity.json.
 */
import {readFileSync, writeFileSync} from "node:fs"
import {fileURLToPath} from "node:url"
import {Packr} from "msgpackr"
import {stepKeeper} from "../src/core/keeper.js"
import type {KeeperOptions, KeeperState} from "../src/core/keeper-state.js"
import {createEntry, stepEntry} from "../src/core/entry.js"
import type {EntryOptions} from "../src/core/entry-state.js"
import {applyChanges, listRecords, restoreSnapshot} from "../src/core/configuration.js"
import {DEFAULT_TIMING} from "../src/core/timing.js"
import {BUILT_IN_POLICY, findPolicy} from "../src/plugins/policies.js"
import type {Configuration, SnapshotRecord} from "../src/types/config.js"
import {Deployment, getJson} from "../test/support/deployment.js"
import {Child} from "../test/support/child.js"
import {until} from "../test/support/wait.js"
import {fitLine, type Line, type Point} from "./fit.js"
import {OwnedKeeper} from "./owned-keeper.js"
import {cpuOf} from "./relay.js"

const OUTPUT = fileURLToPath(new URL("../../docs/capacity.json", import.meta.url))
const IDLE_SECONDS = 20

/** Measures every slope, prints the fits and keeps the raw numbers. */
export async function benchCapacity(): Promise<void> {
  const lines: Record<string, Line> = {
    "configuration memory, bytes a record": measureConfigMemory(),
    "configuration snapshot, bytes a record": measureSnapshotBytes(),
    "configuration change, microseconds at that many records": measureChangeTime(),
    "cell scheduling, microseconds an ask at that many running": measureCellTime(),
    "cell tick, microseconds at that many engines": measureTickTime(),
    "keeper shares event, microseconds at that many keepers": measureSharesTime(),
    "entry request, microseconds at that many in progress": measureEntryTime()
  }
  const messages = measureMessageBytes()
  const processes = await measureProcesses()
  const report = {lines, messages, ...processes}
  for (const [name, line] of Object.entries(lines)) {
    console.log(
      `${name}: slope ${line.slope.toPrecision(3)}, floor ${line.floor.toPrecision(3)}, ` +
        `residual ${(line.residual * 100).toFixed(1)}%`
    )
  }
  console.log("message bytes", messages)
  console.log("processes", JSON.stringify(processes, null, 2))
  writeFileSync(OUTPUT, `${JSON.stringify(report, null, 2)}\n`)
}

// Configuration

function makeRecords(adapters: number, engines = 0, cells = 1): SnapshotRecord[] {
  const records: SnapshotRecord[] = []
  for (let index = 0; index < engines; index++) {
    const value = {
      kind: "model-engine" as const,
      baseModel: "base-a",
      address: `10.1.${index >> 8}.${index & 255}:8000`,
      dataCentre: "sala-a",
      slots: 8,
      maxBatch: 64,
      checksFences: true,
      cell: `cell-${1 + (index % cells)}`
    }
    records.push({kind: "backend", id: `engine-${index}`, generation: 1, value})
  }
  for (let index = 0; index < adapters; index++) {
    const adapter = `adapter-${index}`
    const value = {adapter, version: "1", weights: `s3/${adapter}/1`}
    records.push({
      kind: "adapter",
      id: adapter,
      generation: 1,
      value: {baseModel: "base-a", organisation: "cotejo"}
    })
    records.push({kind: "version", id: `${adapter}@1`, generation: 1, value})
  }
  return records
}

function makeConfig(adapters: number, engines = 0, cells = 1): Configuration {
  const organisation = {keyHashes: [], classes: ["till" as const], maxInProgress: 100_000}
  const records: SnapshotRecord[] = [
    {kind: "organisation", id: "cotejo", generation: 1, value: organisation},
    ...makeRecords(adapters, engines, cells)
  ]
  return restoreSnapshot(records, 1)
}

function measureConfigMemory(): Line {
  const points: Point[] = []
  for (const adapters of [2_000, 4_000, 8_000, 16_000]) {
    collect()
    const before = process.memoryUsage().heapUsed
    const parsed = JSON.parse(JSON.stringify(makeRecords(adapters))) as SnapshotRecord[]
    const config = restoreSnapshot(parsed, 1)
    parsed.length = 0
    collect()
    points.push({size: adapters * 2, value: process.memoryUsage().heapUsed - before})
    if (config.generation !== 1) throw new Error("not restored")
  }
  return fitLine(points)
}

function measureSnapshotBytes(): Line {
  const sizes = [2_000, 4_000, 8_000, 16_000]
  return fitLine(
    sizes.map(adapters => ({
      size: adapters * 2,
      value: JSON.stringify(listRecords(makeConfig(adapters))).length
    }))
  )
}

function measureChangeTime(): Line {
  const sizes = [4_000, 8_000, 16_000, 24_000]
  return fitLine(
    sizes.map(adapters => {
      let config = makeConfig(adapters)
      const value = timeEach(50, () => {
        const generation = config.generation + 1
        const record = {
          kind: "adapter" as const,
          id: "new",
          value: {baseModel: "b", organisation: "t"}
        }
        const change = {
          generation,
          operation: "o",
          operator: "p",
          at: 0,
          records: [record]
        }
        config = applyChanges(config, [change])
      })
      return {size: adapters * 2, value}
    })
  )
}

// Keeper

const KEEPER_OPTIONS: KeeperOptions = {
  self: "keeper-0",
  timing: DEFAULT_TIMING,
  registerShards: 2,
  loadsPerSecond: 1_000,
  loadsAtOnce: 64,
  findPolicy,
  builtInPolicy: BUILT_IN_POLICY
}

/** A keeper that owns one cell, with an entry linked and an adapter loaded on every engine. */
function makeKeeper(engines: number): KeeperState {
  const keeper = new OwnedKeeper(KEEPER_OPTIONS, makeConfig(64, engines))
  const models = ["base-a/adapter-0@1", "base-a/adapter-1@1"]
  for (const effect of keeper.step({type: "tick", epoch: 0})) {
    if (effect.type !== "order" || effect.order.order !== "list") continue
    const {cell, engine, fence, order} = effect
    const result = {ok: true, models} as const
    const sentAt = keeper.now
    keeper.step({type: "order-result", cell, engine, fence, order, sentAt, result})
  }
  return keeper.state
}

function askOf(request: string) {
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

function measureCellTime(): Line {
  const points = [50, 100, 200, 400, 800].map(running => {
    let state = makeKeeper(16)
    for (let index = 0; index < running; index++) {
      state = stepKeeper(state, askOf(`warm-${index}`), 1_000, KEEPER_OPTIONS).state
    }
    const value = timeEach(200, index => {
      stepKeeper(state, askOf(`ask-${index}`), 1_000, KEEPER_OPTIONS)
    })
    return {size: running, value}
  })
  return fitLine(points)
}

function measureTickTime(): Line {
  const points = [4, 8, 16, 32].map(engines => {
    const state = makeKeeper(engines)
    const value = timeEach(500, index => {
      stepKeeper(state, {type: "tick", epoch: index}, 1_001, KEEPER_OPTIONS)
    })
    return {size: engines, value}
  })
  return fitLine(points)
}

function measureSharesTime(): Line {
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
    const value = timeEach(50, () => {
      stepKeeper(state, event, 1_000, KEEPER_OPTIONS)
    })
    return {size: count, value}
  })
  return fitLine(points)
}

// Entry

function measureEntryTime(): Line {
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
    const value = timeEach(500, index => {
      stepEntry(state, arrive(`new-${index}`), 1, options)
    })
    return {size: inProgress, value}
  })
  return fitLine(points)
}

/** Bytes of the messages on a link, with the frame and TCP/IP headers of a packet of its own. */
function measureMessageBytes(): Record<string, number> {
  const packr = new Packr({structuredClone: false})
  const overhead = 66 + 6
  const id = "box-123-entry-0a1b2c3d-123456.0"
  const model = "base-a/adapter-12345@1"
  const size = (message: object) => packr.pack(message).length + overhead
  return {
    ping: size({t: "ping", generation: 123_456}),
    ask: size({...askOf(id).message, model}),
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

// Real processes

async function measureProcesses(): Promise<object> {
  const floor = await measureFloor()
  const sizes: object[] = []
  for (const boxes of [1, 2, 4, 8]) {
    const deployment = await Deployment.start({
      boxes,
      calm: true,
      timing: {...DEFAULT_TIMING}
    })
    try {
      sizes.push(await measureIdle(deployment, boxes))
    } finally {
      await deployment.stop()
    }
  }
  return {nodeFloor: floor, idleProcesses: sizes}
}

/** What a node process costs that does nothing. */
async function measureFloor(): Promise<object> {
  const child = new Child("bench/idle.js", [])
  await until("it runs", () => child.output.includes("running"))
  const before = cpuOf(child.pid)
  await new Promise(done => setTimeout(done, IDLE_SECONDS * 1000))
  const cpu = (cpuOf(child.pid) - before) / (IDLE_SECONDS * 10)
  const rssMb = memoryOf(child.pid)
  await child.end()
  return {cpuPercent: cpu, rssMb}
}

async function measureIdle(deployment: Deployment, boxes: number): Promise<object> {
  const [box] = deployment.boxes
  if (!box) return {}
  const counts = async () => getJson(`${deployment.kv.url}/stand-in/counts`)
  const pids: Record<string, number> = {
    entry: box.entry.pid,
    keeper: box.keeper.pid,
    admin: box.admin.pid
  }
  const cpuBefore = Object.entries(pids).map(([role, pid]) => [role, cpuOf(pid)] as const)
  const before = await counts()
  await new Promise(done => setTimeout(done, IDLE_SECONDS * 1000))
  const after = await counts()
  const perSecond = (name: string) => (after[name] - before[name]) / IDLE_SECONDS
  return {
    boxes,
    cpuPercent: Object.fromEntries(
      cpuBefore.map(([role, cpu]) => [
        role,
        (cpuOf(pids[role] ?? 0) - cpu) / (IDLE_SECONDS * 10)
      ])
    ),
    rssMb: Object.fromEntries(
      Object.entries(pids).map(([role, pid]) => [role, memoryOf(pid)])
    ),
    kvPerSecond: {
      reads: perSecond("reads"),
      writes: perSecond("writes"),
      watches: perSecond("watches")
    }
  }
}

function memoryOf(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8")
  return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1024
}

/** The median time of a call, microseconds, after as many calls to warm up. */
function timeEach(count: number, call: (index: number) => void): number {
  for (let index = 0; index < count; index++) call(index)
  const times: number[] = []
  for (let index = 0; index < count; index++) {
    const start = process.hrtime.bigint()
    call(index)
    times.push(Number(process.hrtime.bigint() - start) / 1000)
  }
  times.sort((a, b) => a - b)
  return times[times.length >> 1] ?? 0
}

function collect(): void {
  globalThis.gc?.()
}
