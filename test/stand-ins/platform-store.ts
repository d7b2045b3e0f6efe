/** Stand-in for the platform's store: keys, leases, watches, and its faults. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse
} from "node:http"
import type {AddressInfo} from "node:net"

interface Row {
  value: string
  revision: number
  made: number
  lease: number
}

interface StoreEvent {
  readonly key: string
  readonly revision: number
  readonly value?: string
  readonly gone?: boolean
}

interface Watch {
  readonly prefix: string
  readonly after: number
  readonly res: ServerResponse
}

/** What goes wrong, until it is set back. */
export interface StoreFaults {
  /** Calls are refused with 503. */
  refusing?: boolean
  /** Calls get no answer and are not done. */
  silent?: boolean
  /** Of the changes, one in so many is done and not answered. */
  loseEach?: number
  /** Watches hear nothing, though changes are made. */
  deaf?: boolean
  /** Answers come so much later, milliseconds. */
  delayMs?: number
}

const PAGE = 50
const LEASE_CHECK_MS = 20

/** A store in this process, behind a port of its own. */
export class StandInStore {
  faults: StoreFaults = {}
  calls = 0
  /** Keys written under a condition, newest last, with who wrote them. */
  private revision_ = 1
  private changes_ = 0
  private oldest_ = 0
  private readonly rows_ = new Map<string, Row>()
  private readonly log_: StoreEvent[] = []
  private readonly watches_ = new Set<Watch>()
  private readonly leases_ = new Map<number, {ttlMs: number; until: number}>()
  private readonly timer_ = setInterval(() => this.expire(), LEASE_CHECK_MS)
  private readonly server_: Server

  private constructor() {
    this.server_ = createServer((req, res) => void this.take(req, res))
    this.server_.keepAliveTimeout = 60_000
  }

  static async start(port = 0): Promise<StandInStore> {
    const store = new StandInStore()
    await new Promise<void>(resolve =>
      store.server_.listen(port, "127.0.0.1", () => resolve())
    )
    return store
  }

  get address(): string {
    return `127.0.0.1:${(this.server_.address() as AddressInfo).port}`
  }

  stop(): void {
    clearInterval(this.timer_)
    this.server_.closeAllConnections()
    this.server_.close()
  }

  /** Writes a key as the platform's own side does; a value that stands already is no change. */
  write(key: string, value: object): void {
    const text = Buffer.from(JSON.stringify(value)).toString("base64")
    if (this.rows_.get(key)?.value === text) return
    this.put(key, text, 0)
  }

  /** Writes a key as another writer may: bytes that need not be JSON. */
  writeBytes(key: string, bytes: Buffer): void {
    this.put(key, bytes.toString("base64"), 0)
  }

  remove(key: string): void {
    if (!this.rows_.delete(key)) return
    this.append({key, revision: ++this.revision_, gone: true})
  }

  read(key: string): string | undefined {
    const row = this.rows_.get(key)
    return row && Buffer.from(row.value, "base64").toString()
  }

  /** Forgets its history and cuts all watches. */
  compact(): void {
    this.oldest_ = this.revision_
    this.log_.length = 0
    for (const {res} of this.watches_) res.destroy()
    this.watches_.clear()
  }

  private put(key: string, value: string, lease: number): void {
    const revision = ++this.revision_
    const made = this.rows_.get(key)?.made ?? revision
    this.rows_.set(key, {value, revision, made, lease})
    this.append({key, revision, value})
  }

  private append(event: StoreEvent): void {
    this.log_.push(event)
    if (this.faults.deaf) return
    for (const watch of this.watches_) {
      if (!event.key.startsWith(watch.prefix)) continue
      this.watches_.delete(watch)
      this.answer(watch.res, 200, {events: [event], at: event.revision})
    }
  }

  private expire(): void {
    const now = performance.now()
    for (const [lease, {until}] of this.leases_) {
      if (until <= now) this.endLease(lease)
    }
  }

  private endLease(lease: number): void {
    this.leases_.delete(lease)
    for (const [key, row] of this.rows_) if (row.lease === lease) this.remove(key)
  }

