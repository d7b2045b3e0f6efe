/** Faults of the soak around drills of the store, which comes back from an older copy, and around changes of leader. */
import type {Drill} from "../stand-ins/platform-store.js"
import type {BedBox, PlatformBed} from "./platform-bed.js"
import type {SoakDraws, SoakRecord} from "./soak-record.js"

/** How old a copy is, how long the store is away, and when operators have written again, milliseconds. */
const COPY_AGE_MS = {least: 300, most: 6_000}
const AWAY_MS = {least: 50, most: 1_500}
const REWRITE_MS = {least: 0, most: 2_500}

/** What a drill meets comes so long before or after it, milliseconds. */
const APART_MS = {least: 0, most: 900}

interface Span {
  readonly least: number
  readonly most: number
}

/** What the other kinds of faults do, for series of them. */
export interface SoakActions {
  readonly nameVersion: () => void
  readonly queueAll: () => void
  readonly kill: (box: BedBox) => unknown
  readonly freeze: (box: BedBox) => void
  readonly cutFromStore: (box: BedBox) => void
  readonly replaceEngine: () => unknown
  readonly isCalm: () => boolean
}

export class DrillFaults {
  private drilling_ = false

  constructor(
    private readonly bed_: PlatformBed,
    private readonly draws_: SoakDraws,
    private readonly record_: SoakRecord,
    private readonly actions_: SoakActions
  ) {}

  /** Drills, alone and in series with what they meet; other faults go on meanwhile. */
  drills(): Readonly<Record<string, () => unknown>> {
    const {nameVersion, kill, replaceEngine, cutFromStore} = this.actions_
    return {
      drill: () => void this.drill(),
      "drill-after-version": () => this.drillAfter(nameVersion),
      "drill-before-version": () => this.drillBefore(nameVersion),
      "drill-after-config": () => this.drillAfter(() => this.bed_.configure()),
      "drill-after-leaving": () => this.drillAfter(replaceEngine),
      "drill-after-kill": () => this.drillAfter(() => kill(this.anyBox())),
      "drill-before-kill": () => this.drillBefore(() => kill(this.leader())),
      "drill-behind-cut": () => this.drillAfter(() => cutFromStore(this.leader())),
      "drill-twice": () => void this.drill().then(() => this.drill())
    }
  }

  /** Versions and configurations named in the moment in which the lead changes, behind queues. */
  leads(): Readonly<Record<string, () => unknown>> {
    const {kill, freeze, cutFromStore} = this.actions_
    return {
      "version-as-leader-dies": () => this.nameAround(() => kill(this.leader())),
      "version-as-leader-stands-still": () =>
        this.nameAround(() => freeze(this.leader())),
      "version-as-leader-is-cut": () =>
        this.nameAround(() => cutFromStore(this.leader())),
      "version-as-boxes-die": () =>
        this.nameAround(() => {
          for (const box of this.bed_.boxes) if (this.draws_.draw() < 0.5) kill(box)
        })
    }
  }

  private async drill(): Promise<void> {
    if (this.drilling_) return
    this.drilling_ = true
    const drill: Drill = {
      copyAgeMs: this.span(COPY_AGE_MS),
      awayMs: this.span(AWAY_MS),
      rewriteMs: this.span(REWRITE_MS),
      reversed: this.draws_.draw() < 0.5
    }
    this.record_.trouble.begin()
    const returned = (): void => {
      this.record_.rises.push(performance.now())
      this.record_.trouble.end()
    }
    await this.bed_.store.drill({...drill, returned})
    this.drilling_ = false
  }

  private drillAfter(action: () => unknown): void {
    const afterMs = this.span(APART_MS)
    action()
    setTimeout(() => this.actions_.isCalm() || void this.drill(), afterMs)
  }

  private drillBefore(action: () => unknown): void {
    const afterMs = this.span(APART_MS)
    const act = (): unknown => this.actions_.isCalm() || action()
    void this.drill().then(() => setTimeout(act, afterMs))
  }

  private nameAround(action: () => unknown): void {
    this.actions_.queueAll()
    for (const step of [action, () => this.bed_.configure()]) {
      setTimeout(() => this.actions_.isCalm() || step(), this.span(APART_MS))
    }
    for (let i = 0; i < 2; i++) {
      const name = (): unknown => this.actions_.isCalm() || this.actions_.nameVersion()
      setTimeout(name, this.span(APART_MS))
    }
  }

  private leader(): BedBox {
    return this.bed_.leader() ?? this.anyBox()
  }

  private anyBox(): BedBox {
    return this.draws_.pick(this.bed_.boxes)
  }

  private span({least, most}: Span): number {
    return least + (most - least) * this.draws_.draw()
  }
}
