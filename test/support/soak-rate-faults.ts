/**
 * Servers that name the rate they take from all boxes together, in each round of the soak: one engine from its
 * begin to its end, others for a while. A series of numbers of its own keeps the other faults of a seed as they were.
 */
import type {StandInWorker} from "../stand-ins/platform-worker.js"
import type {PlatformBed} from "./platform-bed.js"
import type {SoakDraws, SoakRecord} from "./soak-record.js"

/** From the begin of the round until the first engine names its rate, and from one change to the next, milliseconds. */
const FIRST_MS = 300
const BETWEEN_MS = {least: 700, most: 2_000}

/** Rates for a while last so long, milliseconds. */
const NAMED_MS = {least: 500, most: 4_500}

/** Requests a second that one server takes, and that each takes where all engines name a rate. */
const FEW = {least: 0.3, most: 5}
const MANY = {least: 4, most: 12}

/** What is no rate. */
const ODD_RATES = ["-1", "NaN", "1e9", "", "some"]

interface Span {
  readonly least: number
  readonly most: number
}

export class RateFaults {
  /** Servers that name a rate for a while. */
  private readonly named_ = new Set<StandInWorker>()

  constructor(
    private readonly bed_: PlatformBed,
    private readonly draws_: SoakDraws,
    private readonly record_: SoakRecord,
    private readonly isCalm_: () => boolean
  ) {}

  /** Plays the series until the round is calm. */
  async play(): Promise<void> {
    await pause(FIRST_MS)
    const kinds = this.kinds()
    let turn = Math.floor(this.draws_.draw() * kinds.length)
    while (!this.isCalm_()) {
      this.keepOne()
      const [name, act] = kinds[turn++ % kinds.length] as (typeof kinds)[number]
      this.record_.faults.push({name, at: performance.now()})
      act()
      await pause(this.span(BETWEEN_MS))
    }
  }

  /** All names end. */
  calm(): void {
    for (const worker of [...this.bed_.engines, ...this.bed_.plain]) {
      worker.nameRate(undefined)
    }
  }

  private kinds(): [name: string, act: () => void][] {
    const {engines, plain} = this.bed_
    return [
      ["plain-names-rate", () => this.nameFor(this.draws_.pick(plain), this.rate(FEW))],
      [
        "engine-names-rate",
        () => this.nameFor(this.draws_.pick(engines), this.rate(FEW))
      ],
      ["engine-names-zero", () => this.nameFor(this.draws_.pick(engines), "0")],
      ["engines-name-rates", () => this.nameAll()],
      [
        "engine-names-oddly",
        () => this.nameFor(this.draws_.pick(engines), this.draws_.pick(ODD_RATES))
      ]
    ]
  }

  /** One engine at least names a rate at any time. */
  private keepOne(): void {
    const {engines} = this.bed_
    if (engines.some(engine => engine.rate !== undefined)) return
    this.record_.faults.push({name: "engine-keeps-rate", at: performance.now()})
    engines[0]?.nameRate(this.rate(FEW))
  }

  private nameAll(): void {
    for (const engine of this.bed_.engines) this.nameFor(engine, this.rate(MANY))
  }

  private nameFor(worker: StandInWorker, rate: string): void {
    // What it names already goes on.
    if (worker.rate !== undefined) return
    worker.nameRate(rate)
    this.named_.add(worker)
    setTimeout(() => {
      if (this.named_.delete(worker)) worker.nameRate(undefined)
    }, this.span(NAMED_MS))
  }

  private rate(span: Span): string {
    return this.span(span).toFixed(2)
  }

  private span({least, most}: Span): number {
    return least + (most - least) * this.draws_.draw()
  }
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}
