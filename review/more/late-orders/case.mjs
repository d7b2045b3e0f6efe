/**
 * Two orders to an engine get no answer and are carried out late, one of a leader that is
 * killed and one of the next leader. Judges whether the engine is ordered to load more
 * adapters than it can hold.
 */
import {Box, pause} from "../../lib/boxes.mjs"
import {call, HOST} from "../../lib/client.mjs"
import {Record} from "../../lib/record.mjs"
import {Store} from "../../lib/store.mjs"
import {Worker} from "../../lib/workers.mjs"

const HAS_TROUBLE = process.env.TROUBLE !== "0"
const ZONES = ["sala-a", "sala-b", "sala-c"]
const MODEL = "daka510000"
const MAX_ADAPTERS = 6
/** Adapters that are loaded before the trouble. The last one is not asked for again. */
const HELD = ["a1", "a2", "a3", "a4", "a5"]
const OLD = "a5"

/** `applied_late`: greatest share of the orders in its time, and how late they are done. */
const LATE_SHARE = 0.35
const LATE_FOR_MS = 6_000
const FIRST_LATE_MS = 2_000
const SECOND_LATE_MS = 5_000
/** Time until the process of the killed leader starts again. */
const DOWN_MS = 3_500

const record = new Record(import.meta.url)
const store = new Store()
const boxes = []
const orders = []
const late = []
/** Called when the engine answers an order with a conflict. */
let onConflict = () => undefined
/** Carries out the first late order. */
let carryOutFirst

/** Decides the fate of an order: the load of a6, and the first unload, get no answer. */
function delayOrder(worker, {operation, adapter, holder}) {
  if (!HAS_TROUBLE) return undefined
  const isFirst = operation === "load" && adapter === "a6" && late.length === 0
  const isSecond = operation === "unload" && late.length === 1
  if (!isFirst && !isSecond) return undefined
  const at = record.now
  late.push({operation, adapter, holder, at})
  record.add("order without answer", {worker: worker.id, holder, operation, adapter})
  if (isFirst) {
    return carryOut => {
      carryOutFirst = () => {
        record.add("order carried out late", {
          lateMs: Math.round((record.now - at) * 1000)
        })
        carryOut()
      }
    }
  }
  return carryOut => {
    setTimeout(() => carryOutFirst(), 100)
    setTimeout(carryOut, SECOND_LATE_MS)
  }
}

function observe({type, ...fields}) {
  record.add(type, fields)
  if (type !== "order") return
  orders.push({...fields, at: record.now})
  if (fields.status === 409) onConflict()
}

function configure() {
  const route = {
    name: "r-breve",
    host: HOST,
    pathPrefix: "/breve/",
    kind: "streaming",
    timeoutMs: 5000,
    targetLatencyMs: 1000,
    priority: 2,
    service: "models",
    maxAttempts: 2,
    sticky: true,
    resumable: true,
    gapTargetMs: 400
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
    routes: [route],
    services: [{name: "models", healthPath: "/health", maxConnections: 500, engine}],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 4194304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000
    }
  })
}

async function ask(box, adapter) {
  const headers = {"x-model-id": `${MODEL}/${adapter}`, "x-token-usage": "1800,22"}
  const {id, status, isWhole} = await call(box.front, "/breve/2f", {headers})
  record.add("answer", {id, box: box.name, adapter, status, isWhole})
  return status
}

async function until(what, probe, limitMs = 10_000) {
  const end = performance.now() + limitMs
  while (!probe()) {
    if (performance.now() > end) throw new Error(`waited in vain: ${what}`)
    await pause(5)
  }
}

let isCalling = true
async function askForHeld(adapters) {
  for (let i = 0; isCalling; i++) {
    const running = boxes.filter(box => box.isRunning)
    void ask(running[i % running.length], adapters[i % adapters.length])
    await pause(100)
  }
}

async function play() {
  configure()
  const options = {
    service: "models",
    zone: ZONES[0],
    model: MODEL,
    slots: 96,
    reportLagMs: 200,
    maxAdapters: MAX_ADAPTERS,
    delayOrder
  }
  const engine = await new Worker(store, options, observe).start()
  for (const zone of ZONES) {
    const name = `front-${zone}-1`
    boxes.push(new Box(name, zone, await store.listen(name)))
    await boxes.at(-1).start()
  }
  for (const box of boxes) await box.untilReady()
  await until("a leader", () => store.read("sedge/leader"))
  await pause(2_000)
  const lateFrom = record.now
  record.add("orders may be late from here")
  for (const adapter of HELD) {
    await ask(boxes[0], adapter)
    await until(`${adapter} is loaded`, () => engine.adapters.has(adapter))
  }
  void askForHeld(HELD.filter(adapter => adapter !== OLD))
  await pause(500)
  const name = store.read("sedge/leader").box
  const leader = boxes.find(box => box.name === name)
  const others = boxes.filter(box => box !== leader)
  record.add("leader", {box: name})
  // A client asks the leader, and comes back once to another box, as its sheet says.
  const asked = ask(leader, "a6").then(status => status !== 200 && ask(others[0], "a6"))
  if (HAS_TROUBLE) {
    await until("an order without answer", () => late.length === 1)
    await pause(30)
    record.add("kill", {box: name})
    await leader.kill()
    setTimeout(() => void leader.start(), DOWN_MS)
    await pause(FIRST_LATE_MS)
  }
  await asked
  // Asks for another adapter soon after a conflict.
  let hasAsked = false
  const askForOther = () => {
    if (hasAsked) return
    hasAsked = true
    setTimeout(() => void ask(others[1], "a7"), 20)
  }
  onConflict = askForOther
  record.add("new version", {adapter: OLD, version: 2})
  store.write(`op/version/${MODEL}.${OLD}`, {model: MODEL, adapter: OLD, version: 2})
  if (!HAS_TROUBLE) setTimeout(askForOther, 1_000)
  await pause(4_000)
  isCalling = false
  await pause(500)
  const lateUntil = lateFrom + LATE_FOR_MS / 1000
  const inTime = orders.filter(({at}) => at >= lateFrom && at <= lateUntil)
  const all = inTime.length + late.length
  record.add("late orders", {late: late.length, orders: all, share: late.length / all})
  if (late.length > LATE_SHARE * all) throw new Error("too many orders were late")
  if (late.some(({at}) => at > lateUntil)) throw new Error("an order was late too late")
  engine.stop()
}

async function main() {
  let status = 2
  try {
    await play()
    const beyond = orders.filter(
      ({operation, status: answered, places}) =>
        operation === "load" && answered === 202 && places > MAX_ADAPTERS
    )
    for (const order of beyond) record.add("loaded beyond", order)
    record.add("result", {beyond: beyond.length})
    console.log(`orders to load more than ${MAX_ADAPTERS} adapters: ${beyond.length}`)
    status = beyond.length > 0 ? 1 : 0
  } catch (error) {
    console.error(error)
  }
  await Promise.all(boxes.map(box => box.end()))
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
