/**
 * Incidents of each round of the soak: requests that crash the servers that run them,
 * servers that request back-off, and machines that are suspended. They are drawn from a
 * random series of their own, so that the other faults of a seed stay the same.
 */
import {type CrashMoment, crashingBody} from "../stand-ins/platform-worker.js"
import type {BedBox, PlatformBed} from "./platform-bed.js"
import type {SoakDraws, SoakRecord} from "./soak-record.js"

/** Interval between incidents. */
const INTERVAL_MS = {least: 900, most: 2_700}

/**
 * Time for which a caller retries a crashing request, and the interval of its retries.
 */
const RETRYING_MS = {least: 2_000, most: 6_000}
const RETRY_INTERVAL_MS = {least: 120, most: 500}

/** Time for which servers reject requests, and the back-off that they request. */
const SHED_MS = {least: 300, most: 1_500}
const BACKOFF_S = {least: 0.8, most: 2}

const SUSPENDED_MS = {least: 400, most: 2_500}

const CRASH_MOMENTS: readonly CrashMoment[] = ["before-head", "in-stream", "after-end"]

/** Back-off values that are invalid or too long. */
const INVALID_BACKOFFS = ["-1", "soon", "Thu, 03 Dec 2026 10:00:00 GMT", "99999999999"]

interface Range {
  readonly least: number
  readonly most: number
}

export interface IncidentActions {
  /** Whether the process of the box is already stopped. */
  readonly isStopped: (box: BedBox) => boolean
  readonly haveFaultsEnded: () => boolean
  /** A key that isn't revoked. Undefined if callers need no keys. */
  readonly validKey: () => string | undefined
}

export class IncidentFaults {
  private readonly calls_: Promise<void>[] = []
  private nextCrashId_ = 0

  constructor(
    private readonly bed_: PlatformBed,
    private readonly draws_: SoakDraws,
    private readonly record_: SoakRecord,
    private readonly actions_: IncidentActions
  ) {}

  /**
   * Injects incidents until faults have ended. Resolves when all callers have a response.
   */
  async play(): Promise<void> {
    while (!this.actions_.haveFaultsEnded()) {
      await pause(this.drawFrom(INTERVAL_MS))
      if (this.actions_.haveFaultsEnded()) break
      this.injectNext()
    }
    await Promise.all(this.calls_)
  }

  private injectNext(): void {
    const faults: Readonly<Record<string, () => unknown>> = {
      "request-crashes": () => this.calls_.push(this.sendCrashing()),
      "server-asks-rest": () => this.requestBackoff([this.draws_.pick(this.workers())]),
      "engines-ask-rest": () => this.requestBackoff(this.bed_.engines),
      "server-speaks-oddly": () => this.sendInvalidBackoff(),
      suspend: () => this.suspend(this.draws_.pick(this.bed_.boxes)),
      "suspend-leader": () => this.suspend(this.bed_.leader())
    }
    const name = this.draws_.pick(Object.keys(faults))
    this.record_.faults.push({name, at: performance.now()})
    faults[name]?.()
  }

  private workers(): PlatformBed["engines"] {
    return [...this.bed_.engines, ...this.bed_.plain]
  }

  /**
   * Sends the same request repeatedly, each time to a random box, even if it is rejected.
   */
  private async sendCrashing(): Promise<void> {
    const end = performance.now() + this.drawFrom(RETRYING_MS)
    const retryIntervalMs = this.drawFrom(RETRY_INTERVAL_MS)
    const body = crashingBody(`c-${this.nextCrashId_++}`, this.draws_.pick(CRASH_MOMENTS))
    const path = this.draws_.pick(["/stream/x", "/once/x", "/unsafe/x"])
    const adapter = path === "/unsafe/x" ? {} : {adapter: "a0"}
    const calls: Promise<void>[] = []
    while (performance.now() < end && !this.actions_.haveFaultsEnded()) {
      const box = this.draws_.pick(this.bed_.boxes)
      const sentAt = performance.now()
      const key = this.actions_.validKey()
      const options = {body, ...adapter, ...(key === undefined ? {} : {key})}
      const call = this.bed_.call(box, path, options).then(outcome => {
        this.record_.crashing.push({path, box: box.name, outcome, sentAt})
      })
      calls.push(call)
      await pause(retryIntervalMs)
    }
    await Promise.all(calls)
  }

  private requestBackoff(workers: PlatformBed["engines"]): void {
    const retryAfter = this.drawFrom(BACKOFF_S).toFixed(2)
    this.shedFor(workers, retryAfter)
  }

  private sendInvalidBackoff(): void {
    this.shedFor([this.draws_.pick(this.workers())], this.draws_.pick(INVALID_BACKOFFS))
  }

  private shedFor(workers: PlatformBed["engines"], retryAfter: string): void {
    const affected = [...workers]
    for (const worker of affected) worker.faults = {shedding: true, retryAfter}
    setTimeout(() => {
      for (const worker of affected) worker.faults = {}
    }, this.drawFrom(SHED_MS))
  }

  private suspend(box: BedBox | undefined): void {
    const ms = this.drawFrom(SUSPENDED_MS)
    if (!box || box.child.ended || this.actions_.isStopped(box)) return
    this.record_.exempt(box.name)
    void this.bed_.suspend(box, ms).then(() => this.record_.exempt(box.name))
  }

  private drawFrom({least, most}: Range): number {
    return least + (most - least) * this.draws_.draw()
  }
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}
