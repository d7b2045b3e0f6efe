/** Stand-ins of workers: engines that hold adapters, and plain servers, by PROTOCOL.md. */
import {createServer} from "node:http"
import {randomUUID} from "node:crypto"

export const HEARTBEAT_MS = 1_200
const LOAD_MS = 250

export class Worker {
  id = `i-${randomUUID().slice(0, 8)}`
  adapters = new Map()
  pending = new Map()
  /** Numbers of runs by adapter, and adapters that go when their runs have ended. */
  running = new Map()
  unloading = new Set()
  /** When the load of each adapter ends, or has ended. */
  loadedAt = new Map()
  sequence = 0
  fence = 0
  sockets = new Set()
  /** What reports say, with the time since when. Oldest first. */
  snapshots = []

  /** `observe` is called with each order, each request that arrives, and each run. */
  constructor(store, options, observe) {
    Object.assign(this, {store, options, observe})
  }

  async start() {
    this.snapshots.push({at: performance.now(), body: this.describe()})
    const server = createServer((req, res) => void this.receive(req, res))
    server.keepAliveTimeout = 30_000
    server.on("connection", socket => {
      this.sockets.add(socket)
      socket.on("close", () => this.sockets.delete(socket))
    })
    this.server = server
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve))
    this.address = `127.0.0.1:${server.address().port}`
    this.beat()
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MS)
    return this
  }

  stop() {
    clearInterval(this.timer)
    for (const socket of this.sockets) socket.destroy()
    this.server.close()
  }

  /** Crashes with all that runs. */
  fall() {
    this.observe({type: "fall", worker: this.id})
    this.stop()
  }

  beat() {
    const {service, zone, model, slots} = this.options
    this.store.write(`servers/${this.id}`, {
      service,
      address: this.address,
      zone,
      version: "v1",
      slots,
      state: "ready",
      coldRemainingMs: 0,
      ...(model ? {stage: "unified", models: this.models()} : {}),
      sequence: this.sequence
    })
  }

  models() {
    const adapters = [...this.adapters].map(([name, version]) => `${name}@${version}`)
    return [{name: this.options.model, version: 1, adapters}]
  }

  async receive(req, res) {
    const parts = []
    try {
      for await (const part of req) parts.push(part)
    } catch {
      return
    }
    const text = Buffer.concat(parts).toString()
    // An answer too many, in the place where the answer to this request is due.
    if (req.socket.surplus) {
      this.observe({type: "surplus", worker: this.id, id: req.socket.surplusTo})
      req.socket.write(req.socket.surplus)
      req.socket.surplus = undefined
    }
    const target = req.headers["x-target-instance"]
    const id = req.headers["x-request-id"] ?? ""
    const echo = id === "" ? {} : {"x-request-id": id}
    if (target !== undefined && target !== this.id) {
      return reply(res, 421, {...echo, "x-instance-id": this.id})
    }
    if (req.method === "POST" && req.url === "/order") {
      const order = JSON.parse(text)
      const last = req.socket.lastReport
      if (last && this.options.repeatsReport?.(this, order)) {
        this.observe({type: "surplus", worker: this.id, answer: "report"})
        req.socket.write(last)
      }
      req.socket.lastReport = undefined
      // An order without an answer is checked and carried out later.
      const delay = this.options.delayOrder?.(this, order)
      if (delay) return delay(() => this.order(order))
      return reply(res, this.order(order), {})
    }
    if (req.method === "GET" && req.url === "/report") return this.report(req, res)
    if (req.method === "GET" && req.url === "/health") {
      return reply(res, 200, {"x-instance-id": this.id})
    }
    req.socket.lastId = id
    this.observe({type: "arrived", worker: this.id, id, path: req.url})
    if (this.options.model) return this.stream(req, res, id)
    this.observe({type: "run", worker: this.id, id})
    setTimeout(() => {
      const headers = {...echo, "x-response-signature": `${this.id}.${id}`}
      reply(res, 200, headers, `answer to ${id}`)
    }, this.options.workMs ?? 20)
  }

  /** Returns the status of the answer to an order. */
  order({operation, adapter, version, expectedRev, holder, fencingToken}) {
    const status = this.judgeOrder(holder, fencingToken, expectedRev)
    if (status === 0) {
      if (adapter === undefined) return this.record(holder, fencingToken, operation, 200)
      this.sequence++
      if (operation === "unload") {
        const done = this.unload(adapter) ? 200 : 202
        return this.record(holder, fencingToken, operation, done, adapter)
      }
      this.load(adapter, version ?? 1)
    }
    return this.record(holder, fencingToken, operation, status || 202, adapter)
  }

  /** Returns whether the adapter is gone at once. Otherwise its runs end first. */
  unload(adapter) {
    if ((this.running.get(adapter) ?? 0) > 0) {
      this.unloading.add(adapter)
      return false
    }
    this.unloading.delete(adapter)
    this.adapters.delete(adapter)
    return true
  }

  /** Counts a run of an adapter in or out. */
  countRun(adapter, change) {
    this.running.set(adapter, (this.running.get(adapter) ?? 0) + change)
    if (this.unloading.has(adapter) && this.unload(adapter)) {
      this.snapshots.push({at: performance.now(), body: this.describe()})
    }
  }

  record(holder, fence, operation, status, adapter = "") {
    this.snapshots.push({at: performance.now(), body: this.describe()})
    const places = this.adapters.size + this.pending.size
    const fields = {holder, fence, operation, adapter, status, places}
    this.observe({type: "order", worker: this.id, ...fields})
    return status
  }

  judgeOrder(holder, fencingToken, expectedRev) {
    if (holder === undefined || fencingToken === undefined) return 400
    if (fencingToken < this.fence) return 412
    this.fence = fencingToken
    return expectedRev !== undefined && expectedRev !== this.sequence ? 409 : 0
  }

  load(adapter, version) {
    if (this.adapters.get(adapter) === version) return
    const {maxAdapters = Infinity, loadMs = () => LOAD_MS} = this.options
    const takesMs = loadMs()
    this.pending.set(adapter, version)
    this.loadedAt.set(adapter, performance.now() + takesMs)
    if (this.adapters.size + this.pending.size > maxAdapters)
      setImmediate(() => this.fall())
    setTimeout(() => {
      this.pending.delete(adapter)
      this.adapters.set(adapter, version)
      this.snapshots.push({at: performance.now(), body: this.describe()})
    }, takesMs)
  }

  /** Reports the state as it stood some hundred milliseconds earlier. */
  report(req, res) {
    const until = performance.now() - (this.options.reportLagMs ?? 0)
    const older = this.snapshots.filter(({at}) => at <= until)
    const {body = this.describe()} = older.at(-1) ?? this.snapshots[0] ?? {}
    const text = JSON.stringify(body)
    req.socket.lastReport = [
      "HTTP/1.1 200 OK",
      "content-type: application/json",
      `content-length: ${Buffer.byteLength(text)}`,
      "",
      text
    ].join("\r\n")
    reply(res, 200, {"content-type": "application/json"}, text)
  }

  describe() {
    const pending = [...this.pending].map(
      ([name, version]) => `${this.options.model}/${name}@${version}`
    )
    return {
      stage: "unified",
      models: this.models(),
      pending,
      busy: false,
      sequence: this.sequence,
      queued: 0,
      active: 0,
      kvUsed: 0,
      kvTotal: 122_543,
      handles: 0
    }
  }

  stream(req, res, id) {
    const [, adapter] = String(req.headers["x-model-id"]).split("/")
    const echo = {"x-request-id": id}
    if (this.pending.has(adapter) || this.unloading.has(adapter)) {
      const leftMs = Math.round(this.loadedAt.get(adapter) - performance.now())
      this.observe({type: "refused", worker: this.id, id, adapter, leftMs})
      const headers = {...echo, "x-not-executed": "1"}
      if (this.options.repeatsAnswer?.(this, {id, adapter, socket: req.socket})) {
        const lines = Object.entries({...headers, "content-length": "0"})
        const head = lines.map(([name, value]) => `${name}: ${value}\r\n`).join("")
        req.socket.surplus = `HTTP/1.1 503 Service Unavailable\r\n${head}\r\n`
        req.socket.surplusTo = id
      }
      return reply(res, 503, headers)
    }
    const version = this.adapters.get(adapter)
    const expected = req.headers["x-expected-version"]
    if (version === undefined || (expected && Number(expected) !== version)) {
      return reply(res, 421, {...echo, "x-instance-id": this.id})
    }
    this.observe({type: "run", worker: this.id, id})
    this.countRun(adapter, 1)
    res.writeHead(200, {
      ...echo,
      "content-type": "text/event-stream",
      "x-response-signature": `${this.id}.${id}`,
      "x-weights-versions": String(version)
    })
    const {events = () => 5, gapMs = 20, dropsClosed = true} = this.options
    let next = (Number(req.headers["last-event-id"]) || 0) + 1
    const end = () => {
      clearInterval(timer)
      this.countRun(adapter, -1)
    }
    const timer = setInterval(() => {
      if (next > events(id)) {
        end()
        return res.end()
      }
      if (!res.destroyed) res.write(`id: ${next}\ndata: ${id}-${next}\n\n`)
      next++
    }, gapMs)
    res.on("close", () => {
      if (dropsClosed && !res.writableEnded) end()
    })
  }
}

function reply(res, status, headers, text = "") {
  res.writeHead(status, {...headers, "content-length": String(Buffer.byteLength(text))})
  res.end(text)
}
