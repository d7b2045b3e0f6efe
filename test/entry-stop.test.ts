/** Stops of an entry: what becomes of the answers that its callers have not read. */
import {type IncomingMessage, request} from "node:http"
import {setTimeout as sleep} from "node:timers/promises"
import t from "tap"
import {type Box, Deployment, keyOf} from "./support/deployment.js"
import {startRawServer} from "./support/raw-http.js"
import {until} from "./support/wait.js"

/** More than the system holds of an unread connection between two processes. */
const BODY_BYTES = 14 << 20

/** Longer than a stopping entry accepts requests. */
const UNREAD_MS = 1_500

/** Longer than a caller that reads nothing holds up the end of an entry. */
const MAX_STOP_MS = 15_000

/** Calls a service of an entry. Resolves with its answer, of which only the head is read. */
function callLate(entry: string): Promise<IncomingMessage> {
  const [hostname, port] = entry.split(":")
  const headers = {authorization: `Bearer ${keyOf("cotejo")}`}
  return new Promise((resolve, reject) => {
    request({hostname, port, agent: false, path: "/services/raw/x", headers}, resolve)
      .on("error", reject)
      .end()
  })
}

interface Stopping {
  readonly box: Box
  /** The unread answer of a server to a call that the entry has passed on. */
  readonly answer: IncomingMessage
}

/** Starts an entry with a caller that has an unread answer, and sends it SIGTERM. */
async function stopBesideUnread(): Promise<Stopping> {
  const deployment = await Deployment.start()
  const body = Buffer.alloc(BODY_BYTES, "x")
  const server = await startRawServer(socket => {
    socket.write(`HTTP/1.1 404 Not Found\r\ncontent-length: ${BODY_BYTES}\r\n\r\n`)
    socket.write(body)
  })
  t.teardown(async () => {
    server.close()
    await deployment.stop()
  })
  const value = {
    kind: "plain-service",
    service: "raw",
    address: server.address,
    dataCentre: "sala-a",
    maxInProgress: 4
  }
  await deployment.change([{kind: "backend", id: "raw-0", value}])
  const box = deployment.boxes[0] as Box
  const isLarge = ({headers}: {headers: object}): boolean =>
    !/problem/.test(JSON.stringify(headers))
  let answer = await callLate(box.entryAddress)
  // The entry may not know the service yet.
  while (!isLarge(answer)) {
    answer.destroy()
    await sleep(50)
    answer = await callLate(box.entryAddress)
  }
  await sleep(300)
  box.entry.signal("SIGTERM")
  return {box, answer}
}

// A stopping entry destroyed connections whose answers it had ended but not yet sent.
t.test("a stopping entry sends an ended answer to a caller that reads late", async t => {
  const {box, answer} = await stopBesideUnread()
  await sleep(UNREAD_MS)
  t.notOk(box.entry.ended, "the entry waits for its caller")
  let bytes = 0
  try {
    for await (const chunk of answer) bytes += (chunk as Buffer).length
  } catch {
    t.fail("the answer is cut")
  }
  t.equal(bytes, BODY_BYTES)
  await until("the entry has ended", () => box.entry.ended)
  t.equal(box.entry.exitCode, 0)
})

// An entry that waits for its answers to be sent never ended beside such a caller.
t.test("a stopping entry ends beside a caller that never reads", async t => {
  const {box, answer} = await stopBesideUnread()
  const until = performance.now() + MAX_STOP_MS
  while (!box.entry.ended && performance.now() < until) await sleep(100)
  t.ok(box.entry.ended, "the entry has ended")
  t.equal(box.entry.exitCode, 0)
  answer.destroy()
})
