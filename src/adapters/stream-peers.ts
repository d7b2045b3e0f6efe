/**
 * Reports to a few other boxes where streams began, and asks boxes for it. The boxes are
 * chosen by rendezvous hashing of the stream's key, so that any box finds them, also
 * after the box that began the stream is gone.
 */
import {Agent, type IncomingMessage, type ServerResponse} from "node:http"
import type {BoxServing} from "../core/box-state.js"
import {observedVersionsMs, type OriginAnswer} from "../core/box-streams.js"
import type {ServingEvent} from "../core/serving-events.js"
import type {OriginReport} from "../core/stream-origins.js"
import {hashMember, selectMembers} from "../utils/rendezvous.js"
import {STREAMS_HEADER} from "./carry-headers.js"
import {clockNow} from "./clock.js"
import type {Log} from "./log.js"
import {readWholeBody} from "./request-body.js"
import {
  answer,
  parseJson,
  type PeerAnswer,
  postMessage,
  question,
  type StreamMessageKind,
  told
} from "./stream-messages.js"

/** Boxes that an origin is reported to. */
const KEEPERS = 2

/** Boxes that are asked: boxes may know different sets of others. */
const ASKED_BOXES = KEEPERS + 2

/** How long origins are collected before they are sent. */
const BATCH_MS = 10

/** How long a box that did not answer gets no reports. */
const FAILURE_MS = 3_000

/** Failures in a row after which an address is no longer kept. */
const MAX_FAILURES = 10

/** Limits the addresses kept. */
const MAX_ADDRESSES = 1_000

const MAX_MESSAGE_BYTES = 256 << 10

/** Origins in one message, well below its limit of bytes. */
const MAX_BATCH = 500

/** How long idle connections to other boxes are kept open. */
const KEEP_ALIVE_MS = 14_000

interface Peer {
  /** See `hashMember`. */
  readonly hash: number
  failedUntil: number
  /** Messages in a row that it did not answer. */
  failures: number
}

export interface StreamPeersOptions {
  /** IP address and port where this box accepts links. */
  readonly ownAddress: string
  readonly post: (event: ServingEvent) => void
  readonly serving: () => BoxServing
  /** Reads the list of servers now, if the key-value service answers in time. */
  readonly readServers: () => Promise<void>
  readonly log: Log
}

export class StreamPeers {
  /** Other boxes by address, the most recently named last. */
  private readonly peers_ = new Map<string, Peer>()
  private readonly agent_ = new Agent({keepAlive: true, timeout: KEEP_ALIVE_MS})
  private readonly waiting_: OriginReport[] = []
  private timer_: NodeJS.Timeout | undefined

  constructor(private readonly options_: StreamPeersOptions) {}

  /** Adds addresses at which other boxes accept links. */
  addAddresses(addresses: readonly string[]): void {
    for (const address of addresses) {
      if (address === this.options_.ownAddress) continue
      const peer = this.peers_.get(address) ?? createPeer(address)
      this.peers_.delete(address)
      this.peers_.set(address, peer)
    }
    for (const oldest of this.peers_.keys()) {
      if (this.peers_.size <= MAX_ADDRESSES) return
      this.peers_.delete(oldest)
    }
  }

  /** Reports where streams began. */
  tell(origins: readonly OriginReport[]): void {
    this.waiting_.push(...origins)
    this.timer_ ??= setTimeout(() => {
      this.timer_ = undefined
      this.send(this.waiting_.splice(0), true)
    }, BATCH_MS)
  }

