/**
 * Sound workers that stand still inside streams and go on, in a round of the soak: in
 * overlapping series, beside configurations, ends of boxes and changes of the leader. They
 * are drawn from a random series of their own, so that the other faults of a seed stay the
 * same.
 */
import type {StandInWorker} from "../stand-ins/platform-worker.js"
import type {BedBox, PlatformBed} from "./platform-bed.js"
import type {SoakDraws, SoakRecord} from "./soak-record.js"

/** Time from the end of one series to the next one, and between its parts. */
const GAP_MS = {least: 1_500, most: 4_000}
const PART_GAP_MS = {least: 100, most: 900}

/** How long workers stand still. */
const PAUSE_MS = {least: 800, most: 2_000}

/** When the event beside a series comes, from the begin of the series on. */
const BESIDE_MS = {least: 0, most: 1_200}

/** How long the leader is cut off from the store: longer than its lease. */
const CUT_MS = {least: 1_500, most: 3_000}

const MAX_PARTS = 3

interface Range {
  readonly least: number
  readonly most: number
}

export interface PauseFaultActions {
  readonly restart: (box: BedBox, signal: NodeJS.Signals) => Promise<void>
  readonly haveFaultsEnded: () => boolean
}

export class PauseFaults {
  private readonly paused_ = new Set<StandInWorker>()

  constructor(
    private readonly bed_: PlatformBed,
    private readonly draws_: SoakDraws,
    private readonly record_: SoakRecord,
    private readonly actions_: PauseFaultActions
  ) {}

  /** Injects pauses in series until faults have ended. */
  async play(): Promise<void> {
    while (!this.actions_.haveFaultsEnded()) {
      await this.pauseFor(this.drawFrom(GAP_MS))
      if (this.actions_.haveFaultsEnded()) return
      this.injectBeside()
      const parts = 1 + Math.floor(MAX_PARTS * this.draws_.draw())
      let end = 0
      for (let part = 0; part < parts; part++) {
        if (this.actions_.haveFaultsEnded()) return
        end = Math.max(end, this.injectPause())
        await this.pauseFor(this.drawFrom(PART_GAP_MS))
      }
      await this.pauseFor(end - performance.now())
    }
  }

  /** Pauses some workers. Returns when they go on. */
  private injectPause(): number {
    const {engines, plain} = this.bed_
    const workers: Readonly<Record<string, () => readonly StandInWorker[]>> = {
      "engines-stand-still": () => engines,
      "half-of-engines-stand-still": () => this.pickHalf(engines),
      "engine-stands-still": () => [this.draws_.pick(engines)],
      "plain-stand-still": () => plain,
      "servers-stand-still": () => [...engines, ...plain]
    }
    const name = this.draws_.pick(Object.keys(workers))
    const forMs = this.drawFrom(PAUSE_MS)
    this.note(name)
    for (const worker of workers[name]?.() ?? []) this.pause(worker, forMs)
    return performance.now() + forMs
  }

  private pause(worker: StandInWorker, forMs: number): void {
    if (this.paused_.has(worker)) return
    this.paused_.add(worker)
    worker.pause()
    const end = this.record_.beginPause(worker.id)
    setTimeout(() => {
      this.paused_.delete(worker)
      end()
      worker.resume()
    }, forMs)
  }

  private pickHalf(engines: readonly StandInWorker[]): readonly StandInWorker[] {
    const first = Math.floor(2 * this.draws_.draw())
    return engines.filter((_, i) => i % 2 === first)
  }

  /** Injects what comes beside a series, at some time of it, or nothing. */
  private injectBeside(): void {
    const {bed_: bed, actions_: actions} = this
    const afterMs = this.drawFrom(BESIDE_MS)
    const box = this.draws_.pick(bed.boxes)
    const cutMs = this.drawFrom(CUT_MS)
    const events: readonly (readonly [name: string, act: () => unknown])[] = [
      ["config-in-pause", () => bed.configure()],
      ["config-in-pause", () => bed.configure()],
      ["config-in-pause", () => bed.configure()],
      ["configs-in-pause", () => this.configureInSeries()],
      ["term-in-pause", () => actions.restart(box, "SIGTERM")],
      ["term-leader-in-pause", () => actions.restart(bed.leader() ?? box, "SIGTERM")],
      ["kill-leader-in-pause", () => actions.restart(bed.leader() ?? box, "SIGKILL")],
      ["cut-leader-in-pause", () => this.cutFromStore(bed.leader() ?? box, cutMs)],
      ["", () => undefined],
      ["", () => undefined]
    ]
    const [name, act] = this.draws_.pick(events)
    if (name === "") return
    setTimeout(() => {
      if (actions.haveFaultsEnded()) return
      this.note(name)
      act()
    }, afterMs)
  }

  /** Names configurations about once a second, as operators do. */
  private configureInSeries(): void {
    for (const afterMs of [0, 900, 1_800]) {
      const configure = (): unknown =>
        this.actions_.haveFaultsEnded() || this.bed_.configure()
      setTimeout(configure, afterMs)
    }
  }

  private cutFromStore({name, storeProxy}: BedBox, forMs: number): void {
    this.record_.exempt(name)
    storeProxy?.setFaults({blockUp: true, blockDown: true})
    setTimeout(() => storeProxy?.setFaults(), forMs)
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

  private drawFrom({least, most}: Range): number {
    return least + (most - least) * this.draws_.draw()
  }
}
