/**
 * Reports to a few other boxes where streams began, and asks boxes for it. The boxes are
 * chosen by rendezvous hashing of the request's name, so that any box finds them, also
 * after the box that began the stream is gone.
 */
import {Agent, type IncomingMessage, request, type ServerResponse} from "node:http"
import * as z from "zod"
import type {BoxServing} from "../core/box-state.js"
import type {OriginAnswer} from "../core/box-streams.js"
import type {ServingEvent} from "../core/serving-events.js"
import type {OriginReport} from "../core/stream-origins.js"
import {splitAddress} from "../utils/address.js"
import {rankMembers} from "../utils/rendezvous.js"
import {clockNow} from "./clock.js"
import {readWholeBody} from "./request-body.js"

/** Header of these messages between boxes: `tell` or `ask`. */
const STREAMS_HEADER = "sedge-streams"

/** Boxes that an origin is reported to. */
const KEEPERS = 2

/** Boxes that are asked: boxes may know different sets of others. */
const ASKED_BOXES = KEEPERS + 2

/** How long origins are collected before they are sent. */
const BATCH_MS = 10

/** Allows for connecting and the link delays. */
const ANSWER_TIMEOUT_MS = 250

/** How long a box that did not answer gets no reports. */
const FAILURE_MS = 3_000

/** Limits the addresses kept. */
const MAX_ADDRESSES = 1_000

const MAX_MESSAGE_BYTES = 256 << 10

/** How long idle connections to other boxes are kept open. */
const KEEP_ALIVE_MS = 14_000

const text = z.string().max(1_000)

const origin = z.object({service: text, software: text})

const told = z.object({
  origins: z.array(origin.extend({request: text, forMs: z.number().min(0)}))
})

const question = z.object({request: text, service: text})

const answer = z.object({
  origin: origin.optional(),
  recent: z.array(text),
  observedMs: z.number().min(0)
})

export interface StreamPeersOptions {
  /** IP address and port where this box accepts links. */
  readonly ownAddress: string
  readonly post: (event: ServingEvent) => void
  readonly serving: () => BoxServing
}

export class StreamPeers {
  /** When the last failure of each other box is over, by address, newest last. */
  private readonly failedUntil_ = new Map<string, number>()
  private readonly agent_ = new Agent({keepAlive: true, timeout: KEEP_ALIVE_MS})
  private readonly waiting_: OriginReport[] = []
  private timer_: NodeJS.Timeout | undefined

  constructor(private readonly options_: StreamPeersOptions) {}

  /** Adds addresses at which other boxes accept links. */
  addAddresses(addresses: readonly string[]): void {
    for (const address of addresses) {
      if (address === this.options_.ownAddress) continue
      const failedUntil = this.failedUntil_.get(address) ?? -Infinity
      this.failedUntil_.delete(address)
      this.failedUntil_.set(address, failedUntil)
    }
    for (const oldest of this.failedUntil_.keys()) {
      if (this.failedUntil_.size <= MAX_ADDRESSES) return
      this.failedUntil_.delete(oldest)
    }
  }

  /** Reports where streams began. */
  tell(origins: readonly OriginReport[]): void {
    this.waiting_.push(...origins)
    this.timer_ ??= setTimeout(() => this.sendWaiting(true), BATCH_MS)
  }

  /** Posts what other boxes know of the begin of a stream. */
  async ask(id: string, request: string, service: string): Promise<void> {
    this.options_.post({
      type: "origin-answer",
      id,
      answer: await this.collectAnswers(request, service)
    })
  }

  /** Handles a message of another box. Returns whether the request is one. */
  handle(req: IncomingMessage, res: ServerResponse): boolean {
    const kind = req.headers[STREAMS_HEADER]
    if (kind === undefined) return false
    void this.receive(String(kind), req, res)
    return true
  }

  close(): void {
    clearTimeout(this.timer_)
    this.agent_.destroy()
  }

  private sendWaiting(mayRetry: boolean): void {
    this.timer_ = undefined
    const byKeeper = new Map<string, OriginReport[]>()
    for (const report of this.waiting_.splice(0)) {
      for (const keeper of this.rank(report.request).slice(0, KEEPERS)) {
        byKeeper.set(keeper, [...(byKeeper.get(keeper) ?? []), report])
      }
    }
    for (const [keeper, origins] of byKeeper) {
      void this.sendTo(keeper, "tell", {origins}).then(body => {
        if (body !== undefined || !mayRetry) return
        // The box that failed is left out now.
        this.waiting_.push(...origins)
        this.timer_ ??= setTimeout(() => this.sendWaiting(false), BATCH_MS)
      })
    }
  }

