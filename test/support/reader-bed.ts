/**
 * A box and its backend servers in one process, for tests of callers that read slowly. The
 * box relays over real connections; nothing but its list of servers is given to it.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse
} from "node:http"
import {type AddressInfo, connect, type Socket} from "node:net"
import {platformDialect} from "../../platform/dialect.js"
import {BoxOverload} from "../../src/adapters/box-overload.js"
import {Carrier} from "../../src/adapters/carrier.js"
import {CARRY_HEADER, packCarryFacts} from "../../src/adapters/carry-headers.js"
import {startLoop} from "../../src/adapters/loop.js"
import {RoutedRelay} from "../../src/adapters/routed-relay.js"
import {SurplusAnswers} from "../../src/adapters/surplus-answers.js"
import {UnreadAnswers} from "../../src/adapters/unread-answers.js"
import type {BoxLimits, BoxUse} from "../../src/core/box-limits.js"
import {createBoxServing} from "../../src/core/box-state.js"
import {stepRouted} from "../../src/core/serving.js"
import type {RoutedState} from "../../src/core/serving-fleet.js"
import type {RoutedEffect, RoutedEvent} from "../../src/core/serving-events.js"
import {ROUTE} from "./box-subject.js"

const TICK_MS = 20

const route = {...ROUTE, timeoutMs: 60_000, targetMs: 300, maxAttempts: 3}

const CONFIG = {
  version: 1,
  routes: [
    {
      ...route,
      name: "stream",
      pathPrefix: "/stream/",
      kind: "streaming",
      resumable: true
    },
    {...route, name: "once", pathPrefix: "/once/", kind: "streaming", maxAttempts: 1},
    {...route, name: "plain", pathPrefix: "/plain/"}
  ] as const,
  services: [{name: "s", maxConnections: 64}],
  organisations: [],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 16_384,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000
  }
}

/** Answers the requests of a backend server. `server` is its number, from 0. */
export type Answer = (req: IncomingMessage, res: ServerResponse, server: number) => void

export interface ReaderBedOptions {
  readonly answer: Answer
  readonly servers?: number
  readonly boundBytes?: number
  readonly limits?: BoxLimits
  readonly measure?: () => BoxUse
}

export class ReaderBed {
  readonly logged: {event: string; fields: Readonly<Record<string, unknown>>}[] = []
  readonly unread: UnreadAnswers
  readonly overload: BoxOverload
  readonly relay: RoutedRelay
  private readonly carrier_: Carrier
  private readonly servers_: Server[] = []
  private readonly loop_
  private isStopped_ = false
  address = ""
  /** Where the box takes requests of other boxes. */
  carryAddress = ""

  private constructor(options: ReaderBedOptions) {
    const log = (event: string, fields: Readonly<Record<string, unknown>> = {}): void =>
      void this.logged.push({event, fields})
    const serving = createBoxServing({
      dataCentre: "a",
      retry: {ratio: 1, slack: 100, windowMs: 10_000},
      handoverMs: 3_200,
      random: () => 0
    })
    this.unread = new UnreadAnswers({boundBytes: options.boundBytes ?? 16 << 20, log})
    const {limits, measure} = options
    this.overload = new BoxOverload({limits, log, ...(measure ? {measure} : {})})
    this.loop_ = startLoop<RoutedState, RoutedEvent, RoutedEffect>({
      initial: {serving, fleet: undefined},
      step: stepRouted,
      perform: effect => {
        if (effect.type === "note") log(effect.event, effect.fields)
        else this.relay.perform(effect as never)
      },
      makeTick: () => {
        // The list of servers is always fresh.
        this.loop_.post({type: "news", at: performance.now(), read: true})
        return {type: "tick", mayOrder: false}
      },
      // Ticks would keep the process running.
      tickMs: () => (this.isStopped_ ? Infinity : TICK_MS),
      now: () => performance.now()
    })
    const common = {
      dialect: platformDialect,
      post: this.loop_.post,
      postFirst: this.loop_.postFirst,
      serving: () => serving,
      log,
      isStopping: () => false,
      unread: this.unread,
      surplus: new SurplusAnswers(log)
    }
    this.relay = new RoutedRelay({...common, box: "box", random: () => 0})
    this.carrier_ = new Carrier({...common, pools: this.relay.pools})
  }

  static async start(options: ReaderBedOptions): Promise<ReaderBed> {
    const bed = new ReaderBed(options)
    const records = []
    for (let i = 0; i < (options.servers ?? 1); i++) {
      const address = await bed.listen((req, res) => {
        res.setHeader("x-request-id", String(req.headers["x-request-id"]))
        res.setHeader("x-response-signature", "s")
        options.answer(req, res, i)
      })
      const id = `server-${i}`
      records.push({
        id,
        server: id,
        revision: 0,
        service: "s",
        address,
        dataCentre: "a",
        leaving: false,
        coldRemainingMs: 0,
        models: []
      })
    }
    const {post} = bed.loop_
    post({type: "config", config: CONFIG})
    const reading = {source: "store", readAt: performance.now()} as const
    post({type: "backends", records, reading})
    post({type: "news", at: performance.now(), read: true})
    bed.address = await bed.listen((req, res) => void bed.relay.handleRequest(req, res))
    bed.overload.start(bed.servers_.at(-1) as Server)
    bed.carryAddress = await bed.listen((req, res) => void bed.carrier_.handle(req, res))
    return bed
  }