  private async take(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    try {
      for await (const chunk of req) chunks.push(chunk as Buffer)
    } catch {
      return
    }
    this.calls++
    const {refusing, silent, delayMs} = this.faults
    if (silent) return
    if (refusing) return this.answer(res, 503, {})
    const text = Buffer.concat(chunks).toString()
    const body = text === "" ? {} : (JSON.parse(text) as object)
    if (delayMs) await new Promise(resolve => setTimeout(resolve, delayMs))
    this.handle(req, res, body)
  }

  private handle(req: IncomingMessage, res: ServerResponse, body: object): void {
    const url = new URL(req.url ?? "/", "http://store")
    const {pathname, searchParams} = url
    if (pathname === "/kv-key") {
      const key = searchParams.get("key") ?? ""
      const row = this.rows_.get(key)
      if (!row) return this.answer(res, 404, {})
      return this.answer(res, 200, {key, ...row, at: this.revision_})
    }
    if (pathname === "/kv-range") return this.range(searchParams, res)
    if (pathname === "/kv-watch") return this.watch(searchParams, res)
    if (pathname === "/kv-txn") return this.change(body as Change, res)
    if (pathname === "/kv-lease") {
      const {ttl_ms: ttlMs} = body as {ttl_ms: number}
      const lease = ++this.revision_
      this.leases_.set(lease, {ttlMs, until: performance.now() + ttlMs})
      return this.answer(res, 200, {lease, ttl_ms: ttlMs})
    }
    const lease = Number(pathname.split("/").at(-1))
    const known = this.leases_.get(lease)
    if (!known) return this.answer(res, 404, {})
    if (pathname.startsWith("/kv-lease-end/")) {
      this.endLease(lease)
      return this.answer(res, 200, {})
    }
    known.until = performance.now() + known.ttlMs
    this.answer(res, 200, {ttl_ms: known.ttlMs})
  }

  private range(query: URLSearchParams, res: ServerResponse): void {
    const prefix = query.get("pathPrefix") ?? ""
    const after = query.get("after") ?? ""
    const keys = [...this.rows_.keys()]
      .filter(key => key.startsWith(prefix) && key > after)
      .sort()
    const items = keys.slice(0, PAGE).map(key => ({key, ...this.rows_.get(key)}))
    this.answer(res, 200, {items, more: keys.length > PAGE, at: this.revision_})
  }

  private watch(query: URLSearchParams, res: ServerResponse): void {
    const prefix = query.get("pathPrefix") ?? ""
    const after = Number(query.get("after"))
    if (after < this.oldest_) return this.answer(res, 410, {})
    const events = this.faults.deaf
      ? []
      : this.log_.filter(event => event.revision > after && event.key.startsWith(prefix))
    if (events.length > 0) {
      return this.answer(res, 200, {events, at: events.at(-1)?.revision})
    }
    const watch = {prefix, after, res}
    this.watches_.add(watch)
    setTimeout(
      () => {
        if (!this.watches_.delete(watch)) return
        this.answer(res, 200, {events: [], at: this.revision_})
      },
      Number(query.get("waitMs"))
    )
  }

  private change({expectedRev, put, remove}: Change, res: ServerResponse): void {
    const broken = expectedRev.filter(
      ({key, revision}) => (this.rows_.get(key)?.revision ?? 0) !== revision
    )
    if (broken.length > 0) {
      const items = expectedRev.map(({key}) => ({
        key,
        revision: 0,
        ...this.rows_.get(key)
      }))
      return this.answer(res, 412, {items})
    }
    if (put.some(({lease}) => lease && !this.leases_.has(lease))) {
      return this.answer(res, 404, {})
    }
    for (const {key, value, lease} of put) this.put(key, value, lease ?? 0)
    for (const key of remove) this.remove(key)
    this.changes_++
    const {loseEach} = this.faults
    if (loseEach && this.changes_ % loseEach === 0) return void res.destroy()
    this.answer(res, 200, {revision: this.revision_})
  }

  private answer(res: ServerResponse, status: number, body: object): void {
    const text = JSON.stringify(body)
    res.writeHead(status, {
      "content-type": "application/json",
      "content-length": String(Buffer.byteLength(text))
    })
    res.end(text)
  }
}

interface Change {
  readonly expectedRev: readonly {readonly key: string; readonly revision: number}[]
  readonly put: readonly {
    readonly key: string
    readonly value: string
    readonly lease?: number
  }[]
  readonly remove: readonly string[]
}
