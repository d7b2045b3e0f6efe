/** The open requests of an entry's callers, and the core's effects on them. */
import type {ServerResponse} from "node:http"
import {findRecord} from "../core/configuration.js"
import type {BackendResult, EntryEffect, EntryEvent} from "../core/entry-state.js"
import {type ErrorCode, SedgeError} from "../errors.js"
import type {Configuration} from "../types/config.js"
import {clockNow} from "./clock.js"
import {cutAnswer} from "./cut-answer.js"
import {type Exchange, sendProblem, sendStreamError} from "./exchange.js"
import type {Log} from "./log.js"
import type {Metrics} from "./metrics.js"
import {Relay} from "./relay.js"
import type {RelayMeasures} from "./relay-handler.js"

export interface ExchangesOptions {
  readonly incarnation: string
  readonly metrics: Metrics
  readonly log: Log
  readonly streamIdleMs: number
  readonly config: () => Configuration
  readonly post: (event: EntryEvent) => void
}

/** A caller's request as it is forwarded. */
type ForwardedRequest = Pick<
  Exchange,
  "arrival" | "mode" | "method" | "path" | "headers" | "body"
>

export class Exchanges {
  private readonly relay_ = new Relay()
  private readonly open_ = new Map<string, Exchange>()

  constructor(private readonly options_: ExchangesOptions) {}

  /** Keeps a request until its response is closed. Reports if the caller disconnects. */
  open(id: string, forwarded: ForwardedRequest, res: ServerResponse): void {
    this.open_.set(id, {
      ...forwarded,
      res,
      receivedAt: clockNow(),
      replied: false,
      progressed: false,
      lastEventId: "",
      lastEventAt: 0,
      timedOut: false
    })
    res.on("close", () => {
      if (!res.writableFinished) this.options_.post({type: "hang-up", request: id})
      this.open_.delete(id)
    })
  }

  close(): void {
    this.relay_.close()
  }

  /** Sends an attempt to its backend server. */
  dispatch(effect: Extract<EntryEffect, {type: "dispatch"}>): void {
    const {request, attempt, address, fence, grant} = effect
    const exchange = this.open_.get(request)
    if (!exchange) return this.reportResult(request, undefined, "not-sent")
    this.observe(exchange, "sedge_load_stall_ms", effect.stallMs)
    this.observe(exchange, "sedge_wait_ms", effect.waitedMs)
    if (effect.fillPercent !== undefined) {
      this.observe(exchange, "sedge_batch_fill_percent", effect.fillPercent)
    }
    const {incarnation: entry} = this.options_
    this.relay_.send(
      exchange,
      {address, attempt, fence, grant, entry, idleMs: this.idleMsAt(effect.backend)},
      this.streamHistograms(exchange),
      result => this.reportResult(request, exchange, result)
    )
  }

  /** Resumes a broken stream. */
  resume({request, attempt, address}: Extract<EntryEffect, {type: "resume"}>): void {
    const exchange = this.open_.get(request)
    const end = (result: BackendResult) => this.reportResult(request, exchange, result)
    if (!exchange) return end("abandoned")
    const idleMs = this.options_.streamIdleMs
    const target = {address, attempt, idleMs}
    this.relay_.resume(exchange, target, this.streamHistograms(exchange), end)
  }

  /** Idle timeout of streams. 0 means none: streams that cannot be resumed are kept. */
  private idleMsAt(backend: string): number {
    const server = findRecord(this.options_.config(), "backend", backend)?.value
    const resumes = server?.kind === "model-engine" && server.resumesStreams === true
    return resumes ? this.options_.streamIdleMs : 0
  }

  private streamHistograms(exchange: Exchange): RelayMeasures {
    const {metrics} = this.options_
    const labels = labelsOf(exchange)
    return {
      firstToken: metrics.histogram("sedge_first_token_ms", labels),
      betweenTokens: metrics.histogram("sedge_between_tokens_ms", labels)
    }
  }

  /** Ends a begun answer: streams with an error event, others by cutting the connection. */
  breakOff(id: string, code: ErrorCode): void {
    const exchange = this.open_.get(id)
    if (exchange?.mode === "stream") sendStreamError(exchange.res, code)
    else if (exchange) cutAnswer(exchange.res)
  }

  private reportResult(
    id: string,
    exchange: Exchange | undefined,
    result: BackendResult
  ): void {
    if (!exchange) {
      return this.options_.post({
        type: "backend-result",
        request: id,
        result,
        replied: false
      })
    }
    const {replied, progressed} = exchange
    exchange.progressed = false
    if (result === "wrong-model") {
      this.options_.log("wrong-model", {request: id, target: exchange.arrival.target})
    }
    this.options_.metrics.count("sedge_attempts_total", {...labelsOf(exchange), result})
    this.options_.post({
      type: "backend-result",
      request: id,
      result,
      replied,
      progressed
    })
  }

  /** Aborts an attempt. Its end is reported like that of any other attempt. */
  abort(id: string, timedOut: boolean): void {
    const exchange = this.open_.get(id)
    if (!exchange?.controller) return
    exchange.timedOut = timedOut
    exchange.controller.abort(new Error("aborted"))
  }

  /** Answers a request with an error. */
  answer({request, code, retryAfterMs}: Extract<EntryEffect, {type: "answer"}>): void {
    const exchange = this.open_.get(request)
    if (!exchange) return
    this.options_.metrics.count("sedge_refusals_total", {...labelsOf(exchange), code})
    sendProblem(exchange.res, new SedgeError(code, "", retryAfterMs))
  }

  private observe(exchange: Exchange, name: string, value: number): void {
    this.options_.metrics.observe(name, labelsOf(exchange), value)
  }
}

function labelsOf({arrival}: Exchange): {organisation: string; class: string} {
  return {organisation: arrival.organisation, class: arrival.class}
}