  /** Returns the first answer that knows the origin, or what all of them know. */
  private async collectAnswers(request: string, service: string): Promise<OriginAnswer> {
    const asked = this.rank(request).slice(0, ASKED_BOXES)
    const recent = new Set<string>()
    let observedMs = 0
    return new Promise(resolve => {
      let left = asked.length
      const finish = (): void =>
        resolve({origin: undefined, recent: [...recent], observedMs})
      if (left === 0) return finish()
      for (const address of asked) {
        void this.askBox(address, request, service).then(found => {
          for (const version of found?.recent ?? []) recent.add(version)
          observedMs = Math.max(observedMs, found?.observedMs ?? 0)
          if (found?.origin) resolve(found)
          if (--left === 0) finish()
        })
      }
    })
  }

  /** Returns the addresses of other boxes, the best one for the request first. */
  private rank(request: string): string[] {
    const now = clockNow()
    const ranked = rankMembers(request, [...this.failedUntil_.keys()])
    return ranked.filter(address => (this.failedUntil_.get(address) ?? 0) <= now)
  }

  private async askBox(
    address: string,
    request: string,
    service: string
  ): Promise<OriginAnswer | undefined> {
    const body = await this.sendTo(address, "ask", {request, service})
    const {data} = answer.safeParse(parse(body ?? ""))
    return data && {...data, origin: data.origin}
  }

  /** Returns the body of the answer. Undefined if there is none in time. */
  private async sendTo(
    address: string,
    kind: "tell" | "ask",
    message: object
  ): Promise<string | undefined> {
    const content = await postMessage(this.agent_, address, kind, JSON.stringify(message))
    // Without an answer the box is gone, or cut off from this one; others are told and
    // asked.
    if (content === undefined) this.failedUntil_.set(address, clockNow() + FAILURE_MS)
    return content
  }

  private async receive(
    kind: string,
    req: IncomingMessage,
    res: ServerResponse
  ): Promise<void> {
    const body = await readWholeBody(req, MAX_MESSAGE_BYTES)
    const content = Buffer.isBuffer(body) ? parse(body.toString()) : undefined
    const reply = kind === "tell" ? this.keep(content) : this.answer(content)
    if (res.destroyed) return
    const sent = reply === undefined ? "" : JSON.stringify(reply)
    res.writeHead(reply === undefined ? 400 : 200, {
      "content-length": String(Buffer.byteLength(sent))
    })
    res.end(sent)
  }

  private keep(content: unknown): object | undefined {
    const {data} = told.safeParse(content)
    if (!data) return undefined
    this.options_.post({type: "origins-told", origins: data.origins})
    return {}
  }

  private answer(content: unknown): OriginAnswer | undefined {
    const {data} = question.safeParse(content)
    if (!data) return undefined
    const {origins, serviceVersions} = this.options_.serving()
    const now = clockNow()
    return {
      origin: origins.find(data.request, now),
      recent: serviceVersions.recent(data.service, now),
      observedMs: serviceVersions.observedMs(now)
    }
  }
}

/** Sends a message to another box. Resolves to undefined if it isn't answered in time. */
function postMessage(
  agent: Agent,
  address: string,
  kind: "tell" | "ask",
  body: string
): Promise<string | undefined> {
  return new Promise(resolve => {
    const call = request({
      ...splitAddress(address),
      agent,
      method: "POST",
      headers: {
        [STREAMS_HEADER]: kind,
        "content-length": String(Buffer.byteLength(body))
      },
      signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS)
    })
    call.on("error", () => resolve(undefined))
    call.on("response", answered => {
      let content = ""
      answered.setEncoding("utf8")
      answered.on("data", (part: string) => (content += part))
      answered.on("end", () => resolve(answered.statusCode === 200 ? content : undefined))
      answered.on("error", () => resolve(undefined))
    })
    call.end(body)
  })
}

function parse(content: string): unknown {
  try {
    return JSON.parse(content) as unknown
  } catch {
    return undefined
  }
}
