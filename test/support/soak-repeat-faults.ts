/**
 * Workers that repeat answers, in a round of the soak: a copy comes where the next answer
 * on its connection is due. They refuse requests at the same time, so that the same ones
 * come again. Drawn from a random series of their own, so that the other faults of a seed
 * stay the same.
 */
import type {StandInWorker} from "../stand-ins/platform-worker.js"
import type {PlatformBed} from "./platform-bed.js"
import type {SoakDraws, SoakRecord} from "./soak-record.js"

/** Time from the end of one series to the next one. */
const GAP_MS = {least: 400, most: 2_500}

/** Time for which answers are repeated. */
const REPEATING_MS = {least: 800, most: 3_000}

/** Time for which a worker that repeats answers refuses requests, and between these. */
const REFUSING_MS = {least: 40, most: 250}
const SERVING_MS = {least: 60, most: 400}

/** Share of the answers that are repeated. */
const SHARES = [0.03, 0.2, 1]

const MAX_WORKERS = 3

interface Range {
  readonly least: number
  readonly most: number
}

export class RepeatFaults {
  constructor(
    private readonly bed_: PlatformBed,
    private readonly draws_: SoakDraws,
    private readonly record_: SoakRecord,
    private readonly haveFaultsEnded_: () => boolean
  ) {}

  /** Injects series of repeated answers until faults have ended. */
  async play(): Promise<void> {
    while (!this.haveFaultsEnded_()) {
      await this.pauseFor(this.drawFrom(GAP_MS))
      if (this.haveFaultsEnded_()) return
      await this.repeatAnswers()
    }
  }

  private async repeatAnswers(): Promise<void> {
    const {engines, plain} = this.bed_
    const isPlain = this.draws_.draw() < 0.3
    const all = isPlain ? plain : engines
    const first = Math.floor(all.length * this.draws_.draw())
    const workers = all.slice(
      first,
      first + 1 + Math.floor(MAX_WORKERS * this.draws_.draw())
    )
    const share = this.draws_.pick(SHARES)
    const name = isPlain ? "plain-answers-repeated" : "answers-repeated"
    this.record_.faults.push({name, at: performance.now()})
    const span = {from: performance.now(), to: Infinity}
    if (isPlain) this.record_.plainRepeats.push(span)
    for (const worker of workers) {
      worker.faults = {...worker.faults, repeats: () => this.draws_.draw() < share}
    }
    const end = performance.now() + this.drawFrom(REPEATING_MS)
    while (performance.now() < end && !this.haveFaultsEnded_()) {
      for (const worker of workers) worker.faults = {...worker.faults, shedding: true}
      await this.pauseFor(this.drawFrom(REFUSING_MS))
      for (const worker of workers) stopRefusing(worker)
      await this.pauseFor(this.drawFrom(SERVING_MS))
    }
    for (const worker of workers) stopRepeating(worker)
    span.to = performance.now()
  }

  /** Waits, but not beyond the end of all faults. */
  private async pauseFor(ms: number): Promise<void> {
    const end = performance.now() + ms
    while (performance.now() < end && !this.haveFaultsEnded_()) {
      await new Promise(resolve => setTimeout(resolve, Math.min(50, ms)))
    }
  }

  private drawFrom({least, most}: Range): number {
    return least + (most - least) * this.draws_.draw()
  }
}

function stopRefusing(worker: StandInWorker): void {
  const remaining = {...worker.faults}
  delete remaining.shedding
  worker.faults = remaining
}

function stopRepeating(worker: StandInWorker): void {
  const remaining = {...worker.faults}
  delete remaining.repeats
  worker.faults = remaining
}
