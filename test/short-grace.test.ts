/**
 * Planned stops with grace periods of 1 to 8 s, while callers go on until the process is
 * gone. Guards against times of a stop that don't follow the grace period: requests that
 * are sent to servers too late to be answered, and answers that are given up too early.
 */
import {Agent, request} from "node:http"
import {connect} from "node:net"
import {setTimeout as sleep} from "node:timers/promises"
import t, {type Test} from "tap"
import {streamBody} from "./stand-ins/platform-worker.js"
import {
  type BedBox,
  type BedOptions,
  HOST,
  MODEL,
  PlatformBed
} from "./support/platform-bed.js"
import {passIfKnownRed} from "./support/known-red.js"
import {until} from "./support/wait.js"

/** Longer than any grace period here, so that no answer is late for its caller. */
const DEADLINE_MS = 15_000

/** Interval of the calls of each kind. */
const CALL_INTERVAL_MS = 60

/** Calls of each kind before a stop, from which boxes learn how long answers take. */
const CALLS_BEFORE_STOP = 12

/** Longer than a server works on a request here after its box has ended. */
const AFTERMATH_MS = 1_500

/** Longer than a box needs to find out which servers it reaches. */
const DETECTION_CALLS = 25
const DETECTION_INTERVAL_MS = 100

/** Enough for all calls at once, so that none waits for a connection. */
const PLAIN_CONNECTIONS = 2_000

const COMMON = {timeoutMs: 20_000, targetLatencyMs: 400}
const ROUTES = [
  {
    ...COMMON,
    name: "long-safe",
    pathPrefix: "/safe/long/",
    kind: "safe",
    service: "plain",
    maxAttempts: 2
  },
  {
    ...COMMON,
    name: "long-unsafe",
    pathPrefix: "/unsafe/long/",
    kind: "unsafe",
    service: "plain",
    maxAttempts: 1
  },
  {
    ...COMMON,
    name: "long-stream",
    pathPrefix: "/stream/long/",
    kind: "streaming",
    service: "engines",
    maxAttempts: 3,
    resumable: true,
    gapTargetMs: 200
  },
  {
    ...COMMON,
    name: "long-once",
    pathPrefix: "/once/long/",
    kind: "streaming",
    service: "engines",
    maxAttempts: 1,
    resumable: false,
    gapTargetMs: 200
  }
]

interface Outcome {
  /** 0 if its connection closed without an answer. */
  readonly status: number
  /** The connection closed inside the answer, or before it. */
  readonly broken: boolean
  /** Code of the error that ended the connection. Empty if there was none. */
  readonly error: string
}

/** A request and how it ended. */
interface Sent extends Outcome {
  readonly id: string
  readonly kind: string
  /** When the request was sent, and when its last byte was sent. */
  readonly at: number
  readonly wholeAt: number
}

async function startBed(
  t: Test,
  graceS: number,
  options: BedOptions = {}
): Promise<PlatformBed> {
  const bed = await PlatformBed.start({
    boxes: 3,
    engines: 2,
    plain: 4,
    plainConnections: PLAIN_CONNECTIONS,
    graceS,
    ...options
  })
  t.teardown(() => bed.stop())
  bed.configure(ROUTES)
  await sleep(500)
  return bed
}

/** Sends an upload whose last bytes follow after `gapMs`; never if that is infinite. */
function upload(box: BedBox, id: string, gapMs: number): Promise<Sent> {
  const [hostname, port] = box.callers.split(":")
  const at = performance.now()
  return new Promise(resolve => {
    const socket = connect(Number(port), hostname)
    let text = ""
    let wholeAt = Infinity
    let error = ""
    let timer: NodeJS.Timeout | undefined
    socket.on("connect", () => {
      socket.write(
        `POST /unsafe/long/x HTTP/1.1\r\nhost: ${HOST}\r\nx-request-id: ${id}\r\n` +
          `x-request-deadline: ${DEADLINE_MS}\r\ncontent-length: 8\r\n\r\nabcd`
      )
      if (gapMs === Infinity) return
      timer = setTimeout(() => {
        wholeAt = performance.now()
        socket.write("efgh")
      }, gapMs)
    })
    socket.on("data", (part: Buffer) => {
      text += part.toString("latin1")
      if (text.includes("\r\n\r\n")) socket.end()
    })
    socket.on("error", ({code = "?"}: NodeJS.ErrnoException) => (error = code))
    socket.on("close", () => {
      clearTimeout(timer)
      const status = Number(/^HTTP\/1.1 (\d+)/.exec(text)?.[1] ?? 0)
      const broken = status === 0
      resolve({id, kind: "upload", at, wholeAt, status, broken, error})
    })
  })
}

