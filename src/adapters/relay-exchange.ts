/** A caller's request: its body, its attempts at backend servers and its answer. */
import type {IncomingMessage, ServerResponse} from "node:http"
import type {AnswerEnd, AnswerFraming} from "../core/answer-end.js"
import type {RequestFacts} from "../ports/fleet-ports.js"
import {AnswerFlow} from "./answer-flow.js"
import type {ReadControl} from "./backend-pools.js"
import {FRAMING_HEADER, stripOwn} from "./carry-headers.js"
import {clockNow} from "./clock.js"
import {cutAnswer} from "./cut-answer.js"
import {countEvents, findEventsEnd, isPartialEvent} from "./event-bounds.js"
import {ANSWER_BOUND_BYTES, type UnreadAnswers} from "./unread-answers.js"

export interface AnswerHead {
  readonly status: number
  readonly headers: readonly string[]
  readonly framing: AnswerFraming
}

const FRAMINGS: readonly AnswerFraming[] = ["length", "chunks", "connection"]

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

const NO_BYTES = Buffer.alloc(0)

/** Longest time for which an answer that is not used is read. */
const MAX_DISCARD_MS = 1_000

/** The answer of an attempt, as far as it has arrived. */
export class AttemptAnswer {
  /** Closes the attempt's connection. Undefined until it is sent. */
  abort: (() => void) | undefined
  head: AnswerHead | undefined
  /** The body of an answer that is sent to the caller once it is complete. */
  bodyParts: Buffer[] = []
  bodyBytes = 0
  /** The begin of an event whose end has not arrived. */
  partialEvent: Buffer = NO_BYTES
  /** Complete events that were sent to the caller. */
  events = 0
  /** When the latest events were sent to the caller. */
  private eventsAt_: number | undefined
  private longestGapMs_ = 0
  private discardedBytes_ = 0
  private hasEnded_ = false
  private discardTimer_: NodeJS.Timeout | undefined

  constructor(
    readonly number: number,
    /**
     * Called at intervals while the box has stopped reading the answer for its slow caller.
     */
    readonly heldUp: () => void
  ) {}

  setHead(status: number, headers: readonly string[]): void {
    const sent = stripOwn(stripHop(headers))
    this.head = {status, headers: sent, framing: readFraming(headers)}
  }

  /**
   * Reads the rest of an answer that is not used, so that its connection can be reused.
   * Closes the connection if the rest is long or takes long.
   */
  discardRest(): void {
    if (this.hasEnded_) return
    this.discardTimer_ ??= setTimeout(() => this.abort?.(), MAX_DISCARD_MS)
  }

  /** Counts bytes of an answer that is not used any more. */
  discard(bytes: number): void {
    this.discardedBytes_ += bytes
    if (this.discardedBytes_ > ANSWER_BOUND_BYTES) this.abort?.()
  }

  /** Handles the end of the answer, or of its connection. */
  end(): void {
    this.hasEnded_ = true
    clearTimeout(this.discardTimer_)
  }

  /** Bytes that are held but not sent to the caller. */
  get collectedBytes(): number {
    return this.bodyBytes + this.partialEvent.length
  }

  /** Describes how the bytes of the answer ended. `cause` is an error code. */
  describeEnd(cause: string): AnswerEnd {
    return {
      framing: this.head?.framing,
      partialBytes: this.partialEvent.length,
      gapMs: this.longestGapMs_,
      cause
    }
  }

  recordEvents(count: number, now: number): void {
    this.events += count
    const gapMs = now - (this.eventsAt_ ?? now)
    this.eventsAt_ = now
    this.longestGapMs_ = Math.max(this.longestGapMs_, gapMs)
  }
}

export class RelayExchange {
  /** Answers of the attempts that may still be sent to the caller, by their numbers. */
  private readonly open_ = new Map<number, AttemptAnswer>()
  /** The answer whose bytes were sent or collected last. */
  private writer_: AttemptAnswer | undefined
  private isHeadSent_ = false
  private hasSentEvents_ = false
  lastEventId: string | undefined
  readonly flow: AnswerFlow

