/**
 * Samples the memory and the sockets of a box. While it is over one of its limits, it
 * closes new connections unread, so that their callers try another box at once.
 */
import type {Server} from "node:http"
import type {Socket} from "node:net"
import {
  type BoxLimits,
  type BoxShortage,
  type BoxUse,
  findShortage
} from "../core/box-limits.js"
import type {Log} from "./log.js"
import {SocketCounter} from "./socket-counter.js"

const SAMPLE_INTERVAL_MS = 2_000

export interface BoxOverloadOptions {
  /** Undefined if the settings name no limits. Nothing is sampled or closed then. */
  readonly limits: BoxLimits | undefined
  readonly log: Log
  /** Replaces the measurement, for tests. */
  readonly measure?: () => BoxUse
}

export class BoxOverload {
  private shortage_: BoxShortage = "none"
  private use_: BoxUse = {memoryBytes: 0, openSockets: 0}
  private readonly sockets_ = new SocketCounter()
  private timer_: NodeJS.Timeout | undefined
  /** Connections that were closed unread, since the start of the process. */
  refusedCount = 0

  constructor(private readonly options_: BoxOverloadOptions) {}

  /** Whether the settings name limits. */
  get isWatching(): boolean {
    return this.options_.limits !== undefined
  }

  /** Whether the box is over one of its limits. */
  get isOver(): boolean {
    return this.shortage_ !== "none"
  }

  /** The last measurement. Zeros if the settings name no limits. */
  get use(): BoxUse {
    return this.use_
  }

  /** Starts sampling, and watches the connections that callers open. */
  start(callers: Server): void {
    if (!this.options_.limits) return
    this.sockets_.start()
    this.sample()
    this.timer_ = setInterval(() => this.sample(), SAMPLE_INTERVAL_MS)
    this.timer_.unref()
    // Before the HTTP server reads from the connection.
    callers.prependListener("connection", (socket: Socket) => {
      if (!this.isOver) return
      this.refusedCount++
      socket.destroy()
    })
  }

  stop(): void {
    clearInterval(this.timer_)
    this.sockets_.stop()
  }

  /** Measures the use of the box now. */
  sample(): void {
    const {limits, measure = () => this.measure()} = this.options_
    if (!limits) return
    this.use_ = measure()
    const next = findShortage(this.shortage_, this.use_, limits)
    if (next === this.shortage_) return
    const wasOver = this.isOver
    this.shortage_ = next
    if (wasOver === this.isOver) return
    const fields = {
      memoryMb: Math.round(this.use_.memoryBytes / 1_048_576),
      sockets: this.use_.openSockets,
      refused: this.refusedCount
    }
    if (this.isOver) this.options_.log("box-over-limit", {reason: next, ...fields})
    else this.options_.log("box-below-limits", fields)
  }

  private measure(): BoxUse {
    return {memoryBytes: process.memoryUsage.rss(), openSockets: this.sockets_.open}
  }
}
