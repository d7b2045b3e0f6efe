/** A store whose answers are all late, and boxes that have no processor for a while. */
import {createServer, type Server} from "node:http"
import type {AddressInfo} from "node:net"
import {setImmediate as nextTurn, setTimeout as sleep} from "node:timers/promises"
import {Worker} from "node:worker_threads"
import t from "tap"
import {connectStore} from "../platform/store.js"
import {StoreEras} from "../src/adapters/era-source.js"
import type {KvStore} from "../src/ports/ports.js"
import {passIfKnownRed} from "./support/known-red.js"
import {PlatformBed} from "./support/platform-bed.js"

/** Longer than the time limit of a call to the store, less than its lease lasts. */
const SLOW_MS = 600

/** Time from the return of all boxes within which a quarter of the calls is served. */
const RECOVERY_MS = 15_000
const CALLS = 20

const PAGE = JSON.stringify({items: [], more: false, at: 1})

function connect(address: string): KvStore {
  const eras = new StoreEras(() => undefined)
  return connectStore({address, timeoutMs: 450, watchMs: 300, eras})
}

async function listen(server: Server): Promise<string> {
  await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()))
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

// RECOVER: each call was given up and repeated before its answer came, for as long as
// answers took longer than the time limit of a call.
if (!passIfKnownRed("slow-store 1")) {
  t.test("boxes serve again after a start of all while the store is slow", async t => {
    const tenant = {name: "org", apiKeys: ["key"], unit: "requests" as const}
    const bed = await PlatformBed.start({
      boxes: 4,
      plain: 2,
      engines: 0,
      tenants: [{...tenant, plainTokens: 1, ratePerS: 100, burst: 100}]
    })
    t.teardown(() => bed.stop())
    await Promise.all(bed.boxes.map(({child}) => child.end("SIGKILL")))
    bed.store.faults = {delayMs: SLOW_MS}
    for (const box of bed.boxes) bed.restartBox(box)
    await sleep(RECOVERY_MS)
    const statuses: number[] = []
    for (let i = 0; i < CALLS; i++) {
      const box = bed.boxes[i % bed.boxes.length]
      if (box) statuses.push((await bed.call(box, "/safe/x", {key: "key"})).status)
      await sleep(50)
    }
    const served = statuses.filter(status => status === 200).length
    t.ok(served >= CALLS / 4, `${served} of ${CALLS} calls were served`)
  })
}

// RECOVER: each late answer opened new connections, whose first answer is later still.
if (!passIfKnownRed("slow-store 2")) {
  t.test("a store that answers slowly gets no new connection for each call", async t => {
    let connections = 0
    const server = createServer((_req, res) => {
      setTimeout(() => res.end(PAGE), 300)
    }).on("connection", () => connections++)
    t.teardown(() => server.closeAllConnections())
    t.teardown(() => server.close())
    const kv = connect(await listen(server))
    for (let i = 0; i < 10; i++) await kv.list("a/")
    t.ok(connections <= 3, `${connections} connections for ten calls`)
  })
}

// RECOVER: a box without a processor looks at its timers before it reads what has arrived.
if (!passIfKnownRed("slow-store 3")) {
  t.test("an answer that arrived while the box stood still counts", async t => {
    const server = new Worker(
      `const {createServer} = require("node:http")
       const {parentPort} = require("node:worker_threads")
       const server = createServer((req, res) => setTimeout(() => res.end('${PAGE}'), 20))
       server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port))`,
      {eval: true}
    )
    t.teardown(() => server.terminate())
    const port = await new Promise<number>(resolve => server.once("message", resolve))
    const kv = connect(`127.0.0.1:${port}`)
    await kv.list("a/")
    const call = kv.list("a/")
    // Lets the request leave, and stands still before the loop looks at its timers.
    await sleep(5)
    await nextTurn()
    const until = performance.now() + 600
    while (performance.now() < until);
    t.match(await call, {entries: []})
  })
}