let callCount = 0

/** Calls a box until told to stop, with requests of all kinds. */
class Load {
  readonly sent: Sent[] = []
  private readonly calls_: Promise<unknown>[] = []
  /** Keeps connections open and opens as many as there are calls. */
  private readonly agent_ = new Agent({keepAlive: true})
  private stopped_ = false

  constructor(
    private readonly box_: BedBox,
    private readonly options_: {
      readonly uploadGapsMs?: readonly number[]
      readonly streamMs?: number
      readonly kinds?: readonly string[]
    }
  ) {}

  async run(): Promise<void> {
    while (!this.stopped_) {
      for (const kind of this.options_.kinds ?? ["safe", "unsafe", "stream", "once"]) {
        this.calls_.push(this.call(kind))
      }
      for (const gapMs of this.options_.uploadGapsMs ?? []) {
        const id = `grace-${++callCount}`
        this.calls_.push(
          upload(this.box_, id, gapMs).then(sent => void this.sent.push(sent))
        )
      }
      await sleep(CALL_INTERVAL_MS)
    }
  }

  private async call(kind: string): Promise<void> {
    const id = `grace-${++callCount}`
    const at = performance.now()
    const isStream = kind === "stream" || kind === "once"
    const {streamMs = 0} = this.options_
    const length = {events: 10, gapMs: streamMs / 10}
    const [hostname, port] = this.box_.callers.split(":")
    const outcome = await new Promise<Outcome>(resolve => {
      let status = 0
      const fail = ({code = "?"}: NodeJS.ErrnoException): void =>
        resolve({status, broken: true, error: code})
      const req = request({
        hostname,
        port,
        agent: this.agent_,
        path: `/${kind}/long/x`,
        method: kind === "safe" ? "GET" : "POST",
        headers: {
          host: HOST,
          "x-request-id": id,
          "x-request-deadline": String(DEADLINE_MS),
          "x-token-usage": "100,20",
          ...(isStream ? {"x-model-id": `${MODEL}/a1`} : {})
        }
      })
      req.on("error", fail)
      req.on("response", res => {
        status = res.statusCode ?? 0
        res.on("error", fail)
        res.on("end", () => resolve({status, broken: false, error: ""}))
        res.resume()
      })
      req.end(isStream ? streamBody(id, length) : undefined)
    })
    this.sent.push({id, kind, at, wholeAt: at, ...outcome})
  }

  async stop(): Promise<void> {
    this.stopped_ = true
    await Promise.all(this.calls_)
    this.agent_.destroy()
  }
}

/** Stops a box by SIGTERM under load. Returns when it came and how long the box took. */
async function stopUnder(
  load: Load,
  box: BedBox,
  signals = 1
): Promise<{at: number; tookMs: number}> {
  const running = load.run()
  await sleep(CALLS_BEFORE_STOP * CALL_INTERVAL_MS)
  const at = performance.now()
  for (let i = 0; i < signals; i++) {
    box.child.signal("SIGTERM")
    if (signals > 1) await sleep(CALL_INTERVAL_MS)
  }
  await until("the box has ended", () => box.child.ended)
  const tookMs = performance.now() - at
  await load.stop()
  await running
  await sleep(AFTERMATH_MS)
  return {at, tookMs}
}

/** Requests that reached a server and got no complete answer, or an error of the box. */
function unanswered(bed: PlatformBed, load: Load): string[] {
  const ran = load.sent.filter(({id}) => bed.judge.runsOf(id).length > 0)
  return ran
    .filter(({status, broken}) => status !== 200 || broken)
    .map(({kind, id, status}) => `${kind} ${id}: ${status}`)
}

/** Requests with 503 that ran all the same. */
function brokenPromises(bed: PlatformBed, load: Load): string[] {
  const refused = load.sent.filter(({status}) => status === 503)
  return refused.filter(({id}) => bed.judge.runsOf(id).length > 0).map(({id}) => id)
}

