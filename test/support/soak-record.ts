/** Record of a soak round for its judge. Times are those of `performance.now()`. */
import {createRandom, uniformFloat64} from "../../src/utils/random.js"
import type {StandInWorker} from "../stand-ins/platform-worker.js"
import type {EndlessKind} from "./endless-server.js"
import {GRACE_S, type Outcome} from "./platform-bed.js"
import type {StreamCall} from "./stream-caller.js"

/** Kinds of calls that differ in nothing but their urgency. */
export type LoadKind = "urgent" | "bulk"

export interface SoakCall {
  readonly kind: "stream" | "once" | "safe" | "unsafe" | LoadKind
  /** The box that received the request. */
  readonly box: string
  readonly outcome: Outcome
  /** Undefined if the request had no key. */
  readonly key?: string | undefined
  readonly sentAt: number
  /** Undefined if not recorded. */
  readonly answeredAt?: number
  /** Time that its caller allowed for it. Undefined for the usual time. */
  readonly deadlineMs?: number
  /** Shared parts of its prompt, in rounds with parts that crash engines. */
  readonly parts?: readonly string[]
}

/** A stream that its caller takes up when its connection breaks. */
export interface SoakStream extends StreamCall {
  /** Engines of each software version that served as a try was sent, and as it ended. */
  readonly serving: readonly {
    readonly id: string
    readonly engines: ReadonlyMap<string, number>
  }[]
}

/** A published adapter version, and when the store acknowledged it. */
export interface SoakVersion {
  readonly adapter: string
  readonly version: number
  readonly at: number
}

/**
 * An engine that was replaced, and when it announced that it leaves. `drainedAt` is
 * undefined if it crashed.
 */
export type ReplacedEngine = Pick<StandInWorker, "id" | "drainedAt">

/** Random choices drawn from a seed. */
export class SoakDraws {
  private random_

  constructor(seed: number) {
    this.random_ = createRandom(seed)
  }

  /** Draws from another seed from now on. */
  restart(seed: number): void {
    this.random_ = createRandom(seed)
  }

  draw(): number {
    const [value, next] = uniformFloat64(this.random_)
    this.random_ = next
    return value
  }

  pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.draw() * items.length)] as T
  }
}

/** Periods in which the store had a fault. */
export class StoreFaultPeriods {
  private readonly periods_: {readonly from: number; to: number}[] = []

  add(from: number, to: number): void {
    this.periods_.push({from, to})
  }

  begin(): void {
    this.add(performance.now(), Infinity)
  }

  end(): void {
    const now = performance.now()
    for (const period of this.periods_) period.to = Math.min(period.to, now)
  }

  /** Returns the longest time without a store fault between two times. */
  longestHealthyMs(from: number, to: number): number {
    let longest = 0
    let healthyFrom = from
    for (const period of [...this.periods_].sort((a, b) => a.from - b.from)) {
      longest = Math.max(longest, Math.min(period.from, to) - healthyFrom)
      healthyFrom = Math.max(healthyFrom, period.to)
    }
    return Math.max(longest, to - healthyFrom)
  }

  /**
   * Returns since when the store had been healthy at a time. Undefined if it had a fault
   * at that time.
   */
  healthySince(at: number): number | undefined {
    const before = this.periods_.filter(({from}) => from <= at)
    const since = Math.max(-Infinity, ...before.map(({to}) => to))
    return since > at ? undefined : since
  }
}

/** A request that crashes servers, sent to one box. */
export interface CrashingCall {
  readonly path: string
  readonly box: string
  readonly outcome: Outcome
  readonly sentAt: number
  /** Shared parts of its prompt, if one of these crashes servers. */
  readonly parts?: readonly string[]
}

/** A call that servers answer without end. */
export interface EndlessCall {
  readonly path: string
  readonly kind: EndlessKind
  readonly box: string
  readonly outcome: Outcome
  readonly sentAt: number
  /** When its caller saw that its time was over. Undefined if it ended before. */
  readonly overAt: number | undefined
  readonly answeredAt: number
}

/** A planned stop of a box, with the time that its platform grants it. */
export interface PlannedStop {
  readonly box: string
  readonly from: number
  /** When its process ended. Infinity before. */
  until: number
  readonly graceMs: number
}

/** A request on which a worker works for a time, or which takes that long to arrive. */
export interface LongCall {
  readonly path: string
  readonly box: string
  readonly outcome: Outcome
  readonly sentAt: number
  readonly answeredAt: number
  readonly workMs: number
  readonly deadlineMs: number
}

/** A box that was restarted, suspended, disconnected or removed, and when. */
export interface BoxExemption {
  readonly box: string
  readonly at: number
  /** Whether it may have been the leader. */
  readonly mayLead: boolean
}

