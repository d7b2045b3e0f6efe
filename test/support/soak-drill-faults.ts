/**
 * Faults of the soak around restore drills, in which the store comes back from an older
 * backup, and around changes of leader.
 */
import type {Drill} from "../stand-ins/platform-store.js"
import type {BedBox, PlatformBed} from "./platform-bed.js"
import type {SoakDraws, SoakRecord} from "./soak-record.js"

/**
 * Age of the backup, downtime of the store, and delay until operators rewrite their
 * entries.
 */
const BACKUP_AGE_MS = {least: 300, most: 6_000}
const DOWNTIME_MS = {least: 50, most: 1_500}
const REWRITE_DELAY_MS = {least: 0, most: 2_500}

/**
 * Gap between a drill and the fault before or after it, and delay of each step around a
 * change of leader.
 */
const GAP_MS = {least: 0, most: 900}

interface Range {
  readonly least: number
  readonly most: number
}

/** Actions of the other kinds of faults, used in series with those of this file. */
export interface DrillActions {
  readonly publishVersion: () => void
  readonly queueAll: () => void
  readonly kill: (box: BedBox) => unknown
  readonly freeze: (box: BedBox) => void
  readonly cutFromStore: (box: BedBox) => void
  readonly replaceEngine: () => unknown
  readonly haveFaultsEnded: () => boolean
}

export class DrillFaults {
  private isDrilling_ = false

  constructor(
    private readonly bed_: PlatformBed,
    private readonly draws_: SoakDraws,
    private readonly record_: SoakRecord,
    private readonly actions_: DrillActions
  ) {}

  /**
   * Restore drills, alone and combined with another fault. Other faults continue
   * meanwhile.
   */
  drills(): Readonly<Record<string, () => unknown>> {
    const {publishVersion, kill, replaceEngine, cutFromStore} = this.actions_
    return {
      drill: () => void this.drill(),
      "drill-after-version": () => this.drillAfter(publishVersion),
      "drill-before-version": () => this.drillBefore(publishVersion),
      "drill-after-config": () => this.drillAfter(() => this.bed_.configure()),
      "drill-after-leaving": () => this.drillAfter(replaceEngine),
      "drill-after-kill": () => this.drillAfter(() => kill(this.anyBox())),
      "drill-before-kill": () => this.drillBefore(() => kill(this.leader())),
      "drill-behind-cut": () => this.drillAfter(() => cutFromStore(this.leader())),
      "drill-twice": () => void this.drill().then(() => this.drill())
    }
  }

  /** Versions and configurations published while the leader changes and engines queue. */
  leaderChanges(): Readonly<Record<string, () => unknown>> {
    const {kill, freeze, cutFromStore} = this.actions_
    return {
      "version-as-leader-dies": () => this.publishAround(() => kill(this.leader())),
      "version-as-leader-stands-still": () =>
        this.publishAround(() => freeze(this.leader())),
      "version-as-leader-is-cut": () =>
        this.publishAround(() => cutFromStore(this.leader())),
      "version-as-boxes-die": () =>
        this.publishAround(() => {
          for (const box of this.bed_.boxes) if (this.draws_.draw() < 0.5) kill(box)
        })
    }
  }

  private async drill(): Promise<void> {
    if (this.isDrilling_) return
    this.isDrilling_ = true
    const drill: Drill = {
      backupAgeMs: this.drawFrom(BACKUP_AGE_MS),
      outageMs: this.drawFrom(DOWNTIME_MS),
      rewriteMs: this.drawFrom(REWRITE_DELAY_MS),
      reversed: this.draws_.draw() < 0.5
    }
    this.record_.storeFaults.begin()
    const returned = (): void => {
      this.record_.restores.push(performance.now())
      this.record_.storeFaults.end()
    }
    await this.bed_.store.drill({...drill, onRestored: returned})
    this.isDrilling_ = false
  }

  private drillAfter(action: () => unknown): void {
    const afterMs = this.drawFrom(GAP_MS)
    action()
    setTimeout(() => this.actions_.haveFaultsEnded() || void this.drill(), afterMs)
  }

  private drillBefore(action: () => unknown): void {
    const afterMs = this.drawFrom(GAP_MS)
    const act = (): unknown => this.actions_.haveFaultsEnded() || action()
    void this.drill().then(() => setTimeout(act, afterMs))
  }

  private publishAround(action: () => unknown): void {
    this.actions_.queueAll()
    for (const step of [action, () => this.bed_.configure()]) {
      setTimeout(() => this.actions_.haveFaultsEnded() || step(), this.drawFrom(GAP_MS))
    }
    for (let i = 0; i < 2; i++) {
      const publish = (): unknown =>
        this.actions_.haveFaultsEnded() || this.actions_.publishVersion()
      setTimeout(publish, this.drawFrom(GAP_MS))
    }
  }

  private leader(): BedBox {
    return this.bed_.leader() ?? this.anyBox()
  }

  private anyBox(): BedBox {
    return this.draws_.pick(this.bed_.boxes)
  }

  private drawFrom({least, most}: Range): number {
    return least + (most - least) * this.draws_.draw()
  }
}
