/**
 * An engine repeats some of its answers: it refuses a request while it loads the adapter,
 * and a copy of the refusal turns up where the next answer on that connection is due.
 * Judges whether a request that must not be repeated runs more than once.
 */
import {Box, pause} from "../lib/boxes.mjs"
import {call, HOST} from "../lib/client.mjs"
import {Record} from "../lib/record.mjs"
import {Store} from "../lib/store.mjs"
import {Worker} from "../lib/workers.mjs"

const HAS_TROUBLE = process.env.TROUBLE !== "0"
const ZONES = ["sala-a", "sala-b", "sala-c"]
/** Boxes in each zone, as on the sheet. */
const ZONE_BOXES = [4, 3, 2]
const MODEL = "daka510000"
const MAX_ADAPTERS = 6
const HELD = ["a1", "a2", "a3", "a4"]

/** `garble`, extra late: its time, and the greatest share of the answers of its server. */
const GARBLE_MS = 5_000
const GARBLE_SHARE = 0.03
const MOST_REPEATED = 2

/** Time of one load of an adapter; it takes longer in proportion while others load. */
const LOAD_MS = 250
/** First pause of a box before it tries an engine again that is still loading. */
const FIRST_PAUSE_MS = 60
/** In longer pauses other requests of the box often use the connection first. */
const LONGEST_PAUSE_MS = 240

/** Requests for adapters that engines hold, and for others, as on the sheet. */
const CALL_INTERVAL_MS = 40
const NEW_INTERVAL_MS = 380

const record = new Record(import.meta.url)
const store = new Store()
const boxes = []
const engines = []
/** Numbers of runs and of refusals by request. */
const runs = new Map()
const refusals = new Map()
const answers = new Map()
const unsafe = new Set()
const boxOf = new Map()
let garbled
let garbleUntil = -Infinity
/** Numbers of answers of each engine in that time. */
const answersInTime = new Map()
let repeated = 0

function loadMs() {
  const loading = engines.reduce((sum, {pending}) => sum + pending.size, 0)
  return LOAD_MS * (loading + 1)
}

/**
 * Whether a copy of the refusal follows later: if the adapter is loaded by the next try.
 * One engine repeats answers, the first of which such a refusal is seen.
 */
function repeatsAnswer(engine, {id, adapter, socket}) {
  if (performance.now() > garbleUntil || !unsafe.has(id)) return false
  if (repeated >= MOST_REPEATED) return false
  const pauseMs = FIRST_PAUSE_MS * 2 ** (refusals.get(id) - 1)
  if (pauseMs > LONGEST_PAUSE_MS) return false
  if (engine.loadedAt.get(adapter) - performance.now() > pauseMs) return false
  if (!isOldest(engine, id, socket)) return false
  garbled ??= engine
  if (engine !== garbled) return false
  repeated++
  record.add("answer will be repeated", {engine: engine.id, id})
  return true
}

/** Whether a connection is the oldest one of its box. Boxes use the oldest that is free. */
function isOldest({sockets}, id, socket) {
  const box = boxOf.get(id)
  const ofBox = [...sockets].filter(({lastId}) => boxOf.get(lastId) === box)
  return ofBox[0] === socket
}

function observe({type, ...fields}) {
  record.add(type, fields)
  const {id, worker} = fields
  if (type === "run") runs.set(id, (runs.get(id) ?? 0) + 1)
  if (type === "refused") refusals.set(id, (refusals.get(id) ?? 0) + 1)
  if (type === "arrived" && performance.now() <= garbleUntil) {
    answersInTime.set(worker, (answersInTime.get(worker) ?? 0) + 1)
  }
}

function configure() {
  const shared = {
    host: HOST,
    kind: "streaming",
    targetLatencyMs: 1000,
    service: "models",
    sticky: true,
    gapTargetMs: 400
  }
  const breve = {
    ...shared,
    name: "r-breve",
    pathPrefix: "/breve/",
    timeoutMs: 5000,
    priority: 2,
    maxAttempts: 2,
    resumable: true
  }
  const pleno = {
    ...shared,
    name: "r-pleno",
    pathPrefix: "/pleno/",
    timeoutMs: 6000,
    priority: 1,
    maxAttempts: 1,
    resumable: false
  }
  const model = {name: MODEL, weightsMb: 16100, loadS: 0.6, adapters: 3000, adapterMb: 14}
  const engine = {
    slots: 96,
    kvCapacity: 122543,
    models: [model],
    weightsMb: 16500,
    maxAdapters: MAX_ADAPTERS,
    loadsPerS: 2.1
  }
  store.write("op/config", {
    version: 7,
    routes: [breve, pleno],
    services: [{name: "models", healthPath: "/health", maxConnections: 500, engine}],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 4194304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000
    }
  })
}

