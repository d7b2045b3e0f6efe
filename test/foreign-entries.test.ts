/**
 * Invalid entries of backend servers, as another writer may store them, add no server,
 * and all other entries stay in force.
 */
import {createServer} from "node:net"
import type {AddressInfo} from "node:net"
import t from "tap"
import type {StandInWorker} from "./stand-ins/platform-worker.js"
import {type BedBox, PlatformBed} from "./support/platform-bed.js"
import {until} from "./support/wait.js"

/** Time within which boxes apply a new entry, or one that became invalid. */
const APPLY_MS = 2_500

const SETTLE_MS = 2_000

function entryOf(service: string, address: string): Record<string, unknown> {
  return {
    service,
    address,
    zone: "dc-0",
    version: "v1",
    slots: 96,
    state: "ready",
    coldRemainingMs: 0,
    sequence: 0,
    born: 1_790_000_000_000
  }
}

/** Returns invalid entries by id; addresses in them are `address` or a variant of it. */
function invalidEntries(address: string): Map<string, Buffer> {
  const good = entryOf("plain", address)
  const engine = entryOf("engines", address)
  const values: Record<string, unknown> = {
    "no-object": [good],
    text: "ready",
    null: null,
    state: {...good, state: "resting"},
    "state-case": {...good, state: "Ready"},
    service: {...good, service: "unheard-of"},
    "service-type": {...good, service: 7},
    "zone-missing": {...good, zone: undefined},
    "state-missing": {...good, state: undefined},
    "slots-text": {...good, slots: "96"},
    "address-missing": {...good, address: undefined},
    "address-type": {...good, address: {host: address}},
    "address-name": {...good, address: address.replace("127.0.0.1", "localhost")},
    "address-port": {...good, address: "127.0.0.1:99999"},
    "born-negative": {...good, born: -5},
    "born-fraction": {...good, born: 1.5},
    "born-text": {...good, born: "1790000000000"},
    "models-type": {...engine, models: {base: []}},
    "models-name": {...engine, models: [{adapters: ["a1@1"]}]},
    "adapters-type": {...engine, models: [{name: "base", adapters: [3]}]}
  }
  const encoded = new Map<string, Buffer>()
  for (const [id, value] of Object.entries(values)) {
    encoded.set(`f-${id}`, Buffer.from(JSON.stringify(value)))
  }
  encoded.set("f-bytes", Buffer.from([0xff, 0x00, 0x7b, 0xc3]))
  encoded.set("f-cut", Buffer.from(JSON.stringify(good).slice(0, 40)))
  encoded.set("f-empty", Buffer.alloc(0))
  encoded.set(
    "f-large",
    Buffer.from(JSON.stringify({...good, more: "x".repeat(300_000)}))
  )
  encoded.set("f id", Buffer.from(JSON.stringify(good)))
  return encoded
}

function plainOf(bed: PlatformBed): StandInWorker {
  return bed.plain[0] as StandInWorker
}

/** Listens at an address that must not be called, and counts the calls. */
async function listenForCalls(): Promise<{
  address: string
  calls: () => number
  close: () => void
}> {
  let calls = 0
  const server = createServer(socket => {
    calls++
    socket.on("error", () => undefined)
    socket.destroy()
  })
  await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()))
  const {port} = server.address() as AddressInfo
  return {address: `127.0.0.1:${port}`, calls: () => calls, close: () => server.close()}
}

async function restartAll(bed: PlatformBed): Promise<void> {
  await Promise.all(bed.boxes.map(({child}) => child.end("SIGKILL")))
  for (const box of bed.boxes) bed.restartBox(box)
  await bed.ready()
}

async function isServed(bed: PlatformBed, box: BedBox): Promise<boolean> {
  return (await bed.call(box, "/safe/x")).status === 200
}

