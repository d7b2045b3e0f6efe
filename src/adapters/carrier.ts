/**
 * Sends requests to backend servers on behalf of boxes that do not reach them. The other
 * box decides everything about the request; this one only passes bytes on, and reports
 * truthfully whether it sent them.
 */
import type {IncomingMessage, ServerResponse} from "node:http"
import {
  type CarriedSend,
  type CarryObstacle,
  findCarryObstacle
} from "../core/carry-checks.js"
import type {CarriedEnd} from "../core/box-crashes.js"
import type {BoxServing} from "../core/box-state.js"
import {serverConnections} from "../core/server-connections.js"
import {hasNotice} from "../core/server-notices.js"
import type {ServingEvent} from "../core/serving-events.js"
import type {Dialect} from "../ports/fleet-ports.js"
import type {BackendRecord} from "../types/fleet.js"
import {fingerprintPart} from "../utils/part-fingerprint.js"
import {AnswerFlow} from "./answer-flow.js"
import {CONNECT_PATIENCE_MS, type BackendPools} from "./backend-pools.js"
import {
  BROKEN_HEADER,
  CARRY_HEADER,
  type CarryFacts,
  FRAMING_HEADER,
  NOT_CARRIED_HEADER,
  PROBE_HEADER,
  stripOwn,
  unpackCarryFacts
} from "./carry-headers.js"
import {clockNow} from "./clock.js"
import type {Log} from "./log.js"
import {mapHeaders, readFraming, stripHop} from "./relay-exchange.js"
import {readWholeBody} from "./request-body.js"
import {probeServer} from "./server-probe.js"
import type {SurplusAnswers} from "./surplus-answers.js"
import type {UnreadAnswers} from "./unread-answers.js"
import {startAnswerTimer} from "../utils/timers.js"

/** Requests of other boxes in progress; more are left to other boxes. */
const MAX_CARRIED = 100

/** Why a request was not sent. */
type NotCarried = CarryObstacle | "busy" | "stopping" | "not-sent" | "unreadable"

export interface CarrierOptions {
  readonly dialect: Dialect
  readonly pools: BackendPools
  readonly post: (event: ServingEvent) => void
  readonly serving: () => BoxServing
  readonly isStopping: () => boolean
  readonly log: Log
  readonly unread: UnreadAnswers
  readonly surplus: SurplusAnswers
}

export class Carrier {
  private inProgress_ = 0
  private sends_ = 0

  constructor(private readonly options_: CarrierOptions) {}

  get openRequests(): number {
    return this.inProgress_
  }

