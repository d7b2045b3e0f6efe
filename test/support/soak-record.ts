/** What a round of the soak did and when, for its judge; times by `performance.now()`. */
import {createRandom, uniformFloat64} from "../../src/utils/random.js"
import type {StandInWorker} from "../stand-ins/platform-worker.js"
import type {Outcome} from "./platform-bed.js"

export interface SoakCall {
  readonly kind: "stream" | "once" | "safe" | "unsafe"
  /** The box that was asked. */
  readonly box: string
  readonly outcome: Outcome
  /** Undefined: it had none. */
  readonly key?: string | undefined
  readonly sentAt: number
  /** Undefined: not noted. */
  readonly answeredAt?: number
}

/** A version that was named, and when the store acknowledged it. */
export interface SoakVersion {
  readonly adapter: string
  readonly version: number
  readonly at: number
}

/** An engine that was replaced, and when it said that it leaves; undefined: it crashed. */
export type LeftEngine = Pick<StandInWorker, "id" | "drainedAt">

/** The numbers that a seed gives. */
export class SoakDraws {
  private random_

  constructor(seed: number) {
    this.random_ = createRandom(seed)
  }

  /** The numbers of another seed from here on. */
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

/** The times at which the store was unwell. */
export class StoreTrouble {
  private readonly stretches_: {readonly from: number; to: number}[] = []

  add(from: number, to: number): void {
    this.stretches_.push({from, to})
  }

  begin(): void {
    this.add(performance.now(), Infinity)
  }

  end(): void {
    const now = performance.now()
    for (const each of this.stretches_) each.to = Math.min(each.to, now)
  }

  /** The longest time without trouble between two times, milliseconds. */
  longestWell(from: number, to: number): number {
    let longest = 0
    let well = from
    for (const each of [...this.stretches_].sort((a, b) => a.from - b.from)) {
      longest = Math.max(longest, Math.min(each.from, to) - well)
      well = Math.max(well, each.to)
    }
    return Math.max(longest, to - well)
  }

  /** Since when the store had been well at a time; undefined: it was not. */
  wellSince(at: number): number | undefined {
    const before = this.stretches_.filter(({from}) => from <= at)
    const since = Math.max(-Infinity, ...before.map(({to}) => to))
    return since > at ? undefined : since
  }
}

/** A request that crashes servers, as one box took it. */
export interface CrashingCall {
  readonly path: string
  readonly box: string
  readonly outcome: Outcome
  readonly sentAt: number
}

export class SoakRecord {
  readonly calls: SoakCall[] = []
  readonly crashing: CrashingCall[] = []
  /** When boxes were restarted, stood still or were cut off. */
  readonly excuses: {readonly box: string; readonly at: number}[] = []
  readonly trouble = new StoreTrouble()
  /** When the store came back from an older copy. */
  readonly rises: number[] = []
  readonly versions: SoakVersion[] = []
  /** Engines that were replaced. */
  readonly gone: LeftEngine[] = []
  readonly faults: {readonly name: string; readonly at: number}[] = []

  /** A box is restarted, stands still or is cut off, or is no longer. */
  excuse(box: string): void {
    this.excuses.push({box, at: performance.now()})
  }

  /** The faults that began in a time, each with how long after its begin, milliseconds. */
  faultsBetween(from: number, to: number): string {
    return this.faults
      .filter(({at}) => at >= from && at <= to)
      .map(({name, at}) => `${name}+${Math.round(at - from)}`)
      .join(" ")
  }
}
