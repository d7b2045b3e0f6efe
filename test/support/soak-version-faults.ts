/**
 * Faults of the soak around versions: several in a row, engines that queue, delayed
 * orders, silent connections.
 */
import type {WorkerFaults} from "../stand-ins/platform-worker.js"
import type {PlatformBed} from "./platform-bed.js"
import type {SoakDraws} from "./soak-record.js"

/** Count of adapters that get new versions: those with the most requests. */
export const VERSIONED_ADAPTER_COUNT = 4

/** Time that requests wait at an engine that queues. */
const QUEUE_TIME_MS = {least: 1_000, most: 3_500}

/** Time for which an engine queues or delays orders. */
const ENGINE_FAULT_MS = {least: 1_500, most: 6_000}

/** Delay of orders to an engine, or of its answers. */
const ORDER_DELAY_MS = {least: 300, most: 8_000}

/** Short and long gaps between consecutive versions. */
const SHORT_GAP_MS = {least: 50, most: 600}
const LONG_GAP_MS = {least: 500, most: 3_000}

/** Delay from the publication of versions until engines start to queue. */
const QUEUE_DELAY_MS = {least: 300, most: 3_500}

/**
 * The leader's orders don't take effect, and engines queue, for longer than an old
 * version may run.
 */
const HELD_BACK_MS = {least: 5_000, most: 7_000}
const HELD_BACK_QUEUE_MS = {least: 2_500, most: 3_500}
const HELD_BACK_QUEUE_DELAY_MS = {least: 0, most: 2_200}

interface Range {
  readonly least: number
  readonly most: number
}

export class VersionFaults {
  constructor(
    private readonly bed_: PlatformBed,
    private readonly draws_: SoakDraws,
    private readonly publishVersion_: (adapter: string) => void,
    private readonly haveFaultsEnded_: () => boolean
  ) {}

  all(): Readonly<Record<string, () => unknown>> {
    return {
      "engine-queues": () =>
        this.disturbRandomEngine({queueMs: this.drawFrom(QUEUE_TIME_MS)}),
      "engines-queue": () => this.queueAll(),
      "versions-close": () => this.publishSeries(2 + this.drawBelow(3), SHORT_GAP_MS),
      "versions-apart": () => this.publishSeries(2 + this.drawBelow(2), LONG_GAP_MS),
      "versions-then-queue": () => this.publishThenQueue(),
      "versions-held-back": () => this.holdBackVersions(),
      "orders-late": () =>
        this.disturbRandomEngine({orderDelayMs: this.drawFrom(ORDER_DELAY_MS)}),
      "orders-answered-late": () =>
        this.disturbRandomEngine({orderAnswerMs: this.drawFrom(ORDER_DELAY_MS)}),
      "orders-unanswered": () => this.disturbRandomEngine(this.delayUnansweredOrders()),
      "silent-worker-links": () => this.draws_.pick(this.bed_.workerProxies).silence(),
      "silent-store-links": () => this.draws_.pick(this.bed_.boxes).storeProxy?.silence(),
      "silent-links": () => this.silenceAll()
    }
  }

  /**
   * Orders that are never answered but are executed, after orders that were sent later.
   */
  private delayUnansweredOrders(): WorkerFaults {
    return {unansweredOrders: Infinity, orderDelayMs: this.drawFrom(ORDER_DELAY_MS)}
  }

  private publishThenQueue(): void {
    this.publishSeries(1 + this.drawBelow(2), SHORT_GAP_MS)
    this.schedule(this.drawFrom(QUEUE_DELAY_MS), () => this.queueAll())
  }

  /**
   * For a while no engine replaces the weights that it holds, and all engines queue
   * requests for the old versions.
   */
  private holdBackVersions(): void {
    const forMs = this.drawFrom(HELD_BACK_MS)
    this.disturbAll({unansweredOrders: Infinity, orderDelayMs: forMs}, forMs)
    this.publishSeries(1 + this.drawBelow(2), SHORT_GAP_MS)
    const queue = {queueMs: this.drawFrom(HELD_BACK_QUEUE_MS)}
    this.schedule(this.drawFrom(HELD_BACK_QUEUE_DELAY_MS), () =>
      this.disturbAll(queue, forMs)
    )
  }

  /** Makes all engines queue for a while. */
  queueAll(): void {
    this.disturbAll(
      {queueMs: this.drawFrom(QUEUE_TIME_MS)},
      this.drawFrom(ENGINE_FAULT_MS)
    )
  }

  /** Publishes `count` versions of each of one or more adapters. */
  private publishSeries(count: number, gap: Range): void {
    const first = this.drawBelow(VERSIONED_ADAPTER_COUNT)
    const adapters = 1 + this.drawBelow(VERSIONED_ADAPTER_COUNT)
    let at = 0
    for (let i = 0; i < count; i++) {
      for (let j = 0; j < adapters; j++) {
        const adapter = `a${(first + j) % VERSIONED_ADAPTER_COUNT}`
        this.schedule(at, () => this.publishVersion_(adapter))
      }
      at += this.drawFrom(gap)
    }
  }

  private disturbRandomEngine(faults: WorkerFaults): void {
    this.disturb(
      this.draws_.pick(this.bed_.engines),
      faults,
      this.drawFrom(ENGINE_FAULT_MS)
    )
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
      const remaining = {...engine.faults}
      for (const name of Object.keys(faults)) delete remaining[name as keyof WorkerFaults]
      engine.faults = remaining
    }, forMs)
  }

  private silenceAll(): void {
    for (const proxy of this.bed_.workerProxies) proxy.silence()
    for (const {storeProxy} of this.bed_.boxes) storeProxy?.silence()
  }

  private schedule(afterMs: number, action: () => void): void {
    setTimeout(() => {
      if (!this.haveFaultsEnded_()) action()
    }, afterMs)
  }

  private drawFrom({least, most}: Range): number {
    return least + (most - least) * this.draws_.draw()
  }

  private drawBelow(count: number): number {
    return Math.floor(count * this.draws_.draw())
  }
}
