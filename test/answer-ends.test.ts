/**
 * The end of a connection is the end of an answer only where its framing says so.
 * Guards against answers that were broken off and reach their callers as complete.
 */
import type {Socket} from "node:net"
import t from "tap"
import {Deployment, keyOf} from "./support/deployment.js"
import {PlatformBed} from "./support/platform-bed.js"
import {callRaw, type RawAnswer, startRawServer} from "./support/raw-http.js"
import {until} from "./support/wait.js"
import {wholeStream} from "./support/whole-stream.js"

const UNFRAMED = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\r\n"
const CHUNKED = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"

/** Sends bytes, and resets the connection once they have left. */
function writeAndReset(socket: Socket, text: string): void {
  socket.write(text, () => setTimeout(() => socket.resetAndDestroy(), 50))
}

/** Calls a plain service whose server sends `answer`, as a caller of an HTTP version. */
async function callService(
  answer: (socket: Socket) => void,
  version: "1.0" | "1.1"
): Promise<RawAnswer> {
  const deployment = await Deployment.start()
  const server = await startRawServer(answer)
  try {
    const value = {
      kind: "plain-service",
      service: "raw",
      address: server.address,
      dataCentre: "sala-a",
      maxInProgress: 4
    }
    await deployment.change([{kind: "backend", id: "raw-0", value}])
    const [box] = deployment.boxes
    const request = [
      `GET /services/raw/x HTTP/${version}`,
      "host: callers.example",
      `authorization: Bearer ${keyOf("cotejo")}`,
      "connection: close",
      "\r\n"
    ].join("\r\n")
    for (;;) {
      const outcome = await callRaw(box?.entryAddress ?? "", request)
      // The entry may not know the service yet.
      if (!/^HTTP\/1.1 (4|503)/.test(outcome.text)) return outcome
      await new Promise(resolve => setTimeout(resolve, 50))
    }
  } finally {
    server.close()
    await deployment.stop()
  }
}

t.test("a service's answer that its connection closes is complete", async t => {
  const answer = await callService(socket => socket.end(`${UNFRAMED}whole`), "1.1")
  t.match(answer, {text: /whole\r\n0\r\n\r\n$/, end: "closed"})
})

t.test("a service's answer that is reset looks incomplete to its caller", async t => {
  const answer = await callService(
    socket => writeAndReset(socket, `${UNFRAMED}part`),
    "1.1"
  )
  t.match(answer.text, /part/)
  t.notMatch(answer.text, /\r\n0\r\n\r\n$/, "no last chunk")
})

t.test("a cut answer of a service is reset for a caller without chunks", async t => {
  const answer = await callService(
    socket => writeAndReset(socket, `${CHUNKED}4\r\npart\r\n`),
    "1.0"
  )
  t.match(answer, {text: /^HTTP\/1.1 200/, end: "reset"})
})

t.test("a cut stream is reset for a caller without chunks", async t => {
  const bed = await PlatformBed.start({boxes: 1})
  t.teardown(() => bed.stop())
  const [box] = bed.boxes
  if (!box) return
  await bed.call(box, "/once/x", {adapter: "a1"})
  for (const engine of bed.engines) engine.faults = {cutAfterEvents: 2}
  const request = [
    "POST /once/x HTTP/1.0",
    "host: callers.example",
    "x-request-id: raw",
    "x-request-deadline: 4000",
    "x-token-usage: 100,20",
    "x-model-id: base/a1",
    "content-length: 0",
    "\r\n"
  ].join("\r\n")
  t.match(await callRaw(box.callers, request), {text: /^HTTP\/1.1 200/, end: "reset"})
})

// A server that sent fewer bytes than its framing says broke the answer off, however its
// connection ended.
t.test("a framed answer that ends early looks incomplete to its caller", async t => {
  const framed = [
    "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\npart",
    `${CHUNKED}4\r\npart\r\n`
  ]
  for (const text of framed) {
    const answer = await callService(socket => socket.end(text), "1.1")
    t.match(answer.text, /part/)
    t.notMatch(answer.text, /\r\n0\r\n\r\n$/, "no last chunk")
  }
})

t.test("a stream that closes before its first event is retried", async t => {
  const bed = await PlatformBed.start({boxes: 1})
  t.teardown(() => bed.stop())
  const [box] = bed.boxes
  if (!box) return
  await bed.call(box, "/stream/x", {adapter: "a1"})
  let runs = 0
  for (const engine of bed.engines) {
    engine.faults = {
      unframed: true,
      cutBetweenEvents: true,
      get cutAfterEvents() {
        return runs++ === 0 ? 0 : undefined
      }
    }
  }
  const outcome = await bed.call(box, "/stream/x", {adapter: "a1"})
  t.match(outcome, {status: 200, broken: false, body: wholeStream(outcome.id)})
})

// The hop between boxes has a framing of its own, so the other box has to tell the end.
t.test("plain answers that their connection ends, directly and over a box", async t => {
  const bed = await PlatformBed.start({boxes: 2, cuttable: true})
  t.teardown(() => bed.stop())
  const box = bed.boxes.find(each => each !== bed.leader())
  if (!box) return
  const check = async (way: string): Promise<void> => {
    for (const worker of bed.plain) worker.faults = {unframed: true}
    const whole = await bed.call(box, "/unsafe/x", {body: "b"})
    const body = `plain:${whole.id}:b`
    t.match(whole, {status: 200, broken: false, body}, `closed, ${way}`)
    t.equal(whole.headers["content-length"], String(body.length))
    for (const where of ["start", "inside-event"] as const) {
      for (const worker of bed.plain) {
        worker.faults = {unframed: true, breakOff: {where, how: "reset"}}
      }
      const cut = await bed.call(box, "/unsafe/x", {body: "b"})
      t.not(cut.status, 200, `reset, ${where}, ${way}`)
      t.equal(bed.judge.runsOf(cut.id).length, 1)
    }
    for (const worker of bed.plain) worker.faults = {}
  }
  await check("directly")
  bed.cut(box, bed.plain, "reset")
  await until("the other box sends", async () => {
    const {id, status} = await bed.call(box, "/safe/x")
    const sent = new RegExp(`"event":241[^\\n]*"request":"${id}"`)
    return status === 200 && sent.test(bed.logs())
  })
  await check("over another box")
})
