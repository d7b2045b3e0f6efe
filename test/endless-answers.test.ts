/**
 * Bytes that are no answer and have no end, until the caller closes. Guards against boxes
 * that keep them in memory, read them for ever, or leave the request without an answer.
 */
import {readFileSync} from "node:fs"
import {globalAgent} from "node:http"
import t, {type Test} from "tap"
import {connectStore} from "../platform/store.js"
import {StoreEras} from "../src/adapters/era-source.js"
import {SnapshotLink} from "../src/adapters/box-links.js"
import {PeerSnapshots} from "../src/adapters/peer-snapshots.js"
import {askServerState} from "../src/adapters/peer-probe.js"
import {postMessage} from "../src/adapters/stream-messages.js"
import type {KvStore} from "../src/ports/ports.js"
import {passIfKnownRed} from "./support/known-red.js"
import {ENDLESS_KINDS, type EndlessKind, EndlessServer} from "./support/endless-server.js"
import {
  type BedBox,
  type BedOptions,
  type Outcome,
  PlatformBed
} from "./support/platform-bed.js"
import {until} from "./support/wait.js"
import {wholeStream} from "./support/whole-stream.js"

const MB = 1_048_576

/** Memory that a box may need for all that it is sent without end, in MB. */
const MAX_GROWTH_MB = 64

/** Time that callers allow for their requests. */
const DEADLINE_MS = 4_000

/** Answers whose body has no end. */
const BODY_KINDS: ReadonlySet<EndlessKind> = new Set([
  "body",
  "chunks",
  "refusal",
  "foreign"
])

/** Answers without end that carry no content. */
const OVERHEAD_KINDS: ReadonlySet<EndlessKind> = new Set([
  "head",
  "informational",
  "extension",
  "trailer"
])

/**
 * Bytes that may be sent, in MB, to a box that wants a short answer. The system takes some
 * of them before the box reads any.
 */
const MAX_SENT_MB = 12

/** The same of one answer of the store, whose lists are long. */
const MAX_STORE_MB = 24

/** Longest time after the answer until the box has closed the server's connection. */
const CLOSE_MS = 2_000

const DETECTION_MS = 2_500

/** Time limits of calls to the store and to other boxes. */
const STORE_TIMEOUT_MS = 450
const SNAPSHOT_TIMEOUT_MS = 400
const PROBE_TIMEOUT_MS = 600
const STREAM_MESSAGE_TIMEOUT_MS = 250

const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms))

function residentBytes(box: BedBox): number {
  const status = readFileSync(`/proc/${box.child.pid}/status`, "utf8")
  return 1_024 * Number(/VmRSS:\s+(\d+)/.exec(status)?.[1])
}

/** Samples the memory of boxes. Returns a function that ends it and returns the growth. */
function watchMemory(boxes: readonly BedBox[]): () => number {
  const before = boxes.map(residentBytes)
  let growth = 0
  const sample = (): void => {
    boxes.forEach((box, i) => {
      growth = Math.max(growth, residentBytes(box) - (before[i] as number))
    })
  }
  const timer = setInterval(sample, 20)
  return () => {
    clearInterval(timer)
    sample()
    return growth
  }
}

interface EndlessBed {
  readonly bed: PlatformBed
  readonly endless: readonly EndlessServer[]
}

/** Starts a deployment whose servers are behind endless ones that pass all on at first. */
async function start(
  t: Test,
  matches: (head: string) => boolean,
  options: BedOptions = {}
): Promise<EndlessBed> {
  const bed = await PlatformBed.start({boxes: 1, engines: 2, plain: 2, ...options})
  const endless: EndlessServer[] = []
  t.teardown(async () => {
    await bed.stop()
    for (const server of endless) server.close()
  })
  for (const worker of [...bed.engines, ...bed.plain]) {
    const server = await EndlessServer.start(matches, worker.address)
    endless.push(server)
    worker.announcedAddress = server.address
    worker.writeEntry()
  }
  // Boxes keep the first address of a server.
  for (const box of bed.boxes) {
    await box.child.end()
    bed.restartBox(box)
  }
  await bed.ready()
  for (const box of bed.boxes) {
    await until("requests are served", async () => {
      const plain = await bed.call(box, "/safe/x")
      const stream = await bed.call(box, "/stream/x", {adapter: "a1"})
      return plain.status === 200 && stream.status === 200
    })
  }
  return {bed, endless}
}