  /** Sends a request over a connection of its own. */
  call(
    path: string,
    id: string,
    headers: Readonly<Record<string, string>> = {}
  ): SlowReader {
    return new SlowReader(this.address, path, {"x-request-id": id, ...headers})
  }

  /** Sends a request as another box does that does not reach the first server. */
  carry(path: string, id: string): SlowReader {
    const facts = packCarryFacts({
      server: "server-0",
      asker: "other",
      deadlineMs: 60_000,
      priority: 1,
      isAllowed: false
    })
    return new SlowReader(this.carryAddress, path, {
      "x-request-id": id,
      [CARRY_HEADER]: facts
    })
  }

  countOf(event: string): number {
    return this.logged.filter(line => line.event === event).length
  }

  stop(): void {
    this.overload.stop()
    for (const server of this.servers_) {
      server.closeAllConnections()
      server.close()
    }
    void this.relay.pools.close()
    this.isStopped_ = true
  }

  private async listen(
    handle: (req: IncomingMessage, res: ServerResponse) => void
  ): Promise<string> {
    const server = createServer(handle)
    this.servers_.push(server)
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()))
    return `127.0.0.1:${(server.address() as AddressInfo).port}`
  }
}

const SLOW_READS_PER_S = 4

/** A caller that reads when it is told to. It checks the end of chunked answers itself. */
export class SlowReader {
  readonly parts: Buffer[] = []
  hasEnded = false
  private readonly socket_: Socket

  constructor(address: string, path: string, headers: Readonly<Record<string, string>>) {
    const [host = "", port] = address.split(":")
    const lines = [`GET ${path} HTTP/1.1`, "host: h", "connection: close"]
    for (const [name, value] of Object.entries(headers)) lines.push(`${name}: ${value}`)
    this.socket_ = connect(Number(port), host, () =>
      this.socket_.write(`${lines.join("\r\n")}\r\n\r\n`)
    )
    this.socket_.on("error", () => undefined)
    this.socket_.on("close", () => (this.hasEnded = true))
  }

  /** Reads from now on. */
  read(): this {
    this.socket_.on("data", (part: Buffer) => void this.parts.push(part))
    this.socket_.resume()
    return this
  }

  /** Reads this many bytes a second from now on. Stops after `forMs`. */
  async readSlowly(bytesPerS: number, forMs: number): Promise<void> {
    let allowed = 0
    const take = (part: Buffer): void => {
      this.parts.push(part)
      allowed -= part.length
      if (allowed <= 0) this.socket_.pause()
    }
    this.socket_.pause()
    this.socket_.on("data", take)
    const timer = setInterval(() => {
      allowed += bytesPerS / SLOW_READS_PER_S
      if (allowed > 0) this.socket_.resume()
    }, 1_000 / SLOW_READS_PER_S)
    await new Promise(resolve => setTimeout(resolve, forMs))
    clearInterval(timer)
    this.socket_.off("data", take)
  }

  /** Waits until the connection has ended. */
  async end(): Promise<this> {
    if (!this.hasEnded) {
      await new Promise(resolve => this.socket_.once("close", resolve))
    }
    return this
  }

  hangUp(): void {
    this.socket_.destroy()
  }

  get head(): string {
    const bytes = Buffer.concat(this.parts)
    return bytes.subarray(0, bytes.indexOf("\r\n\r\n")).toString("latin1")
  }

  get status(): number {
    return Number(this.head.split(" ")[1] ?? 0)
  }

  /** The body, and whether its length or its last chunk shows that it is complete. */
  get body(): {readonly bytes: Buffer; readonly isComplete: boolean} {
    const bytes = Buffer.concat(this.parts)
    const rest = bytes.subarray(bytes.indexOf("\r\n\r\n") + 4)
    const length = /content-length: (\d+)/i.exec(this.head)?.[1]
    if (length === undefined) return unchunk(rest)
    return {bytes: rest, isComplete: rest.length === Number(length)}
  }
}

function unchunk(bytes: Buffer): {readonly bytes: Buffer; readonly isComplete: boolean} {
  const parts: Buffer[] = []
  let at = 0
  for (;;) {
    const lineEnd = bytes.indexOf("\r\n", at)
    if (lineEnd < 0) break
    const size = parseInt(bytes.subarray(at, lineEnd).toString("latin1"), 16)
    if (size === 0) return {bytes: Buffer.concat(parts), isComplete: true}
    parts.push(bytes.subarray(lineEnd + 2, lineEnd + 2 + size))
    at = lineEnd + 2 + size + 2
  }
  return {bytes: Buffer.concat(parts), isComplete: false}
}