  constructor(
    readonly id: string,
    readonly facts: RequestFacts,
    readonly streaming: boolean,
    readonly req: IncomingMessage,
    readonly res: ServerResponse,
    readonly body: Buffer | null,
    unread: UnreadAnswers
  ) {
    this.flow = new AnswerFlow(facts.requestId, unread, res, req.socket)
    this.lastEventId = facts.lastEventId
  }

  /** Starts an attempt. Those before it stay open until they are closed. */
  startAttempt(number: number, heldUp: () => void): AttemptAnswer {
    const answer = new AttemptAnswer(number, heldUp)
    this.open_.set(number, answer)
    return answer
  }

  find(number: number): AttemptAnswer | undefined {
    return this.open_.get(number)
  }

  isOpen({number}: AttemptAnswer): boolean {
    return this.open_.has(number)
  }

  /** Drops what has arrived of an answer; the rest of it is ignored. */
  close(answer: AttemptAnswer): void {
    if (!this.open_.delete(answer.number)) return
    if (this.writer_ === answer) this.switchWriter(undefined)
    this.countCollected()
  }

  /** Closes the connections of all attempts. */
  abortAll(): void {
    for (const answer of [...this.open_.values()]) {
      this.close(answer)
      answer.abort?.()
    }
  }

  /**
   * Sends the head of a stream to the caller, unless an earlier attempt did. The core may
   * replace any other answer until it is complete.
   */
  sendHead(answer: AttemptAnswer, closing: boolean): void {
    const {head} = answer
    if (!head || !this.isStreamed(answer) || this.isHeadSent_) return
    this.isHeadSent_ = true
    const headers = [...head.headers]
    if (closing) headers.push("connection", "close")
    this.res.writeHead(head.status, headers)
    this.res.flushHeaders()
  }

  /** Whether events are sent to the caller as they arrive. */
  isStreamed({head}: AttemptAnswer): boolean {
    return this.streaming && head?.status === 200
  }

  /**
   * Buffers or sends bytes of an answer. Of a stream, only complete events are sent.
   * Returns whether it has sent events.
   */
  handleChunk(answer: AttemptAnswer, chunk: Buffer, reading: ReadControl): boolean {
    if (this.writer_ !== answer) this.switchWriter(answer)
    if (!this.isHeadSent_) {
      answer.bodyParts.push(chunk)
      answer.bodyBytes += chunk.length
      this.countCollected()
      return false
    }
    const {partialEvent} = answer
    const bytes = partialEvent.length === 0 ? chunk : Buffer.concat([partialEvent, chunk])
    const end = findEventsEnd(bytes)
    const isWhole = end === bytes.length
    answer.partialEvent = isWhole ? NO_BYTES : bytes.subarray(end)
    this.countCollected()
    if (end === 0) return false
    const events = isWhole ? bytes : bytes.subarray(0, end)
    const text = events.toString("latin1")
    this.recordEventId(text)
    answer.recordEvents(countEvents(text), clockNow())
    this.hasSentEvents_ = true
    this.flow.handleWrite(this.res.write(events), reading)
    return true
  }

  /** Whether more is held of an answer or of an event of it than a sound one has. */
  isTooLong({partialEvent}: AttemptAnswer): boolean {
    return partialEvent.length > ANSWER_BOUND_BYTES || this.flow.exceedsCollected
  }

  /** Whether a stream whose answer has ended has been broken off. */
  hasBrokenOff(answer: AttemptAnswer): boolean {
    if (!this.isStreamed(answer)) return false
    return isPartialEvent(answer.partialEvent) || this.lacksFirstEvent(answer)
  }

