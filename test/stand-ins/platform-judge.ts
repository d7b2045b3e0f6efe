/** What all stand-in workers saw, for what is judged after a test. */
import {NamedRates} from "./named-rates.js"

/** One run of a request, for the judge. */
export interface Run {
  readonly id: string
  readonly worker: string
  readonly adapter: string
  readonly version: number
  readonly from: string
  /** When it reached the worker. */
  readonly reached: number
  /** When it began: later, where it waited in the queue. */
  readonly at: number
  /** Whose request it is, as the box says; undefined: it says nothing. */
  readonly tenant?: string
  /** Tokens that the request tells; undefined: none. */
  readonly tokens?: number
  ended: "whole" | "cut" | undefined
}

/** Whatever all workers have seen: what is judged after a test. */
/** An order as an engine got it. */
export interface TakenOrder {
  readonly worker: string
  readonly holder: string
  readonly fence: number
  readonly at: number
}

/** A request as it came to a worker, whether it ran there or not. */
export interface Arrived {
  readonly id: string
  readonly worker: string
  readonly body: string
  readonly at: number
}

/** A worker ended under a request. */
export interface Crash {
  readonly worker: string
  /** Of the request. */
  readonly body: string
  readonly at: number
}

/** A worker turned a request away and wants nothing from its sender for so long. */
export interface Rest {
  readonly id: string
  readonly worker: string
  readonly seconds: number
  readonly at: number
}

/** A worker's answer to a request said that it leaves. */
export interface Leave {
  readonly id: string
  readonly worker: string
  readonly at: number
}

export class Judge {
  readonly runs: Run[] = []
  readonly arrived: Arrived[] = []
  readonly crashes: Crash[] = []
  readonly rests: Rest[] = []
  /** Lives of workers that ended and are followed by another: what they said binds nobody. */
  readonly reborn: {readonly worker: string; readonly at: number}[] = []
  readonly leaves: Leave[] = []
  readonly rates = new NamedRates()
  readonly orders: TakenOrder[] = []
  readonly violations: string[] = []
  /** Unloads ordered while requests ran: harmless here, since they wait, but of no use. */
  unloadsInUse = 0
  private readonly fences_ = new Map<string, {fence: number; holder: string}>()

  order(worker: string, holder: string, fence: number): void {
    this.orders.push({worker, holder, fence, at: performance.now()})
    const known = this.fences_.get(worker)
    if (known && known.fence === fence && known.holder !== holder) {
      this.violations.push(`${worker}: two holders share fence ${fence}`)
    }
    if (!known || fence >= known.fence) this.fences_.set(worker, {fence, holder})
  }

  runsOf(id: string): Run[] {
    return this.runs.filter(run => run.id === id)
  }
}
