/** Passes the answer of a backend server to the caller as it comes, checking who answered. */
import type {IncomingHttpHeaders} from "node:http"
import type {Histogram} from "hdr-histogram-js"
import {type Dispatcher, errors} from "undici"
import type {BackendResult} from "../core/entry-state.js"
import {clockNow} from "./clock.js"
import {
  countEvents,
  DONE,
  DONE_MARK,
  EVENT_END,
  readFirstModel,
  readLastId,
  readModel
} from "./event-stream.js"
import type {Exchange} from "./exchange.js"

/** Milliseconds. */
export interface RelayMeasures {
  readonly firstToken: Histogram
  readonly betweenTokens: Histogram
}

/** Told once how an attempt or a resume ended. */
export type RelayEnd = (result: BackendResult) => void

/** The most of an answer that is held back until its adapter is checked. */
const MAX_WHOLE_BYTES = 32 << 20
const EMPTY = Buffer.alloc(0)
const TAIL_BYTES = 64

/** Headers of a backend server's answer that are passed on. */
const PASSED_HEADERS = ["content-type", "retry-after", "cache-control"]

function isIdleTimeout(error: Error): boolean {
  return error instanceof errors.BodyTimeoutError
}

/** The answer of one attempt as it comes. */
export class RelayHandler implements Dispatcher.DispatchHandler {
  private sent_ = false
  private over_ = false
  private checked_ = false
  private status_ = 0
  private headers_: IncomingHttpHeaders = {}
  private held_: Buffer[] = []
  private heldBytes_ = 0
  /** The bytes of an event that is not whole yet: a caller never gets half of one. */
  private rest_: Buffer = EMPTY
  private lastWhole_: Buffer = EMPTY