interface Answered extends Outcome {
  readonly tookMs: number
}

interface EndlessCall {
  /** Servers answer without end: all, or only the one of the first attempt. */
  readonly servers: "all" | "first"
  readonly path: string
  readonly box?: BedBox
}

/** Calls while servers answer without end, and checks what boxes do of it. */
async function callEndless(
  t: Test,
  {bed, endless}: EndlessBed,
  kind: EndlessKind,
  {servers, path, box = bed.boxes[0] as BedBox}: EndlessCall
): Promise<Answered> {
  const stop = watchMemory(bed.boxes)
  const setKind = (next: EndlessKind | undefined): void =>
    endless.forEach(server => (server.kind = next))
  let hasBegun = false
  for (const server of endless) {
    server.onBegin = () => {
      hasBegun = true
      if (servers === "first") setKind(undefined)
    }
  }
  setKind(kind)
  const startedAt = performance.now()
  const model = path.startsWith("/safe") ? {} : {adapter: "a1"}
  const outcome = await bed.call(box, path, {deadlineMs: DEADLINE_MS, ...model})
  const tookMs = performance.now() - startedAt
  await checkClosed(t, endless, kind)
  setKind(undefined)
  const mb = Math.round(stop() / MB)
  t.comment(`${kind}: ${outcome.status} after ${Math.round(tookMs)} ms, ${mb} MB`)
  t.ok(hasBegun, `${kind}: was sent`)
  t.ok(mb < MAX_GROWTH_MB, `${kind}: ${mb} MB`)
  t.ok(tookMs < DEADLINE_MS, `${kind}: ended after ${Math.round(tookMs)} ms`)
  t.notOk(
    bed.boxes.some(({child}) => child.ended),
    `${kind}: no box ended`
  )
  await until("requests are served again", async () => {
    const again = await bed.call(box, path, model)
    return again.status === 200 && !again.broken
  })
  return {...outcome, tookMs}
}

async function checkClosed(
  t: Test,
  endless: readonly EndlessServer[],
  kind: EndlessKind
): Promise<void> {
  const open = (): number => endless.reduce((sum, server) => sum + server.open, 0)
  const left = await until("closed", () => open() === 0, CLOSE_MS).then(
    () => 0,
    () => open()
  )
  t.equal(left, 0, `${kind}: connections are closed`)
}

const isPlain = (head: string): boolean => head.startsWith("GET /safe/")
const isStream = (head: string): boolean => /^POST \/(stream|once)\//.test(head)

// Each test has a deployment of its own, and mostly waits.
t.jobs = 3

t.test("a plain server's endless answer is replaced by another one", async t => {
  if (passIfKnownRed("endless-answers 1")) return
  const endless = await start(t, isPlain)
  for (const kind of ENDLESS_KINDS) {
    const call = {servers: "first", path: "/safe/x"} as const
    const {status} = await callEndless(t, endless, kind, call)
    t.equal(status, 200, kind)
  }
})

t.test("endless answers of all plain servers end with a status", async t => {
  if (passIfKnownRed("endless-answers 2")) return
  const endless = await start(t, isPlain)
  for (const kind of ENDLESS_KINDS) {
    const call = {servers: "all", path: "/safe/x"} as const
    const {status} = await callEndless(t, endless, kind, call)
    // The whole answer before the endless bytes is sound.
    t.ok(kind === "beyond" ? status === 200 : status >= 500, `${kind}: ${status}`)
  }
})