/** Whole requests that got neither an answer nor a refused or closed new connection. */
function lost(load: Load, from: number, to: number): string[] {
  return load.sent
    .filter(({at, wholeAt, status, error}) => {
      return at >= from && wholeAt < to && status === 0 && error !== "ECONNREFUSED"
    })
    .map(({kind, id, error, wholeAt}) => {
      return `${kind} ${id}: ${error} (whole ${Math.round(to - wholeAt)} ms before)`
    })
}

const isKnownRed = passIfKnownRed("short-grace")

function play(name: string, run: (t: Test) => Promise<void>): void {
  if (!isKnownRed) t.test(name, run)
}

// With 2 s, boxes sent requests on until their end and cut them: streams, and uploads that
// must not be repeated, without an answer; others got 504.
for (const graceS of [1, 2, 3, 8]) {
  const graceMs = graceS * 1000
  play(`a stop with ${graceS} s answers each request that it has sent`, async t => {
    const bed = await startBed(t, graceS)
    const [box] = bed.boxes as [BedBox]
    for (const {faults} of bed.plain) faults.slowMs = graceMs * 0.4
    const uploadGapsMs = [0.2, 0.6, 0.9].map(share => share * graceMs)
    const load = new Load(box, {uploadGapsMs, streamMs: graceMs * 0.4})
    const {at, tookMs} = await stopUnder(load, box)
    t.same(unanswered(bed, load), [])
    t.same(brokenPromises(bed, load), [])
    t.same(lost(load, at - graceMs, at + graceMs * 0.25), [])
    t.ok(tookMs < graceMs, `the process ends in time (${Math.round(tookMs)} ms)`)
  })
}

// Streams of 3 s were begun until the end of a grace period of 3 s, and cut.
play("a stopping box leaves answers that take too long to others", async t => {
  const bed = await startBed(t, 3)
  const [box] = bed.boxes as [BedBox]
  for (const {faults} of bed.plain) faults.slowMs = 2_800
  const before = new Load(box, {streamMs: 2_800})
  const running = before.run()
  await sleep(CALL_INTERVAL_MS)
  await before.stop()
  await running
  const load = new Load(box, {streamMs: 2_800})
  const {at} = await stopUnder(load, box)
  const late = load.sent.filter(sent => sent.at > at && sent.error !== "ECONNREFUSED")
  t.ok(late.some(({status}) => status === 503))
  t.same(
    late.filter(({id}) => bed.judge.runsOf(id).length > 0),
    [],
    "none of them is sent"
  )
})

// A box without others sends such requests all the same: no other box could take them.
play("a stopping box that is alone sends what may end in time", async t => {
  const bed = await startBed(t, 3, {boxes: 1})
  const [box] = bed.boxes as [BedBox]
  const call = (id: string) =>
    bed.call(box, "/unsafe/long/x", {id, deadlineMs: DEADLINE_MS})
  for (const {faults} of bed.plain) faults.slowMs = 2_800
  await call("slow")
  for (const {faults} of bed.plain) faults.slowMs = 50
  box.child.signal("SIGTERM")
  await sleep(100)
  t.match(await call("late"), {status: 200})
})

// Boxes answered 504 after 0.9 of 8 s, although servers were about to answer.
play("a stopping box waits for its servers as long as it can", async t => {
  const bed = await startBed(t, 8)
  const [box] = bed.boxes as [BedBox]
  for (const {faults} of bed.plain) faults.slowMs = 7_400
  const call = bed.call(box, "/unsafe/long/x", {id: "long", deadlineMs: DEADLINE_MS})
  await until("it runs", () => bed.judge.runsOf("long").length > 0)
  box.child.signal("SIGTERM")
  t.match(await call, {status: 200})
})

// Guards against a stop of the leader whose calls to the store take longer than the grace.
for (const fault of [{silent: true}, {delayMs: 5_000}]) {
  const name = Object.keys(fault).join()
  play(`a stopping leader answers beside a store with ${name}`, async t => {
    const bed = await startBed(t, 1)
    const box = bed.leader() as BedBox
    for (const {faults} of bed.plain) faults.slowMs = 10_000
    const call = bed.call(box, "/unsafe/long/x", {id: name, deadlineMs: DEADLINE_MS})
    await until("it runs", () => bed.judge.runsOf(name).length > 0)
    Object.assign(bed.store.faults, fault)
    const at = performance.now()
    box.child.signal("SIGTERM")
    t.match(await call, {status: 504})
    await until("the box has ended", () => box.child.ended)
    t.ok(performance.now() - at < 1_000, "the process ends in time")
  })
}

