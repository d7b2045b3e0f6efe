/** Faults of the soak around versions: several in a row, engines that queue, late orders, silent connections. */
import type {WorkerFaults} from "../stand-ins/platform-worker.js"
import type {PlatformBed} from "./platform-bed.js"
import type {SoakDraws} from "./soak-record.js"

/** Adapters of which new versions are named: those that are asked for most. */
export const NAMED_ADAPTERS = 4

/** So long requests wait at an engine that queues, milliseconds. */
const QUEUE_MS = {least: 1_000, most: 3_500}

/** So long an engine queues or is late with orders, milliseconds. */
const ENGINE_FAULT_MS = {least: 1_500, most: 6_000}

/** So late orders reach an engine or are answered, milliseconds. */
const ORDER_MS = {least: 300, most: 8_000}

/** Versions follow each other so closely, or so far apart, milliseconds. */
const CLOSE_MS = {least: 50, most: 600}
const APART_MS = {least: 500, most: 3_000}

/** After the naming of versions engines begin to queue, milliseconds. */
const BEFORE_QUEUE_MS = {least: 300, most: 3_500}

/** Engines are out of the leader's reach and queue for longer than an old version may run, milliseconds. */
const HELD_BACK_MS = {least: 5_000, most: 7_000}
const HELD_BACK_QUEUE_MS = {least: 2_500, most: 3_500}
const HELD_BACK_BEFORE_MS = {least: 0, most: 2_200}

interface Span {
  readonly least: number
  readonly most: number
}

export class VersionFaults {
  constructor(
    private readonly bed_: PlatformBed,
    private readonly draws_: SoakDraws,
    private readonly name_: (adapter: string) => void,
    private readonly isCalm_: () => boolean
  ) {}

  all(): Readonly<Record<string, () => unknown>> {
    return {
      "engine-queues": () => this.disturbOne({queueMs: this.span(QUEUE_MS)}),
      "engines-queue": () => this.queueAll(),
      "versions-close": () => this.nameSeries(2 + this.below(3), CLOSE_MS),
      "versions-apart": () => this.nameSeries(2 + this.below(2), APART_MS),
      "versions-then-queue": () => this.nameThenQueue(),
      "versions-held-back": () => this.holdBack(),
      "orders-late": () => this.disturbOne({orderDelayMs: this.span(ORDER_MS)}),
      "orders-answered-late": () => this.disturbOne({orderAnswerMs: this.span(ORDER_MS)}),
      "orders-unanswered": () => this.disturbOne(this.lateOrders()),
      "silent-worker-links": () => this.draws_.pick(this.bed_.workerProxies).silence(),
      "silent-store-links": () => this.draws_.pick(this.bed_.boxes).storeProxy?.silence(),
      "silent-links": () => this.silenceAll()
    }
  }

  /** They are carried out all the same, later than ones that come after. */
  private lateOrders(): WorkerFaults {
    return {unansweredOrders: Infinity, orderDelayMs: this.span(ORDER_MS)}
  }

  private nameThenQueue(): void {
    this.nameSeries(1 + this.below(2), CLOSE_MS)
    this.later(this.span(BEFORE_QUEUE_MS), () => this.queueAll())
  }

  /** No engine replaces what it holds for a while, and all queue what came for the old versions. */
  private holdBack(): void {
    const forMs = this.span(HELD_BACK_MS)
    this.disturbAll({unansweredOrders: Infinity, orderDelayMs: forMs}, forMs)
    this.nameSeries(1 + this.below(2), CLOSE_MS)
    const queue = {queueMs: this.span(HELD_BACK_QUEUE_MS)}
    this.later(this.span(HELD_BACK_BEFORE_MS), () => this.disturbAll(queue, forMs))
  }

  /** All engines queue for a while. */
  queueAll(): void {
    this.disturbAll({queueMs: this.span(QUEUE_MS)}, this.span(ENGINE_FAULT_MS))
  }

  /** Names so many versions of each of one or more adapters. */
  private nameSeries(count: number, gap: Span): void {
    const first = this.below(NAMED_ADAPTERS)
    const adapters = 1 + this.below(NAMED_ADAPTERS)
    let at = 0
    for (let i = 0; i < count; i++) {
      for (let j = 0; j < adapters; j++) {
        const adapter = `a${(first + j) % NAMED_ADAPTERS}`
        this.later(at, () => this.name_(adapter))
      }
      at += this.span(gap)
    }
  }

  private disturbOne(faults: WorkerFaults): void {
    this.disturb(this.draws_.pick(this.bed_.engines), faults, this.span(ENGINE_FAULT_MS))
  }

  private disturbAll(faults: WorkerFaults, forMs: number): void {
    for (const engine of this.bed_.engines) this.disturb(engine, faults, forMs)
  }

  private disturb(
    engine: PlatformBed["engines"][number],
    faults: WorkerFaults,
    forMs: number
  ): void {
    engine.faults = {...engine.faults, ...faults}
    setTimeout(() => {
      const left = {...engine.faults}
      for (const name of Object.keys(faults)) delete left[name as keyof WorkerFaults]
      engine.faults = left
    }, forMs)
  }

  private silenceAll(): void {
    for (const proxy of this.bed_.workerProxies) proxy.silence()
    for (const {storeProxy} of this.bed_.boxes) storeProxy?.silence()
  }

  private later(afterMs: number, action: () => void): void {
    setTimeout(() => {
      if (!this.isCalm_()) action()
    }, afterMs)
  }

  private span({least, most}: Span): number {
    return least + (most - least) * this.draws_.draw()
  }

  private below(count: number): number {
    return Math.floor(count * this.draws_.draw())
  }
}
