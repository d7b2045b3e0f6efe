/**
 * Forwards a backend server's answer to the caller after checking which model answered.
 */
import type {IncomingHttpHeaders} from "node:http"
import type {Histogram} from "hdr-histogram-js"
import {type Dispatcher, errors} from "undici"
import type {BackendResult} from "../core/entry-state.js"
import {clockNow} from "./clock.js"
import {
  countEvents,
  DONE,
  endsWithDone,
  EVENT_END,
  readFirstModel,
  readLastId,
  readModel
} from "./event-stream.js"
import type {Exchange} from "./exchange.js"

/** Histograms of times (ms). */
export interface RelayMeasures {
  readonly firstToken: Histogram
  readonly betweenTokens: Histogram
}

/** Called once with the result of an attempt or a resume. */
export type RelayEnd = (result: BackendResult) => void

/** Limits the part of an answer buffered until its model is checked. */
const MAX_BUFFERED_BYTES = 32 << 20
const EMPTY = Buffer.alloc(0)

/** Answer headers forwarded to the caller. */
const FORWARDED_HEADERS = ["content-type", "retry-after", "cache-control"]

function isIdleTimeout(error: Error): boolean {
  return error instanceof errors.BodyTimeoutError
}

/** Handles the answer of an attempt or a resume. */
export class RelayHandler implements Dispatcher.DispatchHandler {
  private isSent_ = false
  private isFinished_ = false
  private isForwarding_ = false
  private status_ = 0
  private headers_: IncomingHttpHeaders = {}
  private bufferedChunks_: Buffer[] = []
  private bufferedBytes_ = 0
  /** Bytes of an incomplete event, which aren't sent to the caller yet. */
  private partialEvent_: Buffer = EMPTY
  private lastEvents_: Buffer = EMPTY

