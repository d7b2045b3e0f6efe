/**
 * Boxes at a service that opens connections one after another (RECOVER). A connection that
 * is given up has to be opened all the same, before those that are awaited.
 */
import type {Socket} from "node:net"
import {setTimeout as sleep} from "node:timers/promises"
import t from "tap"
import {connectStore} from "../platform/store.js"
import {StoreEras} from "../src/adapters/era-source.js"
import type {KvStore} from "../src/ports/ports.js"
import {STALE_MS} from "../src/core/snapshot-age.js"
import {startRawServer} from "./support/raw-http.js"
import {SlowAcceptor} from "./stand-ins/slow-acceptor.js"
import {passIfKnownRed} from "./support/known-red.js"

const CLIENTS = 40
const INTERVAL_MS = 50

/** Kinds of calls that a box without a leader repeats at the same time. */
const LOOPS = 4
const LOOP_PAUSE_MS = 250

/** Time from the return of all boxes within which a quarter of the calls is served. */
const RECOVERY_MS = 15_000

/** Connections of a box that are opened before one is of use to it, on average. */
const MAX_CONNECTIONS = 4

/** Repeats calls as the loops of a box do, until `hasEnded`. Counts those that failed. */
async function repeatCalls(kv: KvStore, hasEnded: () => boolean): Promise<() => number> {
  let lastFailedAt = performance.now()
  const repeat = async (): Promise<void> => {
    while (!hasEnded()) {
      await kv.get("k").catch(() => (lastFailedAt = performance.now()))
      await sleep(LOOP_PAUSE_MS)
    }
  }
  void Promise.all(Array.from({length: LOOPS}, repeat))
  return () => lastFailedAt
}

// RECOVER: each call that was late opened another connection, and closed the one that the
// store was about to take up, so that the store answered none of 86 starting boxes.
if (!passIfKnownRed("slow-connections 1")) {
  t.test("a store that opens connections slowly answers all boxes", async t => {
    const store = await SlowAcceptor.start(INTERVAL_MS, (_req, res) => {
      res.statusCode = 404
      res.end()
    })
    t.teardown(() => store.close())
    let hasEnded = false
    t.teardown(() => (hasEnded = true))
    const startedAt = performance.now()
    const clients = await Promise.all(
      Array.from({length: CLIENTS}, () => {
        const eras = new StoreEras(() => undefined)
        const {address} = store
        const kv = connectStore({address, timeoutMs: 450, watchMs: 900, eras})
        return repeatCalls(kv, () => hasEnded)
      })
    )
    await sleep(RECOVERY_MS)
    const failedS = clients.map(lastFailedAt => (lastFailedAt() - startedAt) / 1000)
    const failing = failedS.filter(at => at > 0.8 * (RECOVERY_MS / 1000)).length
    t.comment(`${store.connections} connections, ${failing} clients still fail`)
    t.equal(failing, 0, "no client fails any more")
    t.ok(store.connections <= MAX_CONNECTIONS * CLIENTS, `${store.connections}`)
  })
}

const OK = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}"

/** Answers the request that has arrived on a connection, and all further ones. */
function answerAll(socket: Socket): void {
  socket.write(OK)
  socket.on("data", () => socket.write(OK))
}

/** Calls until a call is answered. Returns how long that took (ms). */
async function callUntilAnswered(kv: KvStore): Promise<number> {
  const startedAt = performance.now()
  for (;;) {
    const answered = await kv.remove("k").then(
      () => true,
      () => false
    )
    if (answered) return performance.now() - startedAt
  }
}

// RECOVER: calls waited for a new connection that was silent, while others worked.
t.test("a new connection that is silent holds up no other calls", async t => {
  let connections = 0
  const server = await startRawServer(socket => {
    if (++connections > 1) answerAll(socket)
  })
  t.teardown(server.close)
  const eras = new StoreEras(() => undefined)
  const kv = connectStore({address: server.address, timeoutMs: 450, watchMs: 900, eras})
  const tookMs = await callUntilAnswered(kv)
  t.ok(tookMs < STALE_MS, `${tookMs} ms`)
})

// The intervals at which connections open are bounded.
t.test("a store whose connections were all silent is called again soon", async t => {
  const startedAt = performance.now()
  let isSilent = true
  const server = await startRawServer(socket => {
    if (!isSilent) answerAll(socket)
  })
  t.teardown(server.close)
  const eras = new StoreEras(() => undefined)
  const kv = connectStore({address: server.address, timeoutMs: 450, watchMs: 900, eras})
  setTimeout(() => (isSilent = false), 6_000)
  await callUntilAnswered(kv)
  const lateMs = performance.now() - startedAt - 6_000
  t.ok(lateMs < 3_000, `${lateMs} ms after new connections work`)
})
