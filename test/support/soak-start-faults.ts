/**
 * Starts of all boxes while the store answers slowly, odd entries of another writer, and
 * heads of answers that stop midway, in a round of the soak. Drawn from a random series of
 * their own, so that the other faults of a seed stay the same.
 */
import type {HeadCut} from "./fault-proxy.js"
import type {BedBox, PlatformBed} from "./platform-bed.js"
import type {SoakDraws, SoakRecord} from "./soak-record.js"
import {ODD_ENTRIES} from "./odd-entries.js"

/** Time from the end of one fault to the next one. */
const GAP_MS = {least: 1_000, most: 3_500}

/** Time that answers of a slow store take, and for how long it stays slow after a start. */
const SLOW_MS = {least: 100, most: 600}
const SLOW_FOR_MS = {least: 1_000, most: 3_500}

/** How often all boxes are killed at most while the store is slow, and the time between. */
const MAX_KILLS = 2
const KILL_GAP_MS = {least: 200, most: 1_500}

const ODD_FOR_MS = {least: 500, most: 3_000}
const CUTS_FOR_MS = {least: 200, most: 1_000}

/** Share of the answers whose heads are cut meanwhile, and the longest part that is left. */
const CUT_SHARE = 0.3
const MAX_HEAD_BYTES = 200

const KINDS = ["slow-start", "odd-entries", "odd-entries", "heads-cut"] as const
const WAYS = ["end", "reset", "stall"] as const

interface Range {
  readonly least: number
  readonly most: number
}

export interface StartActions {
  readonly restart: (box: BedBox, signal: NodeJS.Signals) => Promise<void>
  readonly haveFaultsEnded: () => boolean
}

export class StartFaults {
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
      const kind = this.draws_.pick(KINDS)
      this.record_.faults.push({name: kind, at: performance.now()})
      if (kind === "slow-start") await this.startSlowly()
      else if (kind === "odd-entries") await this.writeOdd()
      else await this.cutHeads()
    }
  }

  private async startSlowly(): Promise<void> {
    const {store, boxes} = this.bed_
    const faults = {delayMs: this.drawFrom(SLOW_MS)}
    this.record_.storeFaults.begin()
    store.faults = faults
    const kills = 1 + Math.floor(MAX_KILLS * this.draws_.draw())
    for (let kill = 0; kill < kills; kill++) {
      if (kill > 0) await this.pauseFor(KILL_GAP_MS)
      await Promise.all(boxes.map(box => this.actions_.restart(box, "SIGKILL")))
    }
    await this.pauseFor(SLOW_FOR_MS)
    if (store.faults === faults) store.faults = {}
    this.record_.storeFaults.end()
    // Boxes that start read their configuration late.
    for (const {name} of boxes) this.record_.exempt(name)
  }

  private async writeOdd(): Promise<void> {
    const {store} = this.bed_
    const names = Object.keys(ODD_ENTRIES).filter(() => this.draws_.draw() < 0.5)
    for (const name of names) {
      store.writeBytes(`servers/odd-${name}`, Buffer.from(ODD_ENTRIES[name] ?? ""))
    }
    await this.pauseFor(ODD_FOR_MS)
    for (const name of names) store.remove(`servers/odd-${name}`)
  }

  private async cutHeads(): Promise<void> {
    const how = this.draws_.pick(WAYS)
    const cutHead = (): HeadCut | undefined =>
      Math.random() < CUT_SHARE
        ? {how, bytes: Math.floor(Math.random() * MAX_HEAD_BYTES)}
        : undefined
    for (const proxy of this.bed_.workerProxies) proxy.setFaults({cutHead})
    await this.pauseFor(CUTS_FOR_MS)
    for (const proxy of this.bed_.workerProxies) proxy.setFaults()
  }

  /** Waits, but not beyond the end of all faults. */
  private async pauseFor({least, most}: Range): Promise<void> {
    const end = performance.now() + this.drawFrom({least, most})
    while (performance.now() < end && !this.actions_.haveFaultsEnded()) {
      await new Promise(resolve => setTimeout(resolve, 50))
    }
  }

  private drawFrom({least, most}: Range): number {
    return least + (most - least) * this.draws_.draw()
  }
}
