/**
 * What may make a box promise wrongly that a request did not run, in a round of the soak:
 * workers in processes of their own that are stopped by a signal and go on, or replaced by
 * others at their addresses, boxes without a processor for a while, and configurations that
 * change time limits, beside repeated answers. Drawn from a random series of their own, so that
 * the other faults of a seed stay the same.
 */
import type {ProcessWorker} from "../stand-ins/process-worker.js"
import type {BedBox, PlatformBed} from "./platform-bed.js"
import {PromiseCallers, type PromiseCall} from "./promise-callers.js"
import type {SoakDraws, SoakRecord} from "./soak-record.js"

/** Time from the end of one series to the next one, and between its parts. */
const GAP_MS = {least: 600, most: 2_000}
const PART_GAP_MS = {least: 50, most: 600}

/** How long workers are stopped. */
const STOP_MS = {least: 500, most: 2_400}

/** How long a box gets no processor. Its clock goes on. */
const STARVED_MS = {least: 100, most: 900}

/** Time for which answers are repeated, and for which workers refuse, and serve. */
const REPEATING_MS = {least: 800, most: 2_500}
const REFUSING_MS = {least: 40, most: 250}
const SERVING_MS = {least: 60, most: 400}
const REPEATED_SHARES = [0.2, 1]

/** Time limits that configurations change. */
const IDLE_TIMEOUTS_MS = [1_000, 5_000, 15_000]
const TIMEOUTS_MS = [800, 2_000, 4_000]

const MAX_PARTS = 4

/** Calls of requests that must not be repeated. */
const CALL_INTERVAL_MS = 25
const DEADLINES_MS = [1_000, 4_000]
const ADAPTERS = 10

/** Time after all faults in which a worker runs what was left in its system or its queue. */
const SETTLE_MS = 3_000

interface Range {
  readonly least: number
  readonly most: number
}

export interface PromiseFaultOptions {
  /** Whether workers repeat answers, too. */
  readonly repeats: boolean
  readonly restart: (box: BedBox, signal: NodeJS.Signals) => Promise<void>
  readonly haveFaultsEnded: () => boolean
  readonly pickKey: () => string | undefined
}

export class PromiseFaults {
  readonly calls: PromiseCall[] = []
  private readonly callers_: PromiseCallers
  private readonly pending_: Promise<void>[] = []
  private readonly stopped_ = new Set<ProcessWorker>()
  private count_ = 0

  constructor(
    private readonly bed_: PlatformBed,
    private readonly draws_: SoakDraws,
    private readonly callDraws_: SoakDraws,
    private readonly record_: SoakRecord,
    private readonly options_: PromiseFaultOptions
  ) {
    this.callers_ = new PromiseCallers(() => bed_.boxes, callDraws_)
  }

  /** Injects faults and sends calls until faults have ended, and waits for all runs. */
  async play(): Promise<void> {
    const timer = setInterval(() => this.call(), CALL_INTERVAL_MS)
    try {
      await Promise.all([
        this.playSeries(),
        this.options_.repeats ? this.repeatAnswers() : undefined
      ])
    } finally {
      clearInterval(timer)
    }
    for (const worker of this.workers()) {
      worker.signal("SIGCONT")
      worker.setFaults()
    }
    await Promise.all(this.pending_)
    await sleep(SETTLE_MS)
    this.callers_.stop()
  }

  private async playSeries(): Promise<void> {
    while (!this.options_.haveFaultsEnded()) {
      await this.pauseFor(this.drawFrom(GAP_MS))
      const parts = 1 + Math.floor(MAX_PARTS * this.draws_.draw())
      for (let part = 0; part < parts; part++) {
        if (this.options_.haveFaultsEnded()) return
        this.inject()
        await this.pauseFor(this.drawFrom(PART_GAP_MS))
      }
    }
  }

