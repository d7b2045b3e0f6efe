/** The client of the platform's store when connections go silent. */
import {type AddressInfo, createServer, type Socket} from "node:net"
import {setFlagsFromString} from "node:v8"
import {runInNewContext} from "node:vm"
import t from "tap"
import {connectStore} from "../platform/store.js"
import {StoreEras} from "../src/adapters/era-source.js"
import {LATE_ANSWER_MS} from "../src/core/snapshot-age.js"
import type {KvStore} from "../src/ports/ports.js"
import {passIfKnownRed} from "./support/known-red.js"
import {startRawServer} from "./support/raw-http.js"

setFlagsFromString("--expose-gc")
const collect = runInNewContext("gc") as () => void

const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms))

/** A store whose connections can go silent without being closed. */
class SilentStore {
  connections = 0
  private readonly silent_ = new Set<Socket>()
  private readonly sockets_ = new Set<Socket>()
  private readonly server_ = createServer(socket => this.handle(socket))

  async listen(): Promise<string> {
    await new Promise<void>(resolve =>
      this.server_.listen(0, "127.0.0.1", () => resolve())
    )
    return `127.0.0.1:${(this.server_.address() as AddressInfo).port}`
  }

  /** Silences all open connections. New ones work. */
  silence(): void {
    for (const socket of this.sockets_) this.silent_.add(socket)
  }

  close(): void {
    for (const socket of this.sockets_) socket.destroy()
    this.server_.close()
  }

  private handle(socket: Socket): void {
    this.connections++
    this.sockets_.add(socket)
    socket.on("error", () => undefined)
    socket.on("data", data => {
      if (this.silent_.has(socket) || data.includes("/kv-watch")) return
      const body = JSON.stringify({items: [], more: false, at: 1})
      socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
    })
  }
}

async function connect(): Promise<{store: SilentStore; kv: KvStore}> {
  const store = new SilentStore()
  const address = await store.listen()
  return {
    store,
    kv: connectStore({
      address,
      timeoutMs: 450,
      watchMs: 300,
      eras: new StoreEras(() => undefined)
    })
  }
}

// A timeout that only a combined signal refers to may be garbage-collected, and then
// never ends its call.
t.test("a watch times out even if garbage is collected meanwhile", async t => {
  const {store, kv} = await connect()
  t.teardown(() => store.close())
  const abort = new AbortController()
  t.teardown(() => abort.abort())
  const watch = kv
    .watch("a/", {revision: 0}, () => undefined, abort.signal)
    .then(
      () => "answered",
      () => "failed"
    )
  for (let i = 0; i < 5; i++) {
    await sleep(50)
    collect()
  }
  t.equal(await Promise.race([watch, sleep(2_000)]), "failed")
})

// Otherwise each silent connection of the pool costs a call its whole timeout.
t.test("after a connection went silent, calls use new connections", async t => {
  const {store, kv} = await connect()
  t.teardown(() => store.close())
  // Connections open one after another.
  for (let round = 0; round < 3; round++)
    await Promise.all([1, 2, 3].map(() => kv.list("a/")))
  t.equal(store.connections, 3)
  store.silence()
  const late = kv.list("a/").catch(() => "late")
  await sleep(LATE_ANSWER_MS + 50)
  const startedAt = performance.now()
  t.match(await kv.list("a/"), {entries: []})
  t.ok(performance.now() - startedAt < LATE_ANSWER_MS)
  t.equal(await late, "late")
})

// An answer without a length whose connection closes after its head has an empty body.
t.test("a store's answer without a body is neither a value nor a success", async t => {
  if (passIfKnownRed("store-calls 3")) return
  const server = await startRawServer(socket => socket.end("HTTP/1.1 200 OK\r\n\r\n"))
  t.teardown(server.close)
  const kv = connectStore({
    address: server.address,
    timeoutMs: 450,
    watchMs: 300,
    eras: new StoreEras(() => undefined)
  })
  const {signal} = new AbortController()
  const unknown = {name: "KvUnknown"}
  await t.rejects(kv.get("k"), unknown)
  await t.rejects(kv.list("k"), unknown)
  await t.rejects(kv.put("k", "v"), unknown)
  await t.rejects(kv.grantLease(1_000), unknown)
  await t.rejects(
    kv.watch("k", {revision: 0}, () => undefined, signal),
    unknown
  )
})
