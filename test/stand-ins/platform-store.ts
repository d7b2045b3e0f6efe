/** Stand-in for the platform's store: keys, leases, watches and injected faults. */
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

/** State of a key before a change, from which an older backup is restored. */
interface UndoRecord {
  readonly at: number
  /** Empty if the change granted a lease. */
  readonly key: string
  readonly before: Row | undefined
  /** The store's revision before the change. */
  readonly revision: number
}

interface Lease {
  readonly ttlMs: number
  readonly grantedAt: number
  until: number
}

/** A drill: an outage of the store and its restore from an older backup. */
export interface Drill {
  /** Age of the backup when the store is restored. */
  readonly backupAgeMs: number
  /** Length of the outage before the restore. */
  readonly outageMs: number
  /**
   * Time from the restore until operators repeat their writes that the backup lacks.
   * Undefined means never. Backend servers write with their next heartbeat.
   */
  readonly rewriteMs?: number
  /** Whether operators repeat their writes in reverse order. */
  readonly reversed?: boolean
  /** Called in the turn of the restore, before any call is answered. */
  readonly onRestored?: () => void
}

interface Watch {
  readonly keyPrefix: string
  readonly after: number
  readonly res: ServerResponse
}

/** Injected faults, which last until they are reset. */
export interface StoreFaults {
  /** Calls are refused with 503. */
  refusing?: boolean
  /** Every n-th call is refused with 503. */
  refuseEach?: number
  /** Calls are neither executed nor answered. */
  silent?: boolean
  /** Every n-th change is executed but not answered. */
  loseEach?: number
  /** Watches receive no events, though changes are made. */
  deaf?: boolean
  /** Delay of all answers. */
  delayMs?: number
}

const PAGE = 50

/** How long changes can be undone, which limits the age of a backup. */
const UNDO_MS = 15_000

/** After a restore, unwritten entries of servers expire after three heartbeats. */
const SILENT_ENTRY_MS = 900

const SERVERS = "servers/"
const OPERATORS = "op/"
const LEASE_CHECK_MS = 20

/** A store in this process that listens on its own port. */
export class StandInStore {
  faults: StoreFaults = {}
  calls = 0
  /** Connections accepted so far. */
  connections = 0
  /** Calls whose exchange has ended, by their path and by whether they were answered. */
  readonly ended = new Map<string, number>()
  /** Formats the era header. Answers carry none if it returns undefined. */
  formatEra: (era: number) => string | undefined = String
  private era_ = 1
  private isAway_ = false
  private readonly undo_: UndoRecord[] = []
  /** When the platform's side last wrote each key, even if the value stayed the same. */
  private readonly wroteAt_ = new Map<string, number>()
  /** Ended leases, which an older backup may contain. */
  private readonly endedLeases_ = new Map<number, Lease & {readonly endedAt: number}>()
  private revision_ = 1
  private changes_ = 0
  private compactedRevision_ = 0
  private readonly rows_ = new Map<string, Row>()
  private readonly log_: StoreEvent[] = []
  private readonly watches_ = new Set<Watch>()
  private readonly leases_ = new Map<number, Lease>()
  private readonly timer_ = setInterval(() => this.expireLeases(), LEASE_CHECK_MS)
  private readonly server_: Server

  private constructor() {
    this.server_ = createServer((req, res) => void this.receive(req, res))
    this.server_.keepAliveTimeout = 60_000
    this.server_.on("connection", () => this.connections++)
  }

  static async start(port = 0): Promise<StandInStore> {
    const store = new StandInStore()
    await new Promise<void>(resolve =>
      store.server_.listen(port, "127.0.0.1", () => resolve())
    )
    return store
  }

  get era(): number {
    return this.era_
  }

  get revision(): number {
    return this.revision_
  }

  get address(): string {
    return `127.0.0.1:${(this.server_.address() as AddressInfo).port}`
  }

  stop(): void {
    clearInterval(this.timer_)
    this.server_.closeAllConnections()
    this.server_.close()
  }