t.test("an engine's endless stream is continued by another one", async t => {
  if (passIfKnownRed("endless-answers 3")) return
  const endless = await start(t, isStream)
  for (const kind of ENDLESS_KINDS) {
    // The one byte of this stream is no event.
    const call = {servers: "first", path: "/stream/x"} as const
    const {id, ...outcome} = await callEndless(t, endless, kind, call)
    t.match(outcome, {status: 200, broken: false, body: wholeStream(id)}, kind)
  }
})

t.test("an event without end is not complete, and is not kept", async t => {
  if (passIfKnownRed("endless-answers 4")) return
  const endless = await start(t, isStream)
  for (const kind of ["body", "chunks"] as const) {
    const call = {servers: "all", path: "/once/x"} as const
    const outcome = await callEndless(t, endless, kind, call)
    t.ok(outcome.broken || outcome.status !== 200, `${kind}: does not look complete`)
    t.notMatch(outcome.body, "x", `${kind}: nothing of it is passed on`)
  }
})

t.test("the same of plain answers through another box", async t => {
  if (passIfKnownRed("endless-answers 5")) return
  const endless = await start(t, isPlain, {boxes: 2, cuttable: true})
  const {bed} = endless
  const box = bed.boxes.find(each => each !== bed.leader()) as BedBox
  bed.cut(box, [...bed.engines, ...bed.plain], "reset")
  for (let ms = 0; ms < DETECTION_MS; ms += 100) {
    void bed.call(box, "/safe/x")
    await sleep(100)
  }
  t.equal((await bed.call(box, "/safe/x")).status, 200)
  for (const kind of ["head", "body", "chunks", "trailer", "foreign"] as const) {
    const call = {servers: "all", path: "/safe/x", box} as const
    const {status} = await callEndless(t, endless, kind, call)
    t.ok(status >= 500, `${kind}: ${status}`)
  }
})

t.test("endless reports of engines to the leader", async t => {
  if (passIfKnownRed("endless-answers 6")) return
  const {bed, endless} = await start(t, head => head.startsWith("GET /report"))
  const stop = watchMemory(bed.boxes)
  for (const kind of ["head", "body", "chunks"] as const) {
    const [server] = endless as [EndlessServer]
    const {begun, sentBytes} = server
    server.kind = kind
    await until("it is asked", () => server.begun > begun + 1)
    server.kind = undefined
    await checkClosed(t, [server], kind)
    const sentMb = (server.sentBytes - sentBytes) / (server.begun - begun) / MB
    t.ok(sentMb < MAX_SENT_MB, `${kind}: ${Math.round(sentMb)} MB of each were sent`)
    t.match(await bed.call(bed.boxes[0] as BedBox, "/stream/x", {adapter: "a1"}), {
      status: 200
    })
  }
  const mb = Math.round(stop() / MB)
  t.ok(mb < MAX_GROWTH_MB, `${mb} MB`)
})

const ASK = {t: "ask-news", configVersion: -1, ageMs: Infinity} as const

function requestSnapshot(address: string): Promise<unknown> {
  return new SnapshotLink(address, () => undefined).request(ASK)
}

function connectTo(address: string): KvStore {
  return connectStore({
    address,
    timeoutMs: STORE_TIMEOUT_MS,
    watchMs: 900,
    eras: new StoreEras(() => undefined)
  })
}

t.test("endless answers of the store", async t => {
  if (passIfKnownRed("endless-answers 7")) return
  const server = await EndlessServer.start()
  t.teardown(() => server.close())
  const kv = connectTo(server.address)
  const {signal} = new AbortController()
  for (const kind of ENDLESS_KINDS) {
    server.kind = kind
    const sent = server.sentBytes
    const startedAt = performance.now()
    const calls = [
      () => kv.get("k"),
      () => kv.put("k", "v"),
      () => kv.watch("k", {revision: 0}, () => undefined, signal)
    ]
    for (const call of calls)
      await t.rejects(async () => void (await call()), `${kind}: fails`)
    t.ok(performance.now() - startedAt < 4_000, `${kind}: in time`)
    await checkClosed(t, [server], kind)
    const mb = Math.round((server.sentBytes - sent) / MB)
    t.comment(`${kind}: ${mb} MB sent`)
    if (BODY_KINDS.has(kind)) t.ok(mb < 3 * MAX_STORE_MB, `${kind}: ${mb} MB read`)
  }
})

