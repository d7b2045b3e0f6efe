/**
 * Judge of promises and the callers that it follows: each way to promise that a request did
 * not run is reported if it ran, and nothing else is.
 */
import {createServer, type Server, type Socket} from "node:net"
import type {AddressInfo} from "node:net"
import t from "tap"
import {Judge, type Run} from "./stand-ins/platform-judge.js"
import {judgePromises} from "./support/judge-promises.js"
import {
  type PromiseCall,
  PromiseCallers,
  type PromiseTry,
  type TryEnd
} from "./support/promise-callers.js"
import {SoakDraws} from "./support/soak-record.js"

const RUN: Run = {
  id: "u-1-1",
  worker: "p-1",
  adapter: "",
  version: 0,
  from: "",
  reached: 1_050,
  at: 1_050,
  ended: undefined
}

function callWith(...ends: readonly TryEnd[]): PromiseCall {
  const tries = ends.map((end, i): PromiseTry => ({
    id: `u-1-${i + 1}`,
    box: "box-0",
    end,
    sentAt: 1_000,
    endedAt: 1_200
  }))
  return {path: "/process-unsafe/x", tries}
}

for (const end of [408, 421, 429, 503, "closed-unread"] as const) {
  t.test(`a request that ended with ${end} and ran is reported`, async t => {
    const judge = new Judge()
    t.same(judgePromises(judge, [callWith(end)]).refused, [])
    judge.addRun(RUN)
    t.equal(judgePromises(judge, [callWith(end)]).refused.length, 1)
    t.same(judgePromises(judge, [callWith(end)]).twice, [])
  })
}

for (const end of [200, 401, 500, 502, 504, "closed", "gave-up"] as const) {
  t.test(`${end} promises nothing`, async t => {
    const judge = new Judge()
    judge.addRun(RUN)
    t.same(judgePromises(judge, [callWith(end)]), {refused: [], twice: []})
  })
}

t.test("a run of a further try is no second run of the first", async t => {
  const judge = new Judge()
  judge.addRun({...RUN, id: "u-1-2"})
  t.same(judgePromises(judge, [callWith(503, 200)]), {refused: [], twice: []})
  judge.addRun({...RUN, id: "u-1-2"})
  t.equal(judgePromises(judge, [callWith(503, 200)]).twice.length, 1)
})

/** Listens, and handles the connections in turn, each in a way of its own. */
async function listen(ways: readonly ((socket: Socket) => void)[]): Promise<Server> {
  let count = 0
  const server = createServer({pauseOnConnect: true}, socket => {
    socket.on("error", () => undefined)
    ways[count++]?.(socket)
  })
  await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()))
  return server
}

function reply(socket: Socket, status: number, headers = ""): void {
  socket.on("data", () => {
    socket.write(`HTTP/1.1 ${status} x\r\n${headers}content-length: 0\r\n\r\n`)
  })
  socket.resume()
}

async function callAt(server: Server, count = 1): Promise<readonly PromiseCall[]> {
  const {port} = server.address() as AddressInfo
  const box = {name: "box-0", callers: `127.0.0.1:${port}`}
  const callers = new PromiseCallers(() => [box], new SoakDraws(1))
  const calls: PromiseCall[] = []
  for (let i = 0; i < count; i++) {
    const name = `u-${i + 1}`
    const request = {name, path: "/x", adapter: undefined, deadlineMs: 1_000}
    calls.push(await callers.call(request))
  }
  callers.stop()
  server.close()
  return calls
}

function endsOf(calls: readonly PromiseCall[]): readonly (readonly TryEnd[])[] {
  return calls.map(({tries}) => tries.map(({end}) => end))
}

t.test("a caller tries again after promises only, on new connections", async t => {
  const server = await listen([
    socket => reply(socket, 503),
    socket => reply(socket, 429),
    // Closed with the request unread, so that the system resets it.
    socket => setTimeout(() => socket.destroy(), 50),
    socket => reply(socket, 502)
  ])
  t.same(endsOf(await callAt(server)), [[503, 429, "closed-unread", 502]])
})

t.test(
  "a connection that closed after its request was read promises nothing",
  async t => {
    const server = await listen([
      socket => {
        socket.on("data", () => socket.destroy())
        socket.resume()
      }
    ])
    t.same(endsOf(await callAt(server)), [["closed"]])
  }
)

t.test("a caller uses its open connection again, unless it is told to close", async t => {
  const server = await listen([
    socket => reply(socket, 200),
    () => t.fail("a second connection")
  ])
  t.same(endsOf(await callAt(server, 3)), [[200], [200], [200]])
  const closing = await listen([
    socket => reply(socket, 200, "connection: close\r\n"),
    socket => reply(socket, 200)
  ])
  t.same(endsOf(await callAt(closing, 2)), [[200], [200]])
})