  /** Writes a key as the platform itself does. The current value is no change. */
  write(key: string, value: object): void {
    const text = Buffer.from(JSON.stringify(value)).toString("base64")
    this.wroteAt_.set(key, performance.now())
    if (this.rows_.get(key)?.value === text) return
    this.put(key, text, 0)
  }

  /** Writes a key as other writers may, with bytes that need not be JSON. */
  writeBytes(key: string, bytes: Buffer): void {
    this.put(key, bytes.toString("base64"), 0)
  }

  remove(key: string): void {
    if (!this.rows_.has(key)) return
    this.recordUndo(key)
    this.rows_.delete(key)
    this.append({key, revision: ++this.revision_, gone: true})
  }

  read(key: string): string | undefined {
    const row = this.rows_.get(key)
    return row && Buffer.from(row.value, "base64").toString()
  }

  /** Drops the event history and closes all watches. */
  compact(): void {
    this.compactedRevision_ = this.revision_
    this.log_.length = 0
    for (const {res} of this.watches_) res.destroy()
    this.watches_.clear()
  }

  /**
   * Simulates an outage and a restore from a backup that is some seconds old. Writes and
   * leases since the backup are lost, and revisions are assigned again.
   */
  async drill(drill: Drill): Promise<void> {
    this.isAway_ = true
    for (const {res} of this.watches_) res.destroy()
    this.watches_.clear()
    this.server_.closeAllConnections()
    await new Promise(resolve => setTimeout(resolve, drill.outageMs))
    const lostWrites = this.restoreState(performance.now() - drill.backupAgeMs)
    this.era_++
    this.isAway_ = false
    const restoredAt = performance.now()
    drill.onRestored?.()
    this.expireSilentEntries()
    if (drill.rewriteMs === undefined) return
    if (drill.reversed) lostWrites.reverse()
    await new Promise(resolve => setTimeout(resolve, drill.rewriteMs))
    for (const [key, value] of lostWrites) {
      // A write by operators since the restore is newer than the one they would repeat.
      const isRewritten = (this.wroteAt_.get(key) ?? -Infinity) > restoredAt
      if (!isRewritten && this.rows_.get(key)?.value !== value) this.put(key, value, 0)
    }
  }

  /** Restores the state. Returns the lost writes of operators, oldest first. */
  private restoreState(backupAt: number): [key: string, value: string][] {
    const lost = new Map<string, string>()
    for (
      let last = this.undo_.at(-1);
      last && last.at > backupAt;
      last = this.undo_.at(-1)
    ) {
      this.undo_.pop()
      const {key, before, revision} = last
      const written = this.rows_.get(key)
      if (key.startsWith(OPERATORS) && written && !lost.has(key))
        lost.set(key, written.value)
      if (before) this.rows_.set(key, before)
      else this.rows_.delete(key)
      this.revision_ = revision
    }
    while ((this.log_.at(-1)?.revision ?? 0) > this.revision_) this.log_.pop()
    this.restoreLeases(backupAt)
    return [...lost].reverse()
  }

  /** Restores the leases in the backup, each with its full time to live. */
  private restoreLeases(backupAt: number): void {
    const now = performance.now()
    for (const [id, lease] of this.endedLeases_) {
      if (lease.endedAt > backupAt) this.leases_.set(id, lease)
    }
    for (const [id, lease] of this.leases_) {
      if (lease.grantedAt > backupAt) this.leases_.delete(id)
      else lease.until = now + lease.ttlMs
    }
    // A key must not outlive its lease, even if drills came between their writes.
    for (const [key, {lease}] of this.rows_) {
      if (lease !== 0 && !this.leases_.has(lease)) this.rows_.delete(key)
    }
  }

  private expireSilentEntries(): void {
    const restoredAt = performance.now()
    const timer = setTimeout(() => {
      for (const key of [...this.rows_.keys()]) {
        const wroteAt = this.wroteAt_.get(key) ?? -Infinity
        if (key.startsWith(SERVERS) && wroteAt < restoredAt) this.remove(key)
      }
    }, SILENT_ENTRY_MS)
    timer.unref()
  }

