/**
 * Starts of all boxes on one processor, in a round of the soak: all are killed in series,
 * start bound to one of the processors of the test, beside a store that is slow for a part
 * of the time, and get the others back later. Drawn from a random series of their own, so
 * that the other faults of a seed stay the same.
 */
import type {PlatformBed} from "./platform-bed.js"
import {allowedProcessors, bindProcess} from "./processors.js"
import type {SoakDraws, SoakRecord} from "./soak-record.js"
import type {StartActions} from "./soak-start-faults.js"

/** Time from the end of one fault to the next one. */
const GAP_MS = {least: 1_000, most: 4_000}

/** How often all boxes are killed at most, and the time between. */
const MAX_KILLS = 3
const KILL_GAP_MS = {least: 300, most: 3_000}

/** How long the boxes have one processor, from the start of their last processes. */
const BOUND_MS = {least: 6_000, most: 24_000}

/** Share of the faults with a slow store, how slow it is, and for how long. */
const SLOW_STORE_SHARE = 0.5
const SLOW_MS = {least: 50, most: 400}
const SLOW_FOR_MS = {least: 1_000, most: 5_000}

interface Range {
  readonly least: number
  readonly most: number
}

export interface ProcessorActions extends StartActions {
  /** Whether everything is served again after the end of all faults. */
  readonly hasServiceReturned: () => boolean
}

export class ProcessorFaults {
  constructor(
    private readonly bed_: PlatformBed,
    private readonly draws_: SoakDraws,
    private readonly record_: SoakRecord,
    private readonly actions_: ProcessorActions
  ) {}

  /** Injects faults until all faults have ended. */
  async play(): Promise<void> {
    const processors = await allowedProcessors()
    if (!processors) {
      console.log("no faults of few processors: taskset can't be used")
      return
    }
    while (!this.actions_.haveFaultsEnded()) {
      await this.pauseFor(GAP_MS)
      if (this.actions_.haveFaultsEnded()) return
      await this.startOnOne(processors)
    }
  }

  private async startOnOne(processors: readonly number[]): Promise<void> {
    this.record_.faults.push({name: "few-processors", at: performance.now()})
    this.bed_.startProcessors = [this.draws_.pick(processors)]
    const shortage = this.record_.beginShortage()
    const endSlowness = this.slowStore()
    const kills = 1 + Math.floor(MAX_KILLS * this.draws_.draw())
    for (let kill = 0; kill < kills; kill++) {
      if (kill > 0) await this.pauseFor(KILL_GAP_MS)
      await this.killAll()
      shortage.killedAt = performance.now()
    }
    // A shortage outlasts the other faults, so that it shows whether service comes back in it.
    const until = performance.now() + this.drawFrom(BOUND_MS)
    while (performance.now() < until && !this.actions_.hasServiceReturned()) {
      await sleep(50)
    }
    endSlowness()
    this.bed_.startProcessors = undefined
    const {boxes} = this.bed_
    await Promise.all(boxes.map(({child}) => bindProcess(child.pid, processors)))
    shortage.to = performance.now()
    for (const {name} of boxes) this.record_.exempt(name)
  }

  private async killAll(): Promise<void> {
    const {boxes} = this.bed_
    await Promise.all(boxes.map(box => this.actions_.restart(box, "SIGKILL")))
  }

  /** Slows the store for a part of the time. Returns a function that ends it. */
  private slowStore(): () => void {
    if (this.draws_.draw() >= SLOW_STORE_SHARE) return () => undefined
    const {store} = this.bed_
    const faults = {delayMs: this.drawFrom(SLOW_MS)}
    this.record_.storeFaults.begin()
    store.faults = faults
    let isSlow = true
    const end = (): void => {
      if (!isSlow) return
      isSlow = false
      clearTimeout(timer)
      if (store.faults === faults) store.faults = {}
      this.record_.storeFaults.end()
    }
    const timer = setTimeout(end, this.drawFrom(SLOW_FOR_MS))
    return end
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