let asked = 0
async function ask(path, adapter) {
  const id = `${path.slice(1, 6)}-${++asked}`
  if (path === "/pleno/2f") unsafe.add(id)
  const box = boxes[Math.floor(Math.random() * boxes.length)]
  boxOf.set(id, box)
  const headers = {
    "x-request-id": id,
    "x-model-id": `${MODEL}/${adapter}`,
    "x-token-usage": "1800,22",
    "x-request-deadline": path === "/pleno/2f" ? "6000" : "5000"
  }
  const {status, isWhole} = await call(box.front, path, {headers})
  answers.set(id, status)
  record.add("answer", {id, box: box.name, adapter, status, isWhole})
}

async function until(what, probe, limitMs = 10_000) {
  const end = performance.now() + limitMs
  while (!probe()) {
    if (performance.now() > end) throw new Error(`waited in vain: ${what}`)
    await pause(5)
  }
}

let isCalling = true
async function askForHeld() {
  for (let i = 0; isCalling; i++) {
    void ask("/breve/2f", HELD[i % HELD.length])
    await pause(CALL_INTERVAL_MS)
  }
}

/** Asks for adapters that no engine holds. */
async function askForNew() {
  for (let i = 100; isCalling; i++) {
    void ask("/pleno/2f", `a${i}`)
    await pause(NEW_INTERVAL_MS)
  }
}

async function play() {
  configure()
  const options = {
    service: "models",
    model: MODEL,
    slots: 96,
    reportLagMs: 200,
    maxAdapters: MAX_ADAPTERS,
    loadMs,
    repeatsAnswer
  }
  for (const zone of ZONES.slice(0, 2)) {
    engines.push(await new Worker(store, {...options, zone}, observe).start())
  }
  for (const [i, zone] of ZONES.entries()) {
    for (let number = 1; number <= ZONE_BOXES[i]; number++) {
      const name = `front-${zone}-${number}`
      boxes.push(new Box(name, zone, await store.listen(name)))
      await boxes.at(-1).start()
    }
  }
  for (const box of boxes) await box.untilReady()
  await until("a leader", () => store.read("sedge/leader"))
  await pause(2_000)
  for (const adapter of HELD) {
    await ask("/breve/2f", adapter)
    const isHeld = () => engines.some(({adapters}) => adapters.has(adapter))
    await until(`${adapter} is loaded`, isHeld)
  }
  void askForHeld()
  await pause(3_000)
  if (HAS_TROUBLE) {
    garbleUntil = performance.now() + GARBLE_MS
    record.add("an engine may repeat answers from here")
  }
  void askForNew()
  await pause(GARBLE_MS + 2_000)
  isCalling = false
  await pause(3_000)
  if (!HAS_TROUBLE) return
  const all = answersInTime.get(garbled?.id) ?? 0
  const share = repeated / Math.max(1, all)
  record.add("repeated answers", {engine: garbled?.id, repeated, answers: all, share})
  if (share > GARBLE_SHARE) throw new Error("too many answers were repeated")
}

async function main() {
  let status = 2
  try {
    await play()
    const twice = [...unsafe].filter(id => (runs.get(id) ?? 0) > 1)
    const refused = [...unsafe].filter(id => runs.has(id) && answers.get(id) === 503)
    for (const id of twice) record.add("ran more than once", {id, runs: runs.get(id)})
    for (const id of refused) record.add("ran and got 503", {id})
    const broken = twice.length + refused.length
    record.add("result", {
      unsafe: unsafe.size,
      twice: twice.length,
      refused: refused.length
    })
    console.log(`of ${unsafe.size} requests that must not be repeated,`)
    console.log(`${twice.length} ran twice, ${refused.length} ran and got 503`)
    status = broken > 0 ? 1 : 0
  } catch (error) {
    console.error(error)
  }
  await Promise.all(boxes.map(box => box.end()))
  for (const engine of engines) engine.stop()
  store.stop()
  await record.close()
  process.exit(status)
}

/** Ends all boxes if the script itself is ended. */
for (const name of ["SIGINT", "SIGTERM"]) {
  process.on(name, () => {
    for (const box of boxes) box.signal("SIGKILL")
    process.exit(2)
  })
}

await main()
