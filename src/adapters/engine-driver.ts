/**
 * Sends the leader's orders and report requests to engines while it holds its lease. Both
 * share connections, where a faulty engine may repeat an earlier answer. The request id
 * shows that, if the engine names it, and otherwise that only reports have a content.
 */
import {randomUUID} from "node:crypto"
import type {FleetEffect, EngineReport, OrderResult} from "../core/placement-state.js"
import type {FleetEvent, ServingEvent} from "../core/serving-events.js"
import type {Dialect, EngineCall} from "../ports/fleet-ports.js"
import {incarnationId, hasIncarnationId} from "../core/server-incarnations.js"
import {hasNotice} from "../core/server-notices.js"
import type {BackendRecord} from "../types/fleet.js"
import {UnreadableEntry} from "../errors.js"
import type {BackendPools} from "./backend-pools.js"
import {clockNow} from "./clock.js"
import type {Log} from "./log.js"
import {mapHeaders} from "./relay-exchange.js"
import type {SurplusAnswers} from "./surplus-answers.js"
import {startAnswerTimer} from "../utils/timers.js"

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
  readonly surplus: SurplusAnswers
}

interface Call extends EngineCall {
  readonly kind: "order" | "report"
  readonly requestId: string
  readonly timeoutMs: number
}

/** Statuses of answers to orders, which have no content. */
const ORDER_STATUSES: ReadonlySet<number> = new Set([200, 202, 409, 412])

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
    const requestId = randomUUID()
    const call: Call = {
      ...dialect.writeOrder(server, order, holder, fence, expectedSequence, requestId),
      kind: "order",
      requestId,
      timeoutMs: ORDER_TIMEOUT_MS
    }
    // The lease is checked again right before sending, as connecting may have taken long.
    const canSend = (): boolean => this.options_.fence() === fence
    this.call(record, call, canSend, result => {
      if (result.status !== undefined)
        reportResult(dialect.readOrderResult(result.status))
      else reportResult(result.sent ? "unknown" : "not-sent")
    })
  }

  private requestReport(engine: string): void {
    const {dialect, post, find} = this.options_
    const record = find(engine)
    if (!record) return defer(() => post({type: "report", engine, report: undefined}))
    const requestId = randomUUID()
    const call: Call = {
      ...dialect.writeReportRequest(record.server, requestId),
      kind: "report",
      requestId,
      timeoutMs: REPORT_TIMEOUT_MS
    }
    const handleResult = (result: CallResult): void => {
      const report = this.readReport(engine, result)
      if (report && isOfOtherIncarnation(report, record))
        post({type: "life-over", engine})
      else post({type: "report", engine, report})
    }
    this.call(record, call, () => true, handleResult)
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

  private isReport(body: string): boolean {
    try {
      this.options_.dialect.readReport(body)
      return true
    } catch (cause) {
      if (!(cause instanceof UnreadableEntry)) throw cause
      return false
    }
  }

  private call(
    {id, address}: BackendRecord,
    {kind, requestId, timeoutMs, method, path, headers, body}: Call,
    canSend: () => boolean,
    end: (result: CallResult) => void
  ): void {
    const {dialect, surplus} = this.options_
    let ended = false
    let sent = false
    let sentAt = 0
    let status = 0
    let abort: (() => void) | undefined
    const parts: Buffer[] = []
    let readBytes = 0
    const finish = (result: CallResult): void => {
      if (ended) return
      ended = true
      timer.clear()
      end(result)
    }
    const giveUp = (): void => {
      finish({status: undefined, sent})
      abort?.()
    }
    const giveUpMismatch = (answered: string | undefined): void => {
      if (ended) return
      const sentMs = clockNow() - sentAt
      surplus.logMismatch({request: requestId, backend: id, answered, sentMs})
      giveUp()
    }
    const timer = startAnswerTimer(timeoutMs, giveUp)
    const bytes = body === undefined ? null : Buffer.from(body)
    const options = {method, path, headers: [...headers], body: bytes}
    this.options_.pools.send(orderPool(id), address, CONNECTIONS, options, {
      started: abortRequest => {
        if (ended || !canSend()) return false
        abort = abortRequest
        sent = true
        sentAt = clockNow()
        return true
      },
      head: (code, rawHeaders) => {
        status = code
        const found = mapHeaders(rawHeaders)
        const {requestId: answered} = dialect.readAnswer(code, found)
        const isNamedOther = answered !== undefined && answered !== requestId
        if (isNamedOther || (kind === "report" && isOrderAnswer(code, found))) {
          return giveUpMismatch(answered)
        }
        const notice = dialect.readNotice(code, found)
        if (!notice || !hasNotice(notice)) return
        this.options_.post({type: "server-says", backend: id, notice})
      },
      data: chunk => {
        readBytes += chunk.length
        if (readBytes > MAX_ANSWER_BYTES) return giveUp()
        parts.push(chunk)
        if (kind === "order" && this.isReport(Buffer.concat(parts).toString())) {
          giveUpMismatch(undefined)
        }
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

function isOrderAnswer(status: number, headers: ReadonlyMap<string, string>): boolean {
  return ORDER_STATUSES.has(status) && headers.get("content-length") === "0"
}

function defer(action: () => void): void {
  setImmediate(action)
}

/** Orders have their own pool, as requests may use all connections of theirs. */
export function orderPool(engine: string): string {
  return `${engine} orders`
}