for (const isBeforeStart of [true, false]) {
  const when = isBeforeStart ? "exist before the boxes start" : "appear while boxes serve"
  t.test(`invalid entries that ${when} hide no valid entry`, async t => {
    const trap = await listenForCalls()
    const bed = await PlatformBed.start({boxes: 2, engines: 1, plain: 1})
    t.teardown(() => trap.close())
    t.teardown(() => bed.stop())
    for (const [id, bytes] of invalidEntries(trap.address)) {
      bed.store.writeBytes(`servers/${id}`, bytes)
    }
    if (isBeforeStart) await restartAll(bed)
    const old = plainOf(bed)
    const added = await bed.addPlain()
    old.drain()
    for (const box of bed.boxes) {
      await until(
        `${box.name} sends to the new server only`,
        async () => {
          const {id, status} = await bed.call(box, "/safe/x")
          return status === 200 && bed.judge.runsOf(id)[0]?.worker === added.id
        },
        APPLY_MS
      )
      const {status} = await bed.call(box, "/stream/x", {adapter: "a1"})
      t.equal(status, 200)
    }
    await new Promise(resolve => setTimeout(resolve, SETTLE_MS))
    t.equal(trap.calls(), 0, "the address of invalid entries is never called")
  })
}

t.test(
  "a server with an invalid entry gets no new requests until it is valid; runs finish",
  async t => {
    const bed = await PlatformBed.start({boxes: 2, engines: 1, plain: 2})
    t.teardown(() => bed.stop())
    const [server] = bed.plain
    if (!server) return
    for (const box of bed.boxes) t.ok(await isServed(bed, box))
    server.faults = {slowMs: SETTLE_MS}
    const running = bed.boxes.map(box => bed.call(box, "/unsafe/x", {body: "{}"}))
    await new Promise(resolve => setTimeout(resolve, 100))
    server.pauseHeartbeats()
    bed.store.writeBytes(`servers/${server.id}`, Buffer.from('{"state":"ready"'))
    await new Promise(resolve => setTimeout(resolve, APPLY_MS))
    for (const {status} of await Promise.all(running))
      t.equal(status, 200, "sent while the entry was valid")
    const before = bed.judge.runs.length
    for (let i = 0; i < 10; i++) {
      for (const box of bed.boxes) t.ok(await isServed(bed, box))
    }
    const late = bed.judge.runs.slice(before).filter(({worker}) => worker === server.id)
    t.equal(late.length, 0, "no more requests")
    server.faults = {}
    server.resumeHeartbeats()
    await until(
      "the server is used again",
      async () => {
        const {id} = await bed.call(bed.boxes[0] as BedBox, "/safe/x")
        return bed.judge.runsOf(id)[0]?.worker === server.id
      },
      APPLY_MS
    )
  }
)

t.test("invalid values of operators' keys change nothing", async t => {
  const bed = await PlatformBed.start({boxes: 2, engines: 1, plain: 1})
  t.teardown(() => bed.stop())
  for (const box of bed.boxes) {
    t.equal((await bed.call(box, "/stream/x", {adapter: "a3"})).status, 200)
  }
  bed.store.writeBytes("op/version/base.a1", Buffer.from("{"))
  bed.store.writeBytes(
    "op/version/base.a2",
    Buffer.from('{"model":"base","adapter":"a2","version":"9"}')
  )
  bed.store.writeBytes("op/other", Buffer.from([0xff, 0xfe]))
  bed.store.writeBytes("op/config", Buffer.from('{"version":99,"routes":7}'))
  bed.publishAdapterVersion("a3", 2)
  for (const box of bed.boxes) {
    await until("the valid version", async () => {
      const {id} = await bed.call(box, "/stream/x", {adapter: "a3"})
      return bed.judge.runsOf(id).some(run => run.version === 2)
    })
    t.ok(await isServed(bed, box), "served by the last valid configuration")
    t.equal((await bed.call(box, "/stream/x", {adapter: "a2"})).status, 200)
  }
  const version = bed.configure([
    {
      name: "new",
      pathPrefix: "/new/",
      kind: "safe",
      service: "plain",
      maxAttempts: 1,
      targetLatencyMs: 200
    }
  ])
  t.ok(version > 0)
  for (const box of bed.boxes) {
    await until("the next configuration", async () => {
      return (await bed.call(box, "/new/x")).status === 200
    })
  }
})
