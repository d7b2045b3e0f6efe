/**
 * Faults of streams in a round of the soak: workers frame and break off answers in
 * several ways, boxes end at the same time, and engines of two software versions serve
 * side by side while a release goes up and down. They are drawn from a random series of
 * their own, so that the other faults of a seed stay the same.
 */
import {
  type BreakOff,
  DEFAULT_SOFTWARE,
  type StandInWorker,
  type WorkerFaults
} from "../stand-ins/platform-worker.js"
import type {BedBox, PlatformBed} from "./platform-bed.js"
import type {SoakDraws, SoakRecord} from "./soak-record.js"

/** The other software version of a round. */
const RELEASE = "v1.1"

/** Engines of the other version at the begin of a round. */
const RELEASED_ENGINES = 2

/** A software version has at least so many engines, except while one is replaced. */
const MIN_ENGINES = 2

/** Time from the end of one series of faults to the next one, and between its parts. */
const GAP_MS = {least: 300, most: 1_200}
const PART_GAP_MS = {least: 50, most: 500}

/** Time for which answers break off. */
const BREAKING_MS = {least: 500, most: 1_800}

/** Time between the steps of a release, and from the start of an engine to a departure. */
const RELEASE_GAP_MS = {least: 1_500, most: 3_500}
const OVERLAP_MS = {least: 600, most: 1_500}

/** How long an engine serves after it announced that it leaves. */
const LEAVING_MS = 4_000

/** A box ends during this share of the series. */
const BOX_SHARE = 0.3

const MAX_PARTS = 3
const MAX_ENGINES_AT_ONCE = 3
const MAX_AFTER_EVENTS = 12

const PLACES: readonly BreakOff["where"][] = [
  "start",
  "inside-event",
  "inside-event",
  "between-events",
  "between-events",
  "before-end"
]

const WAYS: readonly BreakOff["how"][] = [
  "close",
  "close",
  "close",
  "reset",
  "reset",
  "reset",
  "silence",
  "crash"
]

const FRAMINGS: readonly WorkerFaults[] = [
  {framing: "chunks"},
  {framing: "length"},
  {unframed: true},
  {unframed: true}
]

interface Range {
  readonly least: number
  readonly most: number
}

export interface StreamFaultActions {
  readonly restart: (box: BedBox, signal: NodeJS.Signals) => Promise<void>
  readonly haveFaultsEnded: () => boolean
}

export class StreamFaults {
  constructor(
    private readonly bed_: PlatformBed,
    private readonly draws_: SoakDraws,
    private readonly releaseDraws_: SoakDraws,
    private readonly record_: SoakRecord,
    private readonly actions_: StreamFaultActions
  ) {}

  /** Injects faults in series until faults have ended. */
  async play(): Promise<void> {
    for (let i = 0; i < RELEASED_ENGINES; i++) await this.startEngine(RELEASE)
    await Promise.all([this.playBreaks(), this.playReleases()])
  }

  private async playBreaks(): Promise<void> {
    while (!this.actions_.haveFaultsEnded()) {
      await this.pauseFor(this.drawFrom(GAP_MS, this.draws_))
      const parts = 1 + Math.floor(MAX_PARTS * this.draws_.draw())
      const boxPart = this.draws_.draw() < BOX_SHARE ? this.drawBelow(parts) : -1
      for (let part = 0; part < parts; part++) {
        if (this.actions_.haveFaultsEnded()) return
        this.breakAnswers()
        if (part === boxPart) this.endBox()
        await this.pauseFor(this.drawFrom(PART_GAP_MS, this.draws_))
      }
    }
  }

