/**
 * A caller that sends requests as organisations do and parses the responses for checks.
 */
import {request} from "undici"
import {agent, keyOf} from "./deployment.js"

export interface CallOptions {
  readonly entry: string
  readonly model: string
  readonly organisation: string
  readonly tokens?: number
  readonly stream?: boolean
  /** Whether to request a chat completion. */
  readonly chat?: boolean
  readonly class?: string
  /** Idempotency key. */
  readonly key?: string
  readonly notRepeatable?: boolean
  readonly deadlineMs?: number
  readonly prompt?: string
  readonly signal?: AbortSignal
}

/**
 * The result of a call, as the caller received it. `broken`: the stream ended in an
 * explicit error. `cut`: the connection failed, or an incomplete response ended as if it
 * were complete. `unreached`: the connection was refused, as happens when a box has just
 * been replaced and the load balancer does not have the update yet.
 */
export interface CallResult {
  readonly kind: "answered" | "refused" | "broken" | "cut" | "unreached"
  readonly status: number
  readonly code: string
  readonly outcome: string
  readonly retryAfter: string | undefined
  /** Request id that the engine put into each token. */
  readonly servedId: string
  readonly model: string
  readonly tokens: number
  readonly elapsedMs: number
  readonly firstTokenMs: number
}

const EMPTY_RESULT = {
  status: 0,
  code: "",
  outcome: "",
  retryAfter: undefined,
  servedId: "",
  model: "",
  tokens: 0,
  firstTokenMs: 0
}

/** Sends a completion request and reads the complete response. */
export async function callModel(options: CallOptions): Promise<CallResult> {
  const startedAt = performance.now()
  const elapsed = () => performance.now() - startedAt
  try {
    const prompt = options.prompt ?? "hello"
    const path = options.chat ? "chat/completions" : "completions"
    const answer = await request(`http://${options.entry}/v1/${path}`, {
      method: "POST",
      headers: headersOf(options),
      body: JSON.stringify({
        model: options.model,
        ...(options.chat ? {messages: [{role: "user", content: prompt}]} : {prompt}),
        max_tokens: options.tokens ?? 4,
        stream: options.stream ?? true
      }),
      dispatcher: agent,
      headersTimeout: 0,
      bodyTimeout: 0,
      signal: options.signal
    })
    if (answer.statusCode !== 200) {
      return {...(await readRefusal(answer)), elapsedMs: elapsed()}
    }
    let text = ""
    let firstTokenMs = 0
    try {
      for await (const chunk of answer.body) {
        if (firstTokenMs === 0) firstTokenMs = elapsed()
        text += String(chunk)
      }
    } catch {
      // The connection broke. The text received so far shows whether an explicit error
      // was sent.
    }
    const parsed = options.stream === false ? readWhole(text) : readStream(text)
    return {...EMPTY_RESULT, ...parsed, status: 200, firstTokenMs, elapsedMs: elapsed()}
  } catch (cause) {
    const isRefused = (cause as NodeJS.ErrnoException).code === "ECONNREFUSED"
    return {...EMPTY_RESULT, kind: isRefused ? "unreached" : "cut", elapsedMs: elapsed()}
  }
}

function headersOf(options: CallOptions): Record<string, string> {
  return {
    authorization: `Bearer ${keyOf(options.organisation)}`,
    "content-type": "application/json",
    ...(options.class && {"x-sedge-class": options.class}),
    ...(options.key && {"idempotency-key": options.key}),
    ...(options.notRepeatable && {"x-sedge-not-repeatable": "true"}),
    ...(options.deadlineMs && {"x-sedge-deadline-ms": String(options.deadlineMs)})
  }
}

async function readRefusal(
  answer: Awaited<ReturnType<typeof request>>
): Promise<Omit<CallResult, "elapsedMs">> {
  const body = (await answer.body.json()) as {code?: string; outcome?: string}
  return {
    ...EMPTY_RESULT,
    kind: "refused",
    status: answer.statusCode,
    code: body.code ?? "",
    outcome: body.outcome ?? "",
    retryAfter: answer.headers["retry-after"] as string | undefined
  }
}

type ParsedAnswer = Pick<CallResult, "kind" | "servedId" | "model" | "tokens">

function readStream(text: string): ParsedAnswer {
  const events = text.split("\n\n").flatMap(event => /^data: \{.*$/m.exec(event) ?? [])
  const isComplete = text.endsWith("data: [DONE]\n\n") && !text.includes("event: error")
  const parsed = events.map(event => JSON.parse(event.slice("data: ".length)))
  const ids = new Set(
    parsed.map(event => String(event.choices?.[0]?.text).trim().split("#")[0])
  )
  const models = new Set(parsed.map(event => String(event.model)))
  const isBroken = text.includes("event: error")
  return {
    kind: isComplete ? "answered" : isBroken ? "broken" : "cut",
    servedId: [...ids].join(","),
    model: [...models].join(","),
    tokens: events.length
  }
}

function readWhole(text: string): ParsedAnswer {
  try {
    const body = JSON.parse(text)
    const servedId = String(body.choices[0].text).split(" ")[0] ?? ""
    return {
      kind: "answered",
      servedId,
      model: body.model,
      tokens: body.usage.completion_tokens
    }
  } catch {
    return {kind: "cut", servedId: "", model: "", tokens: 0}
  }
}
