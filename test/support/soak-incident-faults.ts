/**
 * Faults of each round of the soak, in a series of their own: requests that crash the servers that run them,
 * servers that ask for rest, and machines that are suspended. Their numbers are drawn apart, so that other
 * faults of a seed are those that they were.
 */
import {type CrashMoment, crashingBody} from "../stand-ins/platform-worker.js"
import type {BedBox, PlatformBed} from "./platform-bed.js"
import type {SoakDraws, SoakRecord} from "./soak-record.js"

/** From one to the next, milliseconds. */
const BETWEEN_MS = {least: 900, most: 2_700}

/** A caller sends a crashing request again for so long, and so often, milliseconds. */
const CRASHING_MS = {least: 2_000, most: 6_000}
const AGAIN_MS = {least: 120, most: 500}

/** Servers turn requests away for so long, milliseconds, and ask for so much rest, seconds. */
const SHED_MS = {least: 300, most: 1_500}
const REST_S = {least: 0.8, most: 2}

const SUSPENDED_MS = {least: 400, most: 2_500}

const MOMENTS: readonly CrashMoment[] = ["before-head", "in-stream", "after-end"]

/** What servers say of rest that is no time, or too long. */
const ODD_RESTS = ["-1", "soon", "Thu, 03 Dec 2026 10:00:00 GMT", "99999999999"]

interface Span {
  readonly least: number
  readonly most: number
}

export interface IncidentActions {
  /** Whether the process of the box is stopped already. */
  readonly isHeld: (box: BedBox) => boolean
  readonly isCalm: () => boolean
  /** A key that its organisation still holds; undefined: nobody needs one. */
  readonly heldKey: () => string | undefined
}

export class IncidentFaults {
  private readonly calls_: Promise<void>[] = []
  private names_ = 0

  constructor(
    private readonly bed_: PlatformBed,
    private readonly draws_: SoakDraws,
    private readonly record_: SoakRecord,
    private readonly actions_: IncidentActions
  ) {}

  /** Plays the series until the round is calm; resolves when its callers have their answers. */
  async play(): Promise<void> {
    while (!this.actions_.isCalm()) {
      await pause(this.span(BETWEEN_MS))
      if (this.actions_.isCalm()) break
      this.disturb()
    }
    await Promise.all(this.calls_)
  }

  private disturb(): void {
    const faults: Readonly<Record<string, () => unknown>> = {
      "request-crashes": () => this.calls_.push(this.sendCrashing()),
      "server-asks-rest": () => this.askRest([this.draws_.pick(this.workers())]),
      "engines-ask-rest": () => this.askRest(this.bed_.engines),
      "server-speaks-oddly": () => this.speakOddly(),
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

  /** A caller sends the same request again, each time to some box, though it is refused. */
  private async sendCrashing(): Promise<void> {
    const end = performance.now() + this.span(CRASHING_MS)
    const againMs = this.span(AGAIN_MS)
    const body = crashingBody(`c-${this.names_++}`, this.draws_.pick(MOMENTS))
    const path = this.draws_.pick(["/stream/x", "/once/x", "/unsafe/x"])
    const adapter = path === "/unsafe/x" ? {} : {adapter: "a0"}
    const calls: Promise<void>[] = []
    while (performance.now() < end && !this.actions_.isCalm()) {
      const box = this.draws_.pick(this.bed_.boxes)
      const sentAt = performance.now()
      const key = this.actions_.heldKey()
      const options = {body, ...adapter, ...(key === undefined ? {} : {key})}
      const call = this.bed_.call(box, path, options).then(outcome => {
        this.record_.crashing.push({path, box: box.name, outcome, sentAt})
      })
      calls.push(call)
      await pause(againMs)
    }
    await Promise.all(calls)
  }

  private askRest(workers: PlatformBed["engines"]): void {
    const retryAfter = this.span(REST_S).toFixed(2)
    this.disturbAll(workers, retryAfter)
  }

  private speakOddly(): void {
    this.disturbAll([this.draws_.pick(this.workers())], this.draws_.pick(ODD_RESTS))
  }

  private disturbAll(workers: PlatformBed["engines"], retryAfter: string): void {
    const disturbed = [...workers]
    for (const worker of disturbed) worker.faults = {shedding: true, retryAfter}
    setTimeout(() => {
      for (const worker of disturbed) worker.faults = {}
    }, this.span(SHED_MS))
  }

  private suspend(box: BedBox | undefined): void {
    const ms = this.span(SUSPENDED_MS)
    if (!box || box.child.ended || this.actions_.isHeld(box)) return
    this.record_.excuse(box.name)
    void this.bed_.suspend(box, ms).then(() => this.record_.excuse(box.name))
  }

  private span({least, most}: Span): number {
    return least + (most - least) * this.draws_.draw()
  }
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}