  /**
   * Answers of some engines, or of a plain worker, break off for a while, or are only
   * framed in another way.
   */
  private breakAnswers(): void {
    const {engines, plain} = this.bed_
    const isPlain = this.draws_.draw() < 0.2
    const first = this.drawBelow(isPlain ? plain.length : engines.length)
    const count = isPlain ? 1 : 1 + this.drawBelow(MAX_ENGINES_AT_ONCE)
    const workers = (isPlain ? plain : engines).slice(first, first + count)
    const framing = this.draws_.pick(FRAMINGS)
    const where = this.draws_.pick(PLACES)
    const how = this.draws_.pick(WAYS)
    const afterEvents = 1 + this.drawBelow(MAX_AFTER_EVENTS)
    const isFramingOnly = this.draws_.draw() < 0.2
    const faults: WorkerFaults = isFramingOnly
      ? framing
      : {...framing, breakOff: {where, how, afterEvents}}
    const forMs = this.drawFrom(BREAKING_MS, this.draws_)
    const name = isPlain ? "plain-answers-break" : `streams-break-${where}-${how}`
    this.note(isFramingOnly ? "answers-framed" : name)
    for (const worker of workers) {
      worker.faults = {...worker.faults, ...faults}
      setTimeout(() => healAnswers(worker), forMs)
    }
  }

  private endBox(): void {
    const box = this.draws_.pick(this.bed_.boxes)
    const signal = this.draws_.draw() < 0.5 ? "SIGKILL" : "SIGTERM"
    this.note(signal === "SIGKILL" ? "kill-in-streams" : "term-in-streams")
    void this.actions_.restart(box, signal)
  }

  private async playReleases(): Promise<void> {
    while (!this.actions_.haveFaultsEnded()) {
      await this.pauseFor(this.drawFrom(RELEASE_GAP_MS, this.releaseDraws_))
      if (this.actions_.haveFaultsEnded()) return
      const isUp = this.releaseDraws_.draw() < 0.5
      this.note(isUp ? "release-up" : "release-down")
      await this.replaceEngine(isUp ? DEFAULT_SOFTWARE : RELEASE, isUp)
    }
  }

  /** Starts an engine of one version and drains the oldest of the other one. */
  private async replaceEngine(leaving: string, isUp: boolean): Promise<void> {
    await this.startEngine(isUp ? RELEASE : DEFAULT_SOFTWARE)
    await this.pauseFor(this.drawFrom(OVERLAP_MS, this.releaseDraws_))
    const {engines} = this.bed_
    const candidates = engines.filter(({software}) => software === leaving)
    const [oldest] = candidates
    if (!oldest || candidates.length <= MIN_ENGINES) return
    engines.splice(engines.indexOf(oldest), 1)
    this.record_.replacedEngines.push(oldest)
    oldest.drain()
    setTimeout(() => oldest.stop(), LEAVING_MS)
  }

  private async startEngine(version: string): Promise<StandInWorker> {
    return this.bed_.addEngine(undefined, {version})
  }

  private note(name: string): void {
    this.record_.faults.push({name, at: performance.now()})
  }

  /** Waits, but not beyond the end of all faults. */
  private async pauseFor(ms: number): Promise<void> {
    const end = performance.now() + ms
    while (performance.now() < end && !this.actions_.haveFaultsEnded()) {
      await new Promise(resolve => setTimeout(resolve, 50))
    }
  }

  private drawFrom({least, most}: Range, draws: SoakDraws): number {
    return least + (most - least) * draws.draw()
  }

  private drawBelow(count: number): number {
    return Math.floor(count * this.draws_.draw())
  }
}

/** Ends the faults of a worker's answers that this round injects. */
function healAnswers(worker: StandInWorker): void {
  const remaining = {...worker.faults}
  for (const fault of ["unframed", "framing", "breakOff"] as const) {
    delete remaining[fault]
  }
  worker.faults = remaining
}

/** Returns how many engines of each software version serve now. */
export function countServing(
  engines: readonly StandInWorker[]
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>()
  for (const {software, isServing} of engines) {
    if (isServing) counts.set(software, (counts.get(software) ?? 0) + 1)
  }
  return counts
}