  /**
   * Posts what other boxes know of the begin of a stream. If they don't know it, what
   * versions there are decides, by a list that is newer than the question.
   */
  async ask(id: string, stream: string, service: string): Promise<void> {
    const found = await this.collectAnswers(stream, service)
    if (!found.origin) await this.options_.readServers()
    this.options_.post({type: "origin-answer", id, answer: found})
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

  private send(reports: readonly OriginReport[], mayRetry: boolean): void {
    const byKeeper = new Map<string, OriginReport[]>()
    for (const report of reports) {
      for (const keeper of this.select(report.stream, KEEPERS)) {
        const batch = byKeeper.get(keeper) ?? []
        batch.push(report)
        byKeeper.set(keeper, batch)
      }
    }
    for (const [keeper, batch] of byKeeper) {
      for (let first = 0; first < batch.length; first += MAX_BATCH) {
        void this.sendBatch(keeper, batch.slice(first, first + MAX_BATCH), mayRetry)
      }
    }
  }

  private async sendBatch(
    keeper: string,
    origins: readonly OriginReport[],
    mayRetry: boolean
  ): Promise<void> {
    const answered = await this.sendTo(keeper, "tell", {origins})
    // The box that failed is not selected now.
    if (!answered && mayRetry) this.send(origins, false)
  }

  /** Returns the first answer that knows the origin, or what all of them know. */
  private async collectAnswers(stream: string, service: string): Promise<OriginAnswer> {
    const asked = this.select(stream, ASKED_BOXES)
    const recent = new Set<string>()
    let observedMs = 0
    return new Promise(resolve => {
      let left = asked.length
      const finish = (): void =>
        resolve({origin: undefined, recent: [...recent], observedMs})
      if (left === 0) return finish()
      for (const address of asked) {
        void this.askBox(address, stream, service).then(found => {
          for (const version of found?.recent ?? []) recent.add(version)
          observedMs = Math.max(observedMs, found?.observedMs ?? 0)
          if (found?.origin) resolve(found)
          if (--left === 0) finish()
        })
      }
    })
  }

  /** Returns the addresses of the first boxes for the stream that haven't failed. */
  private select(stream: string, count: number): string[] {
    const now = clockNow()
    const usable = [...this.peers_].filter(([, {failedUntil}]) => failedUntil <= now)
    return selectMembers(
      hashMember(stream),
      usable.map(([address, {hash}]) => [address, hash] as const),
      count
    )
  }

  private async askBox(
    address: string,
    stream: string,
    service: string
  ): Promise<OriginAnswer | undefined> {
    const answered = await this.sendTo(address, "ask", {stream, service})
    const {data} = answer.safeParse(parseJson(answered?.content ?? ""))
    return data && {...data, origin: data.origin}
  }

  /** Returns the answer. Undefined if there is none in time. */
  private async sendTo(
    address: string,
    kind: StreamMessageKind,
    message: object
  ): Promise<PeerAnswer | undefined> {
    const answered = await postMessage(
      this.agent_,
      address,
      kind,
      JSON.stringify(message)
    )
    if (!answered) this.options_.log("stream-peer-silent", {address, kind})
    const peer = this.peers_.get(address)
    if (!peer) return answered
    peer.failures = answered ? 0 : peer.failures + 1
    // Without an answer the box is gone, or cut off from this one; others are told and
    // asked.
    if (!answered) peer.failedUntil = clockNow() + FAILURE_MS
    // A box that is back is named again.
    if (peer.failures >= MAX_FAILURES) this.peers_.delete(address)
    return answered
  }

  private async receive(
    kind: string,
    req: IncomingMessage,
    res: ServerResponse
  ): Promise<void> {
    const body = await readWholeBody(req, MAX_MESSAGE_BYTES)
    const content = Buffer.isBuffer(body) ? parseJson(body.toString()) : undefined
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
    const serving = this.options_.serving()
    const {origins, serviceVersions} = serving
    const now = clockNow()
    return {
      origin: origins.find(data.stream, now),
      recent: serviceVersions.recent(data.service, now),
      observedMs: observedVersionsMs(serving, now)
    }
  }
}

function createPeer(address: string): Peer {
  return {hash: hashMember(address), failedUntil: -Infinity, failures: 0}
}