  /**
   * Whether only the end of the connection ends a stream without events. A resumed stream
   * may have none left, and the answer to HEAD has no body.
   */
  private lacksFirstEvent({head}: AttemptAnswer): boolean {
    if (this.req.method === "HEAD") return false
    const isResumed = this.lastEventId !== undefined
    return head?.framing === "connection" && !this.hasSentEvents_ && !isResumed
  }

  /** Completes the answer to the caller. */
  complete(answer: AttemptAnswer, closing: boolean): void {
    const {head, bodyParts, partialEvent} = answer
    this.close(answer)
    if (this.isHeadSent_) {
      this.res.end(partialEvent)
    } else if (head) {
      const body = Buffer.concat(bodyParts)
      const headers = [...head.headers, "content-length", String(body.length)]
      if (closing) headers.push("connection", "close")
      this.res.writeHead(head.status, headers)
      this.res.end(body)
    }
    this.countCollected()
  }

  /** From now on only this answer can be held up for the caller. */
  private switchWriter(answer: AttemptAnswer | undefined): void {
    this.writer_ = answer
    this.flow.start(answer?.heldUp ?? (() => undefined))
  }

  private countCollected(): void {
    let bytes = 0
    for (const {collectedBytes} of this.open_.values()) bytes += collectedBytes
    this.flow.setCollected(bytes)
  }

  /** Answers with an error of the box. Cuts the connection if an answer has begun. */
  sendError(
    status: number,
    body: object,
    headers: Readonly<Record<string, string>>
  ): void {
    if (this.res.headersSent) return this.closeConnection()
    sendError(this.res, status, body, headers)
  }

  /** Closes the caller's connection, so that a partial answer doesn't look complete. */
  closeConnection(): void {
    if (this.res.headersSent) cutAnswer(this.res)
    else this.req.socket.destroy()
  }

  private recordEventId(text: string): void {
    const at = text.lastIndexOf("id:")
    if (at < 0 || (at > 0 && text[at - 1] !== "\n")) return this.recordEventIdByLine(text)
    this.lastEventId = text.slice(at + 3, text.indexOf("\n", at)).trim()
  }

  /** Records the last event id if `id:` also occurs within data. */
  private recordEventIdByLine(text: string): void {
    for (const line of text.split("\n")) {
      if (line.startsWith("id:")) this.lastEventId = line.slice(3).trim()
    }
  }
}

/** Answers with an error of the box. */
export function sendError(
  res: ServerResponse,
  status: number,
  body: object,
  headers: Readonly<Record<string, string>>
): void {
  const text = JSON.stringify(body)
  res.writeHead(status, {
    "content-type": "application/json",
    "content-length": String(Buffer.byteLength(text)),
    ...headers
  })
  res.end(text)
}

/**
 * Returns what marks the end of an answer at its server. A box that sent the request on
 * frames the answer anew and names the server's framing.
 */
export function readFraming(headers: readonly string[]): AnswerFraming {
  const found = mapHeaders(headers)
  const named = FRAMINGS.find(framing => framing === found.get(FRAMING_HEADER))
  if (named) return named
  if (found.has("transfer-encoding")) return "chunks"
  return found.has("content-length") ? "length" : "connection"
}

/** Returns flat headers without hop-by-hop headers. */
export function stripHop(headers: readonly string[]): string[] {
  const kept: string[] = []
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = headers[i] as string
    if (HOP_HEADERS.has(name.toLowerCase())) continue
    kept.push(name, headers[i + 1] as string)
  }
  return kept
}

/**
 * Returns flat headers by lower-case name. Different values of a name are joined by
 * commas.
 */
export function mapHeaders(headers: readonly string[]): ReadonlyMap<string, string> {
  const map = new Map<string, string>()
  for (let i = 0; i + 1 < headers.length; i += 2) {
    const name = (headers[i] as string).toLowerCase()
    const value = headers[i + 1] as string
    const earlier = map.get(name)
    map.set(
      name,
      earlier === undefined || earlier === value ? value : `${earlier}, ${value}`
    )
  }
  return map
}