  constructor(
    private readonly exchange_: Exchange,
    private readonly measures_: RelayMeasures,
    private readonly end_: RelayEnd,
    private readonly isResume_ = false
  ) {}

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.sent_ = true
    this.exchange_.controller = controller
    if (this.exchange_.res.destroyed) controller.abort(new Error("the caller hung up"))
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders
  ): void {
    this.status_ = status
    this.headers_ = headers
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.over_) return
    if (this.checked_) return this.pass(controller, chunk)
    this.held_.push(chunk)
    this.heldBytes_ += chunk.length
    if (this.heldBytes_ > MAX_WHOLE_BYTES) return this.giveUp(controller, "lost")
    if (this.passesUnchecked()) return this.open(controller)
    if (this.exchange_.mode !== "stream" || this.status_ !== 200) return
    const model = readFirstModel(Buffer.concat(this.held_).toString())
    if (model === undefined) return
    const isEnd = model === DONE && this.exchange_.replied
    if (model !== this.wantedModel() && !isEnd)
      return this.giveUp(controller, "wrong-model")
    this.open(controller)
  }

  onResponseEnd(): void {
    if (this.over_) return
    if (this.isResume_ && this.status_ !== 200) return this.finish(this.refusedResume())
    const refusal = this.readRefusal()
    if (refusal) return this.finish(refusal)
    if (this.exchange_.mode === "service" || this.status_ >= 400) return this.endPlain()
    if (this.exchange_.mode === "stream") return this.endStream()
    this.endWhole()
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.over_) return
    if (!this.sent_) return this.finish("not-sent")
    if (this.exchange_.timedOut) return this.finish("timeout")
    // A silent stream may only be slow: to ask for it again is no sign of loss.
    if (isIdleTimeout(error)) this.exchange_.progressed = true
    this.finish(this.exchange_.res.destroyed ? "abandoned" : this.lostOrGone())
  }

  /** The engine's own trouble may pass; otherwise it has no such stream, or gives none. */
  private refusedResume(): BackendResult {
    return this.status_ >= 500 ? "lost" : "gone"
  }

  /** A stream of which events without ids went out cannot be resumed. */
  private lostOrGone(): BackendResult {
    const {replied, lastEventId} = this.exchange_
    const id = readLastId(this.lastWhole_) ?? lastEventId
    this.exchange_.lastEventId = id
    return replied && id === "" ? "gone" : "lost"
  }

  /** Plain services name no adapter: their answers go through as they come. */
  private passesUnchecked(): boolean {
    return this.exchange_.mode === "service" && this.status_ < 400
  }

  private wantedModel(): string {
    const {target} = this.exchange_.arrival
    return target.kind === "model" ? target.model : ""
  }

  /** Refusals that say the request did not run. */
  private readRefusal(): BackendResult | undefined {
    const reason = this.headers_["x-not-run"]
    if (reason === "not-loaded" || reason === "stale-grant") return reason
    if (reason !== undefined) return "refused"
    const isModel = this.exchange_.arrival.target.kind === "model"
    return isModel && this.status_ === 404 ? "not-loaded" : undefined
  }

  private open(controller: Dispatcher.DispatchController): void {
    this.checked_ = true
    const {res, receivedAt, replied} = this.exchange_
    if (!replied) {
      this.exchange_.replied = true
      res.writeHead(this.status_, this.passedHeaders())
      const now = clockNow()
      this.measures_.firstToken.recordValue(Math.round(now - receivedAt))
      this.exchange_.lastEventAt = now
    }
    const held = Buffer.concat(this.held_)
    this.held_ = []
    this.pass(controller, held)
  }

  private pass(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.exchange_.mode !== "stream") return this.write(controller, chunk)
    const data = this.rest_.length > 0 ? Buffer.concat([this.rest_, chunk]) : chunk
    const end = data.lastIndexOf(EVENT_END) + EVENT_END.length
    if (end < EVENT_END.length) {
      this.rest_ = data
      return
    }
    this.rest_ = data.subarray(end)
    this.lastWhole_ = data.subarray(0, end)
    this.exchange_.progressed = true
    this.measure(this.lastWhole_)
    this.write(controller, this.lastWhole_)
  }

  /** Events that come together are no time apart. */
  private measure(events: Buffer): void {
    const now = clockNow()
    const gapMs = Math.round(now - this.exchange_.lastEventAt)
    this.exchange_.lastEventAt = now
    this.measures_.betweenTokens.recordValue(gapMs)
    const others = countEvents(events) - 1
    if (others > 0) this.measures_.betweenTokens.recordValueWithCount(0, others)
  }

  private write(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    const {res} = this.exchange_
    if (res.write(chunk)) return
    controller.pause()
    res.once("drain", () => controller.resume())
  }

  private endPlain(): void {
    const {res} = this.exchange_
    if (this.status_ >= 500) return this.finish("lost")
    if (!this.checked_) {
      this.exchange_.replied = true
      res.writeHead(this.status_, this.passedHeaders())
      res.write(Buffer.concat(this.held_))
    }
    res.end()
    this.finish(this.status_ < 400 ? "ok" : "answered-error")
  }

  private endStream(): void {
    const end = Buffer.concat([this.lastWhole_.subarray(-TAIL_BYTES), this.rest_])
    if (!this.checked_ || !end.includes(DONE_MARK)) {
      return this.finish(this.lostOrGone())
    }
    if (this.rest_.length > 0) this.exchange_.res.write(this.rest_)
    this.exchange_.res.end()
    this.finish("ok")
  }

  private endWhole(): void {
    const body = Buffer.concat(this.held_)
    const model = readModel(body.toString())
    if (model === undefined) return this.finish("lost")
    if (model !== this.wantedModel()) return this.finish("wrong-model")
    const {res, receivedAt} = this.exchange_
    this.exchange_.replied = true
    this.measures_.firstToken.recordValue(Math.round(clockNow() - receivedAt))
    res.writeHead(200, {...this.passedHeaders(), "content-length": body.length})
    res.end(body)
    this.finish("ok")
  }

  private passedHeaders(): Record<string, string> {
    const passed: Record<string, string> = {}
    for (const name of PASSED_HEADERS) {
      const value = this.headers_[name]
      if (typeof value === "string") passed[name] = value
    }
    return passed
  }

  private giveUp(controller: Dispatcher.DispatchController, result: BackendResult): void {
    this.finish(result)
    controller.abort(new Error(result))
  }

  private finish(result: BackendResult): void {
    this.over_ = true
    this.exchange_.controller = undefined
    this.end_(result)
  }
}
