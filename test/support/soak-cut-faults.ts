/**
 * Cuts of boxes from backend servers in a round of the soak: one box, most boxes of a
 * data centre, the leader's box, one service only, and links that flap. They are drawn
 * from a random series of their own, so that the other faults of a seed stay the same.
 */
import type {StandInWorker} from "../stand-ins/platform-worker.js"
import type {BedBox, PlatformBed} from "./platform-bed.js"
import type {CutKind} from "./server-cuts.js"
import type {SoakDraws, SoakRecord} from "./soak-record.js"

/** Time from the end of one cut to the next one. */
const GAP_MS = {least: 500, most: 2_000}

/** Long enough that first tries are judged (see `soak-judge-cuts.ts`). */
const CUT_MS = {least: 4_000, most: 7_000}

/** A flapping link is up and down for this long in turn. */
const FLAP_MS = {least: 200, most: 900}

const KINDS: readonly CutKind[] = ["hang", "reset", "refuse-new", "hang-new"]

interface Range {
  readonly least: number
  readonly most: number
}

export class CutFaults {
  constructor(
    private readonly bed_: PlatformBed,
    private readonly draws_: SoakDraws,
    private readonly record_: SoakRecord,
    private readonly haveFaultsEnded_: () => boolean
  ) {}

  /** Injects one cut after the other until faults have ended. */
  async play(): Promise<void> {
    while (!this.haveFaultsEnded_()) {
      await this.pauseFor(this.drawFrom(GAP_MS))
      if (this.haveFaultsEnded_()) return
      await this.injectNext()
    }
  }

  private async injectNext(): Promise<void> {
    const {engines, plain, boxes} = this.bed_
    const all = [...engines, ...plain]
    const faults: Readonly<Record<string, () => Promise<void>>> = {
      "cut-box": () => this.cut([this.draws_.pick(boxes)], all),
      "cut-data-centre": () => this.cut(this.dataCentre(), all),
      "cut-leader": () => this.cut(this.leaders(), all),
      "cut-box-from-plain": () => this.cut([this.draws_.pick(boxes)], plain),
      "cut-box-from-engines": () => this.cut([this.draws_.pick(boxes)], engines),
      "cut-flaps": () => this.flap(this.draws_.pick(boxes), all)
    }
    const name = this.draws_.pick(Object.keys(faults))
    this.record_.faults.push({name, at: performance.now()})
    await faults[name]?.()
  }

  /** The boxes of one data centre. Some other box is always left. */
  private dataCentre(): BedBox[] {
    const centre = Math.floor(2 * this.draws_.draw())
    return this.bed_.boxes.filter((_, i) => i % 2 === centre)
  }

  private leaders(): BedBox[] {
    const leader = this.bed_.leader()
    return leader ? [leader] : []
  }

  private async cut(
    boxes: readonly BedBox[],
    servers: readonly StandInWorker[]
  ): Promise<void> {
    const how = this.draws_.pick(KINDS)
    const isFromAll = servers.length === this.bed_.engines.length + this.bed_.plain.length
    const end = this.record_.beginCut(boxes, isFromAll)
    for (const box of boxes) this.bed_.cut(box, servers, how)
    await this.pauseFor(this.drawFrom(CUT_MS))
    for (const box of boxes) this.bed_.heal(box)
    end()
  }

  private async flap(box: BedBox, servers: readonly StandInWorker[]): Promise<void> {
    const until = performance.now() + this.drawFrom(CUT_MS)
    const how = this.draws_.pick(KINDS)
    const end = this.record_.beginCut([box], false)
    while (performance.now() < until && !this.haveFaultsEnded_()) {
      this.bed_.cut(box, servers, how)
      await this.pauseFor(this.drawFrom(FLAP_MS))
      this.bed_.heal(box)
      await this.pauseFor(this.drawFrom(FLAP_MS))
    }
    end()
  }

  /** Waits, but not beyond the end of all faults. */
  private async pauseFor(ms: number): Promise<void> {
    const end = performance.now() + ms
    while (performance.now() < end && !this.haveFaultsEnded_()) {
      await new Promise(resolve => setTimeout(resolve, 50))
    }
  }

  private drawFrom({least, most}: Range): number {
    return least + (most - least) * this.draws_.draw()
  }
}
