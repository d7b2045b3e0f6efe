/**
 * What is parsed of answers with many lines that are no content. Guards against boxes that
 * keep objects for thousands of headers on each of many connections.
 */
import {channel} from "node:diagnostics_channel"
import type {Socket} from "node:net"
import {createServer, type AddressInfo} from "node:net"
import t, {type Test} from "tap"
import {BackendPools} from "../src/adapters/backend-pools.js"
import {AnswerOverheadTooLong} from "../src/errors.js"
import {type EndlessKind, EndlessServer} from "./support/endless-server.js"

/** Lines without content that a connection may parse before it is closed. */
const MAX_PARSED_LINES = 1_500

/** Lines without content that a sound answer may have. */
const SOUND_LINES = 900

/** Chunks of a sound answer, each with a line of its own. */
const CHUNKS = 4_000

interface Result {
  readonly cause: Error | undefined
  readonly body: string
  /** Lines that were handed to the parser. */
  readonly lines: number
}

/** Sends a request to a server and returns how its answer ended. */
async function send(t: Test, address: string): Promise<Result> {
  let lines = 0
  const countLines = (message: unknown): void => {
    const {socket} = message as {readonly socket: Socket}
    const read = socket.read.bind(socket)
    socket.read = (size?: number): unknown => {
      const part = read(size) as Buffer | null
      for (const byte of part ?? []) if (byte === 0x0a) lines++
      return part
    }
  }
  channel("undici:client:connected").subscribe(countLines)
  const pools = new BackendPools()
  t.teardown(() => pools.close())
  const parts: Buffer[] = []
  const cause = await new Promise<Error | undefined>(resolve =>
    pools.send(
      "i",
      address,
      1,
      {method: "POST", path: "/", headers: [], body: null},
      {
        started: () => true,
        head: () => undefined,
        data: chunk => parts.push(Buffer.from(chunk)),
        done: () => resolve(undefined),
        failed: resolve
      }
    )
  )
  channel("undici:client:connected").unsubscribe(countLines)
  return {cause, body: Buffer.concat(parts).toString(), lines}
}

async function serve(t: Test, answer: string): Promise<string> {
  const server = createServer(socket => {
    socket.on("error", () => undefined)
    socket.once("data", () => socket.write(answer))
  })
  t.teardown(() => server.close())
  await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()))
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

// endless-heads: 30 closed connections at once held 25 MB of headers of 11 bytes.
for (const kind of ["head", "trailer", "informational"] satisfies EndlessKind[]) {
  t.test(`few lines of a ${kind} without end are parsed`, async t => {
    const endless = await EndlessServer.start()
    endless.kind = kind
    t.teardown(() => endless.close())
    const {cause, lines} = await send(t, endless.address)
    t.type(cause, AnswerOverheadTooLong)
    t.comment(`${lines} lines`)
    t.ok(lines < MAX_PARSED_LINES, `${lines} lines`)
  })
}

t.test(
  "many lines in the head and the trailer of a sound answer are allowed",
  async t => {
    const more = "x-more: y\r\n".repeat(SOUND_LINES)
    const head = `HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n${more}\r\n`
    const address = await serve(t, `${head}1\r\nx\r\n0\r\n${more}\r\n`)
    const {cause, body} = await send(t, address)
    t.equal(cause, undefined)
    t.equal(body, "x")
  }
)

t.test("many short chunks and many lines of content are allowed", async t => {
  const head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
  const chunks = "1\r\n\n\r\n".repeat(CHUNKS)
  const long = "\n".repeat(0x20000)
  const address = await serve(t, `${head}${chunks}20000\r\n${long}\r\n0\r\n\r\n`)
  const {cause, body} = await send(t, address)
  t.equal(cause, undefined)
  t.equal(body.length, CHUNKS + long.length)
})
