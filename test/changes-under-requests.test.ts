/** Whole requests on kept connections while the operator changes limits, times and routes. */
import {connect, type Socket} from "node:net"
import {setTimeout as sleep} from "node:timers/promises"
import t from "tap"
import {HEADER} from "../platform/words.js"
import {type BedBox, HOST, PlatformBed} from "./support/platform-bed.js"

const CALLERS = 40
const DURATION_MS = 6_000
const CHANGE_INTERVAL_MS = 250

/** Idle times of callers' connections, in turn. */
const IDLE_TIMES_MS = [300, 2_000, 600, 15_000, 1_000]

/** Rests of callers: up to `MAX_REST_MS`, or around an idle time, so that a close crosses. */
const MAX_REST_MS = 1_200
const CROSSED_REST_MS = [300, 600, 1_000]
const CROSSED_SPREAD_MS = 16

/** Times after which workers answer, in turn. */
const WORKER_TIMES_MS = [0, 400, 20, 900]

/** The configuration of a round: each change moves a route and changes times and limits. */
function configOf(round: number): object {
  const common = {host: HOST, priority: 1, targetLatencyMs: 200}
  const timeoutMs = round % 3 === 0 ? 700 : 4_000
  const service = round % 4 === 0 ? "moved" : "plain"
  const routes = [
    {name: "safe", pathPrefix: "/safe/", kind: "safe", maxAttempts: 2},
    {name: "unsafe", pathPrefix: "/unsafe/", kind: "unsafe", maxAttempts: 1}
  ]
  return {
    version: 100 + round,
    routes: routes.map(route => ({...common, ...route, timeoutMs, service})),
    services: [
      {name: "plain", maxConnections: 100},
      {name: "moved", maxConnections: 100}
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_048_576,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: IDLE_TIMES_MS[round % IDLE_TIMES_MS.length]
    }
  }
}

interface Exchange {
  readonly id: string
  readonly text: string
  /** Whether the connection goes on. */
  readonly isKept: boolean
}

/** Sends a request and reads its answer. The text is empty if the connection closes. */
function exchange(socket: Socket, id: string, path: string): Promise<Exchange> {
  return new Promise(resolve => {
    let text = ""
    const end = (isKept: boolean): void => {
      socket.removeAllListeners("data")
      socket.removeAllListeners("close")
      resolve({id, text, isKept})
    }
    socket.on("data", (part: Buffer) => {
      text += part.toString("latin1")
      const [head = "", body] = text.split("\r\n\r\n")
      const length = /^content-length: (\d+)/im.exec(head)?.[1]
      if (body === undefined || body.length < Number(length)) return
      end(!/^connection: close/im.test(head))
    })
    socket.on("close", () => end(false))
    const lines = [
      `POST ${path} HTTP/1.1`,
      `host: ${HOST}`,
      `${HEADER.request}: ${id}`,
      `${HEADER.deadline}: 4000`,
      "content-length: 0"
    ]
    socket.write(`${lines.join("\r\n")}\r\n\r\n`)
  })
}

function drawRestMs(): number {
  if (Math.random() < 0.5) return Math.random() * MAX_REST_MS
  const idleMs = CROSSED_REST_MS[Math.floor(Math.random() * CROSSED_REST_MS.length)] ?? 0
  return idleMs + (Math.random() - 0.5) * CROSSED_SPREAD_MS
}

function openConnection({callers}: BedBox): Socket {
  const [host, port] = callers.split(":")
  const socket = connect(Number(port), host)
  socket.setNoDelay(true)
  socket.on("error", () => undefined)
  return socket
}

async function runCaller(
  box: BedBox,
  caller: number,
  until: number
): Promise<Exchange[]> {
  const made: Exchange[] = []
  let socket = openConnection(box)
  while (performance.now() < until) {
    const id = `k-${caller}-${made.length}`
    const path = made.length % 2 === 0 ? "/safe/x" : "/unsafe/x"
    const result = await exchange(socket, id, path)
    made.push(result)
    await sleep(drawRestMs())
    if (result.isKept && !socket.destroyed && !socket.readableEnded) continue
    socket.destroy()
    socket = openConnection(box)
  }
  socket.destroy()
  return made
}

// Guards against changes that close connections whose request a box has read.
t.test("requests that are read beside changes get an answer or a refusal", async t => {
  const bed = await PlatformBed.start({boxes: 2, engines: 0, plain: 2})
  t.teardown(() => bed.stop())
  const until = performance.now() + DURATION_MS
  const callers = Array.from({length: CALLERS}, (_, i) =>
    runCaller(bed.boxes[i % 2] as BedBox, i, until)
  )
  for (let round = 0; performance.now() < until; round++) {
    bed.store.write("op/config", configOf(round))
    for (const [i, worker] of bed.plain.entries()) {
      worker.faults.slowMs = WORKER_TIMES_MS[(round + i) % WORKER_TIMES_MS.length]
    }
    await sleep(CHANGE_INTERVAL_MS)
  }
  const made = (await Promise.all(callers)).flat()
  const unanswered = made.filter(({text}) => text === "")
  const logs = bed.logs()
  const lost = unanswered.filter(({id}) => logs.includes(`"request":"${id}"`))
  const statuses = new Map<string, number>()
  for (const {text} of made) {
    const status = text.slice(9, 12)
    statuses.set(status, (statuses.get(status) ?? 0) + 1)
  }
  t.comment(`${made.length} calls, ${unanswered.length} closed unread`, [...statuses])
  t.ok(made.length > 150, "callers were served")
  t.same(
    lost.map(({id}) => id),
    []
  )
})
