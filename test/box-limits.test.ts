/**
 * A box near its memory or its descriptors must not accept more work until it would fail,
 * and must serve again once it has room. Without the setting nothing of it may happen.
 */
import {connect, type Socket} from "node:net"
import t from "tap"
import {Agent, request} from "undici"
import {
  boxBoundBytes,
  MAX_SAMPLE_MS,
  type UnreadAnswer,
  UNREAD_PATIENCE_MS,
  UnreadAnswers
} from "../src/adapters/unread-answers.js"
import {type BoxShortage, type BoxUse, findShortage} from "../src/core/box-limits.js"
import {routedSettingsSchema} from "../src/types/routed-settings.js"
import {type BedBox, HOST, PlatformBed} from "./support/platform-bed.js"
import {ReaderBed} from "./support/reader-bed.js"
import {until} from "./support/wait.js"

const MB = 1_048_576
const LIMITS = {memoryMb: 200, maxFds: 1_200}

t.test("the shares at which a box is over its limits, and below them again", async t => {
  const decide = (before: BoxShortage, memoryMb: number, openSockets = 0): BoxShortage =>
    findShortage(before, {memoryBytes: memoryMb * MB, openSockets}, LIMITS)
  t.equal(decide("none", 180), "none")
  t.equal(decide("none", 181), "memory")
  t.equal(decide("memory", 161), "memory", "until it is below 0.8")
  t.equal(decide("memory", 160), "memory")
  t.equal(decide("memory", 159), "none")
  t.equal(decide("none", 0, 900), "none")
  t.equal(decide("none", 0, 901), "descriptors")
  t.equal(decide("descriptors", 0, 800), "descriptors")
  t.equal(decide("descriptors", 0, 799), "none")
  t.equal(decide("memory", 100, 850), "descriptors", "until it is below 0.8 of both")
})

t.test("limits that cannot be kept are findings", async t => {
  const check = (limits: unknown): string[] =>
    routedSettingsSchema.shape.limits
      .safeParse(limits)
      .error?.issues.map(({path}) => path.join(".")) ?? []
  t.same(check(undefined), [])
  t.same(check(LIMITS), [])
  t.same(check({memoryMb: 0, maxFds: 200}), ["memoryMb", "maxFds"])
  t.same(check({memoryMb: -1, maxFds: 300.5}), ["memoryMb", "maxFds"])
  t.same(check({memoryMb: 200}), ["maxFds"])
  t.equal(boxBoundBytes(208), 13 * MB)
  t.equal(boxBoundBytes(undefined), 16 * MB)
})

class FakeAnswer implements UnreadAnswer {
  acceptedBytes = 0
  isHeldUp = false
  cuts = 0
  reports = 0

  constructor(
    readonly name: string,
    public bytes: number
  ) {}

  get waitingBytes(): number {
    return this.bytes
  }
  readonly reportHeldUp = (): void => void this.reports++
  readonly cut = (): void => void this.cuts++
}

// After a pause of the process, the time without a read is that of the box, not the
// caller's.
t.test("a pause of the process is not taken for a caller that does not read", async t => {
  const unread = new UnreadAnswers({boundBytes: 99, log: () => undefined})
  const answer = new FakeAnswer("a", 100)
  answer.isHeldUp = true
  unread.update(answer)
  unread.sample(60_000)
  t.equal(answer.cuts, 0)
  t.equal(answer.reports, 1, "its server is not silent")
  for (let ms = MAX_SAMPLE_MS; ms < UNREAD_PATIENCE_MS; ms += 250) unread.sample(250)
  t.equal(answer.cuts, 1)
  t.equal(unread.totalBytes, 0)
})

t.test("only callers that read nothing are cut, the largest first", async t => {
  const unread = new UnreadAnswers({boundBytes: 1_000, log: () => undefined})
  const [reads, large, small] = [
    new FakeAnswer("reads", 900),
    new FakeAnswer("large", 600),
    new FakeAnswer("small", 100)
  ]
  for (const answer of [reads, large, small]) unread.update(answer)
  t.ok(unread.isBeyondBound)
  for (let ms = 0; ms <= UNREAD_PATIENCE_MS; ms += 250) {
    reads.acceptedBytes++
    unread.sample(250)
  }
  t.same([reads.cuts, large.cuts, small.cuts], [0, 1, 0])
  t.equal(unread.totalBytes, 1_000)
  for (const answer of [reads, small]) unread.remove(answer)
  t.equal(unread.totalBytes, 0)
})

// The server decides how long it keeps an unread answer while the box has room.
t.test("within the bound of the box, no caller is cut", async t => {
  const unread = new UnreadAnswers({boundBytes: 100, log: () => undefined})
  const answer = new FakeAnswer("a", 100)
  answer.isHeldUp = true
  unread.update(answer)
  for (let ms = 0; ms < 4 * UNREAD_PATIENCE_MS; ms += 250) unread.sample(250)
  t.equal(answer.cuts, 0)
  t.equal(answer.reports, (4 * UNREAD_PATIENCE_MS) / 250, "its server is not silent")
  t.equal(unread.totalBytes, 100)
  unread.remove(answer)
})

