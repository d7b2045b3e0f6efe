/**
 * A box that had no processor for a while takes no answer for missing that has arrived
 * meanwhile (RECOVER): its event loop runs due timers before it reads its sockets.
 */
import {setImmediate as nextTurn, setTimeout as sleep} from "node:timers/promises"
import {Worker} from "node:worker_threads"
import t, {type Test} from "tap"
import {LeaderLink} from "../src/adapters/box-links.js"
import {LeaseHelp} from "../src/adapters/lease-help.js"
import {postMessage} from "../src/adapters/stream-messages.js"
import {askServerState} from "../src/adapters/peer-probe.js"
import {startAnswerTimer} from "../src/utils/timers.js"
import {passIfKnownRed} from "./support/known-red.js"
import {Agent} from "node:http"
import {connect} from "node:net"

/** Longer than any of the limits here. */
const STILL_MS = 700

/** Occupies the processor, beginning after the sockets have been served. */
async function standStill(ms = STILL_MS): Promise<void> {
  await sleep(5)
  await nextTurn()
  const until = performance.now() + ms
  while (performance.now() < until);
}

/** Starts a server in a thread of its own, which goes on while this one stands still. */
async function startServer(t: Test, program: string): Promise<string> {
  const server = new Worker(
    `const {parentPort} = require("node:worker_threads")
     const listening = server =>
       server.listen(0, "127.0.0.1", () => parentPort.postMessage(server.address().port))
     ${program}`,
    {eval: true}
  )
  t.teardown(() => server.terminate())
  const port = await new Promise<number>(resolve => server.once("message", resolve))
  return `127.0.0.1:${port}`
}

const ECHO = `listening(require("node:net").createServer(socket =>
  socket.on("data", data => setTimeout(() => socket.write(data), 20))))`
const ANSWER = (text: string): string =>
  `listening(require("node:http").createServer((req, res) =>
     setTimeout(() => res.end('${text}'), 20)))`

t.test("a time limit is not over before the loop has read what arrived", async t => {
  const socket = connect(Number((await startServer(t, ECHO)).split(":")[1]), "127.0.0.1")
  t.teardown(() => socket.destroy())
  await new Promise(resolve => socket.once("connect", resolve))
  const first = new Promise<string>(resolve => {
    socket.once("data", () => resolve("answer"))
    startAnswerTimer(100, () => resolve("expired"))
  })
  socket.write("x")
  await standStill()
  t.equal(await first, "answer")
  const startedAt = performance.now()
  await new Promise<void>(resolve => startAnswerTimer(100, resolve))
  const took = performance.now() - startedAt
  t.ok(took >= 95 && took < 400, `${took} ms`)
})

if (!passIfKnownRed("starved-box 2")) {
  t.test("a link to the leader that opened meanwhile is kept", async t => {
    const address = await startServer(
      t,
      `const links = new (require("ws").WebSocketServer)({noServer: true})
       listening(require("node:http").createServer().on("upgrade", (...upgrade) =>
         setTimeout(() => links.handleUpgrade(...upgrade, () => undefined), 20)))`
    )
    let down = false
    const self = {box: "a", incarnation: "a", configVersion: -1, ageMs: 0}
    const hello = {t: "hello" as const, ...self, address: "127.0.0.1:1", capacity: 1}
    const link = new LeaderLink(address, hello, 600, {
      message: () => undefined,
      down: () => (down = true)
    })
    t.teardown(() => link.close())
    await standStill()
    await sleep(200)
    t.notOk(down)
    t.ok(link.greetedAt < Infinity)
  })
}

if (!passIfKnownRed("starved-box 3")) {
  t.test("a lease that another box renewed meanwhile is renewed", async t => {
    const socket = connect(
      Number((await startServer(t, ECHO)).split(":")[1]),
      "127.0.0.1"
    )
    t.teardown(() => socket.destroy())
    await new Promise(resolve => socket.once("connect", resolve))
    const help = new LeaseHelp(
      () => ["box"],
      (_box, ask) => socket.write(String(ask))
    )
    socket.on("data", data => help.handleAnswer(Number(data.toString()), true))
    const renewal = help.renew("lease").catch(() => "expired")
    await standStill()
    t.equal(await renewal, true)
  })
}

if (!passIfKnownRed("starved-box 4")) {
  t.test("what another box told meanwhile of a stream or a server counts", async t => {
    const agent = new Agent()
    t.teardown(() => agent.destroy())
    const told = postMessage(agent, await startServer(t, ANSWER("{}")), "ask", "{}")
    await standStill()
    t.same(await told, {content: "{}"})
    const state = askServerState([await startServer(t, ANSWER("up"))], "server")
    await standStill()
    t.equal(await state, "up")
  })
}
