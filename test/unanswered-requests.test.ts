/**
 * Requests that a box has read whole: each one ends with its server's answer or with a
 * status of the box. Guards against silence, a closed connection or a mixed answer instead.
 */
import {type AddressInfo, createServer, type Socket} from "node:net"
import {setTimeout as sleep} from "node:timers/promises"
import t from "tap"
import {HEADER} from "../platform/words.js"
import {passIfKnownRed} from "./support/known-red.js"
import {type BedBox, HOST, PlatformBed} from "./support/platform-bed.js"
import {callRaw, type RawAnswer} from "./support/raw-http.js"
import {until} from "./support/wait.js"

interface RawWorker {
  readonly address: string
  readonly close: () => void
}

/** Starts a server whose `answer` writes bytes to the connection of each request. */
async function startRawWorker(
  answer: (socket: Socket, id: string) => void
): Promise<RawWorker> {
  const sockets = new Set<Socket>()
  const server = createServer(socket => {
    sockets.add(socket)
    socket.on("error", () => undefined)
    socket.on("data", part => {
      const id = /^x-request-id: *(.*)$/im.exec(part.toString("latin1"))?.[1]
      if (id !== undefined) answer(socket, id.trim())
    })
  })
  await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve))
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    close: () => {
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  }
}

/** Starts a box with one plain server, and adds `route` to its usual routes. */
async function startBed(
  answer: (socket: Socket, id: string) => void,
  route?: object
): Promise<{bed: PlatformBed; box: BedBox}> {
  const bed = await PlatformBed.start({boxes: 1, engines: 0, plain: 1})
  const raw = await startRawWorker(answer)
  t.teardown(async () => {
    raw.close()
    await bed.stop()
  })
  const [worker] = bed.plain
  if (worker) worker.announcedAddress = raw.address
  worker?.writeEntry()
  if (route) bed.configure([route])
  await sleep(500)
  return {bed, box: bed.boxes[0] as BedBox}
}

/** Returns the bytes of an answer with the headers that make it genuine. */
function answerOf(status: number, id: string, headers: string[], body: string): string {
  const lines = [
    `HTTP/1.1 ${status} Any`,
    `${HEADER.request}: ${id}`,
    `${HEADER.signature}: ${status}`,
    ...headers
  ]
  return `${lines.join("\r\n")}\r\n\r\n${body}`
}

/** Calls a box on a connection of its own. Resolves to no text if no answer comes. */
function post(
  {callers}: BedBox,
  path: string,
  {id, body = "", deadlineMs = 3_000}: {id: string; body?: string; deadlineMs?: number}
): Promise<RawAnswer> {
  const lines = [
    `POST ${path} HTTP/1.1`,
    `host: ${HOST}`,
    `${HEADER.request}: ${id}`,
    `${HEADER.deadline}: ${deadlineMs}`,
    "connection: close",
    `content-length: ${body.length}`
  ]
  const answer = callRaw(callers, `${lines.join("\r\n")}\r\n\r\n${body}`)
  const silence: RawAnswer = {text: "", end: "closed"}
  return Promise.race([answer, sleep(deadlineMs + 1_000, silence, {ref: false})])
}

const STREAM_ROUTE = {
  name: "events",
  pathPrefix: "/events/",
  kind: "streaming",
  service: "plain",
  resumable: true,
  maxAttempts: 3,
  targetLatencyMs: 400,
  gapTargetMs: 200
}

const EVENT_HEADERS = ["content-type: text/event-stream", "connection: close"]
const EVENT = "id: 1\ndata: x\n\n"

/** Headers with bytes beyond ASCII, as HTTP allows them. */
const HEADERS: Readonly<Record<string, string>> = {
  "latin-1": "x-place: Bogot\xe1",
  "utf-8": `x-place: ${Buffer.from("\u015e\u0131rnak").toString("latin1")}`
}

// Such an answer was dropped: its caller got nothing, and the log said that it got an error.
for (const [name, header] of Object.entries(HEADERS)) {
  t.test(`an answer with a header in ${name} reaches its caller`, async t => {
    const {box} = await startBed((socket, id) => {
      socket.write(answerOf(200, id, [header, "content-length: 2"], "ok"), "latin1")
    })
    const answer = await post(box, "/unsafe/x", {id: "whole"})
    t.match(answer.text, /^HTTP\/1.1 200[^]*ok$/)
    t.ok(answer.text.includes(Buffer.from(header, "latin1").toString()), "unchanged")
  })
}

// Such a stream ended the process of the box, with the requests of all its callers.
t.test("a stream with a header beyond ASCII reaches its caller", async t => {
  const headers = [...EVENT_HEADERS, ...Object.values(HEADERS)]
  const {bed, box} = await startBed(
    (socket, id) => socket.end(answerOf(200, id, headers, EVENT), "latin1"),
    STREAM_ROUTE
  )
  const answer = await post(box, "/events/x", {id: "stream"})
  t.match(answer.text, /^HTTP\/1.1 200[^]*data: x\n\n\r\n0\r\n\r\n$/)
  t.notMatch(bed.logs(), /"event":103/, "the process goes on")
})

