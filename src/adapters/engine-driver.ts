/** Sends the leader's orders and questions to engines, under its lease. */
import type {FleetEffect, EngineReport, OrderResult} from "../core/placement-state.js"
import type {FleetEvent, ServingEvent} from "../core/serving-events.js"
import type {Dialect, EngineCall} from "../ports/fleet-ports.js"
import {incarnationId, hasIncarnationId} from "../core/server-incarnations.js"
import {hasNotice} from "../core/server-notices.js"
import type {BackendRecord} from "../types/fleet.js"
import {UnreadableEntry} from "../errors.js"
import type {BackendPools} from "./backend-pools.js"
import type {Log} from "./log.js"
import {mapHeaders} from "./relay-exchange.js"

/**
 * An engine answers an order within some ms. One without an answer may go out again at once, since
 * both carry the same count: waiting longer only keeps the engine's other loads back.
 */
const ORDER_TIMEOUT_MS = 150
const REPORT_TIMEOUT_MS = 600
const CONNECTIONS = 4

/** Of a finding, the characters that are logged. */
const MAX_REASON = 300

export interface DriverOptions {
  readonly dialect: Dialect
  readonly pools: BackendPools
  readonly post: (event: FleetEvent | ServingEvent) => void
  readonly find: (engine: string) => BackendRecord | undefined
  readonly holder: string
  /** The fence, if an order may leave in this very turn. */
  readonly fence: () => number | undefined
  readonly log: Log
}

/** How a call to an engine ended. */
type CallResult =
  | {readonly status: number; readonly body: string}
  /** Nothing left this box; or it may have. */
  | {readonly status: undefined; readonly sent: boolean}

export class EngineDriver {
  constructor(private readonly options_: DriverOptions) {}

  perform(effect: FleetEffect): void {
    if (effect.type === "order") this.order(effect)
    else if (effect.type === "ask") this.ask(effect.engine)
  }

  private order(effect: Extract<FleetEffect, {type: "order"}>): void {
    const {engine, order, expectedSequence} = effect
    const {dialect, post, holder} = this.options_
    const settle = (result: OrderResult): void =>
      post({type: "order-result", engine, result})
    const fence = this.options_.fence()
    if (fence === undefined) return later(() => settle("not-sent"))
    const record = this.options_.find(engine)
    if (!record) return later(() => settle("not-sent"))
    const {server} = record
    const call = dialect.writeOrder(server, order, holder, fence, expectedSequence)
    // The lease is looked at again when the bytes go: the connection may have come up late.
    const allowed = (): boolean => this.options_.fence() === fence
    this.call(record, call, ORDER_TIMEOUT_MS, allowed, result => {
      if (result.status !== undefined) settle(dialect.readOrderResult(result.status))
      else settle(result.sent ? "unknown" : "not-sent")
    })
  }

  private ask(engine: string): void {
    const {dialect, post, find} = this.options_
    const record = find(engine)
    if (!record) return later(() => post({type: "report", engine, report: undefined}))
    const call = dialect.askReport(record.server)
    const take = (result: CallResult): void => {
      const report = this.readReport(engine, result)
      if (report && isOfOtherLife(report, record)) post({type: "life-over", engine})
      else post({type: "report", engine, report})
    }
    this.call(record, call, REPORT_TIMEOUT_MS, () => true, take)
  }

  private readReport(engine: string, result: CallResult): EngineReport | undefined {
    if (result.status !== 200) return undefined
    try {
      return this.options_.dialect.readReport(result.body)
    } catch (cause) {
      if (!(cause instanceof UnreadableEntry)) throw cause
      const reason = cause.message.slice(0, MAX_REASON)
      this.options_.log("report-unreadable", {engine, reason})
      return undefined
    }
  }

  private call(
    {id, address}: BackendRecord,
    {method, path, headers, body}: EngineCall,
    timeoutMs: number,
    allowed: () => boolean,
    end: (result: CallResult) => void
  ): void {
    let ended = false
    let sent = false
    let status = 0
    let abort: (() => void) | undefined
    const parts: Buffer[] = []
    const finish = (result: CallResult): void => {
      if (ended) return
      ended = true
      clearTimeout(timer)
      end(result)
    }
    const timer = setTimeout(() => {
      finish({status: undefined, sent})
      abort?.()
    }, timeoutMs)
    const bytes = body === undefined ? null : Buffer.from(body)
    const options = {method, path, headers: [...headers], body: bytes}
    this.options_.pools.send(orderPool(id), address, CONNECTIONS, options, {
      started: given => {
        if (ended || !allowed()) return false
        abort = given
        sent = true
        return true
      },
      head: (given, raw) => {
        status = given
        const notice = this.options_.dialect.readNotice(given, mapHeaders(raw))
        if (!notice || !hasNotice(notice)) return
        this.options_.post({type: "server-says", backend: id, notice})
      },
      data: chunk => parts.push(chunk),
      done: () => finish({status, body: Buffer.concat(parts).toString()}),
      failed: () => finish({status: undefined, sent})
    })
  }
}

/** Where the entry or the report tells no start, the report is taken as that of the life that was asked. */
function isOfOtherLife({startedAt}: EngineReport, record: BackendRecord): boolean {
  if (startedAt === undefined || !hasIncarnationId(record)) return false
  return incarnationId(record.server, startedAt) !== record.id
}

function later(act: () => void): void {
  setImmediate(act)
}

/** The pool of an engine's orders: apart from its requests, which may take all connections. */
export function orderPool(engine: string): string {
  return `${engine} orders`
}
