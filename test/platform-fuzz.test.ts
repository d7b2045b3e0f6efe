/**
 * Random invalid input on all ports of a routed box, from fixed seeds. The box must not
 * crash, must not mix up answers, and must continue to serve.
 */
import {connect} from "node:net"
import {Packr} from "msgpackr"
import t from "tap"
import {WebSocket} from "ws"
import {createRandom, uniformFloat64} from "../src/utils/random.js"
import {type BedBox, PlatformBed} from "./support/platform-bed.js"
import {until} from "./support/wait.js"

const ROUNDS = 60
const CLOSE_MS = 300
const packr = new Packr({structuredClone: false})

class Draw {
  private state_

  constructor(seed: number) {
    this.state_ = createRandom(seed)
  }

  below(limit: number): number {
    const [value, next] = uniformFloat64(this.state_)
    this.state_ = next
    return Math.floor(value * limit)
  }

  pick<T>(items: readonly T[]): T {
    return items[this.below(items.length)] as T
  }

  bytes(limit: number): Buffer {
    return Buffer.from(Array.from({length: this.below(limit)}, () => this.below(256)))
  }
}

const REQUEST =
  "POST /stream/x HTTP/1.1\r\nHost: callers.example\r\nX-Request-Id: f\r\n" +
  "X-Model-Id: base/a1\r\nX-Token-Usage: 10,10\r\nContent-Length: 2\r\n\r\nhi"

/** Returns a request with some bytes changed, removed or repeated. */
function createBrokenRequest(draw: Draw): Buffer {
  const bytes = [...Buffer.from(REQUEST)]
  for (let i = draw.below(6); i >= 0; i--) {
    const at = draw.below(bytes.length)
    const kind = draw.below(3)
    if (kind === 0) bytes[at] = draw.below(256)
    else if (kind === 1) bytes.splice(at, draw.below(20))
    else bytes.splice(at, 0, ...bytes.slice(at, at + draw.below(40)))
  }
  return Buffer.from(bytes)
}

function sendRaw(address: string, bytes: Buffer): Promise<string> {
  const [host, port] = address.split(":")
  return new Promise(resolve => {
    let answer = ""
    const socket = connect(Number(port), host as string, () => socket.write(bytes))
    socket.on("data", data => (answer += data.toString("latin1")))
    socket.on("error", () => undefined)
    socket.on("close", () => resolve(answer))
    setTimeout(() => socket.destroy(), CLOSE_MS)
  })
}

/** Returns a frame that a peer of another version or an attacker may send. */
function createBadFrame(draw: Draw): Buffer {
  const values = [null, 7, "x", [], {}, {t: 5}, {t: "hello"}, {t: "need"}, {t: "use"}]
  const more = [{t: "missing"}, {t: "drop"}, {t: "ask-config"}, {t: "need", need: null}]
  const last = [
    {t: "use", changes: 3},
    {t: "hello", box: 1, incarnation: {}}
  ]
  if (draw.below(4) === 0) return draw.bytes(200)
  return packr.pack(draw.pick<unknown>([...values, ...more, ...last]))
}

function sendFrames(address: string, frames: readonly Buffer[]): Promise<void> {
  return new Promise(resolve => {
    const socket = new WebSocket(`ws://${address}`)
    socket.on("open", () => {
      for (const frame of frames) socket.send(frame)
    })
    socket.on("error", () => undefined)
    socket.on("close", () => resolve())
    setTimeout(() => socket.terminate(), CLOSE_MS)
  })
}

async function stillServes(bed: PlatformBed, box: BedBox): Promise<boolean> {
  if (box.child.ended) return false
  return (await bed.call(box, "/stream/x", {adapter: "a1"})).status === 200
}

t.test("invalid requests crash no box and affect no other caller", async t => {
  const bed = await PlatformBed.start({boxes: 1, engines: 1, plain: 1})
  t.teardown(() => bed.stop())
  const [box] = bed.boxes
  if (!box) return
  const draw = new Draw(11)
  const answers = await Promise.all(
    Array.from({length: ROUNDS}, () =>
      sendRaw(
        box.callers,
        draw.below(3) === 0 ? draw.bytes(300) : createBrokenRequest(draw)
      )
    )
  )
  for (const answer of answers) {
    if (answer !== "") t.match(answer, /^HTTP\/1\.1 \d{3} /)
  }
  await Promise.all(
    Array.from({length: ROUNDS}, () => sendRaw(box.ready, draw.bytes(200)))
  )
  t.ok(await stillServes(bed, box))
  t.same(bed.judge.violations, [])
})

t.test("invalid frames crash no box", async t => {
  const bed = await PlatformBed.start({boxes: 2, engines: 1, plain: 1})
  t.teardown(() => bed.stop())
  const leader = bed.leader() as BedBox
  const address = JSON.parse(bed.store.read("sedge/leader") ?? "{}").address as string
  const hello = packr.pack({
    t: "hello",
    box: "x",
    incarnation: "x",
    configVersion: -1,
    ageMs: 1
  })
  const draw = new Draw(12)
  await Promise.all(
    Array.from({length: ROUNDS}, () => {
      const frames = Array.from({length: 5}, () => createBadFrame(draw))
      return sendFrames(address, draw.below(2) === 0 ? [hello, ...frames] : frames)
    })
  )
  t.ok(await stillServes(bed, leader))
  await until("both boxes serve", async () => {
    const served = await Promise.all(bed.boxes.map(box => stillServes(bed, box)))
    return served.every(Boolean)
  })
  t.notMatch(bed.logs(), /"event":10[3](?!\d)/, "no box crashed")
})