  async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
    const probed = req.headers[PROBE_HEADER]
    if (typeof probed === "string") return this.probe(probed, res)
    const text = req.headers[CARRY_HEADER]
    const facts = typeof text === "string" ? unpackCarryFacts(text) : undefined
    if (!facts) return refuse(res, "unreadable")
    const receivedAt = clockNow()
    const {table} = this.options_.serving()
    const body = await readWholeBody(req, table?.config.limits.maxBodyBytes ?? Infinity)
    if (body === "gone") return
    if (body === "too-large") return refuse(res, "unreadable")
    this.send(req, res, facts, body, receivedAt)
  }

  private send(
    req: IncomingMessage,
    res: ServerResponse,
    facts: CarryFacts,
    body: Buffer | null,
    receivedAt: number
  ): void {
    const {pools, serving, post, dialect, surplus} = this.options_
    const backend = serving().backends.known.get(facts.server)?.record
    const {requestId, parts = []} = dialect.readRequest(req.headers)
    const {fingerprint} = facts
    const fingerprints = [
      ...(fingerprint === undefined ? [] : [fingerprint]),
      ...parts.map(fingerprintPart)
    ]
    const findObstacle = (): NotCarried | undefined =>
      this.findObstacle({...facts, fingerprints})
    const obstacle = findObstacle()
    if (obstacle || !backend) return this.refuse(req, res, facts, obstacle ?? "unusable")
    let abort: (() => void) | undefined
    let hasStarted = false
    let hasEnded = false
    let isRefused = false
    let sentAt = 0
    const id = String(this.sends_++)
    this.inProgress_++
    const end = (how: CarriedEnd): boolean => {
      if (hasEnded) return false
      hasEnded = true
      timer.clear()
      this.inProgress_--
      if (hasStarted) post({type: "carried-ended", id, end: how})
      return true
    }
    const refuseOnce = (reason: NotCarried): void => {
      if (end("refused")) this.refuse(req, res, facts, reason)
    }
    const timer = startAnswerTimer(CONNECT_PATIENCE_MS, () => {
      if (hasStarted) return
      post({type: "connect-failed", backend: backend.id})
      refuseOnce("not-sent")
    })
    res.on("close", () => {
      if (end("closed")) abort?.()
    })
    const heldMs = clockNow() - receivedAt
    const {method = "GET", url: path = "/"} = req
    const headers = this.writeHeaders(req, facts, backend, heldMs)
    const connections = serverConnections(serving(), backend.service)
    const flow = new AnswerFlow(requestId, this.options_.unread, res, req.socket)
    pools.send(
      backend.id,
      backend.address,
      connections,
      {method, path, headers, body, requestId},
      {
        passedOver: () => surplus.logPassedOver(requestId, backend.id),
        started: abortSend => {
          if (hasEnded) return false
          const late = findObstacle()
          if (late) {
            refuseOnce(late)
            return false
          }
          abort = abortSend
          hasStarted = true
          sentAt = clockNow()
          post({type: "carried", id, backend: backend.id, fingerprints})
          this.options_.log("carried", {
            request: requestId,
            asker: facts.asker,
            backend: backend.id
          })
          return true
        },
        head: (status, raw) => {
          if (hasEnded) return
          post({type: "server-heard", backend: backend.id})
          const {
            notice,
            notRun,
            requestId: answered
          } = dialect.readAnswer(status, mapHeaders(raw))
          if (answered !== requestId) {
            const sentMs = clockNow() - sentAt
            surplus.logMismatch({
              request: requestId,
              backend: backend.id,
              answered,
              sentMs
            })
            if (end("broken")) reportBroken(req, res)
            abort?.()
            return
          }
          isRefused = notRun !== undefined
          if (notice && hasNotice(notice)) {
            post({type: "server-says", backend: backend.id, notice})
          }
          const headers = stripOwn(stripHop(raw))
          res.writeHead(status, [...headers, FRAMING_HEADER, readFraming(raw)])
          res.flushHeaders()
        },
        data: (chunk, reading) => {
          if (!hasEnded) flow.handleWrite(res.write(chunk), reading)
        },
        done: () => {
          if (end(isRefused ? "refused" : "answered")) res.end()
        },
        failed: () => {
          if (hasStarted) {
            if (end("broken")) reportBroken(req, res)
            return
          }
          post({type: "connect-failed", backend: backend.id})
          refuseOnce("not-sent")
        }
      }
    )
  }

  private writeHeaders(
    req: IncomingMessage,
    facts: CarryFacts,
    {server}: BackendRecord,
    heldMs: number
  ): string[] {
    const {deadlineMs, priority, expectedVersion, lastEventId, organisation} = facts
    return this.options_.dialect.writeRequest(stripOwn(stripHop(req.rawHeaders)), {
      server,
      deadlineMs: Math.max(1, Math.round(deadlineMs - heldMs)),
      priority,
      expectedVersion,
      lastEventId,
      organisation
    })
  }

  private findObstacle(carried: CarriedSend): NotCarried | undefined {
    if (this.options_.isStopping()) return "stopping"
    if (this.inProgress_ > MAX_CARRIED) return "busy"
    return findCarryObstacle(this.options_.serving(), carried, clockNow())
  }

  private refuse(
    req: IncomingMessage,
    res: ServerResponse,
    {asker, server}: CarryFacts,
    reason: NotCarried
  ): void {
    const request = this.options_.dialect.readRequest(req.headers).requestId
    this.options_.log("not-carried", {request, asker, backend: server, reason})
    refuse(res, reason)
  }

  /** Answers whether the server accepts a connection: `up`, `refused` or `silent`. */
  private async probe(server: string, res: ServerResponse): Promise<void> {
    const record = this.options_.serving().backends.known.get(server)?.record
    const accepted = record ? await probeServer(record.address) : undefined
    const text = accepted === undefined ? "silent" : accepted ? "up" : "refused"
    res.writeHead(200, {"content-length": String(text.length)})
    res.end(text)
  }
}

/**
 * Reports that the server broke the connection: the request may have run. A partial
 * answer must not look complete.
 */
function reportBroken(req: IncomingMessage, res: ServerResponse): void {
  if (res.headersSent) return void req.socket.destroy()
  res.writeHead(502, {[BROKEN_HEADER]: "1", "content-length": "0"})
  res.end()
}

function refuse(res: ServerResponse, reason: NotCarried): void {
  if (res.headersSent || res.destroyed) return
  res.writeHead(503, {[NOT_CARRIED_HEADER]: reason, "content-length": "0"})
  res.end()
}
