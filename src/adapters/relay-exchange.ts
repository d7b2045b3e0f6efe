/** One request of a caller on its way: body in, attempts to backend servers, answer out. */
import type {IncomingMessage, ServerResponse} from "node:http"
import type {RequestFacts} from "../ports/fleet-ports.js"

/** How a backend server's answer reaches the caller. */
export interface AnswerHead {
  readonly status: number
  readonly headers: readonly string[]
}

const HOP_HEADERS = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "transfer-encoding",
  "te",
  "trailer",
  "upgrade",
  "expect",
  "content-length"
])

const EVENT_END = Buffer.from("\n\n")

/** A caller's request, and what has gone back. */
export class RelayExchange {
  /** The attempt whose answer counts. */
  attempt = 0
  abort: (() => void) | undefined
  private head_: AnswerHead | undefined
  private passed_ = false
  private parts_: Buffer[] = []
  private rest_: Buffer = Buffer.alloc(0)
  lastEventId: string | undefined

  constructor(
    readonly id: string,
    readonly facts: RequestFacts,
    readonly streaming: boolean,
    readonly req: IncomingMessage,
    readonly res: ServerResponse,
    readonly body: Buffer | null
  ) {
    this.lastEventId = facts.lastEventId
  }

  /** A new attempt: what came of the last one in part is dropped. */
  begin(attempt: number): void {
    this.attempt = attempt
    this.abort = undefined
    this.head_ = undefined
    this.parts_ = []
    this.rest_ = Buffer.alloc(0)
  }

  /** The answer of the attempt is the caller's from here on; a resumed stream keeps its head. */
  pass(closing: boolean): void {
    const head = this.head_
    if (!head || !this.streaming || this.passed_) return
    this.passed_ = true
    const headers = [...head.headers]
    if (closing) headers.push("connection", "close")
    this.res.writeHead(head.status, headers)
    this.res.flushHeaders()
  }

  setHead(status: number, headers: readonly string[]): void {
    this.head_ = {status, headers: stripHop(headers)}
  }

  /** Whether a stream's events go out as they come. */
  get isStreamed(): boolean {
    return this.streaming && this.head_?.status === 200
  }

  /** Takes bytes of the answer; whole events go out at once, a torn one is held back. */
  take(chunk: Buffer): void {
    if (!this.passed_) {
      this.parts_.push(chunk)
      return
    }
    const bytes = this.rest_.length === 0 ? chunk : Buffer.concat([this.rest_, chunk])
    const end = bytes.lastIndexOf(EVENT_END)
    if (end < 0) {
      this.rest_ = bytes
      return
    }
    const whole = bytes.subarray(0, end + EVENT_END.length)
    this.rest_ = bytes.subarray(end + EVENT_END.length)
    this.noteEvents(whole)
    this.res.write(whole)
  }

  /** Ends the caller's answer as whole. */
  complete(closing: boolean): void {
    if (this.passed_) {
      this.res.end(this.rest_)
      return
    }
    const head = this.head_
    if (!head) return
    const body = Buffer.concat(this.parts_)
    const headers = [...head.headers, "content-length", String(body.length)]
    if (closing) headers.push("connection", "close")
    this.res.writeHead(head.status, headers)
    this.res.end(body)
  }

  /** Answers with the box's own word. */
  refuse(status: number, body: object, headers: Readonly<Record<string, string>>): void {
    if (this.res.headersSent) return this.cut()
    const text = JSON.stringify(body)
    this.res.writeHead(status, {
      "content-type": "application/json",
      "content-length": String(Buffer.byteLength(text)),
      ...headers
    })
    this.res.end(text)
  }

  /** Cuts the caller's connection, so that a part does not look whole. */
  cut(): void {
    this.req.socket.destroy()
  }

  private noteEvents(whole: Buffer): void {
    const text = whole.toString("latin1")
    const at = text.lastIndexOf("id:")
    if (at < 0 || (at > 0 && text[at - 1] !== "\n")) return this.noteSlowly(text)
    this.lastEventId = text.slice(at + 3, text.indexOf("\n", at)).trim()
  }

  /** The same where `id:` also stands within data. */
  private noteSlowly(text: string): void {
    for (const line of text.split("\n")) {
      if (line.startsWith("id:")) this.lastEventId = line.slice(3).trim()
    }
  }
}

/** Flat headers without those of one connection. */
export function stripHop(headers: readonly string[]): string[] {
  const kept: string[] = []
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = headers[i] as string
    if (HOP_HEADERS.has(name.toLowerCase())) continue
    kept.push(name, headers[i + 1] as string)
  }
  return kept
}

/** Flat headers as a map of lower-case names; values of one name that differ are joined by commas. */
export function mapHeaders(headers: readonly string[]): ReadonlyMap<string, string> {
  const map = new Map<string, string>()
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = (headers[i] as string).toLowerCase()
    const value = headers[i + 1] as string
    const known = map.get(name)
    map.set(name, known === undefined || known === value ? value : `${known}, ${value}`)
  }
  return map
}