  private inject(): void {
    const {bed_: bed, draws_: draws} = this
    const box = draws.pick(bed.boxes)
    const faults: Readonly<Record<string, () => unknown>> = {
      "process-engines-stopped": () => this.stopWorkers(bed.processEngines),
      "process-plain-stopped": () => this.stopWorkers(bed.processPlain),
      "process-worker-stopped": () => this.stopWorkers([draws.pick(this.workers())]),
      "process-worker-replaced": () => this.restartWorker(draws.pick(this.workers())),
      "box-starved": () => this.starve(box),
      "boxes-starved": () => bed.boxes.map(each => this.starve(each)),
      "box-killed": () => this.options_.restart(box, "SIGKILL"),
      "box-terminated": () => this.options_.restart(box, "SIGTERM"),
      "config-idle": () => this.configure(),
      "config-timeout": () => this.configure()
    }
    const name = draws.pick(Object.keys(faults))
    this.record_.faults.push({name, at: performance.now()})
    faults[name]?.()
  }

  private workers(): readonly ProcessWorker[] {
    return [...this.bed_.processEngines, ...this.bed_.processPlain]
  }

  private stopWorkers(workers: readonly ProcessWorker[]): void {
    const forMs = this.drawFrom(STOP_MS)
    for (const worker of workers) {
      if (this.stopped_.has(worker)) continue
      this.stopped_.add(worker)
      worker.signal("SIGSTOP")
      setTimeout(() => {
        this.stopped_.delete(worker)
        worker.signal("SIGCONT")
      }, forMs)
    }
  }

  /** Ends a worker; another one starts at its address. */
  private async restartWorker(worker: ProcessWorker): Promise<void> {
    if (this.stopped_.has(worker)) return
    this.stopped_.add(worker)
    await worker.restart()
    this.stopped_.delete(worker)
  }

  /** Takes the processor away from a box. Nothing tells it so. */
  private starve(box: BedBox): void {
    this.record_.exempt(box.name)
    const {child} = box
    child.signal("SIGSTOP")
    setTimeout(() => child.signal("SIGCONT"), this.drawFrom(STARVED_MS))
  }

  private configure(): void {
    this.bed_.configure([], {
      idleTimeoutMs: this.draws_.pick(IDLE_TIMEOUTS_MS),
      processTimeoutMs: this.draws_.pick(TIMEOUTS_MS)
    })
  }

  private async repeatAnswers(): Promise<void> {
    while (!this.options_.haveFaultsEnded()) {
      await this.pauseFor(this.drawFrom(GAP_MS))
      const repeats = this.draws_.pick(REPEATED_SHARES)
      this.record_.faults.push({
        name: "process-answers-repeated",
        at: performance.now()
      })
      const end = performance.now() + this.drawFrom(REPEATING_MS)
      while (performance.now() < end && !this.options_.haveFaultsEnded()) {
        for (const worker of this.workers()) worker.setFaults({refuses: true, repeats})
        await this.pauseFor(this.drawFrom(REFUSING_MS))
        for (const worker of this.workers()) worker.setFaults({repeats})
        await this.pauseFor(this.drawFrom(SERVING_MS))
      }
      for (const worker of this.workers()) worker.setFaults()
    }
  }

  private call(): void {
    const draws = this.callDraws_
    const isPlain = draws.draw() < 0.5
    const request = {
      name: `u-${++this.count_}`,
      path: isPlain ? "/process-unsafe/x" : "/process-once/x",
      adapter: isPlain ? undefined : `a${Math.floor(ADAPTERS * draws.draw() ** 2)}`,
      deadlineMs: draws.pick(DEADLINES_MS),
      key: this.options_.pickKey()
    }
    this.pending_.push(
      this.callers_.call(request).then(call => void this.calls.push(call))
    )
  }

  /** Waits, but not beyond the end of all faults. */
  private async pauseFor(ms: number): Promise<void> {
    const end = performance.now() + ms
    while (performance.now() < end && !this.options_.haveFaultsEnded()) await sleep(20)
  }

  private drawFrom({least, most}: Range): number {
    return least + (most - least) * this.draws_.draw()
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}
