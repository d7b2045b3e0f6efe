/** Sends orders to model engines over their HTTP API, see docs/protocols/engines.md. */
import {Agent, type Dispatcher, request} from "undici"
import * as z from "zod"
import type {EngineOrder} from "../core/cell-state.js"
import type {OrderResult} from "../core/cell-orders.js"
import {readAnswerText} from "./answer-text.js"

export interface OrderTarget {
  readonly address: string
  readonly fence: number
}

export interface OrderOptions {
  readonly orderTimeoutMs: number
  readonly loadTimeoutMs: number
  /** Called in the same turn in which an unload is written to the socket. */
  readonly mayEvict: () => boolean
  /** Called when an unload was not sent because `mayEvict` returned false. */
  readonly onUnloadBlocked: () => void
}

const count = z.number().int().nonnegative()
const cacheEvent = z.object({seq: count, prefix: z.string(), stored: z.boolean()})
/** Reports that come with a list of models; malformed ones are ignored. */
const reportSchema = z.object({
  load: z.object({running: count, waiting: count}).optional().catch(undefined),
  cache: z
    .object({last: count, events: z.array(cacheEvent)})
    .optional()
    .catch(undefined)
})

interface EngineAnswer {
  readonly status: number
  readonly notRun: string
  /** Undefined if the body is not a complete JSON object. */
  readonly body: Record<string, unknown> | undefined
}

/** Sends orders and returns their results; never rejects. */
export class EngineOrders {
  private readonly agent_ = new Agent({connections: 8, keepAliveTimeout: 10_000})
  private readonly unloadDispatcher_: Dispatcher

  constructor(private readonly options_: OrderOptions) {
    this.unloadDispatcher_ = this.agent_.compose(
      dispatch => (opts, handler) =>
        dispatch(
          opts,
          checkBeforeSend(handler, options_.mayEvict, options_.onUnloadBlocked)
        )
    )
  }

  async send(target: OrderTarget, order: EngineOrder): Promise<OrderResult> {
    try {
      return toResult(order, await this.call(target, order))
    } catch (cause) {
      const {code} = cause as NodeJS.ErrnoException
      return {ok: false, reason: code === "ECONNREFUSED" ? "refused" : "lost"}
    }
  }

  close(): void {
    void this.agent_.destroy()
  }

  private async call(target: OrderTarget, order: EngineOrder): Promise<EngineAnswer> {
    const {path, body} = describeOrder(order)
    const timeoutMs =
      order.order === "load" ? this.options_.loadTimeoutMs : this.options_.orderTimeoutMs
    const answer = await request(`http://${target.address}${path}`, {
      method: body ? "POST" : "GET",
      headers: {
        "content-type": "application/json",
        "x-sedge-fence": String(target.fence)
      },
      ...(body && {body: JSON.stringify(body)}),
      dispatcher: order.order === "unload" ? this.unloadDispatcher_ : this.agent_,
      headersTimeout: 0,
      bodyTimeout: 0,
      signal: AbortSignal.timeout(timeoutMs)
    })
    const text = await readAnswerText(answer.body)
    return {
      status: answer.statusCode,
      notRun: String(answer.headers["x-not-run"] ?? ""),
      body: parseObject(text)
    }
  }
}

function describeOrder(order: EngineOrder): {path: string; body?: object} {
  switch (order.order) {
    case "list":
      return {path: `/v1/models?cache_after=${order.cacheAfter}`}
    case "load":
      return {
        path: "/v1/load_lora_adapter",
        body: {lora_name: order.model, lora_path: order.weights}
      }
    case "unload":
      return {path: "/v1/unload_lora_adapter", body: {lora_name: order.model}}
    case "cancel":
      return {path: "/v1/cancel", body: {entry: order.entry, grant: order.grant}}
  }
}

function toResult(order: EngineOrder, {status, notRun, body}: EngineAnswer): OrderResult {
  if (status === 200 && order.order === "list") return toList(body)
  if (status === 200) return {ok: true}
  // The adapter was not loaded, so the unload has nothing to do.
  if (status === 404 && order.order === "unload") return {ok: true}
  if (notRun === "no-slot") return {ok: false, reason: "no-slot"}
  if (notRun === "stale-fence") return {ok: false, reason: "stale-fence"}
  if (notRun === "busy") return {ok: false, reason: "busy"}
  if (notRun !== "" || status === 429 || status === 503)
    return {ok: false, reason: "refused"}
  return {ok: false, reason: "failed"}
}

function toList(body: EngineAnswer["body"]): OrderResult {
  // An answer without a length may have ended early. It says nothing of any adapter.
  if (!Array.isArray(body?.["data"])) return {ok: false, reason: "lost"}
  const {data} = body
  const models = (data as {id: string; parent?: string | null}[])
    .filter(model => typeof model.parent === "string")
    .map(model => model.id)
  const {load, cache} = reportSchema.parse(body)
  return {ok: true, models, leaving: body["leaving"] === true, load, cache}
}

function parseObject(text: string): EngineAnswer["body"] {
  try {
    const value: unknown = JSON.parse(text)
    return typeof value === "object" && value !== null
      ? (value as Record<string, unknown>)
      : undefined
  } catch {
    return undefined
  }
}

/** Aborts a request right before it is written if `canSend` returns false. */
function checkBeforeSend(
  handler: Dispatcher.DispatchHandler,
  canSend: () => boolean,
  onBlocked: () => void
): Dispatcher.DispatchHandler {
  return {
    onRequestStart(controller, context) {
      handler.onRequestStart?.(controller, context)
      if (canSend()) return
      onBlocked()
      controller.abort(new Error("lease expired before the unload order was sent"))
    },
    onRequestUpgrade: (...args) => handler.onRequestUpgrade?.(...args),
    onResponseStart: (...args) => handler.onResponseStart?.(...args),
    onResponseData: (...args) => handler.onResponseData?.(...args),
    onResponseEnd: (...args) => handler.onResponseEnd?.(...args),
    onResponseError: (...args) => handler.onResponseError?.(...args)
  }
}
