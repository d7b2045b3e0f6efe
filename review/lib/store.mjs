/** Stand-in of the platform's key-value store, by PROTOCOL.md. */
import {createServer} from "node:http"

const PAGE_ITEMS = 500
const LEASE_CHECK_MS = 10
const WRITES = ["/kv-txn", "/kv-lease", "/kv-lease-end"]

/** A call that changes something. Renewals of leases count as reads. */
export function isWrite(path) {
  return WRITES.some(each => path === each || path.startsWith(`${each}/`))
}

export class Store {
  rows = new Map()
  leases = new Map()
  events = []
  revision = 1
  lastLease = 1000
  watches = new Set()
  servers = []
  /** Numbers of writes by all callers, those of workers included. */
  writes = 0
  lost = 0
  timer = setInterval(() => this.expire(), LEASE_CHECK_MS)

  /**
   * Listens for one caller. `lose` is asked about each write. It returns undefined, or a
   * function that is given the write and does it later; the write gets no answer then.
   */
  async listen(caller, lose = () => undefined) {
    const server = createServer((req, res) => void this.receive(caller, lose, req, res))
    server.keepAliveTimeout = 60_000
    this.servers.push(server)
    await new Promise(resolve => server.listen(0, "127.0.0.1", resolve))
    return `127.0.0.1:${server.address().port}`
  }

  stop() {
    clearInterval(this.timer)
    for (const server of this.servers) {
      server.closeAllConnections()
      server.close()
    }
  }

  async receive(caller, lose, req, res) {
    const parts = []
    try {
      for await (const part of req) parts.push(part)
    } catch {
      return
    }
    // A connection that has lost an answer says nothing more.
    if (req.socket.isSilent) return
    const text = Buffer.concat(parts).toString()
    const call = {
      method: req.method,
      url: new URL(req.url, "http://store"),
      body: text === "" ? {} : JSON.parse(text)
    }
    const {pathname} = call.url
    if (isWrite(pathname)) {
      this.writes++
      const delay = lose(caller, call)
      if (delay) {
        this.lost++
        req.socket.isSilent = true
        return delay(() => this.handle(call, () => undefined))
      }
    }
    this.handle(call, (status, body) => {
      if (res.destroyed) return
      const answer = JSON.stringify(body)
      const length = String(Buffer.byteLength(answer))
      res.writeHead(status, {
        "content-type": "application/json",
        "content-length": length
      })
      res.end(answer)
    })
  }

  handle({method, url, body}, answer) {
    const {pathname, searchParams: query} = url
    if (pathname === "/kv-key") {
      const row = this.rows.get(query.get("key"))
      if (!row) return answer(404, {})
      return answer(200, {...row, at: this.revision})
    }
    if (pathname === "/kv-range") return this.range(query, answer)
    if (pathname === "/kv-watch") return this.watch(query, answer)
    if (pathname === "/kv-txn") return this.change(body, answer)
    if (pathname === "/kv-lease") {
      const lease = ++this.lastLease
      this.leases.set(lease, {
        ttlMs: body.ttl_ms,
        until: performance.now() + body.ttl_ms
      })
      return answer(200, {lease, ttl_ms: body.ttl_ms})
    }
    const id = Number(pathname.split("/").at(-1))
    const lease = this.leases.get(id)
    if (!lease) return answer(404, {})
    if (method === "DELETE") {
      this.endLease(id)
      return answer(200, {})
    }
    lease.until = performance.now() + lease.ttlMs
    answer(200, {ttl_ms: lease.ttlMs})
  }

  range(query, answer) {
    const [prefix, after] = [query.get("pathPrefix") ?? "", query.get("after") ?? ""]
    const keys = [...this.rows.keys()]
      .filter(key => key.startsWith(prefix) && key > after)
      .sort()
    const items = keys.slice(0, PAGE_ITEMS).map(key => this.rows.get(key))
    answer(200, {items, more: keys.length > PAGE_ITEMS, at: this.revision})
  }

  watch(query, answer) {
    const prefix = query.get("pathPrefix") ?? ""
    const after = Number(query.get("after"))
    const events = this.events.filter(
      ({key, revision}) => revision > after && key.startsWith(prefix)
    )
    if (events.length > 0) return answer(200, {events, at: events.at(-1).revision})
    const watch = {prefix, answer}
    this.watches.add(watch)
    setTimeout(
      () => {
        if (this.watches.delete(watch)) answer(200, {events: [], at: this.revision})
      },
      Number(query.get("waitMs"))
    )
  }

  change({expectedRev = [], put = [], remove = []}, answer) {
    const isMet = ({key, revision}) => (this.rows.get(key)?.revision ?? 0) === revision
    if (!expectedRev.every(isMet)) {
      const items = expectedRev.map(
        ({key}) => this.rows.get(key) ?? {key, revision: 0, gone: true}
      )
      return answer(412, {items})
    }
    if (put.some(({lease}) => lease && !this.leases.has(lease))) return answer(404, {})
    for (const {key, value, lease} of put) this.put(key, value, lease ?? 0)
    for (const key of remove) this.remove(key)
    answer(200, {revision: this.revision})
  }

  put(key, value, lease) {
    const revision = ++this.revision
    const made = this.rows.get(key)?.made ?? revision
    const row = {key, value, revision, made, lease}
    this.rows.set(key, row)
    this.report(row)
  }

  remove(key) {
    if (!this.rows.delete(key)) return
    this.report({key, revision: ++this.revision, gone: true})
  }

  report(event) {
    this.events.push(event)
    for (const watch of this.watches) {
      if (!event.key.startsWith(watch.prefix)) continue
      this.watches.delete(watch)
      watch.answer(200, {events: [event], at: event.revision})
    }
  }

  /** Writes a value as the operator or a worker does. */
  write(key, value) {
    this.writes++
    this.put(key, Buffer.from(JSON.stringify(value)).toString("base64"), 0)
  }

  read(key) {
    const row = this.rows.get(key)
    return row && JSON.parse(Buffer.from(row.value, "base64").toString())
  }

  expire() {
    const now = performance.now()
    for (const [id, {until}] of this.leases) if (until <= now) this.endLease(id)
  }

  endLease(id) {
    this.leases.delete(id)
    for (const [key, {lease}] of this.rows) if (lease === id) this.remove(key)
  }
}
