/**
 * Starts of all boxes on few processors, in a round of the soak: the boxes take turns at
 * running, as on a machine with fewer processors than processes. Drawn from a random series
 * of their own, so that the other faults of a seed stay the same.
 */
import type {BedBox, PlatformBed} from "./platform-bed.js"
import type {StartActions} from "./soak-start-faults.js"
import type {SoakDraws, SoakRecord} from "./soak-record.js"

/** Time from the end of one fault to the next one. */
const GAP_MS = {least: 1_500, most: 5_000}

/** For how long the boxes take turns after their start. */
const STARVED_MS = {least: 1_500, most: 5_000}

/** Length of a turn, and part of the boxes that run at a time. */
const TURN_MS = {least: 60, most: 350}
const RUNNING_SHARE = {least: 0.15, most: 0.5}

/** How often all boxes are killed at most, and the time between. */
const MAX_KILLS = 3
const KILL_GAP_MS = {least: 200, most: 2_500}

interface Range {
  readonly least: number
  readonly most: number
}

export class StarvedFaults {
  constructor(
    private readonly bed_: PlatformBed,
    private readonly draws_: SoakDraws,
    private readonly record_: SoakRecord,
    private readonly actions_: StartActions
  ) {}

  /** Injects faults until all faults have ended. */
  async play(): Promise<void> {
    while (!this.actions_.haveFaultsEnded()) {
      await this.pauseFor(GAP_MS)
      if (this.actions_.haveFaultsEnded()) return
      this.record_.faults.push({name: "starved-start", at: performance.now()})
      const kills = 1 + Math.floor(MAX_KILLS * this.draws_.draw())
      for (let kill = 0; kill < kills; kill++) {
        if (kill > 0) await this.pauseFor(KILL_GAP_MS)
        const {boxes} = this.bed_
        await Promise.all(boxes.map(box => this.actions_.restart(box, "SIGKILL")))
      }
      await this.takeTurns()
    }
  }

  /** Lets a part of the boxes run at a time. A box is stopped by a signal meanwhile. */
  private async takeTurns(): Promise<void> {
    const {boxes} = this.bed_
    const running = Math.ceil(boxes.length * this.drawFrom(RUNNING_SHARE))
    const until = performance.now() + this.drawFrom(STARVED_MS)
    for (let first = 0; performance.now() < until; first += running) {
      if (this.actions_.haveFaultsEnded()) break
      boxes.forEach((box, index) => {
        const place = (index - (first % boxes.length) + boxes.length) % boxes.length
        box.child.signal(place < running ? "SIGCONT" : "SIGSTOP")
      })
      await sleep(this.drawFrom(TURN_MS))
    }
    for (const box of boxes) this.release(box)
  }

  private release({child, name}: BedBox): void {
    child.signal("SIGCONT")
    this.record_.exempt(name)
  }

  /** Waits, but not beyond the end of all faults. */
  private async pauseFor(range: Range): Promise<void> {
    const end = performance.now() + this.drawFrom(range)
    while (performance.now() < end && !this.actions_.haveFaultsEnded()) await sleep(50)
  }

  private drawFrom({least, most}: Range): number {
    return least + (most - least) * this.draws_.draw()
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms))
}
