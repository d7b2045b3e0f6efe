/** Sends the leader's orders and report requests to engines while it holds its lease. */
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
 * Engines answer orders within a few milliseconds. An unanswered order can be retried at
 * once, as both carry the same sequence number. A longer timeout would only delay the
 * engine's other loads.
 */
const ORDER_TIMEOUT_MS = 150
const REPORT_TIMEOUT_MS = 600
const CONNECTIONS = 4

/** Longest report or answer to an order. */
const MAX_ANSWER_BYTES = 1 << 20

/** Limits the length of logged findings. */
const MAX_REASON_CHARS = 300

export interface DriverOptions {
  readonly dialect: Dialect
  readonly pools: BackendPools
  readonly post: (event: FleetEvent | ServingEvent) => void
  readonly find: (engine: string) => BackendRecord | undefined
  readonly holder: string
  /** Returns the fencing token. Undefined if no order may be sent in this turn. */
  readonly fence: () => number | undefined
  readonly log: Log
}

/** How a call to an engine ended. */
type CallResult =
  | {readonly status: number; readonly body: string}
  /** No answer. `sent` is false if the call certainly did not leave this box. */
  | {readonly status: undefined; readonly sent: boolean}

export class EngineDriver {
  constructor(private readonly options_: DriverOptions) {}

  perform(effect: FleetEffect): void {
    if (effect.type === "order") this.sendOrder(effect)
    else if (effect.type === "ask") this.requestReport(effect.engine)
  }

  private sendOrder(effect: Extract<FleetEffect, {type: "order"}>): void {
    const {engine, order, expectedSequence} = effect
    const {dialect, post, holder} = this.options_
    const reportResult = (result: OrderResult): void =>
      post({type: "order-result", engine, result})
    const fence = this.options_.fence()
    if (fence === undefined) return defer(() => reportResult("not-sent"))
    const record = this.options_.find(engine)
    if (!record) return defer(() => reportResult("not-sent"))
    const {server} = record
    const call = dialect.writeOrder(server, order, holder, fence, expectedSequence)
    // The lease is checked again right before sending, as connecting may have taken long.
    const canSend = (): boolean => this.options_.fence() === fence
    this.call(record, call, ORDER_TIMEOUT_MS, canSend, result => {
      if (result.status !== undefined)
        reportResult(dialect.readOrderResult(result.status))
      else reportResult(result.sent ? "unknown" : "not-sent")
    })
  }

  private requestReport(engine: string): void {
    const {dialect, post, find} = this.options_
    const record = find(engine)
    if (!record) return defer(() => post({type: "report", engine, report: undefined}))
    const call = dialect.writeReportRequest(record.server)
    const handleResult = (result: CallResult): void => {
      const report = this.readReport(engine, result)
      if (report && isOfOtherIncarnation(report, record))
        post({type: "life-over", engine})
      else post({type: "report", engine, report})
    }
    this.call(record, call, REPORT_TIMEOUT_MS, () => true, handleResult)
  }

  private readReport(engine: string, result: CallResult): EngineReport | undefined {
    if (result.status !== 200) return undefined
    try {
      return this.options_.dialect.readReport(result.body)
    } catch (cause) {
      if (!(cause instanceof UnreadableEntry)) throw cause
      const reason = cause.message.slice(0, MAX_REASON_CHARS)
      this.options_.log("report-unreadable", {engine, reason})
      return undefined
    }
  }

  private call(
    {id, address}: BackendRecord,
    {method, path, headers, body}: EngineCall,
    timeoutMs: number,
    canSend: () => boolean,
    end: (result: CallResult) => void
  ): void {
    let ended = false
    let sent = false
    let status = 0
    let abort: (() => void) | undefined
    const parts: Buffer[] = []
    let readBytes = 0
    const finish = (result: CallResult): void => {
      if (ended) return
      ended = true
      clearTimeout(timer)
      end(result)
    }
    const giveUp = (): void => {
      finish({status: undefined, sent})
      abort?.()
    }
    const timer = setTimeout(giveUp, timeoutMs)
    const bytes = body === undefined ? null : Buffer.from(body)
    const options = {method, path, headers: [...headers], body: bytes}
    this.options_.pools.send(orderPool(id), address, CONNECTIONS, options, {
      started: abortRequest => {
        if (ended || !canSend()) return false
        abort = abortRequest
        sent = true
        return true
      },
      head: (code, rawHeaders) => {
        status = code
        const notice = this.options_.dialect.readNotice(code, mapHeaders(rawHeaders))
        if (!notice || !hasNotice(notice)) return
        this.options_.post({type: "server-says", backend: id, notice})
      },
      data: chunk => {
        readBytes += chunk.length
        if (readBytes > MAX_ANSWER_BYTES) return giveUp()
        parts.push(chunk)
      },
      done: () => finish({status, body: Buffer.concat(parts).toString()}),
      failed: () => finish({status: undefined, sent})
    })
  }
}

/**
 * Whether a report is of another incarnation than the record. Assumed to be the same if
 * the report or the server's entry has no start time.
 */
function isOfOtherIncarnation({startedAt}: EngineReport, record: BackendRecord): boolean {
  if (startedAt === undefined || !hasIncarnationId(record)) return false
  return incarnationId(record.server, startedAt) !== record.id
}

function defer(action: () => void): void {
  setImmediate(action)
}

/** Orders have their own pool, as requests may use all connections of theirs. */
export function orderPool(engine: string): string {
  return `${engine} orders`
}