  constructor(
    private readonly exchange_: Exchange,
    private readonly measures_: RelayMeasures,
    private readonly end_: RelayEnd,
    private readonly isResume_ = false
  ) {}

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.isSent_ = true
    this.exchange_.controller = controller
    if (this.exchange_.res.destroyed)
      controller.abort(new Error("the caller disconnected"))
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
    if (this.isFinished_) return
    if (this.isForwarding_) return this.forward(controller, chunk)
    this.bufferedChunks_.push(chunk)
    this.bufferedBytes_ += chunk.length
    if (this.bufferedBytes_ > MAX_BUFFERED_BYTES) return this.abort(controller, "lost")
    if (this.needsNoModelCheck()) return this.startForwarding(controller)
    if (this.exchange_.mode !== "stream" || this.status_ !== 200) return
    const model = readFirstModel(Buffer.concat(this.bufferedChunks_).toString())
    if (model === undefined) return
    const isEnd = model === DONE && this.exchange_.replied
    if (model !== this.wantedModel() && !isEnd)
      return this.abort(controller, "wrong-model")
    this.startForwarding(controller)
  }

  onResponseEnd(): void {
    if (this.isFinished_) return
    if (this.isResume_ && this.status_ !== 200)
      return this.finish(this.resultOfRejectedResume())
    const refusal = this.readRefusal()
    if (refusal) return this.finish(refusal)
    if (this.exchange_.mode === "service" || this.status_ >= 400) return this.endPlain()
    if (this.exchange_.mode === "stream") return this.endStream()
    this.endWhole()
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: Error): void {
    if (this.isFinished_) return
    if (!this.isSent_) return this.finish("not-sent")
    if (this.exchange_.timedOut) return this.finish("timeout")
    // The end mark completes a stream, whatever happens to its connection afterwards.
    if (this.hasEndMark() && !this.exchange_.res.destroyed) return this.endStream()
    // A silent stream may only be slow, so a resume after it doesn't count as a failure.
    if (isIdleTimeout(error)) this.exchange_.progressed = true
    this.finish(this.exchange_.res.destroyed ? "abandoned" : this.lostOrGone())
  }

  /** A server error may be temporary. Any other error shows that the stream is gone. */
  private resultOfRejectedResume(): BackendResult {
    return this.status_ >= 500 ? "lost" : "gone"
  }

  /** A stream can't be resumed if the events sent to the caller had no ids. */
  private lostOrGone(): BackendResult {
    const {replied, lastEventId} = this.exchange_
    const id = readLastId(this.lastEvents_) ?? lastEventId
    this.exchange_.lastEventId = id
    return replied && id === "" ? "gone" : "lost"
  }

  /** Plain services report no model, so their answers are forwarded as they arrive. */
  private needsNoModelCheck(): boolean {
    return this.exchange_.mode === "service" && this.status_ < 400
  }

  private wantedModel(): string {
    const {target} = this.exchange_.arrival
    return target.kind === "model" ? target.model : ""
  }

  /** Returns the result if the answer shows that the request did not run. */
  private readRefusal(): BackendResult | undefined {
    const reason = this.headers_["x-not-run"]
    if (reason === "not-loaded" || reason === "stale-grant") return reason
    if (reason !== undefined) return "refused"
    const isModel = this.exchange_.arrival.target.kind === "model"
    return isModel && this.status_ === 404 ? "not-loaded" : undefined
  }

  private startForwarding(controller: Dispatcher.DispatchController): void {
    this.isForwarding_ = true
    const {res, receivedAt, replied} = this.exchange_
    if (!replied) {
      this.exchange_.replied = true
      res.writeHead(this.status_, this.forwardedHeaders())
      const now = clockNow()
      this.measures_.firstToken.recordValue(Math.round(now - receivedAt))
      this.exchange_.lastEventAt = now
    }
    const buffered = Buffer.concat(this.bufferedChunks_)
    this.bufferedChunks_ = []
    this.forward(controller, buffered)
  }

  private forward(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.exchange_.mode !== "stream") return this.write(controller, chunk)
    const data =
      this.partialEvent_.length > 0 ? Buffer.concat([this.partialEvent_, chunk]) : chunk
    const end = data.lastIndexOf(EVENT_END) + EVENT_END.length
    if (end < EVENT_END.length) {
      this.partialEvent_ = data
      return
    }
    this.partialEvent_ = data.subarray(end)
    this.lastEvents_ = data.subarray(0, end)
    this.exchange_.progressed = true
    this.recordGaps(this.lastEvents_)
    this.write(controller, this.lastEvents_)
  }

  /** Records the times between events. Events of one chunk count as 0 ms apart. */
  private recordGaps(events: Buffer): void {
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
    if (!this.isForwarding_) {
      this.exchange_.replied = true
      res.writeHead(this.status_, this.forwardedHeaders())
      res.write(Buffer.concat(this.bufferedChunks_))
    }
    res.end()
    this.finish(this.status_ < 400 ? "ok" : "answered-error")
  }

  private hasEndMark(): boolean {
    return this.isForwarding_ && endsWithDone(this.lastEvents_)
  }

  private endStream(): void {
    if (!this.hasEndMark()) return this.finish(this.lostOrGone())
    this.exchange_.res.end()
    this.finish("ok")
  }

  private endWhole(): void {
    const body = Buffer.concat(this.bufferedChunks_)
    const model = readModel(body.toString())
    if (model === undefined) return this.finish("lost")
    if (model !== this.wantedModel()) return this.finish("wrong-model")
    const {res, receivedAt} = this.exchange_
    this.exchange_.replied = true
    this.measures_.firstToken.recordValue(Math.round(clockNow() - receivedAt))
    res.writeHead(200, {...this.forwardedHeaders(), "content-length": body.length})
    res.end(body)
    this.finish("ok")
  }

  private forwardedHeaders(): Record<string, string> {
    const forwarded: Record<string, string> = {}
    for (const name of FORWARDED_HEADERS) {
      const value = this.headers_[name]
      if (typeof value === "string") forwarded[name] = value
    }
    return forwarded
  }

  private abort(controller: Dispatcher.DispatchController, result: BackendResult): void {
    this.finish(result)
    controller.abort(new Error(result))
  }

  private finish(result: BackendResult): void {
    this.isFinished_ = true
    this.exchange_.controller = undefined
    this.end_(result)
  }
}
