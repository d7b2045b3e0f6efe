/** Stand-in for the key-value service: the used part of etcd's JSON gateway. */
import {serveStandIn, type StandInRequest} from "./serve.js"
import type {ServerResponse} from "node:http"

interface Row {
  value: string
  revision: number
  lease?: string
}

/** Faults, set by `POST /stand-in/fault`. */
interface Faults {
  /** Calls are not answered. */
  stalled?: boolean
  /** Calls are refused with 503 before they take effect. */
  refusing?: boolean
  /** Number of writes that take effect while their answers are lost. */
  loseAnswers?: number
  delayMs?: number
  /** Calls per second. Further calls are refused with 429. */
  rate?: number
}

interface Watch {
  readonly from: string
  readonly to: string
  readonly res: ServerResponse
}

const rows = new Map<string, Row>()
const history: {key: string; value?: string; revision: number}[] = []
const leases = new Map<string, {ttlMs: number; until: number}>()
const watches = new Set<Watch>()
const counts = {reads: 0, writes: 0, watches: 0, refused: 0}
let faults: Faults = {}
let revision = 1
let nextLease = 1
let window = {second: 0, calls: 0}

const decode = (text: string) => Buffer.from(text, "base64").toString()
const encode = (text: string) => Buffer.from(text).toString("base64")

function applyChange(key: string, row: Row | undefined): void {
  if (row) rows.set(key, row)
  else rows.delete(key)
  history.push({key, value: row?.value, revision})
  for (const watch of watches) {
    if (key >= watch.from && key < watch.to)
      sendEvents(watch, [history[history.length - 1]!])
  }
}

function sendEvents(watch: Watch, events: typeof history): void {
  const listed = events.map(({key, value, revision: mod}) => ({
    type: value === undefined ? "DELETE" : "PUT",
    kv: {key: encode(key), value: encode(value ?? ""), mod_revision: String(mod)}
  }))
  if (!faults.stalled) watch.res.write(JSON.stringify({result: {events: listed}}) + "\n")
}

function range({key, range_end}: {key: string; range_end?: string}) {
  const from = decode(key)
  const to = range_end === undefined ? `${from}\0` : decode(range_end)
  const kvs = [...rows]
    .filter(([name]) => name >= from && name < to)
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([name, row]) => ({
      key: encode(name),
      value: encode(row.value),
      mod_revision: String(row.revision)
    }))
  return {header: {revision: String(revision)}, kvs, count: String(kvs.length)}
}

/* eslint-disable @typescript-eslint/no-explicit-any */
function txn(body: any) {
  const conditionsHold = (body.compare ?? []).every(
    (c: any) => String(rows.get(decode(c.key))?.revision ?? 0) === c.mod_revision
  )
  const responses = (conditionsHold ? body.success : body.failure).map((op: any) => {
    if (op.request_range) return {response_range: range(op.request_range)}
    const {key, value, lease} = op.request_put
    revision++
    applyChange(decode(key), {value: decode(value), revision, lease})
    return {response_put: {}}
  })
  return {header: {revision: String(revision)}, succeeded: conditionsHold, responses}
}

function dropLease(id: string): void {
  leases.delete(id)
  for (const [key, row] of [...rows]) {
    if (row.lease !== id) continue
    revision++
    applyChange(key, undefined)
  }
}

function execute(path: string, body: any): object {
  switch (path) {
    case "/v3/kv/range":
      return range(body)
    case "/v3/kv/txn":
      return txn(body)
    case "/v3/kv/deleterange": {
      const from = decode(body.key)
      const to = body.range_end === undefined ? `${from}\0` : decode(body.range_end)
      revision++
      for (const key of [...rows.keys()])
        if (key >= from && key < to) applyChange(key, undefined)
      return {header: {revision: String(revision)}}
    }
    case "/v3/lease/grant": {
      const id = String(nextLease++)
      const ttlMs = Number(body.TTL) * 1000
      leases.set(id, {ttlMs, until: Date.now() + ttlMs})
      return {ID: id, TTL: body.TTL}
    }
    case "/v3/lease/keepalive": {
      const lease = leases.get(body.ID)
      if (lease) lease.until = Date.now() + lease.ttlMs
      return {result: {ID: body.ID, TTL: String(lease ? lease.ttlMs / 1000 : 0)}}
    }
    case "/v3/lease/revoke":
      dropLease(body.ID)
      return {}
    default:
      return {error: "unknown path"}
  }
}

function isOverRate(): boolean {
  const second = Math.floor(Date.now() / 1000)
  if (window.second !== second) window = {second, calls: 0}
  return faults.rate !== undefined && ++window.calls > faults.rate
}

async function handle({path, body, res, reply}: StandInRequest): Promise<void> {
  if (path === "/stand-in/fault") {
    faults = body as Faults
    return reply(200, {})
  }
  if (path === "/stand-in/counts") return reply(200, counts)
  if (path === "/stand-in/lapse") {
    for (const id of [...leases.keys()]) dropLease(id)
    return reply(200, {})
  }
  if (faults.stalled) return
  if (faults.refusing || isOverRate()) {
    counts.refused++
    return reply(faults.refusing ? 503 : 429, {error: "unavailable"})
  }
  if (faults.delayMs) await new Promise(done => setTimeout(done, faults.delayMs))
  if (path === "/v3/watch") return startWatch(body as any, res)
  const isWrite = !/range$/.test(path) || path.includes("deleterange")
  if (isWrite) counts.writes++
  else counts.reads++
  const answer = execute(path, body)
  if (isWrite && faults.loseAnswers && faults.loseAnswers > 0) {
    faults.loseAnswers--
    res.destroy()
    return
  }
  reply(200, answer)
}

function startWatch(body: any, res: ServerResponse): void {
  counts.watches++
  const {key, range_end, start_revision} = body.create_request
  const watch: Watch = {from: decode(key), to: decode(range_end), res}
  res.writeHead(200, {"content-type": "application/json"})
  res.write(JSON.stringify({result: {created: true}}) + "\n")
  const missed = history.filter(
    event =>
      event.revision >= Number(start_revision) &&
      event.key >= watch.from &&
      event.key < watch.to
  )
  if (missed.length > 0) sendEvents(watch, missed)
  watches.add(watch)
  res.on("close", () => watches.delete(watch))
}

setInterval(() => {
  // Clients can't renew during an outage, so leases don't expire until it is over.
  if (faults.stalled || faults.refusing) {
    for (const lease of leases.values()) lease.until += 50
    return
  }
  for (const [id, {until}] of [...leases]) if (until < Date.now()) dropLease(id)
}, 50)

serveStandIn(handle)
