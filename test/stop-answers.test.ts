/** Stops of a box: what becomes of the answers that its callers have not read. */
import {createServer, request} from "node:http"
import {type AddressInfo, connect} from "node:net"
import {setTimeout as sleep} from "node:timers/promises"
import t from "tap"
import {HEADER} from "../platform/words.js"
import {streamBody} from "./stand-ins/platform-worker.js"
import {type BedBox, HOST, PlatformBed} from "./support/platform-bed.js"
import {until} from "./support/wait.js"

/**
 * More than the system holds of an unread connection between two processes, and less than
 * the bound of a box.
 */
const BODY_BYTES = 14 << 20

/** Longer than a stopping box listens, and shorter than its grace period. */
const UNREAD_MS = 3_500

/** Longer than a stopping box listens. */
const LISTEN_MS = 2_700

/** A stream that lasts longer than the grace period. */
const LONG_STREAM = {events: 800, gapMs: 20}

const LONG_ROUTE = {
  name: "long",
  pathPrefix: "/long/",
  kind: "streaming",
  service: "engines",
  timeoutMs: 30_000,
  maxAttempts: 1,
  resumable: false,
  targetLatencyMs: 400,
  gapTargetMs: 200
}

/** Starts a server whose whole answers are as large as `BODY_BYTES`. */
async function startLargeServer(): Promise<{address: string; close: () => void}> {
  const body = Buffer.alloc(BODY_BYTES, "x")
  const server = createServer((req, res) => {
    const id = String(req.headers[HEADER.request])
    res.writeHead(200, {[HEADER.request]: id, [HEADER.signature]: "large"})
    res.end(body)
  })
  await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve))
  const {port} = server.address() as AddressInfo
  return {
    address: `127.0.0.1:${port}`,
    close: () => {
      server.close()
      server.closeAllConnections()
    }
  }
}

interface LateReader {
  /** Reads the answer and returns its number of bytes, and whether it is complete. */
  readonly read: () => Promise<{bytes: number; isComplete: boolean}>
  readonly leave: () => void
}

/** Calls a box, and reads no more of its answer than the head until told to. */
function callLate(box: BedBox, id: string): Promise<LateReader> {
  const [hostname, port] = box.callers.split(":")
  return new Promise((resolve, reject) => {
    const req = request({
      hostname,
      port,
      agent: false,
      path: "/safe/x",
      headers: {host: HOST, "x-request-id": id, "x-request-deadline": "4000"}
    })
    req.on("error", reject)
    req.on("response", res => {
      const read = async (): Promise<{bytes: number; isComplete: boolean}> => {
        let bytes = 0
        try {
          for await (const chunk of res) bytes += (chunk as Buffer).length
        } catch {
          return {bytes, isComplete: false}
        }
        return {bytes, isComplete: res.complete}
      }
      resolve({read, leave: () => req.destroy()})
    })
    req.end()
  })
}

async function startBed(engines = 0): Promise<PlatformBed> {
  const bed = await PlatformBed.start({boxes: 1, engines, plain: 1})
  const large = await startLargeServer()
  t.teardown(async () => {
    large.close()
    await bed.stop()
  })
  const [worker] = bed.plain
  if (worker) worker.announcedAddress = large.address
  worker?.writeEntry()
  return bed
}

// A stopping box destroyed connections whose answers it had ended but not yet sent.
t.test("a stopping box sends an ended answer to a caller that reads late", async t => {
  const bed = await startBed()
  const [box] = bed.boxes as [BedBox]
  await sleep(500)
  const caller = await callLate(box, "late")
  await until("the answer has ended", () => /"event":194/.test(bed.logs()))
  box.child.signal("SIGTERM")
  await sleep(UNREAD_MS)
  t.notOk(box.child.ended, "the box waits for its caller")
  t.same(await caller.read(), {bytes: BODY_BYTES, isComplete: true})
  await until("the box has ended", () => box.child.ended)
  t.equal(box.child.exitCode, 0)
})