// Guards against parsing an answer of the store that is none until the call's time limit.
t.test("overhead without end of the store ends before the time limit", async t => {
  const server = await EndlessServer.start()
  t.teardown(() => server.close())
  const kv = connectTo(server.address)
  for (const kind of OVERHEAD_KINDS) {
    server.kind = kind
    const startedAt = performance.now()
    await t.rejects(kv.get("k"), `${kind}: fails`)
    const tookMs = performance.now() - startedAt
    t.ok(tookMs < STORE_TIMEOUT_MS, `${kind}: after ${Math.round(tookMs)} ms`)
  }
})

// Guards against parsing an answer of another box that is none until the time limit.
t.test("overhead without end of other boxes ends before the time limit", async t => {
  const server = await EndlessServer.start()
  t.teardown(() => server.close())
  const {address} = server
  const calls = [
    {limitMs: PROBE_TIMEOUT_MS, call: () => askServerState([address], "s")},
    {
      limitMs: SNAPSHOT_TIMEOUT_MS,
      call: () => requestSnapshot(address)
    },
    {
      limitMs: STREAM_MESSAGE_TIMEOUT_MS,
      call: () => postMessage(globalAgent, address, "ask", "{}")
    }
  ]
  for (const kind of OVERHEAD_KINDS) {
    server.kind = kind
    for (const [i, {limitMs, call}] of calls.entries()) {
      const startedAt = performance.now()
      await call()
      const tookMs = performance.now() - startedAt
      t.ok(tookMs < limitMs, `${kind}, call ${i}: after ${Math.round(tookMs)} ms`)
    }
    await checkClosed(t, [server], kind)
  }
})

t.test("the store's client goes on with its next call", async t => {
  const store = await PlatformBed.start({boxes: 1, engines: 0, plain: 0})
  t.teardown(() => store.stop())
  const server = await EndlessServer.start(() => true, store.store.address)
  t.teardown(() => server.close())
  const kv = connectTo(server.address)
  for (const kind of ENDLESS_KINDS) {
    server.kind = kind
    await t.rejects(kv.get("op/config"), `${kind}: fails`)
    server.kind = undefined
    t.match(await kv.get("op/config"), {key: "op/config"}, `${kind}: and the next call`)
  }
})

t.test("endless answers of other boxes", async t => {
  if (passIfKnownRed("endless-answers 9")) return
  const server = await EndlessServer.start()
  t.teardown(() => server.close())
  for (const kind of ENDLESS_KINDS) {
    server.kind = kind
    const sent = server.sentBytes
    const peers = new PeerSnapshots("own:1")
    peers.addAddresses([server.address])
    t.equal(await peers.fetch(ASK), undefined, kind)
    const state = await askServerState([server.address], "s")
    t.ok(state === "unknown", `${kind}: ${state}`)
    await checkClosed(t, [server], kind)
    const mb = Math.round((server.sentBytes - sent) / MB)
    t.comment(`${kind}: ${mb} MB sent`)
    if (BODY_KINDS.has(kind)) t.ok(mb < MAX_SENT_MB, `${kind}: ${mb} MB sent`)
  }
})

t.test("streams are whole after all that", async t => {
  const {bed} = await start(t, isStream)
  const outcome = await bed.call(bed.boxes[0] as BedBox, "/stream/x", {adapter: "a1"})
  t.match(outcome, {status: 200, broken: false, body: wholeStream(outcome.id)})
})