// Answered with a status, a request counts as read, and its caller may not send it again
// at once.
t.test("a box near its memory closes new connections unread, and recovers", async t => {
  let memoryMb = 100
  const received: string[] = []
  const measure = (): BoxUse => ({memoryBytes: memoryMb * MB, openSockets: 10})
  const bed = await ReaderBed.start({
    answer: (req, res) => {
      received.push(String(req.headers["x-request-id"]))
      res.end("ok")
    },
    limits: LIMITS,
    measure
  })
  t.teardown(() => bed.stop())
  const kept = new Agent({connections: 1})
  t.teardown(() => kept.destroy())
  const callKept = async (): Promise<number> => {
    const headers = {host: "h", "x-request-id": "kept"}
    const url = `http://${bed.address}/plain/x`
    const {statusCode, body} = await request(url, {dispatcher: kept, headers})
    await body.dump()
    return statusCode
  }
  t.equal(await callKept(), 200)
  memoryMb = 181
  await until("the box is over", () => bed.overload.isOver)
  const startedAt = performance.now()
  const refused = await bed.call("/plain/x", "refused").read().end()
  t.ok(performance.now() - startedAt < 200, "at once")
  t.same(refused.parts, [], "without an answer")
  t.notOk(received.includes("refused"))
  t.equal(await callKept(), 200, "connections from before are served")
  memoryMb = 170
  bed.overload.sample()
  t.ok(bed.overload.isOver, "until it is below 0.8")
  memoryMb = 159
  await until("the box is below", () => !bed.overload.isOver)
  t.equal((await bed.call("/plain/x", "served").read().end()).status, 200)
  t.equal(bed.overload.refusedCount, 1)
  t.same(
    [bed.countOf("box-over-limit"), bed.countOf("box-below-limits")],
    [1, 1],
    "one log event each"
  )
})

async function connectIdle(address: string, count: number): Promise<Socket[]> {
  const [host = "", port] = address.split(":")
  const sockets = Array.from({length: count}, () => connect(Number(port), host))
  for (const socket of sockets) socket.on("error", () => undefined)
  await Promise.all(
    sockets.map(socket => new Promise(resolve => socket.once("connect", resolve)))
  )
  return sockets
}

interface Answer {
  readonly status: number
  readonly text: string
}

/** Sends a request over a new connection. The status is 0 if that is closed unread. */
async function callAnew(box: BedBox): Promise<Answer> {
  const dispatcher = new Agent()
  try {
    const headers = {host: HOST, "x-request-id": "anew", "x-request-deadline": "4000"}
    const url = `http://${box.callers}/safe/x`
    const {statusCode, body} = await request(url, {dispatcher, headers})
    return {status: statusCode, text: await body.text()}
  } catch {
    return {status: 0, text: ""}
  } finally {
    await dispatcher.destroy()
  }
}

t.test("a real box: its descriptors, and its memory", async t => {
  const maxFds = 300
  const bed = await PlatformBed.start({boxes: 1, limits: {memoryMb: 1_000, maxFds}})
  t.teardown(() => bed.stop())
  const box = bed.boxes[0] as BedBox
  t.equal((await callAnew(box)).status, 200)
  const idle = await connectIdle(box.callers, 90)
  await until("it is not ready", async () => !(await bed.isReady(box)))
  t.match(await callAnew(box), {status: 0})
  const reason = '"event":267,"reason":"descriptors"'
  await until("its log says why", () => box.child.output.includes(reason))
  t.match(box.child.output, reason)
  for (const socket of idle) socket.destroy()
  await until("it is ready", () => bed.isReady(box))
  t.equal((await callAnew(box)).status, 200)
  await until("its log says so", () => box.child.output.includes('"event":268'))
  t.match(box.child.output, '"event":268')
})

t.test("without the setting, nothing is refused", async t => {
  const bed = await PlatformBed.start({boxes: 1})
  t.teardown(() => bed.stop())
  const box = bed.boxes[0] as BedBox
  const idle = await connectIdle(box.callers, 300)
  t.teardown(() => idle.forEach(socket => socket.destroy()))
  // More than one sample.
  await new Promise(resolve => setTimeout(resolve, 1_200))
  t.ok(await bed.isReady(box))
  t.equal((await callAnew(box)).status, 200)
  t.notMatch(box.child.output, '"event":267')
})

t.test("a real box whose memory is over its limit from the start", async t => {
  // A process of Node.js alone takes more.
  const bed = await PlatformBed.start({boxes: 1})
  t.teardown(() => bed.stop())
  const limited = await bed.addBox(1, {memoryMb: 20, maxFds: 10_000})
  await until("it is over", () => limited.child.output.includes('"event":267'))
  t.notOk(await bed.isReady(limited))
  t.match(await callAnew(limited), {status: 0})
  t.equal((await callAnew(bed.boxes[0] as BedBox)).status, 200, "another box serves")
})