// Guards against a stop that closes connections whose request is on its way.
t.test(
  "a stopping box answers a request of a connection that it has accepted",
  async t => {
    const bed = await startBed()
    const [box] = bed.boxes as [BedBox]
    await sleep(500)
    const caller = await callLate(box, "holds")
    const [hostname, port] = box.callers.split(":")
    const head = `GET /safe/x HTTP/1.1\r\nhost: ${HOST}\r\nx-request-id: `
    const rest = "\r\nx-request-deadline: 4000\r\n\r\n"
    const texts = new Map<string, string>()
    const connections = ["new", "begun", "idle"].map(name => {
      const socket = connect(Number(port), hostname)
      socket.on("error", () => undefined)
      socket.on("data", (part: Buffer) => {
        texts.set(name, (texts.get(name) ?? "") + part.toString("latin1", 0, 20))
      })
      return {name, socket}
    })
    t.teardown(() => connections.forEach(({socket}) => socket.destroy()))
    for (const {name, socket} of connections) if (name === "begun") socket.write(head)
    const idle = connections.at(-1)?.socket
    idle?.write(`GET /none/x HTTP/1.1\r\nhost: ${HOST}\r\n\r\n`)
    await until("the idle one is answered", () => texts.has("idle"))
    box.child.signal("SIGTERM")
    await sleep(UNREAD_MS)
    t.ok(idle?.readableEnded || idle?.destroyed, "an idle connection is closed")
    for (const {name, socket} of connections) {
      if (name === "new") socket.write(head + name + rest)
      if (name === "begun") socket.write(name + rest)
    }
    await until("both are answered", () => texts.has("new") && texts.has("begun"))
    t.match(texts.get("new"), /^HTTP\/1.1 503/)
    t.match(texts.get("begun"), /^HTTP\/1.1 503/)
    t.match(await caller.read(), {isComplete: true})
  }
)

// The end of a process cut streams and unread answers, and no line of its log named them.
t.test("a box names each answer that the end of its process cuts", async t => {
  const bed = await startBed(1)
  const [box] = bed.boxes as [BedBox]
  bed.configure([LONG_ROUTE])
  await sleep(500)
  const stream = bed.call(box, "/long/x", {
    id: "long",
    adapter: "a0",
    body: streamBody("long", LONG_STREAM),
    deadlineMs: 30_000
  })
  const caller = await callLate(box, "unread")
  await until("one has ended", () => /"event":194/.test(bed.logs()))
  await until("one has begun", () => bed.judge.runsOf("long").length > 0)
  box.child.signal("SIGTERM")
  await until("the box has ended", () => box.child.ended)
  t.match(await stream, {status: 200, broken: true})
  t.match(await caller.read(), {isComplete: false})
  const named = (id: string): object => {
    const line = bed.logs().match(new RegExp(`.*"event":273,"request":"${id}".*`))
    return JSON.parse(line?.[0] ?? "{}") as object
  }
  t.match(named("long"), {begun: true, ended: false, carried: false})
  t.match(named("unread"), {begun: true, ended: true, carried: false})
})

// The log named an answer as complete whose caller's connection closed before its end.
t.test("a box names an ended answer whose connection closes unread", async t => {
  const bed = await startBed()
  const [box] = bed.boxes as [BedBox]
  await sleep(500)
  const caller = await callLate(box, "left")
  await until("the answer has ended", () => /"event":194/.test(bed.logs()))
  caller.leave()
  await until("the box names it", () => /"event":274,"request":"left"/.test(bed.logs()))
  t.notMatch(bed.logs(), /"event":196/, "the core takes it for complete")
})

// The connection was reset: the box closed its port before it had accepted it.
t.test(
  "a box without a processor accepts connections before it closes its port",
  async t => {
    const bed = await startBed()
    const [box] = bed.boxes as [BedBox]
    await sleep(500)
    box.child.signal("SIGTERM")
    await until("the box is stopping", () => /"event":101/.test(bed.logs()))
    box.child.signal("SIGSTOP")
    const call = bed.call(box, "/safe/x", {id: "early"})
    await sleep(LISTEN_MS)
    box.child.signal("SIGCONT")
    t.match(await call, {status: 503, headers: {connection: "close"}})
  }
)

// The connections of uploads that never came to their end were closed without an answer.
t.test("an upload that is not whole at the end of a stop is refused", async t => {
  const bed = await startBed()
  const [box] = bed.boxes as [BedBox]
  const [hostname, port] = box.callers.split(":")
  const socket = connect(Number(port), hostname)
  t.teardown(() => socket.destroy())
  let text = ""
  socket.on("error", () => undefined)
  socket.on("data", (part: Buffer) => (text += part.toString("latin1")))
  socket.write(
    `POST /unsafe/x HTTP/1.1\r\nhost: ${HOST}\r\nx-request-id: half\r\n` +
      "x-request-deadline: 15000\r\ncontent-length: 8\r\n\r\nabcd"
  )
  await sleep(200)
  box.child.signal("SIGTERM")
  await until("the box has ended", () => box.child.ended)
  await until("the connection has closed", () => socket.closed)
  t.match(text, /^HTTP\/1.1 503/)
  t.match(text.toLowerCase(), /connection: close/)
  t.same(bed.judge.runsOf("half"), [])
})