  private recordUndo(key: string): void {
    const now = performance.now()
    const row = this.rows_.get(key)
    const before = row && {...row}
    this.undo_.push({at: now, key, before, revision: this.revision_})
    while ((this.undo_[0]?.at ?? now) < now - UNDO_MS) this.undo_.shift()
  }

  private put(key: string, value: string, lease: number): void {
    this.recordUndo(key)
    const revision = ++this.revision_
    const made = this.rows_.get(key)?.made ?? revision
    this.rows_.set(key, {value, revision, made, lease})
    this.append({key, revision, value})
  }

  private append(event: StoreEvent): void {
    this.log_.push(event)
    if (this.faults.deaf) return
    for (const watch of this.watches_) {
      if (!event.key.startsWith(watch.keyPrefix)) continue
      this.watches_.delete(watch)
      this.answer(watch.res, 200, {events: [event], at: event.revision})
    }
  }

  private expireLeases(): void {
    const now = performance.now()
    for (const [lease, {until}] of this.leases_) {
      if (until <= now) this.endLease(lease)
    }
  }

  private endLease(lease: number): void {
    const ended = this.leases_.get(lease)
    if (ended) this.endedLeases_.set(lease, {...ended, endedAt: performance.now()})
    this.leases_.delete(lease)
    for (const [key, row] of this.rows_) if (row.lease === lease) this.remove(key)
  }

  private async receive(req: IncomingMessage, res: ServerResponse): Promise<void> {
    res.once("close", () => this.countEnded(req, res))
    const chunks: Buffer[] = []
    try {
      for await (const chunk of req) chunks.push(chunk as Buffer)
    } catch {
      return
    }
    this.calls++
    const {refusing, refuseEach, silent, delayMs} = this.faults
    if (this.isAway_) return void res.destroy()
    if (silent) return
    const isTurnedAway = refuseEach !== undefined && this.calls % refuseEach === 0
    if (refusing || isTurnedAway) return this.answer(res, 503, {})
    const text = Buffer.concat(chunks).toString()
    const body = text === "" ? {} : (JSON.parse(text) as object)
    if (delayMs) await new Promise(resolve => setTimeout(resolve, delayMs))
    this.handle(req, res, body)
  }

  private countEnded({url}: IncomingMessage, res: ServerResponse): void {
    const path = /^\/[a-z-]*/.exec(url ?? "")?.[0] ?? ""
    const kind = `${path} ${res.writableFinished ? "answered" : "abandoned"}`
    this.ended.set(kind, (this.ended.get(kind) ?? 0) + 1)
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
      this.recordUndo("")
      const lease = ++this.revision_
      const grantedAt = performance.now()
      this.leases_.set(lease, {ttlMs, grantedAt, until: grantedAt + ttlMs})
      return this.answer(res, 200, {lease, ttl_ms: ttlMs})
    }
    const lease = Number(pathname.split("/").at(-1))
    const found = this.leases_.get(lease)
    if (!found) return this.answer(res, 404, {})
    if (pathname.startsWith("/kv-lease-end/")) {
      this.endLease(lease)
      return this.answer(res, 200, {})
    }
    found.until = performance.now() + found.ttlMs
    this.answer(res, 200, {ttl_ms: found.ttlMs})
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
    if (after < this.compactedRevision_ || after > this.revision_)
      return this.answer(res, 410, {})
    const events = this.faults.deaf
      ? []
      : this.log_.filter(event => event.revision > after && event.key.startsWith(prefix))
    if (events.length > 0) {
      return this.answer(res, 200, {events, at: events.at(-1)?.revision})
    }
    const watch = {keyPrefix: prefix, after, res}
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
    const mismatches = expectedRev.filter(
      ({key, revision}) => (this.rows_.get(key)?.revision ?? 0) !== revision
    )
    if (mismatches.length > 0) {
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
    const era = this.formatEra(this.era_)
    res.writeHead(status, {
      ...(era === undefined ? {} : {"store-era": era}),
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