// The head of the broken failure reached the caller, and the next server's stream followed.
t.test("a failure that breaks off on a streaming route is not mixed", async t => {
  let calls = 0
  const {box} = await startBed((socket, id) => {
    const isFirst = calls++ === 0
    if (isFirst) socket.end(answerOf(404, id, ["content-length: 10"], "part"))
    else socket.end(answerOf(200, id, EVENT_HEADERS, EVENT))
  }, STREAM_ROUTE)
  const answer = await post(box, "/events/x", {id: "failed"})
  t.match(answer.text, /^HTTP\/1.1 200[^]*data: x\n\n\r\n0\r\n\r\n$/)
  t.match(answer.text, new RegExp(`${HEADER.signature}: 200`))
})

// The end of the grace period closed the connections of requests without an answer.
t.test("a box that stops answers requests whose servers have not answered", async t => {
  const common = {service: "plain", timeoutMs: 30_000, targetLatencyMs: 400}
  const long = {
    ...common,
    name: "long",
    pathPrefix: "/long/",
    kind: "unsafe",
    maxAttempts: 1
  }
  const {bed, box} = await startBed(() => undefined, long)
  const call = post(box, "/long/x", {id: "long", deadlineMs: 30_000})
  await until("it is sent", () => /"event":190,"request":"long"/.test(bed.logs()))
  box.child.signal("SIGTERM")
  await until("the box has ended", () => box.child.ended)
  t.match((await call).text, /^HTTP\/1.1 504/)
  t.notMatch(bed.logs(), /"event":273/, "no answer was left open")
})

const MAX_BODY_BYTES = 1_048_576

/** Returns the head of a request with a length and without a body. */
function headOf(method: string, path: string, id: string, length: number): string {
  const lines = [
    `${method} ${path} HTTP/1.1`,
    `host: ${HOST}`,
    `${HEADER.request}: ${id}`,
    `${HEADER.deadline}: 3000`,
    `content-length: ${length}`
  ]
  return `${lines.join("\r\n")}\r\n`
}

/** Sends bytes and reads until the connection ends, or for four seconds. */
function exchange({callers}: BedBox, text: string): Promise<RawAnswer> {
  const silence: RawAnswer = {text: "", end: "closed"}
  return Promise.race([callRaw(callers, text), sleep(4_000, silence, {ref: false})])
}

// The rest of the body was not read, so the next request of the connection stayed unanswered.
t.test("a request after one with too large a body is answered", async t => {
  const {bed, box} = await startBed((socket, id) => {
    socket.write(answerOf(200, id, ["content-length: 2"], "ok"))
  })
  const length = 2 * MAX_BODY_BYTES
  const large = `${headOf("POST", "/unsafe/x", "large", length)}\r\n${"x".repeat(length)}`
  const next = `${headOf("POST", "/unsafe/x", "next", 0)}connection: close\r\n\r\n`
  const {text} = await exchange(box, large + next)
  t.match(text, /^HTTP\/1.1 413[^]*HTTP\/1.1 200[^]*ok$/)
  t.notMatch(bed.logs(), /"event":190,"request":"large"/, "the first is not sent on")
})

// Node.js closes the connection of such a request if nothing handles it.
t.test("a request to open a tunnel is refused", async t => {
  const {box} = await startBed(() => undefined)
  const lines = ["CONNECT callers.example:443 HTTP/1.1", `host: ${HOST}`]
  const {text} = await exchange(box, `${lines.join("\r\n")}\r\n\r\n`)
  t.match(text, /^HTTP\/1.1 405 Method Not Allowed\r\n/)
})

// An answer without a body counted as a stream that broke off before its first event.
t.test("HEAD on a streaming route gets its server's answer", async t => {
  let calls = 0
  const {box} = await startBed((socket, id) => {
    calls++
    socket.end(answerOf(200, id, EVENT_HEADERS, ""))
  }, STREAM_ROUTE)
  const head = headOf("HEAD", "/events/x", "head", 0)
  const {text, end} = await exchange(box, `${head}connection: close\r\n\r\n`)
  t.match(text, /^HTTP\/1.1 200/)
  t.equal(end, "closed", "the connection is not reset")
  t.equal(calls, 1, "one server is asked")
})

// undici counts the missing body of a 304 as broken off.
t.test("an answer with 304 and a length reaches its caller", async t => {
  const {box} = await startBed((socket, id) => {
    socket.write(answerOf(304, id, ["content-length: 2"], ""))
  })
  t.match((await post(box, "/unsafe/x", {id: "unchanged"})).text, /^HTTP\/1.1 304/)
})

// undici refuses an unasked 100.
t.test("an answer after 100 reaches its caller", async t => {
  if (passIfKnownRed("unanswered-requests 7")) return
  const {box} = await startBed((socket, id) => {
    const ok = answerOf(200, id, ["content-length: 2"], "ok")
    socket.write(`HTTP/1.1 100 Continue\r\n\r\n${ok}`)
  })
  t.match((await post(box, "/unsafe/x", {id: "continued"})).text, /^HTTP\/1.1 200/)
})

// undici refuses to send two Host headers, which counted as a server that is not reached.
t.test("a request with two Host headers is refused as malformed", async t => {
  const {bed, box} = await startBed((socket, id) => {
    socket.write(answerOf(200, id, ["content-length: 2"], "ok"))
  })
  const head = headOf("GET", "/unsafe/x", "hosts", 0)
  const {text} = await exchange(box, `${head}host: ${HOST}\r\nconnection: close\r\n\r\n`)
  t.match(text, /^HTTP\/1.1 400/)
  t.notMatch(bed.logs(), /"event":190,"request":"hosts"/, "no server is tried")
})
