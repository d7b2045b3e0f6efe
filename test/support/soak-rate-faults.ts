/**
 * Servers that advertise the rate limit of all boxes together, in each round of the soak:
 * at least one engine during the whole round, others for a while. Drawn from a random
 * series of their own, so that the other faults of a seed stay the same.
 */
import type {StandInWorker} from "../stand-ins/platform-worker.js"
import type {PlatformBed} from "./platform-bed.js"
import type {SoakDraws, SoakRecord} from "./soak-record.js"

/**
 * Delay until the first engine advertises a rate limit, and the interval between changes.
 */
const FIRST_DELAY_MS = 300
const INTERVAL_MS = {least: 700, most: 2_000}

/** How long temporary rate limits last. */
const DURATION_MS = {least: 500, most: 4_500}

/**
 * Rate limits (requests per second) of a single server, and of each if all engines
 * advertise one.
 */
const SINGLE_PER_S = {least: 0.3, most: 5}
const SHARED_PER_S = {least: 4, most: 12}

/** Header values that aren't valid as rate limits. */
const INVALID_RATES = ["-1", "NaN", "1e9", "", "some"]

interface Range {
  readonly least: number
  readonly most: number
}

export class RateFaults {
  /** Servers that advertise a rate limit temporarily. */
  private readonly temporary_ = new Set<StandInWorker>()

  constructor(
    private readonly bed_: PlatformBed,
    private readonly draws_: SoakDraws,
    private readonly record_: SoakRecord,
    private readonly haveFaultsEnded_: () => boolean
  ) {}

  /** Injects faults until they have ended. */
  async play(): Promise<void> {
    await pause(FIRST_DELAY_MS)
    const kinds = this.kinds()
    let turn = Math.floor(this.draws_.draw() * kinds.length)
    while (!this.haveFaultsEnded_()) {
      this.ensureOneAdvertised()
      const [name, act] = kinds[turn++ % kinds.length] as (typeof kinds)[number]
      this.record_.faults.push({name, at: performance.now()})
      act()
      await pause(this.drawFrom(INTERVAL_MS))
    }
  }

  /** Ends all rate limits. */
  endAll(): void {
    for (const worker of [...this.bed_.engines, ...this.bed_.plain]) {
      worker.advertiseRate(undefined)
    }
  }

  private kinds(): [name: string, act: () => void][] {
    const {engines, plain} = this.bed_
    return [
      [
        "plain-names-rate",
        () => this.advertiseTemporarily(this.draws_.pick(plain), this.rate(SINGLE_PER_S))
      ],
      [
        "engine-names-rate",
        () =>
          this.advertiseTemporarily(this.draws_.pick(engines), this.rate(SINGLE_PER_S))
      ],
      [
        "engine-names-zero",
        () => this.advertiseTemporarily(this.draws_.pick(engines), "0")
      ],
      ["engines-name-rates", () => this.advertiseAll()],
      [
        "engine-names-oddly",
        () =>
          this.advertiseTemporarily(
            this.draws_.pick(engines),
            this.draws_.pick(INVALID_RATES)
          )
      ]
    ]
  }

  /** Ensures that at least one engine advertises a rate limit. */
  private ensureOneAdvertised(): void {
    const {engines} = this.bed_
    if (engines.some(engine => engine.rate !== undefined)) return
    this.record_.faults.push({name: "engine-keeps-rate", at: performance.now()})
    engines[0]?.advertiseRate(this.rate(SINGLE_PER_S))
  }

  private advertiseAll(): void {
    for (const engine of this.bed_.engines)
      this.advertiseTemporarily(engine, this.rate(SHARED_PER_S))
  }

  private advertiseTemporarily(worker: StandInWorker, rate: string): void {
    // A rate limit that is already advertised stays.
    if (worker.rate !== undefined) return
    worker.advertiseRate(rate)
    this.temporary_.add(worker)
    setTimeout(() => {
      if (this.temporary_.delete(worker)) worker.advertiseRate(undefined)
    }, this.drawFrom(DURATION_MS))
  }

  private rate(range: Range): string {
    return this.drawFrom(range).toFixed(2)
  }

  private drawFrom({least, most}: Range): number {
    return least + (most - least) * this.draws_.draw()
  }
}

function pause(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}