/** A worker that stood still and went on. */
export interface WorkerPause {
  readonly worker: string
  readonly from: number
  /** Infinity while it lasts. */
  to: number
}

/** A signal that ends a box. */
export interface BoxEnd {
  readonly box: string
  readonly signal: NodeJS.Signals
  readonly at: number
}

/** How many places of engines that nothing had struck for a while were free. */
export interface FreePlaces {
  readonly at: number
  readonly free: number
}

/** A time in which all boxes were killed and had few processors. */
export interface ProcessorShortage {
  readonly from: number
  /** When the boxes were killed last. */
  killedAt: number
  /** Infinity while it lasts. */
  to: number
}

/** Boxes that were cut off from backend servers. */
export interface BoxCut {
  readonly boxes: readonly string[]
  /** Whether they were cut off from all servers, all the time. */
  readonly isFromAll: boolean
  readonly from: number
  /** Infinity while it lasts. */
  to: number
}

export class SoakRecord {
  readonly calls: SoakCall[] = []
  readonly streams: SoakStream[] = []
  readonly crashing: CrashingCall[] = []
  readonly endless: EndlessCall[] = []
  readonly long: LongCall[] = []
  readonly plannedStops: PlannedStop[] = []
  /** Time from SIGTERM to SIGKILL in the boxes' settings. */
  graceMs = 1_000 * GRACE_S
  /** When boxes were restarted, suspended, disconnected or removed. */
  readonly exemptions: BoxExemption[] = []
  /** Returns the box that leads, as far as the store knows. */
  leader: () => string | undefined = () => undefined
  /** When boxes were stopping: from SIGTERM until their processes ended. */
  readonly stops: {readonly box: string; readonly from: number; until: number}[] = []
  /** When boxes were starting: their processes did not listen yet. */
  readonly starts: {readonly box: string; readonly from: number; until: number}[] = []
  readonly storeFaults = new StoreFaultPeriods()
  /** When the store was restored from an older backup. */
  readonly restores: number[] = []
  readonly versions: SoakVersion[] = []
  readonly replacedEngines: ReplacedEngine[] = []
  readonly cuts: BoxCut[] = []
  readonly pauses: WorkerPause[] = []
  readonly shortages: ProcessorShortage[] = []
  /** When plain workers refused requests and repeated answers. Infinity while they do. */
  readonly plainRepeats: {readonly from: number; to: number}[] = []
  readonly boxEnds: BoxEnd[] = []
  /** Samples in the order of time, in rounds with load. */
  readonly freePlaces: FreePlaces[] = []
  readonly faults: {readonly name: string; readonly at: number}[] = []

  /** Records that a box is restarted, suspended, disconnected or removed. */
  exempt(box: string): void {
    const leader = this.leader()
    const mayLead = leader === undefined || leader === box
    this.exemptions.push({box, at: performance.now(), mayLead})
  }

  /** Records that boxes are cut off from servers. Returns a function that ends it. */
  beginCut(boxes: readonly {readonly name: string}[], isFromAll: boolean): () => void {
    const names = boxes.map(({name}) => name)
    const cut = {boxes: names, isFromAll, from: performance.now(), to: Infinity}
    this.cuts.push(cut)
    return () => {
      cut.to = performance.now()
    }
  }

  /** Records that boxes have few processors. The caller sets the further times. */
  beginShortage(): ProcessorShortage {
    const from = performance.now()
    const shortage = {from, killedAt: from, to: Infinity}
    this.shortages.push(shortage)
    return shortage
  }

  /** Records that a worker stands still. Returns a function that ends it. */
  beginPause(worker: string): () => void {
    const pause = {worker, from: performance.now(), to: Infinity}
    this.pauses.push(pause)
    return () => {
      pause.to = Math.min(pause.to, performance.now())
    }
  }

  /**
   * Records that a box's process got SIGTERM. Returns a function that records its end. A
   * further SIGTERM to the same process has no effect.
   */
  beginStop(box: string): () => void {
    const isStopping = this.stops.some(
      stop => stop.box === box && stop.until === Infinity
    )
    if (isStopping) return () => undefined
    const stop = {box, from: performance.now(), until: Infinity}
    this.stops.push(stop)
    return () => {
      stop.until = Math.min(stop.until, performance.now())
    }
  }

  /** Records that a box's process starts. Returns a function that records its end. */
  beginStart(box: string): () => void {
    const start = {box, from: performance.now(), until: Infinity}
    this.starts.push(start)
    return () => {
      start.until = performance.now()
      this.exempt(box)
    }
  }

  /** Returns the faults that began between two times, each as `name+ms since from`. */
  faultsBetween(from: number, to: number): string {
    return this.faults
      .filter(({at}) => at >= from && at <= to)
      .map(({name, at}) => `${name}+${Math.round(at - from)}`)
      .join(" ")
  }
}