// Guards against a second signal that ends the process, or starts the stop anew.
play("SIGTERM is repeated during a stop", async t => {
  const bed = await startBed(t, 2)
  const [box] = bed.boxes as [BedBox]
  for (const {faults} of bed.plain) faults.slowMs = 800
  const load = new Load(box, {streamMs: 800})
  const {tookMs} = await stopUnder(load, box, 10)
  t.same(unanswered(bed, load), [])
  t.same(brokenPromises(bed, load), [])
  t.ok(tookMs < 2_000, "the process ends in time")
  t.equal(box.child.exitCode, 0)
})

for (const graceS of [1, 2]) {
  play(`all boxes stop at once with ${graceS} s, the leader among them`, async t => {
    const bed = await startBed(t, graceS)
    const graceMs = graceS * 1000
    for (const {faults} of bed.plain) faults.slowMs = graceMs * 0.4
    const loads = bed.boxes.map(box => new Load(box, {streamMs: graceMs * 0.4}))
    const stops = await Promise.all(
      bed.boxes.map((box, i) => stopUnder(loads[i] as Load, box))
    )
    for (const load of loads) {
      t.same(unanswered(bed, load), [])
      t.same(brokenPromises(bed, load), [])
    }
    t.ok(stops.every(({tookMs}) => tookMs < graceMs))
  })
}

// Guards against retries that a stopping box begins too late to answer.
play("requests whose servers break off are retried during a stop", async t => {
  const bed = await startBed(t, 2)
  const [box] = bed.boxes as [BedBox]
  const [first] = bed.plain
  for (const {faults} of bed.plain) faults.slowMs = 400
  const load = new Load(box, {kinds: ["safe"], streamMs: 400})
  const losing = setInterval(() => {
    if (first) first.faults.loseAnswers = 1
  }, CALL_INTERVAL_MS)
  t.teardown(() => clearInterval(losing))
  const {at} = await stopUnder(load, box)
  t.same(brokenPromises(bed, load), [])
  t.same(lost(load, at - 2_000, at + 500), [])
  const statuses = new Set(load.sent.map(({status}) => status))
  t.notOk(statuses.has(504), "none is given up at the end")
})

// Guards against carried requests that end with the box that was asked to send them.
play("a box that sends for others stops", async t => {
  const bed = await startBed(t, 2, {boxes: 3, cuttable: true})
  const [cutBox, other, third] = bed.boxes as [BedBox, BedBox, BedBox]
  await bed.call(cutBox, "/safe/long/x", {deadlineMs: DEADLINE_MS})
  bed.cut(cutBox, [...bed.engines, ...bed.plain], "reset")
  for (let i = 0; i < DETECTION_CALLS; i++) {
    void bed.call(cutBox, "/safe/x")
    await sleep(DETECTION_INTERVAL_MS)
  }
  for (const {faults} of bed.plain) faults.slowMs = 800
  const load = new Load(cutBox, {streamMs: 800})
  const running = load.run()
  await sleep(CALLS_BEFORE_STOP * CALL_INTERVAL_MS)
  const at = performance.now()
  other.child.signal("SIGTERM")
  await until("it has ended", () => other.child.ended)
  t.ok(performance.now() - at < 2_000, "the process ends in time")
  await load.stop()
  await running
  t.notOk(third.child.ended)
  const carried = new RegExp('"event":\\d+,"request":"grace-\\d+","asker":"box-0"')
  t.match(other.child.output, carried, "it has sent some")
  const sent = load.sent.filter(({id}) => bed.judge.runsOf(id).length > 0)
  t.ok(sent.length > CALLS_BEFORE_STOP)
  t.same(unanswered(bed, load), [])
  t.same(brokenPromises(bed, load), [])
})

// The connections of uploads that never came to their end were closed without an answer.
play("an upload that is not whole at the end is refused", async t => {
  const bed = await startBed(t, 1, {boxes: 1})
  const [box] = bed.boxes as [BedBox]
  const sent = upload(box, "half", Infinity)
  await sleep(200)
  box.child.signal("SIGTERM")
  t.match(await sent, {status: 503})
  t.same(bed.judge.runsOf("half"), [])
})
